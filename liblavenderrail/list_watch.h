/* State machine that reads a versioned key-value service: lists all values,
 * then watches for changes after the revision of the list. It does no I/O: it
 * returns the call to make next, takes the result of each call, and builds
 * the set of values to activate.
 *
 * Entries that are missing after an outage of the service are held for a
 * while, since their owners may not have renewed their leases yet.
 *
 * A service that is restored from a copy loses its latest changes and gives
 * their revisions out again. It counts its eras, one for each restore; values
 * are ordered by era first (LrRevision_Make). */
#ifndef LAVENDERRAIL_LIST_WATCH_H
#define LAVENDERRAIL_LIST_WATCH_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrListWatch LrListWatch;

typedef struct {
    LrRandom *random;
    LrLog *log;
    LrCounters *counters;
    /* How long after an outage entries that went missing are held. */
    LrTime absence_hold;
    /* Delay after the first failed call; doubled after each further one, up
     * to a limit. */
    LrTime initial_backoff;
} LrListWatchConfig;

typedef struct {
    LrStr name;
    /* As the service counts. */
    int64_t revision;
    /* Empty when the value was removed. */
    LrStr text;
    /* As of LrValueSet_SetWithExtra. */
    LrStr extra;
} LrListWatchItem;

/* State of the service that a response shows. */
typedef struct {
    /* 0 for a service without eras. */
    int64_t era;
    int64_t revision;
} LrListWatchPosition;

typedef enum {
    LR_LIST_WATCH_IDLE,
    LR_LIST_WATCH_LIST,
    LR_LIST_WATCH_WATCH,
} LrListWatchCallKind;

typedef struct {
    LrListWatchCallKind kind;
    /* Earliest time of the call. */
    LrTime not_before;
    /* For a list: the page after this key of the service; NULL for the first
     * page. Borrowed. */
    const char *after_key;
    /* For a watch: return changes after this revision of the service, and
     * whether the call may wait for them. While the service fails, calls don't
     * wait, so that its recovery is noticed at once. */
    int64_t after_revision;
    bool long_poll;
} LrListWatchCall;

LrListWatch *LrListWatch_New(const LrListWatchConfig *config);
void LrListWatch_Free(LrListWatch *list_watch);
/* Starts or stops reading; initially off. */
void LrListWatch_SetReading(LrListWatch *list_watch, bool reading, LrTime now);
/* The call to make next; base holds the active values. */
LrListWatchCall LrListWatch_NextCall(LrListWatch *list_watch,
                                     const LrValueSet *base, LrTime now);
/* A page of a list arrived; last_key is a key of the service, and more tells
 * whether another page follows. */
void LrListWatch_OnPage(LrListWatch *list_watch, LrTime now,
                        const LrListWatchItem *items, size_t n_items,
                        const char *last_key, bool more,
                        LrListWatchPosition position);
void LrListWatch_OnEvents(LrListWatch *list_watch, LrTime now,
                          const LrListWatchItem *items, size_t n_items,
                          LrListWatchPosition position);
/* The service doesn't have the history that the watch needs. */
void LrListWatch_OnCompacted(LrListWatch *list_watch, LrTime now, int64_t era);
/* The response to the last call exceeds the bound. */
void LrListWatch_OnTooLarge(LrListWatch *list_watch, LrTime now);
void LrListWatch_OnFailure(LrListWatch *list_watch, LrTime now,
                           const char *why);
/* New values to activate in place of base; NULL when there are none. */
LrValueSet *LrListWatch_TakeValues(LrListWatch *list_watch,
                                   const LrValueSet *base, LrTime now);
/* The values were rejected as invalid: lists everything again after a
 * delay. */
void LrListWatch_OnRefused(LrListWatch *list_watch, LrTime now);
/* Time of the last successful call; 0 for none. */
LrTime LrListWatch_LastSuccessAt(const LrListWatch *list_watch);
bool LrListWatch_IsFailing(const LrListWatch *list_watch);

#ifdef __cplusplus
}
#endif

#endif
