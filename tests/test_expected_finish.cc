// Choice of a replica by expected finish, against targets of many kinds.
#include "routed_harness.h"

namespace {

// First attempts that went to an address, of so many requests, where it
// refuses each second request and the others answer in 10 ms.
int
firsts_at(RoutedHarness &world, const std::string &address,
          LrReplyStatus status, int n_requests)
{
    int n_firsts = 0;
    int n_there = 0;
    for (int i = 0; i < n_requests; i++) {
        world.submit("ask", false, ("r" + std::to_string(i)).c_str());
        n_firsts += world.sends.front().address == address;
        while (!world.sends.empty()) {
            Send send = world.take();
            bool there = send.address == address;
            bool fault = there && n_there++ % 2 == 0;
            world.advance(10 * EngineHarness::kMs);
            world.reply(send, fault ? status : LR_REPLY_OK);
        }
        world.advance(100 * EngineHarness::kMs);
    }
    return n_firsts;
}

const char LOCAL[] = "127.0.0.0:1";

} // namespace

TEST(Placement, TheLocalReplicaIsPreferred)
{
    RoutedHarness world(1, 3);
    world.warm();
    EXPECT_EQ(firsts_at(world, LOCAL, LR_REPLY_OK, 100), 100);
}

// A target that refuses some requests and serves others is never ejected:
// its answers in between end each series of failures.
TEST(Placement, ATargetThatRefusesEachSecondRequestIsAvoided)
{
    RoutedHarness world(1, 3);
    world.warm();
    EXPECT_LE(firsts_at(world, LOCAL, LR_REPLY_SHED, 100), 20);
}

TEST(Placement, ATargetThatFailsEachSecondRequestIsAvoided)
{
    RoutedHarness world(1, 3);
    world.warm();
    EXPECT_LE(firsts_at(world, LOCAL, LR_REPLY_ERROR, 100), 20);
}

TEST(Placement, ATargetThatServesAgainIsUsedAgain)
{
    RoutedHarness world(1, 3);
    world.warm();
    firsts_at(world, LOCAL, LR_REPLY_SHED, 50);
    firsts_at(world, LOCAL, LR_REPLY_OK, 50);
    EXPECT_GE(firsts_at(world, LOCAL, LR_REPLY_OK, 50), 45);
}

// Once the whole zone of a shard's only targets is silent, an answer that
// needs the shard is refused before anything is sent.
TEST(Placement, ShardsOfASilentZoneAreRefusedAtOnce)
{
    RoutedHarness world(12, 3);
    world.warm();
    LrTargets *router = LrEngine_Targets(world.engine);
    for (int id = 0; id < 36; id++) {
        if (id % 3 != 1) {
            std::string address = "127.0.0." + std::to_string(id) + ":1";
            LrTargets_MarkLeaving(router, world.target(address),
                                  LR_LEAVING_BY_HOST_LIST, world.now);
        }
    }
    world.submit("strict", false, "before");
    EXPECT_EQ(world.sends.size(), 12u);
    for (int i = 0; i < 8; i++) {
        world.advance(100 * EngineHarness::kMs);
        LrTargets_EvaluateZones(router, world.now);
    }
    world.sends.clear();
    world.answers.clear();
    world.submit("strict", false, "after");
    EXPECT_TRUE(world.sends.empty());
    ASSERT_EQ(world.answers.size(), 1u);
    EXPECT_EQ(world.answers[0].reason, LR_REASON_NO_REPLICA);
    EXPECT_EQ(world.answers[0].outcome, LR_OUTCOME_NOT_RUN);
}

// Entries of long work say nothing against a target for those of short work,
// nor does short work recommend one for long work.
TEST(Placement, EntriesOfLongAndShortWorkShareWhatIsKnown)
{
    RoutedHarness world(1, 3);
    world.warm();
    LrTarget *target = world.target(LOCAL);
    LrTargets *router = LrEngine_Targets(world.engine);
    LrLoadReport none = {};
    for (int i = 0; i < 20; i++) {
        LrTargets_OnSuccess(router, target, 20 * EngineHarness::kMs, world.now,
                            &none, 20 * EngineHarness::kMs);
    }
    EXPECT_NEAR(
        LrTargets_SmoothedLatency(target, world.now, 7 * EngineHarness::kMs),
        7.0 * EngineHarness::kMs, 0.1 * EngineHarness::kMs);
    EXPECT_NEAR(
        LrTargets_SmoothedLatency(target, world.now, 20 * EngineHarness::kMs),
        20.0 * EngineHarness::kMs, 0.1 * EngineHarness::kMs);
}

// Two slow answers in turn are enough to know a slow target for what it is;
// requests that one standstill has delayed are one sign, not many.
TEST(Placement, ATargetThatIsSlowTwiceInTurnIsBelieved)
{
    const LrTime typical = 20 * EngineHarness::kMs;
    const LrTime slow = 200 * EngineHarness::kMs;
    for (bool overlap : {true, false}) {
        RoutedHarness world(1, 1);
        LrTargets *router = LrEngine_Targets(world.engine);
        LrTarget *target = world.target(LOCAL);
        LrLoadReport none = {};
        LrTime now = world.now + LR_SECOND;
        LrTargets_OnSuccess(router, target, typical, now, &none, typical);
        now += slow;
        LrTargets_OnSuccess(router, target, slow, now, &none, typical);
        now += overlap ? EngineHarness::kMs : slow + EngineHarness::kMs;
        LrTargets_OnSuccess(router, target, slow, now, &none, typical);
        double service = LrTargets_SmoothedLatency(target, now, typical);
        EXPECT_EQ(service >= 0.9 * slow, !overlap) << service;
    }
}

// A new connection costs its set-up, and a target that is short of places for
// connections may reset it.
TEST(Placement, ATargetWithAnIdleConnectionGoesFirst)
{
    RoutedHarness world(1, 3);
    world.warm();
    const char other[] = "127.0.0.1:1";
    EXPECT_EQ(firsts_at(world, LOCAL, LR_REPLY_OK, 20), 20);
    world.target(other)->idle_connections = 1;
    EXPECT_EQ(firsts_at(world, other, LR_REPLY_OK, 20), 20);
    world.target(LOCAL)->idle_connections = 1;
    EXPECT_EQ(firsts_at(world, LOCAL, LR_REPLY_OK, 20), 20);
}
