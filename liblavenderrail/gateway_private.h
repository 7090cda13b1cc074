/* Types and functions that the files of the gateway share. */
#ifndef LAVENDERRAIL_GATEWAY_PRIVATE_H
#define LAVENDERRAIL_GATEWAY_PRIVATE_H

#include "caller_server.h"
#include "forward.h"
#include "gateway.h"
#include "memory_budget.h"
#include "peer_availability.h"
#include "routing.h"
#include "target_reach.h"
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
    LrCallerServer *caller_server;
    LrUpstream *upstream;
    /* Charged for callers' connections and for requests that are running. */
    LrMemoryBudget *memory;
    GHashTable *attempts;
    /* Running checks of targets. */
    GHashTable *checks;
    LrTargetReach *reach;
    /* State of the links that the engine was told, and whether it was told
     * that the targets are lost. */
    LrReachState reach_state;
    bool loss_told;
    LrForward *forward;
    /* Version of the configuration that new requests are handled by, and
     * since when. */
    int64_t config_version;
    LrTime config_version_since;
    /* Complete answers so far; a sample of them is logged. */
    uint64_t n_complete;
};

/* A request of the routed interface, received from a caller or forwarded by
 * another daemon. Each running attempt holds a reference to it. */
struct LrRoutedRequest {
    LrPendingRequest pending;
    int refs;
    LrGateway *gateway;
    /* NULL once the caller is answered or disconnected, and for a request that
     * another daemon forwarded. */
    LrCallerExchange *exchange;
    LrCatalogue *catalogue;
    const LrRouteSpec *route;
    /* Entry of the catalogue that serves it. */
    LrStr entry;
    char *id;
    char *request_target;
    LrFingerprint fingerprint;
    LrTime arrived_at;
    /* When the answer has to be sent; 0 when the caller gave no deadline. */
    LrTime deadline;
    /* Id of its forwarding to another daemon; 0 while it isn't forwarded. */
    int64_t forward_id;
    /* Number of daemons that it was offered to so far. */
    unsigned n_forwards;
    /* Those that declined it or gave it back; NULL for none. */
    LrDeclinedBy *declined_by;
    /* How many of them began it and gave it back. */
    unsigned n_given_back;
    /* Attempts of each part that may have run, at the order of this daemon or
     * of those that gave the request back. */
    unsigned n_spent;
    /* Address of the daemon that forwarded it, NULL for a caller's request,
     * and its id at that daemon. */
    char *reply_to;
    int64_t remote_id;
    /* That daemon reaches no target and can try others. */
    bool delegated;
    /* Drops a request that was accepted from another daemon and not
     * started. */
    LrTimer start_timer;
    GString *head;
    GBytes *body;
    /* Bytes of head and body that the gateway's memory is charged for. */
    size_t charged;
    bool bodyless;
    /* It was answered, and the answer was not complete. */
    bool incomplete;
    unsigned n_attempts;
};

/* gateway.c */
/* Whether there is memory for another request with that much content. */
bool LrGateway_HasRoom(const LrGateway *gateway, size_t bytes);
void LrRoutedRequest_Unref(LrRoutedRequest *routed);
/* When the request has to be answered at the latest, by its route and by its
 * caller. */
LrTime LrRoutedRequest_Due(const LrRoutedRequest *routed);
/* Submits a request to the engine. */
void LrGateway_Submit(LrGateway *gateway, LrRoutedRequest *routed);
/* Creates the request that another daemon forwarded. Its first reference is
 * released when it is answered, cancelled or dropped. */
LrRoutedRequest *LrGateway_AcceptForwarded(LrGateway *gateway,
                                           const LrRoute *route,
                                           const LrForwardMsg *message);

/* gateway_attempt.c */
/* Creates the table of running attempts, by id. */
GHashTable *LrGateway_NewAttempts(void);

/* gateway_check.c */
/* Creates the set of running checks. */
GHashTable *LrGateway_NewChecks(void);

/* Whether the configuration in force has the target's service: running
 * requests may still use one that it has dropped, whose health path is
 * unknown. */
bool LrGateway_IsInConfiguration(const LrGateway *gateway,
                                 const LrTarget *target);
/* Checks on a new connection whether any answer comes from the target, and
 * tells the gateway's LrTargetReach. */
void LrGateway_CheckReach(LrGateway *gateway, const LrTarget *target);

/* gateway_reach.c */
/* Whether this daemon reaches no target. */
bool LrGateway_IsCutOff(const LrGateway *gateway);
/* Called by the upstream for each new connection to a target. */
void LrGateway_OnFirstUse(void *gateway, LrStr key, LrUpstreamEnd end);
/* Whether a connection that ended like that says nothing of the links: a
 * target that has no room resets new connections. */
bool LrGateway_MayBeOverloaded(const LrTarget *target, LrUpstreamEnd end,
                               LrTime now);
/* Acts on what is now known of the links to the targets. */
void LrGateway_UpdateReach(LrGateway *gateway, LrTime now);

/* gateway_answer.c */
/* How long callers should wait before a retry, by reason of the refusal. */
LrTime LrGateway_RetryAfter(LrReason reason);
/* Sends the caller the answer of an aggregator. */
void LrGateway_AnswerForwarded(LrRoutedRequest *routed, LrStr head,
                               LrStr body);
/* Answers a request whose aggregator was lost or was too late. */
void LrGateway_FailForwarded(LrGateway *gateway, LrRoutedRequest *routed,
                             unsigned status);

#endif
