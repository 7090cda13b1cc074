// Forwarding of queries to the aggregators of a zone, with real processes.
#include "routed.h"

namespace {

constexpr int BASE = 28400;
constexpr int N_DAEMONS = 8;

long
served_by_aggregators(const RoutedFleet &fleet)
{
    long sum = 0;
    for (int i = 1; i <= RoutedFleet::N_STRONG; i++) {
        sum += std::max(0L, fleet.counter(i, "forward_served"));
    }
    return sum;
}

} // namespace

class ForwardTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        fleet = std::make_unique<RoutedFleet>(BASE, N_DAEMONS, 1);
        fleet->setup();
        for (int i = 1; i <= N_DAEMONS; i++) {
            ASSERT_TRUE(eventually([&] { return fleet->ready(i); }));
        }
        for (int i = RoutedFleet::N_STRONG + 1; i <= N_DAEMONS; i++) {
            ASSERT_TRUE(eventually([&] {
                fleet->ask(i, "/w/x", "early");
                return fleet->counter(i, "forwarded") > 0;
            }));
        }
        ASSERT_TRUE(eventually([&] { return fleet->serves(N_DAEMONS); }));
    }

    std::unique_ptr<RoutedFleet> fleet;
};

TEST_F(ForwardTest, AggregatorsOfAZoneServeTheOtherDaemons)
{
    long before = served_by_aggregators(*fleet);
    for (int n = 0; n < 6; n++) {
        std::string id = "q" + std::to_string(n);
        RoutedAnswer answer = fleet->ask(4 + n % 5, "/w/x", id);
        EXPECT_EQ(answer.status, 200);
        EXPECT_EQ(answer.header("X-Missing-Parts"), "0");
        EXPECT_EQ(answer.body.size(), 80U);
        EXPECT_NE(answer.header("X-Part-Seals").find("seal-" + id + "-a"),
                  std::string::npos);
        EXPECT_EQ(fleet->runs(id).size(), 2U) << "one for each shard";
    }
    EXPECT_GE(served_by_aggregators(*fleet), before + 6);
}

TEST_F(ForwardTest, NonIdempotentRequestsAreNotForwarded)
{
    long before = served_by_aggregators(*fleet);
    EXPECT_EQ(fleet->ask(N_DAEMONS, "/o/x", "order").status, 200);
    EXPECT_EQ(fleet->runs("order").size(), 1U);
    EXPECT_EQ(served_by_aggregators(*fleet), before);
}

// Two of three aggregators are paused: no query is lost, and no shard is asked
// twice when they resume.
TEST_F(ForwardTest, PausedAggregatorsAreSkipped)
{
    fleet->daemons[1]->signal(SIGSTOP);
    fleet->daemons[2]->signal(SIGSTOP);
    for (int n = 0; n < 6; n++) {
        std::string id = "still" + std::to_string(n);
        RoutedAnswer answer = fleet->ask(4 + n % 5, "/w/x", id);
        EXPECT_EQ(answer.status, 200) << n;
    }
    fleet->daemons[1]->signal(SIGCONT);
    fleet->daemons[2]->signal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    for (int n = 0; n < 6; n++) {
        EXPECT_EQ(fleet->runs("still" + std::to_string(n)).size(), 2U)
            << "offers that are read late are not started";
    }
    EXPECT_EQ(fleet->ask(N_DAEMONS, "/w/x", "awake").status, 200);
}

TEST_F(ForwardTest, AGracefulShutdownOfAggregatorsBreaksNoQuery)
{
    for (const char *target : {"a1", "a2", "b1", "b2"}) {
        fleet->fault(target, "pause_ms", 300);
    }
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int n = 0; n < 6; n++) {
        callers.push_back(std::make_unique<RawCaller>(fleet->port(4 + n % 5)));
        callers.back()->send(
            RoutedFleet::request("/w/x", "stop" + std::to_string(n)));
    }
    ASSERT_TRUE(eventually([&] { return fleet->runs("stop5").size() >= 2; }));
    for (int i = 1; i <= RoutedFleet::N_STRONG; i++) {
        fleet->daemons[(size_t)i]->signal(SIGTERM);
    }
    RoutedAnswer during = fleet->ask(N_DAEMONS, "/w/x", "during");
    EXPECT_EQ(during.status, 200) << "stopping daemons decline";
    for (auto &caller : callers) {
        EXPECT_EQ(caller->read().status, 200);
    }
    for (int i = 1; i <= RoutedFleet::N_STRONG; i++) {
        EXPECT_EQ(fleet->daemons[(size_t)i]->wait(), 0);
    }
    EXPECT_EQ(fleet->ask(N_DAEMONS, "/w/x", "after").status, 200);
}

// The aggregators are killed while they run a query: the caller is answered at
// once, with an error that doesn't say whether the query ran.
TEST_F(ForwardTest, AKilledAggregatorEndsItsQueriesAtOnce)
{
    for (const char *target : {"a1", "a2", "b1", "b2"}) {
        fleet->fault(target, "pause_ms", 1200);
    }
    RawCaller caller(fleet->port(N_DAEMONS));
    caller.send(RoutedFleet::request("/w/x", "dead"));
    ASSERT_TRUE(eventually([&] { return fleet->runs("dead").size() >= 2; }));
    for (int i = 1; i <= RoutedFleet::N_STRONG; i++) {
        fleet->daemons[(size_t)i]->signal(SIGKILL);
    }
    EXPECT_EQ(caller.read().status, 502);
    for (const char *target : {"a1", "a2", "b1", "b2"}) {
        fleet->fault(target, "pause_ms", 0);
    }
    EXPECT_TRUE(eventually([&] { return fleet->serves(N_DAEMONS); }));
}

TEST_F(ForwardTest, ADisconnectedCallersQueryIsCancelled)
{
    for (const char *target : {"a1", "a2", "b1", "b2"}) {
        fleet->fault(target, "pause_ms", 5000);
    }
    RawCaller caller(fleet->port(N_DAEMONS));
    caller.send(RoutedFleet::request("/w/x", "left"));
    ASSERT_TRUE(eventually([&] { return fleet->runs("left").size() >= 2; }));
    caller.close_now();
    EXPECT_TRUE(eventually([&] {
        for (int i = 1; i <= RoutedFleet::N_STRONG; i++) {
            std::string state =
                http("http://" + fleet->address(10 * i + 2) + "/state").body;
            if (state.find("\"attempts\": 0") == std::string::npos) {
                return false;
            }
        }
        return true;
    }));
}
