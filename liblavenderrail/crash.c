/* Which requests crash targets.
 *
 * A connection that breaks before the reply may have been broken by a crash of
 * the target. In the native interface each broken connection counts as one.
 * With confirm_crashes it has to be confirmed: the target is checked, and only
 * when it is down was that a crash. Until then, and until a target has
 * answered it, the request is a suspect: it has one attempt in flight at a
 * time, so that it cannot crash the targets of all shards at once. */
#include "private.h"

#include <string.h>

/* How long a broken connection can be confirmed as a crash. A target that has
 * crashed takes longer to start again. */
#define UNCONFIRMED_CRASH_TTL (2 * LR_SECOND)
/* What a target resets once its ejection has ended does not tell that it was
 * up in between. Longer than most restarts take; a limit, since a request that
 * crashes the target each time it is up looks the same. */
#define MAX_DOWN_TIME (5 * LR_SECOND)
/* A target is checked this long after a connection to it broke: its listening
 * socket may be closed later than its connections. */
#define CHECK_DELAY (10 * LR_MILLISECOND)
/* A suspect whose attempt broke waits this long for the check of that target
 * before it is sent to another. */
#define SUSPECT_HOLD (100 * LR_MILLISECOND)

enum {
    MAX_CHECKS = 8,
    /* Reports that are kept for peers between two deliveries. */
    MAX_REPORTS = 64,
};

const char *const LrCheckResult_Names[] = {
    [LR_CHECK_UP] = "up",
    [LR_CHECK_DOWN] = "down",
    [LR_CHECK_UNKNOWN] = "unknown",
};

static void emit_due_checks(void *data, LrTime now);

static void
clear_report(gpointer data)
{
    g_free((char *)((LrCrashReport *)data)->target.ptr);
}

/* Takes a copy of the target's key. */
static void
add_report(LrEngine *engine, LrCrashReport report)
{
    if (engine->crash_reports->len == MAX_REPORTS) {
        LR_LOG(engine->config.log, LOG_WARNING, "crash_report_dropped",
               LrLog_Hex("fingerprint", report.fingerprint.content));
        return;
    }
    report.target.ptr =
        report.target.len > 0 ? LrStr_Dup(report.target) : NULL;
    g_array_append_val(engine->crash_reports, report);
}

void
LrEngine_EachCrashReport(LrEngine *engine,
                         void (*func)(void *data, const LrCrashReport *report),
                         void *data)
{
    GArray *reports = engine->crash_reports;
    for (guint i = 0; i < reports->len; i++) {
        func(data, &g_array_index(reports, LrCrashReport, i));
    }
    g_array_set_size(reports, 0);
}

void
LrCrash_Init(LrEngine *engine)
{
    engine->quarantine = LrQuarantine_New();
    engine->due_checks = g_array_new(FALSE, FALSE, sizeof(LrDueCheck));
    engine->crash_reports = g_array_new(FALSE, FALSE, sizeof(LrCrashReport));
    g_array_set_clear_func(engine->crash_reports, clear_report);
    engine->check_timer = (LrTimer){.func = emit_due_checks, .data = engine};
}

void
LrCrash_Clear(LrEngine *engine)
{
    LrTimers_Cancel(engine->timers, &engine->check_timer);
    g_array_unref(engine->due_checks);
    g_array_unref(engine->crash_reports);
    LrQuarantine_Free(engine->quarantine);
}

/* Marks a query, and its attempts in flight, as suspected of a crash. */
static void
mark_suspect(LrQuery *query)
{
    query->suspect = true;
    for (size_t i = 0; i < query->n_parts; i++) {
        LrQueryPart *part = &query->parts[i];
        for (unsigned j = 0; j < part->n_in_flight; j++) {
            LrAttempt *attempt = part->in_flight_attempts[j];
            attempt->target->n_suspects += !attempt->suspect;
            attempt->suspect = true;
        }
    }
}

static void
mark_suspects(LrEngine *engine, LrFingerprint fingerprint)
{
    LrQuery *query;
    TAILQ_FOREACH(query, &engine->queries, of_engine)
    {
        if (query->fingerprint.content == fingerprint.content) {
            mark_suspect(query);
        }
    }
}

static void
clear_suspect(LrQuery *query, LrTime now)
{
    query->suspect = false;
    query->hold_until = 0;
    /* Suspects are not hedged. */
    query->next_hedge_at = now;
    for (size_t i = 0; i < query->n_parts; i++) {
        LrQueryPart *part = &query->parts[i];
        for (unsigned j = 0; j < part->n_in_flight; j++) {
            LrAttempt *attempt = part->in_flight_attempts[j];
            attempt->target->n_suspects -= attempt->suspect;
            attempt->suspect = false;
        }
    }
}

void
LrCrash_QuarantineQuery(LrEngine *engine, LrQuery *query)
{
    LR_LOG(engine->config.log, LOG_WARNING, "request_quarantined",
           LrLog_Str("entry", query->entry->spec->name),
           LrLog_Hex("fingerprint", query->fingerprint.content));
    for (size_t i = 0; i < query->n_parts; i++) {
        LrGather_SetMissing(&query->parts[i], LR_REASON_QUARANTINED);
    }
}

/* Tells which other requests were in flight when the target crashed. They are
 * counted at the first connection that breaks; those that break after it
 * belong to the same crash. */
static LrCrashContext
crash_context(const LrAttempt *attempt, LrTarget *target, LrTime now)
{
    if (target->connection_broken_at == 0 ||
        now - target->connection_broken_at > LR_SAME_CRASH_WINDOW) {
        target->crash_suspects = target->n_suspects;
        target->crash_requests = target->in_flight;
        /* A cancelled request may still have been running. */
        target->crash_requests +=
            target->cancelled_at > 0 &&
            now - target->cancelled_at < LR_SAME_CRASH_WINDOW;
    }
    target->connection_broken_at = now;
    if (!attempt->sent_as_suspect || target->crash_suspects > 1) {
        return LR_CRASH_WITH_SUSPECTS;
    }
    return target->crash_requests == 1 ? LR_CRASH_ALONE : LR_CRASH_WITH_OTHERS;
}

static LrRequestStatus
record_unconfirmed(LrEngine *engine, const LrAttempt *attempt, LrTime now)
{
    LrQueryPart *part = attempt->part;
    LrFingerprint fingerprint = part->query->fingerprint;
    LrCrashContext context = crash_context(attempt, attempt->target, now);
    part->n_crashes++;
    LrRequestStatus status = LrQuarantine_RecordCrash(
        engine->quarantine, fingerprint, attempt->target->index, context, now);
    if (status == LR_REQUEST_SUSPECT) {
        mark_suspects(engine, fingerprint);
    }
    return status;
}

/* Emits an action for each check that is due, and arms the timer for the
 * next. */
static void
emit_due_checks(void *data, LrTime now)
{
    LrEngine *engine = data;
    GArray *checks = engine->due_checks;
    while (checks->len > 0) {
        LrDueCheck check = g_array_index(checks, LrDueCheck, 0);
        if (check.due > now) {
            LrTimers_Arm(engine->timers, &engine->check_timer, check.due);
            return;
        }
        g_array_remove_index(checks, 0);
        LrTarget *target = check.target;
        if (target->groups->len == 0) {
            target->checking = false;
            engine->n_checks--;
            LrTargets_Release(engine->targets, target);
            continue;
        }
        const LrGroup *group = target->groups->pdata[0];
        LrCounters_Add(engine->config.counters, LR_COUNT_CRASH_CHECKS, 1);
        LrAction *action = LrEngine_AddAction(engine, LR_ACTION_CHECK);
        action->target = target;
        action->shard = group->name;
    }
}

static void
schedule_check(LrEngine *engine, LrTarget *target, LrTime now)
{
    if (target->checking || engine->n_checks == MAX_CHECKS) {
        return;
    }
    target->checking = true;
    target->refs++;
    engine->n_checks++;
    LrDueCheck check = {.target = target, .due = now + CHECK_DELAY};
    g_array_append_val(engine->due_checks, check);
    if (engine->due_checks->len == 1) {
        LrTimers_Arm(engine->timers, &engine->check_timer, check.due);
    }
}

/* Whether the target, which has not replied since a connection to it broke, is
 * still believed to be down. */
static bool
is_believed_down(const LrTarget *target, LrTime now)
{
    LrTime until =
        MAX(target->broken_at, target->ejected_until) + UNCONFIRMED_CRASH_TTL;
    return target->broken_at > 0 && now < until &&
           now - target->broken_at < MAX_DOWN_TIME;
}

/* Whether the target was down already when the attempt was sent. One that
 * refused connections and then accepted one has started again: a request that
 * breaks this connection has crashed it anew, although the target has replied
 * to nothing in between. */
static bool
was_down(const LrTarget *target, LrTime sent_at, LrTime now)
{
    bool accepts_again = target->connect_failed_at > target->broken_at &&
                         sent_at > target->connect_failed_at;
    return is_believed_down(target, now) && sent_at > target->broken_at &&
           !accepts_again;
}

/* When the earliest of the request's attempts in flight was sent, the broken
 * one included. */
static LrTime
in_flight_since(const LrEngine *engine, const LrAttempt *broken)
{
    LrTime since = broken->sent_at;
    const LrQuery *query;
    TAILQ_FOREACH(query, &engine->queries, of_engine)
    {
        if (query->fingerprint.content != broken->fingerprint.content) {
            continue;
        }
        for (size_t i = 0; i < query->n_parts; i++) {
            const LrQueryPart *part = &query->parts[i];
            for (unsigned j = 0; j < part->n_in_flight; j++) {
                since = MIN(since, part->in_flight_attempts[j]->sent_at);
            }
        }
    }
    return since;
}

/* Keeps the broken attempt until it is known whether the target is down.
 * False when the attempt tells nothing of its request. */
static bool
keep_unconfirmed(LrEngine *engine, const LrAttempt *attempt, LrTime now)
{
    LrTarget *target = attempt->target;
    if (attempt->fingerprint.content == 0 ||
        was_down(target, attempt->sent_at, now)) {
        return false;
    }
    if (!is_believed_down(target, now) ||
        target->connect_failed_at > target->broken_at) {
        target->broken_at = now;
    }
    LR_LOG(engine->config.log, LOG_NOTICE, "crash_unconfirmed",
           LrLog_Hex("fingerprint", attempt->fingerprint.content),
           LrLog_Str("target", target->name));
    if (target->n_broken_requests < LR_MAX_BROKEN_REQUESTS) {
        target->broken_requests[target->n_broken_requests++] =
            (LrBrokenRequest){
                .fingerprint = attempt->fingerprint,
                .sent_at = attempt->sent_at,
                .at = now,
                .moment = LrQuarantine_BreakMoment(
                    engine->quarantine, attempt->fingerprint,
                    in_flight_since(engine, attempt), now),
            };
    }
    if (LrQuarantine_Check(engine->quarantine, attempt->fingerprint, now) ==
        LR_REQUEST_CLEAR) {
        add_report(engine, (LrCrashReport){.fingerprint = attempt->fingerprint,
                                           .event = LR_CRASH_EVENT_BROKEN});
    }
    schedule_check(engine, target, now);
    return true;
}

LrRequestStatus
LrCrash_OnBroken(LrEngine *engine, const LrAttempt *attempt, LrTime now)
{
    if (!engine->config.confirm_crashes) {
        return record_unconfirmed(engine, attempt, now);
    }
    LrQuery *query = attempt->part->query;
    if (query->harmless || !keep_unconfirmed(engine, attempt, now)) {
        return LR_REQUEST_CLEAR;
    }
    LrRequestStatus status =
        LrQuarantine_Check(engine->quarantine, query->fingerprint, now);
    if (status == LR_REQUEST_SUSPECT || attempt->sent_as_suspect) {
        query->hold_until = now + SUSPECT_HOLD;
    }
    query->n_broken++;
    mark_suspect(query);
    LrQuarantine_Suspect(engine->quarantine, query->fingerprint, now);
    return status;
}

void
LrCrash_OnCancelledBroken(LrEngine *engine, const LrAttempt *attempt,
                          LrTime now)
{
    if (engine->config.confirm_crashes) {
        keep_unconfirmed(engine, attempt, now);
    }
}

/* Applies what is now known of a request to the queries of it that run. */
static void
reconsider(LrEngine *engine, LrFingerprint fingerprint, LrTime now)
{
    LrQuery *query;
    LrQuery *next;
    TAILQ_FOREACH_SAFE(query, &engine->queries, of_engine, next)
    {
        if (query->fingerprint.content != fingerprint.content ||
            query->queued || query->harmless) {
            continue;
        }
        LrRequestStatus status =
            LrQuarantine_Check(engine->quarantine, query->fingerprint, now);
        query->hold_until = 0;
        if (status == LR_REQUEST_QUARANTINED) {
            LrCrash_QuarantineQuery(engine, query);
        }
        else if (status == LR_REQUEST_SUSPECT) {
            mark_suspect(query);
        }
        else if (query->suspect) {
            clear_suspect(query, now);
        }
        LrDispatch_SendHeld(engine, query, now);
        LrQuery_Progress(engine, query, now);
    }
}

/* Tells all daemons that a request is refused from now on. */
static void
report_quarantined(LrEngine *engine, LrFingerprint fingerprint)
{
    add_report(engine, (LrCrashReport){
                           .fingerprint = LrQuarantine_KnownAs(
                               engine->quarantine, fingerprint),
                           .event = LR_CRASH_EVENT_QUARANTINED,
                       });
}

/* Returns whether it was counted, and told to peers. */
static bool
confirm_crash(LrEngine *engine, const LrTarget *target,
              const LrBrokenRequest *broken, LrTime now)
{
    unsigned n_before =
        LrQuarantine_CountCrashes(engine->quarantine, broken->fingerprint);
    LrConfirmedCrash crash = {.sent_at = broken->sent_at,
                              .broken_at = broken->at,
                              .moment = broken->moment};
    LrRequestStatus status = LrQuarantine_RecordConfirmed(
        engine->quarantine, broken->fingerprint, &crash, now);
    unsigned n_crashes =
        LrQuarantine_CountCrashes(engine->quarantine, broken->fingerprint);
    /* First, so that peers which count this crash too need not tell it. */
    if (n_crashes > n_before && status == LR_REQUEST_QUARANTINED) {
        report_quarantined(engine, broken->fingerprint);
    }
    if (n_crashes > n_before) {
        add_report(engine, (LrCrashReport){.fingerprint = broken->fingerprint,
                                           .event = LR_CRASH_EVENT_CRASH,
                                           .target = target->key,
                                           .broken_at = broken->at});
    }
    LrCounters_Add(engine->config.counters, LR_COUNT_CRASHES, 1);
    LR_LOG(engine->config.log, LOG_NOTICE, "crash_confirmed",
           LrLog_Hex("fingerprint", broken->fingerprint.content),
           LrLog_Str("target", target->name), LrLog_Int("crashes", n_crashes),
           LrLog_CStr("status", LrRequestStatus_Names[status]),
           LrLog_Int("ms", (now - broken->at) / LR_MILLISECOND));
    return n_crashes > n_before;
}

/* Settles whether the connections to the target that broke before were broken
 * by a crash of it. */
static void
settle(LrEngine *engine, LrTarget *target, bool down, LrTime now)
{
    /* A daemon without links takes every target as down. */
    target->down_in_doubt = down && engine->links_in_doubt;
    if (target->down_in_doubt) {
        return;
    }
    LrBrokenRequest broken[LR_MAX_BROKEN_REQUESTS];
    unsigned n = target->n_broken_requests;
    memcpy(broken, target->broken_requests, n * sizeof(broken[0]));
    target->n_broken_requests = 0;
    if (!down) {
        target->broken_at = 0;
    }
    else if (n > 0) {
        LrTargets_Eject(engine->targets, target, now);
    }
    bool told = false;
    for (unsigned i = 0; i < n; i++) {
        bool recent = now - broken[i].at < UNCONFIRMED_CRASH_TTL;
        if (down && recent) {
            told |= confirm_crash(engine, target, &broken[i], now);
        }
        else if (!down) {
            LrQuarantine_Unsuspect(engine->quarantine, broken[i].fingerprint);
        }
    }
    if (down && n > 0 && !told) {
        add_report(engine,
                   (LrCrashReport){.fingerprint = broken[0].fingerprint,
                                   .event = LR_CRASH_EVENT_DOWN,
                                   .target = target->key});
    }
    for (unsigned i = 0; i < n; i++) {
        reconsider(engine, broken[i].fingerprint, now);
    }
}

void
LrCrash_OnReply(LrEngine *engine, LrTarget *target, LrTime sent_at,
                LrReplyStatus status, LrTime now)
{
    bool down = status == LR_REPLY_CONNECT_FAILED;
    bool up = status == LR_REPLY_OK || status == LR_REPLY_SHED ||
              status == LR_REPLY_ERROR || status == LR_REPLY_REJECTED;
    /* A reply to a request that was sent before may have been on its way when
     * the target crashed. */
    bool tells = target->broken_at > 0 && sent_at >= target->broken_at;
    if (down && tells && !engine->links_in_doubt) {
        target->connect_failed_at = sent_at;
    }
    if (engine->config.confirm_crashes && tells && (down || up)) {
        settle(engine, target, down, now);
    }
}

static void
drop_broken(void *data, LrTarget *target)
{
    LrEngine *engine = data;
    for (unsigned i = 0; i < target->n_broken_requests; i++) {
        LrFingerprint fingerprint = target->broken_requests[i].fingerprint;
        LrQuarantine_Unsuspect(engine->quarantine, fingerprint);
        add_report(engine, (LrCrashReport){.fingerprint = fingerprint,
                                           .event = LR_CRASH_EVENT_BROKEN,
                                           .withdrawn = true});
    }
    target->n_broken_requests = 0;
    target->broken_at = 0;
    target->down_in_doubt = false;
}

void
LrCrash_DropUnconfirmed(LrEngine *engine)
{
    LrTargets_Each(engine->targets, drop_broken, engine);
}

static void
collect_postponed(void *data, LrTarget *target)
{
    if (target->down_in_doubt) {
        target->refs++;
        g_ptr_array_add(data, target);
    }
}

void
LrCrash_SettlePostponed(LrEngine *engine, LrTime now)
{
    g_autoptr(GPtrArray) targets = g_ptr_array_new();
    engine->now = now;
    LrTargets_Each(engine->targets, collect_postponed, targets);
    for (guint i = 0; i < targets->len; i++) {
        LrTarget *target = targets->pdata[i];
        settle(engine, target, true, now);
        LrTargets_Release(engine->targets, target);
    }
}

static bool
is_same_request(LrFingerprint a, LrFingerprint b)
{
    return a.content == b.content && a.caller == b.caller;
}

static void
forget_broken(LrTarget *target, LrFingerprint fingerprint)
{
    for (unsigned i = target->n_broken_requests; i > 0; i--) {
        LrBrokenRequest *broken = &target->broken_requests[i - 1];
        if (is_same_request(broken->fingerprint, fingerprint)) {
            *broken = target->broken_requests[--target->n_broken_requests];
        }
    }
}

void
LrCrash_OnAnswered(LrEngine *engine, LrQuery *query, LrTime now)
{
    if (query->harmless) {
        return;
    }
    query->harmless = true;
    for (size_t i = 0; query->n_broken > 0 && i < query->n_parts; i++) {
        const LrQueryPart *part = &query->parts[i];
        for (unsigned j = 0; j < part->n_tried; j++) {
            forget_broken(part->tried[j], query->fingerprint);
        }
    }
    if (!query->suspect) {
        return;
    }
    if (LrQuarantine_CountCrashes(engine->quarantine, query->fingerprint) >
        0) {
        add_report(engine, (LrCrashReport){.fingerprint = query->fingerprint,
                                           .event = LR_CRASH_EVENT_ANSWERED});
    }
    LrQuarantine_Clear(engine->quarantine, query->fingerprint);
    clear_suspect(query, now);
}

/* A peer found the target down: what it resets from now on is not caused by
 * the requests that it resets. */
static void
mark_down(LrEngine *engine, LrStr key, LrTime now)
{
    LrTarget *target = LrTargets_Lookup(engine->targets, key);
    if (!target) {
        return;
    }
    if (!is_believed_down(target, now)) {
        target->broken_at = now;
        LrTargets_Eject(engine->targets, target, now);
    }
}

static void
count_reported(LrEngine *engine, const LrCrashReport *report, LrTime now)
{
    LrQuarantine *quarantine = engine->quarantine;
    LrRequestStatus before =
        LrQuarantine_Check(quarantine, report->fingerprint, now);
    LrConfirmedCrash crash = {.reporter = report->reporter,
                              .broken_at = report->broken_at};
    LrRequestStatus after = LrQuarantine_RecordConfirmed(
        quarantine, report->fingerprint, &crash, now);
    if (after == LR_REQUEST_QUARANTINED && before != after) {
        report_quarantined(engine, report->fingerprint);
    }
    mark_down(engine, report->target, now);
}

void
LrEngine_OnCrashReport(LrEngine *engine, LrTime now,
                       const LrCrashReport *report)
{
    LrQuarantine *quarantine = engine->quarantine;
    engine->now = now;
    LrCounters_Add(engine->config.counters, LR_COUNT_CRASH_REPORTS, 1);
    switch (report->event) {
    case LR_CRASH_EVENT_BROKEN:
        if (report->withdrawn) {
            LrQuarantine_Unsuspect(quarantine, report->fingerprint);
        }
        else {
            LrQuarantine_Suspect(quarantine, report->fingerprint, now);
        }
        break;
    case LR_CRASH_EVENT_CRASH:
        count_reported(engine, report, now);
        break;
    case LR_CRASH_EVENT_DOWN:
        mark_down(engine, report->target, now);
        break;
    case LR_CRASH_EVENT_QUARANTINED:
        LrQuarantine_Add(quarantine, report->fingerprint,
                         now + LR_QUARANTINE_TTL, now);
        break;
    default:
        LrQuarantine_Clear(quarantine, report->fingerprint);
        break;
    }
    LR_LOG(engine->config.log, LOG_INFO, "crash_reported",
           LrLog_Hex("fingerprint", report->fingerprint.content),
           LrLog_CStr("what", LrCrashEvent_Names[report->event]),
           LrLog_Str("target", report->target),
           LrLog_Int("crashes", LrQuarantine_CountCrashes(
                                    quarantine, report->fingerprint)));
    reconsider(engine, report->fingerprint, now);
    LrEngine_ServeDirty(engine, now);
}

void
LrEngine_OnCheck(LrEngine *engine, LrTime now, LrStr key, LrCheckResult result)
{
    LrTarget *target = LrTargets_Lookup(engine->targets, key);
    if (!target || !target->checking) {
        return;
    }
    engine->now = now;
    target->checking = false;
    engine->n_checks--;
    LR_LOG(engine->config.log, LOG_INFO, "target_checked",
           LrLog_Str("target", target->name),
           LrLog_CStr("result", LrCheckResult_Names[result]));
    if (result != LR_CHECK_UNKNOWN) {
        settle(engine, target, result == LR_CHECK_DOWN, now);
    }
    LrTargets_Release(engine->targets, target);
    LrEngine_ServeDirty(engine, now);
}
