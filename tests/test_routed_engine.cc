// The engine as configured for routed requests: limits on attempts, required
// coverage, and when a broken connection counts as a crash.
#include "routed_harness.h"

TEST(RoutedEngine, APartHasNoMoreAttemptsThanItsEntryAllows)
{
    RoutedHarness world(1, 3);
    world.warm();
    world.submit("ask", false, "slow");
    world.advance(499 * EngineHarness::kMs);
    EXPECT_EQ(world.sends.size(), 2u) << "the first attempt and one hedge";
}

TEST(RoutedEngine, AShedRequestDidNotRun)
{
    RoutedHarness world(1, 3);
    world.submit("ask", false, "full");
    for (int i = 0; i < 3; i++) {
        ASSERT_EQ(world.sends.size(), 1u);
        Send send = world.take();
        world.reply(send, i < 2 ? LR_REPLY_SHED : LR_REPLY_OK);
    }
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_COMPLETE);
}

TEST(RoutedEngine, AnEmptyBudgetAllowsNoRetry)
{
    RoutedHarness world(1, 3, 0.0001, 0);
    world.submit("ask", false, "x");
    world.reply(world.take(), LR_REPLY_ERROR);
    EXPECT_TRUE(world.sends.empty());
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_UNKNOWN);
    EXPECT_EQ(world.count(LR_COUNT_BUDGET_REFUSED), 1u);
}

TEST(RoutedEngine, AFailedConnectIsRetriedWithoutBudget)
{
    RoutedHarness world(1, 3, 0.0001, 0);
    world.submit("ask", false, "x");
    world.reply(world.take(), LR_REPLY_CONNECT_FAILED);
    EXPECT_EQ(world.sends.size(), 1u);
}

TEST(RoutedEngine, ACoverageOutOfReachEndsTheQueryAtOnce)
{
    RoutedHarness world(3, 1);
    world.submit("strict");
    ASSERT_EQ(world.sends.size(), 3u);
    world.reply(world.take(), LR_REPLY_ERROR);
    ASSERT_EQ(world.answers.size(), 1u) << "two of three are below 0.7";
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_UNKNOWN);
    EXPECT_LT(world.answers[0].at, LR_SECOND + 10 * EngineHarness::kMs);
}

TEST(RoutedEngine, TooFewServedShardsAreRefusedBeforeAnythingIsSent)
{
    RoutedHarness world(3, 1);
    LrTargets_MarkLeaving(LrEngine_Targets(world.engine),
                          world.target("127.0.0.1:1"), LR_LEAVING_BY_REPLY,
                          world.now);
    world.submit("strict");
    EXPECT_TRUE(world.sends.empty());
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_NOT_RUN);
    EXPECT_EQ(world.answers[0].reason, LR_REASON_NO_REPLICA);
}

TEST(RoutedEngine, ANonIdempotentRequestThatMayHaveRunIsNotRetried)
{
    for (LrReplyStatus status :
         {LR_REPLY_BROKEN, LR_REPLY_STALE, LR_REPLY_TIMEOUT, LR_REPLY_ERROR,
          LR_REPLY_GARBAGE}) {
        RoutedHarness world(1, 3);
        world.submit("once");
        world.reply(world.take(), status);
        EXPECT_TRUE(world.sends.empty()) << LrReplyStatus_Names[status];
        ASSERT_EQ(world.answers.size(), 1u);
        EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_UNKNOWN);
    }
    for (LrReplyStatus status :
         {LR_REPLY_SHED, LR_REPLY_CONNECT_FAILED, LR_REPLY_MISDIRECTED}) {
        RoutedHarness world(1, 3);
        world.submit("once");
        world.reply(world.take(), status);
        EXPECT_EQ(world.sends.size(), 1u) << LrReplyStatus_Names[status];
    }
}

// Fails when each broken connection counts as a crash: a few lost replies then
// quarantined a query over many shards.
TEST(RoutedEngine, LostRepliesOfRunningTargetsQuarantineNobody)
{
    RoutedHarness world(4, 3);
    for (int i = 0; i < 5; i++) {
        world.submit("ask", false, "lost");
        while (!world.sends.empty()) {
            Send send = world.take();
            world.reply(send, LR_REPLY_BROKEN);
        }
        // The targets are up: they reply to the next request.
        world.submit("ask", false, ("other" + std::to_string(i)).c_str());
        while (!world.sends.empty()) {
            world.reply(world.take(), LR_REPLY_OK);
        }
        world.advance(600 * EngineHarness::kMs);
    }
    for (const Answer &answer : world.answers) {
        EXPECT_NE(answer.reason, LR_REASON_QUARANTINED);
    }
}

TEST(RoutedEngine, ARequestThatCrashesTargetsIsQuarantined)
{
    RoutedHarness world(1, 6);
    int n_crashes = 0;
    for (int i = 0; i < 8; i++) {
        world.submit("ask", false, "poison");
        while (!world.sends.empty()) {
            Send send = world.take();
            n_crashes++;
            world.reply(send, LR_REPLY_BROKEN);
        }
        // The next request finds the targets down.
        world.submit("once", false, ("next" + std::to_string(i)).c_str());
        while (!world.sends.empty()) {
            world.reply(world.take(), LR_REPLY_CONNECT_FAILED);
        }
        world.advance(1100 * EngineHarness::kMs);
    }
    EXPECT_LE(n_crashes, 6) << "three crashes may happen, three more retries";
    EXPECT_EQ(world.answers.back().outcome, LR_OUTCOME_NOT_RUN);
}

TEST(RoutedEngine, ACancelledAttemptCountsUntilItsEndIsReported)
{
    RoutedHarness world(1, 2);
    world.warm();
    world.submit("ask", false, "slow");
    world.advance(100 * EngineHarness::kMs);
    ASSERT_EQ(world.sends.size(), 2u);
    Send first = world.take();
    Send second = world.take();
    world.reply(second, LR_REPLY_OK);
    EXPECT_EQ(world.in_flight(), 1u) << "the first has not ended yet";
    for (int i = 0; i < 10; i++) {
        world.submit("ask", false, ("more" + std::to_string(i)).c_str());
        Send send = world.take();
        EXPECT_EQ(send.address, second.address) << "the other did not reply";
        world.now += 5 * EngineHarness::kMs;
        world.reply(send, LR_REPLY_OK);
    }
    world.reply(first, LR_REPLY_OK);
    EXPECT_EQ(world.in_flight(), 0u);
}

// 0.28 times 25 is a little more than 7 in floating point; 7 shards are
// enough.
TEST(RoutedEngine, JustEnoughShardsAreNotRefused)
{
    RoutedHarness world(25, 1);
    for (int i = 0; i < 18; i++) {
        std::string address = "127.0.0." + std::to_string(i) + ":1";
        LrTargets_MarkLeaving(LrEngine_Targets(world.engine),
                              world.target(address), LR_LEAVING_BY_REPLY,
                              world.now);
    }
    world.submit("most");
    EXPECT_EQ(world.sends.size(), 7u);
}
