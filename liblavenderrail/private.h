/* Structs and functions shared by the modules that run queries; not part of
 * the public interface. */
#ifndef LAVENDERRAIL_PRIVATE_H
#define LAVENDERRAIL_PRIVATE_H

#include "cold_start.h"
#include "fair_admission.h"
#include "lavenderrail.h"

enum { LR_QUERY_PART_MAX_TRIED = 5, LR_QUERY_PART_MAX_IN_FLIGHT = 3 };

typedef enum {
    LR_QUERY_PART_WAITING,
    LR_QUERY_PART_SENT,
    LR_QUERY_PART_ANSWERED,
    LR_QUERY_PART_MISSING,
} LrQueryPartState;

typedef enum {
    LR_ATTEMPT_FIRST,
    LR_ATTEMPT_RETRY,
    LR_ATTEMPT_HEDGE,
} LrAttemptKind;

/* One request for a part of a query, sent to one target. */
struct LrAttempt {
    uint64_t id;
    LrQueryPart *part;
    LrTarget *target;
    LrAttemptKind kind;
    LrTime sent_at;
    /* Whether its query is suspected of crashing targets: now, and when the
     * attempt was sent. */
    bool suspect;
    bool sent_as_suspect;
    /* Of its query; 0 when a target answered that meanwhile. */
    LrFingerprint fingerprint;
    /* Median latency of its service when it was cancelled; 0 while unknown. */
    LrTime median_latency;
    /* Requests at the target when it was sent, including this one; 0 while
     * unknown. */
    double load_at_send;
    TAILQ_ENTRY(LrAttempt) of_target;
};

/* The part of a query that one shard answers. */
struct LrQueryPart {
    LrQuery *query;
    LrGroup *group;
    LrQueryPartState state;
    LrReason reason;
    LrAttempt *in_flight_attempts[LR_QUERY_PART_MAX_IN_FLIGHT];
    unsigned n_in_flight;
    LrTarget *tried[LR_QUERY_PART_MAX_TRIED];
    unsigned n_tried;
    LrAttemptKind next_kind;
    unsigned n_hedges;
    unsigned n_sent;
    /* Attempts sent, less those whose reply proves that they did not run. */
    unsigned n_may_have_run;
    unsigned n_crashes;
    LrTime first_sent_at;
    LrTarget *answered_by;
    GBytes *head;
    GBytes *body;
    bool queued;
    /* Waits until the query, a suspect, may be sent to one more target. */
    bool held;
    TAILQ_ENTRY(LrQueryPart) of_group;
};

/* One request of a caller, from its submission to its answer. */
struct LrQuery {
    uint64_t id;
    LrEngine *engine;
    LrView *view;
    LrEntry *entry;
    LrTrafficClass klass;
    bool single_shard;
    bool at_most_once;
    /* Attempts of each part that another daemon has sent. */
    unsigned n_spent;
    uint64_t route_hash;
    LrStr key;
    GBytes *body;
    LrFingerprint fingerprint;
    void *data;
    LrTime arrived_at;
    LrTime soft_deadline;
    LrTime hard_deadline;
    LrTime next_hedge_at;
    LrTimer timer;
    LrMap *map;
    /* Set when another daemon relays the query: the one shard to ask and the
     * index version. */
    LrStr shard;
    int64_t version;
    int64_t excluded_version;
    unsigned restarts;
    LrQueryPart *parts;
    size_t n_parts;
    size_t n_pending;
    size_t n_answered;
    size_t n_may_have_run;
    bool queued;
    bool running;
    /* Its place among the requests that compete for capacity; without a pool
     * where that is not allocated. */
    LrTicket ticket;
    LrTime started_at;
    /* Time that the caller gave, from its arrival at the first daemon; 0 where
     * it gave none. */
    LrTime caller_timeout;
    /* Counter of refusals that the query goes to; 0 to go by the reason. */
    LrCounterId refused_as;
    bool suspect;
    /* A target has answered it, so that it is none that crashes targets. */
    bool harmless;
    /* Attempts whose connection broke, while none was answered. */
    unsigned n_broken;
    /* A suspect that is held back until then; 0 when it is not. */
    LrTime hold_until;
    TAILQ_ENTRY(LrQuery) of_queue;
    TAILQ_ENTRY(LrQuery) of_engine;
};

/* A target to be checked. */
typedef struct {
    LrTarget *target;
    LrTime due;
} LrDueCheck;

struct LrEngine {
    LrEngineConfig config;
    LrRandom *random;
    LrTargets *targets;
    LrStates *states;
    LrView *view;
    LrTimers *timers;
    LrQuarantine *quarantine;
    /* NULL without fair_admission. */
    LrRefusedCallers *refused_callers;
    /* Checks of targets that are due, in order, and the number of those and
     * of the running ones. */
    GArray *due_checks;
    unsigned n_checks;
    LrTimer check_timer;
    /* Not yet passed on to peers; owns the names of targets. */
    GArray *crash_reports;
    LrTokenBucket hedge_bucket;
    LrTokenBucket retry_bucket;
    struct LrQueryList queries;
    GHashTable *queries_by_id;
    uint64_t next_id;
    GPtrArray *attempt_slots;
    GArray *free_attempt_slots;
    GArray *actions;
    size_t next_action;
    GPtrArray *dirty_targets;
    GPtrArray *dirty_services;
    LrTime advanced_at;
    /* When the engine was first told of the fleet. */
    LrTime started_at;
    /* Time of the event being handled. */
    LrTime now;
    size_t n_queries;
    bool stopping;
    /* This daemon may have lost its links to all targets. */
    bool links_in_doubt;
    /* It has lost them, and nothing is heard on older connections. */
    bool targets_lost;
    LrQuota quota;
    /* Daemons of the fleet, from which the view chooses those that relay. */
    LrStr self;
    GArray *peers;
    LrArena *peers_arena;
    uint64_t peers_digest;
    uint32_t connections_per_daemon;
    /* Number of daemons that fleet-wide limits are divided by; 0 for all. */
    double limit_divisor;
    /* Its count is the number of daemons that the rate limits of targets of a
     * scatter-gather are divided by. */
    LrQuota scatter_senders;
    /* Numbers of daemons that the rates of cold targets are divided by. */
    LrColdSenders cold_scatter_senders;
    LrColdSenders cold_single_senders;
    /* Value of limit_divisor that the view was built with. */
    double view_limit_divisor;
};

/* attempt.c */
LrAttempt *LrAttempt_New(LrEngine *engine, LrQueryPart *part, LrTarget *target,
                         LrAttemptKind kind, LrTime now);
LrAttempt *LrAttempt_Lookup(LrEngine *engine, uint64_t id);
/* Removes the attempt from its part and its target. */
void LrAttempt_Free(LrEngine *engine, LrAttempt *attempt);
/* Removes the attempt from its part; it stays counted at its target until the
 * I/O layer reports how it ended. */
void LrAttempt_MarkCancelled(LrAttempt *attempt, LrTime median_latency);
LrAttempt *LrAttempt_LookupCancelled(LrEngine *engine, uint64_t id);

/* admission.c */
/* Reason to refuse the query at once; LR_REASON_NONE when it is admitted. */
LrReason LrAdmission_Check(LrEngine *engine, LrQuery *query, LrTime now);
/* Whether enough shards have a usable target for the coverage that the entry
 * requires. */
bool LrAdmission_HasCoverage(const LrEntry *entry, LrTime now);
/* Number of recent requests of the entry, which decays exponentially. */
double LrAdmission_RecentRequests(const LrEntryState *state, LrTime now);
/* Starts an admitted query, queues it, or refuses it because it could not
 * start in time. */
void LrAdmission_StartOrQueue(LrEngine *engine, LrQuery *query, LrTime now);
/* Starts queued queries of the service until too many parts wait for
 * capacity. */
void LrAdmission_StartQueued(LrEngine *engine, LrServiceState *state,
                             LrTime now);
/* Latest start at which the query is expected to meet its soft deadline. */
LrTime LrAdmission_LatestStart(const LrQuery *query);
void LrAdmission_Started(LrQuery *query, LrTime now);
void LrAdmission_Finished(LrQuery *query);
/* Learns from the query's answer, and sets when a refused caller may return.
 */
void LrAdmission_OnAnswer(LrEngine *engine, LrQuery *query, LrAnswer *answer,
                          LrTime now);
/* A queued query has waited until its latest start. */
void LrAdmission_OnWaitedTooLong(LrEngine *engine, LrQuery *query, LrTime now);
/* Concurrency slots in a group that the query has to leave free for urgent
 * queries. */
uint32_t LrAdmission_ReservedSlots(const LrQuery *query, LrTime now);

/* dispatch.c */
/* Median latency of an attempt of the query's service; 0 while unknown. */
LrTime LrDispatch_MedianLatency(const LrQuery *query);
/* The same, or a default while unknown. */
LrTime LrDispatch_MedianOrDefault(const LrQuery *query);
/* Sends the part to a replica, queues it until one has capacity, or marks it
 * missing. */
void LrDispatch_Send(LrEngine *engine, LrQueryPart *part, LrTime now);
/* Sends the part to the target, as an attempt of kind next_kind. */
void LrDispatch_SendTo(LrEngine *engine, LrQueryPart *part, LrTarget *target,
                       LrTime now);
/* Sends parts that were held back, as far as the query may be sent now. */
void LrDispatch_SendHeld(LrEngine *engine, LrQuery *query, LrTime now);
/* Sends parts that wait for capacity at the target. */
void LrDispatch_SendWaiting(LrEngine *engine, LrTarget *target, LrTime now);
/* Cancels every attempt of the part that is in flight, here and at its
 * target. */
void LrDispatch_Cancel(LrEngine *engine, LrQueryPart *part);
void LrDispatch_Unqueue(LrQueryPart *part);
/* Whether a replica that is in use serves the query's version. */
bool LrDispatch_IsVersionServed(const LrQueryPart *part, LrTime now);
/* Whether the entry's limit on attempts allows one more for the part. */
bool LrDispatch_HasAttemptsLeft(const LrQueryPart *part);
/* Charges one retry or hedge of the part to the retry budget, or to the
 * bucket when the engine has no budget; false when that is exhausted. */
bool LrDispatch_SpendBudget(LrEngine *engine, LrQueryPart *part,
                            LrTokenBucket *bucket, LrTime now);

/* hedge.c */
/* Hedges the parts that are slow and sets next_hedge_at. */
void LrHedge_Run(LrEngine *engine, LrQuery *query, LrTime now);

/* gather.c */
/* False when the map lacks the one shard that another daemon asked for, or
 * when this daemon would have to relay it again. */
bool LrGather_Init(LrQuery *query, LrMap *map);
void LrGather_Clear(LrEngine *engine, LrQuery *query);
void LrGather_SetAnswered(LrQueryPart *part, LrTarget *target,
                          const LrReply *reply);
/* Stores the reply's head and body in the part. */
void LrGather_StoreReply(LrQueryPart *part, const LrReply *reply);
void LrGather_SetMissing(LrQueryPart *part, LrReason reason);
/* Number of shards, out of n_shards, that the entry's minimum coverage
 * requires. */
size_t LrGather_RequiredShards(const LrEntrySpec *spec, size_t n_shards);
/* Whether the query can be answered now. */
bool LrGather_IsDone(const LrQuery *query, LrTime now);
/* Builds the answer from the parts that were answered; reason applies to
 * those still pending. */
LrAnswer *LrGather_BuildAnswer(LrQuery *query, LrReason reason);

/* query.c */
uint64_t LrQuery_Submit(LrEngine *engine, LrTime now,
                        const LrRequest *request);
/* Ends the query without an answer. */
void LrQuery_Abandon(LrEngine *engine, LrQuery *query);
void LrQuery_OnReply(LrEngine *engine, LrAttempt *attempt,
                     const LrReply *reply, LrTime now);
/* Starts an admitted query: chooses the index version and sends the parts. */
void LrQuery_Start(LrEngine *engine, LrQuery *query, LrTime now);
/* Emits the answer and frees the query. */
void LrQuery_Finish(LrEngine *engine, LrQuery *query, LrReason reason,
                    LrTime now);
void LrQuery_Progress(LrEngine *engine, LrQuery *query, LrTime now);
void LrQuery_SetTimer(LrEngine *engine, LrQuery *query, LrTime now);

/* crash.c */
void LrCrash_Init(LrEngine *engine);
void LrCrash_Clear(LrEngine *engine);
/* The connection of an attempt broke before a reply, as it does when the
 * target crashes. Returns what is known of its request. */
LrRequestStatus LrCrash_OnBroken(LrEngine *engine, const LrAttempt *attempt,
                                 LrTime now);
/* The same for an attempt that had been cancelled. */
void LrCrash_OnCancelledBroken(LrEngine *engine, const LrAttempt *attempt,
                               LrTime now);
/* Decides by the end of an attempt that was sent later whether connections
 * that broke before were broken by a crash of the target. May end queries. */
void LrCrash_OnReply(LrEngine *engine, LrTarget *target, LrTime sent_at,
                     LrReplyStatus status, LrTime now);
/* Drops what broken connections seemed to tell of targets and requests, here
 * and at the peers that were told. */
void LrCrash_DropUnconfirmed(LrEngine *engine);
/* Settles the crashes of targets that were found down while the links were in
 * doubt. */
void LrCrash_SettlePostponed(LrEngine *engine, LrTime now);
/* A target answered the query. */
void LrCrash_OnAnswered(LrEngine *engine, LrQuery *query, LrTime now);
/* Ends the parts of a query that is quarantined. */
void LrCrash_QuarantineQuery(LrEngine *engine, LrQuery *query);

/* engine.c */
/* Sends waiting work to targets and services that may have gained capacity
 * during the event. */
void LrEngine_ServeDirty(LrEngine *engine, LrTime now);
LrAction *LrEngine_AddAction(LrEngine *engine, LrActionKind kind);
/* Marks a target or a service that may have capacity for waiting work, which
 * is sent at the end of the event. */
void LrEngine_MarkTargetDirty(LrEngine *engine, LrTarget *target);
void LrEngine_MarkServiceDirty(LrEngine *engine, LrServiceState *state);

#endif
