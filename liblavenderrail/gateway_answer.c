/* The gateway of the routed interface: sends the engine's answers to callers,
 * in the format of the contract. */
#include "gateway_private.h"

#include "merge.h"

/* With less time left a request is not handed to another daemon: a round trip
 * to it and a fast target take about as long. */
#define MIN_TIME_TO_HAND_OVER (10 * LR_MILLISECOND)

/* One complete answer in this many is logged. */
enum { ANSWERS_PER_LOG_LINE = 64 };

LrTime
LrGateway_RetryAfter(LrReason reason)
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

static GBytes *
merge_parts(const LrRoutedRequest *routed, const LrAnswer *answer)
{
    LrTopK *top = LrTopK_New((size_t)routed->route->top_k);
    for (size_t i = 0; i < answer->n_parts; i++) {
        if (answer->parts[i].target.len > 0) {
            LrTopK_Add(top, LrStr_FromBytes(answer->parts[i].body));
        }
    }
    GBytes *body = LrTopK_ToBytes(top);
    LrTopK_Free(top);
    return body;
}

/* HTTP status of an answer that the daemon itself makes. A request that did
 * not run here may have run at the order of a daemon that handed it over. */
static unsigned
error_status(const LrRoutedRequest *routed, const LrAnswer *answer)
{
    if (answer->outcome == LR_OUTCOME_NOT_RUN && routed->n_spent == 0) {
        return LR_STATUS_UNAVAILABLE;
    }
    return answer->reason == LR_REASON_DEADLINE ? LR_STATUS_TIMEOUT
                                                : LR_STATUS_BAD_GATEWAY;
}

static void
append_bytes(GString *text, GBytes *bytes)
{
    LrStr str = LrStr_FromBytes(bytes);
    g_string_append_len(text, str.ptr, (gssize)str.len);
}

/* Writes the head of the answer to the caller; returns its body. */
static GBytes *
compose_answer(LrRoutedRequest *routed, const LrAnswer *answer, GString *head,
               unsigned *status)
{
    const LrContract *contract = routed->gateway->contract;
    bool success = answer->outcome == LR_OUTCOME_COMPLETE ||
                   answer->outcome == LR_OUTCOME_PARTIAL;
    bool single = !routed->route->scatter && answer->n_parts == 1;
    *status = 200;
    if (success && routed->route->scatter) {
        contract->write_merged_head(answer, head);
        return merge_parts(routed, answer);
    }
    if (single && answer->parts[0].head &&
        answer->outcome != LR_OUTCOME_NOT_RUN) {
        append_bytes(head, answer->parts[0].head);
        *status = success ? 200 : LR_STATUS_BAD_GATEWAY;
        return answer->parts[0].body ? g_bytes_ref(answer->parts[0].body)
                                     : NULL;
    }
    *status = error_status(routed, answer);
    LrTime after = 0;
    if (*status == LR_STATUS_UNAVAILABLE) {
        after = answer->retry_after > 0 ? answer->retry_after
                                        : LrGateway_RetryAfter(answer->reason);
    }
    contract->write_daemon_head(*status, after, head);
    return NULL;
}

static void
log_answer(LrRoutedRequest *routed, const LrAnswer *answer, unsigned status)
{
    LrGateway *gateway = routed->gateway;
    if (answer->outcome == LR_OUTCOME_COMPLETE &&
        gateway->n_complete++ % ANSWERS_PER_LOG_LINE != 0) {
        return;
    }
    LrTime taken = LrClock_Now() - routed->arrived_at;
    LR_LOG(gateway->daemon->log, LOG_INFO, "request_answered",
           LrLog_CStr("id", routed->id),
           LrLog_Str("route", routed->route->name),
           LrLog_CStr("outcome", LrOutcome_Names[answer->outcome]),
           LrLog_CStr("reason", LrReason_Names[answer->reason]),
           LrLog_Int("status", status),
           LrLog_Int("parts", (int64_t)answer->n_parts),
           LrLog_Int("answered", (int64_t)answer->n_answered),
           LrLog_Int("attempts", routed->n_attempts),
           LrLog_Int("ms", taken / LR_MILLISECOND),
           LrLog_Hex("fingerprint", routed->fingerprint.content),
           LrLog_Int(
               "config",
               LrRoutes_Spec(LrRouting_Routes(routed->catalogue))->version));
    for (size_t i = 0; i < answer->n_parts; i++) {
        if (answer->parts[i].target.len == 0) {
            LR_LOG(
                gateway->daemon->log, LOG_INFO, "part_missing",
                LrLog_CStr("id", routed->id),
                LrLog_Str("shard", answer->parts[i].shard),
                LrLog_CStr("reason", LrReason_Names[answer->parts[i].reason]));
        }
    }
}

/* Takes ownership of head and body, and releases the reference to the request
 * that was held for its caller. */
static void
answer_caller(LrRoutedRequest *routed, GString *head, GBytes *body)
{
    LrCallerExchange *exchange = routed->exchange;
    routed->exchange = NULL;
    LrCallerExchange_SetData(exchange, NULL);
    LrCallerExchange_Reply(exchange, head, body, false);
    g_string_free(head, TRUE);
    LrRoutedRequest_Unref(routed);
}

void
LrGateway_AnswerForwarded(LrRoutedRequest *routed, LrStr head, LrStr body)
{
    GBytes *bytes = body.len > 0 ? g_bytes_new(body.ptr, body.len) : NULL;
    answer_caller(routed, g_string_new_len(head.ptr, (gssize)head.len), bytes);
}

void
LrGateway_FailForwarded(LrGateway *gateway, LrRoutedRequest *routed,
                        unsigned status)
{
    GString *head = g_string_new(NULL);
    gateway->contract->write_daemon_head(status, 0, head);
    LR_LOG(gateway->daemon->log, LOG_INFO, "request_answered",
           LrLog_CStr("id", routed->id),
           LrLog_Str("route", routed->route->name),
           LrLog_CStr("outcome", LrOutcome_Names[LR_OUTCOME_UNKNOWN]),
           LrLog_CStr("reason", LrReason_Names[LR_REASON_TARGET_FAILED]),
           LrLog_Int("status", status),
           LrLog_Int("ms",
                     (LrClock_Now() - routed->arrived_at) / LR_MILLISECOND));
    answer_caller(routed, head, NULL);
}

/* Whether the route allows another attempt, whichever daemon makes it. */
static bool
has_attempts_left(const LrRoutedRequest *routed, const LrAnswer *answer)
{
    return routed->n_spent + answer->n_spent <
           (uint64_t)routed->route->max_attempts;
}

/* Whether this daemon can't run a request of one that reaches no target, for
 * reasons that need not hold for others: targets that it left out, or that
 * want a pause from it, or a share of a rate limit that is used up. */
static bool
may_give_back(const LrRoutedRequest *routed, const LrAnswer *answer)
{
    bool local = answer->reason == LR_REASON_TARGET_LIMIT ||
                 answer->reason == LR_REASON_NO_REPLICA;
    return routed->delegated && local && answer->outcome == LR_OUTCOME_NOT_RUN;
}

/* Whether the request failed while this daemon may reach no target, and may be
 * run by another one. */
static bool
may_hand_over(const LrRoutedRequest *routed, const LrAnswer *answer)
{
    LrReachState state = LrTargetReach_State(routed->gateway->reach);
    if (state == LR_REACH_NORMAL || answer->outcome == LR_OUTCOME_COMPLETE ||
        answer->outcome == LR_OUTCOME_PARTIAL) {
        return false;
    }
    bool by_target = answer->n_parts == 1 && answer->parts[0].head;
    bool refused = answer->reason == LR_REASON_STOPPING ||
                   answer->reason == LR_REASON_QUARANTINED ||
                   answer->reason == LR_REASON_REJECTED ||
                   answer->reason == LR_REASON_UNKNOWN_ENTRY;
    /* In doubt, the targets may have failed for the request's sake. */
    bool may_repeat = routed->route->idempotent &&
                      (answer->n_spent == 0 || state == LR_REACH_CUT_OFF);
    bool may_run = answer->outcome == LR_OUTCOME_NOT_RUN || may_repeat;
    LrTime left = LrRoutedRequest_Due(routed) - LrClock_Now();
    return may_run && !by_target && !refused && left > MIN_TIME_TO_HAND_OVER;
}

void
LrGateway_Answered(LrRoutedRequest *routed, const LrAnswer *answer)
{
    if (!routed->exchange && !routed->reply_to) {
        LrRoutedRequest_Unref(routed);
        return;
    }
    if (has_attempts_left(routed, answer) &&
        (may_hand_over(routed, answer) || may_give_back(routed, answer))) {
        routed->n_spent += answer->n_spent;
        if (LrForward_HandOver(routed->gateway->forward, routed)) {
            return;
        }
    }
    GString *head = g_string_new(NULL);
    unsigned status;
    GBytes *body = compose_answer(routed, answer, head, &status);
    log_answer(routed, answer, status);
    routed->incomplete = answer->outcome != LR_OUTCOME_COMPLETE;
    if (routed->reply_to) {
        LrForward_SendAnswer(routed->gateway->forward, routed, head, body);
        g_clear_pointer(&body, g_bytes_unref);
        g_string_free(head, TRUE);
        LrRoutedRequest_Unref(routed);
    }
    else {
        answer_caller(routed, head, body);
    }
}
