/* Admission control: the entry's limits, and one queue per service and class,
 * or, with fair_admission, one pool of requests for each set of targets.
 *
 * A query starts only while few parts of its service wait for capacity at a
 * target, so that queries that have started are not starved by later ones.
 * Each queue is ordered by soft deadline, and urgent queries go first. A query
 * that can no longer meet its soft deadline is dropped before any of its parts
 * is sent. */
#include "limited_targets.h"
#include "private.h"

#include <math.h>

/* Queries are queued while at least this many parts wait per group, on
 * average. */
#define MAX_WAITING_PER_GROUP 1.0
/* Time constant at which the number of slots reserved for urgent queries
 * decays while none starts. */
#define URGENT_DECAY_NS 2e9
#define URGENT_MEAN_WEIGHT 0.05
/* Slots reserved in each group, as a share of the running urgent queries: a
 * query has one part in a group, in flight for only some of its duration. */
#define RESERVED_SHARE 0.6
/* Time constant at which the number of recent requests of an entry decays. */
#define RECENT_DECAY_NS 5e9
/* Quantile of the answer latency that has to fit between the latest start and
 * the soft deadline. */
#define LATEST_START_QUANTILE 0.5
/* A target that was ejected is tried again after this time. */
#define COVERAGE_RETRY_AFTER (500 * LR_MILLISECOND)

/* Whether this daemon's current quotas of the entry's limits admit one more
 * request. */
static bool
take_entry_limits(LrEngine *engine, LrEntry *entry, LrTime now)
{
    LrEntryState *state = entry->state;
    int64_t concurrency = LrLoans_EffectiveQuota(
        &state->concurrency_loans,
        LrQuota_Of(&engine->quota, entry->spec->max_concurrency), now);
    double rate = (double)LrLoans_EffectiveQuota(
        &state->rate_loans,
        LrQuota_Of(&engine->quota, entry->spec->rate_per_s), now);
    state->rate.tokens_per_second = rate;
    state->rate.capacity = rate;
    return state->running < concurrency &&
           LrTokenBucket_Take(&state->rate, now);
}

double
LrAdmission_RecentRequests(const LrEntryState *state, LrTime now)
{
    return state->recent_requests *
           exp(-(double)(now - state->recent_requests_at) / RECENT_DECAY_NS);
}

static void
count_recent(LrEntryState *state, LrTime now)
{
    state->recent_requests = LrAdmission_RecentRequests(state, now) + 1;
    state->recent_requests_at = now;
}

bool
LrAdmission_HasCoverage(const LrEntry *entry, LrTime now)
{
    const LrEntrySpec *spec = entry->spec;
    const LrMap *map = entry->service->maps;
    if (!spec->strict_coverage) {
        return true;
    }
    size_t n_served = 0;
    for (size_t i = 0; i < map->n_groups; i++) {
        n_served += LrTargets_HasUsableReplica(&map->groups[i], now);
    }
    return n_served >= LrGather_RequiredShards(spec, map->n_groups);
}

/* Whether the rate limits of targets leave room for one more request to as
 * many shards as the entry requires. */
static bool
rates_allow(const LrEngine *engine, const LrEntry *entry, LrTime now)
{
    const LrEntrySpec *spec = entry->spec;
    const LrMap *map = entry->service->maps;
    if (!spec->strict_coverage ||
        (LrLimitedTargets_IsEmpty(LrTargets_Limited(engine->targets)) &&
         !LrTargets_MayBeCold(engine->targets, now))) {
        return true;
    }
    size_t n_allowed = 0;
    for (size_t i = 0; i < map->n_groups; i++) {
        n_allowed += LrTargets_RateAllows(&map->groups[i], now);
    }
    return n_allowed >= LrGather_RequiredShards(spec, map->n_groups);
}

static LrServiceState *
service_state(const LrQuery *query)
{
    return query->entry->service->state;
}

/* Whether capacity for the query is allocated by a pool. */
static bool
is_pooled(const LrEngine *engine, const LrQuery *query)
{
    return engine->refused_callers && query->klass != LR_CLASS_URGENT &&
           service_state(query)->pool &&
           LrTargets_Policy(engine->targets)->adaptive;
}

/* Standing of a query at its arrival. This daemon knows only the callers that
 * it refused itself; those of others show by the time that they have left. */
static LrCallerStanding
standing_of(LrEngine *engine, const LrQuery *query, LrTime now)
{
    LrCallerStanding standing = LrRefusedCallers_OnRequest(
        engine->refused_callers, query->fingerprint, now);
    if (standing != LR_CALLER_NEW || query->caller_timeout == 0 ||
        LrRefusedCallers_ReturnTime(engine->refused_callers,
                                    query->fingerprint, now) > 0) {
        return standing;
    }
    /* No caller can make the usual time longer than the route allows. */
    LrTime given = MIN(query->caller_timeout,
                       query->entry->spec->deadline_ms * LR_MILLISECOND);
    return LrFairAdmission_StandingByTime(&query->entry->state->usual_timeout,
                                          given, now);
}

static void
join_pool(LrEngine *engine, LrQuery *query, LrTime now)
{
    LrServiceState *state = service_state(query);
    LrTicket *ticket = &query->ticket;
    ticket->standing = standing_of(engine, query, now);
    ticket->soft_deadline = query->soft_deadline;
    ticket->hard_deadline = query->hard_deadline;
    ticket->run_time = (LrTime)state->run_time.typical;
    LrFairPool_OnArrival(state->pool, ticket, query->entry->spec->rank, now);
    LrCounters *counters = engine->config.counters;
    LrCounters_Add(counters, LR_COUNT_ADMISSION_RETURNED,
                   ticket->standing == LR_CALLER_RETURNED);
    LrCounters_Add(counters, LR_COUNT_ADMISSION_EARLY,
                   ticket->standing >= LR_CALLER_REPEATED);
    uint64_t n_refused;
    LrTime length = LrFairPool_EndShortage(state->pool, now, &n_refused);
    if (length > 0) {
        LR_LOG(engine->config.log, LOG_NOTICE, "capacity_regained",
               LrLog_Str("service", query->entry->service->name),
               LrLog_Int("ms", length / LR_MILLISECOND),
               LrLog_Int("refused", (int64_t)n_refused));
    }
}

LrReason
LrAdmission_Check(LrEngine *engine, LrQuery *query, LrTime now)
{
    if (engine->stopping && query->shard.len == 0) {
        return LR_REASON_STOPPING;
    }
    LrRequestStatus request_status =
        LrQuarantine_Check(engine->quarantine, query->fingerprint, now);
    if (request_status == LR_REQUEST_QUARANTINED) {
        LrCounters_Add(engine->config.counters, LR_COUNT_QUARANTINED, 1);
        return LR_REASON_QUARANTINED;
    }
    query->suspect = request_status == LR_REQUEST_SUSPECT;
    if (query->shard.len > 0) {
        return LR_REASON_NONE;
    }
    if (is_pooled(engine, query)) {
        join_pool(engine, query, now);
    }
    count_recent(query->entry->state, now);
    if (engine->targets_lost || !LrAdmission_HasCoverage(query->entry, now)) {
        LrCounters_Add(engine->config.counters, LR_COUNT_EVACUATED_REFUSED,
                       LrTargets_HasEvacuatedZones(engine->targets));
        return LR_REASON_NO_REPLICA;
    }
    if (!rates_allow(engine, query->entry, now)) {
        return LR_REASON_TARGET_LIMIT;
    }
    if (!take_entry_limits(engine, query->entry, now)) {
        query->entry->state->wants_loan = true;
        return LR_REASON_ENTRY_LIMIT;
    }
    return LR_REASON_NONE;
}

/* Whether the query may start now; else it has to be queued. */
static bool
can_start(const LrQuery *query, LrTime now)
{
    LrServiceState *state = service_state(query);
    if (query->klass == LR_CLASS_URGENT ||
        !LrTargets_Policy(query->engine->targets)->adaptive) {
        return true;
    }
    size_t n_groups =
        query->single_shard ? 1 : query->entry->service->maps->n_groups;
    const LrFairPool *pool = query->ticket.pool;
    if (pool && !LrFairPool_HasRoomFor(pool, &query->ticket, now)) {
        return false;
    }
    uint32_t n_waiting = pool ? pool->n_waiting_parts : state->n_waiting;
    return n_waiting < MAX_WAITING_PER_GROUP * (double)n_groups;
}

static void
enqueue(LrQuery *query)
{
    LrServiceState *state = service_state(query);
    struct LrQueryList *list = &state->queued[query->klass];
    LrQuery *before = TAILQ_LAST(list, LrQueryList);
    while (before && before->soft_deadline > query->soft_deadline) {
        before = TAILQ_PREV(before, LrQueryList, of_queue);
    }
    if (before) {
        TAILQ_INSERT_AFTER(list, before, query, of_queue);
    }
    else {
        TAILQ_INSERT_HEAD(list, query, of_queue);
    }
    query->queued = true;
    state->n_queued++;
}

static void
dequeue(LrQuery *query)
{
    if (!query->queued) {
        return;
    }
    LrServiceState *state = service_state(query);
    if (query->ticket.pool) {
        LrFairPool_Remove(&query->ticket);
    }
    else {
        TAILQ_REMOVE(&state->queued[query->klass], query, of_queue);
    }
    query->queued = false;
    state->n_queued--;
}

static void
refuse(LrEngine *engine, LrQuery *query, LrCounterId counter, LrTime now)
{
    query->refused_as = counter;
    LrQuery_Finish(engine, query, LR_REASON_OVERLOAD, now);
}

static void
start_or_wait_in_pool(LrEngine *engine, LrQuery *query, LrTime now)
{
    LrTicket *ticket = &query->ticket;
    /* Serves those that wait, or refuses them if nothing starts any more. */
    LrEngine_MarkServiceDirty(engine, service_state(query));
    if (ticket->pool->n_waiting == 0 && can_start(query, now)) {
        LrQuery_Start(engine, query, now);
        return;
    }
    if (!LrFairPool_Enqueue(ticket->pool, ticket, now)) {
        refuse(engine, query,
               ticket->standing == LR_CALLER_EARLY
                   ? LR_COUNT_ADMISSION_REFUSED_EARLY
                   : LR_COUNT_ADMISSION_REFUSED_AT_ONCE,
               now);
        return;
    }
    query->queued = true;
    service_state(query)->n_queued++;
    LrQuery_SetTimer(engine, query, now);
}

void
LrAdmission_StartOrQueue(LrEngine *engine, LrQuery *query, LrTime now)
{
    if (query->ticket.pool) {
        start_or_wait_in_pool(engine, query, now);
        return;
    }
    if (can_start(query, now)) {
        LrQuery_Start(engine, query, now);
        return;
    }
    enqueue(query);
    LrQuery_SetTimer(engine, query, now);
}

void
LrAdmission_OnWaitedTooLong(LrEngine *engine, LrQuery *query, LrTime now)
{
    LrCounters_Add(engine->config.counters, LR_COUNT_DROPPED_EARLY, 1);
    refuse(engine, query, LR_COUNT_ADMISSION_REFUSED_WAITING, now);
}

LrTime
LrAdmission_LatestStart(const LrQuery *query)
{
    if (query->ticket.pool) {
        return query->ticket.start_by;
    }
    LrLatencyHistogram *answer = service_state(query)->answer_latency;
    return query->soft_deadline -
           LrLatencyHistogram_Quantile(answer, LATEST_START_QUANTILE, 0);
}

static LrQuery *
next_queued(LrServiceState *state)
{
    for (size_t i = 0; i < LR_CLASS_COUNT; i++) {
        LrQuery *query = TAILQ_FIRST(&state->queued[i]);
        if (query) {
            return query;
        }
    }
    return NULL;
}

static LrQuery *
next_of_pool(LrFairPool *pool, LrTime now)
{
    LrTicket *ticket = LrFairPool_Next(pool, now);
    return ticket ? (LrQuery *)((char *)ticket - offsetof(LrQuery, ticket))
                  : NULL;
}

static void
start_pooled(LrEngine *engine, LrFairPool *pool, LrTime now)
{
    LrQuery *query = next_of_pool(pool, now);
    while (query) {
        if (engine->targets_lost ||
            !LrAdmission_HasCoverage(query->entry, now)) {
            LrQuery_Finish(engine, query, LR_REASON_NO_REPLICA, now);
        }
        else if (!can_start(query, now) && !LrFairPool_IsStalled(pool, now)) {
            return;
        }
        else if (now > query->ticket.start_by || !can_start(query, now)) {
            LrAdmission_OnWaitedTooLong(engine, query, now);
        }
        else {
            LrQuery_Start(engine, query, now);
        }
        query = next_of_pool(pool, now);
    }
}

void
LrAdmission_StartQueued(LrEngine *engine, LrServiceState *state, LrTime now)
{
    if (engine->refused_callers && state->pool) {
        start_pooled(engine, state->pool, now);
    }
    LrQuery *query = next_queued(state);
    while (query && can_start(query, now)) {
        dequeue(query);
        if (now > LrAdmission_LatestStart(query)) {
            LrAdmission_OnWaitedTooLong(engine, query, now);
        }
        else {
            LrQuery_Start(engine, query, now);
        }
        query = next_queued(state);
    }
}

/* Smoothed number of running urgent queries, decayed since the last start. */
static double
decayed_urgent_mean(const LrServiceState *state, LrTime now)
{
    return state->urgent_mean *
           exp(-(double)(now - state->urgent_mean_at) / URGENT_DECAY_NS);
}

void
LrAdmission_Started(LrQuery *query, LrTime now)
{
    query->running = true;
    query->started_at = now;
    query->entry->state->running++;
    if (query->ticket.pool) {
        LrFairPool_OnStart(query->ticket.pool, &query->ticket, now);
        dequeue(query);
    }
    if (query->klass != LR_CLASS_URGENT) {
        return;
    }
    LrServiceState *state = service_state(query);
    state->urgent_running++;
    double mean = decayed_urgent_mean(state, now);
    state->urgent_mean =
        mean + URGENT_MEAN_WEIGHT * (state->urgent_running - mean);
    state->urgent_mean_at = now;
}

void
LrAdmission_Finished(LrQuery *query)
{
    dequeue(query);
    if (query->ticket.pool) {
        LrFairPool_OnEnd(&query->ticket);
    }
    if (!query->running) {
        return;
    }
    query->running = false;
    query->entry->state->running--;
    if (query->klass == LR_CLASS_URGENT) {
        service_state(query)->urgent_running--;
    }
    LrEngine_MarkServiceDirty(query->engine, service_state(query));
}

uint32_t
LrAdmission_ReservedSlots(const LrQuery *query, LrTime now)
{
    const LrServiceState *state = service_state(query);
    if (query->klass == LR_CLASS_URGENT || state->urgent_mean == 0) {
        return 0;
    }
    return (uint32_t)ceil(RESERVED_SHARE * decayed_urgent_mean(state, now));
}

static bool
lacks_coverage(LrReason reason)
{
    return reason == LR_REASON_NO_REPLICA || reason == LR_REASON_TARGET_FAILED;
}

/* After what time the caller may return; 0 where it has too little left. */
static LrTime
retry_after(LrEngine *engine, const LrQuery *query, LrReason reason,
            LrTime now)
{
    LrTime left = query->hard_deadline - now;
    double random = LrRandom_Uniform(engine->random);
    if (lacks_coverage(reason)) {
        return LrFairAdmission_SpreadRetry(COVERAGE_RETRY_AFTER, left, random);
    }
    LrTime told = LrRefusedCallers_ReturnTime(engine->refused_callers,
                                              query->fingerprint, now);
    if (query->ticket.standing == LR_CALLER_EARLY && told > now) {
        return LrFairAdmission_SpreadRetry(told - now, left, 0);
    }
    return LrFairPool_RetryAfter(query->ticket.pool, left, random, now);
}

static const LrCounterId RANK_COUNTERS[] = {
    LR_COUNT_ADMISSION_REFUSED_RANK_0,
    LR_COUNT_ADMISSION_REFUSED_RANK_1,
    LR_COUNT_ADMISSION_REFUSED_RANK_2,
    LR_COUNT_ADMISSION_REFUSED_RANK_LOWER,
};

static void
count_refusal(LrEngine *engine, const LrQuery *query, LrReason reason)
{
    LrCounterId counter = query->refused_as;
    if (counter == 0) {
        counter = lacks_coverage(reason)
                      ? LR_COUNT_ADMISSION_REFUSED_NO_COVERAGE
                      : LR_COUNT_ADMISSION_REFUSED_BY_TARGETS;
    }
    LrCounters *counters = engine->config.counters;
    LrCounters_Add(counters, counter, 1);
    int64_t rank = MIN(query->entry->spec->rank,
                       (int64_t)G_N_ELEMENTS(RANK_COUNTERS) - 1);
    LrCounters_Add(counters, RANK_COUNTERS[rank], 1);
}

static void
on_refused(LrEngine *engine, LrQuery *query, LrAnswer *answer, LrTime now)
{
    LrReason reason = answer->reason;
    if (reason != LR_REASON_OVERLOAD && reason != LR_REASON_TARGET_LIMIT &&
        !lacks_coverage(reason)) {
        return;
    }
    LrTime wait = retry_after(engine, query, reason, now);
    if (wait <= 0 && query->refused_as == 0) {
        /* Its caller gave too little time, whatever the capacity. */
        return;
    }
    answer->retry_after = wait;
    count_refusal(engine, query, reason);
    if (wait > 0) {
        LrRefusedCallers_OnRefused(engine->refused_callers, query->fingerprint,
                                   now + wait, query->hard_deadline, now);
    }
    LrFairPool *pool = query->ticket.pool;
    if (LrFairPool_OnRefused(pool, now)) {
        LR_LOG(engine->config.log, LOG_NOTICE, "capacity_short",
               LrLog_Str("service", query->entry->service->name),
               LrLog_Str("entry", query->entry->spec->name),
               LrLog_Int("rank", query->entry->spec->rank),
               LrLog_CStr("reason", LrReason_Names[reason]),
               LrLog_Int("waiting", pool->n_waiting),
               LrLog_Int("retry_after_ms", wait / LR_MILLISECOND));
    }
}

void
LrAdmission_OnAnswer(LrEngine *engine, LrQuery *query, LrAnswer *answer,
                     LrTime now)
{
    if (!query->ticket.pool) {
        return;
    }
    if (answer->outcome == LR_OUTCOME_NOT_RUN && query->n_spent == 0) {
        on_refused(engine, query, answer, now);
        return;
    }
    LrRefusedCallers_Forget(engine->refused_callers, query->fingerprint);
    if (answer->outcome == LR_OUTCOME_COMPLETE) {
        LrFairPool_OnComplete(query->ticket.pool, &query->ticket,
                              &service_state(query)->run_time,
                              query->arrived_at, query->started_at, now);
    }
}
