/* The native deployment: the daemon's own interface, and a configuration
 * service with a host list. */
#include "contract.h"

static void *
start_watch(const LrSourceConfig *config)
{
    LrWatchConfig watch = {
        .loop = config->loop,
        .client = config->client,
        .log = config->log,
        .counters = config->counters,
        .random = config->random,
        .config_url = config->settings->config_url,
        .hosts_url = config->settings->hosts_url,
        .wait = config->settings->watch_wait_ms * LR_MILLISECOND,
        .retry = config->settings->watch_retry_ms * LR_MILLISECOND,
        .keeper = config->active_catalogue,
        .hosts = config->on_host_list,
        .data = config->data,
    };
    return LrWatch_New(&watch);
}

static void
free_watch(void *source)
{
    LrWatch_Free(source);
}

static void
set_reading(void *source, bool reading)
{
    LrWatch_SetReading(source, reading);
}

static LrTime
heard_at(const void *source)
{
    return LrWatch_HeardAt(source);
}

static struct json_t *
dump_watch(const void *source)
{
    return LrWatch_Dump(source);
}

/* Catalogues of manifests share nothing. */
static LrCatalogue *
build(const LrStore *store, const LrCatalogue *former, LrFaults *faults)
{
    (void)former;
    return LrStore_Build(store, faults);
}

static const LrSourceType WATCH = {
    .name = "manifest",
    .start = start_watch,
    .free = free_watch,
    .set_reading = set_reading,
    .last_success_at = heard_at,
    .dump = dump_watch,
    .build = build,
};

const LrDeployment LrDeployment_Native = {
    .name = "native",
    .source = &WATCH,
};
