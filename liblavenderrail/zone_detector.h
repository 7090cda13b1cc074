/* Failure detector for availability zones: which of them this daemon reaches,
 * judged by what it receives from the targets and daemons there. No I/O; time
 * is an argument. */
#ifndef LAVENDERRAIL_ZONE_DETECTOR_H
#define LAVENDERRAIL_ZONE_DETECTOR_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One availability zone. Kept while it has targets; one without targets is
 * removed after a minute in which nothing was received from it. */
struct LrZone {
    LrStr name;
    bool local;
    /* Targets in the zone; a zone without targets is of no use to this
     * daemon. */
    unsigned n_targets;
    /* Its targets are used only where there are no others. */
    bool unreachable;
    /* Last time that anything was received from a target or daemon there. */
    LrTime last_contact_at;
    /* Last time that an evaluation found the zone unreachable. */
    LrTime confirmed_at;
    /* Targets with an overdue request, in the current round. */
    unsigned n_overdue;
};

LrZoneDetector *LrZoneDetector_New(LrStr local_zone, LrLog *log);
void LrZoneDetector_Free(LrZoneDetector *detector);
/* Finds or adds a zone; a new one counts as heard from now. */
LrZone *LrZoneDetector_GetZone(LrZoneDetector *detector, LrStr name,
                               LrTime now);
void LrZone_OnContact(LrZone *zone, LrTime now);
/* Starts a round: calls of LrZone_OnWaiting for all targets that keep requests
 * waiting or are ejected, then one of LrZoneDetector_Evaluate. */
void LrZoneDetector_BeginRound(LrZoneDetector *detector);
/* A target has sent nothing since its oldest request in flight was sent, or
 * since its first failure in turn. */
void LrZone_OnWaiting(LrZone *zone, LrTime since, LrTime now);
void LrZoneDetector_Evaluate(LrZoneDetector *detector, LrTime now);
/* Number of known zones, the own one included. */
unsigned LrZoneDetector_Count(const LrZoneDetector *detector);
/* This process was paused: the silence of zones until now means nothing. */
void LrZoneDetector_OnLateWakeup(LrZoneDetector *detector, LrTime now);
/* Whether this daemon is isolated: other zones have targets, and all of these
 * zones are unreachable. */
bool LrZoneDetector_IsIsolated(const LrZoneDetector *detector);
/* A daemon of the own zone that sends more requests to targets reports that
 * the zone is isolated. */
void LrZoneDetector_OnIsolationReport(LrZoneDetector *detector, LrTime now);
/* Whether isolation was reported and nothing contradicts it: nothing was
 * received from any other zone since the report, nor within the time after
 * which a zone counts as silent. */
bool LrZoneDetector_IsReportedIsolated(const LrZoneDetector *detector,
                                       LrTime now);

#ifdef __cplusplus
}
#endif

#endif
