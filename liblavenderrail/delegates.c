/* A daemon that reaches no target hands its requests to the daemons that do.
 * It learns which ones reach no target either when they decline, and asks
 * those again after a while. */
#include "delegates.h"

/* A daemon that did not accept a request gets none for this long: probing
 * detects a dead one in about the same time. */
#define FAILURE_BACKOFF (2 * LR_SECOND)
/* A daemon that reaches no target is asked again after this time. To decline
 * costs it little. */
#define CUT_OFF_BACKOFF (2 * LR_SECOND)
/* Requests stay in the zone, where links are short, while daemons with at
 * least this share of its CPU can take them. With less, the few that are left
 * would have several times their own load. */
#define MIN_ZONE_SHARE 0.5

typedef struct {
    char *address;
    double speed;
    bool in_zone;
    bool aggregates;
    /* Until then it is used only where there is no other. */
    LrTime failed_until;
    /* Until then it is not used. */
    LrTime cut_off_until;
} Delegate;

struct LrDelegates {
    LrStr self;
    LrStr zone;
    LrRandom *random;
    GPtrArray *rows;
    /* The same rows, by address. */
    GHashTable *by_address;
    /* Share of CPUs of the zone's daemons, this one included. */
    double zone_speed;
};

/* Daemons that a request can go to. */
typedef struct {
    bool in_zone;
    bool aggregates;
    /* Also those that failed a short time ago. */
    bool failed;
} Filter;

static void
free_delegate(gpointer data)
{
    Delegate *delegate = data;
    g_free(delegate->address);
    g_free(delegate);
}

static LrStr
copy_str(LrStr text)
{
    return (LrStr){.ptr = LrStr_Dup(text), .len = text.len};
}

LrDelegates *
LrDelegates_New(LrStr self, LrStr zone, LrRandom *random)
{
    LrDelegates *delegates = g_new0(LrDelegates, 1);
    delegates->self = copy_str(self);
    delegates->zone = copy_str(zone);
    delegates->random = random;
    delegates->rows = g_ptr_array_new_with_free_func(free_delegate);
    delegates->by_address = g_hash_table_new(g_str_hash, g_str_equal);
    return delegates;
}

void
LrDelegates_Free(LrDelegates *delegates)
{
    if (!delegates) {
        return;
    }
    g_hash_table_unref(delegates->by_address);
    g_ptr_array_unref(delegates->rows);
    g_free((char *)delegates->self.ptr);
    g_free((char *)delegates->zone.ptr);
    g_free(delegates);
}

static Delegate *
find(const LrDelegates *delegates, LrStr address)
{
    g_autofree char *key = LrStr_Dup(address);
    return g_hash_table_lookup(delegates->by_address, key);
}

void
LrDelegates_SetDaemons(LrDelegates *delegates, const LrPeerSpec *daemons,
                       size_t n_daemons)
{
    GPtrArray *rows = g_ptr_array_new_with_free_func(free_delegate);
    GHashTable *by_address = g_hash_table_new(g_str_hash, g_str_equal);
    delegates->zone_speed = 0;
    for (size_t i = 0; i < n_daemons; i++) {
        const LrPeerSpec *daemon = &daemons[i];
        bool in_zone = LrStr_Equal(daemon->zone, delegates->zone);
        delegates->zone_speed += in_zone ? daemon->speed : 0;
        if (LrStr_Equal(daemon->name, delegates->self)) {
            continue;
        }
        const Delegate *previous = find(delegates, daemon->address);
        Delegate *row = g_new0(Delegate, 1);
        *row = (Delegate){
            .address = LrStr_Dup(daemon->address),
            .speed = daemon->speed,
            .in_zone = in_zone,
            .aggregates = daemon->aggregates,
            .failed_until = previous ? previous->failed_until : 0,
            .cut_off_until = previous ? previous->cut_off_until : 0,
        };
        g_ptr_array_add(rows, row);
        g_hash_table_replace(by_address, row->address, row);
    }
    g_hash_table_unref(delegates->by_address);
    g_ptr_array_unref(delegates->rows);
    delegates->rows = rows;
    delegates->by_address = by_address;
}

size_t
LrDelegates_Count(const LrDelegates *delegates)
{
    return delegates->rows->len;
}

/* Speed of a daemon that the filter passes; 0 if it can't be picked. */
static double
weight_of(const Delegate *row, Filter filter, LrTime now)
{
    if (row->cut_off_until > now ||
        (row->failed_until > now && !filter.failed) ||
        (filter.in_zone && !row->in_zone) ||
        (filter.aggregates && !row->aggregates)) {
        return 0;
    }
    return row->speed;
}

static double
total_weight(const LrDelegates *delegates, Filter filter, LrTime now)
{
    double total = 0;
    for (guint i = 0; i < delegates->rows->len; i++) {
        total += weight_of(delegates->rows->pdata[i], filter, now);
    }
    return total;
}

/* Draws a daemon with probability by speed; NULL if there is none. */
static const Delegate *
draw(const LrDelegates *delegates, Filter filter, LrTime now)
{
    double total = total_weight(delegates, filter, now);
    double remaining = LrRandom_Uniform(delegates->random) * total;
    const Delegate *last = NULL;
    for (guint i = 0; i < delegates->rows->len && remaining >= 0; i++) {
        const Delegate *row = delegates->rows->pdata[i];
        double weight = weight_of(row, filter, now);
        if (weight > 0) {
            last = row;
            remaining -= weight;
        }
    }
    return last;
}

LrStr
LrDelegates_Pick(LrDelegates *delegates, bool gathers, LrTime now)
{
    double in_zone = total_weight(delegates, (Filter){.in_zone = true}, now);
    Filter filter = {
        .in_zone = in_zone >= MIN_ZONE_SHARE * delegates->zone_speed,
        .aggregates = gathers,
    };
    const Filter wider[] = {
        filter,
        {.aggregates = gathers},
        {.aggregates = false},
        {.failed = true},
    };
    const Delegate *row = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(wider) && !row; i++) {
        row = draw(delegates, wider[i], now);
    }
    return LrStr_FromC(row ? row->address : "");
}

void
LrDelegates_OnFailed(LrDelegates *delegates, LrStr address, LrTime now)
{
    Delegate *row = find(delegates, address);
    if (row) {
        row->failed_until = now + FAILURE_BACKOFF;
    }
}

void
LrDelegates_OnCutOff(LrDelegates *delegates, LrStr address, LrTime now)
{
    Delegate *row = find(delegates, address);
    if (row) {
        row->cut_off_until = now + CUT_OFF_BACKOFF;
    }
}
