/* The catalogue in force, resolved to targets. A running query keeps the view
 * that it started on; the states of services, groups and entries outlive a
 * view. */
#include "fair_admission.h"
#include "lavenderrail.h"

#include <stdlib.h>

struct LrStates {
    GHashTable *groups;
    GHashTable *services;
    GHashTable *entries;
};

static void
free_service_state(gpointer data)
{
    LrServiceState *state = data;
    LrLatencyHistogram_Free(state->attempt_latency);
    LrLatencyHistogram_Free(state->answer_latency);
    g_free(state);
}

static void
free_group_state(gpointer data)
{
    LrGroupState *state = data;
    LrFairPool_Free(state->pool);
    g_free(state);
}

LrStates *
LrStates_New(void)
{
    LrStates *states = g_new0(LrStates, 1);
    states->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             free_service_state);
    states->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    states->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           free_group_state);
    return states;
}

void
LrStates_Free(LrStates *states)
{
    if (!states) {
        return;
    }
    g_hash_table_unref(states->groups);
    g_hash_table_unref(states->services);
    g_hash_table_unref(states->entries);
    g_free(states);
}

static LrServiceState *
service_state(LrStates *states, LrStr name)
{
    char *key = LrStr_Dup(name);
    LrServiceState *state = g_hash_table_lookup(states->services, key);
    if (state) {
        g_free(key);
        return state;
    }
    state = g_new0(LrServiceState, 1);
    state->attempt_latency = LrLatencyHistogram_New();
    state->answer_latency = LrLatencyHistogram_New();
    for (size_t i = 0; i < LR_CLASS_COUNT; i++) {
        TAILQ_INIT(&state->queued[i]);
    }
    g_hash_table_insert(states->services, key, state);
    return state;
}

static LrGroupState *
group_state(LrStates *states, LrStr name)
{
    char *key = LrStr_Dup(name);
    LrGroupState *state = g_hash_table_lookup(states->groups, key);
    if (state) {
        g_free(key);
        return state;
    }
    state = g_new0(LrGroupState, 1);
    g_hash_table_insert(states->groups, key, state);
    return state;
}

static LrEntryState *
entry_state(LrStates *states, const LrEntrySpec *spec, LrTime now)
{
    char *key = LrStr_Dup(spec->name);
    double rate = (double)spec->rate_per_s;
    LrEntryState *state = g_hash_table_lookup(states->entries, key);
    if (!state) {
        state = g_new0(LrEntryState, 1);
        LrTokenBucket_Init(&state->rate, rate, rate, now);
        g_hash_table_insert(states->entries, key, state);
        return state;
    }
    g_free(key);
    return state;
}

/* Requests that one daemon may have in flight at another. */
enum { RELAY_MAX_IN_FLIGHT = 4096 };

static void
init_group(LrGroup *group, LrMap *map, LrStr name, size_t n_replicas)
{
    group->name = name;
    group->map = map;
    group->n_replicas = n_replicas;
    group->replicas = g_new0(LrTarget *, n_replicas);
    for (size_t i = 0; i < LR_CLASS_COUNT; i++) {
        TAILQ_INIT(&group->waiting[i]);
    }
}

static void
set_replica(LrGroup *group, size_t i, LrTarget *target)
{
    group->replicas[i] = target;
    g_ptr_array_add(target->groups, group);
}

static void
build_direct(LrView *view, LrGroup *group, const LrGroupSpec *spec,
             uint32_t connections, LrTime now)
{
    for (size_t i = 0; i < spec->n_replicas; i++) {
        set_replica(group, i,
                    LrTargets_Acquire(view->targets, &spec->replicas[i],
                                      connections, now));
    }
}

typedef struct {
    LrTarget *target;
    uint64_t rank;
} Ranked;

static int
local_first(const void *a, const void *b)
{
    const Ranked *left = a;
    const Ranked *right = b;
    if (left->target->local != right->target->local) {
        return left->target->local ? -1 : 1;
    }
    return (left->rank > right->rank) - (left->rank < right->rank);
}

/* Where connections are scarce, each daemon prefers some replicas of a group
 * and uses the others as backups. */
static void
mark_backups(LrGroup *group, uint32_t connections, const LrTopology *topology)
{
    size_t n = group->n_replicas;
    size_t n_preferred =
        LrSubset_ReplicasPerDaemon(connections, n, topology->limit_divisor);
    Ranked *ranked = g_new0(Ranked, n + 1);
    for (size_t i = 0; i < n; i++) {
        ranked[i].target = group->replicas[i];
        ranked[i].rank =
            LrSubset_ReplicaRank(topology->self, group->replicas[i]->key);
    }
    qsort(ranked, n, sizeof(Ranked), local_first);
    for (size_t i = 0; i < n; i++) {
        ranked[i].target->backup = i >= n_preferred;
    }
    g_free(ranked);
}

static LrTarget *
acquire_relay(LrView *view, const LrPeerSpec *peer, LrTime now)
{
    g_autofree char *address =
        g_strdup_printf("@%.*s", (int)peer->address.len, peer->address.ptr);
    LrTargetSpec spec = {.name = peer->name,
                         .address = LrStr_FromC(address),
                         .zone = peer->zone};
    LrTarget *target =
        LrTargets_Acquire(view->targets, &spec, RELAY_MAX_IN_FLIGHT, now);
    target->relay = true;
    target->limit.value = RELAY_MAX_IN_FLIGHT;
    return target;
}

/* The daemons assigned to the range of groups that is being built. */
typedef struct {
    const LrTopology *topology;
    size_t *indices;
    size_t size;
    bool direct;
} RangeDaemons;

static bool
includes_self(const RangeDaemons *range_daemons)
{
    const LrTopology *topology = range_daemons->topology;
    for (size_t i = 0; i < range_daemons->size; i++) {
        LrStr name = topology->daemons[range_daemons->indices[i]].name;
        if (LrStr_Equal(name, topology->self)) {
            return true;
        }
    }
    return false;
}

static void
choose_range_daemons(RangeDaemons *range_daemons, LrStr service,
                     const LrShardMapSpec *map, size_t range)
{
    const LrTopology *topology = range_daemons->topology;
    if (topology->full_mesh || range_daemons->size == topology->n_daemons) {
        range_daemons->direct = true;
        return;
    }
    LrSubset_ChooseDaemons(topology->daemons, topology->n_daemons, service,
                           map, range, range_daemons->size,
                           range_daemons->indices);
    range_daemons->direct = includes_self(range_daemons);
}

static void
build_relayed(LrView *view, LrGroup *group, const RangeDaemons *range_daemons,
              LrTime now)
{
    const LrTopology *topology = range_daemons->topology;
    group->relayed = true;
    view->n_relayed++;
    for (size_t i = 0; i < range_daemons->size; i++) {
        const LrPeerSpec *peer = &topology->daemons[range_daemons->indices[i]];
        set_replica(group, i, acquire_relay(view, peer, now));
    }
}

static void
build_map(LrView *view, LrMap *map, const LrShardMapSpec *spec,
          const LrServiceSpec *service, LrStates *states,
          const LrTopology *topology, LrTime now)
{
    uint32_t connections = (uint32_t)service->connections;
    RangeDaemons range_daemons = {
        .topology = topology,
        .size = topology->full_mesh
                    ? topology->n_daemons
                    : LrSubset_DaemonsPerTarget(
                          connections, topology->connections_per_daemon,
                          topology->n_daemons),
        .indices = g_new0(size_t, topology->n_daemons + 1),
    };
    map->version = spec->version;
    map->n_groups = spec->n_groups;
    map->groups = g_new0(LrGroup, spec->n_groups);
    for (size_t i = 0; i < spec->n_groups; i++) {
        const LrGroupSpec *group = &spec->groups[i];
        size_t range = LrSubset_ShardRange(i);
        if (i == 0 || LrSubset_ShardRange(i - 1) != range) {
            choose_range_daemons(&range_daemons, service->name, spec, range);
        }
        init_group(&map->groups[i], map, group->name,
                   range_daemons.direct ? group->n_replicas
                                        : range_daemons.size);
        map->groups[i].state = group_state(states, group->name);
        if (!topology->full_mesh) {
            map->groups[i].n_senders = range_daemons.size;
        }
        if (range_daemons.direct) {
            build_direct(view, &map->groups[i], group,
                         LrSubset_ConnectionsPerDaemon(
                             connections, topology->full_mesh
                                              ? topology->limit_divisor
                                              : range_daemons.size),
                         now);
            mark_backups(&map->groups[i], connections, topology);
        }
        else {
            build_relayed(view, &map->groups[i], &range_daemons, now);
        }
    }
    g_free(range_daemons.indices);
}

/* A service keeps its first pool, which counts its waiting parts. */
static void
join_pool(LrService *service)
{
    bool empty = service->n_maps == 0 || service->maps[0].n_groups == 0;
    if (service->state->pool || empty) {
        return;
    }
    LrGroupState *first = service->maps[0].groups[0].state;
    if (!first->pool) {
        first->pool = LrFairPool_New();
    }
    service->state->pool = first->pool;
}

static int
newest_first(const void *a, const void *b)
{
    const LrShardMapSpec *left = *(LrShardMapSpec *const *)a;
    const LrShardMapSpec *right = *(LrShardMapSpec *const *)b;
    return (right->version > left->version) - (right->version < left->version);
}

static void
build_service(LrView *view, LrService *service, LrServiceSpec *spec,
              LrStates *states, const LrTopology *topology, LrTime now)
{
    service->name = spec->name;
    service->state = service_state(states, spec->name);
    service->n_maps = spec->n_maps;
    service->maps = g_new0(LrMap, spec->n_maps);
    g_autofree LrShardMapSpec **order = g_new0(LrShardMapSpec *, spec->n_maps);
    for (size_t i = 0; i < spec->n_maps; i++) {
        order[i] = &spec->maps[i];
    }
    qsort(order, spec->n_maps, sizeof(LrShardMapSpec *), newest_first);
    for (size_t i = 0; i < spec->n_maps; i++) {
        service->maps[i].service = service;
        build_map(view, &service->maps[i], order[i], spec, states, topology,
                  now);
    }
    join_pool(service);
}

static LrService *
lookup_service(LrView *view, LrStr name)
{
    for (size_t i = 0; i < view->n_services; i++) {
        if (LrStr_Equal(view->services[i].name, name)) {
            return &view->services[i];
        }
    }
    return NULL;
}

LrView *
LrView_New(LrCatalogue *catalogue, LrTargets *targets, LrStates *states,
           const LrTopology *topology, LrTime now)
{
    LrView *view = g_new0(LrView, 1);
    LrCatalogueSpec *spec = &catalogue->spec;
    view->refs = 1;
    LrTargets_ForgetExpired(targets, now);
    view->catalogue = LrCatalogue_Ref(catalogue);
    view->targets = targets;
    view->n_services = spec->n_services;
    view->services = g_new0(LrService, spec->n_services);
    for (size_t i = 0; i < spec->n_services; i++) {
        build_service(view, &view->services[i], &spec->services[i], states,
                      topology, now);
    }
    view->n_entries = spec->n_entries;
    view->entries = g_new0(LrEntry, spec->n_entries);
    view->entry_by_name = g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
    for (size_t i = 0; i < spec->n_entries; i++) {
        LrEntry *entry = &view->entries[i];
        entry->spec = &spec->entries[i];
        entry->service = lookup_service(view, entry->spec->service);
        entry->state = entry_state(states, entry->spec, now);
        g_hash_table_insert(view->entry_by_name, (gpointer)&entry->spec->name,
                            entry);
    }
    return view;
}

LrView *
LrView_Ref(LrView *view)
{
    view->refs++;
    return view;
}

static void
free_map(LrView *view, LrMap *map)
{
    for (size_t i = 0; i < map->n_groups; i++) {
        LrGroup *group = &map->groups[i];
        for (size_t j = 0; j < group->n_replicas; j++) {
            LrTarget *target = group->replicas[j];
            g_ptr_array_remove_fast(target->groups, group);
            LrTargets_Release(view->targets, target);
        }
        g_free(group->replicas);
    }
    g_free(map->groups);
}

void
LrView_Unref(LrView *view)
{
    if (!view || --view->refs > 0) {
        return;
    }
    for (size_t i = 0; i < view->n_services; i++) {
        LrService *service = &view->services[i];
        for (size_t j = 0; j < service->n_maps; j++) {
            free_map(view, &service->maps[j]);
        }
        g_free(service->maps);
    }
    g_free(view->services);
    g_free(view->entries);
    g_hash_table_unref(view->entry_by_name);
    LrCatalogue_Unref(view->catalogue);
    g_free(view);
}

size_t
LrView_RelayedShards(const LrView *view)
{
    return view->n_relayed;
}

LrEntry *
LrView_LookupEntry(LrView *view, LrStr name)
{
    return g_hash_table_lookup(view->entry_by_name, &name);
}

/* Ratio of the group's usable replicas that serve the version; 1 if no replica
 * is usable, since the choice of a version cannot help then. */
static double
serving_ratio(const LrGroup *group, int64_t version, LrTime now)
{
    unsigned n_usable = 0;
    unsigned n_serving = 0;
    for (size_t i = 0; i < group->n_replicas; i++) {
        const LrTarget *target = group->replicas[i];
        if (LrTargets_IsOutOfUse(target, now) ||
            LrTargets_IsMisdirected(target, now) ||
            LrTargets_IsPaused(target, now) || target->ejected_until > now) {
            continue;
        }
        n_usable++;
        n_serving += LrTargets_ServesVersion(target, version, now);
    }
    return n_usable > 0 ? (double)n_serving / n_usable : 1;
}

/* Smallest such ratio over the groups; if some groups do not serve the version
 * at all, minus their number. */
static double
worst_serving_ratio(const LrMap *map, LrTime now)
{
    double worst = 1;
    double n_unserved = 0;
    for (size_t i = 0; i < map->n_groups; i++) {
        double ratio = serving_ratio(&map->groups[i], map->version, now);
        n_unserved += ratio == 0;
        worst = MIN(worst, ratio);
    }
    return n_unserved > 0 ? -n_unserved : worst;
}

LrMap *
LrView_PickMap(const LrService *service, LrSnapshotPolicy policy, int64_t skip,
               LrTime now)
{
    LrMap *best = NULL;
    double best_ratio = 0;
    for (size_t i = 0; i < service->n_maps; i++) {
        LrMap *map = &service->maps[i];
        if (map->version == skip) {
            continue;
        }
        double ratio = worst_serving_ratio(map, now);
        if (policy == LR_SNAPSHOT_NEWEST && ratio > 0) {
            return map;
        }
        if (!best || ratio > best_ratio) {
            best_ratio = ratio;
            best = map;
        }
    }
    return best;
}

LrMap *
LrView_LookupMap(const LrService *service, int64_t version)
{
    for (size_t i = 0; i < service->n_maps; i++) {
        if (service->maps[i].version == version) {
            return &service->maps[i];
        }
    }
    return NULL;
}
