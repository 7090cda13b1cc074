// When a daemon tells the balancer that it is ready.
#include "routed_harness.h"

#include "readiness.h"

namespace {

LrReadiness
next(LrReadiness current, bool isolated, double unserved)
{
    LrReadinessInput standing = {};
    standing.has_catalogue = true;
    standing.isolated = isolated;
    standing.unserved_ratio = unserved;
    return LrReadiness_Next(current, &standing);
}

} // namespace

TEST(Readiness, NotWithoutACatalogueNorWhileStopping)
{
    LrReadinessInput standing = {};
    EXPECT_EQ(LrReadiness_Next(LR_UNREADY_NO_CATALOGUE, &standing),
              LR_UNREADY_NO_CATALOGUE);
    standing.has_catalogue = true;
    EXPECT_EQ(LrReadiness_Next(LR_UNREADY_NO_CATALOGUE, &standing), LR_READY);
    standing.stopping = true;
    EXPECT_EQ(LrReadiness_Next(LR_READY, &standing), LR_UNREADY_STOPPING);
}

TEST(Readiness, ACutOffDaemonThatServesMostRequestsStays)
{
    EXPECT_EQ(next(LR_READY, true, 0), LR_READY);
    EXPECT_EQ(next(LR_READY, true, 0.4), LR_READY);
}

TEST(Readiness, ACutOffDaemonThatServesFewLeavesTheRotation)
{
    EXPECT_EQ(next(LR_READY, true, 0.75), LR_UNREADY_ISOLATED);
}

// Shards without any target are missing at all daemons alike: leaving the
// rotation would help nobody.
TEST(Readiness, ADaemonThatReachesOtherZonesStaysWhateverIsMissing)
{
    EXPECT_EQ(next(LR_READY, false, 1), LR_READY);
}

// Without callers the share of unserved requests falls to nothing.
TEST(Readiness, ItComesBackWithTheOtherZonesOnly)
{
    EXPECT_EQ(next(LR_UNREADY_ISOLATED, true, 0), LR_UNREADY_ISOLATED);
    EXPECT_EQ(next(LR_UNREADY_ISOLATED, false, 1), LR_READY);
}

TEST(Readiness, TheUnservedShareFollowsRecentRequests)
{
    RoutedHarness world(3, 1);
    LrEngine *engine = world.engine;
    EXPECT_EQ(LrEngine_UnservedShare(engine, world.now), 0);
    for (int i = 0; i < 3; i++) {
        world.submit("strict");
    }
    world.submit("most");
    EXPECT_EQ(LrEngine_UnservedShare(engine, world.now), 0);
    for (const char *address : {"127.0.0.0:1", "127.0.0.1:1"}) {
        LrTargets_MarkLeaving(LrEngine_Targets(engine), world.target(address),
                              LR_LEAVING_BY_HOST_LIST, world.now);
    }
    EXPECT_NEAR(LrEngine_UnservedShare(engine, world.now), 0.75, 0.01)
        << "one shard of three is enough for the fourth request only";
    EXPECT_EQ(LrEngine_UnservedShare(engine, world.now + 60 * LR_SECOND), 0);
}
