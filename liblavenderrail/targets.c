/* The state of each target, and the selection of a replica.
 *
 * The state comes mainly from this daemon's own requests: requests in flight,
 * the age of the oldest one, smoothed latency. Load reports of targets lose
 * weight with their age, since they may be outdated or wrong. */
#include "lavenderrail.h"

#include "cold_start.h"
#include "limited_targets.h"
#include "private.h"
#include "zone_detector.h"

#include <math.h>

/* Weight of the newest sample in a target's smoothed latency. */
#define LATENCY_WEIGHT 0.25
/* A latency sample is capped at this multiple of the smoothed latency. */
#define MAX_SAMPLE_RATIO 4.0
/* A reply that takes longer than this multiple of the typical latency is slow.
 * After two consecutive slow replies the target counts as slow: its smoothed
 * latency rises to the sample at once. */
#define SLOW_RATIO 3.0
/* Time constant with which the smoothed latency of a target that gets no
 * samples decays to the typical latency. */
#define LATENCY_DECAY_NS 3e9
/* Weight of the newest attempt in a target's failure ratio, and the time
 * constant with which the ratio decays while the target gets no attempts. */
#define FAILURE_WEIGHT 0.3
#define FAILURE_DECAY_NS 3e9
/* Time constant with which a load report loses its weight. */
#define REPORT_DECAY_NS 5e6
/* A reported queue counts only if the reply took longer than this multiple of
 * the typical latency. */
#define QUEUE_REPORT_RATIO 1.3
/* How long a target is taken as leaving that is known by its address only:
 * another one may start there. */
#define LEAVING_MARK_TIME (30 * LR_SECOND)
#define VERSION_MISSING_TTL LR_SECOND
#define BASE_EJECTION_TIME (500 * LR_MILLISECOND)
#define MAX_EJECTION_TIME (20 * LR_SECOND)
/* An address that another target has taken over is not tried for this long. */
#define MISDIRECTED_TIME (20 * LR_SECOND)
/* Longest pause that a target is granted: a larger number is no estimate of
 * when it has room again. */
#define MAX_PAUSE (300 * LR_SECOND)
/* How long a rate limit, and the statement that a target is leaving, are
 * remembered of a target that no view names: its entry or route may come back.
 * Pauses and misdirections are remembered until they end. */
#define STATEMENT_MEMORY (60 * LR_SECOND)
/* A target that refused a request, or reported that requests wait there,
 * counts as overloaded for this long, and one that keeps a request waiting for
 * longer than the second time: several times what requests usually take. */
#define OVERLOAD_MEMORY LR_SECOND
#define OVERLOAD_WAIT (500 * LR_MILLISECOND)
#define SLOW_START_TIME (2 * LR_SECOND)
#define SLOW_START_LIMIT_RATIO 0.5

enum {
    MAX_CANDIDATES = 64,
    FAILURES_TO_EJECT = 2,
    MAX_EJECTION_DOUBLINGS = 6,
    FULL_SCAN_MAX = 4,
};

static const LrColdBound DEFAULT_COLD_BOUND = {.overshoot = 1.5, .slack = 5};

struct LrTargets {
    LrTargetsConfig config;
    const LrSelectionPolicy *policy;
    /* Targets in use. */
    GHashTable *by_key;
    /* Those that no view names, while what they said still holds; by key. */
    GHashTable *remembered;
    LrZoneDetector *zone_detector;
    /* Last reply of a target of this daemon's zone. */
    LrTime local_reply_at;
    /* Names of zones, and of those that are not logged yet. */
    GHashTable *evacuated;
    GPtrArray *newly_evacuated;
    LrColdBound cold_bound;
    /* Until when any target is cold. */
    LrTime cold_until;
    /* Number of daemons that send to cold targets; 0 before it is set. */
    double n_cold_scatter;
    double n_cold_single;
    uint32_t next_index;
    uint32_t next_round_robin;
    LrLimitedTargets *limited;
};

static void
leave_zone(LrTarget *target)
{
    if (target->zone_state) {
        target->zone_state->n_targets--;
        target->zone_state = NULL;
    }
}

static void
free_target(gpointer data)
{
    LrTarget *target = data;
    leave_zone(target);
    LrLimitedTargets_Remove(target->owner->limited, target);
    g_free((char *)target->key.ptr);
    g_free((char *)target->instance.ptr);
    g_free((char *)target->name.ptr);
    g_free((char *)target->address.ptr);
    g_free((char *)target->zone.ptr);
    g_ptr_array_unref(target->groups);
    g_free(target);
}

LrTargets *
LrTargets_New(const LrTargetsConfig *config, const LrSelectionPolicy *policy)
{
    LrTargets *targets = g_new0(LrTargets, 1);
    targets->config = *config;
    if (config->cross_zone_medians == 0) {
        targets->config.cross_zone_medians = LR_DEFAULT_CROSS_ZONE_MEDIANS;
    }
    targets->policy = policy;
    targets->cold_bound = config->cold_bound;
    if (targets->cold_bound.overshoot <= 0) {
        targets->cold_bound = DEFAULT_COLD_BOUND;
    }
    targets->limited =
        LrLimitedTargets_New(config->random, config->log, config->counters);
    targets->zone_detector = LrZoneDetector_New(config->zone, config->log);
    targets->evacuated =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    targets->newly_evacuated = g_ptr_array_new_with_free_func(g_free);
    targets->by_key = g_hash_table_new_full(LrStr_TableHash, LrStr_TableEqual,
                                            NULL, free_target);
    targets->remembered = g_hash_table_new_full(
        LrStr_TableHash, LrStr_TableEqual, NULL, free_target);
    return targets;
}

void
LrTargets_Free(LrTargets *targets)
{
    if (!targets) {
        return;
    }
    g_hash_table_unref(targets->by_key);
    g_hash_table_unref(targets->remembered);
    g_hash_table_unref(targets->evacuated);
    g_ptr_array_unref(targets->newly_evacuated);
    LrLimitedTargets_Free(targets->limited);
    LrZoneDetector_Free(targets->zone_detector);
    g_free(targets);
}

static bool
is_evacuated(const LrTargets *targets, const LrTarget *target)
{
    g_autofree char *zone = LrStr_Dup(target->zone);
    return !target->relay && g_hash_table_contains(targets->evacuated, zone);
}

/* Sets the address and the zone that the catalogue gives for the target. */
static void
set_place(LrTargets *targets, LrTarget *target, const LrTargetSpec *spec,
          LrTime now)
{
    g_free((char *)target->address.ptr);
    g_free((char *)target->zone.ptr);
    target->address = LrStr_Copy(spec->address);
    target->zone = LrStr_Copy(spec->zone);
    target->zone_state =
        LrZoneDetector_GetZone(targets->zone_detector, spec->zone, now);
    target->zone_state->n_targets++;
    target->local = target->zone_state->local;
    target->evacuated = is_evacuated(targets, target);
}

static double
count_cold_senders(const LrTargets *targets, const LrTarget *target)
{
    double n_senders = MAX(targets->n_cold_scatter, targets->n_cold_single);
    if (target->groups->len == 0) {
        return n_senders;
    }
    for (guint i = 0; i < target->groups->len; i++) {
        const LrGroup *group = target->groups->pdata[i];
        if (group->map->n_groups > 1) {
            return targets->n_cold_scatter;
        }
    }
    return targets->n_cold_single;
}

static void
begin_cold(LrTargets *targets, LrTarget *target, LrTime left, LrTime now)
{
    double fraction = target->cold_per_second > 0
                          ? LrRandom_Uniform(targets->config.random)
                          : 0;
    LrColdStart_SetSenders(&target->cold, count_cold_senders(targets, target),
                           now);
    LrColdStart_Begin(&target->cold, now + left, fraction, now);
    if (target->cold_per_second > 0) {
        targets->cold_until = MAX(targets->cold_until, now + left);
    }
    target->slow_start_until = MAX(target->slow_start_until, now + left);
}

void
LrTargets_SetCold(LrTargets *targets, LrTarget *target, LrTime left,
                  LrTime now)
{
    bool was_cold = LrColdStart_IsCold(&target->cold, now);
    if (left > 0) {
        begin_cold(targets, target, left, now);
    }
    else if (was_cold) {
        LrColdStart_End(&target->cold);
        target->slow_start_until =
            MIN(target->slow_start_until, now + SLOW_START_TIME);
    }
    if (was_cold != (left > 0)) {
        LR_LOG(
            targets->config.log, LOG_INFO, "target_cold",
            LrLog_Str("target", target->name),
            LrLog_Int("ms", left / LR_MILLISECOND),
            LrLog_Int("limited", LrColdStart_IsLimited(&target->cold, now)));
    }
}

/* The limit is new. Daemons draw their first token at random then, as at the
 * begin of the cold time: otherwise all of them would get it at once. */
static void
restart_cold(LrTargets *targets, LrTarget *target, LrTime now)
{
    LrTime left = target->cold.until - now;
    if (left > 0) {
        LrColdStart_End(&target->cold);
        begin_cold(targets, target, left, now);
    }
}

/* Takes up what the entry and the service of a target say of its cold time. */
static void
apply_cold_spec(LrTargets *targets, LrTarget *target, const LrTargetSpec *spec,
                bool is_new, LrTime now)
{
    target->cold_time = spec->cold_start_ms * LR_MILLISECOND;
    if (spec->cold_per_s != target->cold_per_second) {
        target->cold_per_second = spec->cold_per_s;
        LrColdStart_SetRule(&target->cold, spec->cold_per_s,
                            &targets->cold_bound, now);
        restart_cold(targets, target, now);
    }
    bool states = spec->cold_revision != target->cold_revision;
    target->cold_revision = spec->cold_revision;
    if ((is_new && spec->cold_ms > 0) || (!is_new && states)) {
        LrTargets_SetCold(targets, target, spec->cold_ms * LR_MILLISECOND,
                          now);
    }
}

static void
set_cold_senders(void *data, LrTarget *target)
{
    LrTime now = *(LrTime *)data;
    if (target->cold_per_second > 0) {
        LrColdStart_SetSenders(&target->cold,
                               count_cold_senders(target->owner, target), now);
    }
}

void
LrTargets_SetColdSenders(LrTargets *targets, double n_scatter, double n_single,
                         LrTime now)
{
    targets->n_cold_scatter = n_scatter;
    targets->n_cold_single = n_single;
    if (LrTargets_MayBeCold(targets, now)) {
        LrTargets_Each(targets, set_cold_senders, &now);
    }
}

bool
LrTargets_MayBeCold(const LrTargets *targets, LrTime now)
{
    return targets->cold_until > now;
}

/* Takes a remembered target back into use; NULL if there is none. */
static LrTarget *
take_remembered(LrTargets *targets, LrStr key, const LrTargetSpec *spec,
                LrTime now)
{
    LrTarget *target = g_hash_table_lookup(targets->remembered, &key);
    if (!target) {
        return NULL;
    }
    g_hash_table_steal(targets->remembered, &key);
    g_hash_table_insert(targets->by_key, &target->key, target);
    target->unused_since = 0;
    target->withdrawn = false;
    set_place(targets, target, spec, now);
    LR_LOG(targets->config.log, LOG_NOTICE, "target_returned",
           LrLog_Str("target", target->name),
           LrLog_Int("leaving", LrTargets_IsLeaving(target, now)),
           LrLog_Int("limited", target->rate_limit.limited),
           LrLog_Int("paused_ms",
                     MAX(0, target->paused_until - now) / LR_MILLISECOND));
    return target;
}

LrTarget *
LrTargets_Acquire(LrTargets *targets, const LrTargetSpec *spec,
                  uint32_t connections, LrTime now)
{
    LrStr key = spec->instance.len > 0 ? spec->name : spec->address;
    LrTarget *target = LrTargets_Lookup(targets, key);
    if (!target) {
        target = take_remembered(targets, key, spec, now);
    }
    if (target) {
        target->refs++;
        target->limit.max = connections;
        apply_cold_spec(targets, target, spec, false, now);
        return target;
    }
    target = g_new0(LrTarget, 1);
    target->owner = targets;
    target->index = targets->next_index++;
    target->key = LrStr_Copy(key);
    target->instance = LrStr_Copy(spec->instance);
    target->name = LrStr_Copy(spec->name);
    set_place(targets, target, spec, now);
    target->refs = 1;
    target->groups = g_ptr_array_new();
    target->latency_sampled_at = now;
    target->learns_capacity = targets->config.learn_capacity;
    LrConcurrencyLimit_Init(&target->limit, connections);
    TAILQ_INIT(&target->attempts);
    g_hash_table_insert(targets->by_key, &target->key, target);
    apply_cold_spec(targets, target, spec, true, now);
    return target;
}

/* Until when what the target said has to be remembered while it is not in
 * use; 0 if it said nothing. */
static LrTime
statements_expire_at(const LrTarget *target)
{
    LrTime memory_ends_at = target->unused_since + STATEMENT_MEMORY;
    LrTime until = MAX(target->paused_until, target->misdirected_until);
    if (target->leaving_sources & LR_LEAVING_BY_REPLY) {
        until = MAX(until, MIN(target->leaving_until, memory_ends_at));
    }
    if (target->cold_per_second > 0) {
        until = MAX(until, target->cold.until);
    }
    return target->rate_limit.limited ? MAX(until, memory_ends_at) : until;
}

void
LrTargets_Release(LrTargets *targets, LrTarget *target)
{
    if (--target->refs > 0) {
        return;
    }
    if (target->relay || statements_expire_at(target) == 0) {
        g_hash_table_remove(targets->by_key, &target->key);
        return;
    }
    g_hash_table_steal(targets->by_key, &target->key);
    leave_zone(target);
    g_hash_table_insert(targets->remembered, &target->key, target);
}

LrTarget *
LrTargets_Lookup(LrTargets *targets, LrStr key)
{
    return g_hash_table_lookup(targets->by_key, &key);
}

LrTarget *
LrTargets_LookupRemembered(LrTargets *targets, LrStr key)
{
    LrTarget *target = LrTargets_Lookup(targets, key);
    return target ? target : g_hash_table_lookup(targets->remembered, &key);
}

size_t
LrTargets_CountRemembered(const LrTargets *targets)
{
    return g_hash_table_size(targets->remembered);
}

void
LrTargets_SetWithdrawn(LrTargets *targets,
                       bool (*is_offered)(const void *data,
                                          const LrTarget *target),
                       const void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LrTarget *target = value;
        bool withdrawn = !target->relay && !is_offered(data, target);
        if (withdrawn && !target->withdrawn) {
            LR_LOG(targets->config.log, LOG_INFO, "target_withdrawn",
                   LrLog_Str("target", target->name),
                   LrLog_Int("in_flight", target->in_flight));
        }
        target->withdrawn = withdrawn;
    }
}

/* Sets the mark of each target; returns the number of targets of the zone. */
static unsigned
mark_evacuated(LrTargets *targets, const char *zone)
{
    unsigned n_targets = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LrTarget *target = value;
        if (!target->relay && LrStr_EqualC(target->zone, zone)) {
            target->evacuated = is_evacuated(targets, target);
            n_targets++;
        }
    }
    return n_targets;
}

static void
begin_evacuation(LrTargets *targets, const char *zone)
{
    g_hash_table_add(targets->evacuated, g_strdup(zone));
    mark_evacuated(targets, zone);
    g_ptr_array_add(targets->newly_evacuated, g_strdup(zone));
    LrCounters_Add(targets->config.counters, LR_COUNT_EVACUATIONS, 1);
}

/* The targets of the zone had no requests, and may have become cold; they
 * count so until they say otherwise. */
static void
begin_cold_in_zone(LrTargets *targets, const char *zone, LrTime now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LrTarget *target = value;
        LrTime left = MAX(target->cold_time, target->cold.until - now);
        if (target->cold_per_second > 0 && left > 0 &&
            LrStr_EqualC(target->zone, zone)) {
            LrColdStart_End(&target->cold);
            LrTargets_SetCold(targets, target, left, now);
        }
    }
}

static void
end_evacuation(LrTargets *targets, const char *zone, LrTime now)
{
    g_hash_table_remove(targets->evacuated, zone);
    unsigned n_targets = mark_evacuated(targets, zone);
    begin_cold_in_zone(targets, zone, now);
    LR_LOG(targets->config.log, LOG_NOTICE, "zone_evacuation_ended",
           LrLog_CStr("zone", zone), LrLog_Int("targets", n_targets));
}

static void
log_if_all_evacuated(const LrTargets *targets)
{
    GHashTableIter iter;
    gpointer value;
    unsigned n_evacuated = 0;
    unsigned n_others = 0;
    g_hash_table_iter_init(&iter, targets->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const LrTarget *target = value;
        n_evacuated += target->evacuated;
        n_others += !target->evacuated && !target->relay;
    }
    if (n_evacuated > 0 && n_others == 0) {
        LR_LOG(targets->config.log, LOG_ERR, "all_zones_evacuated",
               LrLog_Int("targets", n_evacuated));
    }
}

bool
LrTargets_SetEvacuatedZones(LrTargets *targets, const LrStr *zones,
                            size_t n_zones, LrTime now)
{
    GHashTable *wanted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bool changed = false;
    for (size_t i = 0; i < n_zones; i++) {
        char *zone = LrStr_Dup(zones[i]);
        if (!g_hash_table_contains(targets->evacuated, zone)) {
            begin_evacuation(targets, zone);
            changed = true;
        }
        g_hash_table_add(wanted, zone);
    }
    GList *known = g_hash_table_get_keys(targets->evacuated);
    for (GList *at = known; at; at = at->next) {
        if (!g_hash_table_contains(wanted, at->data)) {
            g_autofree char *zone = g_strdup(at->data);
            end_evacuation(targets, zone, now);
            changed = true;
        }
    }
    g_list_free(known);
    g_hash_table_unref(wanted);
    return changed;
}

static void
log_evacuated(const LrTargets *targets, const char *zone)
{
    unsigned n_targets = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        n_targets += LrStr_EqualC(((const LrTarget *)value)->zone, zone);
    }
    if (n_targets == 0) {
        LR_LOG(targets->config.log, LOG_WARNING, "evacuated_zone_unknown",
               LrLog_CStr("zone", zone));
        return;
    }
    LR_LOG(targets->config.log, LOG_NOTICE, "zone_evacuated",
           LrLog_CStr("zone", zone), LrLog_Int("targets", n_targets));
}

void
LrTargets_LogEvacuations(LrTargets *targets)
{
    if (targets->newly_evacuated->len == 0) {
        return;
    }
    for (guint i = 0; i < targets->newly_evacuated->len; i++) {
        log_evacuated(targets, targets->newly_evacuated->pdata[i]);
    }
    g_ptr_array_set_size(targets->newly_evacuated, 0);
    log_if_all_evacuated(targets);
}

bool
LrTargets_HasEvacuatedZones(const LrTargets *targets)
{
    return g_hash_table_size(targets->evacuated) > 0;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    LrTarget *target = value;
    LrTime now = *(LrTime *)data;
    if (target->unused_since == 0) {
        target->unused_since = now;
    }
    return statements_expire_at(target) <= now;
}

void
LrTargets_ForgetExpired(LrTargets *targets, LrTime now)
{
    if (g_hash_table_size(targets->remembered) > 0) {
        g_hash_table_foreach_remove(targets->remembered, is_expired, &now);
    }
}

void
LrTargets_Each(LrTargets *targets, void (*func)(void *, LrTarget *),
               void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, targets->by_key);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        func(data, value);
    }
}

const LrSelectionPolicy *
LrTargets_Policy(const LrTargets *targets)
{
    return targets->policy;
}

/* Whether a target that starts again counts as another one. */
static bool
has_identity(const LrTarget *target)
{
    return target->instance.len > 0;
}

bool
LrTargets_IsLeaving(const LrTarget *target, LrTime now)
{
    return target->withdrawn ||
           (target->leaving_sources != 0 && target->leaving_until > now);
}

bool
LrTargets_IsOutOfUse(const LrTarget *target, LrTime now)
{
    return target->evacuated || LrTargets_IsLeaving(target, now);
}

bool
LrTargets_IsMisdirected(const LrTarget *target, LrTime now)
{
    return target->misdirected_until > now;
}

bool
LrTargets_IsPaused(const LrTarget *target, LrTime now)
{
    return target->paused_until > now;
}

bool
LrTargets_ServesVersion(const LrTarget *target, int64_t version, LrTime now)
{
    if (target->missing_version == version && target->missing_until > now) {
        return false;
    }
    return target->newest_version == 0 || (version >= target->oldest_version &&
                                           version <= target->newest_version);
}

static double
smoothed_latency(const LrTarget *target, LrTime now, double typical)
{
    if (target->slowness == 0) {
        return typical;
    }
    double idle = (double)(now - target->latency_sampled_at);
    double weight = idle > 0 ? exp(-idle / LATENCY_DECAY_NS) : 1;
    double rest = target->learns_capacity
                      ? LrTargetCapacity_Slowness(&target->capacity, now)
                      : 1;
    return typical * (rest + (target->slowness - rest) * weight);
}

static double
decayed_queue(const LrTarget *target, LrTime now)
{
    if (target->load_reported_at == 0 || target->reported_queue <= 0) {
        return 0;
    }
    return target->reported_queue *
           exp(-(double)(now - target->load_reported_at) / REPORT_DECAY_NS);
}

double
LrTargets_SmoothedLatency(const LrTarget *target, LrTime now, LrTime typical)
{
    return smoothed_latency(target, now, (double)typical);
}

double
LrTargets_FailureRatio(const LrTarget *target, LrTime now)
{
    if (target->failure_ratio == 0) {
        return 0;
    }
    double age = (double)MAX(0, now - target->failure_ratio_at);
    return target->failure_ratio * exp(-age / FAILURE_DECAY_NS);
}

double
LrTargets_ReportedQueue(const LrTarget *target, LrTime now)
{
    return decayed_queue(target, now);
}

double
LrTargets_CrossZoneCost(const LrTarget *target, LrTime typical)
{
    return target->local
               ? 0
               : target->owner->config.cross_zone_medians * (double)typical;
}

double
LrTargets_EstimateLatency(const LrTarget *target, LrTime now, LrTime typical)
{
    double latency = smoothed_latency(target, now, (double)typical);
    const LrAttempt *oldest = TAILQ_FIRST(&target->attempts);
    if (oldest) {
        double age = (double)(now - oldest->sent_at);
        if (age > MAX_SAMPLE_RATIO * (double)typical) {
            latency = MAX(latency, age / 2);
        }
    }
    double ahead = target->in_flight + decayed_queue(target, now);
    double estimate = latency * (1 + ahead / MAX(1, target->limit.value));
    return estimate + LrTargets_CrossZoneCost(target, typical);
}

static bool
was_tried(const LrTarget *target, LrTarget *const *tried, size_t n_tried)
{
    for (size_t i = 0; i < n_tried; i++) {
        if (tried[i] == target) {
            return true;
        }
    }
    return false;
}

static bool
has_free_slot(const LrTarget *target, LrTime now, bool adaptive)
{
    if (!adaptive) {
        return true;
    }
    if (target->slow_start_until > now) {
        double allowed = MAX(1, SLOW_START_LIMIT_RATIO * target->limit.value);
        return target->in_flight + 1.0 <= allowed;
    }
    return LrConcurrencyLimit_HasCapacity(&target->limit, target->in_flight);
}

/* Nothing may be sent there, whatever becomes of the other replicas. */
static bool
is_barred(const LrTarget *target, LrTime now)
{
    return target->evacuated || LrTargets_IsMisdirected(target, now) ||
           LrTargets_IsPaused(target, now);
}

/* Ejected for its own failures, because another target has taken over its
 * address, at its own request, or because its whole zone is unreachable. */
static bool
is_ejected(const LrTarget *target, LrTime now)
{
    return target->ejected_until > now || is_barred(target, now) ||
           target->zone_state->unreachable;
}

static bool
is_usable(const LrTarget *target, LrTime now)
{
    return !LrTargets_IsOutOfUse(target, now) && !is_ejected(target, now);
}

typedef struct {
    LrTarget *items[MAX_CANDIDATES];
    size_t n;
    double free_slots;
    bool any_eligible;
    /* A replica was left out because this daemon has no token for it. */
    bool any_rate_limited;
    /* Those of them that are cold. */
    unsigned n_cold_limited;
} Candidates;

static void
collect_candidates(const LrTargets *targets, const LrGroup *group,
                   int64_t version, LrTime now, LrTarget *const *tried,
                   size_t n_tried, bool avoid_suspects, bool include_ejected,
                   Candidates *out)
{
    bool adaptive = targets->policy->adaptive;
    *out = (Candidates){.n = 0};
    for (size_t i = 0; i < group->n_replicas && i < MAX_CANDIDATES; i++) {
        LrTarget *target = group->replicas[i];
        if (LrTargets_IsOutOfUse(target, now) || is_barred(target, now) ||
            !LrTargets_ServesVersion(target, version, now) ||
            was_tried(target, tried, n_tried)) {
            continue;
        }
        if (adaptive && !include_ejected && is_ejected(target, now)) {
            continue;
        }
        if (!LrRateLimit_HasToken(&target->rate_limit, now)) {
            out->any_rate_limited = true;
            continue;
        }
        if (!LrColdStart_HasToken(&target->cold, now)) {
            out->any_rate_limited = true;
            out->n_cold_limited++;
            continue;
        }
        out->any_eligible = true;
        if (avoid_suspects && target->n_suspects > 0) {
            continue;
        }
        out->free_slots += MAX(0, target->limit.value - target->in_flight);
        if (has_free_slot(target, now, adaptive)) {
            out->items[out->n++] = target;
        }
    }
}

bool
LrTargets_HasUsableReplica(const LrGroup *group, LrTime now)
{
    for (size_t i = 0; i < group->n_replicas; i++) {
        const LrTarget *target = group->replicas[i];
        if (is_usable(target, now)) {
            return true;
        }
    }
    return false;
}

bool
LrTargets_RateAllows(const LrGroup *group, LrTime now)
{
    for (size_t i = 0; i < group->n_replicas; i++) {
        const LrTarget *target = group->replicas[i];
        if (is_usable(target, now) &&
            LrRateLimit_HasToken(&target->rate_limit, now) &&
            LrColdStart_HasToken(&target->cold, now)) {
            return true;
        }
    }
    return false;
}

bool
LrTargets_AllEjected(const LrGroup *group, LrTime now)
{
    for (size_t i = 0; i < group->n_replicas; i++) {
        if (!is_ejected(group->replicas[i], now)) {
            return false;
        }
    }
    return true;
}

LrTarget *
LrTargets_Pick(LrTargets *targets, const LrGroup *group, int64_t version,
               LrTime now, LrTime typical, LrTarget *const *tried,
               size_t n_tried, bool avoid_suspects, uint32_t reserved_slots,
               bool *any_eligible)
{
    Candidates found;
    collect_candidates(targets, group, version, now, tried, n_tried,
                       avoid_suspects, false, &found);
    if (!found.any_eligible && !found.any_rate_limited) {
        collect_candidates(targets, group, version, now, tried, n_tried,
                           avoid_suspects, true, &found);
        if (found.any_eligible) {
            LrCounters_Add(targets->config.counters, LR_COUNT_PANICS, 1);
        }
    }
    LrCounters_Add(targets->config.counters, LR_COUNT_RATE_LIMITED,
                   found.any_rate_limited);
    LrCounters_Add(targets->config.counters, LR_COUNT_COLD_LIMITED,
                   found.n_cold_limited);
    *any_eligible = found.any_eligible;
    const LrSelectionPolicy *policy = targets->policy;
    bool reserved = policy->adaptive && reserved_slots > 0 &&
                    found.free_slots < reserved_slots + 1.0;
    if (found.n == 0 || reserved) {
        return NULL;
    }
    size_t choice = policy->pick(policy->data, targets, now, found.items,
                                 found.n, typical);
    return found.items[choice];
}

static bool
is_probe_due(LrTarget *target, LrTime now, LrTime typical, LrTime slack,
             double n_senders)
{
    LrTargetCapacity_OnPassedOver(&target->capacity);
    return !target->backup && target->slow_start_until <= now &&
           LrTargetCapacity_IsProbeDue(&target->capacity, now,
                                       target->in_flight, n_senders, typical,
                                       slack);
}

LrTarget *
LrTargets_PickProbe(LrTargets *targets, const LrGroup *group, LrTarget *chosen,
                    int64_t version, LrTime now, LrTime typical, LrTime slack,
                    double n_senders)
{
    bool any_reduced = false;
    for (size_t i = 0; i < group->n_replicas; i++) {
        const LrTarget *target = group->replicas[i];
        any_reduced |= target->learns_capacity && target != chosen &&
                       LrTargetCapacity_IsReduced(&target->capacity);
    }
    if (!any_reduced) {
        return chosen;
    }
    Candidates found;
    collect_candidates(targets, group, version, now, &chosen, 1, true, false,
                       &found);
    for (size_t i = 0; i < found.n; i++) {
        LrTarget *target = found.items[i];
        if (is_probe_due(target, now, typical, slack, n_senders)) {
            LrTargetCapacity_OnProbe(&target->capacity, now);
            LrCounters_Add(targets->config.counters, LR_COUNT_CAPACITY_PROBES,
                           1);
            return target;
        }
    }
    return chosen;
}

size_t
LrTargets_RandomIndex(LrTargets *targets, size_t n)
{
    return LrRandom_Below(targets->config.random, (uint32_t)n);
}

static size_t
pick_random(void *data, LrTargets *targets, LrTime now,
            LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    (void)now;
    (void)candidates;
    (void)typical;
    return LrRandom_Below(targets->config.random, (uint32_t)n);
}

static size_t
pick_round_robin(void *data, LrTargets *targets, LrTime now,
                 LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    (void)now;
    (void)candidates;
    (void)typical;
    return targets->next_round_robin++ % n;
}

static size_t
pick_least_outstanding(void *data, LrTargets *targets, LrTime now,
                       LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    (void)now;
    (void)typical;
    size_t start = LrRandom_Below(targets->config.random, (uint32_t)n);
    size_t best = start;
    for (size_t i = 1; i < n; i++) {
        size_t at = (start + i) % n;
        if (candidates[at]->in_flight < candidates[best]->in_flight) {
            best = at;
        }
    }
    return best;
}

/* Takes the best of all candidates if they are few, else the better of two
 * random ones (power of two choices). */
static size_t
pick_estimated_latency(void *data, LrTargets *targets, LrTime now,
                       LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    LrRandom *random = targets->config.random;
    size_t best = LrRandom_Below(random, (uint32_t)n);
    if (n == 1) {
        return best;
    }
    size_t start = best;
    size_t rounds = n - 1;
    if (n > FULL_SCAN_MAX) {
        start = best + LrRandom_Below(random, (uint32_t)n - 1);
        rounds = 1;
    }
    double lowest = LrTargets_EstimateLatency(candidates[best], now, typical);
    for (size_t i = 1; i <= rounds; i++) {
        size_t at = (start + i) % n;
        double estimate =
            LrTargets_EstimateLatency(candidates[at], now, typical);
        if (estimate < lowest) {
            lowest = estimate;
            best = at;
        }
    }
    return best;
}

const LrSelectionPolicy LrSelectionPolicy_Random = {
    .name = "random",
    .pick = pick_random,
};

const LrSelectionPolicy LrSelectionPolicy_RoundRobin = {
    .name = "round_robin",
    .pick = pick_round_robin,
};

const LrSelectionPolicy LrSelectionPolicy_LeastOutstanding = {
    .name = "least_outstanding",
    .pick = pick_least_outstanding,
};

const LrSelectionPolicy LrSelectionPolicy_EstimatedLatency = {
    .name = "lavenderrail",
    .pick = pick_estimated_latency,
    .adaptive = true,
    .hedged = true,
};

/* Whether the reply is slow and its request was sent after an earlier slow
 * reply had arrived. A single stall of a target delays all requests in flight;
 * they count as one slow reply. */
static bool
is_second_slow_reply(LrTarget *target, LrTime latency, LrTime now,
                     LrTime typical)
{
    if ((double)latency <= SLOW_RATIO * (double)typical) {
        target->slow_at = 0;
        return false;
    }
    LrTime before = target->slow_at;
    bool again = before > 0 && now - latency >= before;
    if (before == 0 || again) {
        target->slow_at = now;
    }
    return again;
}

static void
add_latency_sample(LrTarget *target, LrTime latency, LrTime now,
                   LrTime typical)
{
    double slowness =
        smoothed_latency(target, now, (double)typical) / (double)typical;
    double ratio = (double)latency / (double)typical;
    if (target->learns_capacity && target->load_factor > 0) {
        /* What the load added says nothing of the target when it has less. */
        ratio /= target->load_factor;
    }
    double sample = MIN(ratio, MAX_SAMPLE_RATIO * slowness);
    target->slowness = slowness + LATENCY_WEIGHT * (sample - slowness);
    if (is_second_slow_reply(target, latency, now, typical)) {
        target->slowness =
            MAX(target->slowness, (double)latency / (double)typical);
    }
    target->latency_sampled_at = now;
}

static void
add_attempt_outcome(LrTarget *target, bool failed, LrTime now)
{
    double ratio = LrTargets_FailureRatio(target, now);
    target->failure_ratio =
        ratio + FAILURE_WEIGHT * ((failed ? 1 : 0) - ratio);
    target->failure_ratio_at = now;
}

static void
record_contact(LrTargets *targets, const LrTarget *target, LrTime now)
{
    LrZone_OnContact(target->zone_state, now);
    if (target->local) {
        targets->local_reply_at = now;
    }
}

static void
report_capacity(LrTargets *targets, LrTarget *target, LrTime now)
{
    int change = LrTargetCapacity_UpdateLow(&target->capacity, now);
    if (change == 0) {
        return;
    }
    double concurrency = LrTargetCapacity_Concurrency(&target->capacity, now);
    double slowness = LrTargetCapacity_Slowness(&target->capacity, now);
    LrCounters_Add(targets->config.counters, LR_COUNT_CAPACITY_DROPS,
                   change > 0);
    LR_LOG(targets->config.log, LOG_NOTICE,
           change > 0 ? "target_capacity_low" : "target_capacity_restored",
           LrLog_Str("target", target->name),
           LrLog_Int("concurrency_percent",
                     (int64_t)(100 * concurrency / target->capacity.slots)),
           LrLog_Int("slots", (int64_t)target->capacity.slots),
           LrLog_Int("slowness_percent", (int64_t)(100 * slowness)));
}

double
LrTargets_LoadAtSend(const LrTarget *target, LrTime now)
{
    return LrTargetCapacity_HasFreshReport(&target->capacity, now)
               ? LrTargets_Load(target, now)
               : 0;
}

double
LrTargets_Load(const LrTarget *target, LrTime now)
{
    if (!target->learns_capacity) {
        return 0;
    }
    return MAX((double)target->in_flight,
               LrTargetCapacity_Running(&target->capacity, now));
}

/* A report counts the requests that run when the target replies, without the
 * one that it replies to. Some of those that ran beside it have ended by then,
 * and others have come, so that the load when it was sent is preferred. */
void
LrTargets_LearnCapacity(LrTargets *targets, LrTarget *target, LrTime latency,
                        LrTime now, const LrLoadReport *report,
                        double load_at_send, LrTime typical)
{
    if (!target->learns_capacity || target->relay) {
        return;
    }
    double load = target->in_flight;
    if (report->present) {
        LrTargetCapacity_SetSlots(&target->capacity, report->slots);
        LrTargetCapacity_OnReport(&target->capacity, now, report->running);
    }
    if (report->present && isfinite(report->running)) {
        load = MAX(load, report->running + 1);
    }
    double running = load_at_send > 0 ? load_at_send : load;
    LrTargetCapacity_OnReply(&target->capacity, now, latency, typical,
                             running);
    target->load_factor =
        LrTargetCapacity_LoadFactor(&target->capacity, now, running);
    if (target->capacity.recovered) {
        double slowness = LrTargetCapacity_Slowness(&target->capacity, now);
        target->slowness = MIN(target->slowness, slowness);
    }
    report_capacity(targets, target, now);
}

void
LrTargets_OnSuccess(LrTargets *targets, LrTarget *target, LrTime latency,
                    LrTime now, const LrLoadReport *report, LrTime typical)
{
    if (typical > 0) {
        add_latency_sample(target, latency, now, typical);
    }
    add_attempt_outcome(target, false, now);
    target->last_reply_at = now;
    record_contact(targets, target, now);
    target->consecutive_failures = 0;
    target->ejections = 0;
    target->ejected_until = 0;
    double queue = -1;
    double ratio = typical > 0 ? (double)latency / (double)typical : 1;
    if (report->present && isfinite(report->queued)) {
        queue = ratio > QUEUE_REPORT_RATIO ? report->queued : 0;
        target->reported_queue = queue;
        target->load_reported_at = now;
    }
    if (!target->relay) {
        LrConcurrencyLimit_OnReply(&target->limit, ratio, queue,
                                   target->in_flight);
    }
}

void
LrTargets_OnShed(LrTargets *targets, LrTarget *target, LrTime now)
{
    LrCounters_Add(targets->config.counters, LR_COUNT_SHED, 1);
    add_attempt_outcome(target, true, now);
    target->overloaded_at = now;
    record_contact(targets, target, now);
    LrConcurrencyLimit_OnShed(&target->limit);
}

void
LrTargets_OnFailure(LrTargets *targets, LrTarget *target, LrTime now)
{
    add_attempt_outcome(target, true, now);
    if (target->consecutive_failures == 0) {
        target->failing_since = now;
    }
    target->consecutive_failures++;
    if (target->consecutive_failures >= FAILURES_TO_EJECT) {
        LrTargets_Eject(targets, target, now);
    }
}

void
LrTargets_Eject(LrTargets *targets, LrTarget *target, LrTime now)
{
    if (target->ejected_until > now) {
        return;
    }
    LrTime length = BASE_EJECTION_TIME
                    << MIN(target->ejections, MAX_EJECTION_DOUBLINGS);
    target->ejections++;
    target->ejected_until = now + MIN(length, MAX_EJECTION_TIME);
    target->slow_start_until = target->ejected_until + SLOW_START_TIME;
    LrCounters_Add(targets->config.counters, LR_COUNT_EJECTIONS, 1);
    LR_LOG(targets->config.log, LOG_WARNING, "target_ejected",
           LrLog_Str("target", target->name),
           LrLog_Int("ms", MIN(length, MAX_EJECTION_TIME) / LR_MILLISECOND));
}

void
LrTargets_MarkLeaving(LrTargets *targets, LrTarget *target,
                      LrLeavingSource source, LrTime now)
{
    LrTime until = has_identity(target) ? LR_NEVER : now + LEAVING_MARK_TIME;
    LrTargets_MarkLeavingUntil(targets, target, source, until, now);
}

void
LrTargets_MarkLeavingUntil(LrTargets *targets, LrTarget *target,
                           LrLeavingSource source, LrTime until, LrTime now)
{
    if (!LrTargets_IsLeaving(target, now)) {
        target->leaving_sources = 0;
        LR_LOG(targets->config.log, LOG_NOTICE, "target_leaving",
               LrLog_Str("target", target->name), LrLog_Int("sign", source));
    }
    target->leaving_sources |= source;
    target->leaving_until = MAX(target->leaving_until, until);
}

void
LrTargets_ClearLeaving(LrTargets *targets, LrTarget *target,
                       LrLeavingSource source)
{
    (void)targets;
    target->leaving_sources &= ~(unsigned)source;
}

void
LrTargets_Pause(LrTargets *targets, LrTarget *target, LrTime pause, LrTime now)
{
    if (pause < 0) {
        LR_LOG(targets->config.log, LOG_INFO, "target_pause_invalid",
               LrLog_Str("target", target->name));
        return;
    }
    if (!LrTargets_IsPaused(target, now)) {
        LrCounters_Add(targets->config.counters, LR_COUNT_TARGET_PAUSES, 1);
        LR_LOG(targets->config.log, LOG_NOTICE, "target_paused",
               LrLog_Str("target", target->name),
               LrLog_Int("ms", pause / LR_MILLISECOND));
    }
    target->paused_until =
        MAX(target->paused_until, now + MIN(pause, MAX_PAUSE));
}

void
LrTargets_ApplyStatements(LrTargets *targets, LrTarget *target,
                          const LrReply *reply, LrTime sent_at, LrTime now)
{
    if (reply->draining) {
        LrTargets_MarkLeaving(targets, target, LR_LEAVING_BY_REPLY, now);
    }
    if (reply->pause != 0) {
        LrTargets_Pause(targets, target, reply->pause, now);
    }
    if (reply->states_cold && reply->cold < 0) {
        LR_LOG(targets->config.log, LOG_WARNING, "target_cold_invalid",
               LrLog_Str("target", target->name));
    }
    else if (reply->states_cold) {
        LrTargets_SetCold(targets, target, reply->cold, now);
    }
    if (reply->load.present && reply->load.queued > 0) {
        target->overloaded_at = now;
    }
    LrLimitedTargets_OnReport(targets->limited, target, &reply->rate_report,
                              sent_at, now);
}

bool
LrTargets_HasOpenRequest(const LrTarget *target, LrTime sent_before)
{
    const LrAttempt *oldest = TAILQ_FIRST(&target->attempts);
    return oldest && oldest->sent_at < sent_before;
}

bool
LrTargets_IsOverloaded(const LrTarget *target, LrTime now)
{
    bool said_so = target->overloaded_at > 0 &&
                   now - target->overloaded_at <= OVERLOAD_MEMORY;
    return said_so || LrTargets_HasOpenRequest(target, now - OVERLOAD_WAIT);
}

void
LrTargets_MarkVersionMissing(LrTargets *targets, LrTarget *target,
                             int64_t version, LrTime now)
{
    (void)targets;
    target->missing_version = version;
    target->missing_until = now + VERSION_MISSING_TTL;
}

void
LrTargets_MarkMisdirected(LrTargets *targets, LrTarget *target, LrTime now)
{
    LR_LOG(targets->config.log, LOG_NOTICE, "target_misdirected",
           LrLog_Str("target", target->name),
           LrLog_Str("address", target->address));
    target->misdirected_until = now + MISDIRECTED_TIME;
}

void
LrTargets_SetVersions(LrTargets *targets, LrTarget *target, int64_t oldest,
                      int64_t newest)
{
    (void)targets;
    if (oldest > 0 && newest >= oldest) {
        target->oldest_version = oldest;
        target->newest_version = newest;
    }
}

static void
reset_health(void *data, LrTarget *target)
{
    (void)data;
    target->load_reported_at = 0;
    target->reported_queue = 0;
    target->consecutive_failures = 0;
    target->ejected_until = 0;
}

static void
reset_failures(void *data, LrTarget *target)
{
    LrTime now = *(LrTime *)data;
    reset_health(NULL, target);
    target->failure_ratio = 0;
    target->ejections = 0;
    target->slow_start_until =
        MIN(target->slow_start_until, now + SLOW_START_TIME);
}

void
LrTargets_ResetFailures(LrTargets *targets, LrTime now)
{
    LrTargets_Each(targets, reset_failures, &now);
}

void
LrTargets_OnLateWakeup(LrTargets *targets, LrTime now)
{
    LrZoneDetector_OnLateWakeup(targets->zone_detector, now);
    LrTargets_Each(targets, reset_health, NULL);
}

LrLimitedTargets *
LrTargets_Limited(LrTargets *targets)
{
    return targets->limited;
}

LrZoneDetector *
LrTargets_ZoneDetector(LrTargets *targets)
{
    return targets->zone_detector;
}

LrTime
LrTargets_WaitingSince(const LrTarget *target)
{
    const LrAttempt *oldest = TAILQ_FIRST(&target->attempts);
    return oldest && target->last_reply_at <= oldest->sent_at ? oldest->sent_at
                                                              : 0;
}

/* Since when a target that is ejected has replied to nothing, while targets of
 * this daemon's zone have replied; 0 otherwise. A daemon that reaches no
 * target at all has lost its own links, not other zones. */
static LrTime
failing_since(const LrTarget *target, LrTime now)
{
    bool silent = target->last_reply_at < target->failing_since &&
                  target->owner->local_reply_at > target->failing_since;
    return target->ejected_until > now && silent ? target->failing_since : 0;
}

/* A zone that is cut off may keep requests waiting or reject connections. */
static void
report_silence(void *data, LrTarget *target)
{
    LrTime now = *(LrTime *)data;
    LrTime since = LrTargets_WaitingSince(target);
    if (since == 0) {
        since = failing_since(target, now);
    }
    if (since > 0) {
        LrZone_OnWaiting(target->zone_state, since, now);
    }
}

void
LrTargets_EvaluateZones(LrTargets *targets, LrTime now)
{
    LrZoneDetector_BeginRound(targets->zone_detector);
    LrTargets_Each(targets, report_silence, &now);
    LrZoneDetector_Evaluate(targets->zone_detector, now);
}
