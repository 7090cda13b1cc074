/* Long-polls the native configuration service and the host list.
 *
 * The service offers a manifest with the name and revision of each value, and
 * the values one by one; only changed values are read. A new revision is
 * activated when it is higher than the active one and all of its values are
 * valid, so a stale or failing service never reverts the catalogue. */
#include "active_catalogue.h"

#include <string.h>

#include <ev.h>
#include <jansson.h>

enum { STATUS_OK = 200, STATUS_NO_CONTENT = 204 };

/* Added to the time that a long poll may wait at the service. */
#define WATCH_SLACK (5 * LR_SECOND)
#define READ_TIMEOUT (5 * LR_SECOND)

typedef struct {
    LrConfigWatcher *watch;
    ev_timer timer;
    LrTransfer *transfer;
    LrTime answered_at;
    uint64_t failures;
    void (*start)(LrConfigWatcher *watch);
} Source;

struct LrConfigWatcher {
    LrConfigWatcherConfig config;
    Source manifest;
    Source hosts;
    bool reading;
    /* The set that is being read, the manifest that it is read by, and the
     * names of the values that are still to be read. */
    LrValueSet *candidate;
    json_t *wanted;
    GPtrArray *pending;
    int64_t hosts_revision;
};

static void read_next(LrConfigWatcher *watch);

static const LrValueSet *
in_force(const LrConfigWatcher *watch)
{
    return LrActiveCatalogue_Values(watch->config.active_catalogue);
}

/* Sends the next poll after a delay with jitter. */
static void
schedule(Source *source, LrTime pause)
{
    LrConfigWatcher *watch = source->watch;
    double jitter = 0.5 + LrRandom_Uniform(watch->config.random);
    double seconds = (double)pause / (double)LR_SECOND * jitter;
    ev_timer_stop(watch->config.loop, &source->timer);
    ev_timer_set(&source->timer, seconds, 0);
    ev_timer_start(watch->config.loop, &source->timer);
}

static void
retry_later(Source *source, const char *why)
{
    source->failures++;
    LR_LOG(source->watch->config.log, LOG_INFO, "platform_call_failed",
           LrLog_CStr("why", why));
    schedule(source, source->watch->config.retry_delay);
}

static void
send_get(LrConfigWatcher *watch, Source *source, char *url, LrTime timeout,
         LrTransferFunc done)
{
    LrTransferSpec spec = {
        .url = url,
        .timeout = timeout,
        .done = done,
        .data = watch,
    };
    source->transfer = LrClient_Send(watch->config.client, &spec);
    LrCounters_Add(watch->config.counters, LR_COUNT_CONFIG_READS, 1);
    g_free(url);
}

static void
on_value(void *data, const LrTransferResult *result)
{
    LrConfigWatcher *watch = data;
    watch->manifest.transfer = NULL;
    const char *name = watch->pending->pdata[watch->pending->len - 1];
    int64_t revision;
    bool got = result->end == LR_TRANSFER_OK && result->status == STATUS_OK &&
               LrStr_ToInt(LrTransfer_Header(result->transfer, "Lr-Revision"),
                           &revision);
    LrStr text = LrStr_FromBytes(result->body);
    json_t *json = got ? json_loadb(text.ptr, text.len, 0, NULL) : NULL;
    json_t *expected = json_object_get(watch->wanted, name);
    if (!json || revision != json_integer_value(expected)) {
        json_decref(json);
        retry_later(&watch->manifest,
                    "value missing, malformed or of another revision");
        return;
    }
    LrValueSet_Set(watch->candidate, name, revision, text);
    json_decref(json);
    g_ptr_array_set_size(watch->pending, (gint)watch->pending->len - 1);
    read_next(watch);
}

static void
read_next(LrConfigWatcher *watch)
{
    if (watch->pending->len == 0) {
        LrActiveCatalogue_Offer(watch->config.active_catalogue,
                                g_steal_pointer(&watch->candidate), "service");
        schedule(&watch->manifest, 0);
        return;
    }
    const char *name = watch->pending->pdata[watch->pending->len - 1];
    char *url =
        g_strdup_printf("%.*s/v1/values/%s", (int)watch->config.config_url.len,
                        watch->config.config_url.ptr, name);
    send_get(watch, &watch->manifest, url, READ_TIMEOUT, on_value);
}

static bool
is_value_name(const char *name)
{
    return (g_str_has_prefix(name, "service/") ||
            g_str_has_prefix(name, "entry/")) &&
           !strpbrk(strchr(name, '/') + 1, "/?#% \r\n");
}

static void
drop_unwanted(LrConfigWatcher *watch)
{
    GPtrArray *names = LrValueSet_Names(in_force(watch));
    int64_t revision = LrValueSet_Revision(watch->candidate);
    for (guint i = 0; i < names->len; i++) {
        if (!json_object_get(watch->wanted, names->pdata[i])) {
            LrValueSet_Remove(watch->candidate, names->pdata[i], revision);
        }
    }
    g_ptr_array_unref(names);
}

/* Starts a candidate from the active values and lists the names of the values
 * to read; false when the manifest is malformed. */
static bool
plan_reads(LrConfigWatcher *watch, int64_t manifest_revision)
{
    g_ptr_array_set_size(watch->pending, 0);
    LrValueSet_Free(watch->candidate);
    watch->candidate = LrValueSet_Fork(in_force(watch));
    LrValueSet_SetRevision(watch->candidate, manifest_revision);
    drop_unwanted(watch);
    const char *name;
    json_t *revision;
    json_object_foreach(watch->wanted, name, revision)
    {
        if (!json_is_integer(revision) || !is_value_name(name)) {
            return false;
        }
        if (!LrValueSet_Has(in_force(watch), name,
                            json_integer_value(revision))) {
            g_ptr_array_add(watch->pending, g_strdup(name));
        }
    }
    return true;
}

static void
take_manifest(LrConfigWatcher *watch, json_t *json)
{
    json_t *values = json_object_get(json, "values");
    json_t *revision = json_object_get(json, "revision");
    if (!json_is_object(values) || !json_is_integer(revision)) {
        retry_later(&watch->manifest, "malformed manifest");
        return;
    }
    int64_t number = json_integer_value(revision);
    if (number <= LrValueSet_Revision(in_force(watch)) ||
        number == LrActiveCatalogue_RefusedRevision(
                      watch->config.active_catalogue)) {
        schedule(&watch->manifest, watch->config.retry_delay);
        return;
    }
    json_decref(watch->wanted);
    watch->wanted = json_incref(values);
    if (!plan_reads(watch, number)) {
        retry_later(&watch->manifest, "malformed manifest");
        return;
    }
    read_next(watch);
}

static void
on_manifest(void *data, const LrTransferResult *result)
{
    LrConfigWatcher *watch = data;
    watch->manifest.transfer = NULL;
    if (result->end != LR_TRANSFER_OK ||
        (result->status != STATUS_OK && result->status != STATUS_NO_CONTENT)) {
        retry_later(&watch->manifest,
                    "request to the configuration service failed");
        return;
    }
    watch->manifest.answered_at = LrClock_Now();
    if (result->status == STATUS_NO_CONTENT) {
        schedule(&watch->manifest, 0);
        return;
    }
    LrStr text = LrStr_FromBytes(result->body);
    json_t *json = json_loadb(text.ptr, text.len, 0, NULL);
    take_manifest(watch, json);
    json_decref(json);
}

static char *
watch_url(const LrConfigWatcher *watch, LrStr base, const char *what,
          int64_t after)
{
    return g_strdup_printf("%.*s/v1/%s?after=%" G_GINT64_FORMAT
                           "&wait_ms=%" G_GINT64_FORMAT,
                           (int)base.len, base.ptr, what, after,
                           watch->config.long_poll_time / LR_MILLISECOND);
}

static void
start_manifest(LrConfigWatcher *watch)
{
    if (!watch->reading) {
        schedule(&watch->manifest, watch->config.long_poll_time);
        return;
    }
    int64_t after =
        MAX(LrValueSet_Revision(in_force(watch)),
            LrActiveCatalogue_RefusedRevision(watch->config.active_catalogue));
    char *url = watch_url(watch, watch->config.config_url, "manifest", after);
    send_get(watch, &watch->manifest, url,
             watch->config.long_poll_time + WATCH_SLACK, on_manifest);
}

static void
take_hosts(LrConfigWatcher *watch, const LrTransferResult *result)
{
    LrFaults *faults = LrFaults_New();
    LrHostList *list = LrHostList_Parse(LrStr_FromBytes(result->body), faults);
    if (!list) {
        g_autofree char *why = LrFaults_ToText(faults);
        retry_later(&watch->hosts, why);
    }
    else {
        LrTime pause = list->spec.revision > watch->hosts_revision
                           ? 0
                           : watch->config.retry_delay;
        watch->hosts_revision =
            MAX(watch->hosts_revision, list->spec.revision);
        watch->config.on_host_list(watch->config.data, list);
        schedule(&watch->hosts, pause);
        LrHostList_Free(list);
    }
    LrFaults_Free(faults);
}

static void
on_hosts(void *data, const LrTransferResult *result)
{
    LrConfigWatcher *watch = data;
    watch->hosts.transfer = NULL;
    if (result->end != LR_TRANSFER_OK ||
        (result->status != STATUS_OK && result->status != STATUS_NO_CONTENT)) {
        retry_later(&watch->hosts, "request for the host list failed");
        return;
    }
    watch->hosts.answered_at = LrClock_Now();
    if (result->status == STATUS_NO_CONTENT) {
        schedule(&watch->hosts, 0);
        return;
    }
    take_hosts(watch, result);
}

static void
start_hosts(LrConfigWatcher *watch)
{
    if (!watch->reading && watch->hosts_revision > 0) {
        schedule(&watch->hosts, watch->config.long_poll_time);
        return;
    }
    char *url = watch_url(watch, watch->config.hosts_url, "hosts",
                          watch->hosts_revision);
    send_get(watch, &watch->hosts, url,
             watch->config.long_poll_time + WATCH_SLACK, on_hosts);
}

static void
on_due(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    Source *source = timer->data;
    source->start(source->watch);
}

static void
init_source(LrConfigWatcher *watch, Source *source,
            void (*start)(LrConfigWatcher *))
{
    source->watch = watch;
    source->start = start;
    ev_timer_init(&source->timer, on_due, 0, 0);
    source->timer.data = source;
    schedule(source, 0);
}

static void
resume_source(Source *source)
{
    if (!source->transfer) {
        schedule(source, source->watch->config.retry_delay);
    }
}

void
LrConfigWatcher_SetReading(LrConfigWatcher *watch, bool reading)
{
    if (reading && !watch->reading) {
        resume_source(&watch->manifest);
        resume_source(&watch->hosts);
    }
    watch->reading = reading;
}

LrConfigWatcher *
LrConfigWatcher_New(const LrConfigWatcherConfig *config)
{
    LrConfigWatcher *watch = g_new0(LrConfigWatcher, 1);
    watch->config = *config;
    watch->reading = true;
    watch->pending = g_ptr_array_new_with_free_func(g_free);
    init_source(watch, &watch->manifest, start_manifest);
    init_source(watch, &watch->hosts, start_hosts);
    return watch;
}

static void
stop_source(Source *source)
{
    ev_timer_stop(source->watch->config.loop, &source->timer);
    if (source->transfer) {
        LrTransfer_Cancel(source->transfer);
    }
}

void
LrConfigWatcher_Free(LrConfigWatcher *watch)
{
    if (!watch) {
        return;
    }
    stop_source(&watch->manifest);
    stop_source(&watch->hosts);
    LrValueSet_Free(watch->candidate);
    g_ptr_array_unref(watch->pending);
    json_decref(watch->wanted);
    g_free(watch);
}

LrTime
LrConfigWatcher_LastSuccessAt(const LrConfigWatcher *watch)
{
    return watch->manifest.answered_at;
}

static int64_t
age_ms(LrTime at)
{
    return at > 0 ? (LrClock_Now() - at) / LR_MILLISECOND : -1;
}

json_t *
LrConfigWatcher_Dump(const LrConfigWatcher *watch)
{
    return json_pack(
        "{s:b, s:I, s:I, s:I, s:I}", "reading", watch->reading,
        "service_heard_ms", (json_int_t)age_ms(watch->manifest.answered_at),
        "service_failures", (json_int_t)watch->manifest.failures,
        "hosts_revision", (json_int_t)watch->hosts_revision, "hosts_heard_ms",
        (json_int_t)age_ms(watch->hosts.answered_at));
}
