/* Native deployment: the daemon's own HTTP interface, and a configuration
 * service that also provides the host list. */
#include "contract.h"

static void *
start_watch(const LrSourceConfig *config)
{
    LrConfigWatcherConfig watch = {
        .loop = config->loop,
        .client = config->client,
        .log = config->log,
        .counters = config->counters,
        .random = config->random,
        .config_url = config->settings->config_url,
        .hosts_url = config->settings->hosts_url,
        .long_poll_time = config->settings->watch_wait_ms * LR_MILLISECOND,
        .retry_delay = config->settings->watch_retry_ms * LR_MILLISECOND,
        .max_value_bytes = LrSettings_MaxValueBytes(config->settings),
        .active_catalogue = config->active_catalogue,
        .on_host_list = config->on_host_list,
        .data = config->data,
    };
    return LrConfigWatcher_New(&watch);
}

static void
free_watch(void *source)
{
    LrConfigWatcher_Free(source);
}

static void
set_reading(void *source, bool reading)
{
    LrConfigWatcher_SetReading(source, reading);
}

static LrTime
last_success_at(const void *source)
{
    return LrConfigWatcher_LastSuccessAt(source);
}

static struct json_t *
dump_watch(const void *source)
{
    return LrConfigWatcher_Dump(source);
}

/* A catalogue built from a manifest shares nothing with the previous one. */
static LrCatalogue *
build(const LrValueSet *values, const LrCatalogue *previous, LrFaults *faults)
{
    (void)previous;
    return LrValueSet_BuildCatalogue(values, faults);
}

static const LrSourceType WATCH = {
    .name = "manifest",
    .start = start_watch,
    .free = free_watch,
    .set_reading = set_reading,
    .last_success_at = last_success_at,
    .dump = dump_watch,
    .build = build,
};

const LrDeployment LrDeployment_Native = {
    .name = "native",
    .source = &WATCH,
};
