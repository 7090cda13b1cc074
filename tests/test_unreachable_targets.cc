// Daemons that lose their links to all targets, while callers and the other
// daemons still reach them.
#include "routed.h"

namespace {

constexpr int BASE = 32600;
constexpr int N_TRIES = 10;

using Cut = TcpProxy::Cut;

class Cluster {
  public:
    explicit Cluster(int base, int n_daemons = 3, int n_zones = 3)
        : fleet(base, n_daemons, n_zones), n(n_daemons)
    {
        fleet.proxied = true;
        fleet.setup();
        for (int i = 1; i <= n; i++) {
            EXPECT_TRUE(eventually([&] { return fleet.ready(i); }));
            EXPECT_TRUE(eventually([&] { return knows_delegates(i); }));
            EXPECT_TRUE(eventually([&] { return fleet.serves(i); }));
        }
    }
    // Requests of that path at the daemon that got a complete answer.
    int
    served(int daemon, const std::string &path, const std::string &name)
    {
        int count = 0;
        for (int i = 0; i < N_TRIES; i++) {
            std::string id = name + std::to_string(i);
            RoutedAnswer answer =
                fleet.ask(daemon, path + id, id, "POST", "{}");
            bool whole = answer.header("X-Missing-Parts") == "0" ||
                         path.find("/s/") != 0;
            count += answer.status == 200 && whole;
        }
        return count;
    }
    bool
    shows(int daemon, const std::string &text) const
    {
        return http(fleet.operators(daemon, "/state")).body.find(text) !=
               std::string::npos;
    }
    bool
    is_cut_off(int daemon) const
    {
        return shows(daemon, "\"target_reach\": \"cut_off\"");
    }
    bool
    knows_delegates(int daemon) const
    {
        return shows(daemon, "\"delegates\": " + std::to_string(n - 1));
    }
    // Cuts the daemon off, and sends it requests until it has noticed.
    void
    cut(int daemon, Cut how)
    {
        fleet.cut(daemon, how);
        EXPECT_TRUE(eventually([&] {
            RawCaller callers[3] = {RawCaller(fleet.port(daemon)),
                                    RawCaller(fleet.port(daemon)),
                                    RawCaller(fleet.port(daemon))};
            for (RawCaller &caller : callers) {
                caller.send(
                    RoutedFleet::request("/s/x", "cut", "GET", "", 900));
            }
            for (RawCaller &caller : callers) {
                caller.read();
            }
            return is_cut_off(daemon);
        }));
    }

    RoutedFleet fleet;
    int n;
};

std::string
cut_name(const testing::TestParamInfo<Cut> &info)
{
    return info.param == Cut::HANG    ? "Hanging"
           : info.param == Cut::RESET ? "Reset"
                                      : "NewOnesReset";
}

class UnreachableTargets : public testing::TestWithParam<Cut> {};

} // namespace

INSTANTIATE_TEST_SUITE_P(Connections, UnreachableTargets,
                         testing::Values(Cut::HANG, Cut::RESET,
                                         Cut::RESET_NEW),
                         cut_name);

TEST_P(UnreachableTargets, CallersOfAHostThatIsCutOffAreServed)
{
    Cluster cluster(BASE);
    cluster.cut(1, GetParam());
    EXPECT_EQ(cluster.served(1, "/s/", "gather"), N_TRIES);
    EXPECT_EQ(cluster.served(1, "/c/", "single"), N_TRIES);
    EXPECT_EQ(cluster.served(1, "/o/", "order"), N_TRIES);
    for (int i = 0; i < N_TRIES; i++) {
        EXPECT_EQ(cluster.fleet.runs("order" + std::to_string(i)).size(), 1U)
            << "runs once at most";
    }
}

TEST_P(UnreachableTargets, HostsThatAreCutOffDoNotPassRequestsToEachOther)
{
    Cluster cluster(BASE);
    cluster.cut(1, GetParam());
    cluster.cut(2, GetParam());
    for (int daemon : {1, 2}) {
        std::string name = "of" + std::to_string(daemon);
        EXPECT_EQ(cluster.served(daemon, "/s/", name + "gather"), N_TRIES);
        EXPECT_EQ(cluster.served(daemon, "/o/", name + "order"), N_TRIES);
    }
}

// Five of six: the one that is left is found by declined offers.
TEST_P(UnreachableTargets, TheLastHostThatReachesThemServesForAll)
{
    constexpr int N = 6;
    Cluster cluster(BASE, N);
    for (int i = 1; i < N; i++) {
        cluster.cut(i, GetParam());
    }
    for (int i = 1; i < N; i++) {
        std::string name = "of" + std::to_string(i);
        EXPECT_EQ(cluster.served(i, "/s/", name + "gather"), N_TRIES);
        EXPECT_EQ(cluster.served(i, "/c/", name + "single"), N_TRIES);
    }
}

TEST_P(UnreachableTargets, NoTargetIsTakenAsCrashed)
{
    Cluster cluster(BASE);
    cluster.cut(1, GetParam());
    for (int i = 1; i <= cluster.n; i++) {
        EXPECT_EQ(cluster.fleet.counter(i, "crashes"), 0) << i;
    }
    for (int i = 2; i <= cluster.n; i++) {
        EXPECT_EQ(cluster.fleet.counter(i, "ejections"), 0)
            << "a host that is cut off tells of its own links only";
    }
}

TEST_P(UnreachableTargets, AHostThatIsBackServesItsCallersItself)
{
    Cluster cluster(BASE);
    cluster.cut(1, GetParam());
    cluster.fleet.cut(1, Cut::NONE);
    ASSERT_TRUE(eventually([&] { return !cluster.is_cut_off(1); }));
    ASSERT_TRUE(eventually([&] {
        long before = cluster.fleet.counter(1, "delegated");
        return cluster.served(1, "/s/", "back") == N_TRIES &&
               cluster.fleet.counter(1, "delegated") == before;
    }));
}

TEST(UnreachableTargetsOfAll, RequestsAreRefusedAtOnceAndHaveNotRun)
{
    Cluster cluster(BASE);
    for (int i = 1; i <= cluster.n; i++) {
        cluster.cut(i, Cut::HANG);
    }
    RoutedAnswer answer;
    EXPECT_TRUE(eventually([&] {
        auto begin = std::chrono::steady_clock::now();
        answer = cluster.fleet.ask(1, "/o/late", "late", "POST", "{}");
        auto taken = std::chrono::steady_clock::now() - begin;
        return answer.status == 503 && taken < std::chrono::milliseconds(500);
    }));
    EXPECT_NE(answer.header("Retry-After"), "");
    for (int i = 1; i <= cluster.n; i++) {
        cluster.fleet.cut(i, Cut::NONE);
    }
    EXPECT_TRUE(eventually([&] { return cluster.fleet.serves(1); }));
    EXPECT_EQ(cluster.fleet.runs("late").size(), 0U);
}

TEST(UnreachableTargetsOfAggregators, QueriesGoToTheOthersOfTheZone)
{
    Cluster cluster(BASE, 8, 1);
    ASSERT_TRUE(eventually([&] {
        cluster.fleet.ask(8, "/s/x", "early");
        return cluster.fleet.counter(8, "forwarded") > 0;
    }));
    for (int i = 1; i <= RoutedFleet::N_STRONG; i++) {
        cluster.cut(i, Cut::HANG);
    }
    for (int daemon : {1, 2, 8}) {
        EXPECT_EQ(cluster.served(daemon, "/s/", std::to_string(daemon)),
                  N_TRIES);
    }
}

TEST(UnreachableTargetsOfOneHost, ADelegatedRequestIsCancelledWithItsCaller)
{
    Cluster cluster(BASE);
    cluster.cut(1, Cut::RESET);
    for (const char *target : {"c1", "c2"}) {
        cluster.fleet.fault(target, "pause_ms", 5000);
    }
    RawCaller caller(cluster.fleet.port(1));
    caller.send(RoutedFleet::request("/c/x", "left", "GET", "", 8000));
    ASSERT_TRUE(
        eventually([&] { return !cluster.fleet.runs("left").empty(); }));
    caller.close_now();
    EXPECT_TRUE(eventually([&] {
        for (int i = 1; i <= cluster.n; i++) {
            std::string state =
                http(cluster.fleet.operators(i, "/state")).body;
            if (state.find("\"attempts\": 0") == std::string::npos) {
                return false;
            }
        }
        return true;
    }));
}

// Its delegates get the answers in which targets say so.
TEST(UnreachableTargetsOfOneHost, TargetsThatSayTheyAreLeavingAreKnownThere)
{
    Cluster cluster(BASE);
    cluster.cut(1, Cut::RESET);
    cluster.fleet.fault("c1", "leaving", 1);
    cluster.fleet.fault("c2", "leaving", 1);
    ASSERT_EQ(cluster.fleet.ask(1, "/c/x", "told").status, 200);
    auto ran = cluster.fleet.runs("told");
    ASSERT_EQ(ran.size(), 1U);
    EXPECT_TRUE(
        eventually([&] { return cluster.fleet.is_leaving(1, ran[0]); }));
}

// The other daemon of its zone, which has most of the zone's CPU, declines
// while it stops: requests go to other zones instead of being refused.
TEST(UnreachableTargetsOfOneHost, RequestsAreServedWhileTheZonesOtherHostStops)
{
    Cluster cluster(BASE, 6);
    cluster.cut(4, Cut::RESET);
    EXPECT_EQ(cluster.served(4, "/c/", "before"), N_TRIES);
    cluster.fleet.daemons[1]->signal(SIGTERM);
    EXPECT_EQ(cluster.served(4, "/c/", "stop"), N_TRIES);
    EXPECT_EQ(cluster.served(4, "/s/", "gather"), N_TRIES);
}

// Its targets reject new connections and go on with what they have: a request
// that runs is neither given up nor run again by another daemon.
TEST(UnreachableTargetsOfOneHost, ARequestThatRunsOnAnOpenConnectionGoesOn)
{
    Cluster cluster(BASE);
    cluster.fleet.config(
        2, ",{\"name\":\"single\",\"host\":\"q.example\","
           "\"prefix\":\"/single/\",\"type\":\"idempotent\","
           "\"timeout_ms\":9000,\"service\":\"c\",\"max_attempts\":1}");
    ASSERT_TRUE(eventually([&] {
        return cluster.fleet.ask(1, "/single/x", "before").status == 200;
    }));
    for (const char *target : {"c1", "c2"}) {
        cluster.fleet.fault(target, "pause_ms", 3000);
    }
    RawCaller caller(cluster.fleet.port(1));
    caller.send(RoutedFleet::request("/single/x", "kept", "GET", "", 9000));
    ASSERT_TRUE(
        eventually([&] { return cluster.fleet.runs("kept").size() == 1; }));
    cluster.cut(1, Cut::RESET_NEW);
    EXPECT_EQ(caller.read().status, 200);
    EXPECT_EQ(cluster.fleet.runs("kept").size(), 1U);
}
