// A TCP proxy inside the test process that can drop connections.
#ifndef LAVENDERRAIL_TESTS_TCP_PROXY_H
#define LAVENDERRAIL_TESTS_TCP_PROXY_H

#include <arpa/inet.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <linux/filter.h>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Forwards connections from one loopback port to another. A connection is
// dropped as soon as the predicate holds for its first bytes; it is evaluated
// again and again, so a test can start to drop connections at any time.
// Connections that come from one IP number can be cut.
class TcpProxy {
  public:
    using Predicate = std::function<bool(const std::string &first)>;
    enum class Cut { NONE, HANG, RESET, RESET_NEW };

    TcpProxy(
        int from, int to,
        Predicate drop = [](const std::string &) { return false; })
        : to_(to), drop_(std::move(drop))
    {
        int on = 1;
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in at = address(from);
        bind(listener_, reinterpret_cast<sockaddr *>(&at), sizeof(at));
        listen(listener_, 64);
        thread_ = std::thread([this] { run(); });
    }
    ~TcpProxy()
    {
        stopping_ = true;
        thread_.join();
        for (Pair &pair : pairs_) {
            close(pair.in);
            close(pair.out);
        }
        close(listener_);
    }

    // Passes on at most that many bytes a second of what each connection's
    // accepting side sends; 0 for no limit.
    void
    limit_rate(size_t bytes_per_s)
    {
        rate_ = bytes_per_s;
    }

    // The same of what each connection's opening side sends.
    void
    limit_rate_to_target(size_t bytes_per_s)
    {
        rate_to_target_ = bytes_per_s;
    }

    // HANG: packets are dropped, also those of new connections. RESET:
    // connections are reset, open and new ones. RESET_NEW: open ones go on.
    void
    cut(const std::string &source, Cut how)
    {
        std::lock_guard<std::mutex> guard(lock_);
        cuts_[source] = how;
        std::vector<std::string> dropped;
        for (const auto &[address, cut] : cuts_) {
            if (cut == Cut::HANG) {
                dropped.push_back(address);
            }
        }
        drop_packets(listener_, dropped);
    }

  private:
    struct Pair {
        int in, out;
        std::string first;
        std::string source;
        bool hangs = false;
        std::chrono::steady_clock::time_point next_at = {};
        std::chrono::steady_clock::time_point next_to_target_at = {};
    };

    Cut
    cut_of(const std::string &source)
    {
        std::lock_guard<std::mutex> guard(lock_);
        auto found = cuts_.find(source);
        return found == cuts_.end() ? Cut::NONE : found->second;
    }

    // Makes the socket drop what comes from these IP numbers.
    static void
    drop_packets(int fd, const std::vector<std::string> &sources)
    {
        constexpr uint32_t SOURCE_IN_IP_HEADER = 12;
        std::vector<sock_filter> code = {
            BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
                     (uint32_t)SKF_NET_OFF + SOURCE_IN_IP_HEADER)};
        for (const std::string &source : sources) {
            uint32_t ip = ntohl(inet_addr(source.c_str()));
            code.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, ip, 0, 1));
            code.push_back(BPF_STMT(BPF_RET | BPF_K, 0));
        }
        code.push_back(BPF_STMT(BPF_RET | BPF_K, UINT32_MAX));
        sock_fprog program = {.len = (unsigned short)code.size(),
                              .filter = code.data()};
        setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                   sizeof(program));
    }

    static void
    reset(int fd)
    {
        linger at_once = {.l_onoff = 1, .l_linger = 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        close(fd);
    }

    static sockaddr_in
    address(int port)
    {
        sockaddr_in at = {};
        at.sin_family = AF_INET;
        at.sin_port = htons((uint16_t)port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return at;
    }

    void
    accept_one()
    {
        sockaddr_in peer = {};
        socklen_t len = sizeof(peer);
        int in = accept(listener_, reinterpret_cast<sockaddr *>(&peer), &len);
        char source[INET_ADDRSTRLEN];
        inet_ntop(AF_INET, &peer.sin_addr, source, sizeof(source));
        Cut how = cut_of(source);
        if (how == Cut::RESET || how == Cut::RESET_NEW) {
            reset(in);
            return;
        }
        int out = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at = address(to_);
        if (connect(out, reinterpret_cast<sockaddr *>(&at), sizeof(at)) < 0) {
            close(in);
            close(out);
            return;
        }
        pairs_.push_back({in, out, "", source, false});
    }

    // False when the connection ended or has to be dropped.
    bool
    move(Pair &pair, int from, int to)
    {
        char buffer[65536];
        size_t max = sizeof(buffer);
        size_t rate = from == pair.out ? rate_ : rate_to_target_;
        if (rate > 0) {
            auto &next_at =
                from == pair.out ? pair.next_at : pair.next_to_target_at;
            auto now = std::chrono::steady_clock::now();
            if (now < next_at) {
                return true;
            }
            next_at = now + RATE_STEP;
            max = std::min(max, rate / STEPS_PER_S + 1);
        }
        ssize_t got = recv(from, buffer, max, MSG_DONTWAIT);
        if (got <= 0) {
            return got < 0 && errno == EAGAIN;
        }
        if (from == pair.in && pair.first.size() < 64) {
            pair.first.append(buffer, (size_t)got);
        }
        if (drop_(pair.first)) {
            return false;
        }
        return send(to, buffer, (size_t)got, MSG_NOSIGNAL) == got;
    }

    void
    run()
    {
        while (!stopping_) {
            std::vector<pollfd> fds = {{listener_, POLLIN, 0}};
            for (const Pair &pair : pairs_) {
                if (cut_of(pair.source) == Cut::HANG) {
                    continue;
                }
                fds.push_back({pair.in, POLLIN, 0});
                fds.push_back({pair.out, POLLIN, 0});
            }
            if (rate_ > 0 || rate_to_target_ > 0) {
                // What waits for its time would keep poll from waiting.
                std::this_thread::sleep_for(RATE_STEP / 4);
            }
            poll(fds.data(), fds.size(), 20);
            std::vector<Pair> kept;
            for (Pair &pair : pairs_) {
                Cut how = cut_of(pair.source);
                if (pair.hangs != (how == Cut::HANG)) {
                    pair.hangs = !pair.hangs;
                    drop_packets(pair.in,
                                 pair.hangs
                                     ? std::vector<std::string>{pair.source}
                                     : std::vector<std::string>{});
                }
                if (pair.hangs) {
                    kept.push_back(pair);
                    continue;
                }
                if (how == Cut::RESET) {
                    reset(pair.in);
                    close(pair.out);
                    continue;
                }
                bool open = !drop_(pair.first) &&
                            move(pair, pair.in, pair.out) &&
                            move(pair, pair.out, pair.in);
                if (open) {
                    kept.push_back(pair);
                }
                else {
                    close(pair.in);
                    close(pair.out);
                }
            }
            pairs_ = kept;
            if (fds[0].revents & POLLIN) {
                accept_one();
            }
        }
    }

    static constexpr size_t STEPS_PER_S = 100;
    static constexpr std::chrono::milliseconds RATE_STEP{1000 / STEPS_PER_S};

    int to_;
    std::atomic<size_t> rate_{0};
    std::atomic<size_t> rate_to_target_{0};
    Predicate drop_;
    int listener_;
    std::atomic<bool> stopping_{false};
    std::vector<Pair> pairs_;
    std::mutex lock_;
    std::map<std::string, Cut> cuts_;
    std::thread thread_;
};

#endif
