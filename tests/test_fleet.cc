// Daemons in several zones, with crashes, pauses, graceful shutdowns and
// failures of the configuration service: idempotency keys, catalogue changes,
// loans and quarantine.
#include "fleet.h"

TEST(Fleet, KeyRunsOnceWhereverDuplicatesArrive)
{
    Fleet fleet(26100, 3);
    ASSERT_TRUE(eventually([&] {
        return http(fleet.operators(3, "/state")).body.find("\"serial\"") !=
               std::string::npos;
    }));
    // A daemon that has not yet learned of the issuer answers "unknown".
    std::string warm = fleet.key(1);
    ASSERT_TRUE(eventually(
        [&] { return fleet.order(3, warm).outcome() == "complete"; }));
    std::string key = fleet.key(1);
    EXPECT_TRUE(eventually([&] {
        return fleet.order(2, key).outcome() == "complete";
    })) << "forwarded once the members know each other";
    std::string own = fleet.order(1, key).body;
    EXPECT_EQ(fleet.order(3, key).body, own) << "the same answer everywhere";
    EXPECT_EQ(fleet.runs(key), 1);
    EXPECT_EQ(fleet.order(3, key, "{\"other\":1}").status, 409);
}

TEST(Fleet, ConcurrentDuplicatesWaitForOneRun)
{
    Fleet fleet(26200, 3);
    // Wait until every daemon knows the others: one that has just started
    // answers unknown for keys that the others have issued.
    for (int issuer = 1; issuer <= 3; issuer++) {
        std::string warm = fleet.key(issuer);
        ASSERT_TRUE(eventually([&] {
            return fleet.order(1, warm).outcome() == "complete" &&
                   fleet.order(2, warm).outcome() == "complete" &&
                   fleet.order(3, warm).outcome() == "complete";
        }));
    }
    fleet.fault("all", "slow=50");
    std::string key = fleet.key(2);
    std::vector<std::thread> callers;
    std::atomic<int> n_complete{0};
    std::vector<std::string> answers(9);
    for (int i = 0; i < 9; i++) {
        callers.emplace_back([&, i] {
            HttpAnswer answer = fleet.order(1 + i % 3, key);
            n_complete += answer.outcome() == "complete";
            answers[(size_t)i] = std::to_string(answer.status) + answer.body;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(n_complete, 9) << testing::PrintToString(answers);
    EXPECT_EQ(fleet.runs(key), 1);
}

TEST(Fleet, CrashedCoordinatorGivesUnknownAndNeverASecondRun)
{
    Fleet fleet(26300, 3);
    std::string key = fleet.key(1);
    ASSERT_TRUE(eventually(
        [&] { return fleet.order(2, key).outcome() == "complete"; }));
    fleet.daemons[1]->signal(SIGKILL);
    fleet.daemons[1]->wait();
    EXPECT_EQ(fleet.order(2, key).outcome(), "unknown");
    fleet.start(1);
    ASSERT_TRUE(fleet.ready(1));
    EXPECT_EQ(fleet.order(1, key).outcome(), "unknown")
        << "the new incarnation has no result for the key";
    EXPECT_EQ(fleet.runs(key), 1);
}

TEST(Fleet, PausedCoordinatorRunsNothingLate)
{
    Fleet fleet(26400, 3);
    std::string warm = fleet.key(1);
    ASSERT_TRUE(eventually(
        [&] { return fleet.order(2, warm).outcome() == "complete"; }));
    std::string key = fleet.key(1);
    fleet.daemons[1]->signal(SIGSTOP);
    std::string outcome = fleet.order(2, key).outcome();
    EXPECT_EQ(outcome, "unknown");
    fleet.daemons[1]->signal(SIGCONT);
    EXPECT_TRUE(eventually(
        [&] { return fleet.order(1, key).outcome() == "complete"; }));
    EXPECT_EQ(fleet.runs(key), 1);
}

TEST(Fleet, CatalogueChangeReachesEveryDaemonAndNeverReverts)
{
    Fleet fleet(26500, 3);
    fleet.edit(2, 700);
    for (int i = 1; i <= 3; i++) {
        EXPECT_TRUE(eventually([&] { return fleet.revision(i) == 2; })) << i;
    }
    fleet.platform_fault("stale=1");
    fleet.edit(3, 800);
    EXPECT_EQ(fleet.revision(1), 2)
        << "the service still returns the old revision";
    fleet.platform_fault("stale=0");
    for (int i = 1; i <= 3; i++) {
        EXPECT_TRUE(eventually([&] { return fleet.revision(i) == 3; })) << i;
    }
    fleet.edit(1, 500);
    fleet.edit(2, 500);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    for (int i = 1; i <= 3; i++) {
        EXPECT_EQ(fleet.revision(i), 3) << "reverted at " << i;
    }
    fleet.platform_fault("truncate=1");
    fleet.edit(4, 900);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    EXPECT_EQ(fleet.revision(1), 3) << "a malformed value was accepted";
    fleet.platform_fault("truncate=0");
    for (int i = 1; i <= 3; i++) {
        EXPECT_TRUE(eventually([&] { return fleet.revision(i) == 4; })) << i;
    }
}

TEST(Fleet, DaemonWithoutConfigurationServiceLearnsFromPeers)
{
    Fleet fleet(26600, 2);
    fleet.daemons[2]->signal(SIGTERM);
    fleet.daemons[2]->wait();
    fleet.start(2, "http://127.0.0.1:9");
    EXPECT_TRUE(fleet.ready(2)) << "gets the catalogue from a peer first";
    fleet.edit(2, 700);
    EXPECT_TRUE(eventually([&] { return fleet.revision(2) == 2; }));
    EXPECT_EQ(fleet.query(2).outcome(), "complete");
}

TEST(Fleet, ConfigurationServiceOutageChangesNothing)
{
    Fleet fleet(26700, 2);
    fleet.platform_fault("down=1");
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    EXPECT_EQ(fleet.revision(1), 1);
    EXPECT_EQ(fleet.query(1).outcome(), "complete");
    EXPECT_EQ(fleet.query(2).outcome(), "complete");
}

TEST(Fleet, RollingRestartLosesNoRequest)
{
    Fleet fleet(26800, 3);
    std::atomic<bool> done{false};
    std::atomic<int> n_bad{0}, n_good{0}, taken{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; i++) {
        callers.emplace_back([&, i] {
            for (int n = i; !done; n++) {
                int to = 1 + n % 3;
                if (to == taken) {
                    continue;
                }
                HttpAnswer answer = fleet.query(to);
                (answer.outcome() == "complete" ? n_good : n_bad)++;
            }
        });
    }
    for (int i = 1; i <= 3; i++) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        fleet.daemons[(size_t)i]->signal(SIGTERM);
        EXPECT_TRUE(eventually([&] {
            return http(fleet.operators(i, "/readyz"), nullptr, {}, 500)
                       .status != 200;
        }));
        taken = i;
        EXPECT_EQ(fleet.daemons[(size_t)i]->wait(), 0);
        fleet.start(i);
        EXPECT_TRUE(fleet.ready(i));
        taken = 0;
    }
    done = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(n_bad, 0);
    EXPECT_GT(n_good, 50);
}

TEST(Fleet, GracefulShutdownHandsKeysOver)
{
    Fleet fleet(27600, 3);
    std::string used = fleet.key(1);
    std::string unused = fleet.key(1);
    ASSERT_TRUE(eventually([&] {
        return fleet.order(2, used).outcome() == "complete" &&
               fleet.order(3, used).outcome() == "complete";
    }));
    std::string answer = fleet.order(2, used).body;
    fleet.daemons[1]->signal(SIGTERM);
    EXPECT_EQ(fleet.daemons[1]->wait(), 0);
    for (int i = 2; i <= 3; i++) {
        EXPECT_EQ(fleet.order(i, used).body, answer) << "replayed at " << i;
        EXPECT_EQ(fleet.order(i, unused).outcome(), "complete") << i;
    }
    fleet.start(1);
    ASSERT_TRUE(fleet.ready(1));
    EXPECT_EQ(fleet.order(2, used).body, answer) << "after the replacement";
    EXPECT_EQ(fleet.runs(used), 1);
    EXPECT_EQ(fleet.runs(unused), 1);
}

TEST(Fleet, LoadedDaemonBorrowsFromPeers)
{
    Fleet fleet(27800, 3);
    EXPECT_TRUE(eventually([&] {
        for (int i = 0; i < 20; i++) {
            http(fleet.callers(1, "/v1/query/few"), "{}");
        }
        return fleet.state_number(1, "counters", "loans_taken") > 0;
    }));
    EXPECT_GT(fleet.state_number(2, "counters", "loans_given") +
                  fleet.state_number(3, "counters", "loans_given"),
              0);
}

TEST(Fleet, QuarantinePropagates)
{
    Fleet fleet(26900, 2);
    fleet.fault("all", "crash_on=poison");
    fleet.query(1, "{\"q\":\"poison\"}");
    EXPECT_TRUE(eventually([&] {
        return http(fleet.operators(2, "/state")).body.find("fingerprint") !=
               std::string::npos;
    }));
    HttpAnswer answer = fleet.query(2, "{\"q\":\"poison\"}");
    EXPECT_EQ(answer.outcome(), "not_run");
    EXPECT_EQ(answer.text("reason"), "quarantined");
}

TEST(Fleet, ATargetThatSaysItIsLeavingGetsNothingFromDaemonsThatDidNotAskIt)
{
    Fleet fleet(28800, 3);
    fleet.fault("t00", "drain=1");
    ASSERT_TRUE(eventually([&] {
        fleet.query(1);
        return fleet.is_leaving(1, "t00");
    }));
    for (int i = 2; i <= 3; i++) {
        EXPECT_TRUE(eventually([&] { return fleet.is_leaving(i, "t00"); }))
            << i;
    }
}
