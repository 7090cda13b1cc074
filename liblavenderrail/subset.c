/* Which daemons talk to which shards.
 *
 * Targets limit their connections, so that only some daemons of a large
 * fleet may connect to each. Neighbouring shards of a map form a bundle;
 * rendezvous hashing gives each bundle its daemons, those in the zones of its
 * replicas first. All daemons that see the same fleet choose alike, and a
 * daemon's coming or going moves few bundles. Other daemons reach the shards
 * by way of these. While the fleet is small everyone is chosen, and nothing
 * is relayed. */
#include "lavenderrail.h"

#include <stdlib.h>

/* Share of a target's connections that is given out; the rest is for
 * replacements that overlap with those they replace. */
#define GIVEN_SHARE 0.8

/* Connections that a daemon may hold at a target for each one that it uses:
 * one that lingers, and that of a former process which lost power and whose
 * end the target has not noticed yet. */
#define WANTED_LINKS 2.5

enum { BUNDLE = 16, MIN_DAEMONS = 2, MIN_REPLICAS = 1 };

size_t
LrSubset_DaemonsPerTarget(uint32_t connections, uint32_t links,
                          size_t n_daemons)
{
    size_t size = (size_t)(GIVEN_SHARE * connections / MAX(1, links));
    return MIN(MAX(size, MIN_DAEMONS), n_daemons);
}

uint32_t
LrSubset_ConnectionsPerDaemon(uint32_t connections, size_t n_daemons)
{
    if (n_daemons == 0) {
        return connections;
    }
    return (uint32_t)MAX(1, GIVEN_SHARE * connections / (double)n_daemons);
}

size_t
LrSubset_ReplicasPerDaemon(uint32_t connections, size_t n_replicas,
                           size_t n_daemons)
{
    if (n_daemons == 0) {
        return n_replicas;
    }
    double used = (double)n_replicas * GIVEN_SHARE * connections /
                  (WANTED_LINKS * (double)n_daemons);
    return CLAMP((size_t)used, MIN(MIN_REPLICAS, n_replicas), n_replicas);
}

uint64_t
LrSubset_ReplicaRank(LrStr daemon, LrStr target)
{
    return LrStr_Hash(target, LrStr_Hash(daemon, 0));
}

size_t
LrSubset_ShardRange(size_t group)
{
    return group / BUNDLE;
}

typedef struct {
    size_t index;
    uint64_t weight;
    bool near;
} Candidate;

static int
best_first(const void *a, const void *b)
{
    const Candidate *left = a;
    const Candidate *right = b;
    if (left->near != right->near) {
        return left->near ? -1 : 1;
    }
    if (left->weight != right->weight) {
        return left->weight > right->weight ? -1 : 1;
    }
    return (left->index > right->index) - (left->index < right->index);
}

static bool
holds_replica(const LrShardMapSpec *map, size_t bundle, LrStr zone)
{
    size_t end = MIN(map->n_groups, (bundle + 1) * BUNDLE);
    for (size_t i = bundle * BUNDLE; i < end; i++) {
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
                       LrStr service, const LrShardMapSpec *map, size_t bundle,
                       size_t size, size_t *chosen)
{
    Candidate *candidates = g_new0(Candidate, n_daemons);
    uint64_t seed = LrStr_Hash(service, bundle);
    for (size_t i = 0; i < n_daemons; i++) {
        candidates[i] = (Candidate){
            .index = i,
            .weight = LrStr_Hash(daemons[i].name, seed),
            .near = holds_replica(map, bundle, daemons[i].zone),
        };
    }
    qsort(candidates, n_daemons, sizeof(Candidate), best_first);
    for (size_t i = 0; i < size; i++) {
        chosen[i] = candidates[i].index;
    }
    g_free(candidates);
}
