// Which daemons connect to which shards: connections are bounded, all daemons
// make the same assignment, and few ranges change when a daemon is lost.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lavenderrail.h"

class SubsetTest : public testing::Test {
  protected:
    static constexpr size_t N_DAEMONS = 650, N_GROUPS = 1366, N_ZONES = 10;

    void
    SetUp() override
    {
        for (size_t z = 0; z < N_ZONES; z++) {
            zones.push_back("z" + std::to_string(z));
        }
        for (size_t i = 0; i < N_DAEMONS; i++) {
            names.push_back("daemon-" + std::to_string(i));
        }
        for (size_t i = 0; i < N_DAEMONS; i++) {
            daemons.push_back({str(names[i]), str(zones[i % N_ZONES]),
                               LrStr_FromC("127.0.0.1:1")});
        }
        replicas.resize(N_GROUPS * 3);
        groups.resize(N_GROUPS);
        for (size_t g = 0; g < N_GROUPS; g++) {
            for (size_t r = 0; r < 3; r++) {
                replicas[g * 3 + r].zone =
                    str(zones[(LrSubset_ShardRange(g) + r) % N_ZONES]);
            }
            groups[g] = {LrStr_FromC("g"), &replicas[g * 3], 3};
        }
        map = {1, groups.data(), groups.size()};
    }
    static LrStr
    str(const std::string &text)
    {
        return {text.data(), text.size()};
    }
    std::vector<size_t>
    choose(size_t range, size_t n, size_t size)
    {
        std::vector<size_t> chosen(size);
        LrSubset_ChooseDaemons(daemons.data(), n, LrStr_FromC("s"), &map,
                               range, size, chosen.data());
        return chosen;
    }

    std::vector<std::string> zones, names;
    std::vector<LrPeerSpec> daemons;
    std::vector<LrTargetSpec> replicas;
    std::vector<LrGroupSpec> groups;
    LrShardMapSpec map;
};

TEST_F(SubsetTest, ConnectionsOfATargetAreBounded)
{
    for (uint32_t connections : {30u, 50u, 100u}) {
        size_t size = LrSubset_DaemonsPerTarget(connections, 3, N_DAEMONS);
        EXPECT_LE(size * 3, connections) << "with room for replacements";
        EXPECT_GE(size, 2u);
    }
    for (size_t n : {1u, 3u, 8u, 650u}) {
        size_t size = LrSubset_DaemonsPerTarget(30, 3, n);
        EXPECT_LE(size * LrSubset_ConnectionsPerDaemon(30, size), 30u)
            << n << " daemons";
    }
    EXPECT_EQ(LrSubset_DaemonsPerTarget(30, 3, 8), 8u)
        << "every daemon of a small fleet connects";
}

TEST_F(SubsetTest, DaemonsOfTheReplicasZonesComeFirst)
{
    size_t size = LrSubset_DaemonsPerTarget(30, 3, N_DAEMONS);
    size_t last = LrSubset_ShardRange(N_GROUPS - 1);
    for (size_t range = 0; range <= last; range++) {
        for (size_t i : choose(range, N_DAEMONS, size)) {
            size_t distance = (i % N_ZONES + N_ZONES - range % N_ZONES);
            EXPECT_LT(distance % N_ZONES, 3u);
        }
    }
}

TEST_F(SubsetTest, LossOfADaemonChangesOnlyItsRanges)
{
    size_t size = 8, moved = 0, kept = 0;
    size_t last = LrSubset_ShardRange(N_GROUPS - 1);
    for (size_t range = 0; range <= last; range++) {
        std::vector<size_t> before = choose(range, N_DAEMONS, size);
        std::vector<size_t> after = choose(range, N_DAEMONS - 1, size);
        std::set<size_t> old(before.begin(), before.end());
        for (size_t i : after) {
            (old.count(i) ? kept : moved)++;
        }
    }
    EXPECT_GT(kept, 600u);
    EXPECT_LE(moved, 8u);
}

// A few daemons use all replicas of a group. Where there are many, each leaves
// most targets to the others, since the connections of a daemon that lost
// power stay open at a target for seconds.
TEST(Subset, ManyDaemonsShareTheConnectionsOfATarget)
{
    EXPECT_EQ(LrSubset_ReplicasPerDaemon(30, 3, 0), 3u)
        << "the fleet is not known";
    EXPECT_EQ(LrSubset_ReplicasPerDaemon(30, 3, 6), 3u);
    EXPECT_EQ(LrSubset_ReplicasPerDaemon(30, 3, 9), 3u);
    EXPECT_EQ(LrSubset_ReplicasPerDaemon(62, 3, 61), 1u);
    EXPECT_EQ(LrSubset_ReplicasPerDaemon(62, 1, 1000), 1u);
}

TEST(Subset, RanksSpreadDaemonsEvenlyOverReplicas)
{
    const char *const targets[] = {"t1", "t2", "t3"};
    int firsts[3] = {};
    for (int i = 0; i < 3000; i++) {
        std::string daemon = "daemon-" + std::to_string(i);
        LrStr name = {daemon.data(), daemon.size()};
        size_t best = 0;
        for (size_t j = 1; j < 3; j++) {
            if (LrSubset_ReplicaRank(name, LrStr_FromC(targets[j])) <
                LrSubset_ReplicaRank(name, LrStr_FromC(targets[best]))) {
                best = j;
            }
        }
        firsts[best]++;
    }
    for (int count : firsts) {
        EXPECT_NEAR(count, 1000, 150);
    }
}
