// When a daemon takes its own links to the targets as lost.
#include <gtest/gtest.h>

#include "target_reach.h"

namespace {

constexpr LrTime MS = LR_MILLISECOND;

class TargetReachTest : public testing::Test {
  protected:
    TargetReachTest()
        : counters(LrCounters_New()),
          reach(LrTargetReach_New(nullptr, counters))
    {
        evaluate(0);
    }
    ~TargetReachTest() override
    {
        LrTargetReach_Free(reach);
        LrCounters_Free(counters);
    }
    // A round in which that many targets have sent nothing for that long.
    void
    evaluate(int n_overdue, LrTime waited = 200 * MS)
    {
        LrTargetReach_BeginRound(reach);
        for (int i = 0; i < n_overdue; i++) {
            LrTargetReach_OnWaiting(reach, now - waited, now);
        }
        LrTargetReach_Evaluate(reach, n_targets, now);
    }
    void
    pass(LrTime time)
    {
        for (LrTime end = now + time; now < end;) {
            now += MIN(100 * MS, end - now);
            evaluate(0);
        }
    }
    void
    check(bool answered, int times = 1)
    {
        for (int i = 0; i < times; i++) {
            LrTargetReach_OnCheck(reach, answered, now);
        }
    }
    LrReachState
    state() const
    {
        return LrTargetReach_State(reach);
    }
    void
    cut_off()
    {
        LrTargetReach_OnConnectFailed(reach, 1, false, now);
        LrTargetReach_OnConnectFailed(reach, 2, false, now);
        check(false, LR_REACH_CHECKS);
        ASSERT_EQ(state(), LR_REACH_CUT_OFF);
    }

    LrTime now = 100 * LR_SECOND;
    size_t n_targets = 30;
    LrCounters *counters;
    LrTargetReach *reach;
};

} // namespace

TEST_F(TargetReachTest, SilenceOfManyTargetsAndUnansweredChecksAreACut)
{
    now += 200 * MS;
    evaluate(3);
    EXPECT_EQ(state(), LR_REACH_IN_DOUBT);
    EXPECT_TRUE(LrTargetReach_TakeChecks(reach, now));
    EXPECT_FALSE(LrTargetReach_TakeChecks(reach, now)) << "not twice";
    check(false, LR_REACH_CHECKS - 1);
    EXPECT_EQ(state(), LR_REACH_IN_DOUBT);
    check(false);
    EXPECT_EQ(state(), LR_REACH_CUT_OFF);
    EXPECT_EQ(LrTargetReach_DelegatedShare(reach, now), 1);
}

TEST_F(TargetReachTest, SlowTargetsAreNoCutWhileOthersReply)
{
    for (int i = 0; i < 20; i++) {
        now += 100 * MS;
        LrTargetReach_OnReply(reach, now - 50 * MS);
        evaluate(20, 2 * LR_SECOND);
        EXPECT_EQ(state(), LR_REACH_NORMAL);
    }
}

// Requests with long work, of which nothing is heard for a while.
TEST_F(TargetReachTest, AnAnsweredCheckEndsTheDoubt)
{
    now += 200 * MS;
    evaluate(3);
    check(false, LR_REACH_CHECKS - 1);
    check(true);
    EXPECT_EQ(state(), LR_REACH_NORMAL);
    now += 100 * MS;
    evaluate(3, 300 * MS);
    EXPECT_EQ(state(), LR_REACH_NORMAL) << "targets answered just now";
    EXPECT_EQ(LrTargetReach_DelegatedShare(reach, now), 0);
}

TEST_F(TargetReachTest, RefusedConnectionsAreACutAlthoughLiveOnesGoOn)
{
    LrTargetReach_OnReply(reach, now);
    LrTargetReach_OnConnectFailed(reach, 7, false, now);
    LrTargetReach_OnConnectFailed(reach, 7, false, now);
    EXPECT_EQ(state(), LR_REACH_NORMAL) << "a single target";
    LrTargetReach_OnConnectFailed(reach, 8, false, now);
    EXPECT_EQ(state(), LR_REACH_IN_DOUBT);
    LrTargetReach_OnReply(reach, now);
    check(false, LR_REACH_CHECKS);
    EXPECT_EQ(state(), LR_REACH_CUT_OFF);
    EXPECT_FALSE(LrTargetReach_IsSilent(reach, now));
}

TEST_F(TargetReachTest, AnAnswerOnANewConnectionClearsEarlierFailures)
{
    LrTargetReach_OnConnectFailed(reach, 7, false, now);
    EXPECT_TRUE(LrTargetReach_HasFailed(reach, 7));
    LrTargetReach_OnNewConnection(reach, now);
    EXPECT_FALSE(LrTargetReach_HasFailed(reach, 7));
    LrTargetReach_OnConnectFailed(reach, 8, false, now);
    EXPECT_EQ(state(), LR_REACH_NORMAL);
}

TEST_F(TargetReachTest, TwoAnsweredChecksEndTheCutAndRequestsReturnGradually)
{
    cut_off();
    LrTargetReach_OnReply(reach, now);
    LrTargetReach_OnNewConnection(reach, now);
    EXPECT_EQ(state(), LR_REACH_CUT_OFF) << "an older connection";
    check(true);
    EXPECT_EQ(state(), LR_REACH_CUT_OFF);
    check(true);
    EXPECT_EQ(state(), LR_REACH_NORMAL);
    pass(500 * MS);
    EXPECT_NEAR(LrTargetReach_DelegatedShare(reach, now), 0.5, 0.01);
    pass(600 * MS);
    EXPECT_EQ(LrTargetReach_DelegatedShare(reach, now), 0);
}

TEST_F(TargetReachTest, AFewTargetsThatAreReachedDoNotEndTheCut)
{
    cut_off();
    for (int i = 0; i < 20; i++) {
        check(true);
        check(false, 2);
        EXPECT_EQ(state(), LR_REACH_CUT_OFF);
    }
}

TEST_F(TargetReachTest, APauseOfThisProcessIsNoSilence)
{
    now += 5 * LR_SECOND;
    evaluate(20, 5 * LR_SECOND);
    EXPECT_EQ(state(), LR_REACH_NORMAL);
}

TEST_F(TargetReachTest, AllTargetsAreEnoughWhereThereAreFew)
{
    n_targets = 1;
    evaluate(0);
    LrTargetReach_OnConnectFailed(reach, 1, false, now);
    EXPECT_EQ(state(), LR_REACH_IN_DOUBT);
    check(false);
    EXPECT_EQ(state(), LR_REACH_CUT_OFF);
    check(true);
    EXPECT_EQ(state(), LR_REACH_NORMAL);
}

TEST_F(TargetReachTest, WithoutTargetsThereIsNothingToLose)
{
    cut_off();
    n_targets = 0;
    now += 100 * MS;
    evaluate(0);
    EXPECT_EQ(state(), LR_REACH_NORMAL);
}

// The first requests after the return meet the next cut.
TEST_F(TargetReachTest, ACutRightAfterAnotherOneRaisesDoubtAtOnce)
{
    cut_off();
    check(true, 2);
    ASSERT_EQ(state(), LR_REACH_NORMAL);
    LrTargetReach_OnConnectFailed(reach, 1, false, now);
    LrTargetReach_OnConnectFailed(reach, 2, false, now);
    EXPECT_EQ(state(), LR_REACH_IN_DOUBT);
}

TEST_F(TargetReachTest, AnAnswerOnANewConnectionEndsTheDoubt)
{
    LrTargetReach_OnConnectFailed(reach, 1, false, now);
    LrTargetReach_OnConnectFailed(reach, 2, false, now);
    LrTargetReach_OnNewConnection(reach, now);
    EXPECT_EQ(state(), LR_REACH_NORMAL);
}

TEST_F(TargetReachTest, ATargetThatSeemsToHaveCrashedRaisesDoubtOnce)
{
    LrTargetReach_OnTargetDown(reach, now);
    EXPECT_EQ(state(), LR_REACH_IN_DOUBT);
    check(true);
    LrTargetReach_OnTargetDown(reach, now);
    EXPECT_EQ(state(), LR_REACH_NORMAL) << "others were reached just now";
    now += LR_SECOND;
    LrTargetReach_OnTargetDown(reach, now);
    EXPECT_EQ(state(), LR_REACH_IN_DOUBT);
}

// Requests on open connections are lost only where new ones hang: a target
// that rejects new ones may answer on open ones.
TEST_F(TargetReachTest, RejectedConnectionsDoNotMeanThatOpenOnesAreLost)
{
    cut_off();
    EXPECT_FALSE(LrTargetReach_LinksHang(reach));
    LrTargetReach_OnConnectFailed(reach, 3, true, now);
    EXPECT_FALSE(LrTargetReach_LinksHang(reach)) << "one target only";
    LrTargetReach_OnConnectFailed(reach, 4, true, now);
    EXPECT_TRUE(LrTargetReach_LinksHang(reach));
    check(true, 2);
    EXPECT_EQ(state(), LR_REACH_NORMAL);
    EXPECT_FALSE(LrTargetReach_LinksHang(reach));
}
