/* Hedged requests: a further attempt for a part that is slow for its service,
 * charged to a token bucket or to the retry budget. Without hedge_medians, the
 * delay before a hedge is the shorter the fuller the bucket, so that all
 * tokens are used and the bucket is seldom empty. */
#include "private.h"

/* Quantiles of recent attempt latencies that are the delay before a hedge,
 * with a full and with an empty bucket. */
#define SLOW_QUANTILE_FULL 0.97
#define SLOW_QUANTILE_EMPTY 0.985
/* Time between the hedges of a part, as a share of the delay before the first
 * one. */
#define HEDGE_STEP_SHARE 0.3
/* Factor on the delay for relayed parts: the daemon that relays hedges them
 * itself, so another one is asked only when it is lost or very late. */
#define RELAY_DELAY_FACTOR 2.5
/* A hedge that could not be sent is tried again after this share of the
 * delay. */
#define RECHECK_SHARE 0.25

enum { MAX_HEDGES = 4 };

/* Delay before the first hedge of a part; 0 while too few latencies are
 * known. */
static LrTime
hedge_delay(const LrEngine *engine, const LrQuery *query)
{
    if (engine->config.hedge_medians > 0) {
        double median = (double)LrDispatch_MedianLatency(query);
        return (LrTime)(engine->config.hedge_medians * median);
    }
    LrLatencyHistogram *attempt =
        query->entry->service->state->attempt_latency;
    double full_delay =
        (double)LrLatencyHistogram_Quantile(attempt, SLOW_QUANTILE_FULL, 0);
    double empty_delay =
        (double)LrLatencyHistogram_Quantile(attempt, SLOW_QUANTILE_EMPTY, 0);
    double fill_share =
        engine->hedge_bucket.tokens / engine->hedge_bucket.capacity;
    return (LrTime)(empty_delay + (full_delay - empty_delay) * fill_share);
}

/* Time at which the part is due for its next hedge. */
static LrTime
hedge_due(const LrQueryPart *part, LrTime base_delay)
{
    double delay =
        (double)base_delay * (1 + HEDGE_STEP_SHARE * part->n_hedges);
    if (part->group->relayed) {
        delay *= RELAY_DELAY_FACTOR;
    }
    return part->first_sent_at + (LrTime)delay;
}

static bool
is_hedgeable(const LrQueryPart *part)
{
    return part->state == LR_QUERY_PART_SENT && part->n_in_flight > 0 &&
           part->n_in_flight < LR_QUERY_PART_MAX_IN_FLIGHT &&
           part->n_hedges < MAX_HEDGES && LrDispatch_HasAttemptsLeft(part);
}

static void
hedge_part(LrEngine *engine, LrQueryPart *part, LrTime now)
{
    const LrQuery *query = part->query;
    bool can_wait;
    LrTarget *target = LrTargets_Pick(
        engine->targets, part->group, query->map->version, now,
        LrDispatch_MedianOrDefault(query), part->tried, part->n_tried, false,
        LrAdmission_ReservedSlots(query, now), &can_wait);
    if (!target || part->group->n_waiting > 0 ||
        !LrDispatch_SpendBudget(engine, part, &engine->hedge_bucket, now)) {
        return;
    }
    part->n_hedges++;
    part->next_kind = LR_ATTEMPT_HEDGE;
    LrDispatch_SendTo(engine, part, target, now);
}

void
LrHedge_Run(LrEngine *engine, LrQuery *query, LrTime now)
{
    query->next_hedge_at = LR_NEVER;
    LrTime base_delay = hedge_delay(engine, query);
    if (query->at_most_once || query->suspect || base_delay == 0 ||
        !LrTargets_Policy(engine->targets)->hedged) {
        return;
    }
    for (size_t i = 0; i < query->n_parts; i++) {
        LrQueryPart *part = &query->parts[i];
        if (!is_hedgeable(part)) {
            continue;
        }
        LrTime due = hedge_due(part, base_delay);
        if (due <= now) {
            hedge_part(engine, part, now);
            LrTime recheck_at =
                now + (LrTime)(RECHECK_SHARE * (double)base_delay);
            due = MAX(hedge_due(part, base_delay), recheck_at);
        }
        if (is_hedgeable(part)) {
            query->next_hedge_at = MIN(query->next_hedge_at, due);
        }
    }
}
