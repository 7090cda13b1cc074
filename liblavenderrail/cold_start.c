/* This daemon's share of the rate that a cold target accepts.
 *
 * The load: targets that have just started, or that return after their zone
 * was evacuated, accept a few requests a second from all daemons together and
 * crash at a rate well above it, while hundreds of daemons have queries for
 * them at once. No daemon knows what the others send, so each keeps a fixed
 * share, in tokens as LrRateLimit does.
 *
 * The bound holds for any second: per_second x overshoot + slack. Three things
 * may add up beyond the shares:
 * - Tokens that were kept. They expire after KEPT_TIME, so that the daemons
 *   together send in a second what the shares give in that second and in
 *   KEPT_TIME before it.
 * - Fractions of tokens. A daemon with a share of 0.05 a second gets a token
 *   every 20 s, and several of them may get theirs in the same second. The
 *   number in a second is then at most that of a Poisson process, so the rate
 *   is chosen such that DEVIATIONS of it stay under the bound.
 * - Daemons that divide by too few senders; see LrColdSenders. */
#include "cold_start.h"

#include <math.h>

#define KEPT_TIME (100 * LR_MILLISECOND)
/* Exceeded once in 30,000 independent seconds. */
#define DEVIATIONS 4.0
/* The rate begins at this ratio of the full one and reaches it after the time:
 * what a target that warms up can do is not known before it has done it. */
#define RAMP_START 0.25
#define RAMP_TIME (2 * LR_SECOND)
/* A daemon that has started believes that its fleet has this many members
 * while it hears of new ones, for five seconds at most: after a loss of all
 * power each daemon knows nobody at first. Known deployments have 295 hosts at
 * most. */
#define UNKNOWN_FLEET 512.0
#define DISCOVERY_TIME (5 * LR_SECOND)
#define DISCOVERY_QUIET_TIME (1200 * LR_MILLISECOND)
/* A daemon that hears of fewer senders than before may be cut off from them,
 * and goes on dividing by the former number for this long. */
#define SENDER_MEMORY (60 * LR_SECOND)

double
LrColdStart_FleetRate(double per_second, const LrColdBound *bound)
{
    /* The largest mean n with n + DEVIATIONS * sqrt(n) <= limit. */
    double limit = per_second * bound->overshoot + bound->slack;
    double half = DEVIATIONS / 2;
    double root = sqrt(half * half + limit) - half;
    double window = (double)(LR_SECOND + KEPT_TIME) / (double)LR_SECOND;
    return MIN(per_second, root * root / window);
}

/* Part of the full rate that is allowed at that time. */
static double
ramp_at(const LrColdStart *cold, LrTime at)
{
    double passed =
        (double)(at - cold->began_at) / (double)RAMP_TIME * (1 - RAMP_START);
    return CLAMP(RAMP_START + passed, RAMP_START, 1);
}

static double
full_share(const LrColdStart *cold)
{
    return cold->fleet_per_second / MAX(1, cold->n_senders);
}

double
LrColdStart_Share(const LrColdStart *cold, LrTime now)
{
    return full_share(cold) * ramp_at(cold, now);
}

/* Without the tokens that have expired. */
static double
current_tokens(const LrColdStart *cold, LrTime now)
{
    LrTime from = MIN(cold->settled_at, now);
    double ramp = (ramp_at(cold, from) + ramp_at(cold, now)) / 2;
    double age = (double)(now - from) / (double)LR_SECOND;
    double kept =
        LrColdStart_Share(cold, now) * (double)KEPT_TIME / (double)LR_SECOND;
    double tokens = cold->tokens + full_share(cold) * ramp * age;
    return LrRateLimit_Unexpired(tokens, kept);
}

static void
settle_tokens(LrColdStart *cold, LrTime now)
{
    cold->tokens = current_tokens(cold, now);
    cold->settled_at = now;
}

void
LrColdStart_SetRule(LrColdStart *cold, double per_second,
                    const LrColdBound *bound, LrTime now)
{
    settle_tokens(cold, now);
    cold->fleet_per_second =
        per_second > 0 ? LrColdStart_FleetRate(per_second, bound) : 0;
}

bool
LrColdStart_IsCold(const LrColdStart *cold, LrTime now)
{
    return cold->until > now;
}

bool
LrColdStart_IsLimited(const LrColdStart *cold, LrTime now)
{
    return cold->fleet_per_second > 0 && LrColdStart_IsCold(cold, now);
}

void
LrColdStart_Begin(LrColdStart *cold, LrTime until, double fraction, LrTime now)
{
    if (!LrColdStart_IsCold(cold, now)) {
        cold->began_at = now;
        cold->tokens = fraction;
        cold->settled_at = now;
    }
    cold->until = until;
}

void
LrColdStart_End(LrColdStart *cold)
{
    cold->until = 0;
}

void
LrColdStart_SetSenders(LrColdStart *cold, double n_senders, LrTime now)
{
    settle_tokens(cold, now);
    cold->n_senders = n_senders;
}

bool
LrColdStart_HasToken(const LrColdStart *cold, LrTime now)
{
    return !LrColdStart_IsLimited(cold, now) || current_tokens(cold, now) >= 1;
}

void
LrColdStart_CountSend(LrColdStart *cold, LrTime now)
{
    if (LrColdStart_IsLimited(cold, now)) {
        settle_tokens(cold, now);
        cold->tokens -= 1;
    }
}

double
LrColdSenders_Update(LrColdSenders *senders, double n_known, double least,
                     LrTime now)
{
    if (senders->started_at == 0) {
        senders->started_at = now;
    }
    if (n_known > senders->known || senders->grown_at == 0) {
        senders->grown_at = now;
    }
    senders->known = MAX(senders->known, n_known);
    if (n_known >= senders->most || now - senders->most_at > SENDER_MEMORY) {
        senders->most = n_known;
        senders->most_at = now;
    }
    bool discovering = now - senders->started_at < DISCOVERY_TIME &&
                       now - senders->grown_at < DISCOVERY_QUIET_TIME;
    double divisor = MAX(senders->most, discovering ? UNKNOWN_FLEET : 1);
    /* A daemon that hears of nobody is more likely to be cut off than alone.
     */
    return n_known <= 1 ? MAX(divisor, least) : divisor;
}
