// Daemons that lose their links to all targets, while callers and the other
// daemons still reach them.
#include "routed.h"

namespace {

constexpr int BASE = 33600;
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
            EXPECT_TRUE(eventually([&] { return fleet.knows_all(i); }));
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
    is_cut_off(int daemon) const
    {
        return http(fleet.operators(daemon, "/state"))
                   .body.find("\"target_reach\": \"cut_off\"") !=
               std::string::npos;
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
