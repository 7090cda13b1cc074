/* Which availability zones this daemon reaches, judged by what it hears of
 * their targets and of the daemons there. No I/O; time is an argument. */
#ifndef LAVENDERRAIL_ZONE_DETECTOR_H
#define LAVENDERRAIL_ZONE_DETECTOR_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One availability zone. Lives as long as it has targets; one without any is
 * forgotten after a minute of silence. */
struct LrZone {
    LrStr name;
    bool local;
    /* Targets there; a zone without any is of no use to this daemon. */
    unsigned n_targets;
    /* Taken to be cut off: its targets are used only where no others are. */
    bool unreachable;
    /* Last time that a target or a daemon of the zone was heard. */
    LrTime last_contact_at;
    /* Last time that the signs of a cut were there. */
    LrTime confirmed_at;
    /* Targets that have kept a request waiting, in the current judgement. */
    unsigned n_overdue;
};

LrZoneDetector *LrZoneDetector_New(LrStr own_zone, LrLog *log);
void LrZoneDetector_Free(LrZoneDetector *reach);
/* The zone of that name; a new one counts as heard now. */
LrZone *LrZoneDetector_GetZone(LrZoneDetector *reach, LrStr name, LrTime now);
void LrZone_OnContact(LrZone *zone, LrTime now);
/* Starts a judgement; each silent target is told before it ends. */
void LrZoneDetector_BeginRound(LrZoneDetector *reach);
/* Tells a target whose oldest request was sent at that time. */
void LrZone_OnWaiting(LrZone *zone, LrTime oldest_sent_at, LrTime now);
void LrZoneDetector_Evaluate(LrZoneDetector *reach, LrTime now);
/* Zones that are known, the own one among them. */
unsigned LrZoneDetector_Count(const LrZoneDetector *reach);
/* This process was stopped: silence until now means nothing. */
void LrZoneDetector_OnLateWakeup(LrZoneDetector *reach, LrTime now);
/* Whether every other zone that has targets, of one or more, is cut off from
 * this one. */
bool LrZoneDetector_IsIsolated(const LrZoneDetector *reach);
/* A daemon of the own zone that asks more of the targets says that the zone
 * is isolated. */
void LrZoneDetector_OnIsolationReport(LrZoneDetector *reach, LrTime now);
/* Whether that was said, and nothing speaks against it: no other zone has been
 * heard since, for as long as makes a cut. */
bool LrZoneDetector_IsReportedIsolated(const LrZoneDetector *reach,
                                       LrTime now);

#ifdef __cplusplus
}
#endif

#endif
