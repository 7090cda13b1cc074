/* Which daemon runs a request for this one while this one reaches no target.
 * No I/O; time is an argument. */
#ifndef LAVENDERRAIL_DELEGATES_H
#define LAVENDERRAIL_DELEGATES_H

#include "peer_availability.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrDelegates LrDelegates;

/* self and zone are copied; availability and random are borrowed. */
LrDelegates *LrDelegates_New(LrStr self, LrStr zone,
                             const LrPeerAvailability *availability,
                             LrRandom *random);
void LrDelegates_Free(LrDelegates *delegates);
/* Sets the daemons that are alive, this one included; the specs are copied. */
void LrDelegates_SetDaemons(LrDelegates *delegates, const LrPeerSpec *daemons,
                            size_t n_daemons);
/* Peer address of the daemon that is to run a request, for a gather an
 * aggregator if one is left, and none of those that declined the request;
 * borrowed until the next call of LrDelegates_SetDaemons, empty if there is
 * none. */
LrStr LrDelegates_Pick(LrDelegates *delegates, bool gathers,
                       const LrDeclinedBy *declined_by, LrTime now);
size_t LrDelegates_Count(const LrDelegates *delegates);

#ifdef __cplusplus
}
#endif

#endif
