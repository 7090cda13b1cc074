/* Targets that name a rate limit: this daemon's shares of the limits, and what
 * peers are told of them. No I/O. */
#ifndef LAVENDERRAIL_LIMITED_TARGETS_H
#define LAVENDERRAIL_LIMITED_TARGETS_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* random, log and counters are borrowed. */
LrLimitedTargets *LrLimitedTargets_New(LrRandom *random, LrLog *log,
                                       LrCounters *counters);
void LrLimitedTargets_Free(LrLimitedTargets *limited);
/* Whether no target names a limit, or has done so recently. */
bool LrLimitedTargets_IsEmpty(const LrLimitedTargets *limited);
/* Forgets a target that is about to be freed. */
void LrLimitedTargets_Remove(LrLimitedTargets *limited, LrTarget *target);
/* A reply to a request that was sent at sent_at reported a limit, or none. */
void LrLimitedTargets_OnReport(LrLimitedTargets *limited, LrTarget *target,
                               const LrRateReport *report, LrTime sent_at,
                               LrTime now);
/* A peer passed on what the target said of its limit; ignored if this daemon
 * knows something newer. */
void LrLimitedTargets_OnPeerReport(LrLimitedTargets *limited, LrTarget *target,
                                   const LrTargetLimitMsg *row, LrTime now);
/* Takes up to that many limits in turn, to be sent to peers, and recent ends
 * of limits; the names are borrowed. Returns their number. */
size_t LrLimitedTargets_NextBatch(LrLimitedTargets *limited, LrTime now,
                                  LrTargetLimitMsg *out, size_t max);
/* Sets the number of daemons that limits are divided by: for targets of a
 * scatter-gather, and for those of single requests. */
void LrLimitedTargets_SetSenders(LrLimitedTargets *limited, double n_scatter,
                                 double n_single, LrTime now);

#ifdef __cplusplus
}
#endif

#endif
