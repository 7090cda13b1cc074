/* Structs that the decision modules share and embedders do not see. */
#ifndef LAVENDERRAIL_PRIVATE_H
#define LAVENDERRAIL_PRIVATE_H

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

/* One sub-request at one target. */
struct LrAttempt {
    uint64_t id;
    LrQueryPart *part;
    LrTarget *target;
    LrAttemptKind kind;
    LrTime sent_at;
    /* Its request is a suspect; it was one already when this was sent. */
    bool suspect;
    bool sent_as_suspect;
    /* Median latency of its service when it was withdrawn; 0 for unknown. */
    LrTime median_latency;
    TAILQ_ENTRY(LrAttempt) of_target;
};

/* One shard of a query. */
struct LrQueryPart {
    LrQuery *query;
    LrGroup *group;
    LrQueryPartState state;
    LrReason reason;
    LrAttempt *in_flight[LR_QUERY_PART_MAX_IN_FLIGHT];
    unsigned n_in_flight;
    LrTarget *tried[LR_QUERY_PART_MAX_TRIED];
    unsigned n_tried;
    LrAttemptKind next_kind;
    unsigned n_hedges;
    unsigned n_sent;
    /* Attempts that are not known not to have run. */
    unsigned n_may_have_run;
    unsigned n_crashes;
    LrTime first_sent_at;
    LrTarget *answered_by;
    GBytes *head;
    GBytes *body;
    bool queued;
    TAILQ_ENTRY(LrQueryPart) of_group;
};

/* One request of a caller. */
struct LrQuery {
    uint64_t id;
    LrEngine *engine;
    LrView *view;
    LrEntry *entry;
    LrTrafficClass klass;
    bool single_shard;
    bool at_most_once;
    uint64_t route_hash;
    LrStr key;
    GBytes *body;
    uint64_t fingerprint;
    void *data;
    LrTime arrived_at;
    LrTime soft_deadline;
    LrTime hard_deadline;
    LrTime next_hedge_at;
    LrTimer timer;
    LrMap *map;
    /* The only shard, and its version, when another daemon asks. */
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
    bool suspect;
    TAILQ_ENTRY(LrQuery) of_queue;
    TAILQ_ENTRY(LrQuery) of_engine;
};

struct LrEngine {
    LrEngineConfig config;
    LrRandom *random;
    LrTargets *targets;
    LrStates *states;
    LrView *view;
    LrTimers *timers;
    LrQuarantine *quarantine;
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
    /* Time of the event being handled. */
    LrTime now;
    size_t n_queries;
    bool stopping;
    LrQuota quota;
    /* The fleet, of which the view chooses whom to relay to. */
    LrStr self;
    GArray *peers;
    LrArena *peers_arena;
    uint64_t peers_digest;
    uint32_t links;
    /* Daemons that share what is limited over the fleet; 0 for all. */
    double limit_divisor;
    /* The figure that the view was built with. */
    double view_limit_divisor;
};

/* attempt.c */
LrAttempt *LrAttempt_New(LrEngine *engine, LrQueryPart *part, LrTarget *target,
                         LrAttemptKind kind, LrTime now);
LrAttempt *LrAttempt_Lookup(LrEngine *engine, uint64_t id);
/* Takes the attempt off its part and its target. */
void LrAttempt_Free(LrEngine *engine, LrAttempt *attempt);
/* Takes the attempt off its part only: the target still has it. */
void LrAttempt_MarkCancelled(LrAttempt *attempt, LrTime typical);
LrAttempt *LrAttempt_LookupCancelled(LrEngine *engine, uint64_t id);

/* admission.c */
/* Reason to refuse the query at once, LR_REASON_NONE to go on. */
LrReason LrAdmission_Check(LrEngine *engine, LrQuery *query, LrTime now);
/* Whether enough shards of the entry have a target to make an answer. */
bool LrAdmission_HasCoverage(const LrEntry *entry, LrTime now);
/* Requests of the entry in the last seconds; older ones count less. */
double LrAdmission_RecentRequests(const LrEntryState *state, LrTime now);
/* Whether a query of the service may start sending now. */
bool LrAdmission_CanStart(LrQuery *query);
void LrAdmission_Enqueue(LrQuery *query);
void LrAdmission_Dequeue(LrQuery *query);
/* Starts queued queries of the service while there is room. */
void LrAdmission_StartQueued(LrEngine *engine, LrServiceState *state,
                             LrTime now);
/* Time after which a start would miss the query's soft deadline. */
LrTime LrAdmission_LatestStart(const LrQuery *query);
void LrAdmission_Started(LrQuery *query, LrTime now);
void LrAdmission_Finished(LrQuery *query);
/* Places in a group that routine work leaves free for urgent work. */
uint32_t LrAdmission_ReservedSlots(const LrQuery *query, LrTime now);

/* dispatch.c */
/* Median latency of an attempt of the query's service; 0 while unknown. */
LrTime LrDispatch_MedianLatency(const LrQuery *query);
/* The same, an assumed one while unknown. */
LrTime LrDispatch_MedianOrDefault(const LrQuery *query);
/* Sends the part to a replica, or queues it, or gives it up. */
void LrDispatch_Send(LrEngine *engine, LrQueryPart *part, LrTime now);
/* Sends an attempt of the part's next kind. */
void LrDispatch_SendTo(LrEngine *engine, LrQueryPart *part, LrTarget *target,
                       LrTime now);
/* Sends parts that wait for a place at this target. */
void LrDispatch_SendWaiting(LrEngine *engine, LrTarget *target, LrTime now);
/* Ends every live attempt of the part, telling the targets. */
void LrDispatch_Cancel(LrEngine *engine, LrQueryPart *part);
void LrDispatch_Unqueue(LrQueryPart *part);
/* Whether the part may be sent to one more target, by its entry's limit. */
bool LrDispatch_HasAttemptsLeft(const LrQueryPart *part);
/* Takes one repeat of the part's service from a budget. */
bool LrDispatch_SpendBudget(LrEngine *engine, LrQueryPart *part,
                            LrTokenBucket *bucket, LrTime now);

/* hedge.c */
/* Sends further attempts for slow parts and sets hedge_at. */
void LrHedge_Run(LrEngine *engine, LrQuery *query, LrTime now);

/* gather.c */
/* False when the map lacks the only shard that is asked, or when this
 * daemon would have to relay it once more. */
bool LrGather_Init(LrQuery *query, LrMap *map);
void LrGather_Clear(LrEngine *engine, LrQuery *query);
void LrGather_SetAnswered(LrQueryPart *part, LrTarget *target,
                          const LrReply *reply);
/* Keeps the reply's head and body as the part's. */
void LrGather_StoreReply(LrQueryPart *part, const LrReply *reply);
void LrGather_SetMissing(LrQueryPart *part, LrReason reason);
/* Shards, of so many, that an answer has to hold by its entry's coverage. */
size_t LrGather_RequiredShards(const LrEntrySpec *spec, size_t n_shards);
/* Whether the answer can be given now. */
bool LrGather_IsDone(const LrQuery *query, LrTime now);
/* Gives the answer with the parts that came; reason is for those that did
 * not. */
LrAnswer *LrGather_BuildAnswer(LrQuery *query, LrReason reason);

/* query.c */
uint64_t LrQuery_Submit(LrEngine *engine, LrTime now,
                        const LrRequest *request);
/* Ends the query without an answer. */
void LrQuery_Abandon(LrEngine *engine, LrQuery *query);
/* What the reply of an attempt says of earlier breaks at its target. */
void LrQuery_ConfirmCrashes(LrEngine *engine, LrTarget *target,
                            LrReplyStatus status, LrTime now);
void LrQuery_OnReply(LrEngine *engine, LrAttempt *attempt,
                     const LrReply *reply, LrTime now);
/* Starts an admitted query: resolve, plan, send. */
void LrQuery_Start(LrEngine *engine, LrQuery *query, LrTime now);
/* Gives the answer and ends the query. */
void LrQuery_Finish(LrEngine *engine, LrQuery *query, LrReason reason,
                    LrTime now);
void LrQuery_Progress(LrEngine *engine, LrQuery *query, LrTime now);
void LrQuery_SetTimer(LrEngine *engine, LrQuery *query, LrTime now);

/* engine.c */
LrAction *LrEngine_AddAction(LrEngine *engine, LrActionKind kind);
/* Notes that a target or a service may have room for waiting work; served
 * at the end of the event. */
void LrEngine_MarkTargetDirty(LrEngine *engine, LrTarget *target);
void LrEngine_MarkServiceDirty(LrEngine *engine, LrServiceState *state);

#endif
