/* Which daemons of a large zone, its aggregators, run the scatter-gather of
 * queries for the others, and which of them gets the next query. No I/O. */
#ifndef LAVENDERRAIL_AGGREGATORS_H
#define LAVENDERRAIL_AGGREGATORS_H

#include "peer_availability.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrAggregators LrAggregators;

/* self and zone are copied; availability, random and log are borrowed. */
LrAggregators *LrAggregators_New(LrStr self, LrStr zone,
                                 const LrPeerAvailability *availability,
                                 LrRandom *random, LrLog *log);
void LrAggregators_Free(LrAggregators *aggregators);
/* Sets the daemons that are alive, this one included; the specs are copied.
 * Marks in the array which daemons are aggregators of their zones; in a small
 * zone all are. */
void LrAggregators_SetDaemons(LrAggregators *aggregators, LrTime now,
                              LrPeerSpec *daemons, size_t n_daemons);
/* Peer address of the aggregator that is to gather a query, none of those that
 * declined it; borrowed until the next call of LrAggregators_SetDaemons, empty
 * if this daemon gathers it itself. */
LrStr LrAggregators_Pick(LrAggregators *aggregators,
                         const LrDeclinedBy *declined_by, LrTime now);
/* The aggregator accepted a query; delay is the time since it was asked. */
void LrAggregators_OnAccepted(LrAggregators *aggregators, LrStr address,
                              LrTime delay, LrTime now);
/* Whether this daemon is an aggregator. */
bool LrAggregators_IncludesSelf(const LrAggregators *aggregators);
/* Aggregators of all zones; daemons of small zones gather for themselves and
 * are counted too. */
size_t LrAggregators_Count(const LrAggregators *aggregators);
/* What this daemon has to divide the fleet-wide limits by: connections to
 * targets, and extra attempts. */
double LrAggregators_LimitDivisor(const LrAggregators *aggregators);

#ifdef __cplusplus
}
#endif

#endif
