/* Token buckets, refilled by time, by events, or by both. */
#include "lavenderrail.h"

void
LrTokenBucket_Init(LrTokenBucket *bucket, double tokens_per_second,
                   double capacity, LrTime now)
{
    *bucket = (LrTokenBucket){
        .tokens = capacity,
        .capacity = capacity,
        .tokens_per_second = tokens_per_second,
        .refilled_at = now,
    };
}

void
LrTokenBucket_Add(LrTokenBucket *bucket, double tokens)
{
    bucket->tokens = MIN(bucket->capacity, bucket->tokens + tokens);
}

bool
LrTokenBucket_Take(LrTokenBucket *bucket, LrTime now)
{
    double seconds = (double)(now - bucket->refilled_at) / (double)LR_SECOND;
    bucket->refilled_at = now;
    LrTokenBucket_Add(bucket, seconds * bucket->tokens_per_second);
    if (bucket->tokens < 1) {
        return false;
    }
    bucket->tokens -= 1;
    return true;
}
