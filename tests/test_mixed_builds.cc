// Daemons of the last release beside those of this build, while hosts are
// replaced one after the other.
#include "routed.h"

#include <algorithm>

namespace {

constexpr int BASE = 23700;
constexpr int N = 6;
constexpr int N_TRIES = 10;
// The two hosts of a zone.
constexpr int STRONG = 1;
constexpr int WEAK = 4;

class MixedBuilds : public testing::Test {
  protected:
    // Hosts that run the last release; the others run this build.
    void
    make(const std::vector<int> &old_hosts)
    {
        fleet = std::make_unique<RoutedFleet>(BASE, 0);
        fleet->proxied = true;
        fleet->resize(N);
        for (int i : old_hosts) {
            fleet->programs[i] = LR_RELEASE_BIN "/lavenderraild";
        }
        for (int i = 1; i <= N; i++) {
            fleet->start(i);
        }
        fleet->setup();
        for (int i = 1; i <= N; i++) {
            ASSERT_TRUE(eventually([&] { return fleet->ready(i); })) << i;
            ASSERT_TRUE(eventually([&] { return fleet->knows_all(i); })) << i;
            ASSERT_TRUE(eventually([&] { return fleet->serves(i); })) << i;
        }
    }
    // Requests at the host that got a complete answer.
    int
    served(int host, const std::string &path, const std::string &name)
    {
        int count = 0;
        for (int n = 0; n < N_TRIES; n++) {
            std::string id = name + std::to_string(n);
            count += fleet->ask(host, path + id, id).status == 200;
        }
        return count;
    }
    void
    expect_served(int host, const std::string &name)
    {
        EXPECT_EQ(served(host, "/c/", name + "single"), N_TRIES) << name;
        EXPECT_EQ(served(host, "/s/", name + "gather"), N_TRIES) << name;
    }
    void
    cut_off(int host)
    {
        fleet->cut(host, TcpProxy::Cut::RESET);
        ASSERT_TRUE(eventually([&] {
            fleet->ask(host, "/s/x", "cut");
            return http(fleet->operators(host, "/state"))
                       .body.find("\"target_reach\": \"cut_off\"") !=
                   std::string::npos;
        }));
    }
    // The host comes back with this build.
    void
    replace(int host)
    {
        fleet->daemons[(size_t)host]->signal(SIGTERM);
        EXPECT_EQ(fleet->daemons[(size_t)host]->wait(), 0);
        fleet->programs.erase(host);
        fleet->start(host);
        ASSERT_TRUE(eventually([&] { return fleet->ready(host); })) << host;
        ASSERT_TRUE(eventually([&] { return fleet->serves(host); })) << host;
    }

    std::unique_ptr<RoutedFleet> fleet;
};

} // namespace

TEST_F(MixedBuilds, AHostWithoutTargetsIsServedWhileTheOthersAreReplaced)
{
    ASSERT_NO_FATAL_FAILURE(make({1, 2, 3, 4, 5, 6}));
    cut_off(WEAK);
    for (int host : {2, 3, 5, 6, STRONG}) {
        replace(host);
        expect_served(WEAK, "after" + std::to_string(host));
        expect_served(host, "of" + std::to_string(host));
    }
}

TEST_F(MixedBuilds, AHostOfTheReleaseIsServedWhileItsZonesNewHostStops)
{
    ASSERT_NO_FATAL_FAILURE(make({WEAK, 2}));
    cut_off(WEAK);
    expect_served(WEAK, "before");
    fleet->daemons[STRONG]->signal(SIGTERM);
    expect_served(WEAK, "stop");
}

TEST_F(MixedBuilds, ANewHostIsServedWhileItsZonesHostOfTheReleaseStops)
{
    ASSERT_NO_FATAL_FAILURE(make({STRONG, 2}));
    cut_off(WEAK);
    expect_served(WEAK, "before");
    fleet->daemons[STRONG]->signal(SIGTERM);
    expect_served(WEAK, "stop");
}

// Without the store a host learns the configuration from its peers.
TEST_F(MixedBuilds, ConfigurationsPassBetweenTheBuilds)
{
    const std::vector<int> old_hosts = {1, 4, 5};
    const std::vector<int> new_hosts = {2, 3, 6};
    ASSERT_NO_FATAL_FAILURE(make(old_hosts));
    for (const std::vector<int> &learners : {new_hosts, old_hosts}) {
        int learner = learners.back();
        for (int host : learners) {
            fleet->daemons[(size_t)host].reset();
        }
        fleet->start(learner, "http://127.0.0.1:1");
        EXPECT_TRUE(eventually([&] { return fleet->serves(learner); }))
            << "host " << learner;
        fleet->daemons[(size_t)learner].reset();
        for (int host : learners) {
            fleet->start(host);
        }
        for (int host : learners) {
            ASSERT_TRUE(eventually([&] { return fleet->serves(host); }))
                << host;
        }
    }
}

// Changes of a long configuration are passed on as patches, which the release
// doesn't know: it gets and gives the whole.
TEST_F(MixedBuilds, ChangesOfALongConfigurationPassBetweenTheBuilds)
{
    constexpr size_t CONFIG_BYTES = 300000;
    int version = 1;
    for (const std::vector<int> &old_hosts :
         {std::vector<int>{1, 4, 5}, std::vector<int>{2, 3, 6}}) {
        ASSERT_NO_FATAL_FAILURE(make(old_hosts));
        fleet->config(++version, many_routes(CONFIG_BYTES));
        // The readers run one build, the hosts without the store the other.
        for (int i = 1; i <= N; i++) {
            bool reads = std::find(old_hosts.begin(), old_hosts.end(), i) !=
                         old_hosts.end();
            if (!reads) {
                fleet->daemons[(size_t)i].reset();
                fleet->start(i, "http://127.0.0.1:1");
            }
        }
        for (int change = 0; change < 3; change++) {
            std::string path = "/only" + std::to_string(change) + "/";
            std::string route =
                ",{\"name\":\"only\",\"host\":\"q.example\",\"prefix\":\"" +
                path +
                "\",\"type\":\"idempotent\",\"timeout_ms\":1500,"
                "\"service\":\"c\",\"max_attempts\":2}";
            fleet->config(++version, many_routes(CONFIG_BYTES) + route);
            for (int i = 1; i <= N; i++) {
                EXPECT_TRUE(eventually([&] {
                    return fleet->ask(i, path + "x", "probe").status == 200;
                })) << "host "
                    << i << " change " << change;
            }
        }
        fleet.reset();
    }
}

TEST_F(MixedBuilds, TargetsThatSayTheyAreLeavingAreKnownToBothBuilds)
{
    ASSERT_NO_FATAL_FAILURE(make({1, 2, 3}));
    const struct {
        int host;
        const char *path;
        const char *targets[2];
    } cases[] = {{1, "/c/x", {"c1", "c2"}}, {5, "/w/x", {"a1", "a2"}}};
    for (const auto &one : cases) {
        // Either may be the one that the host asks.
        for (const char *target : one.targets) {
            fleet->fault(target, "leaving", 1);
        }
        EXPECT_EQ(fleet->ask(one.host, one.path, one.path).status, 200);
        auto ran = fleet->runs(one.path);
        std::string told;
        for (const char *target : one.targets) {
            if (std::count(ran.begin(), ran.end(), target) > 0) {
                told = target;
            }
        }
        ASSERT_NE(told, "");
        for (int i = 1; i <= N; i++) {
            EXPECT_TRUE(eventually([&] { return fleet->is_leaving(i, told); }))
                << i << " of " << told;
        }
    }
}

// Hosts of the release read no evacuations. Their digests must not differ, and
// what they pass on must not end an evacuation at hosts of this build, also
// where they are the first readers of a zone.
TEST_F(MixedBuilds, HostsOfThisBuildHeedAnEvacuation)
{
    make({1, 2, 3});
    fleet->server("c3", "c", 7, "z1");
    for (int i : {4, 5, 6}) {
        ASSERT_TRUE(eventually([&] {
            return served(i, "/c/", "before") == N_TRIES &&
                   http(fleet->operators(i, "/state")).body.find("\"c3@") !=
                       std::string::npos;
        })) << i;
    }
    fleet->control("raw?key=op/evacuate/z1", "{}");
    for (int i : {4, 5, 6}) {
        EXPECT_TRUE(eventually([&] { return fleet->is_evacuated(i, "c3"); }))
            << i;
    }
    for (int version = 2; version < 6; version++) {
        fleet->config(version);
        for (int i : {4, 5, 6}) {
            expect_served(i, "during" + std::to_string(version));
            EXPECT_TRUE(fleet->is_evacuated(i, "c3")) << i;
        }
    }
    for (int64_t after : fleet->evacuated_times()) {
        EXPECT_LE(after, 5000);
    }
    fleet->control("remove?key=op/evacuate/z1");
    for (int i : {4, 5, 6}) {
        EXPECT_TRUE(eventually([&] { return !fleet->is_evacuated(i, "c3"); }))
            << i;
    }
}
