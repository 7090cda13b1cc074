/* Query engine of one daemon: takes requests, replies and timers as events and
 * emits actions for the I/O layer. */
#include "limited_targets.h"
#include "private.h"
#include "routing.h"

#include <math.h>
#include "zone_detector.h"

/* The process has woken late when a timer fires later than this. */
#define LATE_WAKEUP_GAP LR_SECOND
/* Capacity of the token buckets for hedges and retries. */
#define MAX_HEDGE_TOKENS 100.0
#define MAX_RETRY_TOKENS 100.0
#define RETRY_TOKENS_PER_SECOND 1.0

/* Keeps the table's hash apart from others that use the engine's seed. */
#define REFUSED_CALLERS_SEED 0x9e3779b97f4a7c15U

/* Entries with fewer recent requests do not count in the unserved ratio. */
#define MIN_RECENT_REQUESTS 0.05

LrEngine *
LrEngine_New(const LrEngineConfig *config)
{
    LrEngine *engine = g_new0(LrEngine, 1);
    engine->config = *config;
    engine->random = LrRandom_New(config->seed);
    LrTargetsConfig targets = {
        .zone = config->zone,
        .cross_zone_medians = config->cross_zone_medians,
        .counters = config->counters,
        .random = engine->random,
        .log = config->log,
        .learn_capacity = config->learn_capacity,
        .cold_bound = config->cold_bound,
    };
    engine->targets = LrTargets_New(&targets, config->policy);
    engine->states = LrStates_New();
    engine->timers = LrTimers_New();
    if (config->fair_admission) {
        engine->refused_callers =
            LrRefusedCallers_New(config->seed ^ REFUSED_CALLERS_SEED);
    }
    LrCrash_Init(engine);
    LrTokenBucket_Init(&engine->hedge_bucket, 0, MAX_HEDGE_TOKENS, 0);
    engine->hedge_bucket.tokens = 0;
    LrTokenBucket_Init(&engine->retry_bucket, RETRY_TOKENS_PER_SECOND,
                       MAX_RETRY_TOKENS, 0);
    LrQuota_Init(&engine->quota);
    LrQuota_Init(&engine->scatter_senders);
    TAILQ_INIT(&engine->queries);
    engine->peers = g_array_new(FALSE, FALSE, sizeof(LrPeerSpec));
    engine->connections_per_daemon = 1;
    engine->queries_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    engine->attempt_slots = g_ptr_array_new_with_free_func(g_free);
    engine->free_attempt_slots = g_array_new(FALSE, FALSE, sizeof(guint));
    engine->actions = g_array_new(FALSE, TRUE, sizeof(LrAction));
    engine->dirty_targets = g_ptr_array_new();
    engine->dirty_services = g_ptr_array_new();
    return engine;
}

void
LrEngine_Free(LrEngine *engine)
{
    if (!engine) {
        return;
    }
    while (!TAILQ_EMPTY(&engine->queries)) {
        LrQuery_Abandon(engine, TAILQ_FIRST(&engine->queries));
    }
    LrAction action;
    while (LrEngine_NextAction(engine, &action)) {
        LrAnswer_Free(action.answer);
    }
    for (guint i = 0; i < engine->dirty_targets->len; i++) {
        LrTargets_Release(engine->targets, engine->dirty_targets->pdata[i]);
    }
    LrView_Unref(engine->view);
    LrCrash_Clear(engine);
    LrTimers_Free(engine->timers);
    LrStates_Free(engine->states);
    LrTargets_Free(engine->targets);
    LrRefusedCallers_Free(engine->refused_callers);
    LrRandom_Free(engine->random);
    g_hash_table_unref(engine->queries_by_id);
    g_array_unref(engine->peers);
    LrArena_Free(engine->peers_arena);
    g_ptr_array_unref(engine->attempt_slots);
    g_ptr_array_unref(engine->dirty_targets);
    g_ptr_array_unref(engine->dirty_services);
    g_array_unref(engine->free_attempt_slots);
    g_array_unref(engine->actions);
    g_free(engine);
}

LrAction *
LrEngine_AddAction(LrEngine *engine, LrActionKind kind)
{
    g_array_set_size(engine->actions, engine->actions->len + 1);
    LrAction *action =
        &g_array_index(engine->actions, LrAction, engine->actions->len - 1);
    *action = (LrAction){.kind = kind};
    return action;
}

void
LrEngine_MarkTargetDirty(LrEngine *engine, LrTarget *target)
{
    if (target->dirty) {
        return;
    }
    target->dirty = true;
    target->refs++;
    g_ptr_array_add(engine->dirty_targets, target);
}

void
LrEngine_MarkServiceDirty(LrEngine *engine, LrServiceState *state)
{
    if (state->dirty) {
        return;
    }
    state->dirty = true;
    g_ptr_array_add(engine->dirty_services, state);
}

void
LrEngine_ServeDirty(LrEngine *engine, LrTime now)
{
    GPtrArray *targets = engine->dirty_targets;
    GPtrArray *states = engine->dirty_services;
    while (targets->len > 0 || states->len > 0) {
        if (targets->len > 0) {
            LrTarget *target =
                g_ptr_array_remove_index_fast(targets, targets->len - 1);
            target->dirty = false;
            LrDispatch_SendWaiting(engine, target, now);
            LrTargets_Release(engine->targets, target);
            continue;
        }
        LrServiceState *state =
            g_ptr_array_remove_index_fast(states, states->len - 1);
        state->dirty = false;
        LrAdmission_StartQueued(engine, state, now);
    }
}

static void
build_view(LrEngine *engine, LrCatalogue *catalogue, LrTime now)
{
    LrTopology topology = {
        .self = engine->self,
        .daemons = (const LrPeerSpec *)(void *)engine->peers->data,
        .n_daemons = engine->peers->len,
        .connections_per_daemon = engine->connections_per_daemon,
        .limit_divisor = engine->view_limit_divisor > 0
                             ? (size_t)engine->view_limit_divisor
                             : engine->peers->len,
        .full_mesh = engine->config.full_mesh,
    };
    LrView *previous = engine->view;
    engine->view =
        LrView_New(catalogue, engine->targets, engine->states, &topology, now);
    LrView_Unref(previous);
    LrEngine_ServeDirty(engine, now);
}

/* Hash of the daemons' names and addresses, to detect changes. */
static uint64_t
peers_digest(const LrPeerSpec *daemons, size_t n_daemons)
{
    uint64_t digest = n_daemons;
    for (size_t i = 0; i < n_daemons; i++) {
        digest = LrStr_Hash(daemons[i].name, digest);
        digest = LrStr_Hash(daemons[i].address, digest);
    }
    return digest;
}

void
LrEngine_SetPeers(LrEngine *engine, LrTime now, LrStr self,
                  const LrPeerSpec *daemons, size_t n_daemons,
                  uint32_t connections_per_daemon)
{
    uint64_t digest = peers_digest(daemons, n_daemons);
    if (digest == engine->peers_digest) {
        return;
    }
    engine->peers_digest = digest;
    LrArena *previous = engine->peers_arena;
    engine->peers_arena = LrArena_New();
    engine->self = LrArena_Copy(engine->peers_arena, self);
    engine->connections_per_daemon = connections_per_daemon;
    g_array_set_size(engine->peers, 0);
    for (size_t i = 0; i < n_daemons; i++) {
        LrPeerSpec copy = {
            .name = LrArena_Copy(engine->peers_arena, daemons[i].name),
            .zone = LrArena_Copy(engine->peers_arena, daemons[i].zone),
            .address = LrArena_Copy(engine->peers_arena, daemons[i].address),
            .speed = daemons[i].speed,
        };
        g_array_append_val(engine->peers, copy);
    }
    if (engine->view) {
        build_view(engine, engine->view->catalogue, now);
    }
    LrArena_Free(previous);
}

/* Relative change of the divisor from which on the view is rebuilt, which
 * moves connections to other replicas. */
#define REBUILD_CHANGE_SHARE 0.25

/* A daemon that has started within this time may not know the whole fleet. */
#define FLEET_DISCOVERY_TIME (5 * LR_SECOND)

/* Passes on the number of daemons that the rate limits of targets are divided
 * by. Like the quota of an entry's limit, a share shrinks at once and grows
 * after a delay. */
static void
update_senders(LrEngine *engine, LrTime now)
{
    double least = 1;
    if (now - engine->started_at < FLEET_DISCOVERY_TIME) {
        least = (double)engine->config.budget_daemons;
    }
    double n_single = MAX(least, (double)engine->quota.count);
    double n_scatter = n_single;
    if (engine->limit_divisor > 0) {
        LrQuota_Update(&engine->scatter_senders, now, 0,
                       (unsigned)ceil(engine->limit_divisor));
        n_scatter = MAX(least, (double)engine->scatter_senders.count);
    }
    LrLimitedTargets_SetSenders(LrTargets_Limited(engine->targets), n_scatter,
                                n_single, now);
    double budget_daemons = (double)engine->config.budget_daemons;
    double n_known = (double)engine->quota.pending_count;
    double divisor = engine->limit_divisor;
    LrTargets_SetColdSenders(
        engine->targets,
        LrColdSenders_Update(&engine->cold_scatter_senders,
                             divisor > 0 ? divisor : n_known, budget_daemons,
                             now),
        LrColdSenders_Update(&engine->cold_single_senders, n_known,
                             budget_daemons, now),
        now);
}

void
LrEngine_SetLimitDivisor(LrEngine *engine, LrTime now, double divisor)
{
    double change = fabs(divisor - engine->view_limit_divisor);
    engine->limit_divisor = divisor;
    update_senders(engine, now);
    if (change > REBUILD_CHANGE_SHARE * engine->view_limit_divisor) {
        engine->view_limit_divisor = divisor;
        if (engine->view) {
            build_view(engine, engine->view->catalogue, now);
        }
    }
}

static bool
is_offered(const void *catalogue, const LrTarget *target)
{
    return LrRouting_OffersTarget(catalogue, target);
}

static void
mark_dirty(void *engine, LrTarget *target)
{
    LrEngine_MarkTargetDirty(engine, target);
}

void
LrEngine_SetEvacuatedZones(LrEngine *engine, LrTime now, const LrStr *zones,
                           size_t n_zones)
{
    if (LrTargets_SetEvacuatedZones(engine->targets, zones, n_zones, now)) {
        /* Parts that wait for a target of such a zone are sent elsewhere, or
         * ended. */
        LrTargets_Each(engine->targets, mark_dirty, engine);
        LrEngine_ServeDirty(engine, now);
    }
}

void
LrEngine_SetCatalogue(LrEngine *engine, LrTime now, LrCatalogue *catalogue)
{
    /* Before the new view serves waiting queries of former ones. */
    LrTargets_SetWithdrawn(engine->targets, is_offered, catalogue);
    size_t n_zones;
    const LrStr *zones = LrRouting_EvacuatedZones(catalogue, &n_zones);
    LrEngine_SetEvacuatedZones(engine, now, zones, n_zones);
    build_view(engine, catalogue, now);
    LrTargets_LogEvacuations(engine->targets);
}

LrView *
LrEngine_View(LrEngine *engine)
{
    return engine->view;
}

LrTargets *
LrEngine_Targets(LrEngine *engine)
{
    return engine->targets;
}

LrQuarantine *
LrEngine_Quarantine(LrEngine *engine)
{
    return engine->quarantine;
}

LrRandom *
LrEngine_Random(LrEngine *engine)
{
    return engine->random;
}

uint64_t
LrEngine_Submit(LrEngine *engine, LrTime now, const LrRequest *request)
{
    if (engine->advanced_at == 0) {
        engine->advanced_at = now;
    }
    engine->now = now;
    uint64_t id = LrQuery_Submit(engine, now, request);
    LrEngine_ServeDirty(engine, now);
    return id;
}

bool
LrEngine_Cancel(LrEngine *engine, LrTime now, uint64_t id)
{
    LrQuery *query = g_hash_table_lookup(engine->queries_by_id, &id);
    if (!query) {
        return false;
    }
    engine->now = now;
    LrQuery_Abandon(engine, query);
    LrEngine_ServeDirty(engine, now);
    return true;
}

static void
update_target(LrEngine *engine, const LrAttempt *attempt, const LrReply *reply,
              LrTime now)
{
    LrTarget *target = attempt->target;
    LrQuery *query = attempt->part->query;
    LrTime latency = now - attempt->sent_at;
    LrTime median_latency = LrDispatch_MedianLatency(query);
    LrTargets_ApplyStatements(engine->targets, target, reply, attempt->sent_at,
                              now);
    LrTargets_SetVersions(engine->targets, target, reply->oldest_version,
                          reply->newest_version);
    switch (reply->status) {
    case LR_REPLY_OK:
        LrLatencyHistogram_Add(query->entry->service->state->attempt_latency,
                               latency);
        if (engine->config.counters) {
            LrLatencyHistogram_Add(engine->config.counters->attempt_latency,
                                   latency);
        }
        LrTargets_LearnCapacity(engine->targets, target, latency, now,
                                &reply->load, attempt->load_at_send,
                                median_latency);
        LrTargets_OnSuccess(engine->targets, target, latency, now,
                            &reply->load, median_latency);
        break;
    case LR_REPLY_SHED:
        LrTargets_OnShed(engine->targets, target, now);
        break;
    case LR_REPLY_VERSION_GONE:
        LrTargets_MarkVersionMissing(engine->targets, target,
                                     query->map->version, now);
        break;
    case LR_REPLY_MISDIRECTED:
        LrTargets_MarkMisdirected(engine->targets, target, now);
        break;
    case LR_REPLY_REJECTED:
    case LR_REPLY_FAILED:
    case LR_REPLY_STALE:
        break;
    default:
        LrCounters_Add(engine->config.counters, LR_COUNT_TARGET_FAILURES, 1);
        if (reply->status == LR_REPLY_ERROR) {
            LrZone_OnContact(target->zone_state, now);
        }
        if (!attempt->suspect) {
            LrTargets_OnFailure(engine->targets, target, now);
        }
        break;
    }
}

/* The query no longer needs the reply of a cancelled attempt, but the target's
 * latency, load and failures are still learnt from it. */
static void
finish_cancelled(LrEngine *engine, LrAttempt *attempt, const LrReply *reply,
                 LrTime now)
{
    LrTarget *target = attempt->target;
    LrTime latency = now - attempt->sent_at;
    LrTargets_ApplyStatements(engine->targets, target, reply, attempt->sent_at,
                              now);
    if (reply->status == LR_REPLY_OK) {
        LrTargets_LearnCapacity(engine->targets, target, latency, now,
                                &reply->load, attempt->load_at_send,
                                attempt->median_latency);
        LrTargets_OnSuccess(engine->targets, target, latency, now,
                            &reply->load, attempt->median_latency);
    }
    else if (reply->status == LR_REPLY_TIMEOUT && !attempt->suspect) {
        LrTargets_OnFailure(engine->targets, target, now);
    }
    else if (reply->status == LR_REPLY_BROKEN ||
             reply->status == LR_REPLY_STALE) {
        LrCrash_OnCancelledBroken(engine, attempt, now);
    }
    LrTime sent_at = attempt->sent_at;
    LrAttempt_Free(engine, attempt);
    LrCrash_OnReply(engine, target, sent_at, reply->status, now);
    LrTargets_Release(engine->targets, target);
}

void
LrEngine_OnReply(LrEngine *engine, LrTime now, uint64_t id,
                 const LrReply *reply)
{
    LrAttempt *attempt = LrAttempt_Lookup(engine, id);
    LrAttempt *cancelled = LrAttempt_LookupCancelled(engine, id);
    if (cancelled) {
        engine->now = now;
        finish_cancelled(engine, cancelled, reply, now);
        LrEngine_ServeDirty(engine, now);
        return;
    }
    if (!attempt) {
        LrCounters_Add(engine->config.counters, LR_COUNT_LATE_REPLIES, 1);
        return;
    }
    engine->now = now;
    LrTarget *target = attempt->target;
    LrTime sent_at = attempt->sent_at;
    target->refs++;
    update_target(engine, attempt, reply, now);
    LrQuery_OnReply(engine, attempt, reply, now);
    LrCrash_OnReply(engine, target, sent_at, reply->status, now);
    LrTargets_Release(engine->targets, target);
    LrEngine_ServeDirty(engine, now);
}

void
LrEngine_Advance(LrEngine *engine, LrTime now)
{
    bool late = engine->advanced_at > 0 &&
                now - engine->advanced_at > LATE_WAKEUP_GAP &&
                LrTimers_NextDue(engine->timers) < now - LATE_WAKEUP_GAP;
    if (late) {
        LrCounters_Add(engine->config.counters, LR_COUNT_LATE_WAKEUPS, 1);
        LR_LOG(engine->config.log, LOG_WARNING, "late_wakeup",
               LrLog_Int("ms", (now - engine->advanced_at) / LR_MILLISECOND));
        LrTargets_OnLateWakeup(engine->targets, now);
    }
    engine->advanced_at = now;
    engine->now = now;
    LrTimers_FireDue(engine->timers, now);
    LrEngine_ServeDirty(engine, now);
}

LrTime
LrEngine_NextTimer(const LrEngine *engine)
{
    return LrTimers_NextDue(engine->timers);
}

bool
LrEngine_NextAction(LrEngine *engine, LrAction *action)
{
    while (engine->next_action < engine->actions->len) {
        *action =
            g_array_index(engine->actions, LrAction, engine->next_action);
        engine->next_action++;
        bool cancelled = action->kind == LR_ACTION_SEND &&
                         !LrAttempt_Lookup(engine, action->attempt);
        if (!cancelled) {
            return true;
        }
    }
    g_array_set_size(engine->actions, 0);
    engine->next_action = 0;
    return false;
}

void
LrEngine_SetQuota(LrEngine *engine, LrTime now, unsigned rank, unsigned count)
{
    LrQuota_Update(&engine->quota, now, rank, count);
    if (engine->started_at == 0) {
        engine->started_at = now;
    }
    update_senders(engine, now);
}

/* An entry that needs a loan asks again after this time. */
#define LOAN_REQUEST_INTERVAL (LR_LOAN_LEASE / 4)

void
LrEngine_EachLoanRequest(LrEngine *engine, LrTime now,
                         void (*func)(void *data, const LrEntrySpec *spec,
                                      LrTime asked_at),
                         void *data)
{
    for (size_t i = 0; engine->view && i < engine->view->n_entries; i++) {
        LrEntry *entry = &engine->view->entries[i];
        LrEntryState *state = entry->state;
        if (state->wants_loan &&
            now - state->loan_asked_at >= LOAN_REQUEST_INTERVAL) {
            state->wants_loan = false;
            state->loan_asked_at = now;
            func(data, entry->spec, now);
        }
    }
}

void
LrEngine_Lend(LrEngine *engine, LrTime now, const LrLoanRequestMsg *ask,
              LrLoanMsg *loan)
{
    LrEntry *entry =
        engine->view ? LrView_LookupEntry(engine->view, ask->entry) : NULL;
    *loan = (LrLoanMsg){.entry = ask->entry, .asked_at = ask->asked_at};
    /* A daemon that needs a loan itself lends nothing. */
    if (!entry || entry->state->wants_loan) {
        return;
    }
    LrEntryState *state = entry->state;
    const LrEntrySpec *spec = entry->spec;
    int64_t rate = LrQuota_Of(&engine->quota, spec->rate_per_s);
    double unused_share = state->rate.capacity > 0
                              ? state->rate.tokens / state->rate.capacity
                              : 1;
    loan->concurrency =
        LrLoans_Lend(&state->concurrency_loans,
                     LrQuota_Of(&engine->quota, spec->max_concurrency),
                     state->running, ask->concurrency, now);
    loan->rate = LrLoans_Lend(&state->rate_loans, rate,
                              (int64_t)((double)rate * (1 - unused_share)),
                              ask->rate, now);
}

void
LrEngine_TakeLoan(LrEngine *engine, LrTime now, const LrLoanMsg *loan)
{
    LrEntry *entry =
        engine->view ? LrView_LookupEntry(engine->view, loan->entry) : NULL;
    if (!entry) {
        return;
    }
    LrEntryState *state = entry->state;
    bool taken = LrLoans_Borrow(&state->concurrency_loans, loan->concurrency,
                                loan->asked_at, now);
    taken |=
        LrLoans_Borrow(&state->rate_loans, loan->rate, loan->asked_at, now);
    LrCounters_Add(engine->config.counters, LR_COUNT_LOANS_TAKEN, taken);
}

size_t
LrEngine_QueryCount(const LrEngine *engine)
{
    return engine->n_queries;
}

size_t
LrEngine_CountRefusedCallers(const LrEngine *engine, LrTime now)
{
    return engine->refused_callers
               ? LrRefusedCallers_Count(engine->refused_callers, now)
               : 0;
}

double
LrEngine_UnservedRatio(LrEngine *engine, LrTime now)
{
    double total = 0;
    double unserved = 0;
    for (size_t i = 0; engine->view && i < engine->view->n_entries; i++) {
        const LrEntry *entry = &engine->view->entries[i];
        double recent = LrAdmission_RecentRequests(entry->state, now);
        if (recent < MIN_RECENT_REQUESTS) {
            continue;
        }
        total += recent;
        unserved += LrAdmission_HasCoverage(entry, now) ? 0 : recent;
    }
    return total > 0 ? unserved / total : 0;
}

void
LrEngine_SetLinksInDoubt(LrEngine *engine, LrTime now, bool in_doubt)
{
    engine->links_in_doubt = in_doubt;
    if (!in_doubt) {
        LrCrash_SettlePostponed(engine, now);
        LrEngine_ServeDirty(engine, now);
    }
}

void
LrEngine_OnTargetsLost(LrEngine *engine, LrTime now)
{
    engine->now = now;
    engine->targets_lost = true;
    LrCrash_DropUnconfirmed(engine);
    LrQuery *query;
    LrQuery *next;
    TAILQ_FOREACH_SAFE(query, &engine->queries, of_engine, next)
    {
        if (!query->at_most_once || query->n_may_have_run == 0) {
            LrQuery_Finish(engine, query, LR_REASON_TARGET_FAILED, now);
        }
    }
    LrEngine_ServeDirty(engine, now);
}

void
LrEngine_EndQueries(LrEngine *engine, LrTime now)
{
    engine->now = now;
    LrQuery *query;
    LrQuery *next;
    TAILQ_FOREACH_SAFE(query, &engine->queries, of_engine, next)
    {
        LrQuery_Finish(engine, query, LR_REASON_STOPPING, now);
    }
}

void
LrEngine_OnTargetsRegained(LrEngine *engine, LrTime now)
{
    engine->targets_lost = false;
    LrTargets_ResetFailures(engine->targets, now);
}

void
LrEngine_SetBudget(LrEngine *engine, const LrRetryBudgetRule *budget)
{
    engine->config.budget = *budget;
}

void
LrEngine_SetAnswerMargin(LrEngine *engine, LrTime margin)
{
    engine->config.answer_margin = margin;
}

void
LrEngine_Stop(LrEngine *engine)
{
    engine->stopping = true;
}
