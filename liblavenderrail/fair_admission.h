/* Who gets the capacity of a set of targets that can't take all requests. No
 * I/O; time is an argument. */
#ifndef LAVENDERRAIL_FAIR_ADMISSION_H
#define LAVENDERRAIL_FAIR_ADMISSION_H

#include "refused_callers.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Levels of urgency that a pool tells apart. */
enum { LR_FAIR_MAX_LEVELS = 8 };

typedef struct LrTicket LrTicket;
typedef struct LrFairLevel LrFairLevel;
TAILQ_HEAD(LrTicketList, LrTicket);

/* A request's place in a pool. */
struct LrTicket {
    /* NULL while the request belongs to no pool. */
    LrFairPool *pool;
    LrFairLevel *level;
    LrCallerStanding standing;
    /* When the answer should be there, and when it must be there. */
    LrTime soft_deadline;
    LrTime hard_deadline;
    /* Expected time from the start to the answer. */
    LrTime run_time;
    /* Latest useful start, set when it begins to wait. */
    LrTime start_by;
    bool waiting;
    bool running;
    TAILQ_ENTRY(LrTicket) of_level;
};

/* Requests of one rank. */
struct LrFairLevel {
    int64_t rank;
    /* By standing; early requests never wait. */
    struct LrTicketList waiting[LR_CALLER_EARLY];
    uint32_t n_waiting[LR_CALLER_EARLY];
    /* The last start was that of a returned request: a new one is next. */
    bool returned_last;
    /* Recent requests that did not come too early, and recent starts, weighted
     * by age. */
    double offered;
    double served;
};

/* The requests for targets that serve the same shards. */
struct LrFairPool {
    /* By rank. */
    LrFairLevel *levels[LR_FAIR_MAX_LEVELS];
    size_t n_levels;
    uint32_t n_waiting;
    /* Parts of started requests that wait for a free slot at a target. */
    uint32_t n_waiting_parts;
    /* Requests that run, the most since fewer were last allowed, how many may,
     * and when that last became less. */
    uint32_t n_running;
    uint32_t peak_running;
    double max_running;
    LrTime narrowed_at;
    LrTime decayed_at;
    /* Smoothed time from one start to the next while requests wait, the number
     * of its samples, and when the last one was taken. */
    double start_interval;
    unsigned n_samples;
    LrTime sampled_at;
    /* Last start after which requests went on waiting; 0 for none. */
    LrTime contended_at;
    /* Last start, or when the first of those that wait began to, if that was
     * later. */
    LrTime waiting_since;
    /* From when on returning callers can be given a time of their own. */
    LrTime next_return_at;
    /* The current shortage: its beginning (0 for none), the last refusal, and
     * the requests that it refused. */
    LrTime short_since;
    LrTime refused_at;
    uint64_t n_refused;
};

LrFairPool *LrFairPool_New(void);
void LrFairPool_Free(LrFairPool *pool);
/* A request arrives, whose other fields are set. */
void LrFairPool_OnArrival(LrFairPool *pool, LrTicket *ticket, int64_t rank,
                          LrTime now);
/* Lets the request wait; false if it has to be refused at once, since it can't
 * start in time or came too early. */
bool LrFairPool_Enqueue(LrFairPool *pool, LrTicket *ticket, LrTime now);
/* Ends the request's wait, if it waits. */
void LrFairPool_Remove(LrTicket *ticket);
/* The request to start next, if there is room for it; NULL if there is none.
 * It stays in the pool. */
LrTicket *LrFairPool_Next(LrFairPool *pool, LrTime now);
/* Whether requests wait and none has started for too long. */
bool LrFairPool_IsStalled(const LrFairPool *pool, LrTime now);
/* Whether the pool lets the request run as one more. */
bool LrFairPool_HasRoomFor(const LrFairPool *pool, const LrTicket *ticket,
                           LrTime now);
/* A request starts; it no longer waits. */
void LrFairPool_OnStart(LrFairPool *pool, LrTicket *ticket, LrTime now);
/* A request that ran was answered completely, this long after it arrived and
 * after it started. */
void LrFairPool_OnComplete(LrFairPool *pool, const LrTicket *ticket,
                           LrRunTime *run_time, LrTime arrived_at,
                           LrTime started_at, LrTime now);
/* A request ends, whether it ran or not. */
void LrFairPool_OnEnd(LrTicket *ticket);
/* A request is refused for want of capacity; true if a shortage begins. */
bool LrFairPool_OnRefused(LrFairPool *pool, LrTime now);
/* Ends a shortage in which nothing was refused for some time: returns its
 * length and the number of requests that it refused; else 0. */
LrTime LrFairPool_EndShortage(LrFairPool *pool, LrTime now,
                              uint64_t *n_refused);
/* Share of a level's recent requests that were started, 0 to 1. */
double LrFairPool_ServedShare(const LrFairLevel *level);

/* After what time a refused request can be served here; random is between 0
 * and 1. The caller waits for no longer than a third of the time that it has
 * left; 0 if that is too short to tell it anything. */
LrTime LrFairPool_RetryAfter(LrFairPool *pool, LrTime left, double random,
                             LrTime now);
/* The same where a fixed time is known after which it is worth trying. */
LrTime LrFairAdmission_SpreadRetry(LrTime wait, LrTime left, double random);

/* Standing of a request that this daemon has not refused, by the time that its
 * caller still gives it: who has waited elsewhere has less left than is usual
 * for the route. */
LrCallerStanding LrFairAdmission_StandingByTime(LrUsualTimeout *usual,
                                                LrTime given, LrTime now);

#ifdef __cplusplus
}
#endif

#endif
