// Which daemons gather queries for which others; and that aggregators avoid a
// slow target in a fleet of hundreds of daemons, where each daemon alone sends
// a target too few requests to tell that it is slow.
#include "aggregators.h"

#include <cmath>
#include <memory>

#include "routed_harness.h"

namespace {

class Zone {
  public:
    Zone(int n_fast, int n_slow, const std::string &self)
    {
        for (int i = 0; i < n_fast + n_slow; i++) {
            names.push_back("d" + std::to_string(i));
            addresses.push_back("10.0.0." + std::to_string(i) + ":1");
        }
        for (size_t i = 0; i < names.size(); i++) {
            daemons.push_back({LrStr_FromC(names[i].c_str()),
                               LrStr_FromC("z0"),
                               LrStr_FromC(addresses[i].c_str()),
                               (int)i < n_fast ? 0.5 : 0.12});
        }
        random = LrRandom_New(7);
        availability = LrPeerAvailability_New();
        aggregators =
            LrAggregators_New(LrStr_FromC(self.c_str()), LrStr_FromC("z0"),
                              availability, random, nullptr);
    }
    ~Zone()
    {
        LrAggregators_Free(aggregators);
        LrPeerAvailability_Free(availability);
        LrRandom_Free(random);
    }
    void
    set_known_daemons(size_t n)
    {
        LrPeerAvailability_SetDaemons(availability, daemons.data(), n);
        LrAggregators_SetDaemons(aggregators, now, daemons.data(), n);
    }
    // Makes all daemons known for long enough that the zone counts as settled.
    void
    settle()
    {
        set_known_daemons(daemons.size());
        now += 2 * LR_SECOND;
        set_known_daemons(daemons.size());
    }
    std::string
    pick(const LrDeclinedBy *declined_by = nullptr)
    {
        LrStr address = LrAggregators_Pick(aggregators, declined_by, now);
        return {address.ptr, address.len};
    }
    std::map<std::string, int>
    picks(int n)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; i++) {
            counts[pick()]++;
        }
        return counts;
    }

    std::vector<std::string> names;
    std::vector<std::string> addresses;
    std::vector<LrPeerSpec> daemons;
    LrRandom *random;
    LrPeerAvailability *availability;
    LrAggregators *aggregators;
    LrTime now = 100 * LR_SECOND;
};

} // namespace

TEST(Aggregators, DaemonsOfASmallZoneGatherForThemselves)
{
    Zone zone(3, 4, "d5");
    zone.settle();
    EXPECT_EQ(zone.pick(), "");
    EXPECT_EQ(LrAggregators_Count(zone.aggregators), 7U);
    EXPECT_EQ(LrAggregators_LimitDivisor(zone.aggregators), 7);
}

TEST(Aggregators, TheFastestOfALargeZoneGatherByTheirSpeed)
{
    Zone zone(3, 55, "d20");
    zone.settle();
    EXPECT_EQ(LrAggregators_Count(zone.aggregators), 3U);
    std::map<std::string, int> picks = zone.picks(3000);
    ASSERT_EQ(picks.size(), 3U);
    for (const char *address : {"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}) {
        EXPECT_NEAR(picks[address], 1000, 150) << address;
    }
    Zone fast(3, 55, "d1");
    fast.settle();
    EXPECT_TRUE(LrAggregators_IncludesSelf(fast.aggregators));
    EXPECT_EQ(fast.pick(), "") << "an aggregator gathers its own queries";
}

TEST(Aggregators, MoreAggregatorsWhereAllDaemonsAreSlow)
{
    Zone zone(0, 60, "d20");
    zone.settle();
    EXPECT_EQ(LrAggregators_Count(zone.aggregators), 10U);
}

TEST(Aggregators, ADaemonThatJustStartedGathersForItself)
{
    Zone zone(3, 55, "d20");
    for (size_t known = 1; known <= 58; known += 3) {
        zone.set_known_daemons(known);
        EXPECT_EQ(zone.pick(), "") << known;
        zone.now += 300 * LR_MILLISECOND;
    }
    zone.settle();
    EXPECT_NE(zone.pick(), "");
}

TEST(Aggregators, AnAggregatorThatFailedIsInBackoff)
{
    Zone zone(3, 55, "d20");
    zone.settle();
    LrPeerAvailability_OnFailed(zone.availability, LrStr_FromC("10.0.0.0:1"),
                                zone.now);
    EXPECT_EQ(zone.picks(500).count("10.0.0.0:1"), 0U);
    LrPeerAvailability_OnFailed(zone.availability, LrStr_FromC("10.0.0.1:1"),
                                zone.now);
    LrPeerAvailability_OnFailed(zone.availability, LrStr_FromC("10.0.0.2:1"),
                                zone.now);
    EXPECT_EQ(zone.pick(), "") << "none left: the daemon gathers itself";
    zone.now += 3 * LR_SECOND;
    EXPECT_EQ(zone.picks(500).size(), 3U);
}

TEST(Aggregators, AnAggregatorThatAcceptsLateGetsFewerQueries)
{
    Zone zone(3, 55, "d20");
    zone.settle();
    for (int i = 0; i < 10; i++) {
        LrAggregators_OnAccepted(zone.aggregators, LrStr_FromC("10.0.0.0:1"),
                                 25 * LR_MILLISECOND, zone.now);
    }
    EXPECT_LE(zone.picks(3000)["10.0.0.0:1"], 500)
        << "a ninth: only if both draws pick it";
    zone.now += 20 * LR_SECOND;
    EXPECT_GE(zone.picks(3000)["10.0.0.0:1"], 800) << "the delay has decayed";
}

// The daemons' shares of a fleet-wide limit must not add up to more than the
// limit.
TEST(Aggregators, TheSharesOfAllDaemonsStayWithinTheLimit)
{
    for (int n_slow : {2, 20, 55, 120}) {
        double sum = 0;
        for (int i = 0; i < 3 + n_slow; i++) {
            Zone zone(3, n_slow, "d" + std::to_string(i));
            zone.settle();
            sum += 1 / LrAggregators_LimitDivisor(zone.aggregators);
        }
        EXPECT_LE(sum, 1.0 + 1e-9) << n_slow;
        EXPECT_GE(sum, 0.75) << n_slow;
    }
}

namespace {

// Counts the first attempts at the slow one of three replicas, of 480 queries
// that reach a zone of 58 daemons in 20 s. The slow replica is the local one,
// which is preferred, and eight times slower.
int
first_attempts_at_slow(bool aggregate)
{
    constexpr int N_DAEMONS = 58;
    const std::string slow = "127.0.0.0:1";
    std::vector<std::unique_ptr<RoutedHarness>> worlds;
    std::vector<std::unique_ptr<Zone>> zones;
    for (int i = 0; i < N_DAEMONS; i++) {
        worlds.push_back(std::make_unique<RoutedHarness>(1, 3));
        worlds.back()->warm();
        zones.push_back(
            std::make_unique<Zone>(3, N_DAEMONS - 3, "d" + std::to_string(i)));
        zones.back()->settle();
    }
    LrRandom *random = LrRandom_New(11);
    int n_firsts = 0;
    for (int n = 0; n < 480; n++) {
        size_t at = LrRandom_Below(random, N_DAEMONS);
        std::string address = aggregate ? zones[at]->pick() : "";
        for (size_t i = 0; i < N_DAEMONS && !address.empty(); i++) {
            at = zones[0]->addresses[i] == address ? i : at;
        }
        RoutedHarness &world = *worlds[at];
        world.submit("ask", false, ("q" + std::to_string(n)).c_str());
        n_firsts += world.sends.front().address == slow;
        LrTime done = 0;
        while (!world.sends.empty()) {
            Send send = world.take();
            LrTime work =
                (send.address == slow ? 80 : 10) * EngineHarness::kMs;
            world.advance(work);
            done += work;
            world.reply(send, LR_REPLY_OK);
        }
        for (auto &other : worlds) {
            if (other.get() != &world) {
                other->advance(42 * EngineHarness::kMs);
            }
        }
        world.advance(42 * EngineHarness::kMs);
    }
    LrRandom_Free(random);
    return n_firsts;
}

} // namespace

TEST(Aggregators, FewAggregatorsAvoidASlowTargetBetterThanAllDaemons)
{
    int each = first_attempts_at_slow(false);
    int few = first_attempts_at_slow(true);
    EXPECT_LE(few, each / 2) << each;
}

TEST(Aggregators, AQueryIsNotOfferedAgainToThoseThatDeclinedIt)
{
    Zone zone(3, 55, "d20");
    zone.settle();
    LrDeclinedBy *declined_by = LrDeclinedBy_New();
    LrDeclinedBy_Add(declined_by, LrStr_FromC("10.0.0.0:1"));
    LrDeclinedBy_Add(declined_by, LrStr_FromC("10.0.0.1:1"));
    for (int i = 0; i < 100; i++) {
        EXPECT_EQ(zone.pick(declined_by), "10.0.0.2:1");
    }
    g_ptr_array_unref(declined_by);
}
