// The engine: admission, index versions, coverage, quarantine, leaving targets
// and late wake-ups.
#include "engine_harness.h"

TEST(Engine, UnknownEntryAndStop)
{
    EngineHarness harness;
    harness.submit("nothing");
    EXPECT_EQ(harness.answers[0].reason, LR_REASON_UNKNOWN_ENTRY);
    EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_NOT_RUN);
    LrEngine_Stop(harness.engine);
    harness.submit("ask");
    EXPECT_EQ(harness.answers[1].reason, LR_REASON_STOPPING);
}

TEST(Engine, EntryConcurrencyAndRate)
{
    EngineHarness harness;
    harness.submit("two");
    harness.submit("two");
    harness.submit("two");
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].reason, LR_REASON_ENTRY_LIMIT);
    harness.submit("slowly");
    harness.submit("slowly");
    ASSERT_EQ(harness.answers.size(), 2u);
    EXPECT_EQ(harness.answers[1].outcome, LR_OUTCOME_NOT_RUN);
    harness.advance(LR_SECOND);
    size_t n = harness.answers.size();
    harness.submit("slowly");
    EXPECT_EQ(harness.answers.size(), n) << "the rate allows one a second";
}

TEST(Engine, SoftDeadlineAnswersWithMinimumCoverage)
{
    EngineHarness harness;
    harness.submit("soft");
    ASSERT_EQ(harness.sends.size(), 3u);
    harness.reply(harness.take(), LR_REPLY_OK);
    harness.reply(harness.take(), LR_REPLY_OK);
    harness.advance(99 * EngineHarness::kMs);
    EXPECT_TRUE(harness.answers.empty());
    harness.advance(2 * EngineHarness::kMs);
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_PARTIAL);
    EXPECT_EQ(harness.answers[0].missing.size(), 1u);
    EXPECT_EQ(harness.cancels.size(), 1u) << "the last attempt is cancelled";
}

TEST(Engine, ANewAnswerMarginHoldsForTheNextRequest)
{
    EngineHarness harness;
    LrEngine_SetAnswerMargin(harness.engine, 30 * EngineHarness::kMs);
    harness.submit("soft");
    harness.reply(harness.take(), LR_REPLY_OK);
    harness.reply(harness.take(), LR_REPLY_OK);
    harness.advance(69 * EngineHarness::kMs);
    EXPECT_TRUE(harness.answers.empty());
    harness.advance(2 * EngineHarness::kMs);
    EXPECT_EQ(harness.answers.size(), 1u) << "30 ms before the objective";
}

TEST(Engine, BelowMinimumCoverageWaitsForTheHardDeadline)
{
    EngineHarness harness;
    harness.submit("soft");
    harness.reply(harness.take(), LR_REPLY_OK);
    harness.advance(499 * EngineHarness::kMs);
    EXPECT_TRUE(harness.answers.empty());
    harness.advance(2 * EngineHarness::kMs);
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].missing.size(), 2u);
}

TEST(Engine, AGoneVersionRestartsOnAnotherAndNeverMixes)
{
    EngineHarness harness;
    harness.publish({1, 2});
    harness.submit("ask");
    Send first = harness.take();
    EXPECT_EQ(first.version, 2) << "newest that all are believed to serve";
    harness.reply(first, LR_REPLY_OK);
    std::string gone = harness.sends.front().shard;
    while (!harness.sends.empty()) {
        Send send = harness.take();
        if (send.version == 2 && send.shard == gone) {
            harness.reply(send, LR_REPLY_VERSION_GONE);
        }
        else if (send.version == 1) {
            harness.reply(send, LR_REPLY_OK);
        }
    }
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_COMPLETE);
    EXPECT_EQ(harness.answers[0].version, 1);
    EXPECT_EQ(harness.count(LR_COUNT_RESTARTS), 1u);
}

TEST(Engine, LeavingTargetGetsNothingNew)
{
    EngineHarness harness(1, 3);
    LrTargets *targets = LrEngine_Targets(harness.engine);
    LrTargets_MarkLeaving(targets, harness.target("127.0.0.0:1"),
                          LR_LEAVING_BY_REPLY, harness.now);
    LrTargets_ClearLeaving(targets, harness.target("127.0.0.0:1"),
                           LR_LEAVING_BY_HOST_LIST);
    for (int i = 0; i < 200; i++) {
        harness.submit("ask");
        while (!harness.sends.empty()) {
            Send send = harness.take();
            EXPECT_NE(send.address, "127.0.0.0:1")
                << "a lagging host list must not undo the reply's sign";
            harness.reply(send, LR_REPLY_OK);
        }
        harness.advance(EngineHarness::kMs);
    }
}

TEST(Engine, CrashingRequestIsQuarantinedAndOthersAreNot)
{
    EngineHarness harness(1, 3);
    harness.submit("ask", false, "poison");
    Send first = harness.take();
    harness.reply(first, LR_REPLY_BROKEN);
    ASSERT_EQ(harness.sends.size(), 1u);
    Send second = harness.take();
    EXPECT_NE(first.address, second.address);
    harness.reply(second, LR_REPLY_BROKEN);
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].reason, LR_REASON_QUARANTINED);
    EXPECT_TRUE(harness.sends.empty()) << "no third target is crashed";
    harness.submit("ask", false, "poison");
    EXPECT_TRUE(harness.sends.empty());
    EXPECT_EQ(harness.answers[1].outcome, LR_OUTCOME_NOT_RUN);
    harness.submit("ask", false, "innocent");
    EXPECT_FALSE(harness.sends.empty());
}

TEST(Engine, SuspectsDoNotShareATarget)
{
    EngineHarness harness(1, 3);
    harness.submit("ask", false, "a");
    harness.submit("ask", false, "b");
    Send a = harness.take();
    Send b = harness.take();
    harness.reply(a, LR_REPLY_BROKEN);
    harness.reply(b, LR_REPLY_BROKEN);
    ASSERT_EQ(harness.sends.size(), 2u);
    EXPECT_NE(harness.sends[0].address, harness.sends[1].address);
}

TEST(Engine, LostGroupCausesNoRetryStorm)
{
    EngineHarness harness(2, 3);
    for (int i = 0; i < 300; i++) {
        harness.submit("ask");
        while (!harness.sends.empty()) {
            Send send = harness.take();
            harness.reply(send, send.shard == "g1" ? LR_REPLY_CONNECT_FAILED
                                                   : LR_REPLY_OK);
        }
        harness.advance(EngineHarness::kMs);
    }
    double retries = (double)harness.count(LR_COUNT_RETRIES);
    EXPECT_LE(retries, 0.1 * (double)harness.count(LR_COUNT_SUB_REQUESTS));
}

TEST(Engine, LateWakeupAnswersWithoutNewWork)
{
    EngineHarness harness;
    harness.submit("ask");
    std::deque<Send> before = harness.sends;
    harness.sends.clear();
    harness.pause(10 * LR_SECOND);
    EXPECT_TRUE(harness.sends.empty()) << "nothing is sent after the deadline";
    ASSERT_EQ(harness.answers.size(), 1u);
    EXPECT_EQ(harness.answers[0].outcome, LR_OUTCOME_UNKNOWN);
    EXPECT_EQ(harness.count(LR_COUNT_LATE_WAKEUPS), 1u);
    for (const Send &send : before) {
        harness.reply(send, LR_REPLY_OK);
    }
    EXPECT_EQ(harness.count(LR_COUNT_LATE_REPLIES), 3u);
    EXPECT_EQ(harness.answers.size(), 1u);
}

TEST(Engine, QueuedWorkIsDroppedBeforeItIsTooLate)
{
    EngineHarness harness(1, 1);
    for (int i = 0; i < 40; i++) {
        harness.submit("ask");
    }
    size_t n_sent = harness.sends.size();
    EXPECT_LT(n_sent, 40u) << "the target's concurrency limit applies";
    harness.advance(LR_SECOND);
    EXPECT_EQ(harness.answers.size(), 40u);
    size_t n_not_run = 0;
    for (const Answer &answer : harness.answers) {
        n_not_run += answer.outcome == LR_OUTCOME_NOT_RUN;
    }
    EXPECT_EQ(n_not_run, 40u - n_sent) << "what was not sent did not run";
}

TEST(Engine, UrgentGoesBeforeRoutine)
{
    EngineHarness harness(1, 1);
    for (int i = 0; i < 10; i++) {
        harness.submit("ask");
    }
    size_t n_sent = harness.sends.size();
    harness.submit("now");
    for (size_t i = 0; i < n_sent; i++) {
        harness.reply(harness.take(), LR_REPLY_OK);
        if (i == 0) {
            ASSERT_FALSE(harness.sends.empty());
        }
    }
    size_t n_answers = harness.answers.size();
    harness.reply(harness.take(), LR_REPLY_OK);
    EXPECT_EQ(harness.answers.size(), n_answers + 1);
}
