/* Lifecycle of a query: admission, choice of the index version, sending of its
 * parts, replies, answer. */
#include "private.h"

/* Minimum delay of the timer for a query's next hedge. */
#define MIN_HEDGE_TIMER_DELAY (50 * LR_MICROSECOND)

enum { MAX_RESTARTS = 2 };

static void
free_query(LrEngine *engine, LrQuery *query)
{
    LrTimers_Cancel(engine->timers, &query->timer);
    LrGather_Clear(engine, query);
    LrAdmission_Finished(query);
    TAILQ_REMOVE(&engine->queries, query, of_engine);
    g_hash_table_remove(engine->queries_by_id, &query->id);
    engine->n_queries--;
    if (query->body) {
        g_bytes_unref(query->body);
    }
    LrView_Unref(query->view);
    g_free((char *)query->key.ptr);
    g_free((char *)query->shard.ptr);
    g_free(query);
}

static const LrCounterId OUTCOME_COUNTERS[] = {
    [LR_OUTCOME_COMPLETE] = LR_COUNT_COMPLETE,
    [LR_OUTCOME_PARTIAL] = LR_COUNT_PARTIAL,
    [LR_OUTCOME_NOT_RUN] = LR_COUNT_NOT_RUN,
    [LR_OUTCOME_UNKNOWN] = LR_COUNT_UNKNOWN,
};

static void
record_answer(LrEngine *engine, const LrQuery *query, const LrAnswer *answer,
              LrTime now)
{
    LrCounters *counters = engine->config.counters;
    LrCounters_Add(counters, OUTCOME_COUNTERS[answer->outcome], 1);
    LrTime latency = now - query->arrived_at;
    if (counters) {
        LrLatencyHistogram_Add(counters->answer_latency[query->klass],
                               latency);
    }
    if (query->entry && answer->outcome == LR_OUTCOME_COMPLETE) {
        LrLatencyHistogram_Add(query->entry->service->state->answer_latency,
                               latency);
    }
}

void
LrQuery_Finish(LrEngine *engine, LrQuery *query, LrReason reason, LrTime now)
{
    LrAnswer *answer = LrGather_BuildAnswer(query, reason);
    record_answer(engine, query, answer, now);
    LrAdmission_OnAnswer(engine, query, answer, now);
    if (query->suspect && answer->outcome == LR_OUTCOME_COMPLETE) {
        LrQuarantine_Clear(engine->quarantine, query->fingerprint);
    }
    LrAction *action = LrEngine_AddAction(engine, LR_ACTION_ANSWER);
    action->answer = answer;
    free_query(engine, query);
}

/* Chooses the index version, and with it the shard map. */
static bool
resolve_map(LrQuery *query, LrTime now)
{
    const LrService *service = query->entry->service;
    LrMap *map = query->version > 0
                     ? LrView_LookupMap(service, query->version)
                     : LrView_PickMap(service, query->entry->spec->snapshot,
                                      query->excluded_version, now);
    return map && LrGather_Init(query, map);
}

static void
send_all(LrEngine *engine, LrQuery *query, LrTime now)
{
    for (size_t i = 0; i < query->n_parts; i++) {
        LrDispatch_Send(engine, &query->parts[i], now);
    }
    query->next_hedge_at = now;
    LrHedge_Run(engine, query, now);
}

/* Restarts the query on another index version; false when that is not
 * possible. */
static bool
restart(LrEngine *engine, LrQuery *query, LrTime now)
{
    if (query->restarts >= MAX_RESTARTS || now >= query->hard_deadline ||
        query->version > 0) {
        return false;
    }
    LrMap *map =
        LrView_PickMap(query->entry->service, query->entry->spec->snapshot,
                       query->map->version, now);
    if (!map || map == query->map) {
        return false;
    }
    query->excluded_version = query->map->version;
    query->restarts++;
    LrCounters_Add(engine->config.counters, LR_COUNT_RESTARTS, 1);
    LrGather_Clear(engine, query);
    LrGather_Init(query, map);
    send_all(engine, query, now);
    return true;
}

void
LrQuery_Progress(LrEngine *engine, LrQuery *query, LrTime now)
{
    if (LrGather_IsDone(query, now)) {
        LrReason reason =
            query->n_pending > 0 ? LR_REASON_DEADLINE : LR_REASON_NONE;
        LrQuery_Finish(engine, query, reason, now);
        return;
    }
    LrQuery_SetTimer(engine, query, now);
}

void
LrQuery_SetTimer(LrEngine *engine, LrQuery *query, LrTime now)
{
    LrTime due = query->hard_deadline;
    if (query->queued) {
        due = MAX(now, LrAdmission_LatestStart(query));
    }
    else if (query->soft_deadline > now) {
        due = MIN(due, query->soft_deadline);
    }
    due = MIN(due, MAX(query->next_hedge_at, now + MIN_HEDGE_TIMER_DELAY));
    if (query->hold_until > now) {
        due = MIN(due, query->hold_until);
    }
    if (query->timer.heap_index == 0 || query->timer.due != due) {
        LrTimers_Arm(engine->timers, &query->timer, due);
    }
}

static void
on_timer(void *data, LrTime now)
{
    LrQuery *query = data;
    LrEngine *engine = query->engine;
    if (query->queued) {
        LrAdmission_OnWaitedTooLong(engine, query, now);
        return;
    }
    LrDispatch_SendHeld(engine, query, now);
    if (query->next_hedge_at <= now && now < query->hard_deadline) {
        LrHedge_Run(engine, query, now);
    }
    LrQuery_Progress(engine, query, now);
}

void
LrQuery_Start(LrEngine *engine, LrQuery *query, LrTime now)
{
    LrAdmission_Started(query, now);
    if (!resolve_map(query, now)) {
        LrQuery_Finish(engine, query, LR_REASON_NO_REPLICA, now);
        return;
    }
    send_all(engine, query, now);
    LrQuery_Progress(engine, query, now);
}

static LrQuery *
new_query(LrEngine *engine, LrTime now, const LrRequest *request)
{
    LrQuery *query = g_new0(LrQuery, 1);
    query->id = ++engine->next_id;
    query->engine = engine;
    query->single_shard = request->single_shard;
    query->n_spent = request->n_spent;
    query->version = request->version;
    query->shard =
        (LrStr){.ptr = LrStr_Dup(request->shard), .len = request->shard.len};
    query->data = request->data;
    query->body = request->body ? g_bytes_ref(request->body) : NULL;
    query->key =
        (LrStr){.ptr = LrStr_Dup(request->key), .len = request->key.len};
    query->klass = LR_CLASS_ROUTINE;
    query->arrived_at = now;
    query->next_hedge_at = LR_NEVER;
    query->timer = (LrTimer){.func = on_timer, .data = query};
    query->fingerprint = request->fingerprint;
    if (query->fingerprint.content == 0) {
        query->fingerprint.content = LrQuarantine_HashContent(
            request->entry, LrStr_FromBytes(request->body));
    }
    TAILQ_INSERT_TAIL(&engine->queries, query, of_engine);
    g_hash_table_insert(engine->queries_by_id, &query->id, query);
    engine->n_queries++;
    return query;
}

/* Sets the query's entry, deadlines and class; returns why it cannot run. */
static LrReason
bind_entry(LrEngine *engine, LrQuery *query, const LrRequest *request,
           LrTime now)
{
    if (!engine->view) {
        return LR_REASON_NO_CATALOGUE;
    }
    query->view = LrView_Ref(engine->view);
    query->entry = LrView_LookupEntry(query->view, request->entry);
    if (!query->entry) {
        return LR_REASON_UNKNOWN_ENTRY;
    }
    const LrEntrySpec *spec = query->entry->spec;
    LrTime remaining_hard =
        spec->deadline_ms * LR_MILLISECOND - request->elapsed;
    if (request->timeout > 0) {
        remaining_hard = MIN(remaining_hard, request->timeout);
    }
    query->klass = spec->klass;
    query->at_most_once = !spec->idempotent;
    query->hard_deadline = now + remaining_hard;
    LrTime remaining_soft =
        spec->soft_deadline_ms * LR_MILLISECOND - request->elapsed;
    query->soft_deadline = MIN(query->hard_deadline, now + remaining_soft);
    query->soft_deadline =
        MAX(now, query->soft_deadline - engine->config.answer_margin);
    query->caller_timeout =
        request->timeout > 0 ? request->elapsed + request->timeout : 0;
    LrStr route = request->routing_key;
    query->route_hash =
        route.len ? LrStr_Hash(route, 0) : query->fingerprint.content;
    return LrAdmission_Check(engine, query, now);
}

uint64_t
LrQuery_Submit(LrEngine *engine, LrTime now, const LrRequest *request)
{
    LrQuery *query = new_query(engine, now, request);
    uint64_t id = query->id;
    LrCounters_Add(engine->config.counters, LR_COUNT_QUERIES, 1);
    LrReason reason = bind_entry(engine, query, request, now);
    if (reason != LR_REASON_NONE) {
        if (reason == LR_REASON_UNKNOWN_ENTRY) {
            query->entry = NULL;
        }
        LrQuery_Finish(engine, query, reason, now);
    }
    else {
        LrAdmission_StartOrQueue(engine, query, now);
    }
    return id;
}

void
LrQuery_Abandon(LrEngine *engine, LrQuery *query)
{
    free_query(engine, query);
}

/* Retries a part that failed in a way that allows another attempt. A failed
 * connect put no load on a target, so its retry is not charged to the retry
 * budget. */
static void
retry_part(LrEngine *engine, LrQueryPart *part, LrReplyStatus status,
           LrTime now)
{
    if (part->n_in_flight > 0) {
        return;
    }
    if (engine->targets_lost || LrTargets_AllEjected(part->group, now) ||
        !LrDispatch_HasAttemptsLeft(part) ||
        (status != LR_REPLY_CONNECT_FAILED &&
         !LrDispatch_SpendBudget(engine, part, &engine->retry_bucket, now))) {
        LrGather_SetMissing(part, part->reason);
        return;
    }
    part->state = LR_QUERY_PART_WAITING;
    part->next_kind = LR_ATTEMPT_RETRY;
    LrDispatch_Send(engine, part, now);
}

static bool
proves_not_run(LrReplyStatus status)
{
    return status == LR_REPLY_SHED || status == LR_REPLY_CONNECT_FAILED ||
           status == LR_REPLY_VERSION_GONE || status == LR_REPLY_MISDIRECTED;
}

static const LrReason STATUS_REASONS[] = {
    [LR_REPLY_SHED] = LR_REASON_OVERLOAD,
    [LR_REPLY_VERSION_GONE] = LR_REASON_VERSION_GONE,
    [LR_REPLY_REJECTED] = LR_REASON_REJECTED,
    [LR_REPLY_GARBAGE] = LR_REASON_BAD_ANSWER,
    [LR_REPLY_CONNECT_FAILED] = LR_REASON_TARGET_FAILED,
    [LR_REPLY_BROKEN] = LR_REASON_TARGET_FAILED,
    [LR_REPLY_TIMEOUT] = LR_REASON_DEADLINE,
    [LR_REPLY_FAILED] = LR_REASON_TARGET_FAILED,
    [LR_REPLY_ERROR] = LR_REASON_TARGET_FAILED,
    [LR_REPLY_MISDIRECTED] = LR_REASON_NO_REPLICA,
    [LR_REPLY_STALE] = LR_REASON_TARGET_FAILED,
};

static void
on_failure(LrEngine *engine, LrQueryPart *part, const LrReply *reply,
           LrRequestStatus request_status, LrTime now)
{
    LrQuery *query = part->query;
    part->reason = STATUS_REASONS[reply->status];
    if (reply->status == LR_REPLY_FAILED && reply->reason) {
        part->reason = reply->reason;
    }
    if (proves_not_run(reply->status)) {
        query->n_may_have_run--;
        part->n_may_have_run--;
    }
    if (reply->head) {
        LrGather_StoreReply(part, reply);
    }
    if (request_status == LR_REQUEST_QUARANTINED) {
        LrCrash_QuarantineQuery(engine, query);
    }
    if (part->state == LR_QUERY_PART_MISSING) {
        return;
    }
    if (reply->status == LR_REPLY_VERSION_GONE &&
        !LrDispatch_IsVersionServed(part, now) &&
        restart(engine, query, now)) {
        return;
    }
    bool may_retry = proves_not_run(reply->status) || !query->at_most_once;
    if (!may_retry || reply->status == LR_REPLY_REJECTED) {
        LrDispatch_Cancel(engine, part);
        LrGather_SetMissing(part, part->reason);
        return;
    }
    retry_part(engine, part, reply->status, now);
}

static void
on_answered(LrEngine *engine, LrQueryPart *part, LrTarget *target,
            const LrReply *reply, LrTime now)
{
    if (engine->config.confirm_crashes) {
        LrCrash_OnAnswered(engine, part->query, now);
    }
    else if (part->n_crashes > 0) {
        LrQuarantine_Clear(engine->quarantine, part->query->fingerprint);
    }
    LrLatencyHistogram *latency =
        part->query->entry->service->state->attempt_latency;
    for (unsigned i = 0; i < part->n_in_flight; i++) {
        LrLatencyHistogram_Add(latency,
                               now - part->in_flight_attempts[i]->sent_at);
    }
    LrDispatch_Cancel(engine, part);
    LrGather_SetAnswered(part, target, reply);
}

void
LrQuery_OnReply(LrEngine *engine, LrAttempt *attempt, const LrReply *reply,
                LrTime now)
{
    LrQueryPart *part = attempt->part;
    LrTarget *target = attempt->target;
    LrQuery *query = part->query;
    bool wrong_version = reply->status == LR_REPLY_OK && reply->version &&
                         reply->version != query->map->version;
    LrReply checked = *reply;
    if (wrong_version) {
        checked.status = LR_REPLY_GARBAGE;
        LrCounters_Add(engine->config.counters, LR_COUNT_BAD_ANSWERS, 1);
    }
    LrRequestStatus request_status = LR_REQUEST_CLEAR;
    if (checked.status == LR_REPLY_BROKEN ||
        checked.status == LR_REPLY_STALE) {
        request_status = LrCrash_OnBroken(engine, attempt, now);
    }
    LrAttempt_Free(engine, attempt);
    if (checked.status == LR_REPLY_OK) {
        on_answered(engine, part, target, &checked, now);
    }
    else {
        on_failure(engine, part, &checked, request_status, now);
    }
    LrDispatch_SendHeld(engine, query, now);
    LrQuery_Progress(engine, query, now);
}
