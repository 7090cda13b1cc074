/* Reading of a versioned key-value service: a listing first, then a watch
 * from its revision on. It does no I/O: it says which call is due, takes what
 * came of it, and builds the store to offer.
 *
 * Entries that are gone after an outage of the service are kept for a while,
 * since their owners may not have renewed them yet. */
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
    /* How long entries that an outage removed are kept after its end. */
    LrTime absence_hold;
    /* First pause after a failed call; doubled up to a bound. */
    LrTime initial_backoff;
} LrListWatchConfig;

typedef struct {
    LrStr name;
    int64_t revision;
    /* Empty when the entry was removed. */
    LrStr text;
} LrListWatchItem;

typedef enum {
    LR_LIST_WATCH_IDLE,
    LR_LIST_WATCH_LIST,
    LR_LIST_WATCH_WATCH,
} LrListWatchCallKind;

typedef struct {
    LrListWatchCallKind kind;
    /* No sooner than this. */
    LrTime not_before;
    /* Of a list: the page after this key of the service; NULL for the first.
     * Borrowed from the feed. */
    const char *after_key;
    /* Of a watch: the revision to go on from, and whether it may wait for
     * changes; one that may not shows whether the service is back. */
    int64_t after_revision;
    bool long_poll;
} LrListWatchCall;

LrListWatch *LrListWatch_New(const LrListWatchConfig *config);
void LrListWatch_Free(LrListWatch *feed);
/* Whether to read at all; a new feed does not. */
void LrListWatch_SetReading(LrListWatch *feed, bool reading, LrTime now);
/* The call to make next; base is the store in force. */
LrListWatchCall LrListWatch_NextCall(LrListWatch *feed, const LrValueSet *base,
                                     LrTime now);
/* A page of a list; last_key is that of the service, more tells whether
 * another page follows. */
void LrListWatch_OnPage(LrListWatch *feed, LrTime now,
                        const LrListWatchItem *items, size_t n_items,
                        const char *last_key, bool more, int64_t revision);
void LrListWatch_OnEvents(LrListWatch *feed, LrTime now,
                          const LrListWatchItem *items, size_t n_items,
                          int64_t revision);
/* The service has dropped the history that a watch needs. */
void LrListWatch_OnCompacted(LrListWatch *feed, LrTime now);
void LrListWatch_OnFailure(LrListWatch *feed, LrTime now, const char *why);
/* A store to put in force instead of base, when there is one; NULL else. */
LrValueSet *LrListWatch_TakeValues(LrListWatch *feed, const LrValueSet *base,
                                   LrTime now);
/* The store was refused: all is read again after a pause. */
void LrListWatch_OnRefused(LrListWatch *feed, LrTime now);
/* Time of the last call that succeeded; 0 for none. */
LrTime LrListWatch_LastSuccessAt(const LrListWatch *feed);
bool LrListWatch_IsFailing(const LrListWatch *feed);

#ifdef __cplusplus
}
#endif

#endif
