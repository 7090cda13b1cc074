// When an availability zone counts as cut off, and when it is back.
#include <gtest/gtest.h>

#include <string>

#include "zone_detector.h"

namespace {

class Reach : public testing::Test {
  protected:
    void
    SetUp() override
    {
        reach = LrZoneDetector_New(LrStr_FromC("own"), nullptr);
        own = LrZoneDetector_GetZone(reach, LrStr_FromC("own"), now);
        one = LrZoneDetector_GetZone(reach, LrStr_FromC("one"), now);
        two = LrZoneDetector_GetZone(reach, LrStr_FromC("two"), now);
        one->n_targets = 3;
        two->n_targets = 3;
        LrZoneDetector_GetZone(reach, LrStr_FromC("daemons only"), now);
    }
    void
    TearDown() override
    {
        LrZoneDetector_Free(reach);
    }
    // Judges ten times a second; so many targets of the zone keep a request
    // waiting from now on, and two is heard.
    void
    wait(LrZone *zone, int n_silent, LrTime length)
    {
        LrTime since = now;
        while (now < since + length) {
            now += 100 * LR_MILLISECOND;
            LrZoneDetector_BeginRound(reach);
            for (int i = 0; i < n_silent; i++) {
                LrZone_OnWaiting(zone, since, now);
            }
            LrZone_OnContact(two, now);
            LrZoneDetector_Evaluate(reach, now);
        }
    }

    LrZoneDetector *reach;
    LrZone *own;
    LrZone *one;
    LrZone *two;
    LrTime now = LR_SECOND;
};

} // namespace

TEST_F(Reach, AZoneThatKeepsItsRequestsWaitingIsCutWithinASecond)
{
    wait(one, 3, LR_SECOND);
    EXPECT_TRUE(one->unreachable);
    EXPECT_FALSE(two->unreachable);
    EXPECT_FALSE(LrZoneDetector_IsIsolated(reach)) << "two is heard";
}

TEST_F(Reach, OneSilentTargetIsNoCut)
{
    wait(one, 1, 3 * LR_SECOND);
    EXPECT_FALSE(one->unreachable);
}

TEST_F(Reach, TheOnlyTargetOfAZoneIsEnough)
{
    one->n_targets = 1;
    wait(one, 1, LR_SECOND);
    EXPECT_TRUE(one->unreachable);
}

// Entries and daemons may name any zone.
TEST_F(Reach, ZonesWithoutTargetsAreForgotten)
{
    for (int i = 0; i < 100; i++) {
        std::string name = "odd-" + std::to_string(i);
        LrZoneDetector_GetZone(reach, LrStr_FromC(name.c_str()), now);
    }
    EXPECT_EQ(LrZoneDetector_Count(reach), 104u);
    wait(one, 0, 61 * LR_SECOND);
    EXPECT_EQ(LrZoneDetector_Count(reach), 3u);
}

TEST_F(Reach, AZoneOfWhichNothingIsAskedIsNoCut)
{
    wait(one, 0, 10 * LR_SECOND);
    EXPECT_FALSE(one->unreachable);
}

TEST_F(Reach, AStandstillOfTargetsIsNoCut)
{
    for (int i = 0; i < 5; i++) {
        wait(one, 3, 300 * LR_MILLISECOND);
        EXPECT_FALSE(one->unreachable);
        LrZone_OnContact(one, now);
    }
}

TEST_F(Reach, TheFirstSignOfLifeEndsACut)
{
    wait(one, 3, LR_SECOND);
    LrZone_OnContact(one, now);
    LrZoneDetector_BeginRound(reach);
    LrZoneDetector_Evaluate(reach, now);
    EXPECT_FALSE(one->unreachable);
}

// Nothing is sent to a zone that is cut: without a daemon there that probes,
// only a new trial can tell that it is back.
TEST_F(Reach, AZoneThatNobodyAsksAnyMoreIsTriedAgain)
{
    wait(one, 3, LR_SECOND);
    ASSERT_TRUE(one->unreachable);
    wait(one, 0, 6 * LR_SECOND);
    EXPECT_FALSE(one->unreachable);
}

TEST_F(Reach, IsolatedWhenAllOtherZonesAreCut)
{
    EXPECT_FALSE(LrZoneDetector_IsIsolated(reach));
    LrTime sent_at = now;
    for (int step = 0; step < 10; step++) {
        now += 100 * LR_MILLISECOND;
        LrZoneDetector_BeginRound(reach);
        for (int i = 0; i < 3; i++) {
            LrZone_OnWaiting(one, sent_at, now);
            LrZone_OnWaiting(two, sent_at, now);
            LrZone_OnWaiting(own, sent_at, now);
        }
        LrZoneDetector_Evaluate(reach, now);
    }
    EXPECT_TRUE(LrZoneDetector_IsIsolated(reach));
    EXPECT_FALSE(own->unreachable) << "the own zone is never cut off";
}

// A process that was stopped for a moment has answers to read first.
TEST_F(Reach, ALateJudgementIsNoSilence)
{
    wait(one, 0, LR_SECOND);
    LrZone_OnContact(one, now);
    LrTime sent_at = now;
    now += 900 * LR_MILLISECOND;
    LrZoneDetector_BeginRound(reach);
    for (int i = 0; i < 3; i++) {
        LrZone_OnWaiting(one, sent_at, now);
    }
    LrZoneDetector_Evaluate(reach, now);
    EXPECT_FALSE(one->unreachable);
    wait(one, 3, LR_SECOND);
    EXPECT_TRUE(one->unreachable) << "silence that goes on is noticed";
}

TEST_F(Reach, ALateWakeupIsNoSilence)
{
    LrTime slept_at = now;
    now += 30 * LR_SECOND;
    LrZoneDetector_OnLateWakeup(reach, now);
    LrZoneDetector_BeginRound(reach);
    for (int i = 0; i < 3; i++) {
        LrZone_OnWaiting(one, slept_at, now);
    }
    LrZoneDetector_Evaluate(reach, now);
    EXPECT_FALSE(one->unreachable);
}

TEST_F(Reach, WithoutOtherZonesThereIsNoIsolation)
{
    LrZoneDetector *alone = LrZoneDetector_New(LrStr_FromC("own"), nullptr);
    LrZoneDetector_GetZone(alone, LrStr_FromC("own"), now);
    EXPECT_FALSE(LrZoneDetector_IsIsolated(alone));
    LrZoneDetector_Free(alone);
}

// A daemon that asks few targets learns of a cut from one that asks many, as
// long as it hears nothing that speaks against it.
TEST_F(Reach, IsolationThatIsToldHoldsWhileNoOtherZoneIsHeard)
{
    EXPECT_FALSE(LrZoneDetector_IsReportedIsolated(reach, now))
        << "nobody said so";
    now += 200 * LR_MILLISECOND;
    LrZoneDetector_OnIsolationReport(reach, now);
    EXPECT_FALSE(LrZoneDetector_IsReportedIsolated(reach, now))
        << "heard just before";
    now += 600 * LR_MILLISECOND;
    EXPECT_TRUE(LrZoneDetector_IsReportedIsolated(reach, now));
    LrZone_OnContact(own, now);
    EXPECT_TRUE(LrZoneDetector_IsReportedIsolated(reach, now));
    LrZone_OnContact(one, now);
    EXPECT_FALSE(LrZoneDetector_IsReportedIsolated(reach, now))
        << "a sign of life";
    now += 2 * LR_SECOND;
    EXPECT_FALSE(LrZoneDetector_IsReportedIsolated(reach, now))
        << "not told again";
}
