/* lr-bench load: callers on real loopback sockets, through a daemon and
 * straight to a target in the same run. The daemon, the targets and the
 * platform run already; bench/run-load starts them. */
#include "bench.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <ev.h>

#include "quantile.h"

enum { OPTION_MAX_ERRORS = 10, MAX_BODY = 1 << 24 };

typedef struct Load Load;

typedef struct {
    Load *load;
    LrTime sent_at;
} Caller;

struct Load {
    struct ev_loop *loop;
    LrClient *client;
    const char *url;
    bool direct;
    GBytes *body;
    Caller *callers;
    int n_callers;
    int n_busy;
    ev_timer stop;
    bool over;
    GArray *latencies;
    uint64_t n_failed;
};

static void send_next(Caller *caller);

static void
on_done(void *data, const LrTransferResult *result)
{
    Caller *caller = data;
    Load *load = caller->load;
    double us =
        (double)(LrClock_Now() - caller->sent_at) / (double)LR_MICROSECOND;
    load->n_busy--;
    if (result->end == LR_TRANSFER_OK && result->status == 200) {
        g_array_append_val(load->latencies, us);
    }
    else {
        load->n_failed++;
    }
    if (!load->over) {
        send_next(caller);
    }
    else if (load->n_busy == 0) {
        ev_break(load->loop, EVBREAK_ALL);
    }
}

static void
send_next(Caller *caller)
{
    static const char *const direct_headers[] = {
        "Lr-Attempt: 1", "Lr-Shard: bench", "Lr-Snapshot: 1"};
    Load *load = caller->load;
    LrTransferSpec spec = {
        .url = load->url,
        .post = true,
        .headers = direct_headers,
        .n_headers = load->direct ? G_N_ELEMENTS(direct_headers) : 0,
        .body = load->body,
        .timeout = 10 * LR_SECOND,
        .done = on_done,
        .data = caller,
    };
    caller->sent_at = LrClock_Now();
    load->n_busy++;
    LrClient_Send(load->client, &spec);
}

static void
on_stop(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    Load *load = timer->data;
    load->over = true;
}

/* Processor seconds that a process has used; 0 without a process. */
static double
process_seconds(int pid)
{
    g_autofree char *path = g_strdup_printf("/proc/%d/stat", pid);
    g_autofree char *text = NULL;
    if (pid <= 0 || !g_file_get_contents(path, &text, NULL, NULL)) {
        return 0;
    }
    unsigned long user = 0;
    unsigned long kernel = 0;
    const char *rest = strrchr(text, ')');
    if (!rest || sscanf(rest,
                        ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u "
                        "%*u %lu %lu",
                        &user, &kernel) != 2) {
        return 0;
    }
    return (double)(user + kernel) / (double)sysconf(_SC_CLK_TCK);
}

static double
process_mb(int pid)
{
    g_autofree char *path = g_strdup_printf("/proc/%d/statm", pid);
    g_autofree char *text = NULL;
    unsigned long pages = 0;
    if (pid <= 0 || !g_file_get_contents(path, &text, NULL, NULL) ||
        sscanf(text, "%*u %lu", &pages) != 1) {
        return 0;
    }
    return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

static void
run_load(Load *load, double seconds)
{
    load->loop = ev_default_loop(EVFLAG_AUTO);
    load->client = LrClient_New(load->loop, 0, MAX_BODY);
    load->latencies = g_array_new(FALSE, FALSE, sizeof(double));
    load->body = g_bytes_new_static("{\"q\":1}", 7);
    load->callers = g_new0(Caller, (size_t)load->n_callers);
    ev_timer_init(&load->stop, on_stop, seconds, 0);
    load->stop.data = load;
    ev_timer_start(load->loop, &load->stop);
    for (int i = 0; i < load->n_callers; i++) {
        load->callers[i].load = load;
        send_next(&load->callers[i]);
    }
    ev_run(load->loop, 0);
    LrClient_Free(load->client);
    g_bytes_unref(load->body);
    g_free(load->callers);
}

static void
measure(Load *load, double seconds, int pid, int fan_out)
{
    double cpu = process_seconds(pid);
    run_load(load, seconds);
    cpu = process_seconds(pid) - cpu;
    double n = load->latencies->len;
    printf("kind=%s callers=%d answers=%.0f failed=%" G_GUINT64_FORMAT
           " per_s=%.0f p50_us=%.0f p99_us=%.0f",
           load->direct ? "direct" : "tier", load->n_callers, n,
           load->n_failed, n / seconds, Quantile_Of(load->latencies, 0.5),
           Quantile_Of(load->latencies, 0.99));
    if (pid > 0) {
        printf(" daemon_cpu_us_per_sub_request=%.1f daemon_rss_mb=%.1f",
               cpu * 1e6 / MAX(1, n * fan_out), process_mb(pid));
    }
    printf("\n");
    g_array_unref(load->latencies);
}

int
Bench_Load(int argc, char **argv)
{
    struct arg_str *url = arg_str1(NULL, "url", "URL", "where to post");
    struct arg_lit *direct = arg_lit0(NULL, "direct", "URL is a target's");
    struct arg_int *callers = arg_int0(NULL, "callers", "N", "callers");
    struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "N", "length");
    struct arg_int *pid = arg_int0(NULL, "pid", "PID", "daemon to measure");
    struct arg_int *fan_out =
        arg_int0(NULL, "fan-out", "N", "sub-requests of one answer");
    struct arg_end *end = arg_end(OPTION_MAX_ERRORS);
    void *table[] = {url, direct, callers, seconds, pid, fan_out, end};
    callers->ival[0] = 1;
    seconds->dval[0] = 3;
    pid->ival[0] = 0;
    fan_out->ival[0] = 1;
    int status = Bench_Parse("load", argc, argv, table, end);
    if (status == BENCH_RUN) {
        Load load = {
            .url = url->sval[0],
            .direct = direct->count > 0,
            .n_callers = callers->ival[0],
        };
        measure(&load, seconds->dval[0], pid->ival[0], fan_out->ival[0]);
        status = EXIT_SUCCESS;
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
