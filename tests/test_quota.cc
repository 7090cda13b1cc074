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
                LrQuota share;
                LrQuota_Init(&share);
                LrQuota_Update(&share, LR_SECOND, rank, count);
                sum += LrQuota_Of(&share, limit);
            }
            EXPECT_EQ(sum, limit);
        }
    }
}

TEST(Share, LeaversLeaveTheirPartUnusedUntilAllMustHaveHeard)
{
    LrQuota share;
    LrQuota_Init(&share);
    LrQuota_Update(&share, LR_SECOND, 0, 4);
    EXPECT_EQ(LrQuota_Of(&share, 100), 25);
    LrQuota_Update(&share, 2 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrQuota_Of(&share, 100), 25);
    LrQuota_Update(&share, 16 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrQuota_Of(&share, 100), 25);
    LrQuota_Update(&share, 18 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrQuota_Of(&share, 100), 50);
    LrQuota_Update(&share, 19 * LR_SECOND, 0, 5);
    EXPECT_EQ(LrQuota_Of(&share, 100), 20) << "a smaller part at once";
}
