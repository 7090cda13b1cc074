/* Who gets the capacity of a set of targets that can't take all requests: 1.7
 * times the load, a zone that is cut off and has a third of its replicas left,
 * and clients that retry at once.
 *
 * The more urgent rank goes first, but each rank keeps a share. Within a rank,
 * callers that come back as told go before new ones, and both by the time at
 * which they have to start. A request that would start too late is refused at
 * once, with a time at which there should be room for it.
 *
 * A pool holds the requests of all routes to the same shards, since these
 * compete for the same targets. */
#include "fair_admission.h"

#include <math.h>

/* A level whose served share is below this part of that of all goes first. A
 * quarter is promised; the rest allows for the delay of the averages. */
#define MIN_SHARE_RATIO 0.35
/* Time constant at which recent requests lose weight; it spans several waits
 * of the longest objective, 150 ms. */
#define SHARE_DECAY_NS 2e9
/* The weights are updated this often: exp() costs more than the rest of the
 * decision. */
#define DECAY_STEP (50 * LR_MILLISECOND)
/* Fewer recent requests than this say nothing of a share. */
#define MIN_OFFERED 2.0

/* Requests that run at once, until their times show that these are too many:
 * the queues that they cause at the targets then cost them their objective. */
#define UNLIMITED_RUNNING 1024
/* Too many run when they take more than this part of their objective, and more
 * than this multiple of the least time: with half of the time spent in queues
 * the targets are never idle, so that fewer would waste capacity. */
#define MAX_OBJECTIVE_RATIO 0.4
#define MAX_RUN_TIME_RATIO 2.0
/* One that runs waits for its slowest part while other targets are idle. */
#define MIN_RUNNING 2.0
#define NARROW_FACTOR 0.85
/* More may run when no request has been too slow for this long. */
#define WIDEN_DELAY (100 * LR_MILLISECOND)
#define RUN_TIME_WEIGHT 0.06
/* By this part the least time grows with each answer, so that it follows
 * targets that became slower: tenfold in 11,500 answers. */
#define LEAST_TIME_GROWTH 2e-4
/* Weight of a shorter time. */
#define LEAST_TIME_WEIGHT 0.3

/* A longer queue serves no more requests, only each of them later: in a steady
 * shortage all would start at the last moment. So requests that come for the
 * first time queue for this part of the time that they could wait. */
#define MAX_WAIT_OF_SLACK 0.7
/* When nothing has started for this long, as where targets hang, what waits is
 * refused, so that its callers can go to other daemons in time. It is longer
 * than a pause of a target, 120 ms. */
#define STALL_TIME (200 * LR_MILLISECOND)

#define INTERVAL_WEIGHT 0.1
#define MIN_INTERVAL_SAMPLES 8
/* Capacity that was measured longer ago may have changed. */
#define INTERVAL_MAX_AGE LR_SECOND

/* A shortage is over when nothing was refused for this long: by then callers
 * with a deadline of 4 s, which wait longest, have come back. */
#define SHORTAGE_END (1400 * LR_MILLISECOND)

/* A refusal this long ago tells that capacity is short: it spans the usual
 * Retry-After. Meanwhile repeated requests get at most this part of the room.
 */
#define RECENT_REFUSAL (250 * LR_MILLISECOND)
#define REPEATED_SHARE 0.5

/* Part of the measured starts that is promised to callers that return; the
 * rest is left to those that arrive. */
#define PROMISED_SHARE 0.5
/* A caller waits for this long at least: a connection and a round trip take
 * less, and a caller that waited for it is told from one that did not. */
#define MIN_RETRY_AFTER (50 * LR_MILLISECOND)
/* Without a measured capacity: as the daemon answers otherwise. */
#define DEFAULT_RETRY_AFTER (250 * LR_MILLISECOND)
/* Callers heed Retry-After up to this part of the time that they have left. */
#define MAX_WAIT_RATIO (1.0 / 3)
/* Part of a wait that is random. */
#define JITTER 0.25
/* The header has two decimals. */
#define RETRY_AFTER_STEP (10 * LR_MILLISECOND)

/* Requests that arrive for the first time give the longest time; some of them
 * arrive in each period, also where a daemon gets few. */
#define USUAL_PERIOD (2 * LR_SECOND)
/* Callers state whole milliseconds; a refusal and a new connection take two at
 * least. */
#define MIN_REPEAT_TIME (1500 * LR_MICROSECOND)
/* A caller that has waited twice for a third of its time has four ninths of it
 * left; one that gives less is one with a short deadline. */
#define MAX_WAITED_RATIO 0.6

LrFairPool *
LrFairPool_New(void)
{
    LrFairPool *pool = g_new0(LrFairPool, 1);
    pool->max_running = UNLIMITED_RUNNING;
    return pool;
}

void
LrFairPool_Free(LrFairPool *pool)
{
    if (!pool) {
        return;
    }
    for (size_t i = 0; i < pool->n_levels; i++) {
        g_free(pool->levels[i]);
    }
    g_free(pool);
}

static LrFairLevel *
new_level(int64_t rank)
{
    LrFairLevel *level = g_new0(LrFairLevel, 1);
    level->rank = rank;
    for (size_t i = 0; i < LR_CALLER_EARLY; i++) {
        TAILQ_INIT(&level->waiting[i]);
    }
    return level;
}

/* Where there are too many ranks, several share a level. */
static LrFairLevel *
level_of(LrFairPool *pool, int64_t rank)
{
    size_t at = 0;
    while (at < pool->n_levels && pool->levels[at]->rank < rank) {
        at++;
    }
    if (at < pool->n_levels && pool->levels[at]->rank == rank) {
        return pool->levels[at];
    }
    if (pool->n_levels == LR_FAIR_MAX_LEVELS) {
        return pool->levels[MIN(at, pool->n_levels - 1)];
    }
    for (size_t i = pool->n_levels; i > at; i--) {
        pool->levels[i] = pool->levels[i - 1];
    }
    pool->n_levels++;
    pool->levels[at] = new_level(rank);
    return pool->levels[at];
}

static void
decay_shares(LrFairPool *pool, LrTime now)
{
    LrTime age = now - pool->decayed_at;
    if (age < DECAY_STEP) {
        return;
    }
    double factor = exp(-(double)age / SHARE_DECAY_NS);
    for (size_t i = 0; i < pool->n_levels; i++) {
        pool->levels[i]->offered *= factor;
        pool->levels[i]->served *= factor;
    }
    pool->decayed_at = now;
}

double
LrFairPool_ServedShare(const LrFairLevel *level)
{
    if (level->offered < MIN_OFFERED) {
        return 1;
    }
    return MIN(1, level->served / level->offered);
}

static double
served_share_of_all(const LrFairPool *pool)
{
    double offered = 0;
    double served = 0;
    for (size_t i = 0; i < pool->n_levels; i++) {
        offered += pool->levels[i]->offered;
        served += pool->levels[i]->served;
    }
    return offered < MIN_OFFERED ? 1 : MIN(1, served / offered);
}

/* Whether the level gets so little that it goes before more urgent ones. */
static bool
is_starved(const LrFairPool *pool, const LrFairLevel *level)
{
    double share = LrFairPool_ServedShare(level);
    if (share >= MIN_SHARE_RATIO * served_share_of_all(pool)) {
        return false;
    }
    for (size_t i = 0; pool->levels[i] != level; i++) {
        if (LrFairPool_ServedShare(pool->levels[i]) <= share) {
            return false;
        }
    }
    return true;
}

/* Whether a less urgent level gets more. */
static bool
is_behind(const LrFairPool *pool, const LrFairLevel *level)
{
    double share = LrFairPool_ServedShare(level);
    for (size_t i = pool->n_levels; i > 0 && pool->levels[i - 1] != level;
         i--) {
        const LrFairLevel *other = pool->levels[i - 1];
        if (other->offered >= MIN_OFFERED &&
            LrFairPool_ServedShare(other) > share) {
            return true;
        }
    }
    return false;
}

void
LrFairPool_OnArrival(LrFairPool *pool, LrTicket *ticket, int64_t rank,
                     LrTime now)
{
    decay_shares(pool, now);
    ticket->pool = pool;
    ticket->level = level_of(pool, rank);
    ticket->level->offered += ticket->standing != LR_CALLER_EARLY;
}

/* Expected time between two starts; 0 while unknown. */
static double
start_interval(const LrFairPool *pool, LrTime now)
{
    if (pool->n_samples < MIN_INTERVAL_SAMPLES ||
        now - pool->sampled_at > INTERVAL_MAX_AGE) {
        return 0;
    }
    if (pool->contended_at == 0) {
        return pool->start_interval;
    }
    return MAX(pool->start_interval, (double)(now - pool->contended_at));
}

static uint32_t
count_waiting(const LrFairLevel *level)
{
    uint32_t n = 0;
    for (size_t i = 0; i < LR_CALLER_EARLY; i++) {
        n += level->n_waiting[i];
    }
    return n;
}

/* Number of waiting requests that start before the new one. */
static uint32_t
count_ahead(const LrFairPool *pool, const LrTicket *ticket)
{
    const LrFairLevel *level = ticket->level;
    uint32_t n = 0;
    if (!is_starved(pool, level)) {
        for (size_t i = 0; pool->levels[i] != level; i++) {
            n += count_waiting(pool->levels[i]);
        }
    }
    uint32_t n_returned = level->n_waiting[LR_CALLER_RETURNED];
    uint32_t n_new = level->n_waiting[LR_CALLER_NEW];
    /* They take turns, as first_of_level picks them. */
    switch (ticket->standing) {
    case LR_CALLER_RETURNED:
        return n + n_returned + MIN(n_new, n_returned);
    case LR_CALLER_NEW:
        return n + n_new + MIN(n_returned, n_new + 1);
    default:
        return n + n_returned + n_new + level->n_waiting[LR_CALLER_REPEATED];
    }
}

/* Most requests are of use until their objective. One that comes back has
 * missed it already, and so has one that would miss it at an idle target:
 * these, and those of a rank that gets less than a less urgent one, are served
 * until their deadline. */
static LrTime
latest_start(const LrFairPool *pool, const LrTicket *ticket, LrTime now)
{
    LrTime by_objective = ticket->soft_deadline - ticket->run_time;
    bool late = ticket->standing == LR_CALLER_RETURNED ||
                by_objective <= now || is_behind(pool, ticket->level);
    return late ? ticket->hard_deadline - ticket->run_time : by_objective;
}

bool
LrFairPool_Enqueue(LrFairPool *pool, LrTicket *ticket, LrTime now)
{
    if (ticket->standing == LR_CALLER_EARLY) {
        return false;
    }
    ticket->start_by = latest_start(pool, ticket, now);
    uint32_t n_ahead = count_ahead(pool, ticket);
    double wait = (n_ahead + 1) * start_interval(pool, now);
    double most = (double)(ticket->start_by - now);
    if (ticket->standing != LR_CALLER_RETURNED) {
        most *= MAX_WAIT_OF_SLACK;
    }
    /* The first in line waits in any case: only starts after a wait tell the
     * capacity. */
    if (most <= 0 || (n_ahead > 0 && wait > most)) {
        return false;
    }
    struct LrTicketList *list = &ticket->level->waiting[ticket->standing];
    LrTicket *before = TAILQ_LAST(list, LrTicketList);
    while (before && before->start_by > ticket->start_by) {
        before = TAILQ_PREV(before, LrTicketList, of_level);
    }
    if (before) {
        TAILQ_INSERT_AFTER(list, before, ticket, of_level);
    }
    else {
        TAILQ_INSERT_HEAD(list, ticket, of_level);
    }
    if (pool->n_waiting == 0) {
        pool->waiting_since = now;
    }
    ticket->waiting = true;
    ticket->level->n_waiting[ticket->standing]++;
    pool->n_waiting++;
    return true;
}

void
LrFairPool_Remove(LrTicket *ticket)
{
    if (!ticket->waiting) {
        return;
    }
    LrFairPool *pool = ticket->pool;
    TAILQ_REMOVE(&ticket->level->waiting[ticket->standing], ticket, of_level);
    ticket->waiting = false;
    ticket->level->n_waiting[ticket->standing]--;
    pool->n_waiting--;
    if (pool->n_waiting == 0) {
        pool->contended_at = 0;
    }
}

static bool
was_refused_recently(const LrFairPool *pool, LrTime now)
{
    return pool->short_since > 0 && now - pool->refused_at < RECENT_REFUSAL;
}

static bool
has_room(const LrFairPool *pool)
{
    return pool->n_running + 1.0 <= pool->max_running;
}

/* While requests are refused, room that is free for a moment is left to those
 * that come next. Otherwise who asks most often finds it. */
bool
LrFairPool_HasRoomFor(const LrFairPool *pool, const LrTicket *ticket,
                      LrTime now)
{
    if (!was_refused_recently(pool, now) ||
        ticket->standing < LR_CALLER_REPEATED) {
        return has_room(pool);
    }
    return ticket->standing == LR_CALLER_REPEATED &&
           pool->n_running < REPEATED_SHARE * pool->max_running;
}

bool
LrFairPool_IsStalled(const LrFairPool *pool, LrTime now)
{
    return pool->n_waiting > 0 && now - pool->waiting_since > STALL_TIME;
}

/* Returned requests go first, but not two in a row while new ones wait: in a
 * long shortage returned ones alone would take all capacity, and every request
 * would miss its objective. Repeated ones that have no room hold up no other
 * rank. */
static LrTicket *
first_of_level(const LrFairPool *pool, const LrFairLevel *level, LrTime now)
{
    LrTicket *returned = TAILQ_FIRST(&level->waiting[LR_CALLER_RETURNED]);
    LrTicket *new = TAILQ_FIRST(&level->waiting[LR_CALLER_NEW]);
    if (new && (!returned || level->returned_last)) {
        return new;
    }
    if (returned) {
        return returned;
    }
    LrTicket *repeated = TAILQ_FIRST(&level->waiting[LR_CALLER_REPEATED]);
    return repeated && LrFairPool_HasRoomFor(pool, repeated, now) ? repeated
                                                                  : NULL;
}

LrTicket *
LrFairPool_Next(LrFairPool *pool, LrTime now)
{
    if (pool->n_waiting == 0) {
        return NULL;
    }
    decay_shares(pool, now);
    LrTicket *next = NULL;
    for (size_t i = 0; i < pool->n_levels; i++) {
        LrTicket *first = first_of_level(pool, pool->levels[i], now);
        if (first && (!next || is_starved(pool, first->level))) {
            next = first;
        }
    }
    return next;
}

static void
add_interval(LrFairPool *pool, LrTime now)
{
    double sample = (double)(now - pool->contended_at);
    double weight = MAX(INTERVAL_WEIGHT, 1.0 / (double)(pool->n_samples + 1));
    pool->start_interval += weight * (sample - pool->start_interval);
    pool->n_samples++;
    pool->sampled_at = now;
}

void
LrFairPool_OnStart(LrFairPool *pool, LrTicket *ticket, LrTime now)
{
    if (ticket->waiting && pool->contended_at > 0) {
        add_interval(pool, now);
    }
    LrFairPool_Remove(ticket);
    pool->contended_at = pool->n_waiting > 0 ? now : 0;
    pool->waiting_since = now;
    ticket->running = true;
    pool->n_running++;
    pool->peak_running = MAX(pool->peak_running, pool->n_running);
    ticket->level->served++;
    ticket->level->returned_last = ticket->standing == LR_CALLER_RETURNED;
}

static void
learn_run_time(LrRunTime *run_time, double taken)
{
    if (run_time->typical == 0) {
        *run_time = (LrRunTime){.typical = taken, .least = taken};
        return;
    }
    run_time->typical += RUN_TIME_WEIGHT * (taken - run_time->typical);
    if (taken < run_time->least) {
        run_time->least += LEAST_TIME_WEIGHT * (taken - run_time->least);
    }
    else {
        run_time->least *= 1 + LEAST_TIME_GROWTH;
    }
}

void
LrFairPool_OnComplete(LrFairPool *pool, const LrTicket *ticket,
                      LrRunTime *run_time, LrTime arrived_at,
                      LrTime started_at, LrTime now)
{
    learn_run_time(run_time, (double)(now - started_at));
    double objective = (double)(ticket->soft_deadline - arrived_at);
    bool too_slow = run_time->typical > MAX_OBJECTIVE_RATIO * objective &&
                    run_time->typical > MAX_RUN_TIME_RATIO * run_time->least;
    LrTime since = now - pool->narrowed_at;
    /* Where nothing is short, slow targets are no sign of too many requests.
     */
    bool is_short = pool->n_waiting > 0 || was_refused_recently(pool, now);
    if (too_slow && is_short && (double)since > run_time->typical) {
        double most = MIN(pool->max_running, (double)pool->peak_running);
        pool->max_running = MAX(MIN_RUNNING, NARROW_FACTOR * most);
        pool->narrowed_at = now;
        pool->peak_running = pool->n_running;
    }
    else if (!too_slow && since > WIDEN_DELAY && !has_room(pool)) {
        pool->max_running += 1 / pool->max_running;
    }
}

void
LrFairPool_OnEnd(LrTicket *ticket)
{
    LrFairPool_Remove(ticket);
    if (ticket->running) {
        ticket->running = false;
        ticket->pool->n_running--;
    }
}

bool
LrFairPool_OnRefused(LrFairPool *pool, LrTime now)
{
    bool begins = pool->short_since == 0;
    if (begins) {
        pool->short_since = now;
        pool->n_refused = 0;
    }
    pool->refused_at = now;
    pool->n_refused++;
    return begins;
}

LrTime
LrFairPool_EndShortage(LrFairPool *pool, LrTime now, uint64_t *n_refused)
{
    if (pool->short_since == 0 || now - pool->refused_at < SHORTAGE_END) {
        return 0;
    }
    LrTime length = MAX(1, pool->refused_at - pool->short_since);
    pool->short_since = 0;
    pool->max_running = UNLIMITED_RUNNING;
    *n_refused = pool->n_refused;
    return length;
}

static LrTime
longest_wait(LrTime left)
{
    return (LrTime)(MAX_WAIT_RATIO * (double)left) / RETRY_AFTER_STEP *
           RETRY_AFTER_STEP;
}

static LrTime
round_up(double wait)
{
    return (LrTime)ceil(wait / (double)RETRY_AFTER_STEP) * RETRY_AFTER_STEP;
}

LrTime
LrFairAdmission_SpreadRetry(LrTime wait, LrTime left, double random)
{
    LrTime most = longest_wait(left);
    LrTime spread = round_up((double)wait * (1 + 2 * JITTER * random));
    if (spread <= most) {
        return spread;
    }
    return MIN(most, round_up((double)most * (1 - 2 * JITTER * random)));
}

/* Callers return to any daemon, and each daemon gets as many as it refuses, on
 * average. So it gives out times as if its own came back. */
LrTime
LrFairPool_RetryAfter(LrFairPool *pool, LrTime left, double random, LrTime now)
{
    double interval = start_interval(pool, now);
    if (interval <= 0) {
        return LrFairAdmission_SpreadRetry(DEFAULT_RETRY_AFTER, left, random);
    }
    LrTime backlog = (LrTime)(pool->n_waiting * interval);
    LrTime at = MAX(now + MAX(MIN_RETRY_AFTER, backlog), pool->next_return_at);
    LrTime wait = round_up((double)(at - now) * (1 + JITTER * random));
    if (wait > longest_wait(left)) {
        return LrFairAdmission_SpreadRetry(wait, left, random);
    }
    pool->next_return_at = at + (LrTime)(interval / PROMISED_SHARE);
    return wait;
}

LrCallerStanding
LrFairAdmission_StandingByTime(LrUsualTimeout *usual, LrTime given, LrTime now)
{
    if (now - usual->since > USUAL_PERIOD) {
        usual->longest_before = usual->longest;
        usual->longest = 0;
        usual->since = now;
    }
    usual->longest = MAX(usual->longest, given);
    LrTime longest = MAX(usual->longest, usual->longest_before);
    LrTime waited = longest - given;
    if (waited < MIN_REPEAT_TIME ||
        (double)waited > MAX_WAITED_RATIO * (double)longest) {
        return LR_CALLER_NEW;
    }
    return waited < MIN_RETRY_AFTER ? LR_CALLER_REPEATED : LR_CALLER_RETURNED;
}
