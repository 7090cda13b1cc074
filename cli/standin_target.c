/* Simulated target: slots, a queue, lognormal service times, and faults that
 * can be set while it runs. */
#include "standin.h"

#include <math.h>
#include <string.h>

#include <gsl/gsl_randist.h>

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_GONE = 410,
    STATUS_CANCELLED = 499,
    STATUS_UNAVAILABLE = 503,
    MAX_BODY_BYTES = 1 << 20,
    MAX_CONNECTIONS = 1024,
};

/* Time from a crash to the restart. */
#define RESTART_DELAY_SECONDS 0.5

/* Faults, and the range of snapshot versions served, set by name. */
typedef struct {
    double slow;
    double slow_share;
    int shed;
    int draining;
    int garbage;
    int wrong_attempt;
    int half;
    int dead;
    int lie_queued;
    /* Requests per second that it names as its limit; 0 for none. */
    int limit;
    int oldest;
    int newest;
    char *crash_on;
} Faults;

typedef struct Job {
    Target *target;
    LrExchange *exchange;
    char *attempt;
    ev_timer timer;
    bool running;
    TAILQ_ENTRY(Job) link;
} Job;

TAILQ_HEAD(JobList, Job);

struct Target {
    Standin *standin;
    char *name;
    char *zone;
    char *address;
    LrServer *server;
    Faults faults;
    struct JobList running;
    struct JobList queued;
    int n_running;
    int n_queued;
    ev_timer restart;
    ev_timer crash;
};

static void
add_load_headers(Job *job)
{
    const Target *target = job->target;
    int queued = target->n_queued;
    if (target->faults.lie_queued >= 0) {
        queued = target->faults.lie_queued;
    }
    g_autofree char *running_text = g_strdup_printf("%d", target->n_running);
    g_autofree char *queued_text = g_strdup_printf("%d", queued);
    LrExchange_AddHeader(job->exchange, "Lr-Attempt",
                         target->faults.wrong_attempt ? "1" : job->attempt);
    LrExchange_AddHeader(job->exchange, "Lr-Running", running_text);
    LrExchange_AddHeader(job->exchange, "Lr-Queued", queued_text);
    if (target->faults.newest > 0) {
        g_autofree char *versions = g_strdup_printf(
            "%d-%d", target->faults.oldest, target->faults.newest);
        LrExchange_AddHeader(job->exchange, "Lr-Versions", versions);
    }
    if (target->faults.draining) {
        LrExchange_AddHeader(job->exchange, "Lr-Draining", "1");
    }
    if (target->faults.limit > 0) {
        g_autofree char *limit = g_strdup_printf("%d", target->faults.limit);
        LrExchange_AddHeader(job->exchange, "Lr-Rate-Limit", limit);
    }
}

static void
reply(Job *job, unsigned status, bool not_run, char *text)
{
    add_load_headers(job);
    if (not_run) {
        LrExchange_AddHeader(job->exchange, "Lr-Not-Run", "1");
    }
    LrExchange_SetData(job->exchange, NULL);
    LrExchange_Reply(job->exchange, status, "application/json",
                     g_bytes_new_take(text, strlen(text)));
}

static void
free_job(Job *job)
{
    Target *target = job->target;
    ev_timer_stop(target->standin->loop, &job->timer);
    if (job->running) {
        TAILQ_REMOVE(&target->running, job, link);
        target->n_running--;
    }
    else {
        TAILQ_REMOVE(&target->queued, job, link);
        target->n_queued--;
    }
    g_free(job->attempt);
    g_free(job);
}

static void
count_run(Job *job)
{
    LrStr key = LrExchange_Header(job->exchange, "Idempotency-Key");
    if (key.len == 0) {
        return;
    }
    GHashTable *runs = job->target->standin->runs;
    char *name = LrStr_Dup(key);
    guint n = GPOINTER_TO_UINT(g_hash_table_lookup(runs, name));
    g_hash_table_insert(runs, name, GUINT_TO_POINTER(n + 1));
}

static char *
result_text(const Job *job)
{
    const Target *target = job->target;
    LrStr shard = LrExchange_Header(job->exchange, "Lr-Shard");
    LrStr version = LrExchange_Header(job->exchange, "Lr-Snapshot");
    return g_strdup_printf(
        "{\"parts\":[\"%.*s/part-1\",\"%.*s/part-2\"],\"index\":%.*s,"
        "\"by\":\"%s\"}",
        (int)shard.len, shard.ptr, (int)shard.len, shard.ptr, (int)version.len,
        version.ptr, target->name);
}

static void start_next(Target *target);

static void
on_job_done(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    Job *job = timer->data;
    Target *target = job->target;
    if (target->faults.half) {
        LrExchange_SetData(job->exchange, NULL);
        LrExchange_Drop(job->exchange);
    }
    else if (target->faults.garbage) {
        reply(job, STATUS_OK, false, g_strdup("{\"parts\": [tru"));
    }
    else {
        g_autofree char *version =
            LrStr_Dup(LrExchange_Header(job->exchange, "Lr-Snapshot"));
        LrExchange_AddHeader(job->exchange, "Lr-Snapshot", version);
        reply(job, STATUS_OK, false, result_text(job));
    }
    free_job(job);
    start_next(target);
}

static double
service_seconds(const Target *target)
{
    const TargetDefaults *defaults = &target->standin->defaults;
    double seconds =
        defaults->median_ms / 1000 *
        gsl_ran_lognormal(target->standin->rng, 0, defaults->sigma);
    bool slow =
        gsl_rng_uniform(target->standin->rng) < target->faults.slow_share;
    return slow ? seconds * target->faults.slow : seconds;
}

static void
stop_serving(Target *target)
{
    LrServer_Free(target->server);
    target->server = NULL;
}

static void
on_crash(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)events;
    Target *target = timer->data;
    stop_serving(target);
    ev_timer_set(&target->restart, RESTART_DELAY_SECONDS, 0);
    ev_timer_start(loop, &target->restart);
}

static bool
should_crash(const Target *target, const Job *job)
{
    const char *text = target->faults.crash_on;
    LrStr body = LrStr_FromBytes(LrExchange_Body(job->exchange));
    return text && memmem(body.ptr, body.len, text, strlen(text));
}

static void
start_job(Job *job)
{
    Target *target = job->target;
    job->running = true;
    TAILQ_INSERT_TAIL(&target->running, job, link);
    target->n_running++;
    count_run(job);
    if (should_crash(target, job)) {
        ev_timer_start(target->standin->loop, &target->crash);
        return;
    }
    ev_timer_init(&job->timer, on_job_done, service_seconds(target), 0);
    job->timer.data = job;
    ev_timer_start(target->standin->loop, &job->timer);
}

static void
start_next(Target *target)
{
    while (target->n_running < target->standin->defaults.slots &&
           !TAILQ_EMPTY(&target->queued)) {
        Job *job = TAILQ_FIRST(&target->queued);
        TAILQ_REMOVE(&target->queued, job, link);
        target->n_queued--;
        start_job(job);
    }
}

static Job *
new_job(Target *target, LrExchange *exchange)
{
    Job *job = g_new0(Job, 1);
    job->target = target;
    job->exchange = exchange;
    job->attempt = LrStr_Dup(LrExchange_Header(exchange, "Lr-Attempt"));
    ev_timer_init(&job->timer, on_job_done, 0, 0);
    LrExchange_SetData(exchange, job);
    TAILQ_INSERT_TAIL(&target->queued, job, link);
    target->n_queued++;
    return job;
}

static Job *
find_job(Target *target, LrStr attempt)
{
    Job *job;
    TAILQ_FOREACH(job, &target->running, link)
    {
        if (LrStr_EqualC(attempt, job->attempt)) {
            return job;
        }
    }
    TAILQ_FOREACH(job, &target->queued, link)
    {
        if (LrStr_EqualC(attempt, job->attempt)) {
            return job;
        }
    }
    return NULL;
}

static void
cancel(Target *target, LrExchange *exchange, LrStr attempt)
{
    Job *job = find_job(target, attempt);
    if (job) {
        reply(job, STATUS_CANCELLED, false, g_strdup("{}"));
        free_job(job);
        start_next(target);
    }
    LrExchange_Reply(exchange, STATUS_OK, "application/json",
                     g_bytes_new_static("{}", 2));
}

static void
start_search(Target *target, LrExchange *exchange)
{
    Job *job = new_job(target, exchange);
    int64_t version = 0;
    LrStr_ToInt(LrExchange_Header(exchange, "Lr-Snapshot"), &version);
    if (target->faults.newest > 0 &&
        (version < target->faults.oldest || version > target->faults.newest)) {
        reply(job, STATUS_GONE, true, g_strdup("{\"error\":\"gone\"}"));
        free_job(job);
        return;
    }
    if (target->faults.shed ||
        target->n_queued > target->standin->defaults.max_queue) {
        reply(job, STATUS_UNAVAILABLE, true, g_strdup("{}"));
        free_job(job);
        return;
    }
    start_next(target);
}

static void
on_request(void *data, LrExchange *exchange)
{
    Target *target = data;
    LrStr path = LrExchange_Path(exchange);
    const char *prefix = "/v1/cancel/";
    if (LrStr_EqualC(path, "/v1/search")) {
        start_search(target, exchange);
    }
    else if (LrStr_HasPrefix(path, prefix)) {
        LrStr attempt = {.ptr = path.ptr + strlen(prefix),
                         .len = path.len - strlen(prefix)};
        cancel(target, exchange, attempt);
    }
    else {
        LrExchange_Reply(exchange, STATUS_NOT_FOUND, "application/json",
                         g_bytes_new_static("{}", 2));
    }
}

static void
on_caller_gone(void *data, LrExchange *exchange)
{
    Target *target = data;
    Job *job = LrExchange_Data(exchange);
    if (job) {
        free_job(job);
        if (target->server) {
            start_next(target);
        }
    }
}

static bool
start_serving(Target *target, GError **error)
{
    LrServerConfig config = {
        .loop = target->standin->loop,
        .address = LrStr_FromC(target->address),
        .max_body_bytes = MAX_BODY_BYTES,
        .max_connections = MAX_CONNECTIONS,
        .handler = {.request = on_request,
                    .caller_gone = on_caller_gone,
                    .data = target},
    };
    target->server = LrServer_New(&config, error);
    return target->server != NULL;
}

static void
on_restart(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    Target *target = timer->data;
    GError *error = NULL;
    if (!target->faults.dead && !target->server &&
        !start_serving(target, &error)) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
    }
}

Target *
Target_New(Standin *standin, const char *name, const char *zone,
           const char *address, GError **error)
{
    Target *target = g_new0(Target, 1);
    target->standin = standin;
    target->name = g_strdup(name);
    target->zone = g_strdup(zone);
    target->address = g_strdup(address);
    target->faults = (Faults){.slow = 1, .lie_queued = -1};
    TAILQ_INIT(&target->running);
    TAILQ_INIT(&target->queued);
    ev_timer_init(&target->restart, on_restart, 0, 0);
    target->restart.data = target;
    ev_timer_init(&target->crash, on_crash, 0, 0);
    target->crash.data = target;
    if (!start_serving(target, error)) {
        Target_Free(target);
        return NULL;
    }
    return target;
}

void
Target_Free(Target *target)
{
    if (target->server) {
        stop_serving(target);
    }
    ev_timer_stop(target->standin->loop, &target->restart);
    ev_timer_stop(target->standin->loop, &target->crash);
    g_free(target->faults.crash_on);
    g_free(target->name);
    g_free(target->zone);
    g_free(target->address);
    g_free(target);
}

const char *
Target_Zone(const Target *target)
{
    return target->zone;
}

const char *
Target_Address(const Target *target)
{
    return target->address;
}

static void
apply_dead_fault(Target *target)
{
    if (target->faults.dead && target->server) {
        stop_serving(target);
    }
    else if (!target->faults.dead && !target->server) {
        on_restart(target->standin->loop, &target->restart, 0);
    }
}

bool
Target_SetFault(Target *target, const char *name, const char *value)
{
    Faults *faults = &target->faults;
    const struct {
        const char *name;
        int *flag;
    } flags[] = {
        {"shed", &faults->shed},
        {"drain", &faults->draining},
        {"garbage", &faults->garbage},
        {"wrong_attempt", &faults->wrong_attempt},
        {"half", &faults->half},
        {"dead", &faults->dead},
        {"lie_queued", &faults->lie_queued},
        {"limit", &faults->limit},
        {"oldest", &faults->oldest},
        {"newest", &faults->newest},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++) {
        if (!strcmp(name, flags[i].name)) {
            *flags[i].flag = (int)strtol(value, NULL, 10);
            apply_dead_fault(target);
            return true;
        }
    }
    if (!strcmp(name, "slow")) {
        faults->slow = g_ascii_strtod(value, NULL);
        faults->slow_share = faults->slow_share > 0 ? faults->slow_share : 1;
        return true;
    }
    if (!strcmp(name, "slow_share")) {
        faults->slow_share = g_ascii_strtod(value, NULL);
        return true;
    }
    if (!strcmp(name, "crash_on")) {
        g_free(faults->crash_on);
        faults->crash_on = *value ? g_strdup(value) : NULL;
        return true;
    }
    return false;
}
