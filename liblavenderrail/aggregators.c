/* Aggregators: a few daemons of a large zone, the fastest, that run the
 * scatter-gather of queries for all of them.
 *
 * In a fleet of hundreds of daemons and as many targets, each daemon sends a
 * target too few requests to tell which targets are slow, and its quota of the
 * fleet-wide limits on connections and extra attempts is too small.
 * Aggregators send enough requests to select replicas well. */
#include "aggregators.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Share of a zone's CPU that its aggregators have together. The queries of 295
 * hosts take a twentieth of the aggregators' CPU, so most of the aggregators
 * may fail. */
#define CPU_RATIO (1.0 / 6)
/* Tolerance in the comparison of sums of CPU shares. */
#define SPEED_EPSILON 1e-9
/* Share of the fleet-wide limits that is divided among aggregators; the rest
 * is for the other daemons, which gather a query themselves when no aggregator
 * accepts it. */
#define AGGREGATOR_LIMIT_RATIO 0.75
/* Weight of the newest sample in the smoothed delay. */
#define DELAY_WEIGHT 0.3
/* Time constant with which a smoothed delay decays, so that an aggregator that
 * was slow is tried again. */
#define DELAY_DECAY_NS 5e9
/* Differences in delay below this, a round trip in the zone, are ignored. */
#define DELAY_TOLERANCE (2 * LR_MILLISECOND)

/* A daemon that starts knows its zone when it has learned of no new member for
 * this long, four probe intervals. Until then daemons would choose different
 * aggregators. */
#define SETTLE_TIME (1200 * LR_MILLISECOND)

enum {
    /* Zones of fewer daemons have no aggregators: each daemon sends enough
     * requests. */
    MIN_ZONE_DAEMONS = 8,
    /* One may fail while another is being stopped. */
    MIN_AGGREGATORS = 3,
};

/* What is known of an aggregator of this zone. */
typedef struct {
    char *address;
    double speed;
    double accept_delay;
    LrTime accept_delay_at;
} Aggregator;

typedef struct {
    LrPeerSpec *daemon;
    uint64_t rank;
} Candidate;

struct LrAggregators {
    LrStr self;
    LrStr zone;
    const LrPeerAvailability *availability;
    LrRandom *random;
    LrLog *log;
    GPtrArray *in_zone;
    bool includes_self;
    /* All daemons of the zone are known, as far as this daemon can tell. */
    bool settled;
    size_t n_zone_daemons;
    LrTime n_zone_changed_at;
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
LrAggregators_New(LrStr self, LrStr zone,
                  const LrPeerAvailability *availability, LrRandom *random,
                  LrLog *log)
{
    LrAggregators *aggregators = g_new0(LrAggregators, 1);
    aggregators->self = (LrStr){.ptr = LrStr_Dup(self), .len = self.len};
    aggregators->zone = (LrStr){.ptr = LrStr_Dup(zone), .len = zone.len};
    aggregators->availability = availability;
    aggregators->random = random;
    aggregators->log = log;
    aggregators->in_zone = g_ptr_array_new_with_free_func(free_aggregator);
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
    g_ptr_array_unref(aggregators->in_zone);
    g_free((char *)aggregators->self.ptr);
    g_free((char *)aggregators->zone.ptr);
    g_free(aggregators);
}

static int
by_zone_and_speed(const void *a, const void *b)
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

/* Number of aggregators among the daemons of one zone, which are sorted
 * fastest first; all of them in a small zone. */
static size_t
count_aggregators(const Candidate *zone, size_t n)
{
    if (n < MIN_ZONE_DAEMONS) {
        return n;
    }
    double total = 0;
    for (size_t i = 0; i < n; i++) {
        total += zone[i].daemon->speed;
    }
    double wanted = CPU_RATIO * total - SPEED_EPSILON;
    double chosen = 0;
    size_t count = 0;
    while (count < n && (count < MIN_AGGREGATORS || chosen < wanted)) {
        chosen += zone[count++].daemon->speed;
    }
    return count;
}

/* Whether this daemon knows enough of its zone to choose the same aggregators
 * as the others. */
static bool
is_settled(LrAggregators *aggregators, size_t n_zone, LrTime now)
{
    if (n_zone > aggregators->n_zone_daemons) {
        aggregators->n_zone_daemons = n_zone;
        aggregators->n_zone_changed_at = now;
    }
    if (now - aggregators->n_zone_changed_at >= SETTLE_TIME) {
        aggregators->settled = true;
    }
    return aggregators->settled;
}

static Aggregator *
find(const LrAggregators *aggregators, LrStr address)
{
    for (guint i = 0; i < aggregators->in_zone->len; i++) {
        Aggregator *aggregator = aggregators->in_zone->pdata[i];
        if (LrStr_EqualC(address, aggregator->address)) {
            return aggregator;
        }
    }
    return NULL;
}

/* Keeps what is known of aggregators that stay. */
static void
replace_aggregators(LrAggregators *aggregators, const Candidate *chosen,
                    size_t n, size_t n_zone, LrTime now)
{
    bool has_aggregators =
        is_settled(aggregators, n_zone, now) && n_zone >= MIN_ZONE_DAEMONS;
    GPtrArray *in_zone = g_ptr_array_new_with_free_func(free_aggregator);
    bool included_self = aggregators->includes_self;
    aggregators->includes_self = false;
    for (size_t i = 0; i < n && has_aggregators; i++) {
        const LrPeerSpec *daemon = chosen[i].daemon;
        const Aggregator *previous = find(aggregators, daemon->address);
        Aggregator *aggregator = g_new0(Aggregator, 1);
        if (previous) {
            *aggregator = *previous;
        }
        aggregator->address = LrStr_Dup(daemon->address);
        aggregator->speed = daemon->speed;
        aggregators->includes_self |=
            LrStr_Equal(daemon->name, aggregators->self);
        g_ptr_array_add(in_zone, aggregator);
    }
    if (in_zone->len != aggregators->in_zone->len ||
        included_self != aggregators->includes_self) {
        LR_LOG(aggregators->log, LOG_NOTICE, "aggregators_changed",
               LrLog_Int("count", in_zone->len),
               LrLog_Int("zone_daemons", (int64_t)n_zone),
               LrLog_Int("self", aggregators->includes_self));
    }
    g_ptr_array_unref(aggregators->in_zone);
    aggregators->in_zone = in_zone;
}

void
LrAggregators_SetDaemons(LrAggregators *aggregators, LrTime now,
                         LrPeerSpec *daemons, size_t n_daemons)
{
    g_autofree Candidate *all = g_new0(Candidate, n_daemons + 1);
    for (size_t i = 0; i < n_daemons; i++) {
        all[i] = (Candidate){
            .daemon = &daemons[i],
            .rank = LrStr_Hash(daemons[i].name, 0),
        };
    }
    qsort(all, n_daemons, sizeof(Candidate), by_zone_and_speed);
    aggregators->count = 0;
    aggregators->n_daemons = n_daemons;
    size_t end = 0;
    for (size_t start = 0; start < n_daemons; start = end) {
        LrStr zone = all[start].daemon->zone;
        for (end = start;
             end < n_daemons && LrStr_Equal(all[end].daemon->zone, zone);
             end++) {
        }
        size_t n = count_aggregators(&all[start], end - start);
        aggregators->count += n;
        for (size_t i = start; i < end; i++) {
            all[i].daemon->aggregates = i < start + n;
        }
        if (LrStr_Equal(zone, aggregators->zone)) {
            replace_aggregators(aggregators, &all[start], n, end - start, now);
        }
    }
}

static double
delay_of(const Aggregator *aggregator, LrTime now)
{
    double age = (double)(now - aggregator->accept_delay_at);
    return aggregator->accept_delay * exp(-age / DELAY_DECAY_NS);
}

static bool
takes_query(const LrAggregators *aggregators, const Aggregator *aggregator,
            const LrDeclinedBy *declined_by, LrTime now)
{
    LrStr address = LrStr_FromC(aggregator->address);
    return !LrDeclinedBy_Contains(declined_by, address) &&
           LrPeerAvailability_Get(aggregators->availability, address, now) ==
               LR_PEER_AVAILABLE;
}

/* Draws an aggregator that takes the query, with probability by speed; NULL if
 * there is none. */
static Aggregator *
draw_by_speed(const LrAggregators *aggregators,
              const LrDeclinedBy *declined_by, LrTime now)
{
    double total = 0;
    for (guint i = 0; i < aggregators->in_zone->len; i++) {
        const Aggregator *aggregator = aggregators->in_zone->pdata[i];
        total += takes_query(aggregators, aggregator, declined_by, now)
                     ? aggregator->speed
                     : 0;
    }
    double remaining = LrRandom_Uniform(aggregators->random) * total;
    Aggregator *last = NULL;
    for (guint i = 0; i < aggregators->in_zone->len && remaining >= 0; i++) {
        Aggregator *aggregator = aggregators->in_zone->pdata[i];
        if (takes_query(aggregators, aggregator, declined_by, now)) {
            last = aggregator;
            remaining -= aggregator->speed;
        }
    }
    return last;
}

LrStr
LrAggregators_Pick(LrAggregators *aggregators, const LrDeclinedBy *declined_by,
                   LrTime now)
{
    if (aggregators->includes_self) {
        return LrStr_FromC("");
    }
    Aggregator *first = draw_by_speed(aggregators, declined_by, now);
    Aggregator *second = draw_by_speed(aggregators, declined_by, now);
    if (!first) {
        return LrStr_FromC("");
    }
    if (delay_of(second, now) + (double)DELAY_TOLERANCE <
        delay_of(first, now)) {
        first = second;
    }
    return LrStr_FromC(first->address);
}

void
LrAggregators_OnAccepted(LrAggregators *aggregators, LrStr address,
                         LrTime delay, LrTime now)
{
    Aggregator *aggregator = find(aggregators, address);
    if (!aggregator) {
        return;
    }
    double previous = delay_of(aggregator, now);
    aggregator->accept_delay =
        previous + DELAY_WEIGHT * ((double)delay - previous);
    aggregator->accept_delay_at = now;
}

bool
LrAggregators_IncludesSelf(const LrAggregators *aggregators)
{
    return aggregators->includes_self;
}

size_t
LrAggregators_Count(const LrAggregators *aggregators)
{
    return aggregators->count;
}

double
LrAggregators_LimitDivisor(const LrAggregators *aggregators)
{
    if (aggregators->in_zone->len == 0) {
        return (double)aggregators->n_daemons;
    }
    return aggregators->includes_self
               ? (double)aggregators->count / AGGREGATOR_LIMIT_RATIO
               : (double)aggregators->n_daemons / (1 - AGGREGATOR_LIMIT_RATIO);
}
