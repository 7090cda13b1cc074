// A large configuration on its way to the hosts: from the store to a reader,
// and from one host to another. Nothing here depends on the speed of the
// machine: what is counted is bytes, and who is waited for.
#include "routed.h"

namespace {

constexpr int BASE = 21600;
constexpr size_t CONFIG_BYTES = 400000;
const char NO_STORE[] = "http://127.0.0.1:1";
const char FIRST_ROUTE[] = "/m100000/department/x";
const char ADDED_ROUTE[] = "/added/x";

std::string
added_route()
{
    return ",{\"name\":\"added\",\"host\":\"q.example\",\"prefix\":\"/added/"
           "\","
           "\"type\":\"idempotent\",\"timeout_ms\":1500,\"service\":\"c\","
           "\"max_attempts\":2}";
}

std::string
length_prefix(size_t n_bytes)
{
    uint32_t length = htonl((uint32_t)n_bytes);
    return {reinterpret_cast<char *>(&length), sizeof(length)};
}

std::string
frame_of(const LrRecordDescriptor *spec, const void *message)
{
    GByteArray *packed = g_byte_array_new();
    LrRecord_Pack(spec, message, packed);
    std::string frame =
        length_prefix(packed->len) +
        std::string(reinterpret_cast<char *>(packed->data), packed->len);
    g_byte_array_unref(packed);
    return frame;
}

// A connection to a daemon as a peer opens it.
class RawPeer {
  public:
    RawPeer(const RoutedFleet &fleet, int host)
        : connection_(fleet.port(host) + PEER_PORT)
    {
        LrHelloMsg hello = {};
        hello.protocol = 1;
        hello.name = LrStr_FromC("stranger");
        send(frame_of(&LrHelloMsg_Descriptor, &hello));
    }
    void
    send(const std::string &bytes)
    {
        connection_.send(bytes);
    }
    // The daemon answers with its own hello message.
    void
    wait_for_hello()
    {
        connection_.is_closed();
    }

  private:
    static constexpr int PEER_PORT = 2;
    RawCaller connection_;
};

// Sends a daemon a frame as a peer does.
void
send_as_peer(const RoutedFleet &fleet, int host,
             const LrRecordDescriptor *spec, const void *message)
{
    RawPeer peer(fleet, host);
    peer.send(frame_of(spec, message));
    peer.wait_for_hello();
}

class ConfigurationPropagation : public testing::Test {
  protected:
    static bool
    is_in_force(const RoutedFleet &fleet, int host, const char *path)
    {
        return fleet.ask(host, path, "probe").status == 200;
    }
};

} // namespace

// A response that took longer than a call may wait was read from its start
// again and again, though bytes kept coming.
TEST_F(ConfigurationPropagation, AReaderWaitsForAsLongAsBytesKeepComing)
{
    constexpr int PROXY = 1;
    // The response has a third more bytes than the configuration.
    constexpr size_t SLOW_LINK = CONFIG_BYTES * 4 / 3 / 3;
    RoutedFleet fleet(BASE, 0);
    fleet.resize(1);
    TcpProxy link(BASE + PROXY, BASE);
    fleet.start(1, "http://" + fleet.address(PROXY));
    fleet.setup();
    ASSERT_TRUE(eventually([&] { return fleet.serves(1); }));
    link.limit_rate(SLOW_LINK);
    fleet.config(2, many_routes(CONFIG_BYTES));
    EXPECT_TRUE(
        eventually([&] { return is_in_force(fleet, 1, FIRST_ROUTE); }));
}

TEST_F(ConfigurationPropagation, AResponseThatStopsHalfwayIsGivenUp)
{
    constexpr int PROXY = 1;
    RoutedFleet fleet(BASE + 40, 0);
    fleet.resize(1);
    TcpProxy link(BASE + 40 + PROXY, BASE + 40);
    fleet.start(1, "http://" + fleet.address(PROXY));
    fleet.setup();
    ASSERT_TRUE(eventually([&] { return fleet.serves(1); }));
    link.limit_rate(CONFIG_BYTES / 10);
    fleet.config(2, many_routes(CONFIG_BYTES));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    link.cut("127.0.0.1", TcpProxy::Cut::HANG);
    EXPECT_TRUE(
        eventually([&] { return fleet.counter(1, "source_failures") > 0; }));
    link.limit_rate(0);
    link.cut("127.0.0.1", TcpProxy::Cut::NONE);
    EXPECT_TRUE(
        eventually([&] { return is_in_force(fleet, 1, FIRST_ROUTE); }));
}

// Hosts passed the whole configuration on for each change of it.
TEST_F(ConfigurationPropagation, AChangeOfOneRouteCostsPeersNoWholeCopy)
{
    constexpr int N = 5;
    constexpr int N_READERS = 2;
    RoutedFleet fleet(BASE + 10, N_READERS, 1);
    fleet.resize(N);
    for (int i = N_READERS + 1; i <= N; i++) {
        fleet.start(i, NO_STORE);
    }
    fleet.setup(many_routes(CONFIG_BYTES));
    for (int i = 1; i <= N; i++) {
        ASSERT_TRUE(eventually([&] {
            return is_in_force(fleet, i, FIRST_ROUTE);
        })) << i;
    }
    auto sum = [&](const char *name) {
        long total = 0;
        for (int i = 1; i <= N; i++) {
            total += fleet.counter(i, name);
        }
        return total;
    };
    long bytes = sum("catalogue_delta_bytes");
    EXPECT_LT(bytes, (long)CONFIG_BYTES) << "whole copies are compressed";
    fleet.config(2, many_routes(CONFIG_BYTES) + added_route());
    for (int i = 1; i <= N; i++) {
        EXPECT_TRUE(eventually([&] {
            return is_in_force(fleet, i, ADDED_ROUTE);
        })) << i;
    }
    EXPECT_LT(sum("catalogue_delta_bytes") - bytes, (long)CONFIG_BYTES / 10);
}

TEST_F(ConfigurationPropagation, ADeltaThatCannotBeReadIsFollowedByTheWhole)
{
    constexpr int LEARNER = 2;
    RoutedFleet fleet(BASE + 80, 1, 1);
    fleet.resize(LEARNER);
    fleet.start(LEARNER, NO_STORE);
    fleet.setup(many_routes(CONFIG_BYTES));
    ASSERT_TRUE(
        eventually([&] { return is_in_force(fleet, LEARNER, FIRST_ROUTE); }));
    auto needs_whole = [&] {
        return http(fleet.operators(LEARNER, "/state"))
                   .body.find("\"need_full_copy\": true") != std::string::npos;
    };
    std::string garbage = "no zlib stream";
    LrPackedDeltaMsg message = {};
    message.data = {garbage.data(), garbage.size()};
    for (int64_t size : {(int64_t)1, (int64_t)16 << 20}) {
        message.size = size;
        send_as_peer(fleet, LEARNER, &LrPackedDeltaMsg_Descriptor, &message);
        EXPECT_TRUE(eventually(needs_whole));
        std::string path = "/after" + std::to_string(size) + "/";
        fleet.config(size == 1 ? 2 : 3,
                     many_routes(CONFIG_BYTES) +
                         ",{\"name\":\"after\",\"host\":\"q.example\","
                         "\"prefix\":\"" +
                         path +
                         "\",\"type\":\"idempotent\",\"timeout_ms\":1500,"
                         "\"service\":\"c\",\"max_attempts\":2}");
        EXPECT_TRUE(eventually([&] {
            return is_in_force(fleet, LEARNER, (path + "x").c_str());
        }));
        EXPECT_FALSE(needs_whole());
    }
}

// While a part of any long frame was there, peers were not asked for changes.
TEST_F(ConfigurationPropagation, AnEndlessFrameDoesNotKeepADaemonFromAsking)
{
    constexpr int LEARNER = 2;
    constexpr size_t FRAME_BYTES = 1 << 20;
    constexpr size_t FIRST_BYTES = 20 << 10;
    RoutedFleet fleet(BASE + 140, 1, 1);
    fleet.resize(LEARNER);
    fleet.start(LEARNER, NO_STORE);
    fleet.setup();
    ASSERT_TRUE(eventually([&] { return fleet.serves(LEARNER); }));
    RawPeer peer(fleet, LEARNER);
    peer.wait_for_hello();
    peer.send(length_prefix(FRAME_BYTES) + std::string(FIRST_BYTES, 'x'));
    std::atomic<bool> done = false;
    std::thread trickle([&] {
        while (!done) {
            peer.send("x");
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    });
    fleet.config(2, added_route());
    EXPECT_TRUE(
        eventually([&] { return is_in_force(fleet, LEARNER, ADDED_ROUTE); }));
    done = true;
    trickle.join();
}
