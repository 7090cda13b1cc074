// Messages between daemons: what is long doesn't hold up what is urgent.
#include <gtest/gtest.h>

#include <ev.h>

#include <string>
#include <vector>

#include "lavenderrail.h"
#include "tcp_proxy.h"

namespace {

constexpr int SENDER_PORT = 29450;
constexpr int RECEIVER_PORT = 29451;
constexpr int PROXY_PORT = 29452;
constexpr size_t LONG_BYTES = 1 << 20;
constexpr size_t LINK_BYTES_PER_S = 1 << 20;

std::string
address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

struct Daemon {
    explicit Daemon(int port) : own_address(address(port))
    {
        log = LrLog_New(stderr, 3);
        counters = LrCounters_New();
        LrPeersConfig config = {};
        config.loop = EV_DEFAULT;
        config.listen = LrStr_FromC(own_address.c_str());
        config.name = LrStr_FromC("peer");
        config.incarnation = 1;
        config.log = log;
        config.counters = counters;
        config.on_message = on_message;
        config.on_disconnect = on_disconnect;
        config.data = this;
        peers = LrPeers_New(&config, nullptr);
    }
    ~Daemon()
    {
        LrPeers_Free(peers);
        LrCounters_Free(counters);
        LrLog_Free(log);
    }
    static bool
    on_message(void *data, LrStr frame)
    {
        static_cast<Daemon *>(data)->received.push_back(frame.len);
        return true;
    }
    static void
    on_disconnect(void *, LrStr)
    {
    }
    void
    send(size_t length, bool unordered)
    {
        std::string text(length, 'x');
        LrValueMsg message = {};
        message.name = LrStr_FromC("v");
        message.text = {text.data(), text.size()};
        std::string to = address(PROXY_PORT);
        if (!unordered) {
            LrPeers_Send(peers, LrStr_FromC(to.c_str()),
                         &LrValueMsg_Descriptor, &message);
            return;
        }
        GByteArray *frame = g_byte_array_new();
        LrRecord_Pack(&LrValueMsg_Descriptor, &message, frame);
        LrPeers_SendUnordered(peers, LrStr_FromC(to.c_str()), frame);
        g_byte_array_unref(frame);
    }

    std::string own_address;
    LrLog *log;
    LrCounters *counters;
    LrPeers *peers;
    std::vector<size_t> received;
};

// Runs the loop until the condition holds; false after ten seconds.
bool
run_until(const std::function<bool()> &condition)
{
    LrTime end = LrClock_Now() + 10 * LR_SECOND;
    while (!condition() && LrClock_Now() < end) {
        ev_run(EV_DEFAULT, EVRUN_NOWAIT);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return condition();
}

} // namespace

// Probes waited behind copies of the configuration, and hosts that nothing had
// happened to were suspected.
TEST(Peers, AShortMessageDoesNotWaitBehindALongOne)
{
    Daemon sender(SENDER_PORT);
    Daemon receiver(RECEIVER_PORT);
    TcpProxy link(PROXY_PORT, RECEIVER_PORT);
    link.limit_rate_to_target(LINK_BYTES_PER_S);
    sender.send(1, false);
    ASSERT_TRUE(run_until([&] { return receiver.received.size() == 1; }));
    LrTime sent_at = LrClock_Now();
    sender.send(LONG_BYTES, true);
    sender.send(2, false);
    ASSERT_TRUE(run_until([&] { return receiver.received.size() == 2; }));
    EXPECT_LT(receiver.received[1], 100u);
    ASSERT_TRUE(run_until([&] {
        return LrPeers_IsReceivingLong(receiver.peers, sent_at, LrClock_Now());
    }));
    LrTime now = LrClock_Now();
    EXPECT_FALSE(LrPeers_IsReceivingLong(receiver.peers, now, now));
    ASSERT_TRUE(run_until([&] { return receiver.received.size() == 3; }));
    EXPECT_GT(receiver.received[2], LONG_BYTES);
    EXPECT_FALSE(
        LrPeers_IsReceivingLong(receiver.peers, sent_at, LrClock_Now()));
}
