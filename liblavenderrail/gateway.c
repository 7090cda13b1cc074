/* The routed interface: from a caller's request to the engine, from the
 * engine's attempts to targets, and the answer back. */
#include "gateway.h"

#include <string.h>

#include <jansson.h>

#include "callers.h"
#include "merge.h"
#include "routing.h"
#include "upstream.h"

enum {
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_BAD_GATEWAY = 502,
    STATUS_UNAVAILABLE = 503,
    STATUS_TIMEOUT = 504,
    /* Descriptors kept for files, the platform and peers. */
    RESERVED_FILES = 400,
    MAX_RESPONSE = 8 << 20,
    /* One complete answer in so many is logged. */
    LOG_SAMPLE = 64,
};

/* A request that may not run twice is not risked on a connection that may
 * have been dropped unnoticed. */
#define SAFE_IDLE (200 * LR_MILLISECOND)
/* How long a connection to a target that is left to others is kept idle: one
 * hedge seldom follows another there, first attempts come as often as requests
 * of a shard at a host of a large fleet, twice a second. */
#define SPARE_KEEP_HEDGED (500 * LR_MILLISECOND)
#define SPARE_KEEP_USED (2 * LR_SECOND)
/* Callers' limits until a configuration names them. */
#define FIRST_RECEIVE_TIMEOUT (3 * LR_SECOND)
#define FIRST_IDLE_TIMEOUT (15 * LR_SECOND)

struct LrGateway {
    LrDaemon *daemon;
    const LrContract *contract;
    LrLoopTimers *timers;
    LrCallers *callers;
    LrUpstream *upstream;
    GHashTable *attempts;
    uint64_t n_complete;
};

/* One request of a caller. Attempts hold it until they have ended. */
struct LrRouted {
    LrPending pending;
    int refs;
    LrGateway *gateway;
    /* NULL once the caller has its answer or went away. */
    LrCall *call;
    LrCatalogue *catalogue;
    const LrRouteSpec *route;
    char *id;
    GString *head;
    GBytes *body;
    bool bodyless;
    /* The caller got an answer without some parts. */
    bool incomplete;
    unsigned n_attempts;
};

typedef struct {
    uint64_t id;
    LrRouted *routed;
    LrUpstreamCall *call;
    char *instance;
    LrTime sent_at;
    LrTime deadline;
    bool withdrawn;
} Attempt;

static void
unref_routed(LrRouted *routed)
{
    if (--routed->refs > 0) {
        return;
    }
    LrCatalogue_Unref(routed->catalogue);
    g_free(routed->id);
    g_string_free(routed->head, TRUE);
    if (routed->body) {
        g_bytes_unref(routed->body);
    }
    g_free(routed);
}

/* When callers may come back, by why they were refused. */
static LrTime
retry_after(LrReason reason)
{
    switch (reason) {
    case LR_REASON_STOPPING:
        /* Another host can serve at once. */
        return 50 * LR_MILLISECOND;
    case LR_REASON_NO_CATALOGUE:
        /* Start-up takes about this long. */
        return LR_SECOND;
    case LR_REASON_QUARANTINED:
        return 60 * LR_SECOND;
    case LR_REASON_NO_REPLICA:
    case LR_REASON_TARGET_FAILED:
        /* An ejected target is tried again after half a second. */
        return 500 * LR_MILLISECOND;
    default:
        return 250 * LR_MILLISECOND;
    }
}

static void
reply_own(LrGateway *gateway, LrCall *call, unsigned status, LrTime after)
{
    GString *head = g_string_new(NULL);
    gateway->contract->write_own(status, after, head);
    LrCall_Reply(call, head, NULL, false);
    g_string_free(head, TRUE);
}

/* Refuses a request of which nothing has been sent to any target. */
static void
turn_away(LrGateway *gateway, LrCall *call, unsigned status, LrReason reason,
          LrStr id)
{
    const LrMessage *message = LrCall_Message(call);
    LrCounters_Add(gateway->daemon->counters, LR_COUNT_ROUTED_REFUSED, 1);
    LR_LOG(gateway->daemon->log, LOG_INFO, "request_refused",
           LrLog_Str("id", id),
           LrLog_Str("host_name", LrMessage_Header(message, "Host")),
           LrLog_Str("path", LrMessage_Path(message)),
           LrLog_Int("status", status),
           LrLog_C("reason", LrReason_Names[reason]));
    reply_own(gateway, call, status,
              status == STATUS_UNAVAILABLE ? retry_after(reason) : 0);
}

static LrRouted *
new_routed(LrGateway *gateway, LrCall *call, const LrRoute *route, LrStr id)
{
    const LrMessage *message = LrCall_Message(call);
    LrRouted *routed = g_new0(LrRouted, 1);
    routed->refs = 1;
    routed->gateway = gateway;
    routed->call = call;
    routed->pending = (LrPending){
        .daemon = gateway->daemon,
        .routed = routed,
    };
    routed->catalogue =
        LrCatalogue_Ref(LrEngine_View(gateway->daemon->engine)->catalogue);
    routed->route = route->spec;
    routed->id = LrStr_Dup(id);
    routed->head = g_string_new(NULL);
    routed->bodyless = LrStr_EqualC(LrMessage_Method(message), "HEAD");
    gateway->contract->write_request(message, routed->head);
    routed->body = LrCall_TakeBody(call);
    LrCall_SetData(call, routed);
    return routed;
}

static void
submit(LrGateway *gateway, LrCall *call, LrRoute *route,
       const LrCallerTerms *terms)
{
    const LrMessage *message = LrCall_Message(call);
    LrDaemon *daemon = gateway->daemon;
    LrTime margin = daemon->settings.answer_margin_ms * LR_MILLISECOND;
    LrRouted *routed = new_routed(gateway, call, route, terms->id);
    LrRequest request = {
        .entry = LrRoute_NextEntry(route),
        .body = routed->body,
        .identity = LrMessage_Target(message),
        .timeout = terms->timeout > 0 ? MAX(1, terms->timeout - margin) : 0,
        .data = &routed->pending,
    };
    routed->refs++;
    LrCounters_Add(daemon->counters, LR_COUNT_ROUTED_REQUESTS, 1);
    routed->pending.query =
        LrEngine_Submit(daemon->engine, LrLoop_Now(), &request);
    unref_routed(routed);
    LrDaemon_Settle(daemon);
}

static LrRoute *
route_of(LrGateway *gateway, const LrMessage *message)
{
    LrView *view = LrEngine_View(gateway->daemon->engine);
    return LrRoutes_Lookup(LrRouting_Routes(view->catalogue),
                           LrMessage_Header(message, "Host"),
                           LrMessage_Path(message));
}

static void
on_request(void *data, LrCall *call)
{
    LrGateway *gateway = data;
    LrDaemon *daemon = gateway->daemon;
    const LrMessage *message = LrCall_Message(call);
    LrCallerTerms terms = {0};
    LrEngine_Advance(daemon->engine, LrLoop_Now());
    if (!gateway->contract->read_terms(message, &terms)) {
        turn_away(gateway, call, STATUS_BAD_REQUEST, LR_REASON_REJECTED,
                  terms.id);
        return;
    }
    if (!LrEngine_View(daemon->engine)) {
        turn_away(gateway, call, STATUS_UNAVAILABLE, LR_REASON_NO_CATALOGUE,
                  terms.id);
        return;
    }
    LrRoute *route = route_of(gateway, message);
    if (!route) {
        turn_away(gateway, call, STATUS_NOT_FOUND, LR_REASON_UNKNOWN_ENTRY,
                  terms.id);
        return;
    }
    submit(gateway, call, route, &terms);
}

static void
on_gone(void *data, LrCall *call)
{
    LrGateway *gateway = data;
    LrRouted *routed = LrCall_Data(call);
    routed->call = NULL;
    LR_LOG(gateway->daemon->log, LOG_INFO, "caller_gone",
           LrLog_C("id", routed->id),
           LrLog_Int("ms", (LrLoop_Now() - LrCall_ArrivedAt(call)) /
                               LR_MILLISECOND));
    /* An answer that is on its way already ends the request itself. */
    if (LrEngine_Cancel(gateway->daemon->engine, LrLoop_Now(),
                        routed->pending.query)) {
        unref_routed(routed);
    }
    LrDaemon_Settle(gateway->daemon);
}

static void
on_refuse(void *data, unsigned status, GString *head)
{
    LrGateway *gateway = data;
    LR_LOG(gateway->daemon->log, LOG_INFO, "request_malformed",
           LrLog_Int("status", status));
    gateway->contract->write_own(status, 0, head);
}

static void
free_attempt(gpointer data)
{
    Attempt *attempt = data;
    unref_routed(attempt->routed);
    g_free(attempt->instance);
    g_free(attempt);
}

static void
write_head(void *data, LrTime now, GString *out)
{
    const Attempt *attempt = data;
    const LrRouted *routed = attempt->routed;
    g_string_append_len(out, routed->head->str, (gssize)routed->head->len);
    routed->gateway->contract->write_attempt(
        LrStr_FromC(attempt->instance), MAX(0, attempt->deadline - now), out);
    LrStr body = LrStr_FromBytes(routed->body);
    if (body.len > 0) {
        g_string_append_printf(out, "Content-Length: %zu\r\n", body.len);
    }
    g_string_append(out, "\r\n");
}

static bool
is_own(void *data, const LrMessage *response)
{
    const Attempt *attempt = data;
    return attempt->routed->gateway->contract->is_own(
        response, LrStr_FromC(attempt->routed->id));
}

static void
judge(const LrRouted *routed, LrUpstreamEnd end, LrMessage *response,
      LrReply *reply)
{
    static const LrReplyStatus ends[] = {
        [LR_UPSTREAM_OK] = LR_REPLY_OK,
        [LR_UPSTREAM_NOT_SENT] = LR_REPLY_CONNECT_FAILED,
        [LR_UPSTREAM_STALE] = LR_REPLY_STALE,
        [LR_UPSTREAM_BROKEN] = LR_REPLY_BROKEN,
        [LR_UPSTREAM_TIMEOUT] = LR_REPLY_TIMEOUT,
        [LR_UPSTREAM_MALFORMED] = LR_REPLY_GARBAGE,
    };
    *reply = (LrReply){.status = ends[end]};
    if (end == LR_UPSTREAM_OK) {
        routed->gateway->contract->judge(response, routed->route->scatter,
                                         reply);
        reply->body = LrMessage_TakeBody(response);
    }
}

static void
log_attempt(const Attempt *attempt, const LrReply *reply)
{
    const LrRouted *routed = attempt->routed;
    if (reply->status == LR_REPLY_OK || attempt->withdrawn) {
        return;
    }
    LR_LOG(routed->gateway->daemon->log, LOG_INFO, "attempt_failed",
           LrLog_C("id", routed->id),
           LrLog_Int("attempt", (int64_t)attempt->id),
           LrLog_C("target", attempt->instance),
           LrLog_C("status", LrReplyStatus_Names[reply->status]),
           LrLog_Int("left_ms",
                     (attempt->deadline - LrLoop_Now()) / LR_MILLISECOND));
}

static void
on_attempt_done(void *data, LrUpstreamEnd end, LrMessage *response)
{
    Attempt *attempt = data;
    LrGateway *gateway = attempt->routed->gateway;
    LrDaemon *daemon = gateway->daemon;
    LrTime now = LrLoop_Now();
    LrReply reply;
    judge(attempt->routed, end, response, &reply);
    log_attempt(attempt, &reply);
    LrEngine_Advance(daemon->engine, now);
    LrEngine_OnReply(daemon->engine, now, attempt->id, &reply);
    g_clear_pointer(&reply.head, g_bytes_unref);
    g_clear_pointer(&reply.body, g_bytes_unref);
    g_hash_table_remove(gateway->attempts, &attempt->id);
    LrDaemon_Settle(daemon);
}

static LrTime
keep_of(const LrAction *action)
{
    if (!action->target->spare) {
        return LR_NEVER;
    }
    bool first = strcmp(action->cause, "first") == 0;
    return first ? SPARE_KEEP_USED : SPARE_KEEP_HEDGED;
}

void
LrGateway_Send(LrGateway *gateway, const LrAction *action)
{
    LrRouted *routed = ((LrPending *)action->data)->routed;
    Attempt *attempt = g_new0(Attempt, 1);
    attempt->id = action->attempt;
    attempt->routed = routed;
    attempt->instance = LrStr_Dup(action->target->instance);
    attempt->sent_at = LrLoop_Now();
    attempt->deadline = action->deadline;
    routed->refs++;
    routed->n_attempts++;
    g_hash_table_insert(gateway->attempts, &attempt->id, attempt);
    LrUpstreamSpec spec = {
        .key = action->target->key,
        .address = action->target->address,
        .write_head = write_head,
        .is_own = is_own,
        .done = on_attempt_done,
        .data = attempt,
        .body = routed->body,
        .bodyless = routed->bodyless,
        .deadline = action->deadline,
        .keep = keep_of(action),
        .max_idle = routed->route->idempotent ? LR_NEVER : SAFE_IDLE,
    };
    attempt->call = LrUpstream_Send(gateway->upstream, &spec);
    if (strcmp(action->cause, "first") != 0) {
        LR_LOG(gateway->daemon->log, LOG_INFO, "attempt_repeated",
               LrLog_C("id", routed->id),
               LrLog_Int("attempt", (int64_t)action->attempt),
               LrLog_C("cause", action->cause),
               LrLog_Str("shard", action->shard),
               LrLog_C("target", attempt->instance),
               LrLog_Int("left_ms",
                         (action->deadline - LrLoop_Now()) / LR_MILLISECOND));
    }
}

/* Tells what an answer did not wait for. */
static void
log_unfinished(const Attempt *attempt)
{
    const LrRouted *routed = attempt->routed;
    LR_LOG(
        routed->gateway->daemon->log, LOG_INFO, "attempt_unfinished",
        LrLog_C("id", routed->id), LrLog_Int("attempt", (int64_t)attempt->id),
        LrLog_C("target", attempt->instance),
        LrLog_C("phase",
                LrUpstreamCall_IsSent(attempt->call) ? "sent" : "connecting"),
        LrLog_Int("age_ms",
                  (LrLoop_Now() - attempt->sent_at) / LR_MILLISECOND));
}

bool
LrGateway_Cancel(LrGateway *gateway, uint64_t id)
{
    Attempt *attempt = g_hash_table_lookup(gateway->attempts, &id);
    if (!attempt) {
        return false;
    }
    /* The response is still read, since it tells of the target and leaves
     * the connection fit for use; the target is not kept at work for long. */
    attempt->withdrawn = true;
    if (attempt->routed->incomplete) {
        log_unfinished(attempt);
    }
    LrTime linger = gateway->daemon->settings.linger_ms * LR_MILLISECOND;
    LrUpstreamCall_Shorten(attempt->call, LrLoop_Now() + linger);
    return true;
}

static GBytes *
merge_parts(const LrRouted *routed, const LrAnswer *answer)
{
    LrTopRecords *top = LrTopRecords_New((size_t)routed->route->top_k);
    for (size_t i = 0; i < answer->n_parts; i++) {
        if (answer->parts[i].target.len > 0) {
            LrTopRecords_Add(top, LrStr_FromBytes(answer->parts[i].body));
        }
    }
    GBytes *body = LrTopRecords_ToBytes(top);
    LrTopRecords_Free(top);
    return body;
}

/* Status of an answer that no target gave. */
static unsigned
own_status(const LrAnswer *answer)
{
    if (answer->outcome == LR_OUTCOME_NOT_RUN) {
        return STATUS_UNAVAILABLE;
    }
    return answer->reason == LR_REASON_DEADLINE ? STATUS_TIMEOUT
                                                : STATUS_BAD_GATEWAY;
}

static void
append_bytes(GString *text, GBytes *bytes)
{
    LrStr str = LrStr_FromBytes(bytes);
    g_string_append_len(text, str.ptr, (gssize)str.len);
}

/* Fills the head of the caller's answer; returns its body. */
static GBytes *
compose(LrRouted *routed, const LrAnswer *answer, GString *head,
        unsigned *status)
{
    const LrContract *contract = routed->gateway->contract;
    bool success = answer->outcome == LR_OUTCOME_COMPLETE ||
                   answer->outcome == LR_OUTCOME_PARTIAL;
    bool single = !routed->route->scatter && answer->n_parts == 1;
    *status = 200;
    if (success && routed->route->scatter) {
        contract->write_merged(answer, head);
        return merge_parts(routed, answer);
    }
    if (single && answer->parts[0].head &&
        answer->outcome != LR_OUTCOME_NOT_RUN) {
        append_bytes(head, answer->parts[0].head);
        *status = success ? 200 : STATUS_BAD_GATEWAY;
        return answer->parts[0].body ? g_bytes_ref(answer->parts[0].body)
                                     : NULL;
    }
    *status = own_status(answer);
    LrTime after =
        *status == STATUS_UNAVAILABLE ? retry_after(answer->reason) : 0;
    contract->write_own(*status, after, head);
    return NULL;
}

static void
log_answer(LrRouted *routed, const LrAnswer *answer, unsigned status)
{
    LrGateway *gateway = routed->gateway;
    if (answer->outcome == LR_OUTCOME_COMPLETE &&
        gateway->n_complete++ % LOG_SAMPLE != 0) {
        return;
    }
    LrTime taken = LrLoop_Now() - LrCall_ArrivedAt(routed->call);
    LR_LOG(gateway->daemon->log, LOG_INFO, "request_answered",
           LrLog_C("id", routed->id), LrLog_Str("route", routed->route->name),
           LrLog_C("outcome", LrOutcome_Names[answer->outcome]),
           LrLog_C("reason", LrReason_Names[answer->reason]),
           LrLog_Int("status", status),
           LrLog_Int("parts", (int64_t)answer->n_parts),
           LrLog_Int("answered", (int64_t)answer->n_answered),
           LrLog_Int("attempts", routed->n_attempts),
           LrLog_Int("ms", taken / LR_MILLISECOND),
           LrLog_Int(
               "config",
               LrRoutes_Spec(LrRouting_Routes(routed->catalogue))->version));
    for (size_t i = 0; i < answer->n_parts; i++) {
        if (answer->parts[i].target.len == 0) {
            LR_LOG(gateway->daemon->log, LOG_INFO, "part_missing",
                   LrLog_C("id", routed->id),
                   LrLog_Str("shard", answer->parts[i].shard),
                   LrLog_C("reason", LrReason_Names[answer->parts[i].reason]));
        }
    }
}

void
LrGateway_Answered(LrRouted *routed, const LrAnswer *answer)
{
    if (!routed->call) {
        unref_routed(routed);
        return;
    }
    GString *head = g_string_new(NULL);
    unsigned status;
    GBytes *body = compose(routed, answer, head, &status);
    log_answer(routed, answer, status);
    LrCall *call = routed->call;
    routed->call = NULL;
    routed->incomplete = answer->outcome != LR_OUTCOME_COMPLETE;
    LrCall_SetData(call, NULL);
    LrCall_Reply(call, head, body, false);
    g_string_free(head, TRUE);
    unref_routed(routed);
}

void
LrGateway_SetCatalogue(LrGateway *gateway, const LrCatalogue *catalogue)
{
    const LrRoutingSpec *spec = LrRoutes_Spec(LrRouting_Routes(catalogue));
    LrCallerLimits limits = {
        .max_head_bytes = (size_t)spec->max_header_bytes,
        .max_body_bytes = (size_t)spec->max_body_bytes,
        .receive_timeout = spec->header_timeout_ms * LR_MILLISECOND,
        .idle_timeout = spec->idle_timeout_ms * LR_MILLISECOND,
    };
    LrCallers_SetLimits(gateway->callers, &limits);
}

static LrCallers *
open_callers(LrGateway *gateway, GError **error)
{
    const LrSettings *settings = &gateway->daemon->settings;
    LrCallersConfig config = {
        .loop = gateway->daemon->loop,
        .timers = gateway->timers,
        .address = settings->listen,
        .max_connections =
            (unsigned)MAX(1, (settings->max_files - RESERVED_FILES) / 2),
        .log = gateway->daemon->log,
        .counters = gateway->daemon->counters,
        .handler = {.request = on_request,
                    .gone = on_gone,
                    .refuse = on_refuse,
                    .data = gateway},
    };
    LrCallers *callers = LrCallers_New(&config, error);
    if (callers) {
        LrCallerLimits limits = {
            .max_head_bytes = (size_t)settings->max_body_bytes,
            .max_body_bytes = (size_t)settings->max_body_bytes,
            .receive_timeout = FIRST_RECEIVE_TIMEOUT,
            .idle_timeout = FIRST_IDLE_TIMEOUT,
        };
        LrCallers_SetLimits(callers, &limits);
    }
    return callers;
}

static void
on_idle(void *data, LrStr key, size_t n_idle)
{
    LrGateway *gateway = data;
    LrRouter *router = LrEngine_Router(gateway->daemon->engine);
    LrTarget *target = LrRouter_Lookup(router, key);
    if (target) {
        target->idle_links = (uint32_t)n_idle;
    }
}

LrGateway *
LrGateway_New(LrDaemon *daemon, const LrContract *contract, GError **error)
{
    LrGateway *gateway = g_new0(LrGateway, 1);
    gateway->daemon = daemon;
    gateway->contract = contract;
    gateway->timers = LrLoopTimers_New(daemon->loop);
    gateway->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_attempt);
    LrUpstreamConfig upstream = {
        .loop = daemon->loop,
        .timers = gateway->timers,
        .log = daemon->log,
        .counters = daemon->counters,
        .connect_timeout =
            daemon->settings.connect_timeout_ms * LR_MILLISECOND,
        .max_response_bytes = MAX_RESPONSE,
        .idle = on_idle,
        .data = gateway,
        .max_connections =
            (size_t)MAX(1, (daemon->settings.max_files - RESERVED_FILES) / 2),
    };
    gateway->upstream = LrUpstream_New(&upstream);
    gateway->callers = open_callers(gateway, error);
    if (!gateway->callers) {
        LrGateway_Free(gateway);
        return NULL;
    }
    return gateway;
}

void
LrGateway_Free(LrGateway *gateway)
{
    if (!gateway) {
        return;
    }
    LrCallers_Free(gateway->callers);
    LrUpstream_Free(gateway->upstream);
    g_hash_table_unref(gateway->attempts);
    LrLoopTimers_Free(gateway->timers);
    g_free(gateway);
}

void
LrGateway_SetDraining(LrGateway *gateway, bool draining)
{
    LrCallers_SetDraining(gateway->callers, draining);
}

void
LrGateway_Quiesce(LrGateway *gateway)
{
    LrCallers_Quiesce(gateway->callers);
}

bool
LrGateway_IsIdle(const LrGateway *gateway)
{
    return LrCallers_Busy(gateway->callers) == 0;
}

json_t *
LrGateway_Dump(const LrGateway *gateway)
{
    return json_pack(
        "{s:I, s:I, s:I}", "caller_connections",
        (json_int_t)LrCallers_Open(gateway->callers), "target_connections",
        (json_int_t)LrUpstream_Open(gateway->upstream), "attempts",
        (json_int_t)g_hash_table_size(gateway->attempts));
}
