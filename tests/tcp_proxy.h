// A TCP proxy inside the test process that can drop connections.
#ifndef LAVENDERRAIL_TESTS_TCP_PROXY_H
#define LAVENDERRAIL_TESTS_TCP_PROXY_H

#include <arpa/inet.h>
#include <atomic>
#include <functional>
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
class TcpProxy {
  public:
    using Predicate = std::function<bool(const std::string &first)>;

    TcpProxy(int from, int to, Predicate drop)
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

  private:
    struct Pair {
        int in, out;
        std::string first;
    };

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
        int in = accept(listener_, nullptr, nullptr);
        int out = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at = address(to_);
        if (connect(out, reinterpret_cast<sockaddr *>(&at), sizeof(at)) < 0) {
            close(in);
            close(out);
            return;
        }
        pairs_.push_back({in, out, ""});
    }

    // False when the connection ended or has to be dropped.
    bool
    move(Pair &pair, int from, int to)
    {
        char buffer[65536];
        ssize_t got = recv(from, buffer, sizeof(buffer), MSG_DONTWAIT);
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
                fds.push_back({pair.in, POLLIN, 0});
                fds.push_back({pair.out, POLLIN, 0});
            }
            poll(fds.data(), fds.size(), 20);
            std::vector<Pair> kept;
            for (Pair &pair : pairs_) {
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

    int to_;
    Predicate drop_;
    int listener_;
    std::atomic<bool> stopping_{false};
    std::vector<Pair> pairs_;
    std::thread thread_;
};

#endif
