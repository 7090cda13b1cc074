/* Failure detector for this daemon's own links: whether it reaches targets at
 * all. No I/O; time is an argument. */
#ifndef LAVENDERRAIL_TARGET_REACH_H
#define LAVENDERRAIL_TARGET_REACH_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrTargetReach LrTargetReach;

typedef enum {
    LR_REACH_NORMAL,
    /* Several targets fail at once: others are checked. */
    LR_REACH_IN_DOUBT,
    /* No target can be reached on a new connection. */
    LR_REACH_CUT_OFF,
} LrReachState;

extern const char *const LrReachState_Names[];

/* Failed checks, or those of all targets where there are fewer, that make a
 * doubt a cut. */
enum { LR_REACH_CHECKS = 6 };

LrTargetReach *LrTargetReach_New(LrLog *log, LrCounters *counters);
void LrTargetReach_Free(LrTargetReach *reach);
LrReachState LrTargetReach_State(const LrTargetReach *reach);
/* Anything was received from a target in reply to a request. */
void LrTargetReach_OnReply(LrTargetReach *reach, LrTime now);
/* A target answered on a new connection, or such a connection failed: it was
 * rejected, or not set up in time. Targets are named by their index. */
void LrTargetReach_OnNewConnection(LrTargetReach *reach, LrTime now);
void LrTargetReach_OnConnectFailed(LrTargetReach *reach, uint32_t target,
                                   bool timed_out, LrTime now);
/* A target seems to have crashed: doubt holds until another one is reached,
 * since a daemon that is cut off takes every target as down. */
void LrTargetReach_OnTargetDown(LrTargetReach *reach, LrTime now);
/* Whether a new connection to the target failed, and no target has answered on
 * one since. */
bool LrTargetReach_HasFailed(const LrTargetReach *reach, uint32_t target);
/* Starts a round: calls of LrTargetReach_OnWaiting for all targets that keep
 * requests waiting, then one of LrTargetReach_Evaluate. */
void LrTargetReach_BeginRound(LrTargetReach *reach);
/* A target has sent nothing since its oldest request in flight was sent. */
void LrTargetReach_OnWaiting(LrTargetReach *reach, LrTime oldest_sent_at,
                             LrTime now);
/* Ends a round; n_targets is the number of known targets. */
void LrTargetReach_Evaluate(LrTargetReach *reach, size_t n_targets,
                            LrTime now);
/* Whether targets have to be checked now, each on a new connection. */
bool LrTargetReach_TakeChecks(LrTargetReach *reach, LrTime now);
/* Result of a check: whether the target took the request. */
void LrTargetReach_OnCheck(LrTargetReach *reach, bool reached, LrTime now);
/* Whether replies have stopped on all connections, live ones included. */
bool LrTargetReach_IsSilent(const LrTargetReach *reach, LrTime now);
/* Whether new connections to several targets were not set up in time: what was
 * sent on open ones may be lost, too. */
bool LrTargetReach_LinksHang(const LrTargetReach *reach);
/* Share, 0 to 1, of new requests that other daemons should run: all while cut
 * off, and fewer and fewer for a short time afterwards. */
double LrTargetReach_DelegatedShare(const LrTargetReach *reach, LrTime now);

#ifdef __cplusplus
}
#endif

#endif
