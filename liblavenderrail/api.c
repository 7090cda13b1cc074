/* HTTP interface for callers: queries, calls and idempotency keys. */
#include "daemon.h"

#include <string.h>

#include <jansson.h>

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_METHOD_NOT_ALLOWED = 405,
};

#define JSON_TYPE "application/json"

void
LrApi_Refuse(LrExchange *exchange, LrOutcome outcome, LrReason reason,
             const char *hint)
{
    LrExchange_Reply(exchange, LrAnswer_RefusalStatus(outcome, reason),
                     JSON_TYPE, LrAnswer_RefusalJson(outcome, reason, hint));
}

static void
reply_error(LrExchange *exchange, unsigned status, const char *text)
{
    json_t *json =
        json_pack("{s:s, s:s}", "outcome", "not_run", "error", text);
    char *body = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    size_t len = strlen(body);
    LrExchange_Reply(exchange, status, JSON_TYPE,
                     g_bytes_new_with_free_func(body, len, free, body));
}

static LrPendingRequest *
new_pending(LrDaemon *daemon, LrExchange *exchange)
{
    LrPendingRequest *pending = g_new0(LrPendingRequest, 1);
    pending->daemon = daemon;
    pending->exchange = exchange;
    LrExchange_SetData(exchange, pending);
    return pending;
}

void
LrApi_Answered(LrPendingRequest *pending, const LrAnswer *answer)
{
    LrExchange *exchange = pending->exchange;
    LrExchange_SetData(exchange, NULL);
    g_free(pending);
    if (answer->outcome == LR_OUTCOME_NOT_RUN) {
        LrExchange_AddHeader(exchange, "Retry-After", "1");
    }
    LrExchange_Reply(exchange, LrAnswer_Status(answer), JSON_TYPE,
                     LrAnswer_ToJson(answer));
}

/* Reads the Lr-Deadline-Ms header; false when it is there but invalid. */
static bool
read_timeout(LrExchange *exchange, LrTime *timeout)
{
    LrStr text = LrExchange_Header(exchange, "Lr-Deadline-Ms");
    int64_t ms = 0;
    *timeout = 0;
    if (text.len == 0) {
        return true;
    }
    if (!LrStr_ToInt(text, &ms) || ms < 1 || ms > INT32_MAX) {
        return false;
    }
    *timeout = ms * LR_MILLISECOND;
    return true;
}

static void
submit(LrDaemon *daemon, LrExchange *exchange, LrStr entry, bool call)
{
    LrTime timeout;
    if (!read_timeout(exchange, &timeout)) {
        reply_error(exchange, STATUS_BAD_REQUEST,
                    "Lr-Deadline-Ms must be a whole number, at least 1");
        return;
    }
    LrPendingRequest *pending = new_pending(daemon, exchange);
    LrRequest request = {
        .entry = entry,
        .body = LrExchange_Body(exchange),
        .single_shard = call,
        .routing_key = LrExchange_Header(exchange, "Lr-Routing-Key"),
        .timeout = timeout,
        .data = pending,
    };
    pending->query = LrEngine_Submit(daemon->engine, LrClock_Now(), &request);
    LrDaemon_RunActions(daemon);
}

static bool
needs_key(const LrDaemon *daemon, LrStr name)
{
    LrView *view = LrEngine_View(daemon->engine);
    LrEntry *entry = view ? LrView_LookupEntry(view, name) : NULL;
    return entry && !entry->spec->idempotent;
}

static void
issue_key(LrDaemon *daemon, LrExchange *exchange)
{
    if (daemon->stopping) {
        LrApi_Refuse(exchange, LR_OUTCOME_NOT_RUN, LR_REASON_STOPPING,
                     "send the request to another host");
        return;
    }
    g_autofree char *key = LrKeyedCall_IssueKey(daemon);
    char *text = g_strdup_printf("{\"key\":\"%s\"}", key);
    LrExchange_Reply(exchange, STATUS_OK, JSON_TYPE,
                     g_bytes_new_take(text, strlen(text)));
}

static void
route(LrDaemon *daemon, LrExchange *exchange, LrStr path)
{
    static const char query_prefix[] = "/v1/query/";
    static const char call_prefix[] = "/v1/call/";
    if (LrStr_EqualC(path, "/v1/keys")) {
        issue_key(daemon, exchange);
        return;
    }
    bool call = LrStr_HasPrefix(path, call_prefix);
    size_t skip = call ? strlen(call_prefix) : strlen(query_prefix);
    if (!call && !LrStr_HasPrefix(path, query_prefix)) {
        reply_error(exchange, STATUS_NOT_FOUND, "no such path");
        return;
    }
    LrStr entry = {.ptr = path.ptr + skip, .len = path.len - skip};
    if (!needs_key(daemon, entry)) {
        submit(daemon, exchange, entry, call);
    }
    else if (call) {
        LrKeyedCall_Handle(daemon, exchange, entry);
    }
    else {
        reply_error(exchange, STATUS_BAD_REQUEST,
                    "a non-idempotent entry accepts /v1/call only");
    }
}

void
LrApi_Request(void *data, LrExchange *exchange)
{
    LrDaemon *daemon = data;
    LrEngine_Advance(daemon->engine, LrClock_Now());
    if (!LrStr_EqualC(LrExchange_Method(exchange), "POST")) {
        LrExchange_AddHeader(exchange, "Allow", "POST");
        reply_error(exchange, STATUS_METHOD_NOT_ALLOWED,
                    "only POST is allowed");
        return;
    }
    if (daemon->stopping) {
        LrExchange_AddHeader(exchange, "Connection", "close");
    }
    route(daemon, exchange, LrExchange_Path(exchange));
}

void
LrApi_CallerGone(void *data, LrExchange *exchange)
{
    LrDaemon *daemon = data;
    LrPendingRequest *pending = LrExchange_Data(exchange);
    if (!pending) {
        return;
    }
    if (pending->row || pending->forwarded) {
        LrKeyedCall_CallerGone(daemon, exchange);
        return;
    }
    LrEngine_Cancel(daemon->engine, LrClock_Now(), pending->query);
    g_free(pending);
    LrDaemon_RunActions(daemon);
}
