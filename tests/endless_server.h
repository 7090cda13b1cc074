// A server whose responses never end, and the memory of a process that reads
// them.
#ifndef LAVENDERRAIL_TESTS_ENDLESS_SERVER_H
#define LAVENDERRAIL_TESTS_ENDLESS_SERVER_H

#include <functional>

#include "routed.h"

// `begin`, then `more` again and again until the other end closes.
struct EndlessKind {
    const char *name;
    std::string begin, more;
};

inline std::vector<EndlessKind>
endless_kinds()
{
    const std::string ok = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n";
    const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
    return {
        {"head", ok, "X-Fill: " + std::string(1000, 'a') + "\r\n"},
        {"line", ok + "X-Fill: ", std::string(65536, 'a')},
        {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", chunk},
        {"body", ok + "\r\n", std::string(65536, 'x')},
    };
}

// Sends until the other end closes.
inline void
send_without_end(int fd, const std::string &begin, const std::string &more)
{
    bool open = ::send(fd, begin.data(), begin.size(), MSG_NOSIGNAL) > 0;
    while (open) {
        open = ::send(fd, more.data(), more.size(), MSG_NOSIGNAL) > 0;
    }
}

class EndlessServer {
  public:
    // Requests that `answers` does not take are not answered: their connection
    // is reset.
    EndlessServer(
        int port, EndlessKind kind,
        std::function<bool(const std::string &)> answers =
            [](const std::string &) { return true; })
        : kind_(std::move(kind)), answers_(std::move(answers))
    {
        listener_ = listen_on(port);
        acceptor_ = std::thread([this] { accept_all(); });
    }
    ~EndlessServer()
    {
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        close(listener_);
        for (std::thread &one : senders_) {
            one.join();
        }
    }
    int
    n_answered() const
    {
        return n_answered_;
    }

  private:
    void
    accept_all()
    {
        for (int fd; (fd = accept(listener_, nullptr, nullptr)) >= 0;) {
            senders_.emplace_back([this, fd] { send_on(fd); });
        }
    }
    void
    send_on(int fd)
    {
        char request[4096];
        ssize_t got = recv(fd, request, sizeof(request), 0);
        bool taken = got > 0 && answers_(std::string(request, (size_t)got));
        if (taken) {
            n_answered_++;
            // Lets many requests arrive before the first response begins.
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            send_without_end(fd, kind_.begin, kind_.more);
        }
        linger reset = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close(fd);
    }

    EndlessKind kind_;
    std::function<bool(const std::string &)> answers_;
    int listener_;
    std::atomic<int> n_answered_{0};
    std::thread acceptor_;
    std::vector<std::thread> senders_;
};

inline long
peak_kb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    long kb = 0;
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            status >> kb;
        }
    }
    return kb;
}

// Starts a daemon anew, with a memory that counts for itself only.
// AddressSanitizer quarantines freed memory for later checks, 256 MB by
// default, which would count as the daemon's.
inline void
restart_measured(RoutedFleet &fleet, int daemon,
                 const std::string &config_url = "")
{
    setenv("ASAN_OPTIONS",
           "quarantine_size_mb=0:thread_local_quarantine_size_kb=0", 1);
    fleet.daemons[(size_t)daemon].reset();
    fleet.start(daemon, config_url);
    unsetenv("ASAN_OPTIONS");
}

// Of the 160 MB that the smallest host has.
constexpr long MAX_PEAK_KB = 64 << 10;

#endif
