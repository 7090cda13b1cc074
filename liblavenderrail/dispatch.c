/* Sends the parts of queries to replicas, and queues them while no replica
 * has capacity. */
#include "private.h"

#define MEDIAN_QUANTILE 0.5
/* Median latency assumed while a service has too few samples. */
#define DEFAULT_MEDIAN (5 * LR_MILLISECOND)
/* A part is not sent when less time remains than this share of the median
 * latency. */
#define MIN_TIME_LEFT_MEDIANS 0.5

enum { MAX_ATTEMPTS = 6 };

LrTime
LrDispatch_MedianLatency(const LrQuery *query)
{
    return LrLatencyHistogram_Quantile(
        query->entry->service->state->attempt_latency, MEDIAN_QUANTILE, 0);
}

LrTime
LrDispatch_MedianOrDefault(const LrQuery *query)
{
    LrTime median = LrDispatch_MedianLatency(query);
    return median > 0 ? median : DEFAULT_MEDIAN;
}

static const LrCounterId KIND_COUNTERS[] = {
    [LR_ATTEMPT_FIRST] = LR_COUNT_SUB_REQUESTS,
    [LR_ATTEMPT_RETRY] = LR_COUNT_RETRIES,
    [LR_ATTEMPT_HEDGE] = LR_COUNT_HEDGES,
};

static const char *const KIND_NAMES[] = {
    [LR_ATTEMPT_FIRST] = "first",
    [LR_ATTEMPT_RETRY] = "retry",
    [LR_ATTEMPT_HEDGE] = "hedge",
};

static void
add_tried(LrQueryPart *part, LrTarget *target)
{
    if (part->n_tried == LR_QUERY_PART_MAX_TRIED) {
        part->n_tried--;
    }
    part->tried[part->n_tried++] = target;
}

void
LrDispatch_SendTo(LrEngine *engine, LrQueryPart *part, LrTarget *target,
                  LrTime now)
{
    LrQuery *query = part->query;
    LrAttempt *attempt =
        LrAttempt_New(engine, part, target, part->next_kind, now);
    if (part->n_sent == 0) {
        part->first_sent_at = now;
        LrTokenBucket_Add(&engine->hedge_bucket, engine->config.hedge_share);
        LrTokenBucket_Add(&engine->retry_bucket, engine->config.retry_share);
        LrRetryBudget_AddFirstAttempt(&part->group->state->budget,
                                      &engine->config.budget, now);
    }
    LrRateLimit_CountSend(&target->rate_limit, now);
    LrCounters_Add(engine->config.counters, LR_COUNT_COLD_SENDS,
                   LrColdStart_IsLimited(&target->cold, now));
    LrColdStart_CountSend(&target->cold, now);
    part->n_sent++;
    part->n_may_have_run++;
    part->state = LR_QUERY_PART_SENT;
    query->n_may_have_run++;
    add_tried(part, target);
    LrCounters_Add(engine->config.counters, KIND_COUNTERS[part->next_kind], 1);
    LrAction *action = LrEngine_AddAction(engine, LR_ACTION_SEND);
    action->attempt = attempt->id;
    action->target = target;
    action->service = query->entry->service->name;
    action->entry = query->entry->spec->name;
    action->shard = part->group->name;
    action->key = query->key;
    action->version = query->map->version;
    action->deadline = query->hard_deadline;
    action->klass = query->klass;
    action->body = query->body;
    action->data = query->data;
    action->attempt_kind = KIND_NAMES[part->next_kind];
    action->fingerprint = query->fingerprint;
}

bool
LrDispatch_HasAttemptsLeft(const LrQueryPart *part)
{
    int64_t max_attempts = part->query->entry->spec->max_attempts;
    int64_t n_used = (int64_t)part->n_may_have_run + part->query->n_spent;
    return max_attempts == 0 || n_used < max_attempts;
}

bool
LrDispatch_SpendBudget(LrEngine *engine, LrQueryPart *part,
                       LrTokenBucket *bucket, LrTime now)
{
    const LrRetryBudgetRule *rule = &engine->config.budget;
    if (rule->ratio == 0) {
        return LrTokenBucket_Take(bucket, now);
    }
    /* What is allowed beyond the ratio is divided between the daemons. */
    LrRetryBudgetRule own = *rule;
    double divisor = engine->limit_divisor > 0 ? engine->limit_divisor
                                               : (double)engine->quota.count;
    own.fixed_allowance /=
        MAX(divisor, (double)MAX(1, engine->config.budget_daemons));
    bool taken =
        LrRetryBudget_TakeExtraAttempt(&part->group->state->budget, &own, now);
    LrCounters_Add(engine->config.counters, LR_COUNT_BUDGET_REFUSED, !taken);
    return taken;
}

static void
count_in_pool(const LrQuery *query, int n_parts)
{
    LrFairPool *pool = query->entry->service->state->pool;
    if (pool) {
        pool->n_waiting_parts += (uint32_t)n_parts;
    }
}

static void
enqueue_part(LrQueryPart *part)
{
    LrQuery *query = part->query;
    struct LrQueryPartList *list = &part->group->waiting[query->klass];
    LrQueryPart *before = TAILQ_LAST(list, LrQueryPartList);
    while (before && before->query->hard_deadline > query->hard_deadline) {
        before = TAILQ_PREV(before, LrQueryPartList, of_group);
    }
    if (before) {
        TAILQ_INSERT_AFTER(list, before, part, of_group);
    }
    else {
        TAILQ_INSERT_HEAD(list, part, of_group);
    }
    part->queued = true;
    part->group->n_waiting++;
    query->entry->service->state->n_waiting++;
    count_in_pool(query, 1);
}

void
LrDispatch_Unqueue(LrQueryPart *part)
{
    if (!part->queued) {
        return;
    }
    LrQuery *query = part->query;
    TAILQ_REMOVE(&part->group->waiting[query->klass], part, of_group);
    part->queued = false;
    part->group->n_waiting--;
    query->entry->service->state->n_waiting--;
    count_in_pool(query, -1);
    LrEngine_MarkServiceDirty(query->engine, query->entry->service->state);
}

bool
LrDispatch_IsVersionServed(const LrQueryPart *part, LrTime now)
{
    const LrGroup *group = part->group;
    for (size_t i = 0; i < group->n_replicas; i++) {
        if (LrTargets_ServesVersion(group->replicas[i],
                                    part->query->map->version, now) &&
            !LrTargets_IsOutOfUse(group->replicas[i], now)) {
            return true;
        }
    }
    return false;
}

/* Every replica was tried: allows those again that have no attempt of the
 * part in flight. */
static void
reset_tried(LrQueryPart *part)
{
    part->n_tried = 0;
    for (unsigned i = 0; i < part->n_in_flight; i++) {
        part->tried[part->n_tried++] = part->in_flight_attempts[i]->target;
    }
}

static LrTarget *
pick_target(LrEngine *engine, const LrQueryPart *part, LrTime now,
            bool *can_wait)
{
    const LrQuery *query = part->query;
    return LrTargets_Pick(engine->targets, part->group, query->map->version,
                          now, LrDispatch_MedianOrDefault(query), part->tried,
                          part->n_tried, query->suspect,
                          LrAdmission_ReservedSlots(query, now), can_wait);
}

/* Sends the first attempt of a part that has time to another replica if it is
 * to be found out whether that one has recovered. Requests that must run at
 * most once are not hedged, so that a slow probe would delay them. */
static LrTarget *
consider_probe(LrEngine *engine, const LrQueryPart *part, LrTarget *chosen,
               LrTime now)
{
    const LrQuery *query = part->query;
    if (!engine->config.learn_capacity || part->n_sent > 0 ||
        query->at_most_once || query->suspect || part->group->n_waiting > 0) {
        return chosen;
    }
    double n_senders = engine->limit_divisor > 0 ? engine->limit_divisor
                                                 : (double)engine->quota.count;
    return LrTargets_PickProbe(engine->targets, part->group, chosen,
                               query->map->version, now,
                               LrDispatch_MedianOrDefault(query),
                               query->soft_deadline - now, n_senders);
}

/* Why a part that was never sent has no target. */
static LrReason
missing_reason(const LrQueryPart *part, LrTime now)
{
    if (!LrDispatch_IsVersionServed(part, now)) {
        return LR_REASON_NO_REPLICA;
    }
    bool rate_limited = LrTargets_HasUsableReplica(part->group, now) &&
                        !LrTargets_RateAllows(part->group, now);
    return rate_limited ? LR_REASON_TARGET_LIMIT : LR_REASON_TARGET_FAILED;
}

static void
give_up(LrQueryPart *part, LrTime now)
{
    if (part->n_in_flight > 0) {
        return;
    }
    LrReason reason = part->reason;
    if (reason == LR_REASON_NONE) {
        reason = missing_reason(part, now);
    }
    LrGather_SetMissing(part, reason);
}

/* Whether an attempt of the query is in flight, or waits for capacity, that
 * tries whether a target survives it. */
static bool
has_trial(const LrQuery *query)
{
    for (size_t i = 0; i < query->n_parts; i++) {
        const LrQueryPart *part = &query->parts[i];
        if (part->queued) {
            return true;
        }
        for (unsigned j = 0; j < part->n_in_flight; j++) {
            if (part->in_flight_attempts[j]->sent_as_suspect) {
                return true;
            }
        }
    }
    return false;
}

static bool
must_hold(const LrEngine *engine, const LrQuery *query, LrTime now)
{
    return engine->config.confirm_crashes && query->suspect &&
           (now < query->hold_until || has_trial(query));
}

void
LrDispatch_SendHeld(LrEngine *engine, LrQuery *query, LrTime now)
{
    for (size_t i = 0; i < query->n_parts; i++) {
        LrQueryPart *part = &query->parts[i];
        if (part->held && must_hold(engine, query, now)) {
            return;
        }
        if (part->held && part->state == LR_QUERY_PART_WAITING) {
            part->held = false;
            LrDispatch_Send(engine, part, now);
        }
    }
}

void
LrDispatch_Send(LrEngine *engine, LrQueryPart *part, LrTime now)
{
    const LrQuery *query = part->query;
    if (must_hold(engine, query, now)) {
        part->held = true;
        return;
    }
    if (part->n_sent == 0 && !LrDispatch_HasAttemptsLeft(part)) {
        part->reason = LR_REASON_TARGET_FAILED;
        give_up(part, now);
        return;
    }
    double remaining = (double)(query->hard_deadline - now);
    if (remaining < MIN_TIME_LEFT_MEDIANS *
                        (double)LrDispatch_MedianOrDefault(query) ||
        part->n_sent >= MAX_ATTEMPTS) {
        if (part->reason == LR_REASON_NONE) {
            part->reason =
                part->n_sent == 0 ? LR_REASON_OVERLOAD : LR_REASON_DEADLINE;
        }
        give_up(part, now);
        return;
    }
    bool can_wait;
    LrTarget *target = pick_target(engine, part, now, &can_wait);
    if (!can_wait && part->n_tried > part->n_in_flight &&
        LrDispatch_IsVersionServed(part, now)) {
        reset_tried(part);
        target = pick_target(engine, part, now, &can_wait);
    }
    if (target) {
        target = consider_probe(engine, part, target, now);
        LrDispatch_SendTo(engine, part, target, now);
    }
    else if (can_wait) {
        enqueue_part(part);
    }
    else {
        give_up(part, now);
    }
}

/* Sends waiting parts until none can be sent or one is missing, which may
 * change the queue. Returns the view of that one, which the caller has to
 * release, and otherwise NULL. */
static LrView *
send_until_missing(LrEngine *engine, LrGroup *group, LrTime now)
{
    for (size_t i = 0; i < LR_CLASS_COUNT; i++) {
        LrQueryPart *part;
        LrQueryPart *next;
        TAILQ_FOREACH_SAFE(part, &group->waiting[i], of_group, next)
        {
            bool can_wait;
            double remaining = (double)(part->query->hard_deadline - now);
            bool too_late = remaining < MIN_TIME_LEFT_MEDIANS *
                                            (double)LrDispatch_MedianOrDefault(
                                                part->query);
            if (!too_late && !pick_target(engine, part, now, &can_wait) &&
                can_wait) {
                return NULL;
            }
            LrDispatch_Unqueue(part);
            LrDispatch_Send(engine, part, now);
            if (part->state == LR_QUERY_PART_MISSING) {
                LrView *view = LrView_Ref(part->query->view);
                LrQuery_Progress(engine, part->query, now);
                return view;
            }
        }
    }
    return NULL;
}

/* A loop, since a recursion over the parts that are missing would be as deep
 * as callers make the queue. */
static void
send_waiting(LrEngine *engine, LrGroup *group, LrTime now)
{
    /* Keeps the group while its last queries end. */
    LrView *group_view = NULL;
    LrView *view;
    while ((view = send_until_missing(engine, group, now))) {
        if (group_view) {
            LrView_Unref(view);
        }
        else {
            group_view = view;
        }
    }
    if (group_view) {
        LrView_Unref(group_view);
    }
}

/* The group of the target whose first waiting part is due first. */
static LrGroup *
most_urgent_group(const LrTarget *target)
{
    LrGroup *urgent = NULL;
    LrTime due = LR_NEVER;
    for (guint i = 0; i < target->groups->len; i++) {
        LrGroup *group = target->groups->pdata[i];
        const LrQueryPart *part =
            TAILQ_FIRST(&group->waiting[LR_CLASS_ROUTINE]);
        if (part && part->query->soft_deadline < due) {
            urgent = group;
            due = part->query->soft_deadline;
        }
    }
    return urgent;
}

void
LrDispatch_SendWaiting(LrEngine *engine, LrTarget *target, LrTime now)
{
    /* Routes to the same shards with other objectives have groups of their
     * own; without an order the first of them would take every free slot. */
    LrGroup *first = engine->config.fair_admission && target->groups->len > 1
                         ? most_urgent_group(target)
                         : NULL;
    if (first) {
        send_waiting(engine, first, now);
    }
    for (guint i = 0; i < target->groups->len; i++) {
        LrGroup *group = target->groups->pdata[i];
        if (group->n_waiting > 0) {
            send_waiting(engine, group, now);
        }
    }
}

void
LrDispatch_Cancel(LrEngine *engine, LrQueryPart *part)
{
    LrDispatch_Unqueue(part);
    while (part->n_in_flight > 0) {
        LrAttempt *attempt = part->in_flight_attempts[part->n_in_flight - 1];
        LrAction *action = LrEngine_AddAction(engine, LR_ACTION_CANCEL);
        action->attempt = attempt->id;
        LrCounters_Add(engine->config.counters, LR_COUNT_CANCELS, 1);
        attempt->target->cancelled_at = engine->now;
        if (engine->config.track_cancelled) {
            LrAttempt_MarkCancelled(attempt,
                                    LrDispatch_MedianLatency(part->query));
        }
        else {
            LrAttempt_Free(engine, attempt);
        }
    }
}
