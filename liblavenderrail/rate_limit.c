/* Rate limit of one target, which holds for all daemons together: each daemon
 * keeps a share of it.
 *
 * A share is spent in tokens, which expire after BURST_TIME if they are not
 * spent. So the daemons together send in any span of time what the limit
 * allows in that span and in BURST_TIME before it. A bucket that keeps at
 * least one token would let hundreds of daemons, each with a share of a
 * fraction of a request per second, save hundreds of requests. The fraction of
 * a token that is left does not expire. */
#include "lavenderrail.h"

#include <math.h>

/* How long an unspent token is kept. It pays for the hedges and retries while
 * another replica of the group stalls. */
#define BURST_TIME LR_SECOND
/* Requests per second that all daemons together send at least, to learn
 * whether a limit still holds. */
#define MIN_FLEET_RATE 0.5
/* Time constant with which the count of recent sends decays. */
#define SEND_RATE_DECAY_NS 2e9
/* Relative change of a limit that is reported to the caller. */
#define NOTABLE_CHANGE 0.1

LrRateReport
LrRateReport_Parse(LrStr value)
{
    if (value.len == 0) {
        return (LrRateReport){.kind = LR_RATE_REPORT_UNLIMITED};
    }
    double per_second;
    if (!LrStr_ToReal(value, &per_second) || per_second < 0) {
        return (LrRateReport){.kind = LR_RATE_REPORT_INVALID};
    }
    return (LrRateReport){.kind = LR_RATE_REPORT_LIMITED,
                          .per_second = per_second};
}

double
LrRateLimit_Unexpired(double tokens, double kept)
{
    return tokens - MAX(0, floor(tokens - kept));
}

double
LrRateLimit_Share(const LrRateLimit *limit)
{
    return MAX(MIN_FLEET_RATE, limit->per_second) / MAX(1, limit->n_senders);
}

/* Without the tokens that have expired. */
static double
current_tokens(const LrRateLimit *limit, LrTime now)
{
    double share = LrRateLimit_Share(limit);
    double age = (double)MAX(0, now - limit->settled_at) / (double)LR_SECOND;
    double kept = share * (double)BURST_TIME / (double)LR_SECOND;
    double tokens = limit->tokens + share * age;
    return LrRateLimit_Unexpired(tokens, kept);
}

static void
settle_tokens(LrRateLimit *limit, LrTime now)
{
    limit->tokens = current_tokens(limit, now);
    limit->settled_at = now;
}

bool
LrRateLimit_Apply(LrRateLimit *limit, const LrRateReport *report,
                  LrTime sent_at, LrTime reported_at, LrTime now)
{
    bool limited = report->kind == LR_RATE_REPORT_LIMITED;
    if (!limited && report->kind != LR_RATE_REPORT_UNLIMITED) {
        return false;
    }
    /* Replies on different connections can overtake each other: one to an
     * older request does not remove the limit. */
    if (!limited && limit->limited && sent_at < limit->reported_at) {
        return false;
    }
    limit->reported_at = MAX(limit->reported_at, reported_at);
    if (!limited && !limit->limited) {
        return false;
    }
    bool notable = limited != limit->limited ||
                   fabs(report->per_second - limit->per_second) >
                       NOTABLE_CHANGE * limit->per_second;
    settle_tokens(limit, now);
    limit->ended_at = limited ? 0 : reported_at;
    limit->limited = limited;
    limit->per_second = report->per_second;
    return notable;
}

void
LrRateLimit_SetSenders(LrRateLimit *limit, double n_senders, LrTime now)
{
    settle_tokens(limit, now);
    limit->n_senders = n_senders;
}

void
LrRateLimit_ResetTokens(LrRateLimit *limit, double fraction, LrTime now)
{
    limit->tokens = fraction;
    limit->settled_at = now;
}

bool
LrRateLimit_HasToken(const LrRateLimit *limit, LrTime now)
{
    return !limit->limited || current_tokens(limit, now) >= 1;
}

double
LrRateLimit_SpentRatio(const LrRateLimit *limit, LrTime now)
{
    if (!limit->limited) {
        return 0;
    }
    double most = MAX(1, LrRateLimit_Share(limit) * BURST_TIME / LR_SECOND);
    return CLAMP(1 - current_tokens(limit, now) / most, 0, 1);
}

static double
decayed_sends(const LrRateLimit *limit, LrTime now)
{
    double age = (double)MAX(0, now - limit->recent_sends_at);
    return limit->recent_sends * exp(-age / SEND_RATE_DECAY_NS);
}

void
LrRateLimit_CountSend(LrRateLimit *limit, LrTime now)
{
    if (limit->limited) {
        settle_tokens(limit, now);
        limit->tokens -= 1;
    }
    limit->recent_sends = decayed_sends(limit, now) + 1;
    limit->recent_sends_at = now;
}

double
LrRateLimit_SendRate(const LrRateLimit *limit, LrTime now)
{
    return decayed_sends(limit, now) * (double)LR_SECOND / SEND_RATE_DECAY_NS;
}
