// News of leaving targets goes round, and dies out when nobody renews it.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "lavenderrail.h"

class LeavingTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        leaving = LrLeavingTargets_New();
    }
    void
    TearDown() override
    {
        LrLeavingTargets_Free(leaving);
    }
    size_t
    pick(LrTime now, size_t most = 4)
    {
        size_t n = LrLeavingTargets_NextBatch(leaving, now, rows, most);
        for (size_t i = 0; i < n; i++) {
            seen.insert({rows[i].address.ptr, rows[i].address.len});
        }
        return n;
    }

    LrLeavingTargets *leaving;
    LrLeavingTargetMsg rows[8];
    std::set<std::string> seen;
};

TEST_F(LeavingTest, ManyAreSpreadInTurn)
{
    for (int i = 0; i < 40; i++) {
        std::string address = "127.0.0.1:" + std::to_string(1000 + i);
        LrLeavingTargets_Add(leaving, LrStr{address.data(), address.size()},
                             LR_NEVER);
    }
    for (int i = 0; i < 10; i++) {
        EXPECT_EQ(pick(LR_SECOND), 4u);
    }
    EXPECT_EQ(seen.size(), 40u);
    EXPECT_EQ(rows[0].left_ms, LR_LEAVING_TTL / LR_MILLISECOND);
}

TEST_F(LeavingTest, HearsayDiesOut)
{
    LrLeavingTargets_Add(leaving, LrStr_FromC("127.0.0.1:1"), 5 * LR_SECOND);
    EXPECT_EQ(pick(2 * LR_SECOND), 1u);
    EXPECT_EQ(rows[0].left_ms, 3000) << "a hop adds no time";
    LrLeavingTargets_Add(leaving, LrStr_FromC("127.0.0.1:1"), 4 * LR_SECOND);
    EXPECT_EQ(pick(2 * LR_SECOND), 1u);
    EXPECT_EQ(rows[0].left_ms, 3000) << "older news shortens nothing";
    EXPECT_EQ(pick(5 * LR_SECOND), 0u);
}

TEST_F(LeavingTest, NewListReplacesTheOld)
{
    LrLeavingTargets_Add(leaving, LrStr_FromC("127.0.0.1:1"), LR_NEVER);
    LrLeavingTargets_Clear(leaving);
    EXPECT_EQ(pick(LR_SECOND), 0u);
}
