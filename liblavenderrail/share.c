/* One daemon's part of a limit that holds over the fleet. With the same
 * count everywhere the parts add up to the limit. Views of the fleet differ
 * for a while after a change; so a part shrinks at once and grows late, and
 * a daemon that is cut off keeps counting those it cannot reach. */
#include "lavenderrail.h"

#define GROW_DELAY (15 * LR_SECOND)

void
LrShare_Init(LrShare *share)
{
    *share = (LrShare){.count = 1, .wanted_count = 1};
}

void
LrShare_Set(LrShare *share, LrTime now, unsigned rank, unsigned count)
{
    if (rank != share->wanted_rank || count != share->wanted_count) {
        share->wanted_rank = rank;
        share->wanted_count = count;
        share->wanted_at = now;
    }
    if (count >= share->count || now - share->wanted_at >= GROW_DELAY) {
        share->rank = rank;
        share->count = MAX(1, count);
    }
}

int64_t
LrShare_Of(const LrShare *share, int64_t limit)
{
    int64_t part = limit / share->count;
    return part + (share->rank < limit % share->count);
}
