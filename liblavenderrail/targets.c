/* What is known of each target, and the choice of a replica.
 *
 * Knowledge comes from this daemon's own requests first: requests in flight,
 * the age of the oldest one, smoothed latencies. Reports of targets are
 * discounted with their age, since they may lag or mislead. */
#include "lavenderrail.h"

#include "private.h"
#include "zone_detector.h"

#include <math.h>

/* Weight of the newest latency in the smoothed one. */
#define SERVICE_WEIGHT 0.25
/* A sample counts for at most this many times the smoothed latency. */
#define SAMPLE_CLIP 4.0
/* An answer beyond this multiple of the typical latency is slow. After two
 * of them in turn the target is, and the latency is believed at once. */
#define SLOW_RATIO 3.0
/* An unsampled target's latency decays to the typical one at this rate. */
#define FORGET_NS 3e9
/* Weight of the newest attempt in the share of faulty ones, and the rate at
 * which the share decays while the target is not tried. */
#define FAULT_WEIGHT 0.3
#define FAULT_FORGET_NS 3e9
/* A load report loses its weight at this rate. */
#define REPORT_NS 5e6
/* A report of a queue is believed when the answer took this multiple of the
 * typical latency. */
#define QUEUE_RATIO 1.3
/* Added to the estimate of a target in another zone, as a share of the
 * typical latency. */
#define REMOTE_SHARE 0.2
#define LEAVING_HOLD (30 * LR_SECOND)
#define GONE_HOLD LR_SECOND
#define EJECT_BASE (500 * LR_MILLISECOND)
#define EJECT_MAX (20 * LR_SECOND)
#define SLOW_START (2 * LR_SECOND)
#define SLOW_START_SHARE 0.5

enum {
    MAX_CANDIDATES = 64,
    FAILURES_TO_EJECT = 2,
    EJECT_MAX_SHIFT = 6,
    BEST_OF_ALL_MAX = 4,
};

struct LrTargets {
    LrTargetsConfig config;
    const LrSelectionPolicy *policy;
    GHashTable *targets;
    LrZoneDetector *reach;
    uint32_t next_index;
    uint32_t turn;
};

static void
free_target(gpointer data)
{
    LrTarget *target = data;
    target->zone_state->n_targets--;
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
    LrTargets *router = g_new0(LrTargets, 1);
    router->config = *config;
    router->policy = policy;
    router->reach = LrZoneDetector_New(config->zone, config->log);
    router->targets = g_hash_table_new_full(LrStr_TableHash, LrStr_TableEqual,
                                            NULL, free_target);
    return router;
}

void
LrTargets_Free(LrTargets *router)
{
    if (!router) {
        return;
    }
    g_hash_table_unref(router->targets);
    LrZoneDetector_Free(router->reach);
    g_free(router);
}

static LrStr
own_str(LrStr text)
{
    return (LrStr){.ptr = LrStr_Dup(text), .len = text.len};
}

LrTarget *
LrTargets_Acquire(LrTargets *router, const LrTargetSpec *spec,
                  uint32_t connections, LrTime now)
{
    LrStr key = spec->instance.len > 0 ? spec->name : spec->address;
    LrTarget *target = LrTargets_Lookup(router, key);
    if (target) {
        target->refs++;
        target->limit.max = connections;
        return target;
    }
    target = g_new0(LrTarget, 1);
    target->index = router->next_index++;
    target->key = own_str(key);
    target->instance = own_str(spec->instance);
    target->slow_start_until = now + spec->cold_ms * LR_MILLISECOND;
    target->name = own_str(spec->name);
    target->address = own_str(spec->address);
    target->zone = own_str(spec->zone);
    target->zone_state =
        LrZoneDetector_GetZone(router->reach, spec->zone, now);
    target->zone_state->n_targets++;
    target->local = target->zone_state->local;
    target->refs = 1;
    target->groups = g_ptr_array_new();
    target->latency_sampled_at = now;
    LrConcurrencyLimit_Init(&target->limit, connections);
    TAILQ_INIT(&target->attempts);
    g_hash_table_insert(router->targets, &target->key, target);
    return target;
}

void
LrTargets_Release(LrTargets *router, LrTarget *target)
{
    if (--target->refs == 0) {
        g_hash_table_remove(router->targets, &target->key);
    }
}

LrTarget *
LrTargets_Lookup(LrTargets *router, LrStr key)
{
    return g_hash_table_lookup(router->targets, &key);
}

void
LrTargets_Each(LrTargets *router, void (*func)(void *, LrTarget *), void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        func(data, value);
    }
}

const LrSelectionPolicy *
LrTargets_Policy(const LrTargets *router)
{
    return router->policy;
}

bool
LrTargets_IsLeaving(const LrTarget *target, LrTime now)
{
    return target->leaving_sources != 0 && target->leaving_until > now;
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
smoothed_service(const LrTarget *target, LrTime now, double typical)
{
    if (target->slowness == 0) {
        return typical;
    }
    double idle = (double)(now - target->latency_sampled_at);
    double weight = idle > 0 ? exp(-idle / FORGET_NS) : 1;
    return typical * (1 + (target->slowness - 1) * weight);
}

static double
aged_queue(const LrTarget *target, LrTime now)
{
    if (target->load_reported_at == 0 || target->reported_queue <= 0) {
        return 0;
    }
    return target->reported_queue *
           exp(-(double)(now - target->load_reported_at) / REPORT_NS);
}

double
LrTargets_SmoothedLatency(const LrTarget *target, LrTime now, LrTime typical)
{
    return smoothed_service(target, now, (double)typical);
}

double
LrTargets_FailureRatio(const LrTarget *target, LrTime now)
{
    if (target->failure_ratio == 0) {
        return 0;
    }
    double age = (double)MAX(0, now - target->failure_ratio_at);
    return target->failure_ratio * exp(-age / FAULT_FORGET_NS);
}

double
LrTargets_ReportedQueue(const LrTarget *target, LrTime now)
{
    return aged_queue(target, now);
}

double
LrTargets_EstimateLatency(const LrTarget *target, LrTime now, LrTime typical)
{
    double service = smoothed_service(target, now, (double)typical);
    const LrAttempt *oldest = TAILQ_FIRST(&target->attempts);
    if (oldest) {
        double age = (double)(now - oldest->sent_at);
        if (age > SAMPLE_CLIP * (double)typical) {
            service = MAX(service, age / 2);
        }
    }
    double ahead = target->in_flight + aged_queue(target, now);
    double estimate = service * (1 + ahead / MAX(1, target->limit.value));
    if (!target->local) {
        estimate += REMOTE_SHARE * (double)typical;
    }
    return estimate;
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
has_room(const LrTarget *target, LrTime now, bool adaptive)
{
    if (!adaptive) {
        return true;
    }
    if (target->slow_start_until > now) {
        double allowed = MAX(1, SLOW_START_SHARE * target->limit.value);
        return target->in_flight + 1.0 <= allowed;
    }
    return LrConcurrencyLimit_HasRoom(&target->limit, target->in_flight);
}

/* By its own failures, or with its whole zone. */
static bool
is_ejected(const LrTarget *target, LrTime now)
{
    return target->ejected_until > now || target->zone_state->unreachable;
}

typedef struct {
    LrTarget *items[MAX_CANDIDATES];
    size_t n;
    double room;
    bool exists;
} Candidates;

static void
collect(const LrTargets *router, const LrGroup *group, int64_t version,
        LrTime now, LrTarget *const *tried, size_t n_tried, bool suspect,
        bool ejected_too, Candidates *out)
{
    bool adaptive = router->policy->adaptive;
    *out = (Candidates){.n = 0};
    for (size_t i = 0; i < group->n_replicas && i < MAX_CANDIDATES; i++) {
        LrTarget *target = group->replicas[i];
        if (LrTargets_IsLeaving(target, now) ||
            !LrTargets_ServesVersion(target, version, now) ||
            was_tried(target, tried, n_tried)) {
            continue;
        }
        if (adaptive && !ejected_too && is_ejected(target, now)) {
            continue;
        }
        out->exists = true;
        if (suspect && target->n_suspects > 0) {
            continue;
        }
        out->room += MAX(0, target->limit.value - target->in_flight);
        if (has_room(target, now, adaptive)) {
            out->items[out->n++] = target;
        }
    }
}

bool
LrTargets_HasUsableReplica(const LrGroup *group, LrTime now)
{
    for (size_t i = 0; i < group->n_replicas; i++) {
        const LrTarget *target = group->replicas[i];
        if (!LrTargets_IsLeaving(target, now) && !is_ejected(target, now)) {
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
LrTargets_Pick(LrTargets *router, const LrGroup *group, int64_t version,
               LrTime now, LrTime typical, LrTarget *const *tried,
               size_t n_tried, bool suspect, uint32_t reserve, bool *exists)
{
    Candidates found;
    collect(router, group, version, now, tried, n_tried, suspect, false,
            &found);
    if (!found.exists) {
        collect(router, group, version, now, tried, n_tried, suspect, true,
                &found);
        if (found.exists) {
            LrCounters_Add(router->config.counters, LR_COUNT_PANICS, 1);
        }
    }
    *exists = found.exists;
    const LrSelectionPolicy *policy = router->policy;
    bool reserved =
        policy->adaptive && reserve > 0 && found.room < reserve + 1.0;
    if (found.n == 0 || reserved) {
        return NULL;
    }
    size_t choice =
        policy->pick(policy->data, router, now, found.items, found.n, typical);
    return found.items[choice];
}

size_t
LrTargets_RandomIndex(LrTargets *router, size_t n)
{
    return LrRandom_Below(router->config.random, (uint32_t)n);
}

static size_t
pick_random(void *data, LrTargets *router, LrTime now,
            LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    (void)now;
    (void)candidates;
    (void)typical;
    return LrRandom_Below(router->config.random, (uint32_t)n);
}

static size_t
pick_round_robin(void *data, LrTargets *router, LrTime now,
                 LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    (void)now;
    (void)candidates;
    (void)typical;
    return router->turn++ % n;
}

static size_t
pick_least_outstanding(void *data, LrTargets *router, LrTime now,
                       LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    (void)now;
    (void)typical;
    size_t start = LrRandom_Below(router->config.random, (uint32_t)n);
    size_t best = start;
    for (size_t i = 1; i < n; i++) {
        size_t at = (start + i) % n;
        if (candidates[at]->in_flight < candidates[best]->in_flight) {
            best = at;
        }
    }
    return best;
}

/* Best of all for few candidates, the better of two for many. */
static size_t
pick_estimate(void *data, LrTargets *router, LrTime now,
              LrTarget *const *candidates, size_t n, LrTime typical)
{
    (void)data;
    LrRandom *random = router->config.random;
    size_t best = LrRandom_Below(random, (uint32_t)n);
    if (n == 1) {
        return best;
    }
    size_t start = best;
    size_t rounds = n - 1;
    if (n > BEST_OF_ALL_MAX) {
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
    .pick = pick_estimate,
    .adaptive = true,
    .hedged = true,
};

/* Whether the answer is slow, and so was the last one that came before its
 * request was sent: a standstill delays many requests, but once only. */
static bool
is_slow_again(LrTarget *target, LrTime latency, LrTime now, LrTime typical)
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
add_sample(LrTarget *target, LrTime latency, LrTime now, LrTime typical)
{
    double slowness =
        smoothed_service(target, now, (double)typical) / (double)typical;
    double sample =
        MIN((double)latency / (double)typical, SAMPLE_CLIP * slowness);
    target->slowness = slowness + SERVICE_WEIGHT * (sample - slowness);
    if (is_slow_again(target, latency, now, typical)) {
        target->slowness =
            MAX(target->slowness, (double)latency / (double)typical);
    }
    target->latency_sampled_at = now;
}

static void
add_outcome(LrTarget *target, bool fault, LrTime now)
{
    double share = LrTargets_FailureRatio(target, now);
    target->failure_ratio = share + FAULT_WEIGHT * ((fault ? 1 : 0) - share);
    target->failure_ratio_at = now;
}

void
LrTargets_OnSuccess(LrTargets *router, LrTarget *target, LrTime latency,
                    LrTime now, const LrLoadReport *report, LrTime typical)
{
    (void)router;
    if (typical > 0) {
        add_sample(target, latency, now, typical);
    }
    add_outcome(target, false, now);
    target->last_reply_at = now;
    LrZone_OnContact(target->zone_state, now);
    target->consecutive_failures = 0;
    target->ejections = 0;
    target->ejected_until = 0;
    double queue = -1;
    double ratio = typical > 0 ? (double)latency / (double)typical : 1;
    if (report->present && isfinite(report->queued)) {
        queue = ratio > QUEUE_RATIO ? report->queued : 0;
        target->reported_queue = queue;
        target->load_reported_at = now;
    }
    if (!target->relay) {
        LrConcurrencyLimit_OnReply(&target->limit, ratio, queue,
                                   target->in_flight);
    }
}

void
LrTargets_OnShed(LrTargets *router, LrTarget *target, LrTime now)
{
    LrCounters_Add(router->config.counters, LR_COUNT_SHED, 1);
    add_outcome(target, true, now);
    LrZone_OnContact(target->zone_state, now);
    LrConcurrencyLimit_OnShed(&target->limit);
}

void
LrTargets_OnFailure(LrTargets *router, LrTarget *target, LrTime now)
{
    add_outcome(target, true, now);
    target->consecutive_failures++;
    if (target->consecutive_failures < FAILURES_TO_EJECT ||
        target->ejected_until > now) {
        return;
    }
    LrTime length = EJECT_BASE << MIN(target->ejections, EJECT_MAX_SHIFT);
    target->ejections++;
    target->ejected_until = now + MIN(length, EJECT_MAX);
    target->slow_start_until = target->ejected_until + SLOW_START;
    LrCounters_Add(router->config.counters, LR_COUNT_EJECTIONS, 1);
    LR_LOG(router->config.log, LOG_WARNING, "target_ejected",
           LrLog_Str("target", target->name),
           LrLog_Int("ms", MIN(length, EJECT_MAX) / LR_MILLISECOND));
}

void
LrTargets_MarkLeaving(LrTargets *router, LrTarget *target,
                      LrLeavingSource sign, LrTime now)
{
    if (!LrTargets_IsLeaving(target, now)) {
        target->leaving_sources = 0;
        LR_LOG(router->config.log, LOG_NOTICE, "target_leaving",
               LrLog_Str("target", target->name), LrLog_Int("sign", sign));
    }
    target->leaving_sources |= sign;
    target->leaving_until = now + LEAVING_HOLD;
}

void
LrTargets_ClearLeaving(LrTargets *router, LrTarget *target,
                       LrLeavingSource sign)
{
    (void)router;
    target->leaving_sources &= ~(unsigned)sign;
}

void
LrTargets_MarkVersionMissing(LrTargets *router, LrTarget *target,
                             int64_t version, LrTime now)
{
    (void)router;
    target->missing_version = version;
    target->missing_until = now + GONE_HOLD;
}

void
LrTargets_MarkMisdirected(LrTargets *router, LrTarget *target, LrTime now)
{
    LR_LOG(router->config.log, LOG_NOTICE, "target_misdirected",
           LrLog_Str("target", target->name),
           LrLog_Str("address", target->address));
    target->ejected_until = now + EJECT_MAX;
}

void
LrTargets_SetVersions(LrTargets *router, LrTarget *target, int64_t oldest,
                      int64_t newest)
{
    (void)router;
    if (oldest > 0 && newest >= oldest) {
        target->oldest_version = oldest;
        target->newest_version = newest;
    }
}

static void
forget_target(void *data, LrTarget *target)
{
    (void)data;
    target->load_reported_at = 0;
    target->reported_queue = 0;
    target->consecutive_failures = 0;
    target->ejected_until = 0;
}

void
LrTargets_OnLateWakeup(LrTargets *router, LrTime now)
{
    LrZoneDetector_OnLateWakeup(router->reach, now);
    LrTargets_Each(router, forget_target, NULL);
}

LrZoneDetector *
LrTargets_ZoneDetector(LrTargets *router)
{
    return router->reach;
}

static void
tell_waiting(void *data, LrTarget *target)
{
    const LrAttempt *oldest = TAILQ_FIRST(&target->attempts);
    if (oldest && target->last_reply_at <= oldest->sent_at) {
        LrZone_OnWaiting(target->zone_state, oldest->sent_at, *(LrTime *)data);
    }
}

void
LrTargets_EvaluateZones(LrTargets *router, LrTime now)
{
    LrZoneDetector_BeginRound(router->reach);
    LrTargets_Each(router, tell_waiting, &now);
    LrZoneDetector_Evaluate(router->reach, now);
}
