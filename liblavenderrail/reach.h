/* Which availability zones this daemon reaches, judged by what it hears of
 * their targets and of the daemons there. No I/O; time is an argument. */
#ifndef LAVENDERRAIL_REACH_H
#define LAVENDERRAIL_REACH_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One availability zone. Lives as long as it has targets; one without any is
 * forgotten after a minute of silence. */
struct LrZone {
    LrStr name;
    bool own;
    /* Targets there; a zone without any is of no use to this daemon. */
    unsigned n_targets;
    /* Taken to be cut off: its targets are used only where no others are. */
    bool cut;
    /* Last time that a target or a daemon of the zone was heard. */
    LrTime heard_at;
    /* Last time that the signs of a cut were there. */
    LrTime silent_at;
    /* Targets that have kept a request waiting, in the current judgement. */
    unsigned n_silent;
};

LrReach *LrReach_New(LrStr own_zone, LrLog *log);
void LrReach_Free(LrReach *reach);
/* The zone of that name; a new one counts as heard now. */
LrZone *LrReach_Zone(LrReach *reach, LrStr name, LrTime now);
void LrReach_Heard(LrZone *zone, LrTime now);
/* Starts a judgement; each silent target is told before it ends. */
void LrReach_Begin(LrReach *reach);
/* Tells a target whose oldest request was sent at that time. */
void LrReach_Waiting(LrZone *zone, LrTime oldest_sent_at, LrTime now);
void LrReach_Judge(LrReach *reach, LrTime now);
/* Zones that are known, the own one among them. */
unsigned LrReach_Count(const LrReach *reach);
/* This process was stopped: silence until now means nothing. */
void LrReach_OnLateWakeup(LrReach *reach, LrTime now);
/* Whether every other zone that has targets, of one or more, is cut off from
 * this one. */
bool LrReach_IsIsolated(const LrReach *reach);
/* A daemon of the own zone that asks more of the targets says that the zone
 * is isolated. */
void LrReach_ToldIsolated(LrReach *reach, LrTime now);
/* Whether that was said, and nothing speaks against it: no other zone has been
 * heard since, for as long as makes a cut. */
bool LrReach_IsToldIsolated(const LrReach *reach, LrTime now);

#ifdef __cplusplus
}
#endif

#endif
