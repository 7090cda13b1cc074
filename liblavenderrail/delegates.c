/* A daemon that reaches no target hands its requests to the daemons that do.
 * It learns from those that decline which ones can't take any. */
#include "delegates.h"

/* Requests stay in the zone, where links are short, while daemons with at
 * least this share of its CPU can take them. With less, the few that are left
 * would have several times their own load. */
#define MIN_ZONE_SHARE 0.5

typedef struct {
    char *address;
    double speed;
    bool in_zone;
    bool aggregates;
} Delegate;

struct LrDelegates {
    LrStr self;
    LrStr zone;
    const LrPeerAvailability *availability;
    LrRandom *random;
    GPtrArray *rows;
    /* Share of CPUs of the zone's daemons, this one included. */
    double zone_speed;
};

/* Daemons that a request can go to. */
typedef struct {
    bool in_zone;
    bool aggregates;
    /* Also those that did not respond a short time ago. */
    bool unresponsive;
} Filter;

/* What a daemon is picked for. */
typedef struct {
    const LrDeclinedBy *declined_by;
    LrTime now;
} Choice;

static void
free_delegate(gpointer data)
{
    Delegate *delegate = data;
    g_free(delegate->address);
    g_free(delegate);
}

LrDelegates *
LrDelegates_New(LrStr self, LrStr zone, const LrPeerAvailability *availability,
                LrRandom *random)
{
    LrDelegates *delegates = g_new0(LrDelegates, 1);
    delegates->self = LrStr_Copy(self);
    delegates->zone = LrStr_Copy(zone);
    delegates->availability = availability;
    delegates->random = random;
    delegates->rows = g_ptr_array_new_with_free_func(free_delegate);
    return delegates;
}

void
LrDelegates_Free(LrDelegates *delegates)
{
    if (!delegates) {
        return;
    }
    g_ptr_array_unref(delegates->rows);
    g_free((char *)delegates->self.ptr);
    g_free((char *)delegates->zone.ptr);
    g_free(delegates);
}

void
LrDelegates_SetDaemons(LrDelegates *delegates, const LrPeerSpec *daemons,
                       size_t n_daemons)
{
    GPtrArray *rows = g_ptr_array_new_with_free_func(free_delegate);
    delegates->zone_speed = 0;
    for (size_t i = 0; i < n_daemons; i++) {
        const LrPeerSpec *daemon = &daemons[i];
        bool in_zone = LrStr_Equal(daemon->zone, delegates->zone);
        delegates->zone_speed += in_zone ? daemon->speed : 0;
        if (LrStr_Equal(daemon->name, delegates->self)) {
            continue;
        }
        Delegate *row = g_new0(Delegate, 1);
        *row = (Delegate){
            .address = LrStr_Dup(daemon->address),
            .speed = daemon->speed,
            .in_zone = in_zone,
            .aggregates = daemon->aggregates,
        };
        g_ptr_array_add(rows, row);
    }
    g_ptr_array_unref(delegates->rows);
    delegates->rows = rows;
}

size_t
LrDelegates_Count(const LrDelegates *delegates)
{
    return delegates->rows->len;
}

/* Speed of a daemon that the filter passes; 0 if it can't be picked. */
static double
weight_of(const LrDelegates *delegates, const Delegate *row, Filter filter,
          const Choice *choice)
{
    LrStr address = LrStr_FromC(row->address);
    if ((filter.in_zone && !row->in_zone) ||
        (filter.aggregates && !row->aggregates) ||
        LrDeclinedBy_Contains(choice->declined_by, address)) {
        return 0;
    }
    LrPeerState state =
        LrPeerAvailability_Get(delegates->availability, address, choice->now);
    bool usable = state == LR_PEER_AVAILABLE ||
                  (state == LR_PEER_UNRESPONSIVE && filter.unresponsive);
    return usable ? row->speed : 0;
}

static double
total_weight(const LrDelegates *delegates, Filter filter, const Choice *choice)
{
    double total = 0;
    for (guint i = 0; i < delegates->rows->len; i++) {
        total +=
            weight_of(delegates, delegates->rows->pdata[i], filter, choice);
    }
    return total;
}

/* Draws a daemon with probability by speed; NULL if there is none. */
static const Delegate *
draw(const LrDelegates *delegates, Filter filter, const Choice *choice)
{
    double total = total_weight(delegates, filter, choice);
    double remaining = LrRandom_Uniform(delegates->random) * total;
    const Delegate *last = NULL;
    for (guint i = 0; i < delegates->rows->len && remaining >= 0; i++) {
        const Delegate *row = delegates->rows->pdata[i];
        double weight = weight_of(delegates, row, filter, choice);
        if (weight > 0) {
            last = row;
            remaining -= weight;
        }
    }
    return last;
}

LrStr
LrDelegates_Pick(LrDelegates *delegates, bool gathers,
                 const LrDeclinedBy *declined_by, LrTime now)
{
    Choice choice = {.declined_by = declined_by, .now = now};
    double in_zone =
        total_weight(delegates, (Filter){.in_zone = true}, &choice);
    Filter filter = {
        .in_zone = in_zone >= MIN_ZONE_SHARE * delegates->zone_speed,
        .aggregates = gathers,
    };
    const Filter wider[] = {
        filter,
        {.aggregates = gathers},
        {.aggregates = false},
        {.unresponsive = true},
    };
    const Delegate *row = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(wider) && !row; i++) {
        row = draw(delegates, wider[i], &choice);
    }
    return LrStr_FromC(row ? row->address : "");
}
