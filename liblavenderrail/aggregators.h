/* Which daemons of a large zone, its aggregators, run the scatter-gather of
 * queries for the others, and which of them gets the next query. No I/O. */
#ifndef LAVENDERRAIL_AGGREGATORS_H
#define LAVENDERRAIL_AGGREGATORS_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrAggregators LrAggregators;

/* self and zone are copied; random is borrowed. */
LrAggregators *LrAggregators_New(LrStr self, LrStr zone, LrRandom *random,
                                 LrLog *log);
void LrAggregators_Free(LrAggregators *aggregators);
/* Sets the daemons that are alive, this one included; the specs are copied.
 * Marks in the array which daemons are aggregators of their zones; in a small
 * zone all are. */
void LrAggregators_SetDaemons(LrAggregators *aggregators, LrTime now,
                              LrPeerSpec *daemons, size_t n_daemons);
/* Peer address of the aggregator that is to gather the next query, borrowed
 * until the next call of LrAggregators_SetDaemons; empty if this daemon
 * gathers it itself. */
LrStr LrAggregators_Pick(LrAggregators *aggregators, LrTime now);
/* The aggregator accepted a query; delay is the time since it was asked. */
void LrAggregators_OnAccepted(LrAggregators *aggregators, LrStr address,
                              LrTime delay, LrTime now);
/* The aggregator did not accept a query, or the link to it was lost: it gets
 * none for a while. */
void LrAggregators_OnFailed(LrAggregators *aggregators, LrStr address,
                            LrTime now);
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
