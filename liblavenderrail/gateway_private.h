/* Structs that the files of the gateway share. */
#ifndef LAVENDERRAIL_GATEWAY_PRIVATE_H
#define LAVENDERRAIL_GATEWAY_PRIVATE_H

#include "caller_server.h"
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
    LrCallerServer *callers;
    LrUpstream *upstream;
    GHashTable *attempts;
    LrForward *forward;
    /* Complete answers, of which a sample is logged. */
    uint64_t n_complete;
};

/* One request of a caller, here or at another daemon. Attempts hold it until
 * they have ended. */
struct LrRoutedRequest {
    LrPendingRequest pending;
    int refs;
    LrGateway *gateway;
    /* NULL once the caller has its answer or went away. */
    LrCallerExchange *call;
    LrCatalogue *catalogue;
    const LrRouteSpec *route;
    /* Entry of the catalogue that it was given to. */
    LrStr entry;
    char *id;
    char *request_target;
    LrTime arrived_at;
    /* When the answer has to be on its way; 0 when the caller set no time. */
    LrTime deadline;
    /* Number under which it was handed to an aggregator; 0 when it was not. */
    int64_t forward_id;
    /* Aggregators that were asked so far. */
    unsigned n_forwards;
    /* The daemon that handed it over, and its number there; NULL for none. */
    char *reply_to;
    int64_t remote_id;
    /* Ends one that was taken over and is not begun. */
    LrTimer start_timer;
    GString *head;
    GBytes *body;
    bool bodyless;
    /* The caller got an answer without some parts. */
    bool incomplete;
    unsigned n_attempts;
};

/* gateway.c */
void LrRoutedRequest_Unref(LrRoutedRequest *routed);
/* Gives a request to the engine. */
void LrGateway_Submit(LrGateway *gateway, LrRoutedRequest *routed);
/* A request that another daemon handed over; it holds itself until it is
 * answered or cancelled. */
LrRoutedRequest *LrGateway_AcceptForwarded(LrGateway *gateway,
                                           const LrRoute *route,
                                           const LrForwardMsg *message);

/* gateway_attempt.c */
/* Table of the attempts under way, by id. */
GHashTable *LrGateway_NewAttempts(void);

/* gateway_answer.c */
/* When callers may come back, by why they were refused. */
LrTime LrGateway_RetryAfter(LrReason reason);
/* Gives the caller the answer that an aggregator made. */
void LrGateway_ReplyForwarded(LrRoutedRequest *routed, LrStr head, LrStr body);
/* Ends a request whose aggregator was lost. */
void LrGateway_FailForwarded(LrGateway *gateway, LrRoutedRequest *routed,
                             unsigned status);

#endif
