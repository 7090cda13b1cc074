/* Routes: which entry of the catalogue a request belongs to, by its host and
 * the longest prefix of its path, and the catalogue that routes make. */
#ifndef LAVENDERRAIL_ROUTING_H
#define LAVENDERRAIL_ROUTING_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Names of values in a store: the routes and limits, and each target. */
#define LR_ROUTING_VALUE "config"
#define LR_INSTANCE_PREFIX "target/"

typedef struct LrRoutes LrRoutes;

typedef struct {
    /* Entry of the catalogue that stands for the backend. */
    LrStr entry;
    double weight;
    /* Share that the backend is behind its weight. */
    double current_weight;
} LrRouteBackend;

typedef struct {
    const LrRouteSpec *spec;
    LrRouteBackend *backends;
    size_t n_backends;
    /* Of all that the configuration says of the route; 0 until asked for. */
    uint64_t digest;
} LrRoute;

/* Builds the catalogue of a routed store: an entry for each backend of each
 * route. Its routes come with it. What has not changed since the former
 * catalogue, which may be NULL, is shared with it. NULL with the faults when
 * the store has no valid configuration. */
LrCatalogue *LrRouting_Build(const LrValueSet *store,
                             const LrCatalogue *former, LrFaults *faults);
/* Routes of a catalogue; NULL when it was not built from any. */
LrRoutes *LrRouting_Routes(const LrCatalogue *catalogue);
const LrRoutingSpec *LrRoutes_Spec(const LrRoutes *routes);
/* The route of a request; host may have a port. NULL when there is none. */
LrRoute *LrRoutes_Match(const LrRoutes *routes, LrStr host, LrStr path);
/* The route of that name; NULL when there is none. */
LrRoute *LrRoutes_FindByName(const LrRoutes *routes, LrStr name);
/* Tells whether two configurations say the same of a route. */
uint64_t LrRoutes_Digest(const LrRoutes *routes, LrRoute *route);
/* The route's own copy of the name of one of its entries; empty when it is
 * not among them. */
LrStr LrRoute_FindEntry(const LrRoute *route, LrStr entry);
/* The next backend of a route, so that each gets its weight of the requests
 * in any stretch of them. */
LrStr LrRoute_NextEntry(LrRoute *route);

#ifdef __cplusplus
}
#endif

#endif
