/* One daemon's part of a limit that holds over the fleet. With the same
 * count everywhere the parts add up to the limit. Views of the fleet differ
 * for a while after a change; so a part shrinks at once and grows late, and
 * a daemon that is cut off keeps counting those it cannot reach. */
#include "lavenderrail.h"

#define GROW_DELAY (15 * LR_SECOND)

void
LrQuota_Init(LrQuota *share)
{
    *share = (LrQuota){.count = 1, .pending_count = 1};
}

void
LrQuota_Update(LrQuota *share, LrTime now, unsigned rank, unsigned count)
{
    if (rank != share->pending_rank || count != share->pending_count) {
        share->pending_rank = rank;
        share->pending_count = count;
        share->pending_since = now;
    }
    if (count >= share->count || now - share->pending_since >= GROW_DELAY) {
        share->rank = rank;
        share->count = MAX(1, count);
    }
}

int64_t
LrQuota_Of(const LrQuota *share, int64_t limit)
{
    int64_t part = limit / share->count;
    return part + (share->rank < limit % share->count);
}
