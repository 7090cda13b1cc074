// The engine as configured for routed requests: limits on attempts, required
// coverage, and when a broken connection counts as a crash.
#include "routed_harness.h"

TEST(RoutedEngine, APartHasNoMoreAttemptsThanItsEntryAllows)
{
    RoutedHarness harness(1, 3);
    harness.warm();
    harness.submit("ask", false, "slow");
    harness.advance(499 * EngineHarness::kMs);
    EXPECT_EQ(harness.sends.size(), 2u) << "the first attempt and one hedge";
}

TEST(RoutedEngine, AShedRequestDidNotRun)
{
    RoutedHarness harness(1, 3);
    harness.submit("ask", false, "full");
    for (int i = 0; i < 3; i++) {
        ASSERT_EQ(harness.sends.size(), 1u);
        Send send = harness.take();
        harness.reply(send, i < 2 ? LR_REPLY_SHED : LR_REPLY_OK);
    }
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_COMPLETE);
}

TEST(RoutedEngine, AnEmptyBudgetAllowsNoRetry)
{
    RoutedHarness harness(1, 3, 0.0001, 0);
    harness.submit("ask", false, "x");
    harness.reply(harness.take(), LR_REPLY_ERROR);
    EXPECT_TRUE(harness.sends.empty());
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_UNKNOWN);
    EXPECT_EQ(harness.count(LR_COUNT_BUDGET_REFUSED), 1u);
}

TEST(RoutedEngine, AFailedConnectIsRetriedWithoutBudget)
{
    RoutedHarness harness(1, 3, 0.0001, 0);
    harness.submit("ask", false, "x");
    harness.reply(harness.take(), LR_REPLY_CONNECT_FAILED);
    EXPECT_EQ(harness.sends.size(), 1u);
}

TEST(RoutedEngine, ACoverageOutOfReachEndsTheQueryAtOnce)
{
    RoutedHarness harness(3, 1);
    harness.submit("strict");
    ASSERT_EQ(harness.sends.size(), 3u);
    harness.reply(harness.take(), LR_REPLY_ERROR);
    ASSERT_EQ(harness.answers.size(), 1u) << "two of three are below 0.7";
    EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_UNKNOWN);
    EXPECT_LT(harness.answers[0].at, LR_SECOND + 10 * EngineHarness::kMs);
}

TEST(RoutedEngine, TooFewServedShardsAreRefusedBeforeAnythingIsSent)
{
    RoutedHarness harness(3, 1);
    LrTargets_MarkLeaving(LrEngine_Targets(harness.engine),
                          harness.target("127.0.0.1:1"), LR_LEAVING_BY_REPLY,
                          harness.now);
    harness.submit("strict");
    EXPECT_TRUE(harness.sends.empty());
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_NOT_RUN);
    EXPECT_EQ(harness.answers[0].reason, LR_REASON_NO_REPLICA);
}

TEST(RoutedEngine, ANonIdempotentRequestThatMayHaveRunIsNotRetried)
{
    for (LrReplyStatus status :
         {LR_REPLY_BROKEN, LR_REPLY_STALE, LR_REPLY_TIMEOUT, LR_REPLY_ERROR,
          LR_REPLY_GARBAGE}) {
        RoutedHarness harness(1, 3);
        harness.submit("once");
        harness.reply(harness.take(), status);
        EXPECT_TRUE(harness.sends.empty()) << LrReplyStatus_Names[status];
        ASSERT_EQ(harness.answers.size(), 1u);
        EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_UNKNOWN);
    }
    for (LrReplyStatus status :
         {LR_REPLY_SHED, LR_REPLY_CONNECT_FAILED, LR_REPLY_MISDIRECTED}) {
        RoutedHarness harness(1, 3);
        harness.submit("once");
        harness.reply(harness.take(), status);
        EXPECT_EQ(harness.sends.size(), 1u) << LrReplyStatus_Names[status];
    }
}

// Fails when each broken connection counts as a crash: a few lost replies then
// quarantined a query over many shards.
TEST(RoutedEngine, LostRepliesOfRunningTargetsQuarantineNobody)
{
    RoutedHarness harness(4, 3);
    for (int i = 0; i < 5; i++) {
        harness.submit("ask", false, "lost");
        while (!harness.sends.empty()) {
            Send send = harness.take();
            harness.reply(send, LR_REPLY_BROKEN);
        }
        // The targets are up: they reply to the next request.
        harness.submit("ask", false, ("other" + std::to_string(i)).c_str());
        while (!harness.sends.empty()) {
            harness.reply(harness.take(), LR_REPLY_OK);
        }
        harness.advance(600 * EngineHarness::kMs);
    }
    for (const Answer &answer : harness.answers) {
        EXPECT_NE(answer.reason, LR_REASON_QUARANTINED);
    }
}

TEST(RoutedEngine, ARequestThatCrashesTargetsIsQuarantined)
{
    RoutedHarness harness(1, 6);
    int n_crashes = 0;
    for (int i = 0; i < 8; i++) {
        harness.submit("ask", false, "poison");
        while (!harness.sends.empty()) {
            Send send = harness.take();
            n_crashes++;
            harness.reply(send, LR_REPLY_BROKEN);
        }
        // The next request finds the targets down.
        harness.submit("once", false, ("next" + std::to_string(i)).c_str());
        while (!harness.sends.empty()) {
            harness.reply(harness.take(), LR_REPLY_CONNECT_FAILED);
        }
        harness.advance(1100 * EngineHarness::kMs);
    }
    EXPECT_LE(n_crashes, 6) << "three crashes may happen, three more retries";
    EXPECT_EQ(harness.answers.back().outcome, LR_OUTCOME_NOT_RUN);
}

TEST(RoutedEngine, ACancelledAttemptCountsUntilItsEndIsReported)
{
    RoutedHarness harness(1, 2);
    harness.warm();
    harness.submit("ask", false, "slow");
    harness.advance(100 * EngineHarness::kMs);
    ASSERT_EQ(harness.sends.size(), 2u);
    Send first = harness.take();
    Send second = harness.take();
    harness.reply(second, LR_REPLY_OK);
    EXPECT_EQ(harness.in_flight(), 1u) << "the first has not ended yet";
    for (int i = 0; i < 10; i++) {
        harness.submit("ask", false, ("more" + std::to_string(i)).c_str());
        Send send = harness.take();
        EXPECT_EQ(send.address, second.address) << "the other did not reply";
        harness.now += 5 * EngineHarness::kMs;
        harness.reply(send, LR_REPLY_OK);
    }
    harness.reply(first, LR_REPLY_OK);
    EXPECT_EQ(harness.in_flight(), 0u);
}

// 0.28 times 25 is a little more than 7 in floating point; 7 shards are
// enough.
TEST(RoutedEngine, JustEnoughShardsAreNotRefused)
{
    RoutedHarness harness(25, 1);
    for (int i = 0; i < 18; i++) {
        std::string address = "127.0.0." + std::to_string(i) + ":1";
        LrTargets_MarkLeaving(LrEngine_Targets(harness.engine),
                              harness.target(address), LR_LEAVING_BY_REPLY,
                              harness.now);
    }
    harness.submit("most");
    EXPECT_EQ(harness.sends.size(), 7u);
}

TEST(RoutedEngine, AMisdirectedTargetGetsNothingWhileAllOthersAreEjected)
{
    RoutedHarness harness(1, 2);
    LrTargets *targets = LrEngine_Targets(harness.engine);
    LrTargets_MarkMisdirected(targets, harness.target("127.0.0.0:1"),
                              harness.now);
    for (int i = 0; i < 2; i++) {
        LrTargets_OnFailure(targets, harness.target("127.0.0.1:1"),
                            harness.now);
    }
    for (int i = 0; i < 20; i++) {
        harness.submit("ask", false, ("q" + std::to_string(i)).c_str());
        while (!harness.sends.empty()) {
            Send send = harness.take();
            EXPECT_EQ(send.address, "127.0.0.1:1");
            harness.reply(send, LR_REPLY_CONNECT_FAILED);
        }
    }
    EXPECT_GT(harness.count(LR_COUNT_PANICS), 0u);
}

TEST(RoutedEngine, ATargetThatAsksForAPauseGetsNothingWhileAllOthersAreEjected)
{
    RoutedHarness harness(1, 2);
    harness.stated_pause = 3 * LR_SECOND;
    harness.submit("any", false, "told");
    Send first = harness.take();
    std::string paused = first.address;
    harness.reply(first, LR_REPLY_SHED);
    harness.stated_pause = 0;
    LrTime end = harness.now + 3 * LR_SECOND;
    while (harness.now < end) {
        while (!harness.sends.empty()) {
            Send send = harness.take();
            EXPECT_NE(send.address, paused) << harness.now;
            harness.reply(send, LR_REPLY_CONNECT_FAILED);
        }
        harness.advance(20 * LR_MILLISECOND);
        if (harness.now < end) {
            harness.submit("any", false, "next");
        }
    }
    bool asked_again = false;
    for (int i = 0; i < 200 && !asked_again; i++) {
        harness.submit("any", false, "after");
        while (!harness.sends.empty()) {
            Send send = harness.take();
            asked_again |= send.address == paused;
            harness.reply(send, send.address == paused
                                    ? LR_REPLY_OK
                                    : LR_REPLY_CONNECT_FAILED);
        }
        harness.advance(20 * LR_MILLISECOND);
    }
    EXPECT_TRUE(asked_again);
}

TEST(RoutedEngine, APauseThatIsNoTimeChangesNothing)
{
    RoutedHarness harness(1, 1);
    harness.stated_pause = -1;
    harness.submit("any", false, "told");
    harness.reply(harness.take(), LR_REPLY_OK);
    harness.submit("any", false, "next");
    EXPECT_EQ(harness.sends.size(), 1u);
    EXPECT_EQ(harness.count(LR_COUNT_TARGET_PAUSES), 0u);
}

// Attempts that another daemon made before it handed the request over count.
TEST(RoutedEngine, AnAttemptBeyondTheLimitOfItsEntryIsNotMadeHereEither)
{
    RoutedHarness harness(1, 3);
    harness.n_spent = 2;
    harness.submit("ask", false, "spent");
    EXPECT_TRUE(harness.sends.empty());
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_TRUE(harness.answers[0].bodies.empty());
    harness.n_spent = 1;
    harness.submit("ask", false, "one left");
    EXPECT_EQ(harness.sends.size(), 1u);
}
