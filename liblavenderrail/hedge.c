/* Hedging: a further attempt for a part that is slow for its service, paid
 * from a budget. */
#include "private.h"

/* A part is slow when its attempt outlasts this quantile of recent ones. */
#define SLOW_QUANTILE 0.97
/* The last parts outstanding are hedged after this multiple of the median. */
#define LAST_PARTS_RATIO 1.5
/* Share of a query's parts that count as the last ones. */
#define LAST_PARTS_SHARE 0.02
#define RETRY_SHARE 4

enum { MAX_HEDGES = 2 };

typedef struct {
    LrTime slow;
    LrTime last;
    size_t n_last;
} Delays;

static Delays
find_delays(const LrQuery *query)
{
    LrLatency *attempt = query->entry->service->state->attempt;
    LrTime median = LrLatency_Quantile(attempt, 0.5, 0);
    Delays delays = {
        .slow = LrLatency_Quantile(attempt, SLOW_QUANTILE, 0),
        .last = (LrTime)(LAST_PARTS_RATIO * (double)median),
        .n_last = (size_t)(LAST_PARTS_SHARE * (double)query->n_parts),
    };
    return delays;
}

/* Age at which the part gets its next hedge. */
static LrTime
hedge_age(const LrQuery *query, const LrPart *part, const Delays *delays)
{
    LrTime delay = delays->slow;
    if (query->n_open <= delays->n_last) {
        delay = MIN(delay, delays->last);
    }
    return delay * (part->n_hedges + 1);
}

static bool
is_hedgeable(const LrPart *part)
{
    return part->state == LR_PART_SENT && part->n_live > 0 &&
           part->n_live < LR_PART_MAX_LIVE && part->n_hedges < MAX_HEDGES;
}

static void
hedge_part(LrEngine *engine, LrPart *part, LrTime now)
{
    const LrQuery *query = part->query;
    bool exists;
    LrTarget *target =
        LrRouter_Pick(engine->router, part->group, query->map->version, now,
                      LrDispatch_Typical(query), part->tried, part->n_tried,
                      false, LrAdmission_Reserve(query, now), &exists);
    if (!target || part->group->n_waiting > 0 ||
        !LrBucket_Take(&engine->hedges, now)) {
        return;
    }
    part->n_hedges++;
    part->next_kind = LR_ATTEMPT_HEDGE;
    LrDispatch_SendTo(engine, part, target, now);
}

void
LrHedge_Run(LrEngine *engine, LrQuery *query, LrTime now)
{
    query->hedge_at = LR_NEVER;
    Delays delays = find_delays(query);
    if (query->single_run || query->suspect || delays.slow == 0 ||
        !LrRouter_Policy(engine->router)->hedged) {
        return;
    }
    for (size_t i = 0; i < query->n_parts; i++) {
        LrPart *part = &query->parts[i];
        if (!is_hedgeable(part)) {
            continue;
        }
        LrTime due = part->first_sent_at + hedge_age(query, part, &delays);
        if (due <= now) {
            hedge_part(engine, part, now);
            due = part->first_sent_at + hedge_age(query, part, &delays);
            due = MAX(due, now + delays.slow / RETRY_SHARE);
        }
        if (is_hedgeable(part)) {
            query->hedge_at = MIN(query->hedge_at, due);
        }
    }
}
