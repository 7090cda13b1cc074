// The routed interface with real processes on loopback: daemons, and a fake of
// the platform's store and of the searchers.
#ifndef LAVENDERRAIL_TESTS_ROUTED_H
#define LAVENDERRAIL_TESTS_ROUTED_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "fleet.h"
#include "tcp_proxy.h"

// An answer with its headers.
struct RoutedAnswer {
    long status = 0;
    std::string body;
    std::string head;

    std::string
    header(const std::string &name) const
    {
        size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return "";
        }
        at += name.size() + 4;
        return head.substr(at, head.find("\r\n", at) - at);
    }
};

// One connection of a caller, which sends raw bytes and parses the answers.
class RawCaller {
  public:
    explicit RawCaller(int port)
    {
        fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_port = htons((uint16_t)port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        timeval limit = {.tv_sec = 10, .tv_usec = 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        connected = connect(fd, (sockaddr *)&to, sizeof(to)) == 0;
    }
    ~RawCaller()
    {
        close_now();
    }
    void
    close_now()
    {
        if (fd >= 0) {
            close(fd);
            fd = -1;
        }
    }
    void
    send(const std::string &text) const
    {
        ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    }
    // Status 0 when the connection ended before a whole answer.
    RoutedAnswer
    read()
    {
        RoutedAnswer answer;
        size_t end;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return answer;
            }
        }
        answer.head = buffer.substr(0, end + 2);
        std::string length = answer.header("Content-Length");
        size_t want = length.empty() ? 0 : std::stoul(length);
        while (buffer.size() < end + 4 + want) {
            if (!fill()) {
                return answer;
            }
        }
        answer.status = std::stol(answer.head.substr(9, 3));
        answer.body = buffer.substr(end + 4, want);
        buffer.erase(0, end + 4 + want);
        return answer;
    }
    bool
    is_closed()
    {
        return buffer.empty() && !fill();
    }

    bool connected = false;

  private:
    bool
    fill()
    {
        char chunk[4096];
        ssize_t got = recv(fd, chunk, sizeof(chunk), 0);
        if (got <= 0) {
            return false;
        }
        buffer.append(chunk, (size_t)got);
        return true;
    }

    int fd;
    std::string buffer;
};

// Listens on a loopback port for a fake searcher.
inline int
listen_on(int port)
{
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons((uint16_t)port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(bind(listener, (sockaddr *)&at, sizeof(at)), 0);
    EXPECT_EQ(listen(listener, 64), 0);
    return listener;
}

// Routes of that many bytes of JSON, and one at which the last one begins.
inline std::string
many_routes(size_t bytes)
{
    std::string routes;
    for (int i = 0; routes.size() < bytes; i++) {
        std::string n = std::to_string(100000 + i);
        routes += ",{\"name\":\"m" + n +
                  "\",\"host\":\"q.example\",\"prefix\":\"/m" + n +
                  "/department/\",\"type\":\"idempotent\","
                  "\"timeout_ms\":1500,\"service\":\"c\","
                  "\"max_attempts\":2}";
    }
    return routes;
}

class RoutedFleet {
  public:
    RoutedFleet(int first_port, int n_daemons, int zones = 3)
        : base(first_port), n_zones(zones),
          first_server(std::max(100, 10 * (n_daemons + 1)))
    {
        standin = std::make_unique<Process>(
            std::vector<std::string>{LR_BIN "/lr-standin-routed", "--store",
                                     address(0), "--seconds", "120"});
        EXPECT_TRUE(eventually(
            [&] { return http(store("/control/runs")).status == 200; }));
        daemons.resize((size_t)n_daemons + 1);
        for (int i = 1; i <= n_daemons; i++) {
            start(i);
        }
    }
    std::string
    address(int port) const
    {
        return "127.0.0.1:" + std::to_string(base + port);
    }
    std::string
    store(const std::string &path) const
    {
        return "http://" + address(0) + path;
    }
    // IP number from which daemon i connects to searchers.
    static std::string
    source(int i)
    {
        return "127.0.0." + std::to_string(10 + i);
    }
    int
    port(int i) const
    {
        return base + 10 * i + 1;
    }
    // Makes room for that many daemons, which the caller starts.
    void
    resize(int n_daemons)
    {
        daemons.resize((size_t)n_daemons + 1);
    }
    void
    start(int i, std::string config_url = "")
    {
        if (config_url.empty()) {
            config_url = "http://" + address(0);
        }
        std::vector<std::string> arguments = {
            programs.count(i) ? programs[i] : LR_BIN "/lavenderraild",
            "--contract",
            "platform",
            "--name",
            "h" + std::to_string(i),
            "--zone",
            "z" + std::to_string(i % n_zones),
            "--speed",
            i <= N_STRONG ? "0.5" : "0.12",
            "--listen",
            address(10 * i + 1),
            "--operator-listen",
            address(10 * i + 2),
            "--peer-listen",
            address(10 * i + 3),
            "--target-source",
            source(i),
            "--seeds",
            address(13) + "," + address(23),
            "--config-url",
            config_url,
            "--probe-ms",
            "100",
            "--watch-wait-ms",
            "1000",
            "--watch-retry-ms",
            "100",
            "--drain-wait-ms",
            "600",
            "--stop-limit-ms",
            "4000",
            "--budget-ratio",
            "0.2",
            "--budget-extra",
            "200",
            "--hedge-medians",
            "3",
            "--linger-ms",
            "300",
            "--connect-timeout-ms",
            "200",
            "--absence-hold-ms",
            "1500",
            "--log-level",
            std::getenv("LR_TEST_LOG") ? "6" : "3",
            "--seed",
            std::to_string(i)};
        daemons[(size_t)i] = std::make_unique<Process>(arguments);
    }
    bool
    ready(int i) const
    {
        return http(operators(i, "/readyz"), nullptr, {}, 1000).status == 200;
    }
    std::string
    operators(int i, const std::string &path) const
    {
        return "http://" + address(10 * i + 2) + path;
    }
    void
    control(const std::string &call, const std::string &body = "") const
    {
        EXPECT_EQ(http(store("/control/" + call), body.c_str()).status, 200)
            << call;
    }
    // Adds a searcher at that port behind those of the daemons; with a proxy
    // in front of it, the daemons reach it there.
    void
    server(const std::string &id, const std::string &service, int port,
           const std::string &zone = "z0", int cold_ms = 0)
    {
        int public_port = first_server + port;
        std::string call = "server?id=" + id + "&service=" + service +
                           "&zone=" + zone +
                           "&cold=" + std::to_string(cold_ms) +
                           "&address=" + address(public_port);
        if (proxied) {
            int own_port = public_port + PROXY_DISTANCE;
            call += "&listen=" + address(own_port);
            proxies.push_back(std::make_unique<TcpProxy>(base + public_port,
                                                         base + own_port));
        }
        control(call);
    }
    // Cuts the links of a daemon to all searchers.
    void
    cut(int daemon, TcpProxy::Cut how)
    {
        for (auto &proxy : proxies) {
            proxy->cut(source(daemon), how);
        }
    }
    void
    fault(const std::string &id, const std::string &name, int value) const
    {
        control("fault?id=" + id + "&name=" + name +
                "&value=" + std::to_string(value));
    }
    // Adds two shards of two searchers each, and a service of two.
    void
    setup(const std::string &more_routes = "")
    {
        server("a1", "a", 1);
        server("a2", "a", 2);
        server("b1", "b", 3);
        server("b2", "b", 4);
        server("c1", "c", 5);
        server("c2", "c", 6);
        config(1, more_routes);
    }
    void
    config(int version, const std::string &more_routes = "") const
    {
        control("config",
                "{\"version\":" + std::to_string(version) +
                    ",\"routes\":["
                    "{\"name\":\"wide\",\"host\":\"q.example\","
                    "\"prefix\":\"/w/\",\"type\":\"idempotent\","
                    "\"timeout_ms\":1500,\"target_latency_ms\":400,"
                    "\"priority\":1,\"gather\":[\"a\",\"b\"],"
                    "\"max_attempts\":2,\"top_k\":5,"
                    "\"min_shard_share\":0.5},"
                    "{\"name\":\"strict\",\"host\":\"q.example\","
                    "\"prefix\":\"/s/\",\"type\":\"idempotent\","
                    "\"timeout_ms\":1500,\"target_latency_ms\":400,"
                    "\"priority\":1,\"gather\":[\"a\",\"b\"],"
                    "\"max_attempts\":2,\"top_k\":5,"
                    "\"min_shard_share\":1.0},"
                    "{\"name\":\"one\",\"host\":\"q.example\","
                    "\"prefix\":\"/c/\",\"type\":\"idempotent\","
                    "\"timeout_ms\":1500,\"service\":\"c\","
                    "\"max_attempts\":2},"
                    "{\"name\":\"order\",\"host\":\"q.example\","
                    "\"prefix\":\"/o/\",\"type\":\"non_idempotent\","
                    "\"timeout_ms\":1500,\"service\":\"c\","
                    "\"max_attempts\":2}" +
                    more_routes +
                    "],\"services\":[{\"name\":\"a\",\"health_path\":\"/"
                    "healthz\",\"max_connections\":30},"
                    "{\"name\":\"b\",\"health_path\":\"/"
                    "healthz\",\"max_connections\":30},"
                    "{\"name\":\"c\",\"health_path\":\"/"
                    "healthz\",\"max_connections\":30}],"
                    "\"limits\":{\"max_header_bytes\":2048,"
                    "\"max_body_bytes\":4096,\"header_timeout_ms\":700,"
                    "\"idle_timeout_ms\":1500}}");
    }
    static std::string
    request(const std::string &path, const std::string &id,
            const std::string &method = "GET", const std::string &body = "",
            int deadline_ms = 2000)
    {
        std::string text =
            method + " " + path +
            " HTTP/1.1\r\nHost: q.example\r\nX-Request-Id: " + id +
            "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms);
        if (!body.empty()) {
            text += "\r\nContent-Length: " + std::to_string(body.size());
        }
        return text + "\r\n\r\n" + body;
    }
    RoutedAnswer
    ask(int i, const std::string &path, const std::string &id,
        const std::string &method = "GET", const std::string &body = "") const
    {
        RawCaller caller(port(i));
        caller.send(request(path, id, method, body));
        return caller.read();
    }
    // Whether daemon i gives complete answers.
    bool
    serves(int i) const
    {
        return ask(i, "/w/ready", "probe").header("X-Missing-Parts") == "0" &&
               ask(i, "/c/ready", "probe").status == 200;
    }
    // Requests per second that daemon i believes a searcher accepts from all
    // daemons; -1 while it knows no limit.
    double
    rate_limit(int i, const std::string &id) const
    {
        double limit = -1;
        each_in_state(i, "targets", [&](const json_t *target) {
            std::string name =
                json_string_value(json_object_get(target, "name"));
            json_t *value = json_object_get(json_object_get(target, "rate"),
                                            "limit_per_s");
            if (name.substr(0, name.find('@')) == id &&
                json_is_number(value)) {
                limit = json_number_value(value);
            }
        });
        return limit;
    }
    // Whether daemon i believes that a searcher is leaving.
    bool
    is_leaving(int i, const std::string &id) const
    {
        bool leaving = false;
        each_in_state(i, "targets", [&](const json_t *target) {
            std::string name =
                json_string_value(json_object_get(target, "name"));
            leaving |= name.substr(0, name.find('@')) == id &&
                       json_is_true(json_object_get(target, "leaving"));
        });
        return leaving;
    }
    // Whether daemon i knows that all daemons are alive.
    bool
    knows_all(int i) const
    {
        size_t n_alive = 0;
        each_in_state(i, "members", [&](const json_t *member) {
            n_alive += std::string("alive") ==
                       json_string_value(json_object_get(member, "state"));
        });
        return n_alive == daemons.size() - 1;
    }
    // Counter of daemon i; -1 when there is none.
    long
    counter(int i, const std::string &name) const
    {
        std::string text = http(operators(i, "/metrics")).body;
        size_t at = text.find("\nlavenderrail_" + name + "_total ");
        return at == std::string::npos
                   ? -1
                   : std::stol(text.substr(text.find(" ", at) + 1));
    }
    // When a searcher refused requests, in milliseconds.
    std::vector<int64_t>
    shed_times(const std::string &id) const
    {
        std::vector<int64_t> times;
        each_request("shed", [&](const json_t *run) {
            if (id == json_string_value(json_object_get(run, "server"))) {
                times.push_back(
                    json_integer_value(json_object_get(run, "at_ms")));
            }
        });
        return times;
    }
    // Requests that reached an evacuated zone, in milliseconds after its key
    // was stored.
    std::vector<int64_t>
    evacuated_times() const
    {
        std::vector<int64_t> times;
        each_request("evacuated", [&](const json_t *run) {
            times.push_back(
                json_integer_value(json_object_get(run, "after_ms")));
        });
        return times;
    }
    // Whether daemon i knows that the zone of a searcher is evacuated.
    bool
    is_evacuated(int i, const std::string &id) const
    {
        bool evacuated = false;
        each_in_state(i, "targets", [&](const json_t *target) {
            std::string name =
                json_string_value(json_object_get(target, "name"));
            evacuated |= name.substr(0, name.find('@')) == id &&
                         json_is_true(json_object_get(target, "evacuated"));
        });
        return evacuated;
    }
    // Searchers that ran the request of that id, one entry for each run.
    std::vector<std::string>
    runs(const std::string &id) const
    {
        std::vector<std::string> servers;
        each_request("runs", [&](const json_t *run) {
            if (id == json_string_value(json_object_get(run, "id"))) {
                servers.push_back(
                    json_string_value(json_object_get(run, "server")));
            }
        });
        return servers;
    }
    // When searchers began to run requests with that request target, in
    // milliseconds.
    std::vector<int64_t>
    run_times(const std::string &target) const
    {
        std::vector<int64_t> times;
        each_request("runs", [&](const json_t *run) {
            if (target == json_string_value(json_object_get(run, "target"))) {
                times.push_back(
                    json_integer_value(json_object_get(run, "at_ms")));
            }
        });
        return times;
    }

    // This many of the first daemons have a higher --speed, which gets them
    // chosen as aggregators.
    static constexpr int N_STRONG = 3;
    // From the port of a searcher's proxy to its own.
    static constexpr int PROXY_DISTANCE = 50;

    bool proxied = false;
    std::vector<std::unique_ptr<TcpProxy>> proxies;
    int base;
    int n_zones;
    int first_server;
    std::unique_ptr<Process> standin;
    // Programs of daemons that don't run the build under test.
    std::map<int, std::string> programs;
    std::vector<std::unique_ptr<Process>> daemons;

  private:
    static void
    each_row(const HttpAnswer &answer, const std::string &list,
             const std::function<void(const json_t *)> &func)
    {
        json_t *json =
            json_loadb(answer.body.data(), answer.body.size(), 0, nullptr);
        size_t i;
        json_t *row;
        json_array_foreach(json_object_get(json, list.c_str()), i, row)
        {
            func(row);
        }
        json_decref(json);
    }
    void
    each_in_state(int i, const std::string &list,
                  const std::function<void(const json_t *)> &func) const
    {
        each_row(http(operators(i, "/state"), nullptr, {}, 2000), list, func);
    }
    void
    each_request(const std::string &list,
                 const std::function<void(const json_t *)> &func) const
    {
        each_row(http(store("/control/" + list)), "runs", func);
    }
};

#endif
