/* Token buckets, refilled by time, by events, or by both. */
#include "lavenderrail.h"

void
LrBucket_Init(LrBucket *bucket, double per_second, double cap, LrTime now)
{
    *bucket = (LrBucket){
        .tokens = cap,
        .cap = cap,
        .per_second = per_second,
        .filled_at = now,
    };
}

void
LrBucket_Earn(LrBucket *bucket, double tokens)
{
    bucket->tokens = MIN(bucket->cap, bucket->tokens + tokens);
}

bool
LrBucket_Take(LrBucket *bucket, LrTime now)
{
    double seconds = (double)(now - bucket->filled_at) / (double)LR_SECOND;
    bucket->filled_at = now;
    LrBucket_Earn(bucket, seconds * bucket->per_second);
    if (bucket->tokens < 1) {
        return false;
    }
    bucket->tokens -= 1;
    return true;
}
