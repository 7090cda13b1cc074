/* The state of a daemon, and the functions by which its modules call each
 * other. */
#ifndef LAVENDERRAIL_DAEMON_H
#define LAVENDERRAIL_DAEMON_H

#include "aggregators.h"
#include "contract.h"
#include "delegates.h"
#include "lavenderrail.h"
#include "readiness.h"

#include <ev.h>

typedef struct LrGateway LrGateway;
typedef struct LrRoutedRequest LrRoutedRequest;

/* A request from its arrival until it is answered. */
typedef struct {
    LrDaemon *daemon;
    LrExchange *exchange;
    /* Address of the peer that sent the request, NULL when a caller did, and
     * the id that the peer gave it. */
    char *reply_to;
    int64_t remote_id;
    uint64_t query;
    LrLedgerRow *row;
    /* This daemon sent the request to the coordinator of its key. */
    bool forwarded;
    /* A request to one shard, which this daemon relays for another one. */
    bool relayed;
    /* The routed request that this is part of; NULL for the native
     * interface. */
    LrRoutedRequest *routed;
    int64_t id;
    char *coordinator;
    ev_timer timer;
} LrPendingRequest;

typedef struct LrCatalogueSync LrCatalogueSync;
typedef struct LrRelay LrRelay;
typedef struct LrHandoff LrHandoff;

struct LrDaemon {
    struct ev_loop *loop;
    LrSettings settings;
    LrLog *log;
    LrCounters *counters;
    LrEngine *engine;
    LrLedger *ledger;
    LrServer *caller_server;
    LrServer *operator_server;
    LrClient *client;
    const LrDeployment *deployment;
    LrActiveCatalogue *active_catalogue;
    LrCatalogueSync *catalogue_sync;
    /* Reader of the configuration service; the deployment defines its type. */
    void *source;
    LrGateway *gateway;
    const LrTargetProtocol *target_protocol;
    GHashTable *attempts;
    LrPeers *peers;
    LrMembers *members;
    LrAggregators *aggregators;
    LrDelegates *delegates;
    LrPeerAvailability *peer_availability;
    LrLeavingTargets *leaving;
    /* Targets that said themselves that they are leaving. */
    LrLeavingTargets *stated_leaving;
    /* Index of the next quarantined request to tell a peer of. */
    size_t next_quarantined;
    LrRelay *relay;
    LrHandoff *handoff;
    GHashTable *forwarded_calls;
    int64_t next_call_id;
    ev_timer probe_timer;
    LrTime last_probe_at;
    /* Last time that the configuration service was read, by this daemon or,
     * as probes report, by another one; 0 for never. */
    LrTime service_read_at;
    /* Hash of the evacuated zones; 0 for none. */
    uint64_t evacuations_digest;
    /* A peer's news of evacuated zones is being applied. */
    bool told_of_evacuations;
    ev_timer engine_timer;
    ev_timer tick_timer;
    ev_timer stop_timer;
    int64_t incarnation;
    LrTime started_at;
    LrTime stop_began_at;
    bool stopping;
    bool running_actions;
    LrReadiness readiness;
    /* This daemon itself, not a peer's report, found that it is cut off from
     * the other zones and can serve few requests. */
    bool isolated;
    bool drain_wait_over;
    /* What was running near the stop limit has been answered. */
    bool last_answers_sent;
    bool fleet_stopped;
};

/* daemon.c */
/* Runs the actions that the engine has queued and arms the engine's timer. */
void LrDaemon_RunActions(LrDaemon *daemon);
bool LrDaemon_IsReady(const LrDaemon *daemon);

/* api.c */
void LrApi_Request(void *daemon, LrExchange *exchange);
void LrApi_CallerGone(void *daemon, LrExchange *exchange);
/* Sends the engine's answer to the caller. */
void LrApi_Answered(LrPendingRequest *pending, const LrAnswer *answer);
void LrApi_Refuse(LrExchange *exchange, LrOutcome outcome, LrReason reason,
                  const char *hint);

/* keyed_call.c */
/* Handles a caller's request to a non-idempotent entry. */
void LrKeyedCall_Handle(LrDaemon *daemon, LrExchange *exchange, LrStr entry);
void LrKeyedCall_CallerGone(LrDaemon *daemon, LrExchange *exchange);
char *LrKeyedCall_IssueKey(LrDaemon *daemon);
void LrKeyedCall_OnEngineAnswer(LrPendingRequest *pending,
                                const LrAnswer *answer);
void LrKeyedCall_OnPeerCall(LrDaemon *daemon, const LrKeyedCallMsg *message);
void LrKeyedCall_OnPeerAnswer(LrDaemon *daemon,
                              const LrKeyedCallAnswerMsg *message);
void LrKeyedCall_OnDisconnect(LrDaemon *daemon, LrStr address);

/* relay.c */
LrRelay *LrRelay_New(LrDaemon *daemon);
void LrRelay_Free(LrRelay *relay);
void LrRelay_Send(LrRelay *relay, const LrAction *action);
/* False when the attempt was not sent through a relay. */
bool LrRelay_Cancel(LrRelay *relay, uint64_t attempt);
/* Sends the batched messages; false when there were none. */
bool LrRelay_Flush(LrRelay *relay);
void LrRelay_Answered(LrRelay *relay, LrPendingRequest *pending,
                      const LrAnswer *answer);
void LrRelay_OnRequest(LrRelay *relay, const LrRelayMsg *message);
void LrRelay_OnAnswer(LrRelay *relay, const LrRelayAnswerMsg *message);
void LrRelay_OnCancel(LrRelay *relay, const LrRelayCancelMsg *message);
void LrRelay_OnDisconnect(LrRelay *relay, LrStr address);

/* handoff.c */
LrHandoff *LrHandoff_New(LrDaemon *daemon);
void LrHandoff_Free(LrHandoff *handoff);
/* Address of the peer that took over the keys of a coordinator that stopped;
 * empty when none is known. */
LrStr LrHandoff_Successor(const LrHandoff *handoff,
                          const LrIdempotencyKey *key);
/* Whether the handoff has started: from then on this daemon runs no request
 * with a key. */
bool LrHandoff_HasStarted(const LrHandoff *handoff);
/* Starts or continues the handoff; true when it has ended. */
bool LrHandoff_Step(LrHandoff *handoff);
void LrHandoff_OnHandoff(LrHandoff *handoff, const LrHandoffMsg *message);
void LrHandoff_OnAck(LrHandoff *handoff, const LrHandoffAckMsg *message);
void LrHandoff_OnNotice(LrHandoff *handoff, const LrHandoffNoticeMsg *message);

/* fleet.c */
bool LrFleet_Start(LrDaemon *daemon, GError **error);
void LrFleet_Stop(LrDaemon *daemon);
/* Probes every daemon of this zone at once, so that all of them learn without
 * delay what the probes report. */
void LrFleet_ProbeZone(LrDaemon *daemon);
/* Tells all peers at once when this daemon has read that other zones are
 * evacuated than before. */
void LrFleet_TellEvacuations(LrDaemon *daemon);
/* Whether this daemon has learnt, from the service or a peer, which zones are
 * evacuated; always where the deployment has no evacuations. */
bool LrFleet_KnowsEvacuations(const LrDaemon *daemon);
/* Tells peers what was learnt of requests that may crash targets. */
void LrFleet_SendCrashReports(LrDaemon *daemon);
/* Marks targets of a new catalogue that are known to be leaving, by their own
 * word or by the host list. */
void LrFleet_MarkKnownLeaving(LrDaemon *daemon);
/* Re-evaluates whether this daemon reads the configuration service. */
void LrFleet_UpdateReaderRole(LrDaemon *daemon, LrTime now);
struct json_t *LrFleet_Dump(const LrDaemon *daemon);

/* operator.c */
void LrOperator_Request(void *daemon, LrExchange *exchange);
void LrOperator_CallerGone(void *daemon, LrExchange *exchange);

#endif
