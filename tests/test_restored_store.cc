// A store that comes back from a copy, with real processes: what was written
// after the copy was taken is lost, and revisions are given out again.
#include "routed.h"

namespace {

// The platform's bound on changes of the configuration.
constexpr auto CONFIG_APPLY = std::chrono::seconds(3);
constexpr int N_DAEMONS = 3;

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
    void
    make(int base)
    {
        fleet = std::make_unique<RoutedFleet>(base, N_DAEMONS);
        fleet->setup();
        for (int i = 1; i <= N_DAEMONS; i++) {
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
        for (int i = 1; i <= N_DAEMONS; i++) {
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
    std::unique_ptr<RoutedFleet> fleet;
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
        for (int daemon = 1; daemon <= N_DAEMONS; daemon++) {
            EXPECT_TRUE(has(daemon, 2)) << daemon << ", " << i;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    store("rewrite");
    put(3);
    expect_in_force(3);
    for (int daemon = 1; daemon <= N_DAEMONS; daemon++) {
        EXPECT_TRUE(has(daemon, 2)) << daemon;
    }
}
