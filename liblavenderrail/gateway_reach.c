/* The gateway of the routed interface: watches over this daemon's links to the
 * targets. */
#include "gateway_private.h"

/* Targets to check, best first. */
typedef struct {
    LrGateway *gateway;
    LrTime now;
    struct {
        LrTarget *target;
        double score;
    } rows[LR_REACH_CHECKS];
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

/* In doubt, a target that replied a moment ago tells most: it was up. Later
 * any target may be the first that is reached again. */
static double
check_score(const CheckChoice *choice, const LrTarget *target)
{
    const LrGateway *gateway = choice->gateway;
    if (LrGateway_IsCutOff(gateway)) {
        return LrRandom_Uniform(LrEngine_Random(gateway->daemon->engine));
    }
    if (LrTargetReach_HasFailed(gateway->reach, target->index)) {
        return -1;
    }
    return (double)target->last_reply_at;
}

static void
consider_target(void *data, LrTarget *target)
{
    CheckChoice *choice = data;
    if (target->relay || target->groups->len == 0 ||
        LrTargets_IsLeaving(target, choice->now) ||
        LrTargets_IsPaused(target, choice->now) ||
        LrTargets_IsMisdirected(target, choice->now)) {
        return;
    }
    double score = check_score(choice, target);
    size_t at = choice->n;
    while (at > 0 && choice->rows[at - 1].score < score) {
        at--;
    }
    if (at == LR_REACH_CHECKS) {
        return;
    }
    choice->n = MIN(choice->n + 1, LR_REACH_CHECKS);
    for (size_t i = choice->n - 1; i > at; i--) {
        choice->rows[i] = choice->rows[i - 1];
    }
    choice->rows[at].target = target;
    choice->rows[at].score = score;
}

static void
send_checks(LrGateway *gateway, LrTime now)
{
    CheckChoice choice = {.gateway = gateway, .now = now};
    LrTargets_Each(LrEngine_Targets(gateway->daemon->engine), consider_target,
                   &choice);
    for (size_t i = 0; i < choice.n; i++) {
        LrGateway_CheckReach(gateway, choice.rows[i].target);
    }
}

void
LrGateway_UpdateReach(LrGateway *gateway, LrTime now)
{
    if (LrTargetReach_TakeChecks(gateway->reach, now)) {
        send_checks(gateway, now);
    }
}

void
LrGateway_OnFirstUse(void *data, LrStr key, bool answered)
{
    LrGateway *gateway = data;
    LrTarget *target =
        LrTargets_Lookup(LrEngine_Targets(gateway->daemon->engine), key);
    if (answered) {
        LrTargetReach_OnNewConnection(gateway->reach);
    }
    else if (target) {
        LrTargetReach_OnConnectFailed(gateway->reach, target->index,
                                      LrClock_Now());
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
