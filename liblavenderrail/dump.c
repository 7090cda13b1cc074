/* The daemon's state as JSON, for GET /state. */
#include "daemon.h"

#include "catalogue_sync.h"
#include "cold_start.h"
#include "fair_admission.h"
#include "gateway.h"

#include <stdlib.h>

#include <jansson.h>

#include "zone_detector.h"

static json_t *
str_json(LrStr text)
{
    return json_stringn(text.ptr, text.len);
}

static json_t *
dump_rate(const LrRateLimit *limit, LrTime now)
{
    json_t *per_second =
        limit->limited ? json_real(limit->per_second) : json_null();
    json_t *share =
        limit->limited ? json_real(LrRateLimit_Share(limit)) : json_null();
    return json_pack("{s:o, s:o, s:f, s:b}", "limit_per_s", per_second,
                     "share_per_s", share, "sent_per_s",
                     LrRateLimit_SendRate(limit, now), "spent",
                     !LrRateLimit_HasToken(limit, now));
}

/* Null where it is not learned. */
static json_t *
dump_capacity(const LrTarget *target, LrTime now)
{
    if (!target->learns_capacity) {
        return json_null();
    }
    const LrTargetCapacity *capacity = &target->capacity;
    return json_pack(
        "{s:f, s:f, s:f, s:f, s:b}", "concurrency",
        LrTargetCapacity_Concurrency(capacity, now), "slots", capacity->slots,
        "running", LrTargetCapacity_Running(capacity, now), "slowness",
        LrTargetCapacity_Slowness(capacity, now), "low", capacity->low);
}

static void
dump_target(void *data, LrTarget *target)
{
    json_t *list = data;
    LrTime now = LrClock_Now();
    json_array_append_new(
        list,
        json_pack(
            "{s:o, s:o, s:o, s:i, s:i, s:f, s:o, s:f, s:f, s:b, s:b, s:b,"
            " s:I, s:i, s:b, s:o, s:I, s:o}",
            "name", str_json(target->name), "address",
            str_json(target->address), "zone", str_json(target->zone),
            "in_flight", (int)target->in_flight, "idle_links",
            (int)target->idle_connections, "limit", target->limit.value,
            "rate", dump_rate(&target->rate_limit, now), "fault_share",
            LrTargets_FailureRatio(target, now), "slowness", target->slowness,
            "leaving", LrTargets_IsLeaving(target, now), "ejected",
            target->ejected_until > now ||
                LrTargets_IsMisdirected(target, now),
            "zone_lost", target->zone_state->unreachable, "paused_ms",
            (json_int_t)(MAX(0, target->paused_until - now) / LR_MILLISECOND),
            "failures", (int)target->consecutive_failures, "evacuated",
            target->evacuated, "capacity", dump_capacity(target, now),
            "cold_ms",
            (json_int_t)(MAX(0, target->cold.until - now) / LR_MILLISECOND),
            "cold_share_per_s",
            LrColdStart_IsLimited(&target->cold, now)
                ? json_real(LrColdStart_Share(&target->cold, now))
                : json_null()));
}

static json_t *
dump_entries(const LrView *view)
{
    json_t *list = json_array();
    for (size_t i = 0; view && i < view->n_entries; i++) {
        const LrEntry *entry = &view->entries[i];
        const LrServiceState *service = entry->service->state;
        json_array_append_new(
            list, json_pack("{s:o, s:o, s:s, s:i, s:i, s:i}", "name",
                            str_json(entry->spec->name), "owner",
                            str_json(entry->spec->owner), "class",
                            LrTrafficClass_Names[entry->spec->klass],
                            "running", (int)entry->state->running,
                            "service_queued", (int)service->n_queued,
                            "service_waiting_parts", (int)service->n_waiting));
    }
    return list;
}

static json_t *
dump_level(const LrFairLevel *level)
{
    return json_pack("{s:I, s:f, s:i, s:i, s:i}", "rank",
                     (json_int_t)level->rank, "served_share",
                     LrFairPool_ServedShare(level), "waiting_returned",
                     (int)level->n_waiting[LR_CALLER_RETURNED], "waiting_new",
                     (int)level->n_waiting[LR_CALLER_NEW], "waiting_repeated",
                     (int)level->n_waiting[LR_CALLER_REPEATED]);
}

static json_t *
dump_pool(LrStr service, const LrFairPool *pool)
{
    json_t *levels = json_array();
    for (size_t i = 0; i < pool->n_levels; i++) {
        json_array_append_new(levels, dump_level(pool->levels[i]));
    }
    return json_pack(
        "{s:o, s:b, s:i, s:i, s:f, s:f, s:o}", "service", str_json(service),
        "short", pool->short_since > 0, "waiting", (int)pool->n_waiting,
        "running", (int)pool->n_running, "max_running", pool->max_running,
        "start_interval_ms", pool->start_interval / (double)LR_MILLISECOND,
        "ranks", levels);
}

/* What fair_admission knows: each pool under the name of its first service. */
static json_t *
dump_admission(const LrDaemon *daemon)
{
    const LrView *view = LrEngine_View(daemon->engine);
    json_t *pools = json_array();
    for (size_t i = 0; view && i < view->n_services; i++) {
        const LrService *service = &view->services[i];
        const LrFairPool *pool = service->state->pool;
        bool shown = !pool;
        for (size_t j = 0; j < i && !shown; j++) {
            shown = view->services[j].state->pool == pool;
        }
        if (!shown) {
            json_array_append_new(pools, dump_pool(service->name, pool));
        }
    }
    return json_pack("{s:I, s:o}", "refused_callers",
                     (json_int_t)LrEngine_CountRefusedCallers(daemon->engine,
                                                              LrClock_Now()),
                     "pools", pools);
}

static void
dump_quarantined(void *data, const LrCrashRecord *record)
{
    json_t *list = data;
    LrFingerprintText text;
    LrFingerprint_ToText(record->fingerprint, &text);
    LrTime left = record->expires_at - LrClock_Now();
    json_array_append_new(
        list, json_pack("{s:s, s:s, s:b, s:i, s:I}", "fingerprint",
                        text.content, "caller", text.caller, "condemned",
                        record->quarantined, "crashes", (int)record->n_crashes,
                        "left_ms", (json_int_t)(left / LR_MILLISECOND)));
}

static json_t *
dump_counters(const LrCounters *counters)
{
    json_t *json = json_object();
    for (size_t i = 0; i < LR_COUNT_COUNT; i++) {
        json_object_set_new(json, LrCounterId_Names[i],
                            json_integer((json_int_t)counters->values[i]));
    }
    return json;
}

/* The active catalogue, and the state of the reader of its source. */
static json_t *
dump_catalogue(const LrDaemon *daemon)
{
    json_t *json = LrActiveCatalogue_Dump(daemon->active_catalogue);
    json_t *source = daemon->deployment->source->dump(daemon->source);
    json_object_update(json, source);
    json_decref(source);
    json_object_set_new(json, "peers",
                        LrCatalogueSync_Dump(daemon->catalogue_sync));
    return json;
}

char *
LrDaemon_Dump(LrDaemon *daemon)
{
    json_t *targets = json_array();
    json_t *quarantined = json_array();
    LrTargets_Each(LrEngine_Targets(daemon->engine), dump_target, targets);
    LrQuarantine_Each(LrEngine_Quarantine(daemon->engine), dump_quarantined,
                      quarantined);
    const LrView *view = LrEngine_View(daemon->engine);
    size_t relayed = view ? LrView_RelayedShards(view) : 0;
    json_t *json = json_pack(
        "{s:o, s:o, s:I, s:I, s:b, s:b, s:I, s:I, s:o, s:o, s:o, s:o, s:o,"
        " s:o, s:o, s:I, s:I, s:I}",
        "name", str_json(daemon->settings.name), "zone",
        str_json(daemon->settings.zone), "incarnation",
        (json_int_t)daemon->incarnation, "uptime_ms",
        (json_int_t)((LrClock_Now() - daemon->started_at) / LR_MILLISECOND),
        "ready", LrDaemon_IsReady(daemon), "stopping", daemon->stopping,
        "running_queries", (json_int_t)LrEngine_QueryCount(daemon->engine),
        "keys_remembered", (json_int_t)LrLedger_Count(daemon->ledger),
        "catalogue", dump_catalogue(daemon), "settings",
        LrRecord_WriteJson(&LrSettings_Descriptor, &daemon->settings),
        "entries", dump_entries(LrEngine_View(daemon->engine)), "targets",
        targets, "quarantine", quarantined, "members", LrFleet_Dump(daemon),
        "counters", dump_counters(daemon->counters), "relayed_shards",
        (json_int_t)relayed, "peer_links",
        (json_int_t)LrPeers_Count(daemon->peers), "targets_remembered",
        (json_int_t)LrTargets_CountRemembered(
            LrEngine_Targets(daemon->engine)));
    if (daemon->settings.fair_admission) {
        json_object_set_new(json, "admission", dump_admission(daemon));
    }
    if (daemon->gateway) {
        json_object_set_new(json, "routed", LrGateway_Dump(daemon->gateway));
    }
    char *text = json_dumps(json, JSON_INDENT(1));
    char *copy = g_strdup(text);
    free(text);
    json_decref(json);
    return copy;
}
