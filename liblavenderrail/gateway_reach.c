/* The gateway of the routed interface: watches over this daemon's links to the
 * targets. */
#include "gateway_private.h"

enum {
    /* Of the checked targets in doubt, those that replied last: they were up a
     * moment ago. The others are drawn, since what those share, such as a
     * request that crashes them, may have brought them down. */
    RECENT_CHECKS = LR_REACH_CHECKS / 2,
};

/* Targets to check. */
typedef struct {
    LrGateway *gateway;
    LrTime now;
    /* Those with the highest score are chosen, up to this number. */
    double (*score)(const LrGateway *gateway, const LrTarget *target);
    size_t limit;
    struct {
        LrTarget *target;
        double score;
    } rows[LR_REACH_CHECKS];
    /* Rows before the first one were chosen by another score. */
    size_t first;
    size_t n;
} CheckChoice;

typedef struct {
    LrTargetReach *reach;
    LrTime now;
    size_t n_targets;
} Round;

bool
LrGateway_IsCutOff(const LrGateway *gateway)
{
    return LrTargetReach_State(gateway->reach) == LR_REACH_CUT_OFF;
}

static double
score_recency(const LrGateway *gateway, const LrTarget *target)
{
    return LrTargetReach_HasFailed(gateway->reach, target->index)
               ? -1
               : (double)target->last_reply_at;
}

static double
score_random(const LrGateway *gateway, const LrTarget *target)
{
    (void)target;
    return LrRandom_Uniform(LrEngine_Random(gateway->daemon->engine));
}

bool
LrGateway_MayBeOverloaded(const LrTarget *target, LrUpstreamEnd end,
                          LrTime now)
{
    bool rejected = end == LR_UPSTREAM_NOT_SENT || end == LR_UPSTREAM_BROKEN;
    return rejected && LrTargets_IsOverloaded(target, now);
}

static bool
is_checkable(const CheckChoice *choice, const LrTarget *target)
{
    for (size_t i = 0; i < choice->first; i++) {
        if (choice->rows[i].target == target) {
            return false;
        }
    }
    return !target->relay &&
           LrGateway_IsInConfiguration(choice->gateway, target) &&
           !LrTargets_IsLeaving(target, choice->now) &&
           !LrTargets_IsPaused(target, choice->now) &&
           !LrTargets_IsMisdirected(target, choice->now);
}

/* Inserts the target by descending score; the last one of a full list is
 * dropped. */
static void
consider_target(void *data, LrTarget *target)
{
    CheckChoice *choice = data;
    if (!is_checkable(choice, target)) {
        return;
    }
    double score = choice->score(choice->gateway, target);
    size_t at = choice->n;
    while (at > choice->first && choice->rows[at - 1].score < score) {
        at--;
    }
    if (at == choice->limit) {
        return;
    }
    choice->n = MIN(choice->n + 1, choice->limit);
    for (size_t i = choice->n - 1; i > at; i--) {
        choice->rows[i] = choice->rows[i - 1];
    }
    choice->rows[at].target = target;
    choice->rows[at].score = score;
}

static void
choose(CheckChoice *choice, size_t count,
       double (*score)(const LrGateway *, const LrTarget *))
{
    choice->first = choice->n;
    choice->limit = choice->n + count;
    choice->score = score;
    LrTargets_Each(LrEngine_Targets(choice->gateway->daemon->engine),
                   consider_target, choice);
}

static void
send_checks(LrGateway *gateway, LrTime now)
{
    CheckChoice choice = {.gateway = gateway, .now = now};
    if (!LrGateway_IsCutOff(gateway)) {
        choose(&choice, RECENT_CHECKS, score_recency);
    }
    choose(&choice, LR_REACH_CHECKS - RECENT_CHECKS, score_random);
    for (size_t i = 0; i < choice.n; i++) {
        LrGateway_CheckReach(gateway, choice.rows[i].target);
    }
}

static void
on_state_changed(LrGateway *gateway, LrReachState state, LrTime now)
{
    LrEngine *engine = gateway->daemon->engine;
    if (gateway->reach_state == LR_REACH_CUT_OFF) {
        gateway->loss_told = false;
        LrEngine_OnTargetsRegained(engine, now);
    }
    gateway->reach_state = state;
    LrEngine_SetLinksInDoubt(engine, now, state != LR_REACH_NORMAL);
}

void
LrGateway_UpdateReach(LrGateway *gateway, LrTime now)
{
    if (LrTargetReach_TakeChecks(gateway->reach, now)) {
        send_checks(gateway, now);
    }
    LrReachState state = LrTargetReach_State(gateway->reach);
    if (state != gateway->reach_state) {
        on_state_changed(gateway, state, now);
    }
    /* Queries that still get replies on older connections go on, and so do
     * those on connections that are open while new ones are rejected: only
     * where new ones hang are the open ones lost, too. */
    if (state == LR_REACH_CUT_OFF && !gateway->loss_told &&
        LrTargetReach_LinksHang(gateway->reach) &&
        LrTargetReach_IsSilent(gateway->reach, now)) {
        gateway->loss_told = true;
        LrEngine_OnTargetsLost(gateway->daemon->engine, now);
    }
}

void
LrGateway_OnFirstUse(void *data, LrStr key, LrUpstreamEnd end)
{
    LrGateway *gateway = data;
    LrTime now = LrClock_Now();
    LrTarget *target =
        LrTargets_Lookup(LrEngine_Targets(gateway->daemon->engine), key);
    if (end == LR_UPSTREAM_OK || end == LR_UPSTREAM_MALFORMED) {
        LrTargetReach_OnNewConnection(gateway->reach, now);
    }
    else if (target) {
        if (!LrGateway_MayBeOverloaded(target, end, now)) {
            LrTargetReach_OnConnectFailed(gateway->reach, target->index,
                                          end == LR_UPSTREAM_CONNECT_TIMEOUT,
                                          now);
        }
        /* An overloaded target may have crashed as well. */
        if (target->n_broken_requests > 0) {
            LrTargetReach_OnTargetDown(gateway->reach, now);
        }
        LrGateway_UpdateReach(gateway, now);
    }
}

static void
report_waiting(void *data, LrTarget *target)
{
    Round *round = data;
    if (target->relay) {
        return;
    }
    round->n_targets++;
    LrTime since = LrTargets_WaitingSince(target);
    if (since > 0) {
        LrTargetReach_OnWaiting(round->reach, since, round->now);
    }
}

void
LrGateway_EvaluateReach(LrGateway *gateway, LrTime now)
{
    Round round = {.reach = gateway->reach, .now = now};
    LrTargetReach_BeginRound(gateway->reach);
    LrTargets_Each(LrEngine_Targets(gateway->daemon->engine), report_waiting,
                   &round);
    LrTargetReach_Evaluate(gateway->reach, round.n_targets, now);
    LrGateway_UpdateReach(gateway, now);
}
