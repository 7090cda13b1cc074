/* Answers to callers: HTTP status and JSON text. */
#include "lavenderrail.h"

#include <stdlib.h>

#include <jansson.h>

enum {
    STATUS_OK = 200,
    STATUS_PARTIAL = 206,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_CONFLICT = 409,
    STATUS_UNPROCESSABLE = 422,
    STATUS_TOO_MANY_REQUESTS = 429,
    STATUS_BAD_GATEWAY = 502,
    STATUS_UNAVAILABLE = 503,
    STATUS_GATEWAY_TIMEOUT = 504,
};

unsigned
LrAnswer_RefusalStatus(LrOutcome outcome, LrReason reason)
{
    if (outcome == LR_OUTCOME_UNKNOWN) {
        return reason == LR_REASON_DEADLINE ? STATUS_GATEWAY_TIMEOUT
                                            : STATUS_BAD_GATEWAY;
    }
    switch (reason) {
    case LR_REASON_UNKNOWN_ENTRY:
        return STATUS_NOT_FOUND;
    case LR_REASON_ENTRY_LIMIT:
        return STATUS_TOO_MANY_REQUESTS;
    case LR_REASON_KEY_REQUIRED:
    case LR_REASON_KEY_INVALID:
        return STATUS_BAD_REQUEST;
    case LR_REASON_KEY_CONFLICT:
    case LR_REASON_KEY_EXPIRED:
        return STATUS_CONFLICT;
    case LR_REASON_QUARANTINED:
        return STATUS_UNPROCESSABLE;
    default:
        return STATUS_UNAVAILABLE;
    }
}

unsigned
LrAnswer_Status(const LrAnswer *answer)
{
    if (answer->outcome == LR_OUTCOME_COMPLETE) {
        return STATUS_OK;
    }
    if (answer->outcome == LR_OUTCOME_PARTIAL) {
        return STATUS_PARTIAL;
    }
    return LrAnswer_RefusalStatus(answer->outcome, answer->reason);
}

static GBytes *
dump(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    LrStr whole = LrStr_FromC(text);
    return g_bytes_new_with_free_func(text, whole.len, free, text);
}

GBytes *
LrAnswer_RefusalJson(LrOutcome outcome, LrReason reason, const char *hint)
{
    return dump(json_pack("{s:s, s:s, s:s}", "outcome",
                          LrOutcome_Names[outcome], "reason",
                          LrReason_Names[reason], "hint", hint));
}

static json_t *
missing_json(const LrAnswer *answer)
{
    json_t *missing = json_array();
    for (size_t i = 0; i < answer->n_parts; i++) {
        const LrAnswerPart *part = &answer->parts[i];
        if (part->reason == LR_REASON_NONE) {
            continue;
        }
        json_array_append_new(
            missing,
            json_pack("{s:s%, s:s}", "shard", part->shard.ptr, part->shard.len,
                      "reason", LrReason_Names[part->reason]));
    }
    return missing;
}

static json_t *
results_json(const LrAnswer *answer)
{
    json_t *results = json_array();
    for (size_t i = 0; i < answer->n_parts; i++) {
        const LrAnswerPart *part = &answer->parts[i];
        if (part->reason != LR_REASON_NONE) {
            continue;
        }
        LrStr text = LrStr_FromBytes(part->body);
        json_t *body = json_loadb(text.ptr, text.len, JSON_DECODE_ANY, NULL);
        json_array_append_new(
            results,
            json_pack("{s:s%, s:s%, s:o}", "shard", part->shard.ptr,
                      part->shard.len, "target", part->target.ptr,
                      part->target.len, "body", body ? body : json_null()));
    }
    return results;
}

GBytes *
LrAnswer_ToJson(const LrAnswer *answer)
{
    double share = answer->n_parts > 0
                       ? (double)answer->n_answered / (double)answer->n_parts
                       : 0;
    json_t *json =
        json_pack("{s:s, s:s, s:I, s:{s:I, s:I, s:f}, s:o, s:o}", "outcome",
                  LrOutcome_Names[answer->outcome], "reason",
                  LrReason_Names[answer->reason], "snapshot",
                  (json_int_t)answer->version, "coverage", "answered",
                  (json_int_t)answer->n_answered, "total",
                  (json_int_t)answer->n_parts, "share", share, "missing",
                  missing_json(answer), "results", results_json(answer));
    return dump(json);
}
