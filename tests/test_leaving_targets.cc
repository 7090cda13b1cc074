// Leaving targets are passed on to peers in turn, and expire when no reader
// renews them.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "lavenderrail.h"

class LeavingTargetsTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        list = LrLeavingTargets_New();
    }
    void
    TearDown() override
    {
        LrLeavingTargets_Free(list);
    }
    size_t
    pick(LrTime now, size_t max = 4)
    {
        size_t n = LrLeavingTargets_NextBatch(list, now, rows, max);
        for (size_t i = 0; i < n; i++) {
            addresses.insert({rows[i].address.ptr, rows[i].address.len});
        }
        return n;
    }

    LrLeavingTargets *list;
    LrLeavingTargetMsg rows[8];
    std::set<std::string> addresses;
};

TEST_F(LeavingTargetsTest, ManyTargetsAreSentInTurn)
{
    for (int i = 0; i < 40; i++) {
        std::string address = "127.0.0.1:" + std::to_string(1000 + i);
        LrLeavingTargets_Add(list, LrStr{address.data(), address.size()},
                             LR_NEVER);
    }
    for (int i = 0; i < 10; i++) {
        EXPECT_EQ(pick(LR_SECOND), 4u);
    }
    EXPECT_EQ(addresses.size(), 40u);
    EXPECT_EQ(rows[0].left_ms, LR_LEAVING_TTL / LR_MILLISECOND);
}

TEST_F(LeavingTargetsTest, TargetsLearnedFromPeersExpire)
{
    LrLeavingTargets_Add(list, LrStr_FromC("127.0.0.1:1"), 5 * LR_SECOND);
    EXPECT_EQ(pick(2 * LR_SECOND), 1u);
    EXPECT_EQ(rows[0].left_ms, 3000) << "forwarding adds no time";
    LrLeavingTargets_Add(list, LrStr_FromC("127.0.0.1:1"), 4 * LR_SECOND);
    EXPECT_EQ(pick(2 * LR_SECOND), 1u);
    EXPECT_EQ(rows[0].left_ms, 3000)
        << "an older report does not shorten the time";
    EXPECT_EQ(pick(5 * LR_SECOND), 0u);
}

TEST_F(LeavingTargetsTest, ANewListReplacesTheOldOne)
{
    LrLeavingTargets_Add(list, LrStr_FromC("127.0.0.1:1"), LR_NEVER);
    LrLeavingTargets_Clear(list);
    EXPECT_EQ(pick(LR_SECOND), 0u);
}
