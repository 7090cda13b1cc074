/* The gateway of the routed interface: sends the engine's attempts to targets
 * and reports the replies to the engine. */
#include "gateway_private.h"

#include <string.h>

/* A non-idempotent request is not sent on a connection that was idle for
 * longer: it may have been dropped unnoticed, and such a request can't be
 * retried. */
#define MAX_IDLE_NON_IDEMPOTENT (200 * LR_MILLISECOND)
/* Idle timeouts of connections to a spare target, which is mostly left to
 * other daemons: one hedge seldom follows another there, while first attempts
 * come as often as a host of a large fleet has requests for a shard, twice a
 * second. */
#define SPARE_IDLE_TIMEOUT_HEDGE (500 * LR_MILLISECOND)
#define SPARE_IDLE_TIMEOUT_FIRST (2 * LR_SECOND)

typedef struct {
    uint64_t id;
    LrRoutedRequest *routed;
    LrUpstreamRequest *request;
    char *instance;
    LrFingerprint fingerprint;
    LrTime sent_at;
    LrTime deadline;
    bool cancelled;
} Attempt;

static void
free_attempt(gpointer data)
{
    Attempt *attempt = data;
    LrRoutedRequest_Unref(attempt->routed);
    g_free(attempt->instance);
    g_free(attempt);
}

GHashTable *
LrGateway_NewAttempts(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                 free_attempt);
}

static void
write_head(void *data, LrTime now, GString *out)
{
    const Attempt *attempt = data;
    const LrRoutedRequest *routed = attempt->routed;
    g_string_append_len(out, routed->head->str, (gssize)routed->head->len);
    routed->gateway->contract->write_attempt_headers(
        LrStr_FromC(attempt->instance), MAX(0, attempt->deadline - now), out);
    LrStr body = LrStr_FromBytes(routed->body);
    if (body.len > 0) {
        g_string_append_printf(out, "Content-Length: %zu\r\n", body.len);
    }
    g_string_append(out, "\r\n");
}

static bool
matches_request(void *data, const LrHttpMessage *response)
{
    const Attempt *attempt = data;
    return attempt->routed->gateway->contract->matches_request(
        response, LrStr_FromC(attempt->routed->id));
}

static void
classify_response(const LrRoutedRequest *routed, LrUpstreamEnd end,
                  LrHttpMessage *response, LrReply *reply)
{
    static const LrReplyStatus ends[] = {
        [LR_UPSTREAM_OK] = LR_REPLY_OK,
        [LR_UPSTREAM_NOT_SENT] = LR_REPLY_CONNECT_FAILED,
        [LR_UPSTREAM_CONNECT_TIMEOUT] = LR_REPLY_CONNECT_FAILED,
        [LR_UPSTREAM_STALE] = LR_REPLY_STALE,
        [LR_UPSTREAM_BROKEN] = LR_REPLY_BROKEN,
        [LR_UPSTREAM_TIMEOUT] = LR_REPLY_TIMEOUT,
        [LR_UPSTREAM_MALFORMED] = LR_REPLY_GARBAGE,
    };
    *reply = (LrReply){.status = ends[end]};
    if (end == LR_UPSTREAM_OK) {
        routed->gateway->contract->classify_response(
            response, routed->route->scatter, reply);
        reply->body = LrHttpMessage_TakeBody(response);
    }
}

static void
log_attempt(const Attempt *attempt, const LrReply *reply)
{
    const LrRoutedRequest *routed = attempt->routed;
    if (reply->status == LR_REPLY_OK || attempt->cancelled) {
        return;
    }
    LR_LOG(routed->gateway->daemon->log, LOG_INFO, "attempt_failed",
           LrLog_CStr("id", routed->id),
           LrLog_Int("attempt", (int64_t)attempt->id),
           LrLog_CStr("target", attempt->instance),
           LrLog_CStr("status", LrReplyStatus_Names[reply->status]),
           LrLog_Hex("fingerprint", attempt->fingerprint.content),
           LrLog_Int("left_ms",
                     (attempt->deadline - LrClock_Now()) / LR_MILLISECOND));
}

static void
on_attempt_done(void *data, LrUpstreamEnd end, LrHttpMessage *response)
{
    Attempt *attempt = data;
    LrGateway *gateway = attempt->routed->gateway;
    LrDaemon *daemon = gateway->daemon;
    LrTime now = LrClock_Now();
    LrReply reply;
    classify_response(attempt->routed, end, response, &reply);
    log_attempt(attempt, &reply);
    if (end == LR_UPSTREAM_OK || end == LR_UPSTREAM_MALFORMED) {
        LrTargetReach_OnReply(gateway->reach, now);
    }
    LrEngine_Advance(daemon->engine, now);
    LrEngine_OnReply(daemon->engine, now, attempt->id, &reply);
    LrGateway_UpdateReach(gateway, now);
    g_clear_pointer(&reply.head, g_bytes_unref);
    g_clear_pointer(&reply.body, g_bytes_unref);
    g_hash_table_remove(gateway->attempts, &attempt->id);
    LrDaemon_RunActions(daemon);
}

static bool
is_first(const LrAction *action)
{
    return strcmp(action->attempt_kind, "first") == 0;
}

static LrTime
idle_timeout_for(const LrAction *action)
{
    if (!action->target->backup) {
        return LR_NEVER;
    }
    return is_first(action) ? SPARE_IDLE_TIMEOUT_FIRST
                            : SPARE_IDLE_TIMEOUT_HEDGE;
}

void
LrGateway_Send(LrGateway *gateway, const LrAction *action)
{
    LrRoutedRequest *routed = ((LrPendingRequest *)action->data)->routed;
    Attempt *attempt = g_new0(Attempt, 1);
    attempt->id = action->attempt;
    attempt->routed = routed;
    attempt->instance = LrStr_Dup(action->target->instance);
    attempt->fingerprint = action->fingerprint;
    attempt->sent_at = LrClock_Now();
    attempt->deadline = action->deadline;
    routed->refs++;
    routed->n_attempts++;
    g_hash_table_insert(gateway->attempts, &attempt->id, attempt);
    LrUpstreamSpec spec = {
        .key = action->target->key,
        .address = action->target->address,
        .write_head = write_head,
        .matches_request = matches_request,
        .done = on_attempt_done,
        .data = attempt,
        .body = routed->body,
        .bodyless = routed->bodyless,
        .deadline = action->deadline,
        .idle_timeout = idle_timeout_for(action),
        .max_idle_for_reuse =
            routed->route->idempotent ? LR_NEVER : MAX_IDLE_NON_IDEMPOTENT,
    };
    attempt->request = LrUpstream_Send(gateway->upstream, &spec);
    if (!is_first(action)) {
        LR_LOG(gateway->daemon->log, LOG_INFO, "attempt_repeated",
               LrLog_CStr("id", routed->id),
               LrLog_Int("attempt", (int64_t)action->attempt),
               LrLog_CStr("cause", action->attempt_kind),
               LrLog_Str("shard", action->shard),
               LrLog_CStr("target", attempt->instance),
               LrLog_Int("left_ms",
                         (action->deadline - LrClock_Now()) / LR_MILLISECOND));
    }
}

/* Logs an attempt that had not ended when an incomplete answer was sent. */
static void
log_unfinished(const Attempt *attempt)
{
    const LrRoutedRequest *routed = attempt->routed;
    LR_LOG(routed->gateway->daemon->log, LOG_INFO, "attempt_unfinished",
           LrLog_CStr("id", routed->id),
           LrLog_Int("attempt", (int64_t)attempt->id),
           LrLog_CStr("target", attempt->instance),
           LrLog_CStr("phase", LrUpstreamRequest_IsSent(attempt->request)
                                   ? "sent"
                                   : "connecting"),
           LrLog_Int("age_ms",
                     (LrClock_Now() - attempt->sent_at) / LR_MILLISECOND));
}

bool
LrGateway_Cancel(LrGateway *gateway, uint64_t id)
{
    Attempt *attempt = g_hash_table_lookup(gateway->attempts, &id);
    if (!attempt) {
        return false;
    }
    /* The response is still read for a while: it shows the target's health and
     * leaves the connection reusable. After that the connection is closed, so
     * that the target doesn't work on a cancelled attempt for long. */
    attempt->cancelled = true;
    if (attempt->routed->incomplete) {
        log_unfinished(attempt);
    }
    LrTime linger = gateway->daemon->settings.linger_ms * LR_MILLISECOND;
    LrUpstreamRequest_ShortenDeadline(attempt->request,
                                      LrClock_Now() + linger);
    return true;
}
