/* Answers the load of a fleet of hundreds of daemons over as many targets.
 * There a daemon asks each target too seldom to know which ones are slow, and
 * has too small a part of the connections and repeats that are limited over
 * the fleet. Where a zone has many daemons, a few of the strongest gather for
 * all of them, and see enough to choose well. */
#include "aggregators.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Share of a zone's processors that its aggregators have together. The queries
 * of 295 hosts take a twentieth of theirs, so that most may be lost. */
#define POWER_SHARE (1.0 / 6)
/* Sums of shares of processors are compared to this. */
#define SPEED_EPSILON 1e-9
/* Share of what is limited over the fleet that aggregators divide; the rest is
 * for the others, which gather when no aggregator takes a query over. */
#define LIMITS_SHARE 0.75
/* A daemon that did not take a query over gets none for this long: a probe
 * finds a dead one in about as much. */
#define PASS_OVER (2 * LR_SECOND)
/* Weight of the newest delay in the smoothed one. */
#define DELAY_WEIGHT 0.3
/* A smoothed delay is forgotten at this rate, so that a daemon that was slow
 * is tried again. */
#define DELAY_FORGET_NS 5e9
/* Differences below this say nothing: a way there and back in the zone. */
#define DELAY_GRAIN (2 * LR_MILLISECOND)

/* A daemon that starts has met its zone when it heard of nobody new for this
 * long, four probe intervals; until then daemons would choose differently. */
#define SETTLE (1200 * LR_MILLISECOND)

enum {
    /* Zones of fewer daemons have no aggregators: each sees enough. */
    MIN_ZONE = 8,
    /* One may be lost and another be stopped. */
    MIN_AGGREGATORS = 3,
};

/* What is known of a daemon that gathers in this zone. */
typedef struct {
    char *address;
    double speed;
    LrTime passed_over_until;
    double delay;
    LrTime delay_at;
} Aggregator;

typedef struct {
    const LrPeerSpec *daemon;
    uint64_t rank;
} Candidate;

struct LrAggregators {
    LrStr self;
    LrStr zone;
    LrRandom *random;
    LrLog *log;
    GPtrArray *own;
    bool is_self;
    /* All daemons of the zone are known, as far as can be seen. */
    bool settled;
    size_t n_zone;
    LrTime grown_at;
    size_t count;
    size_t n_daemons;
};

static void
free_aggregator(gpointer data)
{
    Aggregator *aggregator = data;
    g_free(aggregator->address);
    g_free(aggregator);
}

LrAggregators *
LrAggregators_New(LrStr self, LrStr zone, LrRandom *random, LrLog *log)
{
    LrAggregators *aggregators = g_new0(LrAggregators, 1);
    aggregators->self = (LrStr){.ptr = LrStr_Dup(self), .len = self.len};
    aggregators->zone = (LrStr){.ptr = LrStr_Dup(zone), .len = zone.len};
    aggregators->random = random;
    aggregators->log = log;
    aggregators->own = g_ptr_array_new_with_free_func(free_aggregator);
    aggregators->count = 1;
    aggregators->n_daemons = 1;
    return aggregators;
}

void
LrAggregators_Free(LrAggregators *aggregators)
{
    if (!aggregators) {
        return;
    }
    g_ptr_array_unref(aggregators->own);
    g_free((char *)aggregators->self.ptr);
    g_free((char *)aggregators->zone.ptr);
    g_free(aggregators);
}

static int
by_zone(const void *a, const void *b)
{
    const LrPeerSpec *left = ((const Candidate *)a)->daemon;
    const LrPeerSpec *right = ((const Candidate *)b)->daemon;
    int order = LrStr_Compare(left->zone, right->zone);
    if (order != 0) {
        return order;
    }
    if (left->speed != right->speed) {
        return left->speed > right->speed ? -1 : 1;
    }
    uint64_t left_rank = ((const Candidate *)a)->rank;
    uint64_t right_rank = ((const Candidate *)b)->rank;
    return (left_rank > right_rank) - (left_rank < right_rank);
}

/* Number of aggregators among the daemons of one zone, the strongest first;
 * all of a small zone. */
static size_t
count_chosen(const Candidate *zone, size_t n)
{
    if (n < MIN_ZONE) {
        return n;
    }
    double total = 0;
    for (size_t i = 0; i < n; i++) {
        total += zone[i].daemon->speed;
    }
    double wanted = POWER_SHARE * total - SPEED_EPSILON;
    double chosen = 0;
    size_t count = 0;
    while (count < n && (count < MIN_AGGREGATORS || chosen < wanted)) {
        chosen += zone[count++].daemon->speed;
    }
    return count;
}

/* Whether this daemon knows enough of its zone to choose as the others do. */
static bool
is_settled(LrAggregators *aggregators, size_t n_zone, LrTime now)
{
    if (n_zone > aggregators->n_zone) {
        aggregators->n_zone = n_zone;
        aggregators->grown_at = now;
    }
    if (now - aggregators->grown_at >= SETTLE) {
        aggregators->settled = true;
    }
    return aggregators->settled;
}

static Aggregator *
find(const LrAggregators *aggregators, LrStr address)
{
    for (guint i = 0; i < aggregators->own->len; i++) {
        Aggregator *aggregator = aggregators->own->pdata[i];
        if (LrStr_EqualC(address, aggregator->address)) {
            return aggregator;
        }
    }
    return NULL;
}

/* Takes over what was known of those that stay. */
static void
set_own(LrAggregators *aggregators, const Candidate *chosen, size_t n,
        size_t n_zone, LrTime now)
{
    bool known = is_settled(aggregators, n_zone, now) && n_zone >= MIN_ZONE;
    GPtrArray *own = g_ptr_array_new_with_free_func(free_aggregator);
    bool was_self = aggregators->is_self;
    aggregators->is_self = false;
    for (size_t i = 0; i < n && known; i++) {
        const LrPeerSpec *daemon = chosen[i].daemon;
        const Aggregator *former = find(aggregators, daemon->address);
        Aggregator *aggregator = g_new0(Aggregator, 1);
        if (former) {
            *aggregator = *former;
        }
        aggregator->address = LrStr_Dup(daemon->address);
        aggregator->speed = daemon->speed;
        aggregators->is_self |= LrStr_Equal(daemon->name, aggregators->self);
        g_ptr_array_add(own, aggregator);
    }
    if (own->len != aggregators->own->len ||
        was_self != aggregators->is_self) {
        LR_LOG(aggregators->log, LOG_NOTICE, "aggregators_changed",
               LrLog_Int("count", own->len),
               LrLog_Int("zone_daemons", (int64_t)n_zone),
               LrLog_Int("self", aggregators->is_self));
    }
    g_ptr_array_unref(aggregators->own);
    aggregators->own = own;
}

void
LrAggregators_SetDaemons(LrAggregators *aggregators, LrTime now,
                         const LrPeerSpec *daemons, size_t n_daemons)
{
    g_autofree Candidate *all = g_new0(Candidate, n_daemons + 1);
    for (size_t i = 0; i < n_daemons; i++) {
        all[i] = (Candidate){
            .daemon = &daemons[i],
            .rank = LrStr_Hash(daemons[i].name, 0),
        };
    }
    qsort(all, n_daemons, sizeof(Candidate), by_zone);
    aggregators->count = 0;
    aggregators->n_daemons = n_daemons;
    size_t end = 0;
    for (size_t start = 0; start < n_daemons; start = end) {
        LrStr zone = all[start].daemon->zone;
        for (end = start;
             end < n_daemons && LrStr_Equal(all[end].daemon->zone, zone);
             end++) {
        }
        size_t n = count_chosen(&all[start], end - start);
        aggregators->count += n;
        if (LrStr_Equal(zone, aggregators->zone)) {
            set_own(aggregators, &all[start], n, end - start, now);
        }
    }
}

static double
delay_of(const Aggregator *aggregator, LrTime now)
{
    double age = (double)(now - aggregator->delay_at);
    return aggregator->delay * exp(-age / DELAY_FORGET_NS);
}

/* One of those that are not passed over, by their speed; NULL for none. */
static Aggregator *
draw(const LrAggregators *aggregators, LrTime now)
{
    double total = 0;
    for (guint i = 0; i < aggregators->own->len; i++) {
        const Aggregator *aggregator = aggregators->own->pdata[i];
        total += aggregator->passed_over_until > now ? 0 : aggregator->speed;
    }
    double left = LrRandom_Uniform(aggregators->random) * total;
    Aggregator *last = NULL;
    for (guint i = 0; i < aggregators->own->len && left >= 0; i++) {
        Aggregator *aggregator = aggregators->own->pdata[i];
        if (aggregator->passed_over_until <= now) {
            last = aggregator;
            left -= aggregator->speed;
        }
    }
    return last;
}

LrStr
LrAggregators_Pick(LrAggregators *aggregators, LrTime now)
{
    if (aggregators->is_self) {
        return LrStr_FromC("");
    }
    Aggregator *one = draw(aggregators, now);
    Aggregator *other = draw(aggregators, now);
    if (!one) {
        return LrStr_FromC("");
    }
    if (delay_of(other, now) + (double)DELAY_GRAIN < delay_of(one, now)) {
        one = other;
    }
    return LrStr_FromC(one->address);
}

void
LrAggregators_OnAccepted(LrAggregators *aggregators, LrStr address,
                         LrTime delay, LrTime now)
{
    Aggregator *aggregator = find(aggregators, address);
    if (!aggregator) {
        return;
    }
    double former = delay_of(aggregator, now);
    aggregator->delay = former + DELAY_WEIGHT * ((double)delay - former);
    aggregator->delay_at = now;
}

void
LrAggregators_OnFailed(LrAggregators *aggregators, LrStr address, LrTime now)
{
    Aggregator *aggregator = find(aggregators, address);
    if (aggregator) {
        aggregator->passed_over_until = now + PASS_OVER;
    }
}

bool
LrAggregators_IncludesSelf(const LrAggregators *aggregators)
{
    return aggregators->is_self;
}

size_t
LrAggregators_Count(const LrAggregators *aggregators)
{
    return aggregators->count;
}

double
LrAggregators_LimitDivisor(const LrAggregators *aggregators)
{
    if (aggregators->own->len == 0) {
        return (double)aggregators->n_daemons;
    }
    return aggregators->is_self
               ? (double)aggregators->count / LIMITS_SHARE
               : (double)aggregators->n_daemons / (1 - LIMITS_SHARE);
}
