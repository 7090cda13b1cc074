/* The native HTTP protocol with targets, described in docs/TARGETS.md. */
#include "lavenderrail.h"

#include <string.h>

#include <jansson.h>

enum {
    STATUS_OK = 200,
    STATUS_BAD_REQUEST = 400,
    STATUS_GONE = 410,
    STATUS_CANCELLED = 499,
    STATUS_SERVER_ERROR = 500,
    STATUS_UNAVAILABLE = 503,
};

static char *
http_url(const LrAction *action)
{
    LrStr address = action->target->address;
    return g_strdup_printf("http://%.*s/v1/search", (int)address.len,
                           address.ptr);
}

static char *
http_cancel_url(LrStr address, uint64_t attempt)
{
    return g_strdup_printf("http://%.*s/v1/cancel/%" G_GUINT64_FORMAT,
                           (int)address.len, address.ptr, attempt);
}

static void
add_str_header(GPtrArray *headers, const char *name, LrStr value)
{
    g_ptr_array_add(
        headers, g_strdup_printf("%s: %.*s", name, (int)value.len, value.ptr));
}

static void
add_int_header(GPtrArray *headers, const char *name, int64_t value)
{
    g_ptr_array_add(headers,
                    g_strdup_printf("%s: %" G_GINT64_FORMAT, name, value));
}

static char **
http_headers(const LrAction *action, LrTime now)
{
    GPtrArray *headers = g_ptr_array_new();
    LrTime time_left = MAX(0, action->deadline - now);
    g_ptr_array_add(headers, g_strdup("Content-Type: application/json"));
    add_str_header(headers, "Lr-Service", action->service);
    add_str_header(headers, "Lr-Shard", action->shard);
    add_int_header(headers, "Lr-Snapshot", action->version);
    add_int_header(headers, "Lr-Attempt", (int64_t)action->attempt);
    add_int_header(headers, "Lr-Deadline-Ms", time_left / LR_MILLISECOND);
    add_str_header(headers, "Lr-Class",
                   LrStr_FromC(LrTrafficClass_Names[action->klass]));
    if (action->key.len > 0) {
        add_str_header(headers, "Idempotency-Key", action->key);
    }
    g_ptr_array_add(headers, NULL);
    return (char **)g_ptr_array_free(headers, FALSE);
}

static void
read_load(LrTransfer *transfer, LrLoadReport *load)
{
    int64_t running;
    int64_t queued;
    load->present =
        LrStr_ToInt(LrTransfer_Header(transfer, "Lr-Running"), &running) &&
        LrStr_ToInt(LrTransfer_Header(transfer, "Lr-Queued"), &queued) &&
        running >= 0 && queued >= 0;
    if (load->present) {
        load->running = (double)running;
        load->queued = (double)queued;
    }
}

/* Reads the header "Lr-Versions: OLDEST-NEWEST". */
static void
read_versions(LrTransfer *transfer, LrReply *reply)
{
    LrStr text = LrTransfer_Header(transfer, "Lr-Versions");
    const char *separator = text.len ? memchr(text.ptr, '-', text.len) : NULL;
    if (!separator) {
        return;
    }
    LrStr oldest = {.ptr = text.ptr, .len = (size_t)(separator - text.ptr)};
    LrStr newest = {.ptr = separator + 1, .len = text.len - oldest.len - 1};
    if (!LrStr_ToInt(oldest, &reply->oldest_version) ||
        !LrStr_ToInt(newest, &reply->newest_version)) {
        reply->oldest_version = 0;
        reply->newest_version = 0;
    }
}

static bool
is_json(GBytes *body)
{
    LrStr text = LrStr_FromBytes(body);
    json_t *json = json_loadb(text.ptr, text.len, JSON_DECODE_ANY, NULL);
    json_decref(json);
    return json != NULL;
}

static LrReplyStatus
read_response(const LrTransferResult *result, uint64_t attempt, LrReply *reply)
{
    LrTransfer *transfer = result->transfer;
    int64_t echo;
    if (!LrStr_ToInt(LrTransfer_Header(transfer, "Lr-Attempt"), &echo) ||
        (uint64_t)echo != attempt) {
        return LR_REPLY_GARBAGE;
    }
    read_load(transfer, &reply->load);
    reply->draining =
        LrStr_EqualC(LrTransfer_Header(transfer, "Lr-Draining"), "1");
    read_versions(transfer, reply);
    LrStr rate_limit = LrTransfer_Header(transfer, "Lr-Rate-Limit");
    bool not_run =
        LrStr_EqualC(LrTransfer_Header(transfer, "Lr-Not-Run"), "1");
    if (rate_limit.len > 0 || result->status == STATUS_OK) {
        reply->rate_report = LrRateReport_Parse(rate_limit);
    }
    if (result->status == STATUS_GONE) {
        return not_run ? LR_REPLY_VERSION_GONE : LR_REPLY_REJECTED;
    }
    if (not_run) {
        return LR_REPLY_SHED;
    }
    if (result->status == STATUS_OK) {
        LrStr version = LrTransfer_Header(transfer, "Lr-Snapshot");
        bool valid = LrStr_ToInt(version, &reply->version) &&
                     reply->version > 0 && is_json(result->body);
        return valid ? LR_REPLY_OK : LR_REPLY_GARBAGE;
    }
    if (result->status >= STATUS_BAD_REQUEST &&
        result->status < STATUS_SERVER_ERROR &&
        result->status != STATUS_CANCELLED) {
        return LR_REPLY_REJECTED;
    }
    return LR_REPLY_GARBAGE;
}

static void
http_classify_response(const LrTransferResult *result, uint64_t attempt,
                       LrReply *reply)
{
    static const LrReplyStatus statuses[] = {
        [LR_TRANSFER_OK] = LR_REPLY_OK,
        [LR_TRANSFER_NOT_SENT] = LR_REPLY_CONNECT_FAILED,
        [LR_TRANSFER_BROKEN] = LR_REPLY_BROKEN,
        [LR_TRANSFER_TIMEOUT] = LR_REPLY_TIMEOUT,
        [LR_TRANSFER_TOO_LARGE] = LR_REPLY_GARBAGE,
    };
    *reply = (LrReply){.status = statuses[result->end], .body = result->body};
    if (result->end == LR_TRANSFER_OK) {
        reply->status = read_response(result, attempt, reply);
    }
}

const LrTargetProtocol LrTargetProtocol_Http = {
    .name = "http",
    .url = http_url,
    .headers = http_headers,
    .cancel_url = http_cancel_url,
    .classify_response = http_classify_response,
};
