/* Structs that the parts of a daemon share. */
#ifndef LAVENDERRAIL_DAEMON_H
#define LAVENDERRAIL_DAEMON_H

#include "aggregators.h"
#include "contract.h"
#include "lavenderrail.h"
#include "readiness.h"

#include <ev.h>

typedef struct LrGateway LrGateway;
typedef struct LrRoutedRequest LrRoutedRequest;

/* One request of a caller, from its arrival to its answer. */
typedef struct {
    LrDaemon *daemon;
    LrExchange *exchange;
    /* Peer that forwarded the request, and its id for it. */
    char *reply_to;
    int64_t remote_id;
    uint64_t query;
    LrLedgerRow *row;
    /* A request that this daemon forwarded. */
    bool forwarded;
    /* A shard that this daemon serves for another one. */
    bool relayed;
    /* The routed request that this stands for; NULL for the native ones. */
    LrRoutedRequest *routed;
    int64_t id;
    char *coordinator;
    ev_timer timer;
} LrPendingRequest;

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
    /* Reader of the configuration service, of the deployment's kind. */
    void *source;
    LrGateway *gateway;
    const LrTargetProtocol *target_protocol;
    GHashTable *attempts;
    LrPeers *peers;
    LrMembers *members;
    LrAggregators *aggregators;
    LrLeavingTargets *leaving;
    LrRelay *relay;
    LrHandoff *handoff;
    GHashTable *forwarded_calls;
    int64_t next_call_id;
    ev_timer probe_timer;
    LrTime last_probe_at;
    /* Last time that the configuration service was read, by this daemon or
     * by one that it has heard of; 0 for never. */
    LrTime service_read_at;
    LrTime delta_asked_at;
    /* The last delta did not fit: a whole copy is asked for next. */
    bool need_full_copy;
    ev_timer engine_timer;
    ev_timer tick_timer;
    ev_timer stop_timer;
    int64_t incarnation;
    LrTime started_at;
    LrTime stop_began_at;
    bool stopping;
    LrReadiness readiness;
    /* This daemon has found out by itself that its zone is cut off and that it
     * can serve little. */
    bool isolated;
    bool drain_wait_over;
    bool fleet_stopped;
};

/* daemon.c */
/* Carries out the engine's actions and sets the timer for its next one. */
void LrDaemon_RunActions(LrDaemon *daemon);
bool LrDaemon_IsReady(const LrDaemon *daemon);

/* api.c */
void LrApi_Request(void *daemon, LrExchange *exchange);
void LrApi_CallerGone(void *daemon, LrExchange *exchange);
/* Gives the engine's answer to whoever waits for it. */
void LrApi_Answered(LrPendingRequest *pending, const LrAnswer *answer);
void LrApi_Refuse(LrExchange *exchange, LrOutcome outcome, LrReason reason,
                  const char *hint);

/* keyed_call.c */
/* Handles a request of a non-idempotent entry. */
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
/* False when the attempt is no relayed one. */
bool LrRelay_Cancel(LrRelay *relay, uint64_t attempt);
/* Sends what gathered; true when there was anything. */
bool LrRelay_Flush(LrRelay *relay);
void LrRelay_Answered(LrRelay *relay, LrPendingRequest *pending,
                      const LrAnswer *answer);
void LrRelay_OnRequest(LrRelay *relay, const LrRelayMsg *message);
void LrRelay_OnAnswer(LrRelay *relay, const LrRelayAnswerMsg *message);
void LrRelay_OnCancel(LrRelay *relay, const LrRelayCancelMsg *message);
void LrRelay_OnDisconnect(LrRelay *relay, LrStr address);

/* handoff.c */
LrHandoff *LrHandoff_New(LrDaemon *daemon);
void LrHandoff_Free(LrHandoff *yield);
/* Peer that decides on the keys of a coordinator that stopped; empty when
 * none is known. */
LrStr LrHandoff_Successor(const LrHandoff *yield, const LrIdempotencyKey *key);
/* Whether this daemon has begun to yield: it runs no key any more. */
bool LrHandoff_HasStarted(const LrHandoff *yield);
/* Starts or goes on with the hand-over; true when it has ended. */
bool LrHandoff_Step(LrHandoff *yield);
void LrHandoff_OnHandoff(LrHandoff *yield, const LrHandoffMsg *message);
void LrHandoff_OnAck(LrHandoff *yield, const LrHandoffAckMsg *message);
void LrHandoff_OnNotice(LrHandoff *yield, const LrHandoffNoticeMsg *message);

/* fleet.c */
bool LrFleet_Start(LrDaemon *daemon, GError **error);
void LrFleet_Stop(LrDaemon *daemon);
/* Asks a peer that has a newer catalogue for what changed. */
void LrFleet_PullIfNewer(LrDaemon *daemon, LrStr address, int64_t revision,
                         LrTime now);
/* Probes all daemons of the own zone, so that they hear at once what probes
 * say. */
void LrFleet_ProbeZone(LrDaemon *daemon);
/* Decides again whether this daemon reads the configuration service. */
void LrFleet_UpdateReaderRole(LrDaemon *daemon, LrTime now);
struct json_t *LrFleet_Dump(const LrDaemon *daemon);

/* operator.c */
void LrOperator_Request(void *daemon, LrExchange *exchange);
void LrOperator_CallerGone(void *daemon, LrExchange *exchange);

#endif
