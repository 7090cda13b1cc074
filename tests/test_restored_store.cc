// A store that comes back from a copy, with real processes: what was written
// after the copy was taken is lost, and revisions are given out again.
#include "routed.h"

namespace {

// The platform's bound on changes of the configuration.
constexpr auto CONFIG_APPLY = std::chrono::seconds(3);

// A route that only configurations of that version and later ones have.
std::string
marker(int version)
{
    std::string routes;
    for (int i = 2; i <= version; i++) {
        std::string n = std::to_string(i);
        routes += ",{\"name\":\"m" + n +
                  "\",\"host\":\"q.example\",\"prefix\":\"/m" + n +
                  "/\",\"type\":\"idempotent\",\"timeout_ms\":1500,"
                  "\"service\":\"c\",\"max_attempts\":2}";
    }
    return routes;
}

} // namespace

class RestoredStore : public testing::Test {
  protected:
    // Two daemons of a zone read the store; the others learn from them.
    void
    make(int base, int daemons = 3, int zones = 3)
    {
        n_daemons = daemons;
        fleet = std::make_unique<RoutedFleet>(base, n_daemons, zones);
        fleet->setup();
        for (int i = 1; i <= n_daemons; i++) {
            ASSERT_TRUE(eventually([&] { return fleet->serves(i); }));
        }
    }
    void
    put(int version)
    {
        fleet->config(version, marker(version));
    }
    void
    store(const std::string &what)
    {
        fleet->control("store?name=" + what + "&value=1");
    }
    bool
    has(int daemon, int version)
    {
        std::string path = "/m" + std::to_string(version) + "/x";
        return fleet->ask(daemon, path, "m" + std::to_string(n_asked++))
                   .status == 200;
    }
    void
    expect_in_force(int version)
    {
        auto until = std::chrono::steady_clock::now() + CONFIG_APPLY;
        for (int i = 1; i <= n_daemons; i++) {
            bool in_force = false;
            while (!in_force && std::chrono::steady_clock::now() < until) {
                in_force = has(i, version);
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
            }
            EXPECT_TRUE(in_force) << "daemon " << i << ", version " << version;
        }
    }
    int64_t
    config_reads(int daemon) const
    {
        HttpAnswer answer =
            http("http://" + fleet->address(10 * daemon + 2) + "/state",
                 nullptr, {}, 2000);
        json_t *json =
            json_loadb(answer.body.data(), answer.body.size(), 0, nullptr);
        int64_t reads = json_integer_value(json_object_get(
            json_object_get(json, "counters"), "config_reads"));
        json_decref(json);
        return reads;
    }
    // Whether each daemon, or none, may send requests to a searcher.
    bool
    all_use(const std::string &id, bool used) const
    {
        for (int i = 1; i <= n_daemons; i++) {
            HttpAnswer answer =
                http("http://" + fleet->address(10 * i + 2) + "/state",
                     nullptr, {}, 2000);
            if ((answer.body.find("\"" + id + "@") != std::string::npos) !=
                used) {
                return false;
            }
        }
        return true;
    }
    void
    expect_use(const std::string &id, bool used, int ms) const
    {
        for (int i = 0; i < ms; i += 100) {
            EXPECT_TRUE(all_use(id, used)) << id << ", after " << i << " ms";
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    }

    std::unique_ptr<RoutedFleet> fleet;
    int n_daemons = 0;
    int n_asked = 0;
};

TEST_F(RestoredStore, ALaterChangeIsInForceInTime)
{
    ASSERT_NO_FATAL_FAILURE(make(31100));
    store("copy");
    for (int version = 2; version <= 5; version++) {
        put(version);
    }
    expect_in_force(5);
    store("restore");
    store("rewrite");
    put(6);
    expect_in_force(6);
}

TEST_F(RestoredStore, IsNotAskedWithoutPause)
{
    ASSERT_NO_FATAL_FAILURE(make(31300));
    store("copy");
    put(2);
    put(3);
    expect_in_force(3);
    store("restore");
    std::this_thread::sleep_for(std::chrono::seconds(1));
    int64_t before = config_reads(1);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    // A watch waits a second.
    EXPECT_LE(config_reads(1) - before, 6);
}

TEST_F(RestoredStore, DoesNotRevertTheConfiguration)
{
    ASSERT_NO_FATAL_FAILURE(make(31500));
    store("copy");
    put(2);
    expect_in_force(2);
    store("restore");
    for (int i = 0; i < 20; i++) {
        for (int daemon = 1; daemon <= n_daemons; daemon++) {
            EXPECT_TRUE(has(daemon, 2)) << daemon << ", " << i;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    store("rewrite");
    put(3);
    expect_in_force(3);
    for (int daemon = 1; daemon <= n_daemons; daemon++) {
        EXPECT_TRUE(has(daemon, 2)) << daemon;
    }
}

TEST_F(RestoredStore, DoesNotBringBackTargetsThatHaveLeft)
{
    ASSERT_NO_FATAL_FAILURE(make(31700));
    store("copy");
    fleet->control("entry?id=c1");
    fleet->control("entry?id=a1&state=draining");
    ASSERT_TRUE(eventually(
        [&] { return all_use("c1", false) && all_use("a1", false); }));
    store("restore");
    expect_use("c1", false, 1000);
    expect_use("a1", false, 1000);
    store("rewrite");
    expect_use("c1", false, 6000);
    expect_use("a1", false, 500);
}

TEST_F(RestoredStore, DoesNotLoseTargetsThatHaveArrived)
{
    ASSERT_NO_FATAL_FAILURE(make(31900));
    store("copy");
    fleet->server("c3", "c", 7);
    ASSERT_TRUE(eventually([&] { return all_use("c3", true); }));
    store("restore");
    expect_use("c3", true, 1000);
    store("rewrite");
    expect_use("c3", true, 3000);
}

TEST_F(RestoredStore, DropsTargetsThatAreNotRegisteredAgain)
{
    ASSERT_NO_FATAL_FAILURE(make(32100));
    store("copy");
    fleet->server("c3", "c", 7);
    ASSERT_TRUE(eventually([&] { return all_use("c3", true); }));
    store("restore");
    EXPECT_TRUE(eventually([&] { return all_use("c3", false); }));
}

TEST_F(RestoredStore, IsTheSameToDaemonsThatDoNotReadIt)
{
    ASSERT_NO_FATAL_FAILURE(make(25600, 5, 1));
    store("copy");
    for (int version = 2; version <= 5; version++) {
        put(version);
    }
    fleet->control("entry?id=c1");
    fleet->server("c3", "c", 7);
    expect_in_force(5);
    ASSERT_TRUE(eventually(
        [&] { return all_use("c1", false) && all_use("c3", true); }));
    store("restore");
    expect_use("c1", false, 1000);
    store("rewrite");
    put(6);
    expect_in_force(6);
    expect_use("c1", false, 3000);
    expect_use("c3", true, 1000);
}
