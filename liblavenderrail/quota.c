/* One daemon's quota of a fleet-wide limit. While all daemons use the same
 * count of daemons, their quotas add up to the limit. After a membership
 * change the daemons' counts differ for a while; so a quota shrinks at once
 * but grows only after a delay, and a daemon that is cut off goes on counting
 * those that it cannot reach. */
#include "lavenderrail.h"

#define GROW_DELAY (15 * LR_SECOND)

void
LrQuota_Init(LrQuota *quota)
{
    *quota = (LrQuota){.count = 1, .pending_count = 1};
}

void
LrQuota_Update(LrQuota *quota, LrTime now, unsigned rank, unsigned count)
{
    if (rank != quota->pending_rank || count != quota->pending_count) {
        quota->pending_rank = rank;
        quota->pending_count = count;
        quota->pending_since = now;
    }
    if (count >= quota->count || now - quota->pending_since >= GROW_DELAY) {
        quota->rank = rank;
        quota->count = MAX(1, count);
    }
}

int64_t
LrQuota_Of(const LrQuota *quota, int64_t limit)
{
    int64_t amount = limit / quota->count;
    return amount + (quota->rank < limit % quota->count);
}
