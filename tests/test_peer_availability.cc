// What is kept of daemons that failed or declined requests of this one.
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "peer_availability.h"

namespace {

class PeerAvailabilityTest : public testing::Test {
  protected:
    PeerAvailabilityTest() : availability(LrPeerAvailability_New())
    {
        set_daemons({{"a", 1}, {"b", 1}});
    }
    ~PeerAvailabilityTest() override
    {
        LrPeerAvailability_Free(availability);
    }
    void
    set_daemons(const std::vector<std::pair<const char *, int64_t>> &alive)
    {
        std::vector<LrPeerSpec> specs;
        for (const auto &[name, incarnation] : alive) {
            LrPeerSpec spec = {};
            spec.name = spec.address = LrStr_FromC(name);
            spec.incarnation = incarnation;
            specs.push_back(spec);
        }
        LrPeerAvailability_SetDaemons(availability, specs.data(),
                                      specs.size());
    }
    void
    decline(const char *name, LrDeclineReason reason)
    {
        LrPeerAvailability_OnDeclined(availability, LrStr_FromC(name), reason,
                                      now);
    }
    LrPeerState
    state(const char *name)
    {
        return LrPeerAvailability_Get(availability, LrStr_FromC(name), now);
    }

    LrTime now = 100 * LR_SECOND;
    LrPeerAvailability *availability;
};

} // namespace

TEST_F(PeerAvailabilityTest, AStoppingProcessIsNotAskedAgainItsSuccessorIs)
{
    decline("a", LR_DECLINE_STOPPING);
    now += 600 * LR_SECOND;
    set_daemons({{"a", 1}, {"b", 1}});
    EXPECT_EQ(state("a"), LR_PEER_UNAVAILABLE);
    EXPECT_EQ(state("b"), LR_PEER_AVAILABLE);
    set_daemons({{"a", 2}, {"b", 1}});
    EXPECT_EQ(state("a"), LR_PEER_AVAILABLE);
}

TEST_F(PeerAvailabilityTest, ADaemonThatReachesNoTargetIsAskedAgainLater)
{
    decline("a", LR_DECLINE_CUT_OFF);
    EXPECT_EQ(state("a"), LR_PEER_UNAVAILABLE);
    now += 2 * LR_SECOND;
    EXPECT_EQ(state("a"), LR_PEER_AVAILABLE);
}

// Another configuration, or a share of a rate limit that is used up.
TEST_F(PeerAvailabilityTest, WhatHoldsForOneRequestDoesNotHoldForOthers)
{
    for (LrDeclineReason reason :
         {LR_DECLINE_UNSTATED, LR_DECLINE_ROUTE, LR_DECLINE_NO_TARGET}) {
        decline("a", reason);
        EXPECT_EQ(state("a"), LR_PEER_AVAILABLE);
    }
}

TEST_F(PeerAvailabilityTest, ADaemonThatDidNotRespondIsTriedAgainLater)
{
    LrPeerAvailability_OnFailed(availability, LrStr_FromC("a"), now);
    EXPECT_EQ(state("a"), LR_PEER_UNRESPONSIVE);
    set_daemons({{"a", 1}, {"b", 1}, {"c", 1}});
    EXPECT_EQ(state("a"), LR_PEER_UNRESPONSIVE)
        << "kept when the fleet changes";
    now += 2 * LR_SECOND;
    EXPECT_EQ(state("a"), LR_PEER_AVAILABLE);
}
