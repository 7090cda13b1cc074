/* Selection by expected finish: picks the replica whose reply is expected
 * first.
 *
 * Suited to groups of few replicas that stall for a moment now and then: a
 * replica that has been silent for longer than a reply takes is avoided until
 * it replies again. */
#include "private.h"

/* A target that has been silent for longer than this multiple of its latency
 * counts as stalled. */
#define STALL_RATIO 1.5
/* Added for a backup, whose connections are left to other daemons, in typical
 * latencies: it is used when the other replicas stall. */
#define BACKUP_MEDIANS 0.5
/* Cost of an attempt that ends without a result, in typical latencies: the
 * time until it is retried, and what the retry takes from the budget. */
#define FAILURE_MEDIANS 3.0
/* Cost of the last token of a target's rate limit, in typical latencies. First
 * attempts leave tokens for the requests that arrive while another replica
 * stalls. */
#define LAST_TOKEN_MEDIANS 3.0
/* Time to set up a connection where none is idle: 6 ms at the users'
 * searchers, plus a round trip. */
#define CONNECT_TIME (8 * LR_MILLISECOND)
/* A target in slow start is slower by about this factor. */
#define COLD_FACTOR 1.5

/* Time since the target's last reply, or since its oldest request in flight
 * was sent if that is later; 0 if it has no request in flight. */
static double
time_without_reply(const LrTarget *target, LrTime now)
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
    double latency = LrTargets_SmoothedLatency(target, now, typical);
    double stalled = time_without_reply(target, now);
    double ahead = target->in_flight + LrTargets_ReportedQueue(target, now);
    double delay = latency * (1 + ahead / MAX(1, target->limit.value));
    if (target->learns_capacity) {
        delay *= LrTargetCapacity_LoadFactor(&target->capacity, now,
                                             LrTargets_Load(target, now) + 1);
    }
    if (stalled > STALL_RATIO * latency) {
        delay += stalled;
    }
    if (target->idle_connections == 0) {
        delay += (double)CONNECT_TIME;
    }
    if (target->slow_start_until > now) {
        delay *= COLD_FACTOR;
    }
    if (target->backup) {
        delay += BACKUP_MEDIANS * (double)typical;
    }
    delay += LrTargets_FailureRatio(target, now) * FAILURE_MEDIANS *
             (double)typical;
    delay += LrRateLimit_SpentRatio(&target->rate_limit, now) *
             LAST_TOKEN_MEDIANS * (double)typical;
    return delay + LrTargets_CrossZoneCost(target, typical);
}

static size_t
pick_expected_finish(void *data, LrTargets *targets, LrTime now,
                     LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    size_t start = LrTargets_RandomIndex(targets, n);
    size_t best = start;
    double least = expected_finish(candidates[start], now, typical);
    for (size_t i = 1; i < n; i++) {
        size_t at = (start + i) % n;
        double delay = expected_finish(candidates[at], now, typical);
        if (delay < least) {
            least = delay;
            best = at;
        }
    }
    return best;
}

const LrSelectionPolicy LrSelectionPolicy_ExpectedFinish = {
    .name = "expected_finish",
    .pick = pick_expected_finish,
    .adaptive = true,
    .hedged = true,
};
