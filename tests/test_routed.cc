// The routed interface end to end, from a caller's connection to the searchers
// and back.
#include "command.h"
#include "endless_server.h"
#include "routed.h"

#include <algorithm>

#include <sys/stat.h>

class RoutedTest : public testing::Test {
  protected:
    static constexpr int BASE = 28100;

    void
    SetUp() override
    {
        fleet = std::make_unique<RoutedFleet>(BASE, 2);
        fleet->setup();
        ASSERT_TRUE(eventually([&] { return fleet->serves(1); }));
        ASSERT_TRUE(eventually([&] { return fleet->serves(2); }));
    }

    std::unique_ptr<RoutedFleet> fleet;
};

TEST_F(RoutedTest, MergesTheTopRecordsOfAllShards)
{
    RoutedAnswer answer = fleet->ask(1, "/w/x?y=%20", "id-1");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.header("X-Missing-Parts"), "0");
    EXPECT_EQ(answer.body.size(), 80U);
    for (size_t at = 16; at < answer.body.size(); at += 16) {
        EXPECT_GE(answer.body.substr(at - 16, 16), answer.body.substr(at, 16));
    }
    std::string seals = answer.header("X-Part-Seals");
    EXPECT_NE(seals.find("seal-id-1-a"), std::string::npos) << seals;
    EXPECT_NE(seals.find("seal-id-1-b"), std::string::npos) << seals;
    EXPECT_EQ(fleet->ask(2, "/w/x?y=%20", "id-2").body, answer.body)
        << "both daemons give the same records";
}

TEST_F(RoutedTest, PassesOneAnswerThroughUnchanged)
{
    RoutedAnswer answer =
        fleet->ask(1, "/c/a%2F/../b?q", "id-3", "POST", "some body");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.header("X-Request-Id"), "id-3");
    EXPECT_EQ(answer.header("X-Response-Seal").substr(0, 10), "seal-id-3-");
    EXPECT_EQ(answer.body.size(), 128U);
    EXPECT_EQ(fleet->runs("id-3").size(), 1U);
}

TEST_F(RoutedTest, UnknownRoutesAre404AndBadRequestsAre400)
{
    EXPECT_EQ(fleet->ask(1, "/nowhere/", "id-4").status, 404);
    RawCaller no_id(fleet->port(1));
    no_id.send("GET /c/x HTTP/1.1\r\nHost: q.example\r\n\r\n");
    EXPECT_EQ(no_id.read().status, 400);
    RawCaller two_lengths(fleet->port(1));
    two_lengths.send("POST /c/x HTTP/1.1\r\nHost: q.example\r\n"
                     "X-Request-Id: id-5\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    EXPECT_EQ(two_lengths.read().status, 400);
    EXPECT_TRUE(two_lengths.is_closed());
    EXPECT_TRUE(fleet->runs("id-5").empty());
}

TEST_F(RoutedTest, LimitsOfTheConfigurationHold)
{
    std::string large(5000, 'x');
    EXPECT_EQ(fleet->ask(1, "/c/x", "id-6", "POST", large).status, 413);
    EXPECT_EQ(fleet->ask(1, "/c/" + large, "id-7").status, 431);
    RawCaller slow(fleet->port(1));
    slow.send("GET /c/x HTTP/1.1\r\nHost:");
    EXPECT_EQ(slow.read().status, 408);
    RawCaller idle(fleet->port(1));
    EXPECT_TRUE(idle.is_closed()) << "closed after the idle time";
}

TEST_F(RoutedTest, PipelinedRequestsAreAnsweredInOrder)
{
    RawCaller caller(fleet->port(1));
    caller.send(RoutedFleet::request("/c/1", "ahead-1") +
                RoutedFleet::request("/w/2", "ahead-2") +
                RoutedFleet::request("/c/3", "ahead-3"));
    EXPECT_EQ(caller.read().header("X-Request-Id"), "ahead-1");
    EXPECT_EQ(caller.read().header("X-Missing-Parts"), "0");
    EXPECT_EQ(caller.read().header("X-Request-Id"), "ahead-3");
}

TEST_F(RoutedTest, ARequestShedByATargetIsRetriedAtAnother)
{
    fleet->fault("c1", "shed", 100);
    for (int i = 0; i < 10; i++) {
        std::string id = "shed-" + std::to_string(i);
        EXPECT_EQ(fleet->ask(1, "/o/x", id, "POST", "b").status, 200);
        EXPECT_EQ(fleet->runs(id), std::vector<std::string>{"c2"});
    }
}

TEST_F(RoutedTest, RefusedWith503OnlyWhenNothingRan)
{
    fleet->fault("c1", "shed", 100);
    fleet->fault("c2", "shed", 100);
    RoutedAnswer refused = fleet->ask(1, "/o/x", "none", "POST", "b");
    EXPECT_EQ(refused.status, 503);
    EXPECT_FALSE(refused.header("Retry-After").empty());
    EXPECT_TRUE(fleet->runs("none").empty());
}

TEST_F(RoutedTest, ANonIdempotentRequestWithALostResponseIsNotRetried)
{
    fleet->fault("c1", "lose", 100);
    fleet->fault("c2", "lose", 100);
    RoutedAnswer lost = fleet->ask(1, "/o/x", "lost", "POST", "b");
    EXPECT_EQ(lost.status, 504);
    EXPECT_EQ(fleet->runs("lost").size(), 1U) << "at most once";
}

TEST_F(RoutedTest, AResponseToAnotherRequestIsDiscarded)
{
    fleet->fault("c1", "foreign", 100);
    fleet->fault("c2", "foreign", 100);
    RoutedAnswer answer = fleet->ask(1, "/c/x", "mine");
    EXPECT_GE(answer.status, 500);
    EXPECT_EQ(answer.header("X-Response-Seal"), "");
}

// Targets send responses whose head or body never ends. No such response
// reaches a caller, memory stays bounded, and other routes are still served.
TEST_F(RoutedTest, EndlessResponsesAreDiscardedInBoundedMemory)
{
    restart_measured(*fleet, 1);
    ASSERT_TRUE(eventually([&] { return fleet->serves(1); }));
    int port = BASE + 150;
    for (const EndlessKind &kind : endless_kinds()) {
        EndlessServer one(port, kind);
        EndlessServer two(port + 1, kind);
        fleet->control("entry?id=c1&state=ready&address=127.0.0.1:" +
                       std::to_string(port++));
        fleet->control("entry?id=c2&state=ready&address=127.0.0.1:" +
                       std::to_string(port++));
        ASSERT_TRUE(eventually([&] {
            return fleet->ask(1, "/c/x", "moved").status != 200;
        })) << kind.name;
        // Waits until neither target is ejected any more.
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int i = 0; i < 24; i++) {
            callers.push_back(std::make_unique<RawCaller>(fleet->port(1)));
            callers.back()->send(
                RoutedFleet::request("/c/x", kind.name + std::to_string(i)));
        }
        EXPECT_TRUE(eventually([&] {
            return fleet->ask(1, "/w/x", "beside").status == 200;
        })) << kind.name;
        for (auto &caller : callers) {
            EXPECT_GE(caller->read().status, 500) << kind.name;
        }
    }
    long peak = peak_kb(fleet->daemons[1]->pid);
    EXPECT_GT(peak, 0);
    EXPECT_LT(peak, MAX_PEAK_KB);
}

TEST_F(RoutedTest, ATargetsFailureKeepsItsStatusAndSeal)
{
    fleet->fault("c1", "error", 100);
    fleet->fault("c2", "error", 100);
    RoutedAnswer answer = fleet->ask(1, "/c/x", "broken");
    EXPECT_EQ(answer.status, 500);
    EXPECT_EQ(answer.header("X-Response-Seal").substr(0, 12), "seal-broken-");
}

TEST_F(RoutedTest, AMissingShardIsLeftOutOnlyWhereTheRouteAllowsIt)
{
    fleet->fault("b1", "error", 100);
    fleet->fault("b2", "error", 100);
    RoutedAnswer wide = fleet->ask(1, "/w/x", "part");
    EXPECT_EQ(wide.status, 200);
    EXPECT_EQ(wide.header("X-Missing-Parts"), "1");
    EXPECT_EQ(wide.header("X-Part-Seals").find("seal-part-b"),
              std::string::npos);
    EXPECT_EQ(fleet->ask(1, "/s/x", "whole").status, 502);
}

TEST_F(RoutedTest, AShardWithoutTargetsIsRefusedAtOnce)
{
    fleet->control("entry?id=b1");
    fleet->control("entry?id=b2");
    EXPECT_TRUE(eventually([&] {
        static int n = 0;
        std::string id = "gone-" + std::to_string(n++);
        return fleet->ask(1, "/s/x", id).status == 503 &&
               fleet->runs(id).empty();
    }));
}

TEST_F(RoutedTest, AHedgeAnswersBeforeAPausedTarget)
{
    for (int i = 0; i < 60; i++) {
        fleet->ask(1, "/w/warm", "warm-" + std::to_string(i));
    }
    fleet->fault("a1", "pause_ms", 700);
    int n_in_time = 0;
    for (int i = 0; i < 10; i++) {
        auto start = std::chrono::steady_clock::now();
        RoutedAnswer answer =
            fleet->ask(1, "/w/x", "paused-" + std::to_string(i));
        auto taken = std::chrono::steady_clock::now() - start;
        n_in_time += answer.header("X-Missing-Parts") == "0" &&
                     taken < std::chrono::milliseconds(700);
    }
    EXPECT_EQ(n_in_time, 10);
}

TEST_F(RoutedTest, ADrainingTargetGetsNothing)
{
    fleet->control("entry?id=c1&state=draining");
    ASSERT_TRUE(eventually([&] {
        static int n = 0;
        std::string id = "drain-" + std::to_string(n++);
        fleet->ask(1, "/c/x", id);
        return fleet->runs(id) == std::vector<std::string>{"c2"};
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (int i = 0; i < 10; i++) {
        std::string id = "drained-" + std::to_string(i);
        EXPECT_EQ(fleet->ask(1, "/c/x", id).status, 200);
        EXPECT_EQ(fleet->runs(id), std::vector<std::string>{"c2"});
    }
}

// A query that began before the target drained has it among its replicas.
TEST_F(RoutedTest, ALaterAttemptOfARunningRequestDoesNotGoToADrainingTarget)
{
    fleet->fault("c1", "pause_ms", 60000);
    fleet->fault("c2", "pause_ms", 60000);
    RawCaller caller(fleet->port(1));
    caller.send(RoutedFleet::request("/c/x", "moved", "GET", "", 60000));
    ASSERT_TRUE(eventually([&] { return fleet->runs("moved").size() == 1; }));
    std::string first = fleet->runs("moved")[0];
    std::string other = first == "c1" ? "c2" : "c1";
    fleet->control("entry?id=" + other + "&state=draining");
    // Shows that the daemon has read what was written before it.
    fleet->config(2, ",{\"name\":\"later\",\"host\":\"q.example\","
                     "\"prefix\":\"/later/\",\"type\":\"idempotent\","
                     "\"timeout_ms\":1500,\"service\":\"a\","
                     "\"max_attempts\":2}");
    ASSERT_TRUE(eventually(
        [&] { return fleet->ask(1, "/later/x", "later").status == 200; }));
    fleet->control("fault?id=" + first + "&name=stop&value=1");
    EXPECT_GE(caller.read().status, 500);
    EXPECT_EQ(fleet->runs("moved").size(), 1U) << "the draining one got it";
}

TEST_F(RoutedTest, AnAddressWithAnotherTargetIsNotServed)
{
    // The entry of c1 stays in the store, but another searcher has its
    // address.
    fleet->fault("c1", "stop", 1);
    fleet->server("x9", "d", 5);
    for (int i = 0; i < 10; i++) {
        std::string id = "reuse-" + std::to_string(i);
        EXPECT_EQ(fleet->ask(1, "/c/x", id).status, 200);
        EXPECT_EQ(fleet->runs(id), std::vector<std::string>{"c2"});
    }
}

TEST_F(RoutedTest, AConfigurationReplacesTheFormerOneOnEveryDaemon)
{
    fleet->config(2, ",{\"name\":\"new\",\"host\":\"n.example\",\"prefix\":"
                     "\"/\",\"type\":\"idempotent\",\"timeout_ms\":500,"
                     "\"service\":\"c\",\"max_attempts\":1}");
    for (int i = 1; i <= 2; i++) {
        EXPECT_TRUE(eventually([&] {
            RawCaller caller(fleet->port(i));
            caller.send("GET / HTTP/1.1\r\nHost: n.example\r\n"
                        "X-Request-Id: n\r\n\r\n");
            return caller.read().status == 200;
        }));
    }
    fleet->config(3);
    for (int i = 1; i <= 2; i++) {
        EXPECT_TRUE(eventually([&] {
            RawCaller caller(fleet->port(i));
            caller.send("GET / HTTP/1.1\r\nHost: n.example\r\n"
                        "X-Request-Id: n\r\n\r\n");
            return caller.read().status == 404;
        }));
    }
}

TEST_F(RoutedTest, DaemonsServeDuringAStoreOutageAndCatchUp)
{
    fleet->control("store?name=down&value=1");
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    EXPECT_TRUE(fleet->serves(1));
    EXPECT_TRUE(fleet->ready(1));
    fleet->control("entry?id=c1");
    fleet->control("store?name=compact&value=1");
    fleet->control("store?name=down&value=0");
    ASSERT_TRUE(eventually([&] {
        static int n = 0;
        std::string id = "after-" + std::to_string(n++);
        fleet->ask(2, "/c/x", id);
        return fleet->runs(id) == std::vector<std::string>{"c2"};
    }));
}

TEST_F(RoutedTest, ADaemonThatCannotReachTheStoreLearnsFromItsPeers)
{
    // Nothing listens on port 1, so this daemon has only its peers.
    fleet->daemons[2].reset();
    fleet->start(2, "http://127.0.0.1:1");
    EXPECT_TRUE(eventually([&] { return fleet->ready(2); }));
    EXPECT_TRUE(eventually([&] { return fleet->serves(2); }));
}

TEST_F(RoutedTest, ADaemonWithoutConfigurationIsUnreadyAndAnswers503)
{
    fleet->daemons[1].reset();
    fleet->daemons[2].reset();
    fleet->start(1, "http://127.0.0.1:1");
    ASSERT_TRUE(
        eventually([&] { return RawCaller(fleet->port(1)).connected; }));
    EXPECT_FALSE(fleet->ready(1));
    RoutedAnswer answer = fleet->ask(1, "/c/x", "early");
    EXPECT_EQ(answer.status, 503);
    EXPECT_FALSE(answer.header("Retry-After").empty());
}

TEST_F(RoutedTest, ADisconnectedCallersAttemptIsCancelled)
{
    fleet->fault("c1", "pause_ms", 5000);
    fleet->fault("c2", "pause_ms", 5000);
    RawCaller caller(fleet->port(1));
    caller.send(RoutedFleet::request("/c/x", "left"));
    EXPECT_TRUE(eventually([&] { return fleet->runs("left").size() == 1; }));
    caller.close_now();
    std::string state = "http://" + fleet->address(12) + "/state";
    EXPECT_TRUE(eventually([&] {
        return http(state).body.find("\"attempts\": 0") != std::string::npos;
    })) << "its attempt ends after linger_ms";
}

TEST_F(RoutedTest, AGracefulShutdownBreaksNoRequest)
{
    fleet->fault("c1", "pause_ms", 400);
    fleet->fault("c2", "pause_ms", 400);
    RawCaller running(fleet->port(1));
    running.send(RoutedFleet::request("/c/x", "running"));
    ASSERT_TRUE(
        eventually([&] { return fleet->runs("running").size() >= 1; }));
    RawCaller kept(fleet->port(1));
    fleet->daemons[1]->signal(SIGTERM);
    EXPECT_TRUE(eventually([&] { return !fleet->ready(1); }));
    kept.send(RoutedFleet::request("/c/x", "kept"));
    EXPECT_EQ(running.read().status, 200);
    RoutedAnswer answer = kept.read();
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.header("Connection"), "close");
    EXPECT_EQ(fleet->daemons[1]->wait(), 0);
}

TEST_F(RoutedTest, WhatRunsAtTheStopLimitIsAnsweredBeforeTheEnd)
{
    fleet->config(2, R"(,{"name":"longest","host":"q.example",
        "prefix":"/l/","type":"non_idempotent","timeout_ms":30000,
        "service":"c","max_attempts":2},{"name":"widest",
        "host":"q.example","prefix":"/g/","type":"idempotent",
        "timeout_ms":30000,"target_latency_ms":20000,"priority":1,
        "gather":["a","b"],"max_attempts":2,"top_k":5,
        "min_shard_share":1.0})");
    ASSERT_TRUE(eventually(
        [&] { return fleet->ask(1, "/l/x", "known").status == 200; }));
    for (const char *id : {"c1", "c2", "a1", "a2"}) {
        fleet->fault(id, "pause_ms", 20000);
    }
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (const char *path : {"/l/x", "/g/x"}) {
        callers.push_back(std::make_unique<RawCaller>(fleet->port(1)));
        callers.back()->send(RoutedFleet::request(
            path, "last" + std::string(path + 1, 1), "GET", "", 30000));
    }
    ASSERT_TRUE(eventually([&] {
        return !fleet->runs("lastl").empty() && !fleet->runs("lastg").empty();
    }));
    fleet->daemons[1]->signal(SIGTERM);
    for (auto &caller : callers) {
        long status = caller->read().status;
        EXPECT_TRUE(status == 502 || status == 504)
            << status << ": it may have run";
    }
    EXPECT_EQ(fleet->daemons[1]->wait(), 0);
}

// Guards against SIGTERM's default action, which would kill a daemon that is
// still starting.
TEST_F(RoutedTest, SigtermDuringStartupIsAGracefulShutdown)
{
    fleet->daemons[1].reset();
    std::string path = "/tmp/lr-start-" + std::to_string(getpid());
    ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
    Process daemon({LR_BIN "/lavenderraild", "--settings", path});
    // Opening the FIFO returns when the daemon has opened it as well; the
    // daemon then waits for its settings.
    std::ofstream settings(path);
    daemon.signal(SIGTERM);
    settings << "contract=platform\nname=h1\nzone=z1\nlisten="
             << fleet->address(11)
             << "\noperator-listen=" << fleet->address(12)
             << "\npeer-listen=" << fleet->address(13)
             << "\nseeds=" << fleet->address(23) << "\nconfig-url=http://"
             << fleet->address(0) << "\ndrain-wait-ms=100\n";
    settings.close();
    EXPECT_EQ(daemon.wait(), 0);
    unlink(path.c_str());
}

// All targets are in another zone, which stops answering. The host can serve
// nothing, so it becomes unready, and ready again when the zone answers.
TEST_F(RoutedTest, AnIsolatedDaemonIsUnreadyUntilTargetsAnswerAgain)
{
    const char *const targets[] = {"a1", "a2", "b1", "b2", "c1", "c2"};
    for (const char *target : targets) {
        fleet->fault(target, "pause_ms", 60000);
    }
    std::vector<std::unique_ptr<RawCaller>> callers;
    EXPECT_TRUE(eventually([&] {
        callers.push_back(std::make_unique<RawCaller>(fleet->port(1)));
        callers.back()->send(RoutedFleet::request(
            "/s/x", "cut-" + std::to_string(callers.size())));
        return !fleet->ready(1);
    }));
    RoutedAnswer refused = fleet->ask(1, "/s/x", "refused");
    EXPECT_EQ(refused.status, 503);
    EXPECT_FALSE(refused.header("Retry-After").empty());
    EXPECT_EQ(refused.header("Connection"), "close");
    EXPECT_TRUE(fleet->runs("refused").empty());
    for (const char *target : targets) {
        fleet->fault(target, "pause_ms", 0);
    }
    EXPECT_TRUE(eventually([&] { return fleet->ready(1); }));
    EXPECT_TRUE(eventually([&] { return fleet->serves(1); }));
}

namespace {

} // namespace

// Values come as base64 text, four bytes for three: a configuration of more
// than three quarters of a megabyte was never read.
TEST(RoutedLimits, AConfigurationAsLargeAsAValueMayBeIsTakenUp)
{
    constexpr size_t VALUE_BYTES = 1 << 20;
    constexpr size_t OTHER_BYTES = 3000;
#ifdef __SANITIZE_ADDRESS__
    // Its red zones and shadow count as the daemon's, for each of the many
    // small values of a configuration: what the smallest host has.
    constexpr long max_kb = 160 << 10;
#else
    constexpr long max_kb = MAX_PEAK_KB;
#endif
    constexpr int N = 3;
    RoutedFleet fleet(21900, N);
    fleet.setup();
    for (int i = 1; i <= N; i++) {
        restart_measured(fleet, i);
        ASSERT_TRUE(eventually([&] { return fleet.serves(i); }));
    }
    auto is_in_force = [&](int i) {
        return fleet.ask(i, "/m100000/department/x", "first").status == 200;
    };
    fleet.config(2, many_routes(VALUE_BYTES - OTHER_BYTES));
    for (int i = 1; i <= N; i++) {
        EXPECT_TRUE(eventually([&] { return is_in_force(i); })) << i;
        EXPECT_LT(peak_kb(fleet.daemons[(size_t)i]->pid), max_kb) << i;
    }
    for (int i = 1; i <= N; i++) {
        fleet.daemons[(size_t)i].reset();
    }
    for (int i = 1; i <= N; i++) {
        restart_measured(fleet, i);
    }
    for (int i = 1; i <= N; i++) {
        EXPECT_TRUE(eventually([&] { return is_in_force(i); }))
            << i << " after a restart of all";
        EXPECT_LT(peak_kb(fleet.daemons[(size_t)i]->pid), max_kb) << i;
    }
}

TEST(RoutedLimits, ALimitIsKnownToDaemonsThatDidNotAskItsTarget)
{
    RoutedFleet fleet(28700, 3, 1);
    fleet.setup();
    for (int i = 1; i <= 3; i++) {
        ASSERT_TRUE(eventually([&] { return fleet.serves(i); }));
    }
    fleet.fault("a1", "limit", 20);
    ASSERT_TRUE(eventually([&] {
        fleet.ask(1, "/w/x", "told");
        return fleet.rate_limit(1, "a1") == 20;
    }));
    for (int i = 2; i <= 3; i++) {
        EXPECT_TRUE(eventually([&] {
            return fleet.rate_limit(i, "a1") == 20;
        })) << i;
    }
    fleet.daemons[2]->signal(SIGKILL);
    fleet.daemons[2]->wait();
    fleet.start(2);
    EXPECT_TRUE(eventually([&] {
        fleet.ask(1, "/w/x", "still");
        return fleet.rate_limit(2, "a1") == 20;
    })) << "a daemon that was restarted learns of it too";
    Output explained = run(LR_BIN "/lavenderrail --operator http://" +
                           fleet.address(32) + " explain 'wide#0'");
    EXPECT_EQ(explained.status, 0);
    EXPECT_TRUE(contains(explained, "accepts 20 requests/s from all daemons"))
        << explained.text;
    std::string metrics =
        http("http://" + fleet.address(32) + "/metrics").body;
    EXPECT_NE(metrics.find("lavenderrail_target_limits_total 1"),
              std::string::npos);
    fleet.fault("a1", "limit", 0);
    EXPECT_TRUE(eventually([&] {
        fleet.ask(1, "/w/x", "ended");
        return fleet.rate_limit(3, "a1") < 0;
    }));
}

// Guards against a learned capacity that an operator cannot see, and against a
// setting that is not passed on from the environment.
TEST(RoutedCapacity, TheLearnedCapacityIsShown)
{
    setenv("LAVENDERRAIL_LEARN_CAPACITY", "1", 1);
    RoutedFleet fleet(22200, 1, 1);
    unsetenv("LAVENDERRAIL_LEARN_CAPACITY");
    fleet.setup();
    ASSERT_TRUE(eventually([&] { return fleet.serves(1); }));
    EXPECT_TRUE(eventually([&] {
        EXPECT_EQ(fleet.ask(1, "/w/x", "learn").status, 200);
        std::string state = http(fleet.operators(1, "/state")).body;
        return state.find("\"slots\": 3") != std::string::npos;
    }));
    Output explained = run(LR_BIN "/lavenderrail --operator http://" +
                           fleet.address(12) + " explain 'wide#0'");
    EXPECT_EQ(explained.status, 0) << explained.text;
    std::string metrics = http(fleet.operators(1, "/metrics")).body;
    EXPECT_NE(metrics.find("lavenderrail_capacity_probes_total"),
              std::string::npos);
    EXPECT_NE(metrics.find("lavenderrail_capacity_drops_total"),
              std::string::npos);
}

// Runs at a searcher of requests to all daemons in turn.
static int
count_runs(const RoutedFleet &fleet, const std::string &server, int n_requests)
{
    static int n_asked = 0;
    int n_ran = 0;
    int n_daemons = (int)fleet.daemons.size() - 1;
    for (int i = 0; i < n_requests; i++) {
        std::string id = "count" + std::to_string(n_asked++);
        EXPECT_EQ(fleet.ask(1 + i % n_daemons, "/c/x", id).status, 200);
        for (const std::string &target : fleet.runs(id)) {
            n_ran += target == server;
        }
    }
    return n_ran;
}

TEST(RoutedStatements, ATargetThatSaysItIsLeavingGetsNothingMore)
{
    RoutedFleet fleet(32300, 3);
    fleet.setup();
    for (int i = 1; i <= 3; i++) {
        ASSERT_TRUE(eventually([&] { return fleet.serves(i); }));
    }
    // The other searcher is the worse choice.
    fleet.fault("c2", "pause_ms", 40);
    fleet.fault("c1", "leaving", 1);
    for (int i = 0; i < 30; i++) {
        fleet.ask(1 + i % 3, "/c/x", "told" + std::to_string(i));
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    EXPECT_EQ(count_runs(fleet, "c1", 60), 0);
}

// Whether the daemon knows that the target is leaving.
static bool
is_leaving(const RoutedFleet &fleet, int daemon, const std::string &target)
{
    std::string state = http(fleet.operators(daemon, "/state")).body;
    size_t at = state.find("\"" + target + "@");
    const std::string mark = "\"leaving\": ";
    at = at == std::string::npos ? at : state.find(mark, at);
    return at != std::string::npos &&
           state.compare(at + mark.size(), 4, "true") == 0;
}

TEST(RoutedStatements, ATargetThatIsLeavingIsRememberedWhileItsEntryIsAway)
{
    RoutedFleet fleet(32450, 2);
    fleet.setup();
    for (int i = 1; i <= 2; i++) {
        ASSERT_TRUE(eventually([&] { return fleet.serves(i); }));
    }
    fleet.fault("c2", "pause_ms", 40);
    fleet.fault("c1", "leaving", 1);
    EXPECT_TRUE(eventually([&] {
        count_runs(fleet, "c1", 10);
        return is_leaving(fleet, 1, "c1") && is_leaving(fleet, 2, "c1");
    }));
    EXPECT_EQ(count_runs(fleet, "c1", 10), 0);
    fleet.control("store?name=copy&value=1");
    fleet.control("entry?id=c1");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    fleet.control("store?name=restore&value=1");
    // What the daemons know of its removal outlives the restore by five
    // seconds.
    std::this_thread::sleep_for(std::chrono::seconds(7));
    EXPECT_EQ(count_runs(fleet, "c1", 20), 0);
}

TEST(RoutedStatements, ATargetThatAsksForAPauseGetsNothingUntilItsEnd)
{
    constexpr int PAUSE_S = 2;
    // The platform allows this much of the pause for requests on their way.
    constexpr int64_t ON_THE_WAY_MS = 500;
    RoutedFleet fleet(31050, 1);
    fleet.setup();
    ASSERT_TRUE(eventually([&] { return fleet.serves(1); }));
    for (const char *target : {"c1", "c2"}) {
        fleet.fault(target, "retry_after", PAUSE_S);
        fleet.fault(target, "shed", 100);
    }
    auto end =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(1900);
    for (int i = 0; std::chrono::steady_clock::now() < end; i++) {
        EXPECT_EQ(fleet.ask(1, "/c/x", "paused" + std::to_string(i)).status,
                  503);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    for (const char *target : {"c1", "c2"}) {
        std::vector<int64_t> times = fleet.shed_times(target);
        ASSERT_FALSE(times.empty());
        for (size_t i = 0; i < times.size(); i++) {
            EXPECT_LT(times[i] - times[0], ON_THE_WAY_MS) << target;
        }
        fleet.fault(target, "shed", 0);
    }
    EXPECT_TRUE(eventually(
        [&] { return fleet.ask(1, "/c/x", "over").status == 200; }));
}

// A pause is not forgotten with the route to the target that asked for it.
TEST(RoutedStatements, APauseHoldsWhileItsRouteMovesAwayAndBack)
{
    const std::string moving =
        ",{\"name\":\"moving\",\"host\":\"q.example\",\"prefix\":\"/m/\","
        "\"type\":\"idempotent\",\"timeout_ms\":1500,\"max_attempts\":2,"
        "\"service\":\"";
    RoutedFleet fleet(28950, 1);
    fleet.server("d1", "d", 7);
    fleet.setup(moving + "d\"}");
    ASSERT_TRUE(eventually(
        [&] { return fleet.ask(1, "/m/x", "before").status == 200; }));
    fleet.fault("d1", "retry_after", 10);
    fleet.fault("d1", "shed", 100);
    EXPECT_EQ(fleet.ask(1, "/m/x", "told").status, 503);
    size_t n_told = fleet.shed_times("d1").size();
    EXPECT_GT(n_told, 0U);
    fleet.config(2, moving + "c\"}");
    ASSERT_TRUE(eventually(
        [&] { return fleet.ask(1, "/m/x", "away").status == 200; }));
    fleet.config(3, moving + "d\"}");
    ASSERT_TRUE(eventually(
        [&] { return fleet.ask(1, "/m/x", "back").status == 503; }));
    for (int i = 0; i < 10; i++) {
        EXPECT_EQ(fleet.ask(1, "/m/x", "kept" + std::to_string(i)).status,
                  503);
    }
    EXPECT_EQ(fleet.shed_times("d1").size(), n_told);
}
