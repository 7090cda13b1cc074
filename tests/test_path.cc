// The native interface end to end, with real processes: answers, bad input,
// shutdown, keys.
#include "fleet.h"

TEST(Path, QueryCoversEveryShardFromOneSnapshot)
{
    Fleet fleet(24100, 1);
    HttpAnswer answer = fleet.query(1);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.outcome(), "complete");
    fleet.fault("t10", "dead=1");
    EXPECT_EQ(fleet.query(1).outcome(), "complete") << "one replica lost";
    fleet.fault("t11", "dead=1");
    fleet.fault("t12", "dead=1");
    answer = fleet.query(1);
    EXPECT_EQ(answer.status, 206);
    EXPECT_EQ(answer.outcome(), "partial");
    EXPECT_NE(answer.body.find("\"missing\":[{\"shard\":\"g1\""),
              std::string::npos)
        << answer.body;
}

TEST(Path, RepliesOfFaultyTargetsAreNeverMerged)
{
    Fleet fleet(24200, 1);
    for (const char *what : {"garbage", "half", "wrong_attempt", "shed"}) {
        fleet.fault("all", std::string(what) + "=1");
        std::string body = std::string("{\"q\":\"") + what + "\"}";
        HttpAnswer bad = fleet.query(1, body.c_str());
        EXPECT_NE(bad.outcome(), "complete") << what;
        EXPECT_EQ(bad.body.find("part-1"), std::string::npos) << what;
        if (std::string(what) == "shed") {
            EXPECT_EQ(bad.outcome(), "not_run");
        }
        // A request that was in flight at two broken targets is quarantined,
        // so a different one has to show the recovery.
        fleet.fault("all", std::string(what) + "=0");
        EXPECT_TRUE(eventually([&] {
            return fleet.query(1).outcome() == "complete";
        })) << "recovers from "
            << what;
    }
}

TEST(Path, BadInputGetsAClearError)
{
    Fleet fleet(24300, 1);
    std::string url = fleet.callers(1, "");
    EXPECT_EQ(http(url + "/v1/query/nothing", "{}").status, 404);
    EXPECT_EQ(http(url + "/v1/other", "{}").status, 404);
    EXPECT_EQ(http(url + "/v1/query/ask").status, 405);
    EXPECT_EQ(http(url + "/v1/query/order", "{}").status, 400);
    EXPECT_EQ(http(url + "/v1/call/order", "{}").status, 400);
    EXPECT_EQ(http(url + "/v1/query/ask", "{}", {"Lr-Deadline-Ms: x"}).status,
              400);
    std::string large(2 << 20, 'x');
    EXPECT_EQ(http(url + "/v1/query/ask", large.c_str()).status, 413);
    EXPECT_EQ(fleet.order(1, "lr1~d1~zz").status, 400);
    EXPECT_EQ(fleet.query(1).outcome(), "complete") << "still serving";
}

TEST(Path, AbortedCallerStopsItsSubRequests)
{
    Fleet fleet(24400, 1);
    fleet.fault("all", "slow=100");
    http(fleet.callers(1, "/v1/query/ask"), "{}", {}, 50);
    EXPECT_TRUE(eventually(
        [&] { return fleet.state_number(1, "counters", "cancels") >= 4; }));
}

TEST(Path, GracefulShutdownBreaksNoRequest)
{
    Fleet fleet(24500, 1);
    std::atomic<bool> stopping{false};
    std::atomic<int> n_complete{0}, n_broken{0}, n_refused_late{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; i++) {
        callers.emplace_back([&] {
            for (;;) {
                bool before = !stopping;
                HttpAnswer answer = fleet.query(1);
                if (answer.status == 200) {
                    n_complete++;
                }
                else if (before) {
                    n_broken++;
                }
                else {
                    n_refused_late++;
                    return;
                }
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fleet.daemons[1]->signal(SIGTERM);
    EXPECT_TRUE(eventually([&] {
        return http(fleet.operators(1, "/readyz"), nullptr, {}, 500).status !=
               200;
    }));
    EXPECT_EQ(fleet.query(1).status, 200)
        << "serves until the drain wait is over";
    stopping = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(fleet.daemons[1]->wait(), 0);
    EXPECT_GT(n_complete, 20);
    EXPECT_EQ(n_broken, 0);
}

TEST(Path, RefusedCatalogueLeavesTheFormerActive)
{
    Fleet fleet(24600, 1);
    http(fleet.platform("/control/catalogue"),
         "{\"revision\":5,\"services\":[],\"entries\":[{\"name\":\"x\","
         "\"owner\":\"\",\"service\":\"none\"}]}");
    EXPECT_TRUE(eventually([&] {
        return fleet.state_number(1, "catalogue", "refused_revision") == 5;
    }));
    EXPECT_EQ(fleet.revision(1), 1);
    EXPECT_EQ(fleet.query(1).outcome(), "complete");
    std::string state = http(fleet.operators(1, "/state")).body;
    EXPECT_NE(state.find("unknown service 'none'"), std::string::npos);
    fleet.edit(6, 600);
    EXPECT_TRUE(eventually([&] { return fleet.revision(1) == 6; }));
}

TEST(Path, RequestThatCrashesTargetsIsQuarantined)
{
    Fleet fleet(24700, 1);
    fleet.fault("all", "crash_on=poison");
    for (int i = 0; i < 5; i++) {
        EXPECT_NE(fleet.query(1, "{\"q\":\"poison\"}").outcome(), "complete");
    }
    EXPECT_GT(fleet.state_number(1, "counters", "quarantined"), 0);
    EXPECT_TRUE(eventually([&] {
        return fleet.query(1).outcome() == "complete";
    })) << "others are served";
}
