/* Concurrency limit of one target (AIMD): additive increase while its replies
 * show no queueing, multiplicative decrease when they do. */
#include "lavenderrail.h"

#define INITIAL_LIMIT 4.0
#define MIN_LIMIT 1.0
#define LATENCY_RATIO_WEIGHT 0.1
#define SLOW_LATENCY_RATIO 3.0
#define QUEUE_DECREASE_FACTOR 0.95
#define SHED_DECREASE_FACTOR 0.7

void
LrConcurrencyLimit_Init(LrConcurrencyLimit *limit, double max)
{
    *limit = (LrConcurrencyLimit){
        .value = MIN(INITIAL_LIMIT, max),
        .max = max,
        .latency_ratio = 1,
    };
}

static void
decrease(LrConcurrencyLimit *limit, double factor)
{
    limit->value = MAX(MIN_LIMIT, limit->value * factor);
}

void
LrConcurrencyLimit_OnReply(LrConcurrencyLimit *limit, double latency_ratio,
                           double queue, uint32_t in_flight)
{
    double clipped = MIN(latency_ratio, 2 * SLOW_LATENCY_RATIO);
    limit->latency_ratio +=
        LATENCY_RATIO_WEIGHT * (clipped - limit->latency_ratio);
    if (queue >= 1 || limit->latency_ratio > SLOW_LATENCY_RATIO) {
        decrease(limit, QUEUE_DECREASE_FACTOR);
    }
    else if (in_flight + 1.0 >= limit->value) {
        limit->value = MIN(limit->max, limit->value + 1 / limit->value);
    }
}

void
LrConcurrencyLimit_OnShed(LrConcurrencyLimit *limit)
{
    decrease(limit, SHED_DECREASE_FACTOR);
}

bool
LrConcurrencyLimit_HasCapacity(const LrConcurrencyLimit *limit,
                               uint32_t in_flight)
{
    return in_flight + 1.0 <= limit->value;
}
