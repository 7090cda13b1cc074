// Runs the real programs on loopback: daemons, and lr-standin, which plays the
// targets, the configuration service and the host list.
#ifndef LAVENDERRAIL_TESTS_FLEET_H
#define LAVENDERRAIL_TESTS_FLEET_H

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <memory>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <curl/curl.h>
#include <gtest/gtest.h>
#include <jansson.h>

#include "lavenderrail.h"

extern char **environ;

struct HttpAnswer {
    long status = 0;
    std::string body;

    std::string
    text(const char *name) const
    {
        json_t *json = json_loadb(body.data(), body.size(), 0, nullptr);
        const char *value = json_string_value(json_object_get(json, name));
        std::string result = value ? value : "";
        json_decref(json);
        return result;
    }
    std::string
    outcome() const
    {
        return text("outcome");
    }
};

inline size_t
append_body(char *data, size_t size, size_t n, void *user)
{
    static_cast<std::string *>(user)->append(data, size * n);
    return size * n;
}

// Sends one HTTP request, a POST if post is not null.
inline HttpAnswer
http(const std::string &url, const char *post = nullptr,
     const std::vector<std::string> &headers = {}, long timeout_ms = 20000)
{
    HttpAnswer answer;
    CURL *easy = curl_easy_init();
    curl_slist *list = nullptr;
    for (const std::string &header : headers) {
        list = curl_slist_append(list, header.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
    if (post) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, post);
    }
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.status);
    }
    curl_slist_free_all(list);
    curl_easy_cleanup(easy);
    return answer;
}

class Process {
  public:
    explicit Process(std::vector<std::string> arguments)
    {
        std::vector<char *> argv;
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        EXPECT_EQ(
            posix_spawn(&pid, argv[0], nullptr, nullptr, argv.data(), environ),
            0);
    }
    ~Process()
    {
        if (pid > 0) {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }
    void
    signal(int number) const
    {
        kill(pid, number);
    }
    // Exit status; -1 when it ended by a signal.
    int
    wait()
    {
        int status = 0;
        waitpid(pid, &status, 0);
        pid = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    pid_t pid = 0;
};

// True as soon as the condition holds; false after ten seconds.
inline bool
eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < 200; i++) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

class Fleet {
  public:
    // When proxied, peers reach a daemon at its first port + 4 and it reaches
    // the platform at + 5. The test has to listen there, and starts the
    // daemons with start_all.
    Fleet(int base, int n_daemons, const char *links = "3",
          bool proxied = false)
        : base_(base), links_(links), proxied_(proxied)
    {
        write_catalogue(1, 500);
        std::vector<std::string> arguments = {LR_BIN "/lr-standin",
                                              "--catalogue",
                                              path_,
                                              "--platform",
                                              address(0),
                                              "--seconds",
                                              "90",
                                              "--median-ms",
                                              "2"};
        for (int i = 1; i <= n_daemons; i++) {
            arguments.push_back("--daemon");
            arguments.push_back(name(i) + "," + zone(i) + "," +
                                address(10 * i + (proxied ? 4 : 3)));
        }
        standin = std::make_unique<Process>(arguments);
        EXPECT_TRUE(eventually(
            [&] { return http(platform("/control/reads")).status == 200; }));
        daemons.resize((size_t)n_daemons + 1);
        if (!proxied) {
            start_all();
        }
    }
    void
    start_all()
    {
        for (size_t i = 1; i < daemons.size(); i++) {
            start((int)i);
        }
        for (size_t i = 1; i < daemons.size(); i++) {
            EXPECT_TRUE(ready((int)i));
        }
    }
    ~Fleet()
    {
        unlink(path_.c_str());
    }

    void
    start(int i, std::string config_url = "")
    {
        if (config_url.empty()) {
            config_url = "http://" + address(proxied_ ? 10 * i + 5 : 0);
        }
        std::vector<std::string> arguments = {
            LR_BIN "/lavenderraild",
            "--name",
            name(i),
            "--zone",
            zone(i),
            "--listen",
            address(10 * i + 1),
            "--operator-listen",
            address(10 * i + 2),
            "--peer-listen",
            address(10 * i + 3),
            "--config-url",
            config_url,
            "--hosts-url",
            "http://" + address(proxied_ ? 10 * i + 5 : 0),
            "--probe-ms",
            "100",
            "--watch-wait-ms",
            "1000",
            "--watch-retry-ms",
            "100",
            "--drain-wait-ms",
            "400",
            "--peer-address",
            address(10 * i + (proxied_ ? 4 : 3)),
            "--target-links",
            links_,
            "--log-level",
            "4",
            "--seed",
            std::to_string(i)};
        daemons[(size_t)i] = std::make_unique<Process>(arguments);
    }
    bool
    ready(int i)
    {
        return eventually([&] {
            return http(operators(i, "/readyz"), nullptr, {}, 1000).status ==
                   200;
        });
    }
    std::string
    address(int port) const
    {
        return "127.0.0.1:" + std::to_string(base_ + port);
    }
    std::string
    platform(const std::string &path) const
    {
        return "http://" + address(0) + path;
    }
    std::string
    callers(int i, const std::string &path) const
    {
        return "http://" + address(10 * i + 1) + path;
    }
    std::string
    operators(int i, const std::string &path) const
    {
        return "http://" + address(10 * i + 2) + path;
    }
    HttpAnswer
    query(int i, const char *body = "{}")
    {
        return http(callers(i, "/v1/query/ask"), body);
    }
    std::string
    key(int i)
    {
        return http(callers(i, "/v1/keys"), "").text("key");
    }
    HttpAnswer
    order(int i, const std::string &key, const char *body = "{}")
    {
        return http(callers(i, "/v1/call/order"), body,
                    {"Idempotency-Key: " + key});
    }
    // How often targets ran the request of a key.
    int
    runs(const std::string &key)
    {
        HttpAnswer answer = http(platform("/control/runs"));
        json_t *json =
            json_loadb(answer.body.data(), answer.body.size(), 0, nullptr);
        int n = (int)json_integer_value(json_object_get(json, key.c_str()));
        json_decref(json);
        return n;
    }
    void
    fault(const std::string &target, const std::string &what)
    {
        EXPECT_EQ(
            http(platform("/control/targets/" + target + "?" + what)).status,
            200);
    }
    void
    platform_fault(const std::string &what)
    {
        http(platform("/control/platform?" + what));
    }
    int64_t
    state_number(int i, const char *object, const char *member)
    {
        HttpAnswer answer = http(operators(i, "/state"), nullptr, {}, 2000);
        json_t *json =
            json_loadb(answer.body.data(), answer.body.size(), 0, nullptr);
        json_t *inner = json_object_get(json, object);
        int64_t n = json_integer_value(json_object_get(inner, member));
        json_decref(json);
        return n;
    }
    int64_t
    revision(int i)
    {
        return state_number(i, "catalogue", "revision");
    }
    // Whether daemon i believes that a target is leaving.
    bool
    is_leaving(int i, const std::string &target)
    {
        HttpAnswer answer = http(operators(i, "/state"), nullptr, {}, 2000);
        json_t *json =
            json_loadb(answer.body.data(), answer.body.size(), 0, nullptr);
        bool leaving = false;
        size_t n;
        json_t *row;
        json_array_foreach(json_object_get(json, "targets"), n, row)
        {
            if (target == json_string_value(json_object_get(row, "name"))) {
                leaving = json_is_true(json_object_get(row, "leaving"));
            }
        }
        json_decref(json);
        return leaving;
    }
    // Publishes a new revision of the catalogue, with another deadline.
    void
    edit(int revision, int deadline_ms)
    {
        write_catalogue(revision, deadline_ms);
        std::ifstream file(path_);
        std::stringstream text;
        text << file.rdbuf();
        http(platform("/control/catalogue"), text.str().c_str());
    }
    static std::string
    name(int i)
    {
        return "d" + std::to_string(i);
    }
    static std::string
    zone(int i)
    {
        return "z" + std::to_string((i - 1) % 3);
    }

    std::unique_ptr<Process> standin;
    std::vector<std::unique_ptr<Process>> daemons;

  private:
    void
    write_catalogue(int revision, int deadline_ms)
    {
        path_ = "/tmp/lr-test-" + std::to_string(getpid()) + "-" +
                std::to_string(base_) + ".json";
        std::ofstream file(path_);
        file << "{\"revision\":" << revision
             << ",\"services\":[{\"name\":\"s\",\"maps\":[{\"version\":1,"
                "\"groups\":[";
        int port = base_ + 60;
        for (int g = 0; g < 4; g++) {
            file << (g ? "," : "") << "{\"name\":\"g" << g
                 << "\",\"replicas\":[";
            for (int r = 0; r < 3; r++) {
                file << (r ? "," : "") << "{\"name\":\"t" << g << r
                     << "\",\"zone\":\"z" << r
                     << "\",\"address\":\"127.0.0.1:" << port++ << "\"}";
            }
            file << "]}";
        }
        file << "]}]}],\"entries\":["
                "{\"name\":\"ask\",\"owner\":\"o\",\"service\":\"s\","
                "\"max_concurrency\":300,\"rate_per_s\":100000,"
                "\"deadline_ms\":"
             << deadline_ms
             << "},{\"name\":\"few\",\"owner\":\"o\",\"service\":\"s\","
                "\"rate_per_s\":30,\"deadline_ms\":500"
             << "},{\"name\":\"order\",\"owner\":\"o\",\"service\":\"s\","
                "\"max_concurrency\":300,\"rate_per_s\":100000,"
                "\"idempotent\":false,\"deadline_ms\":3000}]}";
    }

    int base_;
    std::string links_;
    bool proxied_;
    std::string path_;
};

#endif
