// The parts of a fleet-wide limit never add up to more than the limit, while
// daemons come and go and hear of it late.
#include <gtest/gtest.h>

#include <vector>

#include "lavenderrail.h"

TEST(Share, PartsOfOneViewAddUpToTheLimit)
{
    for (unsigned count = 1; count < 40; count++) {
        for (int64_t limit : {1, 7, 20, 39, 1000}) {
            int64_t sum = 0;
            for (unsigned rank = 0; rank < count; rank++) {
                LrShare share;
                LrShare_Init(&share);
                LrShare_Set(&share, LR_SECOND, rank, count);
                sum += LrShare_Of(&share, limit);
            }
            EXPECT_EQ(sum, limit);
        }
    }
}

TEST(Share, LeaversLeaveTheirPartUnusedUntilAllMustHaveHeard)
{
    LrShare share;
    LrShare_Init(&share);
    LrShare_Set(&share, LR_SECOND, 0, 4);
    EXPECT_EQ(LrShare_Of(&share, 100), 25);
    LrShare_Set(&share, 2 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrShare_Of(&share, 100), 25);
    LrShare_Set(&share, 16 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrShare_Of(&share, 100), 25);
    LrShare_Set(&share, 18 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrShare_Of(&share, 100), 50);
    LrShare_Set(&share, 19 * LR_SECOND, 0, 5);
    EXPECT_EQ(LrShare_Of(&share, 100), 20) << "a smaller part at once";
}
