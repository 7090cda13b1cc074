/* Structs that the decision modules share and embedders do not see. */
#ifndef LAVENDERRAIL_PRIVATE_H
#define LAVENDERRAIL_PRIVATE_H

#include "lavenderrail.h"

enum { LR_PART_MAX_TARGETS = 5, LR_PART_MAX_LIVE = 3 };

typedef enum {
    LR_PART_WAITING,
    LR_PART_SENT,
    LR_PART_ANSWERED,
    LR_PART_MISSING,
} LrPartState;

typedef enum {
    LR_ATTEMPT_FIRST,
    LR_ATTEMPT_RETRY,
    LR_ATTEMPT_HEDGE,
} LrAttemptKind;

/* One sub-request at one target. */
struct LrAttempt {
    uint64_t id;
    LrPart *part;
    LrTarget *target;
    LrAttemptKind kind;
    LrTime sent_at;
    /* Its request is a suspect; it was one already when this was sent. */
    bool suspect;
    bool sent_as_suspect;
    /* Median latency of its service when it was withdrawn; 0 for unknown. */
    LrTime typical;
    TAILQ_ENTRY(LrAttempt) of_target;
};

/* One shard of a query. */
struct LrPart {
    LrQuery *query;
    LrGroup *group;
    LrPartState state;
    LrReason reason;
    LrAttempt *live[LR_PART_MAX_LIVE];
    unsigned n_live;
    LrTarget *tried[LR_PART_MAX_TARGETS];
    unsigned n_tried;
    LrAttemptKind next_kind;
    unsigned n_hedges;
    unsigned n_sent;
    /* Attempts that are not known not to have run. */
    unsigned n_may_run;
    unsigned n_broken;
    LrTime first_sent_at;
    LrTarget *answered_by;
    GBytes *head;
    GBytes *body;
    bool queued;
    TAILQ_ENTRY(LrPart) of_group;
};

/* One request of a caller. */
struct LrQuery {
    uint64_t id;
    LrEngine *engine;
    LrView *view;
    LrEntry *entry;
    LrClass klass;
    bool call;
    bool single_run;
    uint64_t route_hash;
    LrStr key;
    GBytes *body;
    uint64_t fingerprint;
    void *data;
    LrTime started_at;
    LrTime soft_at;
    LrTime hard_at;
    LrTime hedge_at;
    LrTimer timer;
    LrMap *map;
    /* The only shard, and its version, when another daemon asks. */
    LrStr shard;
    int64_t version;
    int64_t skip_version;
    unsigned restarts;
    LrPart *parts;
    size_t n_parts;
    size_t n_open;
    size_t n_answered;
    size_t n_unproven;
    bool queued;
    bool running;
    bool suspect;
    TAILQ_ENTRY(LrQuery) of_queue;
    TAILQ_ENTRY(LrQuery) of_engine;
};

struct LrEngine {
    LrEngineConfig config;
    LrRandom *random;
    LrRouter *router;
    LrStates *states;
    LrView *view;
    LrTimers *timers;
    LrQuarantine *quarantine;
    LrBucket hedges;
    LrBucket retries;
    struct LrQueryList queries;
    GHashTable *by_id;
    uint64_t next_id;
    GPtrArray *attempts;
    GArray *free_attempts;
    GArray *actions;
    size_t next_action;
    GPtrArray *dirty_targets;
    GPtrArray *dirty_states;
    LrTime advanced_at;
    /* Time of the event being handled. */
    LrTime now;
    size_t running;
    bool stopping;
    LrShare share;
    /* The fleet, of which the view chooses whom to relay to. */
    LrStr self;
    GArray *peers;
    LrArena *peers_arena;
    uint64_t peers_digest;
    uint32_t links;
    /* Daemons that share what is limited over the fleet; 0 for all. */
    double sharers;
    /* The figure that the view was built with. */
    double view_sharers;
};

/* attempt.c */
LrAttempt *LrAttempt_New(LrEngine *engine, LrPart *part, LrTarget *target,
                         LrAttemptKind kind, LrTime now);
LrAttempt *LrAttempt_Lookup(LrEngine *engine, uint64_t id);
/* Takes the attempt off its part and its target. */
void LrAttempt_Free(LrEngine *engine, LrAttempt *attempt);
/* Takes the attempt off its part only: the target still has it. */
void LrAttempt_Withdraw(LrAttempt *attempt, LrTime typical);
LrAttempt *LrAttempt_LookupWithdrawn(LrEngine *engine, uint64_t id);

/* admission.c */
/* Reason to refuse the query at once, LR_REASON_NONE to go on. */
LrReason LrAdmission_Check(LrEngine *engine, LrQuery *query, LrTime now);
/* Whether enough shards of the entry have a target to make an answer. */
bool LrAdmission_CanSuffice(const LrEntry *entry, LrTime now);
/* Requests of the entry in the last seconds; older ones count less. */
double LrAdmission_Recent(const LrEntryState *state, LrTime now);
/* Whether a query of the service may start sending now. */
bool LrAdmission_IsOpen(LrQuery *query);
void LrAdmission_Enqueue(LrQuery *query);
void LrAdmission_Dequeue(LrQuery *query);
/* Starts queued queries of the service while there is room. */
void LrAdmission_Pump(LrEngine *engine, LrServiceState *state, LrTime now);
/* Time after which a start would miss the query's soft deadline. */
LrTime LrAdmission_LatestStart(const LrQuery *query);
void LrAdmission_Started(LrQuery *query, LrTime now);
void LrAdmission_Finished(LrQuery *query);
/* Places in a group that routine work leaves free for urgent work. */
uint32_t LrAdmission_Reserve(const LrQuery *query, LrTime now);

/* dispatch.c */
/* Median latency of an attempt of the query's service; 0 while unknown. */
LrTime LrDispatch_Measured(const LrQuery *query);
/* The same, an assumed one while unknown. */
LrTime LrDispatch_Typical(const LrQuery *query);
/* Sends the part to a replica, or queues it, or gives it up. */
void LrDispatch_Part(LrEngine *engine, LrPart *part, LrTime now);
/* Sends an attempt of the part's next kind. */
void LrDispatch_SendTo(LrEngine *engine, LrPart *part, LrTarget *target,
                       LrTime now);
/* Sends parts that wait for a place at this target. */
void LrDispatch_Pump(LrEngine *engine, LrTarget *target, LrTime now);
/* Ends every live attempt of the part, telling the targets. */
void LrDispatch_Cancel(LrEngine *engine, LrPart *part);
void LrDispatch_Unqueue(LrPart *part);
/* Whether the part may be sent to one more target, by its entry's limit. */
bool LrDispatch_MayRepeat(const LrPart *part);
/* Takes one repeat of the part's service from a budget. */
bool LrDispatch_TakeRepeat(LrEngine *engine, LrPart *part, LrBucket *bucket,
                           LrTime now);

/* hedge.c */
/* Sends further attempts for slow parts and sets hedge_at. */
void LrHedge_Run(LrEngine *engine, LrQuery *query, LrTime now);

/* gather.c */
/* False when the map lacks the only shard that is asked, or when this
 * daemon would have to relay it once more. */
bool LrGather_Init(LrQuery *query, LrMap *map);
void LrGather_Clear(LrEngine *engine, LrQuery *query);
void LrGather_Answered(LrPart *part, LrTarget *target, const LrReply *reply);
/* Keeps the reply's head and body as the part's. */
void LrGather_Keep(LrPart *part, const LrReply *reply);
void LrGather_Missing(LrPart *part, LrReason reason);
/* Shards, of so many, that an answer has to hold by its entry's coverage. */
size_t LrGather_Needed(const LrEntrySpec *spec, size_t n_shards);
/* Whether the answer can be given now. */
bool LrGather_IsDone(const LrQuery *query, LrTime now);
/* Gives the answer with the parts that came; reason is for those that did
 * not. */
LrAnswer *LrGather_Answer(LrQuery *query, LrReason reason);

/* query.c */
uint64_t LrQuery_Submit(LrEngine *engine, LrTime now,
                        const LrRequest *request);
/* Ends the query without an answer. */
void LrQuery_Abandon(LrEngine *engine, LrQuery *query);
/* What the reply of an attempt says of earlier breaks at its target. */
void LrQuery_JudgeBreaks(LrEngine *engine, LrTarget *target,
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
void LrEngine_TouchTarget(LrEngine *engine, LrTarget *target);
void LrEngine_TouchService(LrEngine *engine, LrServiceState *state);

#endif
