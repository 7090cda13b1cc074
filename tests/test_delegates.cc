// Which daemon runs requests for one that reaches no target.
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "delegates.h"

namespace {

class DelegatesTest : public testing::Test {
  protected:
    DelegatesTest()
        : random(LrRandom_New(5)), availability(LrPeerAvailability_New()),
          delegates(LrDelegates_New(LrStr_FromC("self"), LrStr_FromC("z0"),
                                    availability, random))
    {
        add("self", "z0", 1, true);
    }
    ~DelegatesTest() override
    {
        LrDelegates_Free(delegates);
        LrPeerAvailability_Free(availability);
        LrRandom_Free(random);
    }
    void
    add(const char *name, const char *zone, double speed = 1,
        bool aggregates = false)
    {
        LrPeerSpec spec = {};
        spec.name = spec.address = LrStr_FromC(name);
        spec.zone = LrStr_FromC(zone);
        spec.speed = speed;
        spec.aggregates = aggregates;
        daemons.push_back(spec);
        LrPeerAvailability_SetDaemons(availability, daemons.data(),
                                      daemons.size());
        LrDelegates_SetDaemons(delegates, daemons.data(), daemons.size());
    }
    // How often each daemon is picked.
    std::map<std::string, int>
    pick(bool gathers = false, int times = 400)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < times; i++) {
            LrStr address =
                LrDelegates_Pick(delegates, gathers, declined_by, now);
            counts[std::string(address.ptr, address.len)]++;
        }
        return counts;
    }
    void
    cut_off(const char *name)
    {
        LrPeerAvailability_OnDeclined(availability, LrStr_FromC(name),
                                      LR_DECLINE_CUT_OFF, now);
    }
    void
    fail(const char *name)
    {
        LrPeerAvailability_OnFailed(availability, LrStr_FromC(name), now);
    }

    LrTime now = 100 * LR_SECOND;
    LrRandom *random;
    LrPeerAvailability *availability;
    LrDelegates *delegates;
    LrDeclinedBy *declined_by = nullptr;
    std::vector<LrPeerSpec> daemons;
};

} // namespace

TEST_F(DelegatesTest, ADaemonAloneHasNone)
{
    EXPECT_EQ(pick()[""], 400);
}

TEST_F(DelegatesTest, LoadIsSharedBySpeedWithinTheZone)
{
    add("slow", "z0", 0.5);
    add("fast", "z0", 1.5);
    add("far", "z1", 2);
    auto counts = pick();
    EXPECT_EQ(counts["far"], 0);
    EXPECT_NEAR(counts["fast"], 300, 40);
    EXPECT_NEAR(counts["slow"], 100, 40);
}

TEST_F(DelegatesTest, TheFewThatAreLeftInAZoneDoNotTakeAllOfItsLoad)
{
    add("near1", "z0");
    add("near2", "z0");
    add("near3", "z0");
    add("far", "z1", 3);
    cut_off("near1");
    EXPECT_EQ(pick()["far"], 0) << "half of the zone is left";
    cut_off("near2");
    auto counts = pick();
    EXPECT_EQ(counts["near1"] + counts["near2"], 0);
    EXPECT_NEAR(counts["far"], 300, 40);
}

TEST_F(DelegatesTest, GathersGoToAggregators)
{
    add("weak", "z0", 1);
    add("gatherer", "z0", 1, true);
    add("far", "z1", 1, true);
    EXPECT_EQ(pick(true)["gatherer"], 400);
    EXPECT_NEAR(pick(false)["weak"], 200, 40);
    cut_off("gatherer");
    EXPECT_EQ(pick(true)["far"], 400) << "of another zone";
    cut_off("far");
    EXPECT_EQ(pick(true)["weak"], 400);
}

TEST_F(DelegatesTest, NobodyIsAskedWhileAllReachNoTarget)
{
    add("a", "z0");
    add("b", "z1");
    cut_off("a");
    cut_off("b");
    EXPECT_EQ(pick()[""], 400);
    now += 2 * LR_SECOND;
    EXPECT_EQ(pick()[""], 0) << "they are asked again later";
}

// On a host under load a daemon may miss the time to accept.
TEST_F(DelegatesTest, DaemonsThatFailedAreUsedWhereThereAreNoOthers)
{
    add("a", "z0");
    add("b", "z0");
    fail("a");
    EXPECT_EQ(pick()["b"], 400);
    fail("b");
    auto counts = pick();
    EXPECT_EQ(counts[""], 0);
    EXPECT_GT(counts["a"], 100);
}

TEST_F(DelegatesTest, WhatIsKnownOfADaemonOutlastsChangesOfTheFleet)
{
    add("a", "z0");
    add("b", "z0");
    cut_off("a");
    add("c", "z0");
    EXPECT_EQ(pick()["a"], 0);
}

// A daemon that declined a request gets it again only if it did not respond.
TEST_F(DelegatesTest, ARequestIsOfferedToNoneOfThoseThatDeclinedIt)
{
    add("near", "z0");
    add("far1", "z1");
    add("far2", "z2");
    declined_by = LrDeclinedBy_New();
    LrDeclinedBy_Add(declined_by, LrStr_FromC("near"));
    auto counts = pick();
    EXPECT_EQ(counts["near"], 0);
    EXPECT_EQ(counts["far1"] + counts["far2"], 400);
    LrDeclinedBy_Add(declined_by, LrStr_FromC("far1"));
    fail("far2");
    EXPECT_EQ(pick()["far2"], 400);
    LrDeclinedBy_Add(declined_by, LrStr_FromC("far2"));
    EXPECT_EQ(pick()[""], 400);
    g_ptr_array_unref(declined_by);
}
