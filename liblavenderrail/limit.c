/* Concurrency limit of one target: additive increase while its answers show
 * no queue, multiplicative decrease when they do. */
#include "lavenderrail.h"

#define LIMIT_START 4.0
#define LIMIT_MIN 1.0
#define RATIO_WEIGHT 0.1
#define SLOW_RATIO 3.0
#define QUEUE_DECREASE 0.95
#define SHED_DECREASE 0.7

void
LrLimit_Init(LrLimit *limit, double max)
{
    *limit = (LrLimit){
        .value = MIN(LIMIT_START, max),
        .max = max,
        .ratio = 1,
    };
}

static void
decrease(LrLimit *limit, double factor)
{
    limit->value = MAX(LIMIT_MIN, limit->value * factor);
}

void
LrLimit_OnReply(LrLimit *limit, double latency_ratio, double queue,
                uint32_t in_flight)
{
    double clipped = MIN(latency_ratio, 2 * SLOW_RATIO);
    limit->ratio += RATIO_WEIGHT * (clipped - limit->ratio);
    if (queue >= 1 || limit->ratio > SLOW_RATIO) {
        decrease(limit, QUEUE_DECREASE);
    }
    else if (in_flight + 1.0 >= limit->value) {
        limit->value = MIN(limit->max, limit->value + 1 / limit->value);
    }
}

void
LrLimit_OnShed(LrLimit *limit)
{
    decrease(limit, SHED_DECREASE);
}

bool
LrLimit_HasRoom(const LrLimit *limit, uint32_t in_flight)
{
    return in_flight + 1.0 <= limit->value;
}
