/* The gateway of the routed interface: takes callers' requests, and submits
 * them to the engine or forwards them to another daemon. */
#include "gateway_private.h"

#include <jansson.h>

enum {
    /* Reserved for files, the platform and peers. */
    RESERVED_DESCRIPTORS = 400,
    /* A response's head holds a seal, the target's load and a few headers. */
    MAX_RESPONSE_HEAD_BYTES = 64 << 10,
    MAX_RESPONSE_BODY_BYTES = 8 << 20,
    /* Of all partly read responses together: a tenth of the memory of the
     * smallest host, 160 MB. Buffers that grow can take twice the limit. */
    MAX_BUFFERED_BYTES = 16 << 20,
};

/* Timeouts of callers' connections until a catalogue sets them. */
#define INITIAL_RECEIVE_TIMEOUT (3 * LR_SECOND)
#define INITIAL_IDLE_TIMEOUT (15 * LR_SECOND)

void
LrRoutedRequest_Unref(LrRoutedRequest *routed)
{
    if (--routed->refs > 0) {
        return;
    }
    LrMemoryBudget_RemoveAccepted(routed->gateway->memory, routed->charged);
    LrCatalogue_Unref(routed->catalogue);
    g_free(routed->id);
    g_free(routed->request_target);
    g_free(routed->reply_to);
    g_clear_pointer(&routed->declined_by, g_ptr_array_unref);
    g_string_free(routed->head, TRUE);
    if (routed->body) {
        g_bytes_unref(routed->body);
    }
    g_free(routed);
}

LrTime
LrRoutedRequest_Due(const LrRoutedRequest *routed)
{
    LrTime due =
        routed->arrived_at + routed->route->timeout_ms * LR_MILLISECOND;
    return routed->deadline > 0 ? MIN(due, routed->deadline) : due;
}

static void
answer_error(LrGateway *gateway, LrCallerExchange *exchange, unsigned status,
             LrTime after)
{
    GString *head = g_string_new(NULL);
    gateway->contract->write_daemon_head(status, after, head);
    LrCallerExchange_Reply(exchange, head, NULL, false);
    g_string_free(head, TRUE);
}

/* Refuses a request of which nothing was sent to any target. */
static void
refuse_request(LrGateway *gateway, LrCallerExchange *exchange, unsigned status,
               LrReason reason, LrStr id)
{
    const LrHttpMessage *message = LrCallerExchange_Message(exchange);
    LrCounters_Add(gateway->daemon->counters, LR_COUNT_ROUTED_REFUSED, 1);
    LR_LOG(gateway->daemon->log, LOG_INFO, "request_refused",
           LrLog_Str("id", id),
           LrLog_Str("host_name", LrHttpMessage_Header(message, "Host")),
           LrLog_Str("path", LrHttpMessage_Path(message)),
           LrLog_Int("status", status),
           LrLog_CStr("reason", LrReason_Names[reason]),
           LrLog_Int("config", gateway->config_version));
    answer_error(gateway, exchange, status,
                 status == LR_STATUS_UNAVAILABLE ? LrGateway_RetryAfter(reason)
                                                 : 0);
}

/* A request that comes again has the same host, request target and body, and
 * comes from the same address. The service that it goes to is left out: one
 * request may go to each of a route's backends. */
static uint64_t
hash_content(LrStr host, LrStr target, LrStr body)
{
    g_autofree char *lower = g_ascii_strdown(host.ptr, (gssize)host.len);
    uint64_t hash = LrStr_Hash(LrStr_FromC(lower), 0);
    return MAX(1, LrStr_Hash(body, LrStr_Hash(target, hash)));
}

static LrRoutedRequest *
new_routed(LrGateway *gateway, const LrRoute *route, LrStr id, LrStr target)
{
    LrRoutedRequest *routed = g_new0(LrRoutedRequest, 1);
    routed->refs = 1;
    routed->gateway = gateway;
    routed->pending = (LrPendingRequest){
        .daemon = gateway->daemon,
        .routed = routed,
    };
    routed->catalogue =
        LrCatalogue_Ref(LrEngine_View(gateway->daemon->engine)->catalogue);
    routed->route = route->spec;
    routed->id = LrStr_Dup(id);
    routed->request_target = LrStr_Dup(target);
    return routed;
}

/* Deadline from the timeout that the caller or the forwarding daemon gave; 0
 * for none. */
static LrTime
deadline_from(LrTime now, LrTime timeout)
{
    return timeout > 0 ? now + MAX(1, timeout) : 0;
}

bool
LrGateway_HasRoom(const LrGateway *gateway, size_t bytes)
{
    return LrMemoryBudget_HasRoom(gateway->memory, bytes);
}

/* Charges the memory for the request until its last reference is released. */
static void
charge_memory(LrRoutedRequest *routed)
{
    size_t body = LrStr_FromBytes(routed->body).len;
    routed->charged = routed->head->allocated_len +
                      (body > 0 ? LrMemoryBudget_AllocatedFor(body) : 0);
    LrMemoryBudget_AddAccepted(routed->gateway->memory, routed->charged);
}

static LrRoutedRequest *
new_caller_request(LrGateway *gateway, LrCallerExchange *exchange,
                   LrRoute *route, const LrRequestMetadata *metadata)
{
    const LrHttpMessage *message = LrCallerExchange_Message(exchange);
    LrTime margin =
        gateway->daemon->settings.answer_margin_ms * LR_MILLISECOND;
    LrRoutedRequest *routed = new_routed(gateway, route, metadata->id,
                                         LrHttpMessage_RequestTarget(message));
    routed->exchange = exchange;
    routed->entry = LrRoute_NextEntry(route);
    routed->arrived_at = LrClock_Now();
    routed->deadline = deadline_from(
        routed->arrived_at,
        metadata->timeout > 0 ? MAX(1, metadata->timeout - margin) : 0);
    routed->head = g_string_new(NULL);
    routed->bodyless = LrStr_EqualC(LrHttpMessage_Method(message), "HEAD");
    gateway->contract->write_request_head(message, routed->head);
    routed->body = LrCallerExchange_TakeBody(exchange);
    routed->fingerprint = (LrFingerprint){
        .content = hash_content(LrHttpMessage_Header(message, "Host"),
                                LrHttpMessage_RequestTarget(message),
                                LrStr_FromBytes(routed->body)),
        .caller =
            MAX(1, LrStr_Hash(LrCallerExchange_CallerAddress(exchange), 0)),
    };
    LrCallerExchange_SetData(exchange, routed);
    LrCallerExchange_DropContent(exchange);
    charge_memory(routed);
    return routed;
}

LrRoutedRequest *
LrGateway_AcceptForwarded(LrGateway *gateway, const LrRoute *route,
                          const LrForwardMsg *message)
{
    LrTime now = LrClock_Now();
    LrRoutedRequest *routed =
        new_routed(gateway, route, message->request_id, message->target);
    routed->entry = LrRoute_FindEntry(route, message->entry);
    routed->arrived_at = now - message->spent_us * LR_MICROSECOND;
    routed->deadline =
        deadline_from(now, message->timeout_us * LR_MICROSECOND);
    routed->n_spent = (unsigned)message->n_spent;
    routed->reply_to = LrStr_Dup(message->reply_to);
    routed->remote_id = message->id;
    routed->delegated = message->delegated;
    routed->bodyless = message->bodyless;
    routed->head =
        g_string_new_len(message->head.ptr, (gssize)message->head.len);
    if (message->body.len > 0) {
        routed->body = g_bytes_new(message->body.ptr, message->body.len);
    }
    if (!LrFingerprint_FromText(message->fingerprint, message->caller,
                                &routed->fingerprint)) {
        /* Daemons of earlier versions send none. */
        routed->fingerprint = (LrFingerprint){
            .content =
                hash_content(LrStr_FromC(""), message->target, message->body),
        };
    }
    charge_memory(routed);
    return routed;
}

void
LrGateway_Submit(LrGateway *gateway, LrRoutedRequest *routed)
{
    LrDaemon *daemon = gateway->daemon;
    LrTime now = LrClock_Now();
    LrRequest request = {
        .entry = routed->entry,
        .body = routed->body,
        .fingerprint = routed->fingerprint,
        .elapsed = now - routed->arrived_at,
        .timeout = routed->deadline > 0 ? MAX(1, routed->deadline - now) : 0,
        .n_spent = routed->n_spent,
        .data = &routed->pending,
    };
    routed->pending.query = LrEngine_Submit(daemon->engine, now, &request);
}

static void
forward_or_submit(LrGateway *gateway, LrCallerExchange *exchange,
                  LrRoute *route, const LrRequestMetadata *metadata)
{
    LrDaemon *daemon = gateway->daemon;
    LrRoutedRequest *routed =
        new_caller_request(gateway, exchange, route, metadata);
    routed->refs++;
    LrCounters_Add(daemon->counters, LR_COUNT_ROUTED_REQUESTS, 1);
    if (!LrForward_SendRequest(gateway->forward, routed)) {
        LrGateway_Submit(gateway, routed);
    }
    LrRoutedRequest_Unref(routed);
    LrDaemon_RunActions(daemon);
}

static LrRoute *
find_route(LrGateway *gateway, const LrHttpMessage *message)
{
    LrView *view = LrEngine_View(gateway->daemon->engine);
    return LrRoutes_Match(LrRouting_Routes(view->catalogue),
                          LrHttpMessage_Header(message, "Host"),
                          LrHttpMessage_Path(message));
}

/* Called when the head of a request is there: without a route, its body is not
 * kept while the rest of it arrives. */
static bool
needs_body(void *data, const LrHttpMessage *message)
{
    LrGateway *gateway = data;
    return LrEngine_View(gateway->daemon->engine) &&
           find_route(gateway, message);
}

static void
on_request(void *data, LrCallerExchange *exchange)
{
    LrGateway *gateway = data;
    LrDaemon *daemon = gateway->daemon;
    const LrHttpMessage *message = LrCallerExchange_Message(exchange);
    LrRequestMetadata metadata = {0};
    LrEngine_Advance(daemon->engine, LrClock_Now());
    if (!gateway->contract->read_metadata(message, &metadata)) {
        refuse_request(gateway, exchange, LR_STATUS_BAD_REQUEST,
                       LR_REASON_REJECTED, metadata.id);
        return;
    }
    if (!LrEngine_View(daemon->engine)) {
        refuse_request(gateway, exchange, LR_STATUS_UNAVAILABLE,
                       LR_REASON_NO_CATALOGUE, metadata.id);
        return;
    }
    LrRoute *route = find_route(gateway, message);
    if (!route) {
        refuse_request(gateway, exchange, LR_STATUS_NOT_FOUND,
                       LR_REASON_UNKNOWN_ENTRY, metadata.id);
        return;
    }
    if (LrHttpMessage_IsBodyDiscarded(message)) {
        /* The route came into force after the head had been read. */
        refuse_request(gateway, exchange, LR_STATUS_UNAVAILABLE,
                       LR_REASON_NO_CATALOGUE, metadata.id);
        return;
    }
    if (!LrGateway_HasRoom(gateway, LrHttpMessage_HeldBytes(message))) {
        LrCounters_Add(daemon->counters, LR_COUNT_REQUESTS_OVER_MEMORY, 1);
        refuse_request(gateway, exchange, LR_STATUS_UNAVAILABLE,
                       LR_REASON_OVERLOAD, metadata.id);
        return;
    }
    forward_or_submit(gateway, exchange, route, &metadata);
}

static void
on_caller_gone(void *data, LrCallerExchange *exchange)
{
    LrGateway *gateway = data;
    LrRoutedRequest *routed = LrCallerExchange_Data(exchange);
    routed->exchange = NULL;
    LR_LOG(gateway->daemon->log, LOG_INFO, "caller_gone",
           LrLog_CStr("id", routed->id),
           LrLog_Int("ms",
                     (LrClock_Now() - LrCallerExchange_ArrivedAt(exchange)) /
                         LR_MILLISECOND));
    /* When neither can cancel the request, its answer is on the way already
     * and releases it. */
    if (LrForward_Cancel(gateway->forward, routed) ||
        LrEngine_Cancel(gateway->daemon->engine, LrClock_Now(),
                        routed->pending.query)) {
        LrRoutedRequest_Unref(routed);
    }
    LrDaemon_RunActions(gateway->daemon);
}

static void
write_refusal(void *data, unsigned status, GString *head)
{
    LrGateway *gateway = data;
    LrTime after = status == LR_STATUS_UNAVAILABLE
                       ? LrGateway_RetryAfter(LR_REASON_OVERLOAD)
                       : 0;
    LR_LOG(gateway->daemon->log, LOG_INFO, "request_malformed",
           LrLog_Int("status", status));
    gateway->contract->write_daemon_head(status, after, head);
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
    LrCallerServer_SetLimits(gateway->caller_server, &limits);
    if (spec->version != gateway->config_version) {
        gateway->config_version = spec->version;
        gateway->config_version_since = LrClock_Now();
        LR_LOG(gateway->daemon->log, LOG_NOTICE, "configuration_in_force",
               LrLog_Int("version", spec->version),
               LrLog_Int("routes", (int64_t)spec->n_routes),
               LrLog_Int("revision", catalogue->spec.revision));
    }
    if (LrRouting_IsHeld(catalogue)) {
        LR_LOG(gateway->daemon->log, LOG_WARNING, "configuration_kept",
               LrLog_Int("version", spec->version));
    }
}

static LrCallerServer *
open_caller_server(LrGateway *gateway, GError **error)
{
    const LrSettings *settings = &gateway->daemon->settings;
    LrCallerServerConfig config = {
        .loop = gateway->daemon->loop,
        .timers = gateway->timers,
        .address = settings->listen,
        .max_connections =
            (unsigned)MAX(1, (settings->max_files - RESERVED_DESCRIPTORS) / 2),
        .log = gateway->daemon->log,
        .counters = gateway->daemon->counters,
        .memory = gateway->memory,
        .handler = {.request = on_request,
                    .needs_body = needs_body,
                    .caller_gone = on_caller_gone,
                    .refuse = write_refusal,
                    .data = gateway},
    };
    LrCallerServer *server = LrCallerServer_New(&config, error);
    if (server) {
        LrCallerLimits limits = {
            .max_head_bytes = (size_t)settings->max_body_bytes,
            .max_body_bytes = (size_t)settings->max_body_bytes,
            .receive_timeout = INITIAL_RECEIVE_TIMEOUT,
            .idle_timeout = INITIAL_IDLE_TIMEOUT,
        };
        LrCallerServer_SetLimits(server, &limits);
    }
    return server;
}

static void
on_idle_changed(void *data, LrStr key, size_t n_idle)
{
    LrGateway *gateway = data;
    LrTargets *targets = LrEngine_Targets(gateway->daemon->engine);
    LrTarget *target = LrTargets_Lookup(targets, key);
    if (target) {
        target->idle_connections = (uint32_t)n_idle;
    }
}

LrGateway *
LrGateway_New(LrDaemon *daemon, const LrContract *contract, GError **error)
{
    LrGateway *gateway = g_new0(LrGateway, 1);
    gateway->daemon = daemon;
    gateway->contract = contract;
    gateway->timers = LrLoopTimers_New(daemon->loop);
    gateway->memory = LrMemoryBudget_New(
        LrMemoryBudget_LimitFor(daemon->settings.memory_mb));
    gateway->attempts = LrGateway_NewAttempts();
    gateway->checks = LrGateway_NewChecks();
    gateway->reach = LrTargetReach_New(daemon->log, daemon->counters);
    gateway->forward = LrForward_New(gateway);
    LrUpstreamConfig upstream = {
        .loop = daemon->loop,
        .timers = gateway->timers,
        .log = daemon->log,
        .counters = daemon->counters,
        .source = daemon->settings.target_source,
        .connect_timeout =
            daemon->settings.connect_timeout_ms * LR_MILLISECOND,
        .max_head_bytes = MAX_RESPONSE_HEAD_BYTES,
        .max_body_bytes = MAX_RESPONSE_BODY_BYTES,
        .max_buffered_bytes = MAX_BUFFERED_BYTES,
        .first_used = LrGateway_OnFirstUse,
        .idle_changed = on_idle_changed,
        .data = gateway,
        .max_connections = (size_t)MAX(
            1, (daemon->settings.max_files - RESERVED_DESCRIPTORS) / 2),
    };
    gateway->upstream = LrUpstream_New(&upstream);
    gateway->caller_server = open_caller_server(gateway, error);
    if (!gateway->caller_server) {
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
    LrCallerServer_Free(gateway->caller_server);
    LrForward_Free(gateway->forward);
    LrUpstream_Free(gateway->upstream);
    g_hash_table_unref(gateway->attempts);
    g_hash_table_unref(gateway->checks);
    LrTargetReach_Free(gateway->reach);
    LrLoopTimers_Free(gateway->timers);
    LrMemoryBudget_Free(gateway->memory);
    g_free(gateway);
}

void
LrGateway_SetDraining(LrGateway *gateway, bool draining)
{
    LrCallerServer_SetDraining(gateway->caller_server, draining);
}

LrForward *
LrGateway_Forward(LrGateway *gateway)
{
    return gateway->forward;
}

void
LrGateway_Quiesce(LrGateway *gateway)
{
    LrCallerServer_Quiesce(gateway->caller_server);
}

bool
LrGateway_IsIdle(const LrGateway *gateway)
{
    return LrCallerServer_CountBusy(gateway->caller_server) == 0;
}

json_t *
LrGateway_Dump(const LrGateway *gateway)
{
    return json_pack(
        "{s:I, s:I, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "config_version",
        (json_int_t)gateway->config_version, "config_version_ms",
        (json_int_t)(gateway->config_version_since > 0
                         ? (LrClock_Now() - gateway->config_version_since) /
                               LR_MILLISECOND
                         : -1),
        "target_reach",
        LrReachState_Names[LrTargetReach_State(gateway->reach)], "delegates",
        (json_int_t)LrDelegates_Count(gateway->daemon->delegates),
        "caller_connections",
        (json_int_t)LrCallerServer_CountConnections(gateway->caller_server),
        "target_connections",
        (json_int_t)LrUpstream_CountConnections(gateway->upstream), "attempts",
        (json_int_t)g_hash_table_size(gateway->attempts), "caller_bytes",
        (json_int_t)LrMemoryBudget_Held(gateway->memory), "accepted_bytes",
        (json_int_t)LrMemoryBudget_Accepted(gateway->memory),
        "caller_bytes_limit",
        (json_int_t)LrMemoryBudget_Limit(gateway->memory));
}
