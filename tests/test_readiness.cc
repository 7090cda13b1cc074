// When a daemon reports to the load balancer that it is ready.
#include "routed_harness.h"

#include "readiness.h"

namespace {

LrReadiness
next(LrReadiness current, bool isolated, double unserved)
{
    LrReadinessInput input = {};
    input.has_catalogue = true;
    input.isolated = isolated;
    input.unserved_ratio = unserved;
    return LrReadiness_Next(current, &input);
}

} // namespace

TEST(Readiness, NotWithoutACatalogueNorWhileStopping)
{
    LrReadinessInput input = {};
    EXPECT_EQ(LrReadiness_Next(LR_UNREADY_NO_CATALOGUE, &input),
              LR_UNREADY_NO_CATALOGUE);
    input.has_catalogue = true;
    EXPECT_EQ(LrReadiness_Next(LR_UNREADY_NO_CATALOGUE, &input), LR_READY);
    input.stopping = true;
    EXPECT_EQ(LrReadiness_Next(LR_READY, &input), LR_UNREADY_STOPPING);
}

TEST(Readiness, AnIsolatedDaemonThatServesMostRequestsStaysReady)
{
    EXPECT_EQ(next(LR_READY, true, 0), LR_READY);
    EXPECT_EQ(next(LR_READY, true, 0.4), LR_READY);
}

TEST(Readiness, AnIsolatedDaemonThatServesFewRequestsIsNotReady)
{
    EXPECT_EQ(next(LR_READY, true, 0.75), LR_UNREADY_ISOLATED);
}

// Shards without any target are missing for all daemons alike, so it would
// help nobody if a daemon reported itself as not ready.
TEST(Readiness, ADaemonThatReachesOtherZonesStaysReady)
{
    EXPECT_EQ(next(LR_READY, false, 1), LR_READY);
}

// Without requests the unserved share falls to 0, which must not make an
// isolated daemon ready.
TEST(Readiness, OnlyTheEndOfTheIsolationMakesItReadyAgain)
{
    EXPECT_EQ(next(LR_UNREADY_ISOLATED, true, 0), LR_UNREADY_ISOLATED);
    EXPECT_EQ(next(LR_UNREADY_ISOLATED, false, 1), LR_READY);
}

TEST(Readiness, TheUnservedShareFollowsRecentRequests)
{
    RoutedHarness world(3, 1);
    LrEngine *engine = world.engine;
    EXPECT_EQ(LrEngine_UnservedRatio(engine, world.now), 0);
    for (int i = 0; i < 3; i++) {
        world.submit("strict");
    }
    world.submit("most");
    EXPECT_EQ(LrEngine_UnservedRatio(engine, world.now), 0);
    for (const char *address : {"127.0.0.0:1", "127.0.0.1:1"}) {
        LrTargets_MarkLeaving(LrEngine_Targets(engine), world.target(address),
                              LR_LEAVING_BY_HOST_LIST, world.now);
    }
    EXPECT_NEAR(LrEngine_UnservedRatio(engine, world.now), 0.75, 0.01)
        << "one shard of three is enough for the fourth request only";
    EXPECT_EQ(LrEngine_UnservedRatio(engine, world.now + 60 * LR_SECOND), 0);
}
