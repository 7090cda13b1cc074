// Bytes that are no message and never end, from checked targets, peers and the
// configuration store: memory stays bounded, and callers are served.
#include "endless_server.h"

namespace {

constexpr int BASE = 23400;
constexpr int N_PEER_LINKS = 12;

class EndlessInput : public testing::Test {
  protected:
    void
    SetUp() override
    {
        fleet = std::make_unique<RoutedFleet>(BASE, 2);
        fleet->setup();
        restart_measured(*fleet, 1);
        for (int i = 1; i <= 2; i++) {
            ASSERT_TRUE(eventually([&] { return fleet->serves(i); }));
        }
    }
    void
    expect_bounded(int daemon, const std::string &what) const
    {
        long peak = peak_kb(fleet->daemons[(size_t)daemon]->pid);
        EXPECT_GT(peak, 0) << what;
        EXPECT_LT(peak, MAX_PEAK_KB) << what;
    }

    std::unique_ptr<RoutedFleet> fleet;
};

std::string
frame(const std::string &content)
{
    uint32_t length = htonl((uint32_t)content.size());
    return std::string((const char *)&length, sizeof(length)) + content;
}

// The head of a frame of 31 MB.
std::string
large_frame()
{
    uint32_t length = htonl(31 << 20);
    return std::string((const char *)&length, sizeof(length));
}

std::string
hello()
{
    LrHelloMsg message = {};
    message.protocol = 1;
    message.name = LrStr_FromC("stranger");
    GByteArray *packed = g_byte_array_new();
    LrRecord_Pack(&LrHelloMsg_Descriptor, &message, packed);
    std::string text((const char *)packed->data, packed->len);
    g_byte_array_unref(packed);
    return frame(text);
}

int
connect_to(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons((uint16_t)port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, (sockaddr *)&to, sizeof(to)), 0);
    return fd;
}

} // namespace

// Both targets of a service die of each request, and their health checks are
// answered without end.
TEST_F(EndlessInput, OfHealthChecksIsDiscarded)
{
    auto is_check = [](const std::string &request) {
        return request.find("/healthz") != std::string::npos;
    };
    int port = BASE + 150;
    for (const EndlessKind &kind : endless_kinds()) {
        EndlessServer one(port, kind, is_check);
        EndlessServer two(port + 1, kind, is_check);
        for (const char *target : {"c1", "c2"}) {
            fleet->control(
                "entry?id=" + std::string(target) +
                "&state=ready&address=127.0.0.1:" + std::to_string(port++));
        }
        int n = 0;
        EXPECT_TRUE(eventually([&] {
            std::string id = kind.name + std::to_string(n++);
            fleet->ask(1, "/c/" + id, id);
            return one.n_answered() + two.n_answered() > 0;
        })) << kind.name;
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        EXPECT_EQ(fleet->ask(1, "/w/x", "beside").status, 200) << kind.name;
    }
    expect_bounded(1, "health checks");
}

TEST_F(EndlessInput, OfPeersIsDiscarded)
{
    const EndlessKind kinds[] = {
        {"no hello", large_frame(), std::string(65536, 'x')},
        {"frame", hello() + large_frame(), std::string(65536, 'x')},
        {"text", "GET / HTTP/1.1\r\n", std::string(65536, 'x')},
        {"empty frames", hello(), std::string(65536, '\0')},
    };
    for (const EndlessKind &kind : kinds) {
        std::vector<int> links;
        std::vector<std::thread> senders;
        for (int i = 0; i < N_PEER_LINKS; i++) {
            links.push_back(connect_to(BASE + 13));
            senders.emplace_back([&kind, fd = links.back()] {
                send_without_end(fd, kind.begin, kind.more);
            });
        }
        std::this_thread::sleep_for(std::chrono::seconds(2));
        for (int n = 0; n < 5; n++) {
            EXPECT_EQ(
                fleet->ask(1, "/c/x", kind.name + std::to_string(n)).status,
                200);
        }
        for (int fd : links) {
            shutdown(fd, SHUT_RDWR);
        }
        for (std::thread &sender : senders) {
            sender.join();
        }
        for (int fd : links) {
            close(fd);
        }
        expect_bounded(1, kind.name);
    }
}

TEST_F(EndlessInput, OfTheStoreIsDiscarded)
{
    std::vector<EndlessKind> kinds = endless_kinds();
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    kinds.push_back({"interim responses", "HTTP/1.1 100 Continue\r\n\r\n",
                     "HTTP/1.1 103 Early Hints\r\nX-Fill: aaaa\r\n\r\n"});
    kinds.push_back({"trailers",
                     ok + "Transfer-Encoding: chunked\r\n\r\n"
                          "2\r\n{}\r\n0\r\n",
                     "X-Fill: " + std::string(1000, 'a') + "\r\n"});
    kinds.push_back(
        {"items", ok + "\r\n{\"store_revision\":900,\"items\":[",
         "{\"key\":\"op/config\",\"revision\":900,\"value\":\"eA==\"},"});
    int port = BASE + 150;
    for (const EndlessKind &kind : kinds) {
        EndlessServer store(port, kind);
        restart_measured(*fleet, 1,
                         "http://127.0.0.1:" + std::to_string(port++));
        ASSERT_TRUE(eventually([&] { return store.n_answered() > 1; }))
            << kind.name;
        EXPECT_TRUE(eventually([&] { return fleet->serves(1); })) << kind.name;
        expect_bounded(1, kind.name);
        fleet->daemons[1].reset();
    }
}
