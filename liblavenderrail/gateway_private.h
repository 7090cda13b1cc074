/* Structs that the files of the gateway share. */
#ifndef LAVENDERRAIL_GATEWAY_PRIVATE_H
#define LAVENDERRAIL_GATEWAY_PRIVATE_H

#include "callers.h"
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
    /* Complete answers, of which a sample is logged. */
    uint64_t n_complete;
};

/* One request of a caller. Attempts hold it until they have ended. */
struct LrRouted {
    LrPending pending;
    int refs;
    LrGateway *gateway;
    /* NULL once the caller has its answer or went away. */
    LrCall *call;
    LrCatalogue *catalogue;
    const LrRouteSpec *route;
    char *id;
    GString *head;
    GBytes *body;
    bool bodyless;
    /* The caller got an answer without some parts. */
    bool incomplete;
    unsigned n_attempts;
};

/* gateway.c */
void LrRouted_Unref(LrRouted *routed);

/* gateway_attempt.c */
/* Table of the attempts under way, by id. */
GHashTable *LrGateway_NewAttempts(void);

/* gateway_answer.c */
/* When callers may come back, by why they were refused. */
LrTime LrGateway_RetryAfter(LrReason reason);

#endif
