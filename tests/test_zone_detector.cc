// When an availability zone counts as unreachable, and when it is reachable
// again.
#include <gtest/gtest.h>

#include <string>

#include "zone_detector.h"

namespace {

class ZoneDetector : public testing::Test {
  protected:
    void
    SetUp() override
    {
        detector = LrZoneDetector_New(LrStr_FromC("own"), nullptr);
        local = LrZoneDetector_GetZone(detector, LrStr_FromC("own"), now);
        one = LrZoneDetector_GetZone(detector, LrStr_FromC("one"), now);
        two = LrZoneDetector_GetZone(detector, LrStr_FromC("two"), now);
        one->n_targets = 3;
        two->n_targets = 3;
        LrZoneDetector_GetZone(detector, LrStr_FromC("daemons only"), now);
    }
    void
    TearDown() override
    {
        LrZoneDetector_Free(detector);
    }
    // Evaluates ten times a second. From now on n_silent targets of the zone
    // keep a request waiting, and zone two is heard from in each round.
    void
    run_rounds(LrZone *zone, int n_silent, LrTime length)
    {
        LrTime since = now;
        while (now < since + length) {
            now += 100 * LR_MILLISECOND;
            LrZoneDetector_BeginRound(detector);
            for (int i = 0; i < n_silent; i++) {
                LrZone_OnWaiting(zone, since, now);
            }
            LrZone_OnContact(two, now);
            LrZoneDetector_Evaluate(detector, now);
        }
    }

    LrZoneDetector *detector;
    LrZone *local;
    LrZone *one;
    LrZone *two;
    LrTime now = LR_SECOND;
};

} // namespace

TEST_F(ZoneDetector, AZoneThatKeepsRequestsWaitingIsUnreachableWithinASecond)
{
    run_rounds(one, 3, LR_SECOND);
    EXPECT_TRUE(one->unreachable);
    EXPECT_FALSE(two->unreachable);
    EXPECT_FALSE(LrZoneDetector_IsIsolated(detector))
        << "zone two is heard from";
}

TEST_F(ZoneDetector, OneSilentTargetIsNotEnough)
{
    run_rounds(one, 1, 3 * LR_SECOND);
    EXPECT_FALSE(one->unreachable);
}

TEST_F(ZoneDetector, TheOnlyTargetOfAZoneIsEnough)
{
    one->n_targets = 1;
    run_rounds(one, 1, LR_SECOND);
    EXPECT_TRUE(one->unreachable);
}

// Targets and daemons may name any zone, so unused names must not pile up.
TEST_F(ZoneDetector, ZonesWithoutTargetsAreRemoved)
{
    for (int i = 0; i < 100; i++) {
        std::string name = "odd-" + std::to_string(i);
        LrZoneDetector_GetZone(detector, LrStr_FromC(name.c_str()), now);
    }
    EXPECT_EQ(LrZoneDetector_Count(detector), 104u);
    run_rounds(one, 0, 61 * LR_SECOND);
    EXPECT_EQ(LrZoneDetector_Count(detector), 3u);
}

TEST_F(ZoneDetector, AZoneWithoutRequestsStaysReachable)
{
    run_rounds(one, 0, 10 * LR_SECOND);
    EXPECT_FALSE(one->unreachable);
}

TEST_F(ZoneDetector, AZoneWhoseTargetsStallStaysReachable)
{
    for (int i = 0; i < 5; i++) {
        run_rounds(one, 3, 300 * LR_MILLISECOND);
        EXPECT_FALSE(one->unreachable);
        LrZone_OnContact(one, now);
    }
}

TEST_F(ZoneDetector, AnyContactMakesAZoneReachableAgain)
{
    run_rounds(one, 3, LR_SECOND);
    LrZone_OnContact(one, now);
    LrZoneDetector_BeginRound(detector);
    LrZoneDetector_Evaluate(detector, now);
    EXPECT_FALSE(one->unreachable);
}

// Hardly anything is sent to an unreachable zone: if no daemon there sends
// probes, only a new trial can show that it is reachable again.
TEST_F(ZoneDetector, AnUnreachableZoneWithoutRequestsIsTriedAgain)
{
    run_rounds(one, 3, LR_SECOND);
    ASSERT_TRUE(one->unreachable);
    run_rounds(one, 0, 6 * LR_SECOND);
    EXPECT_FALSE(one->unreachable);
}

TEST_F(ZoneDetector, IsolatedWhenAllOtherZonesAreUnreachable)
{
    EXPECT_FALSE(LrZoneDetector_IsIsolated(detector));
    LrTime sent_at = now;
    for (int step = 0; step < 10; step++) {
        now += 100 * LR_MILLISECOND;
        LrZoneDetector_BeginRound(detector);
        for (int i = 0; i < 3; i++) {
            LrZone_OnWaiting(one, sent_at, now);
            LrZone_OnWaiting(two, sent_at, now);
            LrZone_OnWaiting(local, sent_at, now);
        }
        LrZoneDetector_Evaluate(detector, now);
    }
    EXPECT_TRUE(LrZoneDetector_IsIsolated(detector));
    EXPECT_FALSE(local->unreachable) << "the local zone is never unreachable";
}

// A process that was paused for a moment has to read the replies that arrived
// meanwhile.
TEST_F(ZoneDetector, ALateEvaluationIsNoSilence)
{
    run_rounds(one, 0, LR_SECOND);
    LrZone_OnContact(one, now);
    LrTime sent_at = now;
    now += 900 * LR_MILLISECOND;
    LrZoneDetector_BeginRound(detector);
    for (int i = 0; i < 3; i++) {
        LrZone_OnWaiting(one, sent_at, now);
    }
    LrZoneDetector_Evaluate(detector, now);
    EXPECT_FALSE(one->unreachable);
    run_rounds(one, 3, LR_SECOND);
    EXPECT_TRUE(one->unreachable) << "continued silence is noticed";
}

TEST_F(ZoneDetector, ALateWakeupIsNoSilence)
{
    LrTime slept_at = now;
    now += 30 * LR_SECOND;
    LrZoneDetector_OnLateWakeup(detector, now);
    LrZoneDetector_BeginRound(detector);
    for (int i = 0; i < 3; i++) {
        LrZone_OnWaiting(one, slept_at, now);
    }
    LrZoneDetector_Evaluate(detector, now);
    EXPECT_FALSE(one->unreachable);
}

TEST_F(ZoneDetector, WithoutOtherZonesThereIsNoIsolation)
{
    LrZoneDetector *single = LrZoneDetector_New(LrStr_FromC("own"), nullptr);
    LrZoneDetector_GetZone(single, LrStr_FromC("own"), now);
    EXPECT_FALSE(LrZoneDetector_IsIsolated(single));
    LrZoneDetector_Free(single);
}

// A daemon that sends few requests to targets learns of its isolation from one
// that sends many, and accepts it as long as nothing contradicts it.
TEST_F(ZoneDetector, ReportedIsolationHoldsUntilAnotherZoneIsHeardFrom)
{
    EXPECT_FALSE(LrZoneDetector_IsReportedIsolated(detector, now))
        << "not reported";
    now += 200 * LR_MILLISECOND;
    LrZoneDetector_OnIsolationReport(detector, now);
    EXPECT_FALSE(LrZoneDetector_IsReportedIsolated(detector, now))
        << "another zone was heard from just before";
    now += 600 * LR_MILLISECOND;
    EXPECT_TRUE(LrZoneDetector_IsReportedIsolated(detector, now));
    LrZone_OnContact(local, now);
    EXPECT_TRUE(LrZoneDetector_IsReportedIsolated(detector, now));
    LrZone_OnContact(one, now);
    EXPECT_FALSE(LrZoneDetector_IsReportedIsolated(detector, now))
        << "another zone was heard from";
    now += 2 * LR_SECOND;
    EXPECT_FALSE(LrZoneDetector_IsReportedIsolated(detector, now))
        << "not reported again";
}
