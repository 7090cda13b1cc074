/* Placement by expected finish: the replica whose answer is expected first.
 *
 * Answers the load of groups of few replicas that stand still for a moment
 * now and then: a replica that has been silent for longer than an answer
 * takes gets no more work until it is heard of again. */
#include "private.h"

/* Silence beyond this multiple of its latency is taken for a standstill. */
#define SILENCE_RATIO 1.5
/* Added for a target in another zone, as a share of the typical latency:
 * traffic between zones is paid for. */
#define REMOTE_SHARE 0.2
/* Added for a target whose connections are left to other daemons, in typical
 * latencies: it is used when the others stand still. */
#define SPARE_MEDIANS 0.5
/* Cost of an attempt that ends without an answer, in typical latencies: the
 * time until it is repeated, and its part of the budget. */
#define FAULT_MEDIANS 3.0
/* Set-up of a connection where none is idle: 6 ms at the users' searchers, and
 * the way there and back. */
#define CONNECT_TIME (8 * LR_MILLISECOND)
/* A target that has just started is slower by about this factor. */
#define COLD_FACTOR 1.5

/* Time since the target was expected to answer and did not. */
static double
silence(const LrTarget *target, LrTime now)
{
    const LrAttempt *oldest = TAILQ_FIRST(&target->attempts);
    if (!oldest) {
        return 0;
    }
    return (double)(now - MAX(oldest->sent_at, target->last_reply_at));
}

static double
expected_finish(const LrTarget *target, LrTime now, LrTime typical)
{
    double service = LrTargets_SmoothedLatency(target, now, typical);
    double silent = silence(target, now);
    double ahead = target->in_flight + LrTargets_ReportedQueue(target, now);
    double finish = service * (1 + ahead / MAX(1, target->limit.value));
    if (silent > SILENCE_RATIO * service) {
        finish += silent;
    }
    if (target->idle_connections == 0) {
        finish += (double)CONNECT_TIME;
    }
    if (target->slow_start_until > now) {
        finish *= COLD_FACTOR;
    }
    if (target->backup) {
        finish += SPARE_MEDIANS * (double)typical;
    }
    finish +=
        LrTargets_FailureRatio(target, now) * FAULT_MEDIANS * (double)typical;
    if (!target->local) {
        finish += REMOTE_SHARE * (double)typical;
    }
    return finish;
}

static size_t
pick_finish(void *data, LrTargets *router, LrTime now,
            LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    size_t start = LrTargets_RandomIndex(router, n);
    size_t best = start;
    double least = expected_finish(candidates[start], now, typical);
    for (size_t i = 1; i < n; i++) {
        size_t at = (start + i) % n;
        double finish = expected_finish(candidates[at], now, typical);
        if (finish < least) {
            least = finish;
            best = at;
        }
    }
    return best;
}

const LrSelectionPolicy LrSelectionPolicy_ExpectedFinish = {
    .name = "expected_finish",
    .pick = pick_finish,
    .adaptive = true,
    .hedged = true,
};
