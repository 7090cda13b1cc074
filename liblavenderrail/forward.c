/* Forwarding of queries to the aggregators of the zone, and running of queries
 * that other daemons forwarded to this one.
 *
 * Forwarding takes three messages: an offer, its acceptance, and the order to
 * start. An aggregator that was paused and reads an old offer late accepts it
 * and gets no order to start. So a query that was not accepted in time can go
 * to another aggregator or run here, and no shard is asked for it twice. A
 * query that was started and lost ends with an error that doesn't say whether
 * it ran, since how far it got is unknown. */
#include "forward.h"

#include "aggregators.h"
#include "gateway_private.h"
#include "active_catalogue.h"
#include "zone_detector.h"

/* Deducted from the time that an aggregator gets for a query: the round trip
 * within the zone, and the work of both daemons on the messages. */
#define TRANSIT (2 * LR_MILLISECOND)
/* An aggregator accepts a query when it has sent the requests to the shards of
 * the queries before it; with 90 shards on half a core that seldom takes
 * 20 ms. One that takes longer than this counts as paused or unreachable. */
#define ACCEPT_LIMIT (30 * LR_MILLISECOND)
/* An accepted query is started at once; when no order to start comes within
 * this time, the daemon that forwarded it counts as lost. */
#define START_LIMIT LR_SECOND

/* Aggregators that a query is offered to, one after the other. */
enum { MAX_HANDED = 2 };

/* A query that this daemon forwarded to an aggregator. */
typedef struct {
    int64_t id;
    LrForward *forward;
    LrRoutedRequest *routed;
    char *address;
    LrTime sent_at;
    /* The aggregator accepted it and was ordered to start. */
    bool begun;
    LrTimer timer;
} Handed;

struct LrForward {
    LrGateway *gateway;
    LrDaemon *daemon;
    int64_t next_id;
    GHashTable *handed;
    /* Requests that other daemons forwarded, by "ADDRESS/ID". */
    GHashTable *served;
};

static void
free_handed(gpointer data)
{
    Handed *handed = data;
    LrLoopTimers_Clear(handed->forward->gateway->timers, &handed->timer);
    LrRoutedRequest_Unref(handed->routed);
    g_free(handed->address);
    g_free(handed);
}

LrForward *
LrForward_New(LrGateway *gateway)
{
    LrForward *forward = g_new0(LrForward, 1);
    forward->gateway = gateway;
    forward->daemon = gateway->daemon;
    forward->handed =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_handed);
    forward->served =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return forward;
}

static void
drop_all_accepted(LrForward *forward)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, forward->served);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LrRoutedRequest *routed = value;
        if (routed->start_timer.heap_index != 0) {
            LrLoopTimers_Clear(forward->gateway->timers, &routed->start_timer);
            LrRoutedRequest_Unref(routed);
        }
    }
}

void
LrForward_Free(LrForward *forward)
{
    if (!forward) {
        return;
    }
    g_hash_table_unref(forward->handed);
    drop_all_accepted(forward);
    g_hash_table_unref(forward->served);
    g_free(forward);
}

static char *
digest_text(const LrRoutes *routes, LrRoute *route)
{
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x",
                           LrRoutes_Digest(routes, route));
}

/* Ends the forwarding and returns the request with a new reference. */
static LrRoutedRequest *
take_back(Handed *handed)
{
    LrRoutedRequest *routed = handed->routed;
    routed->refs++;
    routed->forward_id = 0;
    g_hash_table_remove(handed->forward->handed, &handed->id);
    return routed;
}

static void
log_lost(const Handed *handed, const char *why)
{
    LrDaemon *daemon = handed->forward->daemon;
    LrCounters_Add(daemon->counters, LR_COUNT_FORWARD_LOST, 1);
    LR_LOG(
        daemon->log, LOG_WARNING, "forward_lost",
        LrLog_CStr("id", handed->routed->id),
        LrLog_CStr("aggregator", handed->address), LrLog_CStr("why", why),
        LrLog_Int("begun", handed->begun),
        LrLog_Int("ms", (LrClock_Now() - handed->sent_at) / LR_MILLISECOND));
}

static void
send_order(const Handed *handed, LrForwardCommand order)
{
    LrDaemon *daemon = handed->forward->daemon;
    LrForwardCommandMsg message = {
        .id = handed->id,
        .reply_to = daemon->settings.peer_address,
        .order = order,
    };
    LrPeers_Send(daemon->peers, LrStr_FromC(handed->address),
                 &LrForwardCommandMsg_Spec, &message);
}

/* Forwards the request to another aggregator, or runs it here. */
static void
hand_on(LrForward *forward, Handed *handed)
{
    LrRoutedRequest *routed = take_back(handed);
    if (!LrForward_SendRequest(forward, routed)) {
        LrGateway_Submit(forward->gateway, routed);
    }
    LrRoutedRequest_Unref(routed);
}

static void
give_up(LrForward *forward, Handed *handed, unsigned status)
{
    LrRoutedRequest *routed = take_back(handed);
    LrGateway_FailForwarded(forward->gateway, routed, status);
    LrRoutedRequest_Unref(routed);
}

/* The aggregator counts as failed. A started request ends with an error, and
 * any other is forwarded again. */
static void
on_lost(Handed *handed, const char *why)
{
    LrForward *forward = handed->forward;
    log_lost(handed, why);
    LrAggregators_OnFailed(forward->daemon->aggregators,
                           LrStr_FromC(handed->address), LrClock_Now());
    if (handed->begun) {
        give_up(forward, handed, LR_STATUS_BAD_GATEWAY);
    }
    else {
        hand_on(forward, handed);
    }
}

static void
on_timer(void *data, LrTime now)
{
    Handed *handed = data;
    LrForward *forward = handed->forward;
    (void)now;
    LrEngine_Advance(forward->daemon->engine, LrClock_Now());
    send_order(handed, LR_FORWARD_COMMAND_CANCEL);
    if (handed->begun) {
        log_lost(handed, "no answer in time");
        give_up(forward, handed, LR_STATUS_TIMEOUT);
    }
    else {
        on_lost(handed, "not accepted in time");
    }
    LrDaemon_RunActions(forward->daemon);
}

/* Time left until the deadline; 0 when the caller gave none. */
static LrTime
time_left(const LrRoutedRequest *routed, LrTime now)
{
    return routed->deadline > 0 ? MAX(1, routed->deadline - now) : 0;
}

static bool
send_offer(const LrForward *forward, const Handed *handed)
{
    const LrRoutedRequest *routed = handed->routed;
    LrDaemon *daemon = forward->daemon;
    LrTime now = LrClock_Now();
    LrRoutes *routes = LrRouting_Routes(routed->catalogue);
    g_autofree char *digest =
        digest_text(routes, LrRoutes_FindByName(routes, routed->route->name));
    LrTime spent = now - routed->arrived_at + TRANSIT;
    LrTime left = time_left(routed, now);
    LrForwardMsg message = {
        .id = handed->id,
        .reply_to = daemon->settings.peer_address,
        .revision = LrActiveCatalogue_Revision(daemon->active_catalogue),
        .route = routed->route->name,
        .route_digest = LrStr_FromC(digest),
        .entry = routed->entry,
        .request_id = LrStr_FromC(routed->id),
        .target = LrStr_FromC(routed->request_target),
        .head = {.ptr = routed->head->str, .len = routed->head->len},
        .body = LrStr_FromBytes(routed->body),
        .bodyless = routed->bodyless,
        .spent_us = spent / LR_MICROSECOND,
        .timeout_us = left > 0 ? MAX(1, (left - TRANSIT) / LR_MICROSECOND) : 0,
    };
    return LrPeers_Send(daemon->peers, LrStr_FromC(handed->address),
                        &LrForwardMsg_Spec, &message);
}

bool
LrForward_SendRequest(LrForward *forward, LrRoutedRequest *routed)
{
    LrTime now = LrClock_Now();
    if (!routed->route->scatter || !routed->route->idempotent ||
        routed->n_forwards == MAX_HANDED) {
        return false;
    }
    LrStr address = LrAggregators_Pick(forward->daemon->aggregators, now);
    if (address.len == 0) {
        return false;
    }
    Handed *handed = g_new0(Handed, 1);
    handed->id = ++forward->next_id;
    handed->forward = forward;
    handed->routed = routed;
    handed->address = LrStr_Dup(address);
    handed->sent_at = now;
    handed->timer = (LrTimer){.func = on_timer, .data = handed};
    routed->refs++;
    routed->forward_id = handed->id;
    routed->n_forwards++;
    g_hash_table_insert(forward->handed, &handed->id, handed);
    if (!send_offer(forward, handed)) {
        LrAggregators_OnFailed(forward->daemon->aggregators, address, now);
        LrRoutedRequest_Unref(take_back(handed));
        return false;
    }
    LrCounters_Add(forward->daemon->counters, LR_COUNT_FORWARDED, 1);
    LR_LOG(forward->daemon->log, LOG_INFO, "request_forwarded",
           LrLog_CStr("id", routed->id),
           LrLog_CStr("aggregator", handed->address));
    LrLoopTimers_Set(forward->gateway->timers, &handed->timer,
                     now + ACCEPT_LIMIT);
    return true;
}

bool
LrForward_Cancel(LrForward *forward, LrRoutedRequest *routed)
{
    Handed *handed = g_hash_table_lookup(forward->handed, &routed->forward_id);
    if (!handed) {
        return false;
    }
    send_order(handed, LR_FORWARD_COMMAND_CANCEL);
    LrRoutedRequest_Unref(take_back(handed));
    return true;
}

static void
on_accepted(LrForward *forward, Handed *handed)
{
    LrTime now = LrClock_Now();
    LrAggregators_OnAccepted(forward->daemon->aggregators,
                             LrStr_FromC(handed->address),
                             now - handed->sent_at, now);
    handed->begun = true;
    send_order(handed, LR_FORWARD_COMMAND_START);
    const LrRoutedRequest *routed = handed->routed;
    LrTime limit = routed->route->timeout_ms * LR_MILLISECOND;
    LrTime due = routed->arrived_at + limit;
    if (routed->deadline > 0) {
        due = MIN(due, routed->deadline);
    }
    LrLoopTimers_Set(forward->gateway->timers, &handed->timer, due);
}

static void
on_declined(LrForward *forward, Handed *handed, int64_t revision)
{
    LrStr address = LrStr_FromC(handed->address);
    LrCounters_Add(forward->daemon->counters, LR_COUNT_FORWARD_DECLINED, 1);
    LR_LOG(forward->daemon->log, LOG_INFO, "forward_declined",
           LrLog_CStr("id", handed->routed->id),
           LrLog_Str("aggregator", address));
    LrFleet_PullIfNewer(forward->daemon, address, revision, LrClock_Now());
    hand_on(forward, handed);
}

static void
pass_on(Handed *handed, const LrForwardAnswerMsg *message)
{
    LrRoutedRequest *routed = take_back(handed);
    LrGateway_ReplyForwarded(routed, message->head, message->body);
    LrRoutedRequest_Unref(routed);
}

void
LrForward_OnAnswer(LrForward *forward, const LrForwardAnswerMsg *message)
{
    Handed *handed = g_hash_table_lookup(forward->handed, &message->id);
    /* A late answer to an earlier process of this daemon can have the id of a
     * request of this process. */
    if (!handed || !LrStr_EqualC(message->request_id, handed->routed->id)) {
        return;
    }
    if (message->isolated) {
        LrZoneDetector_OnIsolationReport(
            LrTargets_ZoneDetector(LrEngine_Targets(forward->daemon->engine)),
            LrClock_Now());
    }
    switch (message->step) {
    case LR_FORWARD_ACCEPTED:
        on_accepted(forward, handed);
        break;
    case LR_FORWARD_ANSWERED:
        pass_on(handed, message);
        break;
    default:
        on_declined(forward, handed, message->revision);
        break;
    }
}

void
LrForward_OnDisconnect(LrForward *forward, LrStr address)
{
    GList *rows = g_hash_table_get_values(forward->handed);
    for (GList *at = rows; at; at = at->next) {
        Handed *handed = at->data;
        if (LrStr_EqualC(address, handed->address)) {
            on_lost(handed, "link lost");
        }
    }
    g_list_free(rows);
}

static void
reply(const LrForward *forward, LrStr address,
      const LrForwardAnswerMsg *message)
{
    LrPeers_Send(forward->daemon->peers, address, &LrForwardAnswerMsg_Spec,
                 message);
}

static char *
served_name(LrStr reply_to, int64_t id)
{
    return g_strdup_printf("%.*s/%" G_GINT64_FORMAT, (int)reply_to.len,
                           reply_to.ptr, id);
}

/* Route of an offer; NULL, with the reason in why, when it is declined. */
static LrRoute *
find_route(const LrForward *forward, const LrForwardMsg *message,
           const char **why)
{
    LrView *view = LrEngine_View(forward->daemon->engine);
    LrRoutes *routes = view ? LrRouting_Routes(view->catalogue) : NULL;
    LrRoute *route =
        routes ? LrRoutes_FindByName(routes, message->route) : NULL;
    if (forward->daemon->stopping) {
        *why = "stopping";
        return NULL;
    }
    if (!route) {
        *why = "no such route";
        return NULL;
    }
    /* Both daemons must have the same version of the route: an answer never
     * mixes two configurations, and to callers no host may seem to return to
     * an older one. */
    g_autofree char *digest = digest_text(routes, route);
    *why =
        LrStr_EqualC(message->route_digest, digest) ? NULL : "route differs";
    return *why ? NULL : route;
}

static void
decline(LrForward *forward, const LrForwardMsg *message, const char *why)
{
    LrDaemon *daemon = forward->daemon;
    LrForwardAnswerMsg answer = {
        .id = message->id,
        .request_id = message->request_id,
        .step = LR_FORWARD_DECLINED,
        .revision = LrActiveCatalogue_Revision(daemon->active_catalogue),
    };
    LR_LOG(daemon->log, LOG_INFO, "forward_refused",
           LrLog_Str("id", message->request_id), LrLog_CStr("why", why));
    reply(forward, message->reply_to, &answer);
    LrFleet_PullIfNewer(daemon, message->reply_to, message->revision,
                        LrClock_Now());
}

/* Drops a request of another daemon that was accepted and not started. */
static void
drop_accepted(LrForward *forward, LrRoutedRequest *routed)
{
    g_autofree char *name =
        served_name(LrStr_FromC(routed->reply_to), routed->remote_id);
    LrLoopTimers_Clear(forward->gateway->timers, &routed->start_timer);
    g_hash_table_remove(forward->served, name);
    LrRoutedRequest_Unref(routed);
}

static void
on_not_begun(void *data, LrTime now)
{
    LrRoutedRequest *routed = data;
    LrForward *forward = routed->gateway->forward;
    (void)now;
    LR_LOG(forward->daemon->log, LOG_INFO, "forward_not_begun",
           LrLog_CStr("id", routed->id));
    drop_accepted(forward, routed);
}

void
LrForward_OnRequest(LrForward *forward, const LrForwardMsg *message)
{
    const char *why = NULL;
    const LrRoute *route = find_route(forward, message, &why);
    if (!route) {
        decline(forward, message, why);
        return;
    }
    char *name = served_name(message->reply_to, message->id);
    LrRoutedRequest *former = g_hash_table_lookup(forward->served, name);
    if (former && former->start_timer.heap_index != 0) {
        drop_accepted(forward, former);
    }
    LrRoutedRequest *routed =
        LrGateway_AcceptForwarded(forward->gateway, route, message);
    routed->start_timer = (LrTimer){.func = on_not_begun, .data = routed};
    LrLoopTimers_Set(forward->gateway->timers, &routed->start_timer,
                     LrClock_Now() + START_LIMIT);
    g_hash_table_replace(forward->served, name, routed);
    LrForwardAnswerMsg answer = {
        .id = message->id,
        .request_id = message->request_id,
        .step = LR_FORWARD_ACCEPTED,
    };
    reply(forward, message->reply_to, &answer);
}

static void
cancel_begun(LrForward *forward, LrRoutedRequest *routed, const char *name)
{
    g_hash_table_remove(forward->served, name);
    if (LrEngine_Cancel(forward->daemon->engine, LrClock_Now(),
                        routed->pending.query)) {
        LrRoutedRequest_Unref(routed);
    }
}

void
LrForward_OnOrder(LrForward *forward, const LrForwardCommandMsg *message)
{
    g_autofree char *name = served_name(message->reply_to, message->id);
    LrRoutedRequest *routed = g_hash_table_lookup(forward->served, name);
    if (!routed) {
        return;
    }
    bool begun = routed->start_timer.heap_index == 0;
    if (message->order == LR_FORWARD_COMMAND_START && !begun) {
        LrLoopTimers_Clear(forward->gateway->timers, &routed->start_timer);
        LrCounters_Add(forward->daemon->counters, LR_COUNT_FORWARD_SERVED, 1);
        LrGateway_Submit(forward->gateway, routed);
    }
    else if (message->order == LR_FORWARD_COMMAND_CANCEL && begun) {
        cancel_begun(forward, routed, name);
    }
    else if (message->order == LR_FORWARD_COMMAND_CANCEL) {
        drop_accepted(forward, routed);
    }
}

void
LrForward_SendAnswer(LrForward *forward, LrRoutedRequest *routed,
                     const GString *head, GBytes *body)
{
    LrStr address = LrStr_FromC(routed->reply_to);
    LrForwardAnswerMsg answer = {
        .id = routed->remote_id,
        .request_id = LrStr_FromC(routed->id),
        .step = LR_FORWARD_ANSWERED,
        .head = {.ptr = head->str, .len = head->len},
        .body = LrStr_FromBytes(body),
        .isolated = forward->daemon->readiness == LR_UNREADY_ISOLATED,
    };
    reply(forward, address, &answer);
    g_autofree char *name = served_name(address, routed->remote_id);
    g_hash_table_remove(forward->served, name);
}
