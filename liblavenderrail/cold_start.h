/* This daemon's share of the rate that a cold target accepts from all daemons
 * together. */
#ifndef LAVENDERRAIL_COLD_START_H
#define LAVENDERRAIL_COLD_START_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Requests per second of all daemons together that keep under the bound, when
 * each of them sends its share at random times. At most per_second. */
double LrColdStart_FleetRate(double per_second, const LrColdBound *bound);
/* Sets what the target accepts while it is cold, in requests per second from
 * all daemons; 0 for no limit. */
void LrColdStart_SetRule(LrColdStart *cold, double per_second,
                         const LrColdBound *bound, LrTime now);
/* The target is cold until a time. The fraction, from 0 to 1, should be
 * random: then daemons with small shares get their tokens at different
 * times. */
void LrColdStart_Begin(LrColdStart *cold, LrTime until, double fraction,
                       LrTime now);
void LrColdStart_End(LrColdStart *cold);
bool LrColdStart_IsCold(const LrColdStart *cold, LrTime now);
/* Whether it is cold, and its rate is limited meanwhile. */
bool LrColdStart_IsLimited(const LrColdStart *cold, LrTime now);
/* Requests per second that this daemon may send now. */
double LrColdStart_Share(const LrColdStart *cold, LrTime now);
void LrColdStart_SetSenders(LrColdStart *cold, double n_senders, LrTime now);
/* Whether the limit, if there is one, leaves room for a request now. */
bool LrColdStart_HasToken(const LrColdStart *cold, LrTime now);
/* Counts a request that was sent to the target, and takes its token. */
void LrColdStart_CountSend(LrColdStart *cold, LrTime now);

/* How many daemons send, as one of them has to assume: those that it may be
 * cut off from, or has not heard of yet, included. All zero at first. */
typedef struct {
    LrTime started_at;
    /* Most that were known, and when that last grew. */
    double known;
    LrTime grown_at;
    /* Most that were known recently, and when. */
    double most;
    LrTime most_at;
} LrColdSenders;

/* Takes the number of senders that are known; returns the number to divide
 * by. least: for a daemon that knows of no other. */
double LrColdSenders_Update(LrColdSenders *senders, double n_known,
                            double least, LrTime now);

#ifdef __cplusplus
}
#endif

#endif
