/* Which daemon runs a request for this one while this one reaches no target.
 * No I/O; time is an argument. */
#ifndef LAVENDERRAIL_DELEGATES_H
#define LAVENDERRAIL_DELEGATES_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrDelegates LrDelegates;

/* self and zone are copied; random is borrowed. */
LrDelegates *LrDelegates_New(LrStr self, LrStr zone, LrRandom *random);
void LrDelegates_Free(LrDelegates *delegates);
/* Sets the daemons that are alive, this one included; the specs are copied. */
void LrDelegates_SetDaemons(LrDelegates *delegates, const LrPeerSpec *daemons,
                            size_t n_daemons);
/* Peer address of the daemon that is to run a request, for a gather an
 * aggregator if one is left; borrowed until the next call of
 * LrDelegates_SetDaemons, empty if there is none. */
LrStr LrDelegates_Pick(LrDelegates *delegates, bool gathers, LrTime now);
size_t LrDelegates_Count(const LrDelegates *delegates);
/* The daemon did not accept a request, or the link to it was lost: it gets
 * none for a while. */
void LrDelegates_OnFailed(LrDelegates *delegates, LrStr address, LrTime now);
/* The daemon declined a request because it reaches no target itself. */
void LrDelegates_OnCutOff(LrDelegates *delegates, LrStr address, LrTime now);

#ifdef __cplusplus
}
#endif

#endif
