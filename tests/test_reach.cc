// When an availability zone counts as cut off, and when it is back.
#include <gtest/gtest.h>

#include <string>

#include "reach.h"

namespace {

class Reach : public testing::Test {
  protected:
    void
    SetUp() override
    {
        reach = LrReach_New(LrStr_FromC("own"), nullptr);
        own = LrReach_Zone(reach, LrStr_FromC("own"), now);
        one = LrReach_Zone(reach, LrStr_FromC("one"), now);
        two = LrReach_Zone(reach, LrStr_FromC("two"), now);
        one->n_targets = 3;
        two->n_targets = 3;
        LrReach_Zone(reach, LrStr_FromC("daemons only"), now);
    }
    void
    TearDown() override
    {
        LrReach_Free(reach);
    }
    // Judges ten times a second; so many targets of the zone keep a request
    // waiting from now on, and two is heard.
    void
    wait(LrZone *zone, int n_silent, LrTime length)
    {
        LrTime since = now;
        while (now < since + length) {
            now += 100 * LR_MILLISECOND;
            LrReach_Begin(reach);
            for (int i = 0; i < n_silent; i++) {
                LrReach_Waiting(zone, since, now);
            }
            LrReach_Heard(two, now);
            LrReach_Judge(reach, now);
        }
    }

    LrReach *reach;
    LrZone *own;
    LrZone *one;
    LrZone *two;
    LrTime now = LR_SECOND;
};

} // namespace

TEST_F(Reach, AZoneThatKeepsItsRequestsWaitingIsCutWithinASecond)
{
    wait(one, 3, LR_SECOND);
    EXPECT_TRUE(one->cut);
    EXPECT_FALSE(two->cut);
    EXPECT_FALSE(LrReach_IsIsolated(reach)) << "two is heard";
}

TEST_F(Reach, OneSilentTargetIsNoCut)
{
    wait(one, 1, 3 * LR_SECOND);
    EXPECT_FALSE(one->cut);
}

TEST_F(Reach, TheOnlyTargetOfAZoneIsEnough)
{
    one->n_targets = 1;
    wait(one, 1, LR_SECOND);
    EXPECT_TRUE(one->cut);
}

// Entries and daemons may name any zone.
TEST_F(Reach, ZonesWithoutTargetsAreForgotten)
{
    for (int i = 0; i < 100; i++) {
        std::string name = "odd-" + std::to_string(i);
        LrReach_Zone(reach, LrStr_FromC(name.c_str()), now);
    }
    EXPECT_EQ(LrReach_Count(reach), 104u);
    wait(one, 0, 61 * LR_SECOND);
    EXPECT_EQ(LrReach_Count(reach), 3u);
}

TEST_F(Reach, AZoneOfWhichNothingIsAskedIsNoCut)
{
    wait(one, 0, 10 * LR_SECOND);
    EXPECT_FALSE(one->cut);
}

TEST_F(Reach, AStandstillOfTargetsIsNoCut)
{
    for (int i = 0; i < 5; i++) {
        wait(one, 3, 300 * LR_MILLISECOND);
        EXPECT_FALSE(one->cut);
        LrReach_Heard(one, now);
    }
}

TEST_F(Reach, TheFirstSignOfLifeEndsACut)
{
    wait(one, 3, LR_SECOND);
    LrReach_Heard(one, now);
    LrReach_Begin(reach);
    LrReach_Judge(reach, now);
    EXPECT_FALSE(one->cut);
}

// Nothing is sent to a zone that is cut: without a daemon there that probes,
// only a new trial can tell that it is back.
TEST_F(Reach, AZoneThatNobodyAsksAnyMoreIsTriedAgain)
{
    wait(one, 3, LR_SECOND);
    ASSERT_TRUE(one->cut);
    wait(one, 0, 6 * LR_SECOND);
    EXPECT_FALSE(one->cut);
}

TEST_F(Reach, IsolatedWhenAllOtherZonesAreCut)
{
    EXPECT_FALSE(LrReach_IsIsolated(reach));
    LrTime sent_at = now;
    for (int step = 0; step < 10; step++) {
        now += 100 * LR_MILLISECOND;
        LrReach_Begin(reach);
        for (int i = 0; i < 3; i++) {
            LrReach_Waiting(one, sent_at, now);
            LrReach_Waiting(two, sent_at, now);
            LrReach_Waiting(own, sent_at, now);
        }
        LrReach_Judge(reach, now);
    }
    EXPECT_TRUE(LrReach_IsIsolated(reach));
    EXPECT_FALSE(own->cut) << "the own zone is never cut off";
}

// A process that was stopped for a moment has answers to read first.
TEST_F(Reach, ALateJudgementIsNoSilence)
{
    wait(one, 0, LR_SECOND);
    LrReach_Heard(one, now);
    LrTime sent_at = now;
    now += 900 * LR_MILLISECOND;
    LrReach_Begin(reach);
    for (int i = 0; i < 3; i++) {
        LrReach_Waiting(one, sent_at, now);
    }
    LrReach_Judge(reach, now);
    EXPECT_FALSE(one->cut);
    wait(one, 3, LR_SECOND);
    EXPECT_TRUE(one->cut) << "silence that goes on is noticed";
}

TEST_F(Reach, ALateWakeupIsNoSilence)
{
    LrTime slept_at = now;
    now += 30 * LR_SECOND;
    LrReach_OnLateWakeup(reach, now);
    LrReach_Begin(reach);
    for (int i = 0; i < 3; i++) {
        LrReach_Waiting(one, slept_at, now);
    }
    LrReach_Judge(reach, now);
    EXPECT_FALSE(one->cut);
}

TEST_F(Reach, WithoutOtherZonesThereIsNoIsolation)
{
    LrReach *alone = LrReach_New(LrStr_FromC("own"), nullptr);
    LrReach_Zone(alone, LrStr_FromC("own"), now);
    EXPECT_FALSE(LrReach_IsIsolated(alone));
    LrReach_Free(alone);
}

// A daemon that asks few targets learns of a cut from one that asks many, as
// long as it hears nothing that speaks against it.
TEST_F(Reach, IsolationThatIsToldHoldsWhileNoOtherZoneIsHeard)
{
    EXPECT_FALSE(LrReach_IsToldIsolated(reach, now)) << "nobody said so";
    now += 200 * LR_MILLISECOND;
    LrReach_ToldIsolated(reach, now);
    EXPECT_FALSE(LrReach_IsToldIsolated(reach, now)) << "heard just before";
    now += 600 * LR_MILLISECOND;
    EXPECT_TRUE(LrReach_IsToldIsolated(reach, now));
    LrReach_Heard(own, now);
    EXPECT_TRUE(LrReach_IsToldIsolated(reach, now));
    LrReach_Heard(one, now);
    EXPECT_FALSE(LrReach_IsToldIsolated(reach, now)) << "a sign of life";
    now += 2 * LR_SECOND;
    EXPECT_FALSE(LrReach_IsToldIsolated(reach, now)) << "not told again";
}
