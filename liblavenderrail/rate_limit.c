/* Rate limit of one target, which holds for all daemons together. */
#include "lavenderrail.h"

#include <math.h>

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

bool
LrRateLimit_Apply(LrRateLimit *limit, const LrRateReport *report,
                  LrTime sent_at, LrTime now)
{
    bool limited = report->kind == LR_RATE_REPORT_LIMITED;
    if (!limited && report->kind != LR_RATE_REPORT_UNLIMITED) {
        return false;
    }
    /* Replies on different connections can overtake each other: one to an
     * older request does not remove the limit. */
    if (!limited && (!limit->limited || sent_at < limit->reported_at)) {
        return false;
    }
    bool notable = limited != limit->limited ||
                   fabs(report->per_second - limit->per_second) >
                       NOTABLE_CHANGE * limit->per_second;
    limit->limited = limited;
    limit->per_second = report->per_second;
    limit->reported_at = now;
    return notable;
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
    limit->recent_sends = decayed_sends(limit, now) + 1;
    limit->recent_sends_at = now;
}

double
LrRateLimit_SendRate(const LrRateLimit *limit, LrTime now)
{
    return decayed_sends(limit, now) * (double)LR_SECOND / SEND_RATE_DECAY_NS;
}
