/* Forwarding of requests to other daemons, and running of requests that other
 * daemons forwarded to this one. In large zones gathers go to aggregators; a
 * daemon that reaches no target forwards requests of every kind to daemons
 * that do. Who gets a request runs it itself or declines.
 *
 * Forwarding takes three messages: an offer, its acceptance, and the command
 * to start. An aggregator that was paused and reads an old offer late accepts
 * it and never gets the command to start. So a query that was not accepted in
 * time can go to another aggregator or run here, and no shard is asked for it
 * twice. A query that was started and lost ends with an error that doesn't say
 * whether it ran, since how far it got is unknown. */
#include "forward.h"

#include "aggregators.h"
#include "gateway_private.h"
#include "active_catalogue.h"
#include "catalogue_sync.h"
#include "peer_availability.h"
#include "zone_detector.h"

/* Deducted from the time that an aggregator has for a query, to allow for the
 * round trip within the zone and both daemons' work on the messages. */
#define TRANSIT_TIME (2 * LR_MILLISECOND)
/* An aggregator accepts a query when it has sent the requests to the shards of
 * the queries before it; with 90 shards on half a core that seldom takes
 * 20 ms. One that takes longer than this counts as paused or unreachable. */
#define ACCEPT_TIMEOUT (30 * LR_MILLISECOND)
/* An accepted query is started at once; when no command to start comes within
 * this time, the daemon that forwarded it counts as lost. */
#define START_TIMEOUT LR_SECOND

enum {
    /* Aggregators that a query is offered to, one after the other. */
    MAX_FORWARDS = 2,
    /* Offers of a request while this daemon reaches no target. Four fifths of
     * a fleet may be in the same state; to decline takes one round trip. */
    MAX_DELEGATIONS = 16,
    /* Delegates that may give a request back before it is refused: what these
     * can't serve, nobody can. */
    MAX_GIVEN_BACK = 4,
};

/* A request that this daemon forwarded to an aggregator, or to a daemon that
 * runs it because this one reaches no target. */
typedef struct {
    int64_t id;
    LrForward *forward;
    LrRoutedRequest *routed;
    char *address;
    LrTime sent_at;
    /* The aggregator accepted it, and the command to start was sent. */
    bool started;
    /* Forwarded because this daemon reaches no target. */
    bool delegated;
    LrTimer timer;
} ForwardedRequest;

struct LrForward {
    LrGateway *gateway;
    LrDaemon *daemon;
    int64_t next_id;
    GHashTable *forwarded;
    /* Requests that other daemons forwarded, by "ADDRESS/ID". */
    GHashTable *accepted;
};

static void
free_forwarded(gpointer data)
{
    ForwardedRequest *forwarded = data;
    LrLoopTimers_Clear(forwarded->forward->gateway->timers, &forwarded->timer);
    LrRoutedRequest_Unref(forwarded->routed);
    g_free(forwarded->address);
    g_free(forwarded);
}

LrForward *
LrForward_New(LrGateway *gateway)
{
    LrForward *forward = g_new0(LrForward, 1);
    forward->gateway = gateway;
    forward->daemon = gateway->daemon;
    forward->forwarded = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, free_forwarded);
    forward->accepted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return forward;
}

static void
drop_all_unstarted(LrForward *forward)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, forward->accepted);
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
    g_hash_table_unref(forward->forwarded);
    drop_all_unstarted(forward);
    g_hash_table_unref(forward->accepted);
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
end_forward(ForwardedRequest *forwarded)
{
    LrRoutedRequest *routed = forwarded->routed;
    routed->refs++;
    routed->forward_id = 0;
    g_hash_table_remove(forwarded->forward->forwarded, &forwarded->id);
    return routed;
}

static void
log_lost(const ForwardedRequest *forwarded, const char *why)
{
    LrDaemon *daemon = forwarded->forward->daemon;
    LrCounters_Add(daemon->counters, LR_COUNT_FORWARD_LOST, 1);
    LR_LOG(daemon->log, LOG_WARNING, "forward_lost",
           LrLog_CStr("id", forwarded->routed->id),
           LrLog_CStr("aggregator", forwarded->address),
           LrLog_CStr("why", why), LrLog_Int("begun", forwarded->started),
           LrLog_Int("ms",
                     (LrClock_Now() - forwarded->sent_at) / LR_MILLISECOND));
}

static void
send_command(const ForwardedRequest *forwarded, LrForwardCommand command)
{
    LrDaemon *daemon = forwarded->forward->daemon;
    LrForwardCommandMsg message = {
        .id = forwarded->id,
        .reply_to = daemon->settings.peer_address,
        .order = command,
    };
    LrPeers_Send(daemon->peers, LrStr_FromC(forwarded->address),
                 &LrForwardCommandMsg_Descriptor, &message);
}

/* Forwards the request to another aggregator, or runs it here. */
static void
forward_elsewhere(LrForward *forward, ForwardedRequest *forwarded)
{
    LrRoutedRequest *routed = end_forward(forwarded);
    if (!LrForward_SendRequest(forward, routed)) {
        LrGateway_Submit(forward->gateway, routed);
    }
    LrRoutedRequest_Unref(routed);
}

static void
fail_request(LrForward *forward, ForwardedRequest *forwarded, unsigned status)
{
    LrRoutedRequest *routed = end_forward(forwarded);
    LrGateway_FailForwarded(forward->gateway, routed, status);
    LrRoutedRequest_Unref(routed);
}

/* Marks the aggregator as failed. A started request ends with an error; any
 * other is forwarded again or run here. */
static void
on_aggregator_lost(ForwardedRequest *forwarded, const char *why)
{
    LrForward *forward = forwarded->forward;
    log_lost(forwarded, why);
    LrPeerAvailability_OnFailed(forward->daemon->peer_availability,
                                LrStr_FromC(forwarded->address),
                                LrClock_Now());
    if (forwarded->started) {
        fail_request(forward, forwarded, LR_STATUS_BAD_GATEWAY);
    }
    else {
        forward_elsewhere(forward, forwarded);
    }
}

static void
on_forward_timeout(void *data, LrTime now)
{
    ForwardedRequest *forwarded = data;
    LrForward *forward = forwarded->forward;
    (void)now;
    LrEngine_Advance(forward->daemon->engine, LrClock_Now());
    send_command(forwarded, LR_FORWARD_COMMAND_CANCEL);
    if (forwarded->started) {
        log_lost(forwarded, "no answer in time");
        fail_request(forward, forwarded, LR_STATUS_TIMEOUT);
    }
    else {
        on_aggregator_lost(forwarded, "not accepted in time");
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
send_offer(const LrForward *forward, const ForwardedRequest *forwarded)
{
    const LrRoutedRequest *routed = forwarded->routed;
    LrDaemon *daemon = forward->daemon;
    LrTime now = LrClock_Now();
    LrRoutes *routes = LrRouting_Routes(routed->catalogue);
    g_autofree char *digest =
        digest_text(routes, LrRoutes_FindByName(routes, routed->route->name));
    LrFingerprintText fingerprint;
    LrFingerprint_ToText(routed->fingerprint, &fingerprint);
    LrTime spent = now - routed->arrived_at + TRANSIT_TIME;
    LrTime left = time_left(routed, now);
    LrForwardMsg message = {
        .id = forwarded->id,
        .reply_to = daemon->settings.peer_address,
        .revision = LrActiveCatalogue_Revision(daemon->active_catalogue),
        .route = routed->route->name,
        .route_digest = LrStr_FromC(digest),
        .entry = routed->entry,
        .request_id = LrStr_FromC(routed->id),
        .fingerprint = LrStr_FromC(fingerprint.content),
        .caller = LrStr_FromC(fingerprint.caller),
        .target = LrStr_FromC(routed->request_target),
        .head = {.ptr = routed->head->str, .len = routed->head->len},
        .body = LrStr_FromBytes(routed->body),
        .bodyless = routed->bodyless,
        .n_spent = routed->n_spent,
        .delegated = forwarded->delegated,
        .spent_us = spent / LR_MICROSECOND,
        .timeout_us =
            left > 0 ? MAX(1, (left - TRANSIT_TIME) / LR_MICROSECOND) : 0,
    };
    return LrPeers_Send(daemon->peers, LrStr_FromC(forwarded->address),
                        &LrForwardMsg_Descriptor, &message);
}

/* Whether another daemon should run the request because this one reaches no
 * target, or did not until a moment ago. */
static bool
must_delegate(const LrForward *forward, LrTime now)
{
    double share = LrTargetReach_DelegatedShare(forward->gateway->reach, now);
    return share > 0 &&
           LrRandom_Uniform(LrEngine_Random(forward->daemon->engine)) < share;
}

/* Address of the aggregator that runs the request; empty when this daemon has
 * to. */
static LrStr
pick_aggregator(const LrForward *forward, const LrRoutedRequest *routed,
                LrTime now)
{
    if (!routed->route->scatter || !routed->route->idempotent ||
        routed->n_forwards >= MAX_FORWARDS) {
        return LrStr_FromC("");
    }
    return LrAggregators_Pick(forward->daemon->aggregators,
                              routed->declined_by, now);
}

static LrStr
pick_delegate(const LrForward *forward, const LrRoutedRequest *routed,
              LrTime now)
{
    if (routed->n_forwards >= MAX_DELEGATIONS ||
        routed->n_given_back >= MAX_GIVEN_BACK ||
        routed->n_spent >= routed->route->max_attempts) {
        return LrStr_FromC("");
    }
    return LrDelegates_Pick(forward->daemon->delegates, routed->route->scatter,
                            routed->declined_by, now);
}

/* Offers the request to the daemon at that address; false if it can't be
 * sent. */
static bool
offer_request(LrForward *forward, LrRoutedRequest *routed, LrStr address,
              bool delegated)
{
    LrTime now = LrClock_Now();
    ForwardedRequest *forwarded = g_new0(ForwardedRequest, 1);
    forwarded->id = ++forward->next_id;
    forwarded->forward = forward;
    forwarded->routed = routed;
    forwarded->address = LrStr_Dup(address);
    forwarded->sent_at = now;
    forwarded->delegated = delegated;
    forwarded->timer =
        (LrTimer){.func = on_forward_timeout, .data = forwarded};
    routed->refs++;
    routed->forward_id = forwarded->id;
    routed->n_forwards++;
    g_hash_table_insert(forward->forwarded, &forwarded->id, forwarded);
    if (!send_offer(forward, forwarded)) {
        LrPeerAvailability_OnFailed(forward->daemon->peer_availability,
                                    address, now);
        LrRoutedRequest_Unref(end_forward(forwarded));
        return false;
    }
    LrCounters_Add(forward->daemon->counters, LR_COUNT_FORWARDED, 1);
    LR_LOG(forward->daemon->log, LOG_INFO,
           delegated ? "request_delegated" : "request_forwarded",
           LrLog_CStr("id", routed->id),
           LrLog_CStr("aggregator", forwarded->address));
    LrLoopTimers_Set(forward->gateway->timers, &forwarded->timer,
                     now + ACCEPT_TIMEOUT);
    return true;
}

/* Offers the request to a daemon that reaches targets; false if there is
 * none. */
static bool
delegate(LrForward *forward, LrRoutedRequest *routed)
{
    LrStr address;
    while ((address = pick_delegate(forward, routed, LrClock_Now())).len > 0) {
        if (offer_request(forward, routed, address, true)) {
            LrCounters_Add(forward->daemon->counters, LR_COUNT_DELEGATED, 1);
            return true;
        }
    }
    return false;
}

bool
LrForward_SendRequest(LrForward *forward, LrRoutedRequest *routed)
{
    LrTime now = LrClock_Now();
    if (must_delegate(forward, now)) {
        return delegate(forward, routed);
    }
    LrStr address = pick_aggregator(forward, routed, now);
    return address.len > 0 && offer_request(forward, routed, address, false);
}

bool
LrForward_Cancel(LrForward *forward, LrRoutedRequest *routed)
{
    ForwardedRequest *forwarded =
        g_hash_table_lookup(forward->forwarded, &routed->forward_id);
    if (!forwarded) {
        return false;
    }
    send_command(forwarded, LR_FORWARD_COMMAND_CANCEL);
    LrRoutedRequest_Unref(end_forward(forwarded));
    return true;
}

static void
on_accepted(LrForward *forward, ForwardedRequest *forwarded)
{
    LrTime now = LrClock_Now();
    LrAggregators_OnAccepted(forward->daemon->aggregators,
                             LrStr_FromC(forwarded->address),
                             now - forwarded->sent_at, now);
    forwarded->started = true;
    send_command(forwarded, LR_FORWARD_COMMAND_START);
    LrLoopTimers_Set(forward->gateway->timers, &forwarded->timer,
                     LrRoutedRequest_Due(forwarded->routed));
}

/* Builds that state no reason tell only whether the daemon takes no request at
 * all. */
static LrDeclineReason
decline_reason(const LrForwardAnswerMsg *message)
{
    return message->why == LR_DECLINE_UNSTATED && message->cut_off
               ? LR_DECLINE_CUT_OFF
               : message->why;
}

static void
on_declined(LrForward *forward, ForwardedRequest *forwarded,
            const LrForwardAnswerMsg *message)
{
    LrDaemon *daemon = forward->daemon;
    LrTime now = LrClock_Now();
    LrStr address = LrStr_FromC(forwarded->address);
    LrDeclineReason why = decline_reason(message);
    LrCounters_Add(daemon->counters, LR_COUNT_FORWARD_DECLINED, 1);
    LR_LOG(daemon->log, LOG_INFO, "forward_declined",
           LrLog_CStr("id", forwarded->routed->id),
           LrLog_Str("aggregator", address),
           LrLog_CStr("why", LrDeclineReason_Names[why]),
           LrLog_Int("begun", forwarded->started));
    LrPeerAvailability_OnDeclined(daemon->peer_availability, address, why,
                                  now);
    LrRoutedRequest *routed = forwarded->routed;
    if (!routed->declined_by) {
        routed->declined_by = LrDeclinedBy_New();
    }
    LrDeclinedBy_Add(routed->declined_by, address);
    routed->n_given_back += forwarded->started;
    routed->n_spent = MAX(routed->n_spent, (unsigned)message->n_spent);
    LrCatalogueSync_OnNews(daemon->catalogue_sync, address, message->revision,
                           now);
    forward_elsewhere(forward, forwarded);
}

static void
deliver_answer(ForwardedRequest *forwarded, const LrForwardAnswerMsg *message)
{
    LrRoutedRequest *routed = end_forward(forwarded);
    LrGateway_AnswerForwarded(routed, message->head, message->body);
    LrRoutedRequest_Unref(routed);
}

void
LrForward_OnAnswer(LrForward *forward, const LrForwardAnswerMsg *message)
{
    ForwardedRequest *forwarded =
        g_hash_table_lookup(forward->forwarded, &message->id);
    /* A late answer to an earlier process of this daemon can have the id of a
     * request of this process. */
    if (!forwarded ||
        !LrStr_EqualC(message->request_id, forwarded->routed->id)) {
        return;
    }
    if (message->isolated) {
        LrZoneDetector_OnIsolationReport(
            LrTargets_ZoneDetector(LrEngine_Targets(forward->daemon->engine)),
            LrClock_Now());
    }
    switch (message->step) {
    case LR_FORWARD_ACCEPTED:
        on_accepted(forward, forwarded);
        break;
    case LR_FORWARD_ANSWERED:
        deliver_answer(forwarded, message);
        break;
    default:
        on_declined(forward, forwarded, message);
        break;
    }
}

void
LrForward_EndAll(LrForward *forward)
{
    GList *rows = g_hash_table_get_values(forward->forwarded);
    for (GList *at = rows; at; at = at->next) {
        ForwardedRequest *forwarded = at->data;
        send_command(forwarded, LR_FORWARD_COMMAND_CANCEL);
        fail_request(forward, forwarded,
                     forwarded->started ? LR_STATUS_BAD_GATEWAY
                                        : LR_STATUS_UNAVAILABLE);
    }
    g_list_free(rows);
}

void
LrForward_OnDisconnect(LrForward *forward, LrStr address)
{
    GList *rows = g_hash_table_get_values(forward->forwarded);
    for (GList *at = rows; at; at = at->next) {
        ForwardedRequest *forwarded = at->data;
        if (LrStr_EqualC(address, forwarded->address)) {
            on_aggregator_lost(forwarded, "link lost");
        }
    }
    g_list_free(rows);
}

static void
send_answer(const LrForward *forward, LrStr address,
            const LrForwardAnswerMsg *message)
{
    LrPeers_Send(forward->daemon->peers, address,
                 &LrForwardAnswerMsg_Descriptor, message);
}

static char *
accepted_key(LrStr reply_to, int64_t id)
{
    return g_strdup_printf("%.*s/%" G_GINT64_FORMAT, (int)reply_to.len,
                           reply_to.ptr, id);
}

/* Why this daemon takes no request of another one now; unstated if it takes
 * some. */
static LrDeclineReason
own_decline_reason(const LrForward *forward)
{
    if (forward->daemon->stopping) {
        return LR_DECLINE_STOPPING;
    }
    return LrGateway_IsCutOff(forward->gateway) ? LR_DECLINE_CUT_OFF
                                                : LR_DECLINE_UNSTATED;
}

/* Route of an offer; NULL, with the reason in why, when it is declined. */
static LrRoute *
find_route(const LrForward *forward, const LrForwardMsg *message,
           LrDeclineReason *why)
{
    LrView *view = LrEngine_View(forward->daemon->engine);
    LrRoutes *routes = view ? LrRouting_Routes(view->catalogue) : NULL;
    LrRoute *route =
        routes ? LrRoutes_FindByName(routes, message->route) : NULL;
    *why = own_decline_reason(forward);
    if (*why != LR_DECLINE_UNSTATED) {
        return NULL;
    }
    *why = LR_DECLINE_ROUTE;
    if (!route) {
        return NULL;
    }
    /* Both daemons must have the same version of the route: an answer never
     * mixes two configurations, and to callers no host may seem to return to
     * an older one. */
    g_autofree char *digest = digest_text(routes, route);
    if (!LrStr_EqualC(message->route_digest, digest)) {
        return NULL;
    }
    *why = LR_DECLINE_ATTEMPTS;
    return message->n_spent < route->spec->max_attempts ? route : NULL;
}

static void
send_declined(const LrForward *forward, LrStr address, int64_t id,
              LrStr request_id, LrDeclineReason why, unsigned n_spent)
{
    LrForwardAnswerMsg answer = {
        .id = id,
        .request_id = request_id,
        .step = LR_FORWARD_DECLINED,
        .revision =
            LrActiveCatalogue_Revision(forward->daemon->active_catalogue),
        .cut_off = own_decline_reason(forward) != LR_DECLINE_UNSTATED,
        .n_spent = n_spent,
        .why = why,
    };
    send_answer(forward, address, &answer);
}

static void
decline(LrForward *forward, const LrForwardMsg *message, LrDeclineReason why)
{
    LrDaemon *daemon = forward->daemon;
    LR_LOG(daemon->log, LOG_INFO, "forward_refused",
           LrLog_Str("id", message->request_id),
           LrLog_CStr("why", LrDeclineReason_Names[why]));
    send_declined(forward, message->reply_to, message->id, message->request_id,
                  why, 0);
    LrCatalogueSync_OnNews(daemon->catalogue_sync, message->reply_to,
                           message->revision, LrClock_Now());
}

/* Tells the daemon that forwarded a request to run it elsewhere: nothing of it
 * runs here any more. */
static void
give_back(LrForward *forward, LrRoutedRequest *routed)
{
    LrStr address = LrStr_FromC(routed->reply_to);
    LrDeclineReason why = own_decline_reason(forward);
    if (why == LR_DECLINE_UNSTATED) {
        why = LR_DECLINE_NO_TARGET;
    }
    LR_LOG(forward->daemon->log, LOG_INFO, "forward_given_back",
           LrLog_CStr("id", routed->id), LrLog_Str("to", address),
           LrLog_CStr("why", LrDeclineReason_Names[why]));
    send_declined(forward, address, routed->remote_id, LrStr_FromC(routed->id),
                  why, routed->n_spent);
    g_autofree char *key = accepted_key(address, routed->remote_id);
    g_hash_table_remove(forward->accepted, key);
    LrRoutedRequest_Unref(routed);
}

bool
LrForward_HandOver(LrForward *forward, LrRoutedRequest *routed)
{
    if (routed->reply_to) {
        give_back(forward, routed);
        return true;
    }
    return delegate(forward, routed);
}

/* Drops a request of another daemon that was accepted and not started. */
static void
drop_unstarted(LrForward *forward, LrRoutedRequest *routed)
{
    g_autofree char *key =
        accepted_key(LrStr_FromC(routed->reply_to), routed->remote_id);
    LrLoopTimers_Clear(forward->gateway->timers, &routed->start_timer);
    g_hash_table_remove(forward->accepted, key);
    LrRoutedRequest_Unref(routed);
}

static void
on_start_timeout(void *data, LrTime now)
{
    LrRoutedRequest *routed = data;
    LrForward *forward = routed->gateway->forward;
    (void)now;
    LR_LOG(forward->daemon->log, LOG_INFO, "forward_not_begun",
           LrLog_CStr("id", routed->id));
    drop_unstarted(forward, routed);
}

void
LrForward_OnRequest(LrForward *forward, const LrForwardMsg *message)
{
    LrDeclineReason why;
    const LrRoute *route = find_route(forward, message, &why);
    if (route && !LrGateway_HasRoom(forward->gateway,
                                    message->head.len + message->body.len)) {
        LrCounters_Add(forward->daemon->counters,
                       LR_COUNT_REQUESTS_OVER_MEMORY, 1);
        route = NULL;
        why = LR_DECLINE_UNSTATED;
    }
    if (!route) {
        decline(forward, message, why);
        return;
    }
    char *key = accepted_key(message->reply_to, message->id);
    LrRoutedRequest *duplicate = g_hash_table_lookup(forward->accepted, key);
    if (duplicate && duplicate->start_timer.heap_index != 0) {
        drop_unstarted(forward, duplicate);
    }
    LrRoutedRequest *routed =
        LrGateway_AcceptForwarded(forward->gateway, route, message);
    routed->start_timer = (LrTimer){.func = on_start_timeout, .data = routed};
    LrLoopTimers_Set(forward->gateway->timers, &routed->start_timer,
                     LrClock_Now() + START_TIMEOUT);
    g_hash_table_replace(forward->accepted, key, routed);
    LrForwardAnswerMsg answer = {
        .id = message->id,
        .request_id = message->request_id,
        .step = LR_FORWARD_ACCEPTED,
    };
    send_answer(forward, message->reply_to, &answer);
}

static void
cancel_started(LrForward *forward, LrRoutedRequest *routed, const char *key)
{
    g_hash_table_remove(forward->accepted, key);
    if (LrEngine_Cancel(forward->daemon->engine, LrClock_Now(),
                        routed->pending.query)) {
        LrRoutedRequest_Unref(routed);
    }
}

static void
start_accepted(LrForward *forward, LrRoutedRequest *routed)
{
    if (LrGateway_IsCutOff(forward->gateway)) {
        give_back(forward, routed);
        return;
    }
    LrCounters_Add(forward->daemon->counters, LR_COUNT_FORWARD_SERVED, 1);
    LrGateway_Submit(forward->gateway, routed);
}

void
LrForward_OnCommand(LrForward *forward, const LrForwardCommandMsg *message)
{
    g_autofree char *key = accepted_key(message->reply_to, message->id);
    LrRoutedRequest *routed = g_hash_table_lookup(forward->accepted, key);
    if (!routed) {
        return;
    }
    bool started = routed->start_timer.heap_index == 0;
    if (message->order == LR_FORWARD_COMMAND_START && !started) {
        LrLoopTimers_Clear(forward->gateway->timers, &routed->start_timer);
        start_accepted(forward, routed);
    }
    else if (message->order == LR_FORWARD_COMMAND_CANCEL && started) {
        cancel_started(forward, routed, key);
    }
    else if (message->order == LR_FORWARD_COMMAND_CANCEL) {
        drop_unstarted(forward, routed);
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
    send_answer(forward, address, &answer);
    g_autofree char *key = accepted_key(address, routed->remote_id);
    g_hash_table_remove(forward->accepted, key);
}
