/* Reading of a versioned key-value service: a listing first, then a watch
 * from its revision on. It does no I/O: it says which call is due, takes what
 * came of it, and builds the store to offer.
 *
 * Entries that are gone after an outage of the service are kept for a while,
 * since their owners may not have renewed them yet. */
#ifndef LAVENDERRAIL_FEED_H
#define LAVENDERRAIL_FEED_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrFeed LrFeed;

typedef struct {
    LrRandom *random;
    LrLog *log;
    LrCounters *counters;
    /* How long entries that an outage removed are kept after its end. */
    LrTime absence_hold;
    /* First pause after a failed call; doubled up to a bound. */
    LrTime retry;
} LrFeedConfig;

typedef struct {
    LrStr name;
    int64_t revision;
    /* Empty when the entry was removed. */
    LrStr text;
} LrFeedItem;

typedef enum {
    LR_FEED_NOTHING,
    LR_FEED_LIST,
    LR_FEED_WATCH,
} LrFeedCallKind;

typedef struct {
    LrFeedCallKind kind;
    /* No sooner than this. */
    LrTime due;
    /* Of a list: the page after this key of the service; NULL for the first.
     * Borrowed from the feed. */
    const char *after_key;
    /* Of a watch: the revision to go on from, and whether it may wait for
     * changes; one that may not shows whether the service is back. */
    int64_t after_revision;
    bool may_wait;
} LrFeedCall;

LrFeed *LrFeed_New(const LrFeedConfig *config);
void LrFeed_Free(LrFeed *feed);
/* Whether to read at all; a new feed does not. */
void LrFeed_SetReading(LrFeed *feed, bool reading, LrTime now);
/* The call to make next; base is the store in force. */
LrFeedCall LrFeed_NextCall(LrFeed *feed, const LrStore *base, LrTime now);
/* A page of a list; last_key is that of the service, more tells whether
 * another page follows. */
void LrFeed_OnPage(LrFeed *feed, LrTime now, const LrFeedItem *items,
                   size_t n_items, const char *last_key, bool more,
                   int64_t revision);
void LrFeed_OnEvents(LrFeed *feed, LrTime now, const LrFeedItem *items,
                     size_t n_items, int64_t revision);
/* The service has dropped the history that a watch needs. */
void LrFeed_OnHistoryGone(LrFeed *feed, LrTime now);
void LrFeed_OnFailure(LrFeed *feed, LrTime now, const char *why);
/* A store to put in force instead of base, when there is one; NULL else. */
LrStore *LrFeed_TakeStore(LrFeed *feed, const LrStore *base, LrTime now);
/* The store was refused: all is read again after a pause. */
void LrFeed_OnRefused(LrFeed *feed, LrTime now);
/* Time of the last call that succeeded; 0 for none. */
LrTime LrFeed_HeardAt(const LrFeed *feed);
bool LrFeed_IsFailing(const LrFeed *feed);

#ifdef __cplusplus
}
#endif

#endif
