// The quotas of a fleet-wide limit never add up to more than the limit while
// daemons join and leave and learn of it late.
#include <gtest/gtest.h>

#include <vector>

#include "lavenderrail.h"

TEST(Quota, QuotasOfTheSameCountAddUpToTheLimit)
{
    for (unsigned count = 1; count < 40; count++) {
        for (int64_t limit : {1, 7, 20, 39, 1000}) {
            int64_t sum = 0;
            for (unsigned rank = 0; rank < count; rank++) {
                LrQuota quota;
                LrQuota_Init(&quota);
                LrQuota_Update(&quota, LR_SECOND, rank, count);
                sum += LrQuota_Of(&quota, limit);
            }
            EXPECT_EQ(sum, limit);
        }
    }
}

TEST(Quota, QuotasGrowOnlyAfterADelay)
{
    LrQuota quota;
    LrQuota_Init(&quota);
    LrQuota_Update(&quota, LR_SECOND, 0, 4);
    EXPECT_EQ(LrQuota_Of(&quota, 100), 25);
    LrQuota_Update(&quota, 2 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrQuota_Of(&quota, 100), 25);
    LrQuota_Update(&quota, 16 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrQuota_Of(&quota, 100), 25);
    LrQuota_Update(&quota, 18 * LR_SECOND, 0, 2);
    EXPECT_EQ(LrQuota_Of(&quota, 100), 50);
    LrQuota_Update(&quota, 19 * LR_SECOND, 0, 5);
    EXPECT_EQ(LrQuota_Of(&quota, 100), 20) << "a smaller quota at once";
}
