/* Routes: find the catalogue entry of a request by its host and the longest
 * matching prefix of its path; and the catalogue that is built from routes. */
#ifndef LAVENDERRAIL_ROUTING_H
#define LAVENDERRAIL_ROUTING_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Names of values in a store: the configuration, with routes and limits, and
 * the prefix for registered targets. */
#define LR_ROUTING_VALUE "config"
#define LR_INSTANCE_PREFIX "target/"
/* Prefix of values that evacuate a zone: nothing is sent to its targets while
 * the value is there, whatever its text. */
#define LR_EVACUATED_PREFIX "evacuated/"

typedef struct LrRoutes LrRoutes;

typedef struct {
    /* Name of the backend's entry in the catalogue. */
    LrStr entry;
    double weight;
    /* How far the backend is behind its weight (smooth weighted round
     * robin). */
    double current_weight;
} LrRouteBackend;

typedef struct {
    const LrRouteSpec *spec;
    LrRouteBackend *backends;
    size_t n_backends;
    /* Hash of the route's whole configuration; 0 until first needed. */
    uint64_t digest;
} LrRoute;

/* Builds the catalogue of a store that holds routes: an entry for each backend
 * of each route. The routes are attached to it. What has not changed since the
 * previous catalogue, which may be NULL, is shared with it. The version of the
 * configuration never goes back: of a lower one only the targets are used.
 * Returns NULL if the store has no configuration; NULL and the faults if it is
 * invalid. */
LrCatalogue *LrRouting_Build(const LrValueSet *store,
                             const LrCatalogue *previous, LrFaults *faults);
/* Routes of a catalogue; NULL if it was not built from routes. */
LrRoutes *LrRouting_Routes(const LrCatalogue *catalogue);
/* Whether the routes are those of an earlier catalogue, since the store has a
 * configuration of a lower version. */
bool LrRouting_IsHeld(const LrCatalogue *catalogue);
/* Whether requests may be sent to the target: it is registered and not
 * draining. Always, if the catalogue was not built from routes. */
bool LrRouting_OffersTarget(const LrCatalogue *catalogue,
                            const LrTarget *target);
/* Names of the evacuated zones, borrowed from the catalogue. */
const LrStr *LrRouting_EvacuatedZones(const LrCatalogue *catalogue,
                                      size_t *n_zones);
const LrRoutingSpec *LrRoutes_Spec(const LrRoutes *routes);
/* The route that matches a request; host may include a port. NULL if none
 * does. */
LrRoute *LrRoutes_Match(const LrRoutes *routes, LrStr host, LrStr path);
/* The route of that name; NULL if there is none. */
LrRoute *LrRoutes_FindByName(const LrRoutes *routes, LrStr name);
/* Hash of a route's configuration: equal where two configurations define the
 * route alike. */
uint64_t LrRoutes_Digest(const LrRoutes *routes, LrRoute *route);
/* Looks an entry up among those of the route. Returns the route's own copy of
 * the name, or an empty string if it has no such entry. */
LrStr LrRoute_FindEntry(const LrRoute *route, LrStr entry);
/* Entry of the next backend by smooth weighted round robin: in any sequence of
 * requests each backend gets its share by weight. */
LrStr LrRoute_NextEntry(LrRoute *route);

#ifdef __cplusplus
}
#endif

#endif
