/* A daemon that loses its links to all targets sees the same as one whose
 * targets all fail: connections that hang, are reset or refused. While several
 * targets fail, it checks others, each on a new connection.
 * If none of them can be reached, the daemon is cut off, whatever still
 * arrives on older connections; checks that pass end that. */
#include "target_reach.h"

/* No reply for this long, while requests wait for as long, puts the links in
 * doubt. Targets reply many times within it to a daemon with some load; a
 * doubt that is wrong costs only the checks. */
#define SILENCE_TIME (150 * LR_MILLISECOND)
/* Pause between two sets of checks, and before the first one of a doubt: a
 * crashing request is held up meanwhile. */
#define CHECK_INTERVAL (250 * LR_MILLISECOND)
#define FIRST_CHECK_INTERVAL (50 * LR_MILLISECOND)
/* After a doubt that was wrong, silence or a target that is down raise none
 * for this long. */
#define TRUST_TIME (500 * LR_MILLISECOND)
/* A daemon that was cut off takes its requests back over this time, so that
 * many daemons that return together don't open all their connections at
 * once. */
#define RETURN_TIME LR_SECOND
/* Evaluations are 100 ms apart. After a longer gap this process was paused or
 * slow, and what arrived in the meantime is still to be read. */
#define MAX_ROUND_GAP (500 * LR_MILLISECOND)

enum {
    /* Targets that refuse connections, and targets with overdue requests, that
     * raise doubt; all targets where there are fewer. */
    MIN_FAILED = 2,
    MIN_OVERDUE = 3,
    /* Checks that pass one after the other and end the cut. */
    MIN_PASSED = 2,
    MAX_FAILED = 16,
};

const char *const LrReachState_Names[] = {
    [LR_REACH_NORMAL] = "normal",
    [LR_REACH_IN_DOUBT] = "in_doubt",
    [LR_REACH_CUT_OFF] = "cut_off",
};

struct LrTargetReach {
    LrLog *log;
    LrCounters *counters;
    LrReachState state;
    size_t n_targets;
    /* Targets to which a new connection failed since the last one on which a
     * target answered. */
    uint32_t failed[MAX_FAILED];
    size_t n_failed;
    /* How many of these connections were not set up in time. */
    size_t n_hanging;
    size_t n_overdue;
    LrTime last_reply_at;
    LrTime evaluated_at;
    LrTime checked_at;
    /* Checks have been sent since the doubt began. */
    bool checked_in_doubt;
    LrTime trusted_until;
    /* Failed checks since the doubt or the cut began, and checks that passed
     * since the last failed one. */
    unsigned n_checks_failed;
    unsigned n_checks_passed;
    LrTime cut_at;
    LrTime regained_at;
};

LrTargetReach *
LrTargetReach_New(LrLog *log, LrCounters *counters)
{
    LrTargetReach *reach = g_new0(LrTargetReach, 1);
    reach->log = log;
    reach->counters = counters;
    return reach;
}

void
LrTargetReach_Free(LrTargetReach *reach)
{
    g_free(reach);
}

LrReachState
LrTargetReach_State(const LrTargetReach *reach)
{
    return reach->state;
}

static void
set_state(LrTargetReach *reach, LrReachState state, LrTime now)
{
    reach->state = state;
    reach->checked_in_doubt =
        reach->checked_in_doubt && state != LR_REACH_NORMAL;
    reach->n_checks_passed = 0;
    reach->n_checks_failed = 0;
    LR_LOG(
        reach->log, LOG_INFO, "target_reach",
        LrLog_CStr("state", LrReachState_Names[state]),
        LrLog_Int("connects_failed", (int64_t)reach->n_failed),
        LrLog_Int("overdue", (int64_t)reach->n_overdue),
        LrLog_Int("silent_ms", (now - reach->last_reply_at) / LR_MILLISECOND));
}

/* Raises doubt when enough targets fail; checks settle it. */
static void
consider(LrTargetReach *reach, LrTime now)
{
    if (reach->state != LR_REACH_NORMAL || reach->n_targets == 0) {
        return;
    }
    bool refused = reach->n_failed >= MIN(MIN_FAILED, reach->n_targets);
    bool silent = now >= reach->trusted_until &&
                  reach->n_overdue >= MIN(MIN_OVERDUE, reach->n_targets) &&
                  LrTargetReach_IsSilent(reach, now);
    if (refused || silent) {
        set_state(reach, LR_REACH_IN_DOUBT, now);
    }
}

void
LrTargetReach_OnReply(LrTargetReach *reach, LrTime now)
{
    reach->last_reply_at = now;
}

static void
clear_failed(LrTargetReach *reach)
{
    reach->n_failed = 0;
    reach->n_hanging = 0;
}

void
LrTargetReach_OnNewConnection(LrTargetReach *reach, LrTime now)
{
    clear_failed(reach);
    /* It tells as much as a check that passed. */
    if (reach->state == LR_REACH_IN_DOUBT) {
        reach->trusted_until = now + TRUST_TIME;
        set_state(reach, LR_REACH_NORMAL, now);
    }
}

void
LrTargetReach_OnTargetDown(LrTargetReach *reach, LrTime now)
{
    if (reach->state == LR_REACH_NORMAL && reach->n_targets > 1 &&
        now >= reach->trusted_until) {
        set_state(reach, LR_REACH_IN_DOUBT, now);
    }
}

bool
LrTargetReach_HasFailed(const LrTargetReach *reach, uint32_t target)
{
    for (size_t i = 0; i < reach->n_failed; i++) {
        if (reach->failed[i] == target) {
            return true;
        }
    }
    return false;
}

void
LrTargetReach_OnConnectFailed(LrTargetReach *reach, uint32_t target,
                              bool timed_out, LrTime now)
{
    if (reach->n_failed < MAX_FAILED &&
        !LrTargetReach_HasFailed(reach, target)) {
        reach->failed[reach->n_failed++] = target;
        reach->n_hanging += timed_out;
    }
    consider(reach, now);
}

void
LrTargetReach_BeginRound(LrTargetReach *reach)
{
    reach->n_overdue = 0;
}

void
LrTargetReach_OnWaiting(LrTargetReach *reach, LrTime oldest_sent_at,
                        LrTime now)
{
    reach->n_overdue += now - oldest_sent_at > SILENCE_TIME;
}

void
LrTargetReach_Evaluate(LrTargetReach *reach, size_t n_targets, LrTime now)
{
    if (reach->evaluated_at == 0 ||
        now - reach->evaluated_at > MAX_ROUND_GAP) {
        reach->last_reply_at = now;
        clear_failed(reach);
    }
    reach->evaluated_at = now;
    reach->n_targets = n_targets;
    if (n_targets == 0 && reach->state != LR_REACH_NORMAL) {
        set_state(reach, LR_REACH_NORMAL, now);
    }
    consider(reach, now);
}

bool
LrTargetReach_TakeChecks(LrTargetReach *reach, LrTime now)
{
    LrTime pause =
        reach->checked_in_doubt ? CHECK_INTERVAL : FIRST_CHECK_INTERVAL;
    if (reach->state == LR_REACH_NORMAL ||
        (reach->checked_at > 0 && now - reach->checked_at < pause)) {
        return false;
    }
    reach->checked_at = now;
    reach->checked_in_doubt = true;
    return true;
}

static void
on_cut_off(LrTargetReach *reach, LrTime now)
{
    set_state(reach, LR_REACH_CUT_OFF, now);
    reach->cut_at = now;
    LrCounters_Add(reach->counters, LR_COUNT_TARGETS_LOST, 1);
    LR_LOG(
        reach->log, LOG_WARNING, "targets_lost",
        LrLog_Int("connects_failed", (int64_t)reach->n_failed),
        LrLog_Int("overdue", (int64_t)reach->n_overdue),
        LrLog_Int("silent_ms", (now - reach->last_reply_at) / LR_MILLISECOND));
}

static void
on_regained(LrTargetReach *reach, LrTime now)
{
    set_state(reach, LR_REACH_NORMAL, now);
    reach->regained_at = now;
    LR_LOG(reach->log, LOG_WARNING, "targets_regained",
           LrLog_Int("ms", (now - reach->cut_at) / LR_MILLISECOND));
}

static void
on_reached(LrTargetReach *reach, LrTime now)
{
    reach->last_reply_at = now;
    reach->n_checks_failed = 0;
    reach->n_checks_passed++;
    LrTargetReach_OnNewConnection(reach, now);
    if (reach->state == LR_REACH_CUT_OFF &&
        reach->n_checks_passed >= MIN(MIN_PASSED, reach->n_targets)) {
        on_regained(reach, now);
    }
}

void
LrTargetReach_OnCheck(LrTargetReach *reach, bool reached, LrTime now)
{
    if (reached) {
        on_reached(reach, now);
        return;
    }
    reach->n_checks_failed++;
    reach->n_checks_passed = 0;
    if (reach->state == LR_REACH_IN_DOUBT &&
        reach->n_checks_failed >= MIN(LR_REACH_CHECKS, reach->n_targets)) {
        on_cut_off(reach, now);
    }
}

bool
LrTargetReach_IsSilent(const LrTargetReach *reach, LrTime now)
{
    return now - reach->last_reply_at > SILENCE_TIME;
}

bool
LrTargetReach_LinksHang(const LrTargetReach *reach)
{
    return reach->n_hanging >= MIN(MIN_FAILED, MAX(1, reach->n_targets));
}

double
LrTargetReach_DelegatedShare(const LrTargetReach *reach, LrTime now)
{
    if (reach->state == LR_REACH_CUT_OFF) {
        return 1;
    }
    LrTime since = now - reach->regained_at;
    if (reach->regained_at == 0 || since >= RETURN_TIME) {
        return 0;
    }
    return 1 - (double)since / (double)RETURN_TIME;
}
