/* Structs that the files of the gateway share. */
#ifndef LAVENDERRAIL_GATEWAY_PRIVATE_H
#define LAVENDERRAIL_GATEWAY_PRIVATE_H

#include "callers.h"
#include "forward.h"
#include "gateway.h"
#include "routing.h"
#include "upstream.h"

enum {
    LR_STATUS_BAD_REQUEST = 400,
    LR_STATUS_NOT_FOUND = 404,
    LR_STATUS_BAD_GATEWAY = 502,
    LR_STATUS_UNAVAILABLE = 503,
    LR_STATUS_TIMEOUT = 504,
};

struct LrGateway {
    LrDaemon *daemon;
    const LrContract *contract;
    LrLoopTimers *timers;
    LrCallers *callers;
    LrUpstream *upstream;
    GHashTable *attempts;
    LrForward *forward;
    /* Complete answers, of which a sample is logged. */
    uint64_t n_complete;
};

/* One request of a caller, here or at another daemon. Attempts hold it until
 * they have ended. */
struct LrRouted {
    LrPending pending;
    int refs;
    LrGateway *gateway;
    /* NULL once the caller has its answer or went away. */
    LrCall *call;
    LrCatalogue *catalogue;
    const LrRouteSpec *route;
    /* Entry of the catalogue that it was given to. */
    LrStr entry;
    char *id;
    char *target;
    LrTime arrived_at;
    /* When the answer has to be on its way; 0 when the caller set no time. */
    LrTime deadline;
    /* Number under which it was handed to an aggregator; 0 when it was not. */
    int64_t handed;
    /* Aggregators that were asked so far. */
    unsigned n_handed;
    /* The daemon that handed it over, and its number there; NULL for none. */
    char *reply_to;
    int64_t remote_id;
    /* Ends one that was taken over and is not begun. */
    LrTimer timer;
    GString *head;
    GBytes *body;
    bool bodyless;
    /* The caller got an answer without some parts. */
    bool incomplete;
    unsigned n_attempts;
};

/* gateway.c */
void LrRouted_Unref(LrRouted *routed);
/* Gives a request to the engine. */
void LrGateway_Gather(LrGateway *gateway, LrRouted *routed);
/* A request that another daemon handed over; it holds itself until it is
 * answered or cancelled. */
LrRouted *LrGateway_TakeOver(LrGateway *gateway, const LrRoute *route,
                             const LrForwardMsg *message);

/* gateway_attempt.c */
/* Table of the attempts under way, by id. */
GHashTable *LrGateway_NewAttempts(void);

/* gateway_answer.c */
/* When callers may come back, by why they were refused. */
LrTime LrGateway_RetryAfter(LrReason reason);
/* Gives the caller the answer that an aggregator made. */
void LrGateway_PassOn(LrRouted *routed, LrStr head, LrStr body);
/* Ends a request whose aggregator was lost. */
void LrGateway_GiveUp(LrGateway *gateway, LrRouted *routed, unsigned status);

#endif
