/* Subsetting: which daemons connect to which shards.
 *
 * Targets limit their connections, so only some daemons of a large fleet may
 * connect to each. Consecutive shards of a map form a range; rendezvous
 * hashing assigns daemons to each range, those in the zones of its replicas
 * first. All daemons that know the same members make the same assignment, and
 * a daemon that joins or leaves changes few ranges. The other daemons relay
 * their requests through the assigned ones. In a small fleet every daemon is
 * assigned to every range, and nothing is relayed. */
#include "lavenderrail.h"

#include <stdlib.h>

/* Share of a target's connections that is assigned to daemons; the rest is for
 * new daemons that run beside those that they replace. */
#define ASSIGNED_RATIO 0.8

/* Connections that are reserved at a target for each one that a daemon uses:
 * there may also be a lingering one, and one of a previous process that lost
 * power, which the target has not noticed yet. */
#define RESERVED_PER_USED 2.5

enum { SHARDS_PER_RANGE = 16, MIN_DAEMONS = 2, MIN_REPLICAS = 1 };

size_t
LrSubset_DaemonsPerTarget(uint32_t connections,
                          uint32_t connections_per_daemon, size_t n_daemons)
{
    size_t size = (size_t)(ASSIGNED_RATIO * connections /
                           MAX(1, connections_per_daemon));
    return MIN(MAX(size, MIN_DAEMONS), n_daemons);
}

uint32_t
LrSubset_ConnectionsPerDaemon(uint32_t connections, size_t n_daemons)
{
    if (n_daemons == 0) {
        return connections;
    }
    return (uint32_t)MAX(1, ASSIGNED_RATIO * connections / (double)n_daemons);
}

size_t
LrSubset_ReplicasPerDaemon(uint32_t connections, size_t n_replicas,
                           size_t n_daemons)
{
    if (n_daemons == 0) {
        return n_replicas;
    }
    double n_used = (double)n_replicas * ASSIGNED_RATIO * connections /
                    (RESERVED_PER_USED * (double)n_daemons);
    return CLAMP((size_t)n_used, MIN(MIN_REPLICAS, n_replicas), n_replicas);
}

uint64_t
LrSubset_ReplicaRank(LrStr daemon, LrStr target)
{
    return LrStr_Hash(target, LrStr_Hash(daemon, 0));
}

size_t
LrSubset_ShardRange(size_t group)
{
    return group / SHARDS_PER_RANGE;
}

typedef struct {
    size_t index;
    uint64_t weight;
    bool in_replica_zone;
} Candidate;

static int
by_preference(const void *a, const void *b)
{
    const Candidate *left = a;
    const Candidate *right = b;
    if (left->in_replica_zone != right->in_replica_zone) {
        return left->in_replica_zone ? -1 : 1;
    }
    if (left->weight != right->weight) {
        return left->weight > right->weight ? -1 : 1;
    }
    return (left->index > right->index) - (left->index < right->index);
}

static bool
has_replica_in_zone(const LrShardMapSpec *map, size_t range, LrStr zone)
{
    size_t end = MIN(map->n_groups, (range + 1) * SHARDS_PER_RANGE);
    for (size_t i = range * SHARDS_PER_RANGE; i < end; i++) {
        for (size_t j = 0; j < map->groups[i].n_replicas; j++) {
            if (LrStr_Equal(map->groups[i].replicas[j].zone, zone)) {
                return true;
            }
        }
    }
    return false;
}

void
LrSubset_ChooseDaemons(const LrPeerSpec *daemons, size_t n_daemons,
                       LrStr service, const LrShardMapSpec *map, size_t range,
                       size_t size, size_t *chosen)
{
    Candidate *candidates = g_new0(Candidate, n_daemons);
    uint64_t seed = LrStr_Hash(service, range);
    for (size_t i = 0; i < n_daemons; i++) {
        candidates[i] = (Candidate){
            .index = i,
            .weight = LrStr_Hash(daemons[i].name, seed),
            .in_replica_zone =
                has_replica_in_zone(map, range, daemons[i].zone),
        };
    }
    qsort(candidates, n_daemons, sizeof(Candidate), by_preference);
    for (size_t i = 0; i < size; i++) {
        chosen[i] = candidates[i].index;
    }
    g_free(candidates);
}
