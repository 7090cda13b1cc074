// The engine: admission, index versions, coverage, quarantine, leaving targets
// and late wake-ups.
#include "engine_harness.h"

TEST(Engine, UnknownEntryAndStop)
{
    EngineHarness world;
    world.submit("nothing");
    EXPECT_EQ(world.answers[0].reason, LR_REASON_UNKNOWN_ENTRY);
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_NOT_RUN);
    LrEngine_Stop(world.engine);
    world.submit("ask");
    EXPECT_EQ(world.answers[1].reason, LR_REASON_STOPPING);
}

TEST(Engine, EntryConcurrencyAndRate)
{
    EngineHarness world;
    world.submit("two");
    world.submit("two");
    world.submit("two");
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].reason, LR_REASON_ENTRY_LIMIT);
    world.submit("slowly");
    world.submit("slowly");
    ASSERT_EQ(world.answers.size(), 2u);
    EXPECT_EQ(world.answers[1].outcome, LR_OUTCOME_NOT_RUN);
    world.advance(LR_SECOND);
    size_t n = world.answers.size();
    world.submit("slowly");
    EXPECT_EQ(world.answers.size(), n) << "the rate allows one a second";
}

TEST(Engine, SoftDeadlineAnswersWithMinimumCoverage)
{
    EngineHarness world;
    world.submit("soft");
    ASSERT_EQ(world.sends.size(), 3u);
    world.reply(world.take(), LR_REPLY_OK);
    world.reply(world.take(), LR_REPLY_OK);
    world.advance(99 * EngineHarness::kMs);
    EXPECT_TRUE(world.answers.empty());
    world.advance(2 * EngineHarness::kMs);
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_PARTIAL);
    EXPECT_EQ(world.answers[0].missing.size(), 1u);
    EXPECT_EQ(world.cancels.size(), 1u) << "the last attempt is cancelled";
}

TEST(Engine, ANewAnswerMarginHoldsForTheNextRequest)
{
    EngineHarness world;
    LrEngine_SetAnswerMargin(world.engine, 30 * EngineHarness::kMs);
    world.submit("soft");
    world.reply(world.take(), LR_REPLY_OK);
    world.reply(world.take(), LR_REPLY_OK);
    world.advance(69 * EngineHarness::kMs);
    EXPECT_TRUE(world.answers.empty());
    world.advance(2 * EngineHarness::kMs);
    EXPECT_EQ(world.answers.size(), 1u) << "30 ms before the objective";
}

TEST(Engine, BelowMinimumCoverageWaitsForTheHardDeadline)
{
    EngineHarness world;
    world.submit("soft");
    world.reply(world.take(), LR_REPLY_OK);
    world.advance(499 * EngineHarness::kMs);
    EXPECT_TRUE(world.answers.empty());
    world.advance(2 * EngineHarness::kMs);
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].missing.size(), 2u);
}

TEST(Engine, AGoneVersionRestartsOnAnotherAndNeverMixes)
{
    EngineHarness world;
    world.publish({1, 2});
    world.submit("ask");
    Send first = world.take();
    EXPECT_EQ(first.version, 2) << "newest that all are believed to serve";
    world.reply(first, LR_REPLY_OK);
    std::string gone = world.sends.front().shard;
    while (!world.sends.empty()) {
        Send send = world.take();
        if (send.version == 2 && send.shard == gone) {
            world.reply(send, LR_REPLY_VERSION_GONE);
        }
        else if (send.version == 1) {
            world.reply(send, LR_REPLY_OK);
        }
    }
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_COMPLETE);
    EXPECT_EQ(world.answers[0].version, 1);
    EXPECT_EQ(world.count(LR_COUNT_RESTARTS), 1u);
}

TEST(Engine, LeavingTargetGetsNothingNew)
{
    EngineHarness world(1, 3);
    LrTargets *targets = LrEngine_Targets(world.engine);
    LrTargets_MarkLeaving(targets, world.target("127.0.0.0:1"),
                          LR_LEAVING_BY_REPLY, world.now);
    LrTargets_ClearLeaving(targets, world.target("127.0.0.0:1"),
                           LR_LEAVING_BY_HOST_LIST);
    for (int i = 0; i < 200; i++) {
        world.submit("ask");
        while (!world.sends.empty()) {
            Send send = world.take();
            EXPECT_NE(send.address, "127.0.0.0:1")
                << "a lagging host list must not undo the reply's sign";
            world.reply(send, LR_REPLY_OK);
        }
        world.advance(EngineHarness::kMs);
    }
}

TEST(Engine, CrashingRequestIsQuarantinedAndOthersAreNot)
{
    EngineHarness world(1, 3);
    world.submit("ask", false, "poison");
    Send first = world.take();
    world.reply(first, LR_REPLY_BROKEN);
    ASSERT_EQ(world.sends.size(), 1u);
    Send second = world.take();
    EXPECT_NE(first.address, second.address);
    world.reply(second, LR_REPLY_BROKEN);
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].reason, LR_REASON_QUARANTINED);
    EXPECT_TRUE(world.sends.empty()) << "no third target is crashed";
    world.submit("ask", false, "poison");
    EXPECT_TRUE(world.sends.empty());
    EXPECT_EQ(world.answers[1].outcome, LR_OUTCOME_NOT_RUN);
    world.submit("ask", false, "innocent");
    EXPECT_FALSE(world.sends.empty());
}

TEST(Engine, SuspectsDoNotShareATarget)
{
    EngineHarness world(1, 3);
    world.submit("ask", false, "a");
    world.submit("ask", false, "b");
    Send a = world.take();
    Send b = world.take();
    world.reply(a, LR_REPLY_BROKEN);
    world.reply(b, LR_REPLY_BROKEN);
    ASSERT_EQ(world.sends.size(), 2u);
    EXPECT_NE(world.sends[0].address, world.sends[1].address);
}

TEST(Engine, LostGroupCausesNoRetryStorm)
{
    EngineHarness world(2, 3);
    for (int i = 0; i < 300; i++) {
        world.submit("ask");
        while (!world.sends.empty()) {
            Send send = world.take();
            world.reply(send, send.shard == "g1" ? LR_REPLY_CONNECT_FAILED
                                                 : LR_REPLY_OK);
        }
        world.advance(EngineHarness::kMs);
    }
    double retries = (double)world.count(LR_COUNT_RETRIES);
    EXPECT_LE(retries, 0.1 * (double)world.count(LR_COUNT_SUB_REQUESTS));
}

TEST(Engine, LateWakeupAnswersWithoutNewWork)
{
    EngineHarness world;
    world.submit("ask");
    std::deque<Send> before = world.sends;
    world.sends.clear();
    world.pause(10 * LR_SECOND);
    EXPECT_TRUE(world.sends.empty()) << "nothing is sent after the deadline";
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_UNKNOWN);
    EXPECT_EQ(world.count(LR_COUNT_LATE_WAKEUPS), 1u);
    for (const Send &send : before) {
        world.reply(send, LR_REPLY_OK);
    }
    EXPECT_EQ(world.count(LR_COUNT_LATE_REPLIES), 3u);
    EXPECT_EQ(world.answers.size(), 1u);
}

TEST(Engine, QueuedWorkIsDroppedBeforeItIsTooLate)
{
    EngineHarness world(1, 1);
    for (int i = 0; i < 40; i++) {
        world.submit("ask");
    }
    size_t n_sent = world.sends.size();
    EXPECT_LT(n_sent, 40u) << "the target's concurrency limit applies";
    world.advance(LR_SECOND);
    EXPECT_EQ(world.answers.size(), 40u);
    size_t n_not_run = 0;
    for (const Answer &answer : world.answers) {
        n_not_run += answer.outcome == LR_OUTCOME_NOT_RUN;
    }
    EXPECT_EQ(n_not_run, 40u - n_sent) << "what was not sent did not run";
}

TEST(Engine, UrgentGoesBeforeRoutine)
{
    EngineHarness world(1, 1);
    for (int i = 0; i < 10; i++) {
        world.submit("ask");
    }
    size_t n_sent = world.sends.size();
    world.submit("now");
    for (size_t i = 0; i < n_sent; i++) {
        world.reply(world.take(), LR_REPLY_OK);
        if (i == 0) {
            ASSERT_FALSE(world.sends.empty());
        }
    }
    size_t n_answers = world.answers.size();
    world.reply(world.take(), LR_REPLY_OK);
    EXPECT_EQ(world.answers.size(), n_answers + 1);
}
