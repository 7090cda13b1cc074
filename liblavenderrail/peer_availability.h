/* Which other daemons take requests that this one forwards, as far as their
 * replies tell. No I/O; time is an argument. */
#ifndef LAVENDERRAIL_PEER_AVAILABILITY_H
#define LAVENDERRAIL_PEER_AVAILABILITY_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrPeerAvailability LrPeerAvailability;

typedef enum {
    LR_PEER_AVAILABLE,
    /* It did not respond a short time ago, and may be slow or dead. */
    LR_PEER_UNRESPONSIVE,
    /* It said that it takes no requests now. */
    LR_PEER_UNAVAILABLE,
} LrPeerState;

extern const char *const LrPeerState_Names[];

LrPeerAvailability *LrPeerAvailability_New(void);
void LrPeerAvailability_Free(LrPeerAvailability *availability);
/* Sets the daemons that are alive. What is known of others, and of earlier
 * processes at their addresses, is forgotten. */
void LrPeerAvailability_SetDaemons(LrPeerAvailability *availability,
                                   const LrPeerSpec *daemons,
                                   size_t n_daemons);
/* The daemon did not accept a request in time, or the link to it was lost. */
void LrPeerAvailability_OnFailed(LrPeerAvailability *availability,
                                 LrStr address, LrTime now);
/* The daemon declined a request. */
void LrPeerAvailability_OnDeclined(LrPeerAvailability *availability,
                                   LrStr address, LrDeclineReason reason,
                                   LrTime now);
LrPeerState LrPeerAvailability_Get(const LrPeerAvailability *availability,
                                   LrStr address, LrTime now);

/* Addresses of the daemons that declined a request; NULL stands for none. A
 * request is offered to each daemon once at most, unless it did not respond.
 */
typedef GPtrArray LrDeclinedBy;

LrDeclinedBy *LrDeclinedBy_New(void);
void LrDeclinedBy_Add(LrDeclinedBy *declined_by, LrStr address);
bool LrDeclinedBy_Contains(const LrDeclinedBy *declined_by, LrStr address);

#ifdef __cplusplus
}
#endif

#endif
