/* Queries handed to the aggregators of the zone, and taken over from others.
 *
 * A query that was not taken over in time is gathered here, paid for from the
 * budget where the aggregator may have begun. One that was taken over and lost
 * ends with an answer that promises nothing: how far it got is unknown. */
#include "forward.h"

#include "aggregators.h"
#include "gateway_private.h"
#include "reach.h"

/* Kept of the time that an answer has, for the way there and back in the zone
 * and the work of both daemons on a message. */
#define TRANSIT (2 * LR_MILLISECOND)
/* An aggregator says at once that it has taken a query over, when it has sent
 * the shards of those before: 90 of them take half a core 14 ms. Beyond twice
 * that it is stopped or cut off. */
#define ACKNOWLEDGE_LIMIT (30 * LR_MILLISECOND)

/* Aggregators that a query is handed to, one after the other. */
enum { MAX_HANDED = 2 };

/* A query that this daemon handed over. */
typedef struct {
    int64_t id;
    LrForward *forward;
    LrRouted *routed;
    char *address;
    LrTime sent_at;
    bool accepted;
    LrTimer timer;
} Handed;

struct LrForward {
    LrGateway *gateway;
    LrDaemon *daemon;
    int64_t next_id;
    GHashTable *handed;
    /* Requests of other daemons by name. */
    GHashTable *served;
};

static void
free_handed(gpointer data)
{
    Handed *handed = data;
    LrLoopTimers_Clear(handed->forward->gateway->timers, &handed->timer);
    LrRouted_Unref(handed->routed);
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

void
LrForward_Free(LrForward *forward)
{
    if (!forward) {
        return;
    }
    g_hash_table_unref(forward->handed);
    g_hash_table_unref(forward->served);
    g_free(forward);
}

static int64_t
config_version(const LrCatalogue *catalogue)
{
    return LrRoutes_Spec(LrRouting_Routes(catalogue))->version;
}

/* Ends the hand-over and leaves the request to the caller of this. */
static LrRouted *
take_back(Handed *handed)
{
    LrRouted *routed = handed->routed;
    routed->refs++;
    routed->handed = 0;
    g_hash_table_remove(handed->forward->handed, &handed->id);
    return routed;
}

static void
log_lost(const Handed *handed, const char *why)
{
    LrDaemon *daemon = handed->forward->daemon;
    LrCounters_Add(daemon->counters, LR_COUNT_FORWARD_LOST, 1);
    LR_LOG(daemon->log, LOG_WARNING, "forward_lost",
           LrLog_C("id", handed->routed->id),
           LrLog_C("aggregator", handed->address), LrLog_C("why", why),
           LrLog_Int("accepted", handed->accepted),
           LrLog_Int("ms", (LrLoop_Now() - handed->sent_at) / LR_MILLISECOND));
}

static void
send_cancel(const Handed *handed)
{
    LrDaemon *daemon = handed->forward->daemon;
    LrForwardCancelMsg message = {
        .id = handed->id,
        .reply_to = daemon->settings.peer_address,
    };
    LrPeers_Send(daemon->peers, LrStr_FromC(handed->address),
                 &LrForwardCancelMsg_Spec, &message);
}

/* The aggregator cannot be reckoned with. What it has not taken over goes to
 * another one or is gathered here; what it has is given up. */
static void
on_lost(Handed *handed, const char *why)
{
    LrGateway *gateway = handed->forward->gateway;
    bool accepted = handed->accepted;
    log_lost(handed, why);
    LrAggregators_Failed(gateway->daemon->aggregators,
                         LrStr_FromC(handed->address), LrLoop_Now());
    LrRouted *routed = take_back(handed);
    if (accepted) {
        LrGateway_GiveUp(gateway, routed, LR_STATUS_BAD_GATEWAY);
    }
    else if (!LrForward_Send(gateway->forward, routed, true)) {
        LrGateway_Gather(gateway, routed, true);
    }
    LrRouted_Unref(routed);
}

static void
on_timer(void *data, LrTime now)
{
    Handed *handed = data;
    LrForward *forward = handed->forward;
    (void)now;
    LrEngine_Advance(forward->daemon->engine, LrLoop_Now());
    send_cancel(handed);
    if (handed->accepted) {
        log_lost(handed, "no answer in time");
        LrRouted *routed = take_back(handed);
        LrGateway_GiveUp(forward->gateway, routed, LR_STATUS_TIMEOUT);
        LrRouted_Unref(routed);
    }
    else {
        on_lost(handed, "not taken over in time");
    }
    LrDaemon_Settle(forward->daemon);
}

/* Time that the answer has from now on; 0 when the caller gave none. */
static LrTime
time_left(const LrRouted *routed, LrTime now)
{
    return routed->deadline > 0 ? MAX(1, routed->deadline - now) : 0;
}

static bool
send_request(const LrForward *forward, const Handed *handed, bool repeated)
{
    const LrRouted *routed = handed->routed;
    LrTime now = LrLoop_Now();
    LrTime spent = now - routed->arrived_at + TRANSIT;
    LrTime left = time_left(routed, now);
    LrForwardMsg message = {
        .id = handed->id,
        .reply_to = forward->daemon->settings.peer_address,
        .config = config_version(routed->catalogue),
        .route = routed->route->name,
        .entry = routed->entry,
        .request_id = LrStr_FromC(routed->id),
        .target = LrStr_FromC(routed->target),
        .head = {.ptr = routed->head->str, .len = routed->head->len},
        .body = LrStr_FromBytes(routed->body),
        .bodyless = routed->bodyless,
        .repeated = repeated,
        .spent_us = spent / LR_MICROSECOND,
        .timeout_us = left > 0 ? MAX(1, (left - TRANSIT) / LR_MICROSECOND) : 0,
    };
    return LrPeers_Send(forward->daemon->peers, LrStr_FromC(handed->address),
                        &LrForwardMsg_Spec, &message);
}

bool
LrForward_Send(LrForward *forward, LrRouted *routed, bool repeated)
{
    LrTime now = LrLoop_Now();
    if (!routed->route->scatter || !routed->route->idempotent ||
        routed->n_handed == MAX_HANDED) {
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
    routed->handed = handed->id;
    routed->n_handed++;
    g_hash_table_insert(forward->handed, &handed->id, handed);
    if (!send_request(forward, handed, repeated)) {
        LrAggregators_Failed(forward->daemon->aggregators, address, now);
        LrRouted_Unref(take_back(handed));
        return false;
    }
    LrCounters_Add(forward->daemon->counters, LR_COUNT_FORWARDED, 1);
    LR_LOG(forward->daemon->log, LOG_INFO, "request_forwarded",
           LrLog_C("id", routed->id), LrLog_C("aggregator", handed->address));
    LrLoopTimers_Set(forward->gateway->timers, &handed->timer,
                     now + ACKNOWLEDGE_LIMIT);
    return true;
}

bool
LrForward_Cancel(LrForward *forward, LrRouted *routed)
{
    Handed *handed = g_hash_table_lookup(forward->handed, &routed->handed);
    if (!handed) {
        return false;
    }
    send_cancel(handed);
    LrRouted_Unref(take_back(handed));
    return true;
}

static void
on_accepted(LrForward *forward, Handed *handed)
{
    LrTime now = LrLoop_Now();
    LrAggregators_Acknowledged(forward->daemon->aggregators,
                               LrStr_FromC(handed->address),
                               now - handed->sent_at, now);
    handed->accepted = true;
    const LrRouted *routed = handed->routed;
    LrTime limit = routed->route->timeout_ms * LR_MILLISECOND;
    LrTime due = routed->arrived_at + limit;
    if (routed->deadline > 0) {
        due = MIN(due, routed->deadline);
    }
    LrLoopTimers_Set(forward->gateway->timers, &handed->timer, due);
}

static void
on_declined(LrForward *forward, Handed *handed)
{
    LrCounters_Add(forward->daemon->counters, LR_COUNT_FORWARD_DECLINED, 1);
    LR_LOG(forward->daemon->log, LOG_INFO, "forward_declined",
           LrLog_C("id", handed->routed->id),
           LrLog_C("aggregator", handed->address));
    LrRouted *routed = take_back(handed);
    /* An earlier one may have begun. */
    LrGateway_Gather(forward->gateway, routed, routed->n_handed > 1);
    LrRouted_Unref(routed);
}

void
LrForward_OnAnswer(LrForward *forward, const LrForwardAnswerMsg *message)
{
    Handed *handed = g_hash_table_lookup(forward->handed, &message->id);
    /* A late answer to a former process of this daemon may bear any number. */
    if (!handed || !LrStr_EqualC(message->request_id, handed->routed->id)) {
        return;
    }
    if (message->isolated) {
        LrReach_ToldIsolated(
            LrRouter_Reach(LrEngine_Router(forward->daemon->engine)),
            LrLoop_Now());
    }
    switch (message->step) {
    case LR_FORWARD_ACCEPTED:
        on_accepted(forward, handed);
        break;
    case LR_FORWARD_ANSWERED: {
        LrRouted *routed = take_back(handed);
        LrGateway_PassOn(routed, message->head, message->body);
        LrRouted_Unref(routed);
        break;
    }
    default:
        on_declined(forward, handed);
        break;
    }
}

void
LrForward_LinkLost(LrForward *forward, LrStr address)
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

/* Why a query is not taken over; NULL when it is. */
static const char *
refusal(const LrForward *forward, const LrForwardMsg *message)
{
    const LrDaemon *daemon = forward->daemon;
    LrView *view = LrEngine_View(daemon->engine);
    if (daemon->stopping) {
        return "stopping";
    }
    /* Shards and routes of two configurations never mix, and no host may
     * seem to go back to an older one. */
    if (!view || config_version(view->catalogue) != message->config) {
        return "another configuration";
    }
    return NULL;
}

void
LrForward_OnRequest(LrForward *forward, const LrForwardMsg *message)
{
    LrDaemon *daemon = forward->daemon;
    const char *why = refusal(forward, message);
    const LrRoute *route =
        why ? NULL
            : LrRoutes_Find(
                  LrRouting_Routes(LrEngine_View(daemon->engine)->catalogue),
                  message->route);
    LrForwardAnswerMsg answer = {
        .id = message->id,
        .request_id = message->request_id,
    };
    answer.step = route ? LR_FORWARD_ACCEPTED : LR_FORWARD_DECLINED;
    if (!route) {
        LR_LOG(daemon->log, LOG_INFO, "forward_refused",
               LrLog_Str("id", message->request_id),
               LrLog_C("why", why ? why : "no such route"));
        reply(forward, message->reply_to, &answer);
        return;
    }
    reply(forward, message->reply_to, &answer);
    LrCounters_Add(daemon->counters, LR_COUNT_FORWARD_SERVED, 1);
    LrRouted *routed = LrGateway_TakeOver(forward->gateway, route, message);
    char *name = served_name(message->reply_to, message->id);
    g_hash_table_replace(forward->served, name, routed);
    LrGateway_Gather(forward->gateway, routed, message->repeated);
}

void
LrForward_OnCancel(LrForward *forward, const LrForwardCancelMsg *message)
{
    g_autofree char *name = served_name(message->reply_to, message->id);
    LrRouted *routed = g_hash_table_lookup(forward->served, name);
    if (!routed) {
        return;
    }
    g_hash_table_remove(forward->served, name);
    if (LrEngine_Cancel(forward->daemon->engine, LrLoop_Now(),
                        routed->pending.query)) {
        LrRouted_Unref(routed);
    }
}

void
LrForward_Answer(LrForward *forward, LrRouted *routed, unsigned status,
                 const GString *head, GBytes *body)
{
    LrStr address = LrStr_FromC(routed->reply_to);
    LrForwardAnswerMsg answer = {
        .id = routed->remote_id,
        .request_id = LrStr_FromC(routed->id),
        .step = LR_FORWARD_ANSWERED,
        .status = status,
        .head = {.ptr = head->str, .len = head->len},
        .body = LrStr_FromBytes(body),
        .isolated = forward->daemon->readiness == LR_UNREADY_ISOLATED,
    };
    reply(forward, address, &answer);
    g_autofree char *name = served_name(address, routed->remote_id);
    g_hash_table_remove(forward->served, name);
}
