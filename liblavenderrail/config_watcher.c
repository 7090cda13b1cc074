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
#define LONG_POLL_SLACK (5 * LR_SECOND)
#define READ_TIMEOUT (5 * LR_SECOND)
/* Of a whole call: large values take long on slow links, and to give up while
 * they arrive means to read them from the start again. */
#define CALL_TIMEOUT (60 * LR_SECOND)

typedef struct {
    LrConfigWatcher *watcher;
    ev_timer timer;
    LrTransfer *transfer;
    LrTime last_success_at;
    uint64_t failures;
    void (*send)(LrConfigWatcher *watcher);
} PollLoop;

struct LrConfigWatcher {
    LrConfigWatcherConfig config;
    PollLoop manifest;
    PollLoop hosts;
    bool reading;
    /* The set that is being read, the manifest that it is read by, and the
     * names of the values that are still to be read. */
    LrValueSet *candidate;
    json_t *manifest_values;
    GPtrArray *unread_names;
    int64_t hosts_revision;
};

static void read_next_value(LrConfigWatcher *watcher);

static const LrValueSet *
active_values(const LrConfigWatcher *watcher)
{
    return LrActiveCatalogue_Values(watcher->config.active_catalogue);
}

/* Sends the next poll after a delay with jitter. */
static void
schedule(PollLoop *poll, LrTime delay)
{
    LrConfigWatcher *watcher = poll->watcher;
    double jitter = 0.5 + LrRandom_Uniform(watcher->config.random);
    double seconds = (double)delay / (double)LR_SECOND * jitter;
    ev_timer_stop(watcher->config.loop, &poll->timer);
    ev_timer_set(&poll->timer, seconds, 0);
    ev_timer_start(watcher->config.loop, &poll->timer);
}

static void
retry_later(PollLoop *poll, const char *why)
{
    poll->failures++;
    LR_LOG(poll->watcher->config.log, LOG_INFO, "platform_call_failed",
           LrLog_CStr("why", why));
    schedule(poll, poll->watcher->config.retry_delay);
}

static void
send_request(LrConfigWatcher *watcher, PollLoop *poll, char *url,
             LrTime timeout, LrTransferFunc done)
{
    LrTransferSpec spec = {
        .url = url,
        .timeout = CALL_TIMEOUT + timeout,
        .response_timeout = timeout,
        .stall_timeout = READ_TIMEOUT,
        .max_body_bytes = watcher->config.max_value_bytes,
        .done = done,
        .data = watcher,
    };
    poll->transfer = LrClient_Send(watcher->config.client, &spec);
    LrCounters_Add(watcher->config.counters, LR_COUNT_CONFIG_READS, 1);
    g_free(url);
}

static void
on_value(void *data, const LrTransferResult *result)
{
    LrConfigWatcher *watcher = data;
    watcher->manifest.transfer = NULL;
    const char *name =
        watcher->unread_names->pdata[watcher->unread_names->len - 1];
    int64_t revision;
    bool got = result->end == LR_TRANSFER_OK && result->status == STATUS_OK &&
               LrStr_ToInt(LrTransfer_Header(result->transfer, "Lr-Revision"),
                           &revision);
    LrStr text = LrStr_FromBytes(result->body);
    json_t *json = got ? json_loadb(text.ptr, text.len, 0, NULL) : NULL;
    json_t *expected = json_object_get(watcher->manifest_values, name);
    if (!json || revision != json_integer_value(expected)) {
        json_decref(json);
        retry_later(&watcher->manifest,
                    "value missing, malformed or of another revision");
        return;
    }
    LrValueSet_Set(watcher->candidate, name, revision, text);
    json_decref(json);
    g_ptr_array_set_size(watcher->unread_names,
                         (gint)watcher->unread_names->len - 1);
    read_next_value(watcher);
}

static void
read_next_value(LrConfigWatcher *watcher)
{
    if (watcher->unread_names->len == 0) {
        LrActiveCatalogue_Offer(watcher->config.active_catalogue,
                                g_steal_pointer(&watcher->candidate),
                                "service");
        schedule(&watcher->manifest, 0);
        return;
    }
    const char *name =
        watcher->unread_names->pdata[watcher->unread_names->len - 1];
    char *url = g_strdup_printf("%.*s/v1/values/%s",
                                (int)watcher->config.config_url.len,
                                watcher->config.config_url.ptr, name);
    send_request(watcher, &watcher->manifest, url, READ_TIMEOUT, on_value);
}

static bool
is_value_name(const char *name)
{
    return (g_str_has_prefix(name, "service/") ||
            g_str_has_prefix(name, "entry/")) &&
           !strpbrk(strchr(name, '/') + 1, "/?#% \r\n");
}

static void
remove_unlisted(LrConfigWatcher *watcher)
{
    GPtrArray *names = LrValueSet_Names(active_values(watcher));
    int64_t revision = LrValueSet_Revision(watcher->candidate);
    for (guint i = 0; i < names->len; i++) {
        if (!json_object_get(watcher->manifest_values, names->pdata[i])) {
            LrValueSet_Remove(watcher->candidate, names->pdata[i], revision);
        }
    }
    g_ptr_array_unref(names);
}

/* Starts a candidate from the active values and lists the names of the values
 * to read; false when the manifest is malformed. */
static bool
list_unread(LrConfigWatcher *watcher, int64_t manifest_revision)
{
    g_ptr_array_set_size(watcher->unread_names, 0);
    LrValueSet_Free(watcher->candidate);
    watcher->candidate = LrValueSet_Fork(active_values(watcher));
    LrValueSet_SetRevision(watcher->candidate, manifest_revision);
    remove_unlisted(watcher);
    const char *name;
    json_t *revision;
    json_object_foreach(watcher->manifest_values, name, revision)
    {
        if (!json_is_integer(revision) || !is_value_name(name)) {
            return false;
        }
        if (!LrValueSet_Has(active_values(watcher), name,
                            json_integer_value(revision))) {
            g_ptr_array_add(watcher->unread_names, g_strdup(name));
        }
    }
    return true;
}

static void
apply_manifest(LrConfigWatcher *watcher, json_t *json)
{
    json_t *values = json_object_get(json, "values");
    json_t *revision = json_object_get(json, "revision");
    if (!json_is_object(values) || !json_is_integer(revision)) {
        retry_later(&watcher->manifest, "malformed manifest");
        return;
    }
    int64_t number = json_integer_value(revision);
    if (number <= LrValueSet_Revision(active_values(watcher)) ||
        number == LrActiveCatalogue_RefusedRevision(
                      watcher->config.active_catalogue)) {
        schedule(&watcher->manifest, watcher->config.retry_delay);
        return;
    }
    json_decref(watcher->manifest_values);
    watcher->manifest_values = json_incref(values);
    if (!list_unread(watcher, number)) {
        retry_later(&watcher->manifest, "malformed manifest");
        return;
    }
    read_next_value(watcher);
}

static void
on_manifest(void *data, const LrTransferResult *result)
{
    LrConfigWatcher *watcher = data;
    watcher->manifest.transfer = NULL;
    if (result->end != LR_TRANSFER_OK ||
        (result->status != STATUS_OK && result->status != STATUS_NO_CONTENT)) {
        retry_later(&watcher->manifest,
                    "request to the configuration service failed");
        return;
    }
    watcher->manifest.last_success_at = LrClock_Now();
    if (result->status == STATUS_NO_CONTENT) {
        schedule(&watcher->manifest, 0);
        return;
    }
    LrStr text = LrStr_FromBytes(result->body);
    json_t *json = json_loadb(text.ptr, text.len, 0, NULL);
    apply_manifest(watcher, json);
    json_decref(json);
}

static char *
poll_url(const LrConfigWatcher *watcher, LrStr base, const char *what,
         int64_t after)
{
    return g_strdup_printf("%.*s/v1/%s?after=%" G_GINT64_FORMAT
                           "&wait_ms=%" G_GINT64_FORMAT,
                           (int)base.len, base.ptr, what, after,
                           watcher->config.long_poll_time / LR_MILLISECOND);
}

static void
poll_manifest(LrConfigWatcher *watcher)
{
    if (!watcher->reading) {
        schedule(&watcher->manifest, watcher->config.long_poll_time);
        return;
    }
    int64_t after = MAX(
        LrValueSet_Revision(active_values(watcher)),
        LrActiveCatalogue_RefusedRevision(watcher->config.active_catalogue));
    char *url =
        poll_url(watcher, watcher->config.config_url, "manifest", after);
    send_request(watcher, &watcher->manifest, url,
                 watcher->config.long_poll_time + LONG_POLL_SLACK,
                 on_manifest);
}

static void
apply_hosts(LrConfigWatcher *watcher, const LrTransferResult *result)
{
    LrFaults *faults = LrFaults_New();
    LrHostList *list = LrHostList_Parse(LrStr_FromBytes(result->body), faults);
    if (!list) {
        g_autofree char *why = LrFaults_ToText(faults);
        retry_later(&watcher->hosts, why);
    }
    else {
        LrTime delay = list->spec.revision > watcher->hosts_revision
                           ? 0
                           : watcher->config.retry_delay;
        watcher->hosts_revision =
            MAX(watcher->hosts_revision, list->spec.revision);
        watcher->config.on_host_list(watcher->config.data, list);
        schedule(&watcher->hosts, delay);
        LrHostList_Free(list);
    }
    LrFaults_Free(faults);
}

static void
on_hosts(void *data, const LrTransferResult *result)
{
    LrConfigWatcher *watcher = data;
    watcher->hosts.transfer = NULL;
    if (result->end != LR_TRANSFER_OK ||
        (result->status != STATUS_OK && result->status != STATUS_NO_CONTENT)) {
        retry_later(&watcher->hosts, "request for the host list failed");
        return;
    }
    watcher->hosts.last_success_at = LrClock_Now();
    if (result->status == STATUS_NO_CONTENT) {
        schedule(&watcher->hosts, 0);
        return;
    }
    apply_hosts(watcher, result);
}

static void
poll_hosts(LrConfigWatcher *watcher)
{
    if (!watcher->reading && watcher->hosts_revision > 0) {
        schedule(&watcher->hosts, watcher->config.long_poll_time);
        return;
    }
    char *url = poll_url(watcher, watcher->config.hosts_url, "hosts",
                         watcher->hosts_revision);
    send_request(watcher, &watcher->hosts, url,
                 watcher->config.long_poll_time + LONG_POLL_SLACK, on_hosts);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    PollLoop *poll = timer->data;
    poll->send(poll->watcher);
}

static void
init_poll(LrConfigWatcher *watcher, PollLoop *poll,
          void (*start)(LrConfigWatcher *))
{
    poll->watcher = watcher;
    poll->send = start;
    ev_timer_init(&poll->timer, on_timer, 0, 0);
    poll->timer.data = poll;
    schedule(poll, 0);
}

static void
resume_poll(PollLoop *poll)
{
    if (!poll->transfer) {
        schedule(poll, poll->watcher->config.retry_delay);
    }
}

void
LrConfigWatcher_SetReading(LrConfigWatcher *watcher, bool reading)
{
    if (reading && !watcher->reading) {
        resume_poll(&watcher->manifest);
        resume_poll(&watcher->hosts);
    }
    watcher->reading = reading;
}

LrConfigWatcher *
LrConfigWatcher_New(const LrConfigWatcherConfig *config)
{
    LrConfigWatcher *watcher = g_new0(LrConfigWatcher, 1);
    watcher->config = *config;
    watcher->reading = true;
    watcher->unread_names = g_ptr_array_new_with_free_func(g_free);
    init_poll(watcher, &watcher->manifest, poll_manifest);
    init_poll(watcher, &watcher->hosts, poll_hosts);
    return watcher;
}

static void
stop_poll(PollLoop *poll)
{
    ev_timer_stop(poll->watcher->config.loop, &poll->timer);
    if (poll->transfer) {
        LrTransfer_Cancel(poll->transfer);
    }
}

void
LrConfigWatcher_Free(LrConfigWatcher *watcher)
{
    if (!watcher) {
        return;
    }
    stop_poll(&watcher->manifest);
    stop_poll(&watcher->hosts);
    LrValueSet_Free(watcher->candidate);
    g_ptr_array_unref(watcher->unread_names);
    json_decref(watcher->manifest_values);
    g_free(watcher);
}

LrTime
LrConfigWatcher_LastSuccessAt(const LrConfigWatcher *watcher)
{
    return watcher->manifest.last_success_at;
}

static int64_t
age_ms(LrTime at)
{
    return at > 0 ? (LrClock_Now() - at) / LR_MILLISECOND : -1;
}

json_t *
LrConfigWatcher_Dump(const LrConfigWatcher *watcher)
{
    return json_pack("{s:b, s:I, s:I, s:I, s:I}", "reading", watcher->reading,
                     "service_heard_ms",
                     (json_int_t)age_ms(watcher->manifest.last_success_at),
                     "service_failures",
                     (json_int_t)watcher->manifest.failures, "hosts_revision",
                     (json_int_t)watcher->hosts_revision, "hosts_heard_ms",
                     (json_int_t)age_ms(watcher->hosts.last_success_at));
}
