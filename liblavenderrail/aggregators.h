/* Which daemons of a large zone gather the shards of queries for the others,
 * and which of them takes the next one. No I/O. */
#ifndef LAVENDERRAIL_AGGREGATORS_H
#define LAVENDERRAIL_AGGREGATORS_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrAggregators LrAggregators;

/* self and zone are copied; the generator is borrowed. */
LrAggregators *LrAggregators_New(LrStr self, LrStr zone, LrRandom *random,
                                 LrLog *log);
void LrAggregators_Free(LrAggregators *aggregators);
/* The daemons that are alive, this one included; the specs are copied. */
void LrAggregators_SetDaemons(LrAggregators *aggregators, LrTime now,
                              const LrPeerSpec *daemons, size_t n_daemons);
/* Peer address of the daemon that is to gather the next query, borrowed until
 * the next call that sets daemons; empty when this daemon does it itself. */
LrStr LrAggregators_Pick(LrAggregators *aggregators, LrTime now);
/* The daemon took a query over, so long after it was asked. */
void LrAggregators_OnAccepted(LrAggregators *aggregators, LrStr address,
                              LrTime delay, LrTime now);
/* It did not, or was lost: it is passed over for a while. */
void LrAggregators_OnFailed(LrAggregators *aggregators, LrStr address,
                            LrTime now);
/* Whether this daemon gathers for others. */
bool LrAggregators_IncludesSelf(const LrAggregators *aggregators);
/* Those of all zones; daemons of small zones gather for themselves and count
 * as well. */
size_t LrAggregators_Count(const LrAggregators *aggregators);
/* Daemons that share what is limited over the fleet, as this one has to
 * reckon: connections to targets, and repeats. */
double LrAggregators_LimitDivisor(const LrAggregators *aggregators);

#ifdef __cplusplus
}
#endif

#endif
