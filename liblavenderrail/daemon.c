/* One daemon: connects the engine to servers, clients and peers, and shuts
 * down gracefully. */
#include "daemon.h"

#include "forward.h"
#include "gateway.h"
#include "active_catalogue.h"
#include "catalogue_sync.h"
#include "zone_detector.h"

#include <jansson.h>

#define TICK_SECONDS 0.1
#define SEED_FROM_SYSTEM 0
/* The last answers are given this long before the stop limit, two ticks and
 * the way to the caller. */
#define LAST_ANSWERS_TIME (250 * LR_MILLISECOND)

/* How long a daemon that has started waits until it learns which zones are
 * evacuated: a list of the service takes milliseconds, news of a peer a few
 * probe intervals. */
#define MAX_EVACUATIONS_WAIT (3 * LR_SECOND)

enum {
    CONNECTION_IDLE_TIMEOUT_S = 30,
    MAX_OPERATOR_CONNECTIONS = 64,
    /* Operators' requests are short and have no body. */
    OPERATOR_IDLE_TIMEOUT_S = 10,
    OPERATOR_CONNECTION_BYTES = 16 << 10,
    OPERATOR_BODY_BYTES = 4096,
    /* Dumps of the state that wait for slow readers; one of a large fleet
     * takes a megabyte. */
    OPERATOR_UNSENT_BYTES = 4 << 20,
};

/* An attempt that was sent to a target and has not ended. */
typedef struct {
    LrDaemon *daemon;
    uint64_t attempt;
    char *address;
} SentAttempt;

static void
free_sent_attempt(gpointer data)
{
    SentAttempt *sent = data;
    g_free(sent->address);
    g_free(sent);
}

static void
on_transfer_done(void *data, const LrTransferResult *result)
{
    SentAttempt *sent = data;
    LrDaemon *daemon = sent->daemon;
    LrReply reply;
    daemon->target_protocol->classify_response(result, sent->attempt, &reply);
    LrTime now = LrClock_Now();
    LrEngine_Advance(daemon->engine, now);
    LrEngine_OnReply(daemon->engine, now, sent->attempt, &reply);
    g_hash_table_remove(daemon->attempts, &sent->attempt);
    LrDaemon_RunActions(daemon);
}

static void
send_attempt(LrDaemon *daemon, const LrAction *action)
{
    LrTime now = LrClock_Now();
    g_autofree char *url = daemon->target_protocol->url(action);
    char **headers = daemon->target_protocol->headers(action, now);
    SentAttempt *sent = g_new0(SentAttempt, 1);
    sent->daemon = daemon;
    sent->attempt = action->attempt;
    sent->address = LrStr_Dup(action->target->address);
    g_hash_table_insert(daemon->attempts, &sent->attempt, sent);
    LrTransferSpec spec = {
        .url = url,
        .post = true,
        .headers = (const char *const *)headers,
        .n_headers = g_strv_length(headers),
        .body = action->body,
        .timeout = action->deadline - now,
        .done = on_transfer_done,
        .data = sent,
    };
    LrClient_Send(daemon->client, &spec);
    g_strfreev(headers);
}

static void
ignore_result(void *data, const LrTransferResult *result)
{
    (void)data;
    (void)result;
}

/* Asks the target to stop working on the attempt. The transfer still waits for
 * the target's reply, so that its connection can be reused. */
static void
cancel_attempt(LrDaemon *daemon, const LrAction *action)
{
    if (daemon->gateway &&
        LrGateway_Cancel(daemon->gateway, action->attempt)) {
        return;
    }
    SentAttempt *sent =
        g_hash_table_lookup(daemon->attempts, &action->attempt);
    if (!sent) {
        LrRelay_Cancel(daemon->relay, action->attempt);
        return;
    }
    g_autofree char *url = daemon->target_protocol->cancel_url(
        LrStr_FromC(sent->address), action->attempt);
    LrTransferSpec spec = {
        .url = url,
        .post = true,
        .timeout = LR_SECOND,
        .done = ignore_result,
    };
    LrClient_Send(daemon->client, &spec);
}

static void
deliver_answer(const LrAction *action)
{
    LrPendingRequest *pending = action->answer->data;
    if (pending->routed) {
        LrGateway_Answered(pending->routed, action->answer);
    }
    else if (pending->row) {
        LrKeyedCall_OnEngineAnswer(pending, action->answer);
    }
    else if (pending->relayed) {
        LrRelay_Answered(pending->daemon->relay, pending, action->answer);
    }
    else {
        LrApi_Answered(pending, action->answer);
    }
    LrAnswer_Free(action->answer);
}

static void
set_timer(LrDaemon *daemon)
{
    LrTime next = LrEngine_NextTimer(daemon->engine);
    ev_timer_stop(daemon->loop, &daemon->engine_timer);
    if (next == LR_NEVER) {
        return;
    }
    double seconds = (double)(next - LrClock_Now()) / (double)LR_SECOND;
    ev_now_update(daemon->loop);
    ev_timer_set(&daemon->engine_timer, MAX(0, seconds), 0);
    ev_timer_start(daemon->loop, &daemon->engine_timer);
}

static void
execute_actions(LrDaemon *daemon)
{
    LrAction action;
    while (LrEngine_NextAction(daemon->engine, &action)) {
        switch (action.kind) {
        case LR_ACTION_SEND:
            if (action.target->relay) {
                LrRelay_Send(daemon->relay, &action);
            }
            else if (daemon->gateway) {
                LrGateway_Send(daemon->gateway, &action);
            }
            else {
                send_attempt(daemon, &action);
            }
            break;
        case LR_ACTION_CANCEL:
            cancel_attempt(daemon, &action);
            break;
        case LR_ACTION_ANSWER:
            deliver_answer(&action);
            break;
        case LR_ACTION_CHECK:
            LrGateway_Check(daemon->gateway, &action);
            break;
        }
    }
}

void
LrDaemon_RunActions(LrDaemon *daemon)
{
    /* An answer may let a connection's next request start, which calls this
     * again: the loop below runs its actions. */
    if (daemon->running_actions) {
        return;
    }
    daemon->running_actions = true;
    do {
        execute_actions(daemon);
    } while (LrRelay_Flush(daemon->relay));
    daemon->running_actions = false;
    LrFleet_SendCrashReports(daemon);
    set_timer(daemon);
}

bool
LrDaemon_IsReady(const LrDaemon *daemon)
{
    return daemon->readiness == LR_READY;
}

/* Whether all that callers are to be served by is known. A daemon that cannot
 * learn which zones are evacuated, since no daemon of its build reads the
 * service, serves without. */
static bool
has_catalogue(const LrDaemon *daemon)
{
    LrTime waited = LrClock_Now() - daemon->started_at;
    return LrEngine_View(daemon->engine) != NULL &&
           (waited > MAX_EVACUATIONS_WAIT || LrFleet_KnowsEvacuations(daemon));
}

/* Re-evaluates whether the balancer may send callers to this daemon. */
static void
update_readiness(LrDaemon *daemon)
{
    LrTime now = LrClock_Now();
    LrEngine *engine = daemon->engine;
    LrReadinessInput input = {
        .has_catalogue = has_catalogue(daemon),
        .stopping = daemon->stopping,
        .isolated = LrZoneDetector_IsIsolated(
            LrTargets_ZoneDetector(LrEngine_Targets(engine))),
    };
    bool self_detected = input.isolated;
    if (!input.isolated &&
        LrZoneDetector_IsReportedIsolated(
            LrTargets_ZoneDetector(LrEngine_Targets(engine)), now)) {
        /* A peer that reports isolation can serve few requests, and those of
         * this daemon are among them. */
        input.isolated = true;
        input.unserved_ratio = 1;
    }
    else if (input.isolated) {
        input.unserved_ratio = LrEngine_UnservedRatio(engine, now);
    }
    LrReadiness next = LrReadiness_Next(daemon->readiness, &input);
    if (next == daemon->readiness) {
        return;
    }
    daemon->readiness = next;
    daemon->isolated = self_detected && next == LR_UNREADY_ISOLATED;
    if (daemon->isolated) {
        /* The balancer sends callers to other zones only when no host of
         * this one is ready, so the whole zone has to learn it. */
        LrFleet_ProbeZone(daemon);
    }
    LR_LOG(
        daemon->log, LOG_NOTICE, "readiness_changed",
        LrLog_CStr("readiness", LrReadiness_Names[next]),
        LrLog_Int("unserved_percent", (int64_t)(100 * input.unserved_ratio)));
    if (daemon->gateway) {
        LrGateway_SetDraining(daemon->gateway,
                              next == LR_UNREADY_STOPPING ||
                                  next == LR_UNREADY_ISOLATED);
    }
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    LrDaemon *daemon = timer->data;
    LrEngine_Advance(daemon->engine, LrClock_Now());
    LrDaemon_RunActions(daemon);
}

static bool
callers_are_idle(const LrDaemon *daemon)
{
    return daemon->gateway
               ? LrGateway_IsIdle(daemon->gateway)
               : LrServer_CountExchanges(daemon->caller_server) == 0;
}

static bool
is_finished(LrDaemon *daemon)
{
    LrTime limit = daemon->settings.stop_limit_ms * LR_MILLISECOND;
    if (LrClock_Now() - daemon->stop_began_at > limit) {
        return true;
    }
    return daemon->drain_wait_over &&
           LrEngine_QueryCount(daemon->engine) == 0 &&
           callers_are_idle(daemon) && !LrLedger_HasRunning(daemon->ledger) &&
           LrHandoff_Step(daemon->handoff);
}

/* Answers what is still running when the process is about to end at the stop
 * limit, so that no connection closes without an answer. */
static void
answer_at_stop_limit(LrDaemon *daemon)
{
    LrTime now = LrClock_Now();
    LrTime limit = daemon->settings.stop_limit_ms * LR_MILLISECOND;
    if (!daemon->gateway || daemon->last_answers_sent ||
        now - daemon->stop_began_at < limit - LAST_ANSWERS_TIME) {
        return;
    }
    daemon->last_answers_sent = true;
    size_t n = LrEngine_QueryCount(daemon->engine);
    LR_LOG(daemon->log, n > 0 ? LOG_WARNING : LOG_INFO, "stop_limit_reached",
           LrLog_Int("running", (int64_t)n));
    LrEngine_EndQueries(daemon->engine, now);
    LrForward_EndAll(LrGateway_Forward(daemon->gateway));
    LrDaemon_RunActions(daemon);
}

static void
end_if_finished(LrDaemon *daemon)
{
    if (daemon->stopping) {
        answer_at_stop_limit(daemon);
    }
    if (daemon->stopping && is_finished(daemon)) {
        LR_LOG(daemon->log, LOG_NOTICE, "stopped",
               LrLog_Str("name", daemon->settings.name));
        ev_break(daemon->loop, EVBREAK_ALL);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
    LrDaemon *daemon = timer->data;
    on_timer(loop, timer, events);
    LrTargets_ForgetExpired(LrEngine_Targets(daemon->engine), LrClock_Now());
    if (daemon->gateway) {
        LrTargets_EvaluateZones(LrEngine_Targets(daemon->engine),
                                LrClock_Now());
        LrGateway_EvaluateReach(daemon->gateway, LrClock_Now());
        LrDaemon_RunActions(daemon);
    }
    update_readiness(daemon);
    LrLog_Flush(daemon->log);
    end_if_finished(daemon);
}

static void
on_catalogue(void *data, LrCatalogue *catalogue)
{
    LrDaemon *daemon = data;
    const LrValueSet *store =
        LrActiveCatalogue_Values(daemon->active_catalogue);
    if (daemon->gateway) {
        LrGateway_SetCatalogue(daemon->gateway, catalogue);
    }
    LrEngine_SetCatalogue(daemon->engine, LrClock_Now(), catalogue);
    LrFleet_TellEvacuations(daemon);
    LrFleet_MarkKnownLeaving(daemon);
    LrMembers_SetCatalogue(daemon->members, LrValueSet_Revision(store),
                           LrValueSet_Digest(store));
    update_readiness(daemon);
    LrDaemon_RunActions(daemon);
}

static void
on_host_list(void *data, const LrHostList *list)
{
    LrDaemon *daemon = data;
    LrTargets *targets = LrEngine_Targets(daemon->engine);
    LrTime now = LrClock_Now();
    LrMembers_OnHosts(daemon->members, list, now);
    LrLeavingTargets_Clear(daemon->leaving);
    for (size_t i = 0; i < list->spec.n_hosts; i++) {
        const LrHostSpec *host = &list->spec.hosts[i];
        bool leaves = host->state == LR_HOST_LEAVING;
        LrTarget *target = LrTargets_Lookup(targets, host->address);
        if (leaves && LrStr_EqualC(host->role, "target")) {
            LrLeavingTargets_Add(daemon->leaving, host->address, LR_NEVER);
        }
        if (target && leaves) {
            LrTargets_MarkLeaving(targets, target, LR_LEAVING_BY_HOST_LIST,
                                  now);
        }
        else if (target) {
            LrTargets_ClearLeaving(targets, target, LR_LEAVING_BY_HOST_LIST);
        }
    }
}

/* Opens the gateway if the deployment has a contract, and otherwise the server
 * of the native interface. */
static bool
open_caller_server(LrDaemon *daemon, GError **error)
{
    const LrServerConfig config = {
        .loop = daemon->loop,
        .address = daemon->settings.listen,
        .max_body_bytes = (size_t)daemon->settings.max_body_bytes,
        .max_connections = (unsigned)daemon->settings.max_connections,
        .idle_timeout_s = CONNECTION_IDLE_TIMEOUT_S,
        .log = daemon->log,
        .counters = daemon->counters,
        .handler = {.request = LrApi_Request,
                    .caller_gone = LrApi_CallerGone,
                    .data = daemon},
    };
    if (daemon->deployment->contract) {
        daemon->gateway =
            LrGateway_New(daemon, daemon->deployment->contract, error);
        return daemon->gateway != NULL;
    }
    daemon->caller_server = LrServer_New(&config, error);
    return daemon->caller_server != NULL;
}

static bool
open_servers(LrDaemon *daemon, GError **error)
{
    const LrServerConfig config = {
        .loop = daemon->loop,
        .address = daemon->settings.operator_listen,
        .max_body_bytes = OPERATOR_BODY_BYTES,
        .max_connections = MAX_OPERATOR_CONNECTIONS,
        .idle_timeout_s = OPERATOR_IDLE_TIMEOUT_S,
        .connection_bytes = OPERATOR_CONNECTION_BYTES,
        .max_unsent_bytes = OPERATOR_UNSENT_BYTES,
        .log = daemon->log,
        .counters = daemon->counters,
        .handler = {.request = LrOperator_Request,
                    .caller_gone = LrOperator_CallerGone,
                    .data = daemon},
    };
    if (!open_caller_server(daemon, error)) {
        return false;
    }
    daemon->operator_server = LrServer_New(&config, error);
    return daemon->operator_server != NULL;
}

static LrActiveCatalogue *
new_active_catalogue(LrDaemon *daemon)
{
    LrActiveCatalogueConfig config = {
        .log = daemon->log,
        .counters = daemon->counters,
        .build = daemon->deployment->source->build,
        .on_accepted = on_catalogue,
        .data = daemon,
    };
    return LrActiveCatalogue_New(&config);
}

static void
start_source(LrDaemon *daemon)
{
    LrSourceConfig config = {
        .loop = daemon->loop,
        .client = daemon->client,
        .active_catalogue = daemon->active_catalogue,
        .random = LrEngine_Random(daemon->engine),
        .log = daemon->log,
        .counters = daemon->counters,
        .settings = &daemon->settings,
        .on_host_list = on_host_list,
        .data = daemon,
    };
    daemon->source = daemon->deployment->source->start(&config);
    LrFleet_UpdateReaderRole(daemon, LrClock_Now());
}

static void
start_timers(LrDaemon *daemon)
{
    ev_timer_init(&daemon->engine_timer, on_timer, 0, 0);
    daemon->engine_timer.data = daemon;
    ev_timer_init(&daemon->tick_timer, on_tick, TICK_SECONDS, TICK_SECONDS);
    daemon->tick_timer.data = daemon;
    ev_timer_start(daemon->loop, &daemon->tick_timer);
}

static LrRetryBudgetRule
budget_rule(const LrSettings *settings)
{
    return (LrRetryBudgetRule){
        .ratio = settings->budget_ratio,
        .fixed_allowance = settings->budget_extra,
        .window = settings->budget_window_ms * LR_MILLISECOND,
    };
}

static LrEngine *
new_engine(LrDaemon *daemon)
{
    bool routed = daemon->deployment->contract != NULL;
    uint64_t seed = (uint64_t)daemon->settings.seed;
    if (seed == SEED_FROM_SYSTEM) {
        seed =
            (uint64_t)g_get_real_time() ^ LrStr_Hash(daemon->settings.name, 0);
    }
    LrEngineConfig config = {
        .zone = daemon->settings.zone,
        .seed = seed,
        .hedge_share = daemon->settings.hedge_share,
        .retry_share = daemon->settings.retry_share,
        .budget = budget_rule(&daemon->settings),
        .budget_daemons = daemon->settings.budget_daemons,
        .hedge_medians = daemon->settings.hedge_medians,
        .cross_zone_medians = daemon->settings.cross_zone_medians,
        .answer_margin = daemon->settings.answer_margin_ms * LR_MILLISECOND,
        .fair_admission = daemon->settings.fair_admission != 0,
        .full_mesh = routed,
        .confirm_crashes = routed,
        .track_cancelled = routed,
        .learn_capacity = daemon->settings.learn_capacity != 0,
        .policy = routed ? &LrSelectionPolicy_ExpectedFinish
                         : &LrSelectionPolicy_EstimatedLatency,
        .counters = daemon->counters,
        .log = daemon->log,
        .cold_bound = {.overshoot = daemon->settings.cold_overshoot,
                       .slack = daemon->settings.cold_slack},
    };
    return LrEngine_New(&config);
}

LrDaemon *
LrDaemon_New(struct ev_loop *loop, const LrSettings *settings,
             const LrDeployment *deployment, LrLog *log, GError **error)
{
    LrDaemon *daemon = g_new0(LrDaemon, 1);
    daemon->deployment = deployment;
    daemon->loop = loop;
    daemon->settings = *settings;
    daemon->log = log;
    daemon->target_protocol = &LrTargetProtocol_Http;
    daemon->readiness = LR_UNREADY_NO_CATALOGUE;
    daemon->incarnation = LrClock_WallMs();
    daemon->started_at = LrClock_Now();
    daemon->counters = LrCounters_New();
    daemon->ledger = LrLedger_New((size_t)settings->ledger_slots);
    daemon->engine = new_engine(daemon);
    daemon->active_catalogue = new_active_catalogue(daemon);
    daemon->catalogue_sync = LrCatalogueSync_New(daemon);
    daemon->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                             free_sent_attempt);
    daemon->client = LrClient_New(loop, 0, (size_t)settings->max_body_bytes);
    start_timers(daemon);
    daemon->leaving = LrLeavingTargets_New();
    daemon->stated_leaving = LrLeavingTargets_New();
    daemon->peer_availability = LrPeerAvailability_New();
    daemon->aggregators = LrAggregators_New(
        settings->name, settings->zone, daemon->peer_availability,
        LrEngine_Random(daemon->engine), log);
    daemon->delegates = LrDelegates_New(settings->name, settings->zone,
                                        daemon->peer_availability,
                                        LrEngine_Random(daemon->engine));
    daemon->relay = LrRelay_New(daemon);
    daemon->handoff = LrHandoff_New(daemon);
    daemon->forwarded_calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    if (!LrFleet_Start(daemon, error) || !open_servers(daemon, error)) {
        LrDaemon_Free(daemon);
        return NULL;
    }
    start_source(daemon);
    LR_LOG(log, LOG_NOTICE, "started", LrLog_Str("name", settings->name),
           LrLog_Str("zone", settings->zone),
           LrLog_Str("listen", settings->listen),
           LrLog_Int("incarnation", daemon->incarnation));
    return daemon;
}

void
LrDaemon_Free(LrDaemon *daemon)
{
    if (!daemon) {
        return;
    }
    ev_timer_stop(daemon->loop, &daemon->engine_timer);
    ev_timer_stop(daemon->loop, &daemon->tick_timer);
    ev_timer_stop(daemon->loop, &daemon->stop_timer);
    LrFleet_Stop(daemon);
    if (daemon->source) {
        daemon->deployment->source->free(daemon->source);
    }
    LrGateway_Free(daemon->gateway);
    LrServer_Free(daemon->caller_server);
    LrServer_Free(daemon->operator_server);
    LrClient_Free(daemon->client);
    LrEngine_Free(daemon->engine);
    LrLedger_Free(daemon->ledger);
    LrCounters_Free(daemon->counters);
    g_hash_table_unref(daemon->attempts);
    g_hash_table_unref(daemon->forwarded_calls);
    LrRelay_Free(daemon->relay);
    LrLeavingTargets_Free(daemon->leaving);
    LrLeavingTargets_Free(daemon->stated_leaving);
    LrHandoff_Free(daemon->handoff);
    LrAggregators_Free(daemon->aggregators);
    LrDelegates_Free(daemon->delegates);
    LrPeerAvailability_Free(daemon->peer_availability);
    LrCatalogueSync_Free(daemon->catalogue_sync);
    LrActiveCatalogue_Free(daemon->active_catalogue);
    g_free(daemon);
}

/* The balancer has had time to notice the drain: stops accepting
 * connections. */
static void
on_drain_wait_over(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    LrDaemon *daemon = timer->data;
    daemon->drain_wait_over = true;
    if (daemon->gateway) {
        LrGateway_Quiesce(daemon->gateway);
    }
    else {
        LrServer_Quiesce(daemon->caller_server);
    }
    end_if_finished(daemon);
}

void
LrDaemon_Stop(LrDaemon *daemon)
{
    if (daemon->stopping) {
        return;
    }
    daemon->stopping = true;
    daemon->stop_began_at = LrClock_Now();
    update_readiness(daemon);
    LrMembers_Leave(daemon->members, LrClock_Now());
    LR_LOG(daemon->log, LOG_NOTICE, "stopping",
           LrLog_Str("name", daemon->settings.name),
           LrLog_Int("wait_ms", daemon->settings.drain_wait_ms));
    ev_timer_init(&daemon->stop_timer, on_drain_wait_over,
                  (double)daemon->settings.drain_wait_ms / 1000, 0);
    daemon->stop_timer.data = daemon;
    ev_timer_start(daemon->loop, &daemon->stop_timer);
}

void
LrDaemon_Reload(LrDaemon *daemon, const LrSettings *settings)
{
    LrRetryBudgetRule budget = budget_rule(settings);
    LrEngine_SetBudget(daemon->engine, &budget);
    daemon->settings.answer_margin_ms = settings->answer_margin_ms;
    LrEngine_SetAnswerMargin(daemon->engine,
                             settings->answer_margin_ms * LR_MILLISECOND);
    daemon->settings.linger_ms = settings->linger_ms;
    daemon->settings.stop_limit_ms = settings->stop_limit_ms;
    daemon->settings.drain_wait_ms = settings->drain_wait_ms;
    LR_LOG(daemon->log, LOG_NOTICE, "reloaded",
           LrLog_Str("name", daemon->settings.name));
}
