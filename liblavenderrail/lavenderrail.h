/* Public interface of liblavenderrail: the decision modules, which do no
 * I/O and take the time as an argument, and the edges, which own sockets on
 * a libev loop. Prototypes are grouped by source file. */
#ifndef LAVENDERRAIL_H
#define LAVENDERRAIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/queue.h>
#include <syslog.h>

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

#define LAVENDERRAIL_VERSION "0.1.0"

/* Monotonic time in nanoseconds; 0 means "never". */
typedef int64_t LrTime;

#define LR_MICROSECOND ((LrTime)1000)
#define LR_MILLISECOND ((LrTime)1000000)
#define LR_SECOND ((LrTime)1000000000)
#define LR_NEVER INT64_MAX

/* glibc's sys/queue.h has no removal-safe iteration. */
#ifndef TAILQ_FOREACH_SAFE
#define TAILQ_FOREACH_SAFE(var, head, field, tvar) \
    for ((var) = TAILQ_FIRST((head));              \
         (var) && ((tvar) = TAILQ_NEXT((var), field), 1); (var) = (tvar))
#endif

struct ev_loop;
struct json_t;
struct MHD_Daemon;

/* str.c: length-counted strings. An LrStr borrows its bytes. */
typedef struct {
    const char *ptr;
    size_t len;
} LrStr;

LrStr LrStr_FromC(const char *text);
LrStr LrStr_FromBytes(GBytes *bytes);
bool LrStr_Equal(LrStr a, LrStr b);
bool LrStr_EqualC(LrStr a, const char *b);
bool LrStr_HasPrefix(LrStr text, const char *prefix);
int LrStr_Compare(LrStr a, LrStr b);
/* Copies into a NUL-terminated buffer to be freed with g_free. */
char *LrStr_Dup(LrStr text);
uint64_t LrStr_Hash(LrStr text, uint64_t seed);
/* GHashTable functions for keys of type LrStr *. */
guint LrStr_TableHash(gconstpointer key);
gboolean LrStr_TableEqual(gconstpointer a, gconstpointer b);
/* Takes the first item off a list that is joined by commas; false at its end.
 * The item borrows from the list. */
bool LrStr_NextListItem(LrStr *rest, LrStr *item);
/* Parses a decimal whole number; false when anything else is there. */
bool LrStr_ToInt(LrStr text, int64_t *out);
/* Parses "IP:port" (IPv4 or [IPv6]); false unless both are valid numbers. */
bool LrStr_ToAddress(LrStr text, char *host, size_t host_size, uint16_t *port);

/* error.c: the GError domain and lists of faults. */
#define LR_ERROR (LrError_Quark())
typedef enum {
    LR_ERROR_ADDRESS,
    LR_ERROR_SOCKET,
    LR_ERROR_PROTOCOL,
} LrErrorCode;

/* One thing wrong with a document. All members are owned. */
typedef struct {
    char *path;
    char *cause;
    char *hint;
} LrFault;

typedef struct LrFaults LrFaults;

GQuark LrError_Quark(void);
LrFaults *LrFaults_New(void);
void LrFaults_Free(LrFaults *faults);
void LrFaults_Add(LrFaults *faults, const char *path, const char *hint,
                  const char *cause, ...) G_GNUC_PRINTF(4, 5);
size_t LrFaults_Count(const LrFaults *faults);
const LrFault *LrFaults_Get(const LrFaults *faults, size_t index);
/* All faults, one a line, to be freed with g_free. */
char *LrFaults_ToText(const LrFaults *faults);

/* arena.c: memory that is freed together. */
typedef struct LrArena LrArena;

LrArena *LrArena_New(void);
void LrArena_Free(LrArena *arena);
/* Zeroed memory owned by the arena. */
void *LrArena_Alloc(LrArena *arena, size_t size);
LrStr LrArena_Copy(LrArena *arena, LrStr text);

/* record.c, record_json.c, record_msgpack.c: structs described by generated
 * tables, and their codecs. */
typedef enum {
    LR_FIELD_STR,
    LR_FIELD_INT,
    LR_FIELD_REAL,
    LR_FIELD_BOOL,
    LR_FIELD_ENUM,
    LR_FIELD_LIST,
} LrFieldKind;

typedef struct LrObjectSpec LrObjectSpec;

typedef struct {
    const char *name;
    LrFieldKind kind;
    size_t offset;
    size_t count_offset;
    bool required;
    double min;
    double max;
    double fallback;
    const char *fallback_str;
    const char *const *choices;
    const LrObjectSpec *object;
    const char *hint;
} LrFieldSpec;

struct LrObjectSpec {
    const char *name;
    size_t size;
    int tag;
    const LrFieldSpec *fields;
    size_t n_fields;
};

/* Fills a struct with the defaults of its table. */
void LrRecord_Init(const LrObjectSpec *spec, void *out);
/* Sets one scalar field from text, as flags and the environment give it. */
bool LrRecord_ParseField(const LrFieldSpec *field, void *out, LrStr text,
                         const char *path, LrFaults *faults);
/* Parses JSON text; NULL with a fault when it is none. */
struct json_t *LrRecord_ParseJson(LrStr text, LrFaults *faults);
/* Reads a JSON object; every fault is reported. Strings borrow from json. */
bool LrRecord_ReadJson(const LrObjectSpec *spec, const struct json_t *json,
                       void *out, LrArena *arena, const char *path,
                       LrFaults *faults);
struct json_t *LrRecord_WriteJson(const LrObjectSpec *spec, const void *in);
/* Appends the msgpack array [tag, field...] to out. */
void LrRecord_Pack(const LrObjectSpec *spec, const void *in, GByteArray *out);
/* Tag of a packed message; -1 when the bytes hold none. */
int LrRecord_PeekTag(LrStr data);
/* Reads a packed message; strings are copied into the arena. Fields that
 * a newer sender appends are passed over, absent ones take defaults. */
bool LrRecord_Unpack(const LrObjectSpec *spec, LrStr data, void *out,
                     LrArena *arena, GError **error);

/* log.c: one line of key=value pairs an event, with a syslog priority. */
typedef struct LrLog LrLog;

typedef struct {
    const char *key;
    LrStr text;
    int64_t number;
    bool is_number;
} LrLogField;

LrLog *LrLog_New(FILE *file, int level);
void LrLog_Free(LrLog *log);
/* Lets lines gather until LrLog_Flush, and bounds their number: of those that
 * tell of single requests (LOG_INFO and below) so many a second are written.
 * What is held back or dropped is counted and told. */
void LrLog_SetRateLimit(LrLog *log, double lines_per_second);
/* Begins each line with the time and the name of its host, which is borrowed.
 */
void LrLog_SetHost(LrLog *log, LrStr host);
/* Writes what has gathered, as far as that does not block. */
void LrLog_Flush(LrLog *log);
LrLogField LrLog_Str(const char *key, LrStr value);
LrLogField LrLog_CStr(const char *key, const char *value);
LrLogField LrLog_Int(const char *key, int64_t value);
void LrLog_Write(LrLog *log, int priority, const char *event,
                 const LrLogField *fields, size_t n_fields);
/* Writes "<priority>event=... key=value ..."; a NULL log is silent. */
#define LR_LOG(log, priority, event, ...)                      \
    do {                                                       \
        const LrLogField lr_log_fields[] = {__VA_ARGS__};      \
        LrLog_Write((log), (priority), (event), lr_log_fields, \
                    G_N_ELEMENTS(lr_log_fields));              \
    } while (0)

/* latency_histogram.c: recent latencies as a decaying log-scale histogram. */
typedef struct LrLatencyHistogram LrLatencyHistogram;

LrLatencyHistogram *LrLatencyHistogram_New(void);
void LrLatencyHistogram_Free(LrLatencyHistogram *latency);
void LrLatencyHistogram_Add(LrLatencyHistogram *latency, LrTime value);
/* Value at a quantile of the recent samples; fallback while too few. */
LrTime LrLatencyHistogram_Quantile(LrLatencyHistogram *latency,
                                   double quantile, LrTime fallback);
/* Samples ever added. */
uint64_t LrLatencyHistogram_Count(const LrLatencyHistogram *latency);
/* Cumulative count of samples at or below a bound, for exposition. */
uint64_t LrLatencyHistogram_CountBelow(const LrLatencyHistogram *latency,
                                       LrTime bound);
LrTime LrLatencyHistogram_Sum(const LrLatencyHistogram *latency);

#include "gen/records.h"

/* counter.c: counters of a process. */
typedef struct {
    uint64_t values[LR_COUNT_COUNT];
    LrLatencyHistogram *answer_latency[LR_CLASS_COUNT];
    LrLatencyHistogram *attempt_latency;
} LrCounters;

LrCounters *LrCounters_New(void);
void LrCounters_Free(LrCounters *counters);
void LrCounters_Add(LrCounters *counters, LrCounterId id, uint64_t amount);
/* Text exposition of the counters and latency histograms. */
char *LrCounters_ToText(LrCounters *counters);

/* settings.c: flags before environment variables before a file of NAME=VALUE
 * lines before defaults. */
typedef struct {
    int argc;
    char **argv;
    /* File that is read where --settings names none; NULL for none. */
    const char *file;
} LrSettingsSource;

/* Reads the settings. On --help, --version or --check-settings prints and
 * sets *exit_status to 0; on a bad setting prints one line a fault and sets
 * it to 2; else returns true. */
bool LrSettings_Load(LrSettings *settings, LrArena *arena,
                     const LrSettingsSource *source, int *exit_status);

/* catalogue.c: validated catalogues, immutable and reference counted. */
typedef struct LrCatalogue LrCatalogue;

struct LrCatalogue {
    LrCatalogueSpec spec;
    char *text;
    size_t text_len;
    struct json_t *json;
    LrArena *arena;
    /* What the catalogue was built from; freed with it. */
    void *attached;
    GDestroyNotify free_attached;
    int refs;
};

/* Parses and validates; on any fault returns NULL with all of them. */
LrCatalogue *LrCatalogue_Parse(LrStr text, LrFaults *faults);
/* Takes over a spec that was built in memory, in an arena of its own. */
LrCatalogue *LrCatalogue_FromSpec(const LrCatalogueSpec *spec, LrArena *arena);
void LrCatalogue_Attach(LrCatalogue *catalogue, void *data,
                        GDestroyNotify free_data);
LrCatalogue *LrCatalogue_Ref(LrCatalogue *catalogue);
void LrCatalogue_Unref(LrCatalogue *catalogue);
const LrServiceSpec *LrCatalogue_LookupService(const LrCatalogue *catalogue,
                                               LrStr name);
/* What an edit changes, one line a change, to be freed with g_free. */
char *LrCatalogue_Diff(const LrCatalogue *from, const LrCatalogue *to);

/* value_set.c: the named values that make up a catalogue. */
typedef struct LrValueSet LrValueSet;

LrValueSet *LrValueSet_New(void);
void LrValueSet_Free(LrValueSet *store);
/* A copy that shares the values. */
LrValueSet *LrValueSet_Fork(const LrValueSet *store);
int64_t LrValueSet_Revision(const LrValueSet *store);
void LrValueSet_SetRevision(LrValueSet *store, int64_t revision);
/* name: service/NAME or entry/NAME; text: JSON of the value. */
void LrValueSet_Set(LrValueSet *store, const char *name, int64_t revision,
                    LrStr text);
void LrValueSet_Remove(LrValueSet *store, const char *name, int64_t revision);
bool LrValueSet_Has(const LrValueSet *store, const char *name,
                    int64_t revision);
/* Removes a value, but keeps it in use until a time or until it is set
 * again. */
void LrValueSet_Hold(LrValueSet *store, const char *name, int64_t revision,
                     LrTime until);
/* When the next held value is due; LR_NEVER for none. */
LrTime LrValueSet_NextHoldExpiry(const LrValueSet *store);
/* Drops the held values that are due. */
void LrValueSet_ExpireHeld(LrValueSet *store, LrTime now);
/* Text of a value that is not removed, borrowed from the store; empty when
 * there is none. */
LrStr LrValueSet_Get(const LrValueSet *store, const char *name);
/* Calls func for each value in use, held ones last. */
void LrValueSet_Each(const LrValueSet *store,
                     void (*func)(void *data, const char *name, LrStr text),
                     void *data);
/* Names in order, borrowed from the store. */
GPtrArray *LrValueSet_Names(const LrValueSet *store);
/* JSON text of the whole catalogue, to be freed with g_free. */
char *LrValueSet_ToJson(const LrValueSet *store);
/* The catalogue of the named values; NULL with the faults. */
LrCatalogue *LrValueSet_BuildCatalogue(const LrValueSet *store,
                                       LrFaults *faults);
/* Depends on every name, revision and text. */
uint64_t LrValueSet_Digest(const LrValueSet *store);
/* What changed after a revision; everything when that is not known. Texts
 * borrow from the store. */
void LrValueSet_MakeDelta(const LrValueSet *store, int64_t since, LrTime now,
                          LrArena *arena, LrDeltaMsg *delta);
/* A new store with the delta applied; NULL when it does not fit. */
LrValueSet *LrValueSet_ApplyDelta(const LrValueSet *store,
                                  const LrDeltaMsg *delta, LrTime now);

/* hostlist.c: the platform's list of hosts. */
typedef struct {
    LrHostListSpec spec;
    struct json_t *json;
    LrArena *arena;
} LrHostList;

LrHostList *LrHostList_Parse(LrStr text, LrFaults *faults);
void LrHostList_Free(LrHostList *list);

/* timer.c: a timer service under the caller's clock. */
typedef struct LrTimers LrTimers;
typedef struct LrTimer LrTimer;
typedef void (*LrTimerFunc)(void *data, LrTime now);

struct LrTimer {
    LrTime due;
    size_t heap_index;
    uint64_t sequence;
    LrTimerFunc func;
    void *data;
};

LrTimers *LrTimers_New(void);
void LrTimers_Free(LrTimers *timers);
/* Arms or moves a timer; equal times fire in the order of arming. */
void LrTimers_Arm(LrTimers *timers, LrTimer *timer, LrTime due);
void LrTimers_Cancel(LrTimers *timers, LrTimer *timer);
/* Time of the next timer, LR_NEVER when there is none. */
LrTime LrTimers_NextDue(const LrTimers *timers);
/* Fires every timer that is due. */
void LrTimers_FireDue(LrTimers *timers, LrTime now);

/* random.c: a seeded generator. */
typedef struct LrRandom LrRandom;

LrRandom *LrRandom_New(uint64_t seed);
void LrRandom_Free(LrRandom *random);
/* A whole number from 0 up to, not including, bound. */
uint32_t LrRandom_Below(LrRandom *random, uint32_t bound);
/* A number in [0, 1). */
double LrRandom_Uniform(LrRandom *random);

/* token_bucket.c: token buckets for rates and for shares of a stream. */
typedef struct {
    double tokens;
    double capacity;
    double tokens_per_second;
    LrTime refilled_at;
} LrTokenBucket;

void LrTokenBucket_Init(LrTokenBucket *bucket, double per_second, double cap,
                        LrTime now);
/* Adds tokens earned by an event, up to the cap. */
void LrTokenBucket_Add(LrTokenBucket *bucket, double tokens);
/* Takes one token after refilling by time; false when there is none. */
bool LrTokenBucket_Take(LrTokenBucket *bucket, LrTime now);

/* retry_budget.c: repeated requests to one service in a sliding window. */
enum { LR_RETRY_BUDGET_SLOTS = 20 };

typedef struct {
    /* Repeats allowed for each first request; 0 for no budget. */
    double ratio;
    /* Repeats allowed beyond that. */
    double fixed_allowance;
    LrTime window;
} LrRetryBudgetRule;

/* Zeroed at first. Counts by slot of the last two windows. */
typedef struct {
    uint32_t first_attempts[2 * LR_RETRY_BUDGET_SLOTS + 1];
    uint32_t extra_attempts[2 * LR_RETRY_BUDGET_SLOTS + 1];
    int64_t slot;
} LrRetryBudget;

void LrRetryBudget_AddFirstAttempt(LrRetryBudget *budget,
                                   const LrRetryBudgetRule *rule, LrTime now);
/* Counts a repeat; false, and not counted, when it would break the rule. */
bool LrRetryBudget_TakeExtraAttempt(LrRetryBudget *budget,
                                    const LrRetryBudgetRule *rule, LrTime now);

/* concurrency_limit.c: concurrency limit of one target, found from its
 * answers. */
typedef struct {
    double value;
    double max;
    double latency_ratio;
} LrConcurrencyLimit;

void LrConcurrencyLimit_Init(LrConcurrencyLimit *limit, double max);
/* latency_ratio: latency over the service's median; queue: requests that
 * waited at the target when it answered, negative when not reported. */
void LrConcurrencyLimit_OnReply(LrConcurrencyLimit *limit,
                                double latency_ratio, double queue,
                                uint32_t in_flight);
void LrConcurrencyLimit_OnShed(LrConcurrencyLimit *limit);
bool LrConcurrencyLimit_HasRoom(const LrConcurrencyLimit *limit,
                                uint32_t in_flight);

/* targets.c: what is known of each target, and the choice of a replica. */
typedef struct LrTarget LrTarget;
typedef struct LrGroup LrGroup;
typedef struct LrTargets LrTargets;
typedef struct LrZoneDetector LrZoneDetector;
typedef struct LrZone LrZone;
typedef struct LrAttempt LrAttempt;
typedef struct LrQueryPart LrQueryPart;
typedef struct LrQuery LrQuery;

/* A request whose connection to a target broke: it is to blame only where the
 * target turns out to be down. */
typedef struct {
    uint64_t fingerprint;
    uint32_t query;
    bool only_in_flight;
    LrTime at;
} LrBrokenRequest;

enum { LR_MAX_BROKEN_REQUESTS = 8 };

TAILQ_HEAD(LrAttemptList, LrAttempt);
TAILQ_HEAD(LrQueryPartList, LrQueryPart);
TAILQ_HEAD(LrQueryList, LrQuery);

/* Signs that a target is leaving. */
typedef enum {
    LR_LEAVING_BY_REPLY = 1,
    LR_LEAVING_BY_HOST_LIST = 2,
} LrLeavingSource;

/* What an answer says of its target. */
typedef struct {
    bool present;
    double running;
    double queued;
} LrLoadReport;

struct LrTarget {
    uint32_t index;
    /* Tells targets apart; the address where a target has no identity. */
    LrStr key;
    LrStr name;
    LrStr address;
    /* Identity that the target checks itself; empty when it checks none. */
    LrStr instance;
    LrStr zone;
    LrZone *zone_state;
    int refs;
    uint32_t in_flight;
    /* Connections that can take a request at once, as the edge tells. */
    uint32_t idle_connections;
    uint32_t n_suspects;
    struct LrAttemptList attempts;
    LrConcurrencyLimit limit;
    /* Smoothed latency as a multiple of what is typical for the entries that
     * were asked: entries of short and of long work share the target. 0 while
     * unknown. */
    double slowness;
    /* When a slow answer came, if no other has come since; else 0. */
    LrTime slow_at;
    LrTime latency_sampled_at;
    double reported_queue;
    LrTime load_reported_at;
    /* Last time that any answer came from the target. */
    LrTime last_reply_at;
    uint32_t consecutive_failures;
    /* Smoothed share of attempts that ended without an answer. */
    double failure_ratio;
    LrTime failure_ratio_at;
    LrTime connection_broken_at;
    LrTime cancelled_at;
    /* What was in flight at the target's last death. */
    uint32_t crash_suspects;
    uint32_t crash_requests;
    LrBrokenRequest broken_requests[LR_MAX_BROKEN_REQUESTS];
    unsigned n_broken_requests;
    uint32_t ejections;
    LrTime ejected_until;
    unsigned leaving_sources;
    LrTime leaving_until;
    LrTime slow_start_until;
    /* Index versions that the last answer named; 0 while unknown. */
    int64_t oldest_version;
    int64_t newest_version;
    int64_t missing_version;
    LrTime missing_until;
    GPtrArray *groups;
    bool local;
    /* Used only where the other replicas of its group do not do: this daemon
     * leaves the target's connections to others. */
    bool backup;
    bool dirty;
    /* A daemon that stands for searchers; its address begins with '@'. */
    bool relay;
};

typedef struct {
    LrStr zone;
    LrCounters *counters;
    LrRandom *random;
    LrLog *log;
} LrTargetsConfig;

/* Chooses among candidates; returns an index into them. */
typedef struct {
    const char *name;
    size_t (*pick)(void *data, LrTargets *router, LrTime now,
                   LrTarget *const *candidates, size_t n_candidates,
                   LrTime typical);
    void *data;
    bool adaptive;
    bool hedged;
} LrSelectionPolicy;

/* Chooses the replica that is expected to finish first. */
extern const LrSelectionPolicy LrSelectionPolicy_ExpectedFinish;
extern const LrSelectionPolicy LrSelectionPolicy_Random;
extern const LrSelectionPolicy LrSelectionPolicy_RoundRobin;
extern const LrSelectionPolicy LrSelectionPolicy_LeastOutstanding;
extern const LrSelectionPolicy LrSelectionPolicy_EstimatedLatency;

LrTargets *LrTargets_New(const LrTargetsConfig *config,
                         const LrSelectionPolicy *policy);
void LrTargets_Free(LrTargets *router);
/* Looks a target up by address, adding it when new; the caller owns a
 * reference until LrTargets_Release. */
LrTarget *LrTargets_Acquire(LrTargets *router, const LrTargetSpec *spec,
                            uint32_t connections, LrTime now);
void LrTargets_Release(LrTargets *router, LrTarget *target);
LrTarget *LrTargets_Lookup(LrTargets *router, LrStr key);
void LrTargets_Each(LrTargets *router, void (*func)(void *, LrTarget *),
                    void *data);
const LrSelectionPolicy *LrTargets_Policy(const LrTargets *router);
/* Expected time until this target would have answered one more request. */
double LrTargets_EstimateLatency(const LrTarget *target, LrTime now,
                                 LrTime typical);
/* Picks a replica of the group that serves the version and has room.
 * tried lists targets that had the request already. suspect: only targets
 * without another suspected request. reserve: places in the group to be
 * left free. typical: the service's median latency. NULL when none has room
 * now; *exists then tells whether any may get room later. */
LrTarget *LrTargets_Pick(LrTargets *router, const LrGroup *group,
                         int64_t version, LrTime now, LrTime typical,
                         LrTarget *const *tried, size_t n_tried, bool suspect,
                         uint32_t reserve, bool *exists);
/* A random index below n. */
size_t LrTargets_RandomIndex(LrTargets *router, size_t n);
/* Smoothed latency of a target, the typical one while it is not known. */
double LrTargets_SmoothedLatency(const LrTarget *target, LrTime now,
                                 LrTime typical);
/* What is known of the zones that the targets are in. */
LrZoneDetector *LrTargets_ZoneDetector(LrTargets *router);
/* Judges by the requests that targets keep waiting which zones are cut off. */
void LrTargets_EvaluateZones(LrTargets *router, LrTime now);
/* Share of a target's attempts, 0 to 1, that ended without an answer lately:
 * refused, failed, broken or timed out. */
double LrTargets_FailureRatio(const LrTarget *target, LrTime now);
/* Requests that wait at a target by its own report, less for its age. */
double LrTargets_ReportedQueue(const LrTarget *target, LrTime now);
/* Whether some replica of the group can be sent work now. */
bool LrTargets_HasUsableReplica(const LrGroup *group, LrTime now);
/* Whether every replica of a group is ejected: a retry would be wasted. */
bool LrTargets_AllEjected(const LrGroup *group, LrTime now);
/* The target answered; typical is the median latency of what was asked, 0
 * while unknown. */
void LrTargets_OnSuccess(LrTargets *router, LrTarget *target, LrTime latency,
                         LrTime now, const LrLoadReport *report,
                         LrTime typical);
/* The target refused a request without running it. */
void LrTargets_OnShed(LrTargets *router, LrTarget *target, LrTime now);
void LrTargets_OnFailure(LrTargets *router, LrTarget *target, LrTime now);
void LrTargets_MarkLeaving(LrTargets *router, LrTarget *target,
                           LrLeavingSource sign, LrTime now);
void LrTargets_ClearLeaving(LrTargets *router, LrTarget *target,
                            LrLeavingSource sign);
bool LrTargets_IsLeaving(const LrTarget *target, LrTime now);
/* The target said that it does not serve a version; believed for a while. */
void LrTargets_MarkVersionMissing(LrTargets *router, LrTarget *target,
                                  int64_t version, LrTime now);
/* Another target has the address: nothing is sent there for a while. */
void LrTargets_MarkMisdirected(LrTargets *router, LrTarget *target,
                               LrTime now);
/* The target named the range of versions that it serves. */
void LrTargets_SetVersions(LrTargets *router, LrTarget *target, int64_t oldest,
                           int64_t newest);
bool LrTargets_ServesVersion(const LrTarget *target, int64_t version,
                             LrTime now);
/* Forgets reports and ejections that a gap in the clock made worthless. */
void LrTargets_OnLateWakeup(LrTargets *router, LrTime now);

/* loans.c: lending of a fleet-wide limit between daemons. */
#define LR_LOAN_LEASE (2 * LR_SECOND)
enum { LR_MAX_LOANS = 32 };

typedef struct {
    int64_t amount;
    LrTime expires_at;
} LrLoan;

/* Zeroed at first. */
typedef struct {
    LrLoan lent[LR_MAX_LOANS];
    LrLoan borrowed[LR_MAX_LOANS];
} LrLoans;

/* What this daemon may use now, of a part that is its own. */
int64_t LrLoans_EffectiveQuota(LrLoans *lend, int64_t part, LrTime now);
/* Lends some of what is spare; returns the amount, 0 for none. */
int64_t LrLoans_Lend(LrLoans *lend, int64_t part, int64_t used, int64_t wanted,
                     LrTime now);
/* Takes up a loan; false when its lease, counted from the time of asking, is
 * over. */
bool LrLoans_Borrow(LrLoans *lend, int64_t amount, LrTime asked_at,
                    LrTime now);

/* subset.c: which daemons talk to which shards. */
typedef struct {
    LrStr name;
    LrStr zone;
    /* Peer IP:port. */
    LrStr address;
    /* Share of a processor. */
    double speed;
} LrPeerSpec;

/* Number of daemons that may connect to a target with so many connections,
 * when each uses so many links. */
size_t LrSubset_DaemonsPerTarget(uint32_t connections, uint32_t links,
                                 size_t n_daemons);
/* Connections that each of so many daemons may have to a target; all of
 * them when the fleet is not known. */
uint32_t LrSubset_ConnectionsPerDaemon(uint32_t connections, size_t n_daemons);
/* Replicas of a group that each daemon uses while they are well, when so
 * many daemons share targets of so many connections. */
size_t LrSubset_ReplicasPerDaemon(uint32_t connections, size_t n_replicas,
                                  size_t n_daemons);
/* Rank of a replica for a daemon: lower goes first. Spreads the daemons
 * evenly over the replicas of a group. */
uint64_t LrSubset_ReplicaRank(LrStr daemon, LrStr target);
/* Bundle that a group of a map belongs to. */
size_t LrSubset_ShardRange(size_t group);
/* Fills chosen with the indices of size daemons for a bundle. */
void LrSubset_ChooseDaemons(const LrPeerSpec *daemons, size_t n_daemons,
                            LrStr service, const LrShardMapSpec *map,
                            size_t bundle, size_t size, size_t *chosen);

/* The fleet as a view sees it; without daemons every shard is direct. */
typedef struct {
    LrStr self;
    const LrPeerSpec *daemons;
    size_t n_daemons;
    uint32_t connections_per_daemon;
    /* Daemons that a target's connections are divided by, where every daemon
     * talks to every target. */
    size_t limit_divisor;
    /* Every daemon talks to every target. */
    bool full_mesh;
} LrTopology;

/* view.c: the catalogue in force, resolved to targets. */
typedef struct LrService LrService;
typedef struct LrMap LrMap;
typedef struct LrEntry LrEntry;
typedef struct LrView LrView;

/* State of a shard that outlives a catalogue edit. */
typedef struct {
    LrRetryBudget budget;
} LrGroupState;

struct LrGroup {
    LrStr name;
    LrMap *map;
    LrGroupState *state;
    /* Searchers; where relayed, daemons that talk to them. */
    LrTarget **replicas;
    size_t n_replicas;
    bool relayed;
    struct LrQueryPartList waiting[LR_CLASS_COUNT];
    uint32_t n_waiting;
};

struct LrMap {
    int64_t version;
    LrService *service;
    LrGroup *groups;
    size_t n_groups;
};

/* State of a service that outlives a catalogue edit. */
typedef struct {
    LrLatencyHistogram *attempt_latency;
    LrLatencyHistogram *answer_latency;
    struct LrQueryList queued[LR_CLASS_COUNT];
    uint32_t n_queued;
    /* Parts that wait for a place at a target, over all groups. */
    uint32_t n_waiting;
    uint32_t urgent_running;
    /* Smoothed number of urgent requests that run at once. */
    double urgent_mean;
    LrTime urgent_mean_at;
    bool dirty;
} LrServiceState;

struct LrService {
    LrStr name;
    LrServiceState *state;
    LrMap *maps;
    size_t n_maps;
};

/* State of an entry that outlives a catalogue edit. */
typedef struct {
    uint32_t running;
    LrTokenBucket rate;
    LrLoans concurrency_loans;
    LrLoans rate_loans;
    /* Refused for want of a limit since it was last asked for. */
    bool wants_loan;
    LrTime loan_asked_at;
    /* Requests of the last seconds; older ones count less. */
    double recent_requests;
    LrTime recent_requests_at;
} LrEntryState;

struct LrEntry {
    const LrEntrySpec *spec;
    LrService *service;
    LrEntryState *state;
};

struct LrView {
    LrCatalogue *catalogue;
    LrTargets *targets;
    LrService *services;
    size_t n_services;
    LrEntry *entries;
    size_t n_entries;
    GHashTable *entry_by_name;
    size_t n_relayed;
    int refs;
};

/* Keeps the states that outlive one view. */
typedef struct LrStates LrStates;

LrStates *LrStates_New(void);
void LrStates_Free(LrStates *states);
LrView *LrView_New(LrCatalogue *catalogue, LrTargets *router, LrStates *states,
                   const LrTopology *topology, LrTime now);
/* Shards that the view reaches through other daemons. */
size_t LrView_RelayedShards(const LrView *view);
LrView *LrView_Ref(LrView *view);
void LrView_Unref(LrView *view);
LrEntry *LrView_LookupEntry(LrView *view, LrStr name);
/* Policy common: the map that the largest share of replicas serves in its
 * worst group, the newest of equals. Policy newest: the newest map that
 * every group serves. When no map is served by every group, the one that
 * the fewest groups lack. skip: a version not to be chosen, 0 for none. */
LrMap *LrView_PickMap(const LrService *service, LrSnapshotPolicy policy,
                      int64_t skip, LrTime now);
LrMap *LrView_LookupMap(const LrService *service, int64_t version);

/* quota.c: one daemon's part of a limit that holds over the fleet. */
typedef struct {
    unsigned rank;
    unsigned count;
    unsigned pending_rank;
    unsigned pending_count;
    LrTime pending_since;
} LrQuota;

void LrQuota_Init(LrQuota *share);
/* Takes a smaller part at once, a larger one after every other daemon must
 * have seen the same fleet. */
void LrQuota_Update(LrQuota *share, LrTime now, unsigned rank, unsigned count);
/* Part of a whole limit; the parts of all ranks add up to the limit. */
int64_t LrQuota_Of(const LrQuota *share, int64_t limit);

/* quarantine.c: requests that crash targets. */
typedef struct LrQuarantine LrQuarantine;

typedef enum {
    LR_REQUEST_CLEAR,
    LR_REQUEST_SUSPECT,
    LR_REQUEST_QUARANTINED,
} LrRequestStatus;

LrQuarantine *LrQuarantine_New(void);
void LrQuarantine_Free(LrQuarantine *quarantine);
uint64_t LrQuarantine_Fingerprint(LrStr entry, LrStr body);
LrRequestStatus LrQuarantine_Check(LrQuarantine *quarantine,
                                   uint64_t fingerprint, LrTime now);
/* Who else was in flight when a target died. */
typedef enum {
    /* Other requests that may be to blame as well. */
    LR_CRASH_WITH_SUSPECTS,
    /* Requests that no other target died of, but no other suspect. */
    LR_CRASH_WITH_OTHERS,
    LR_CRASH_ALONE,
} LrCrashContext;

/* Records that a target died with the request in flight. */
LrRequestStatus LrQuarantine_RecordCrash(LrQuarantine *quarantine,
                                         uint64_t fingerprint, uint32_t target,
                                         LrCrashContext company, LrTime now);
/* A target answered the request: it is no suspect. */
void LrQuarantine_Clear(LrQuarantine *quarantine, uint64_t fingerprint);
/* Condemns by another daemon's word until a time. */
void LrQuarantine_Add(LrQuarantine *quarantine, uint64_t fingerprint,
                      LrTime until);
size_t LrQuarantine_Count(const LrQuarantine *quarantine);
void LrQuarantine_Each(LrQuarantine *quarantine,
                       void (*func)(void *data, uint64_t fingerprint,
                                    bool condemned, LrTime until),
                       void *data);

/* ledger.c: idempotency keys and what became of their requests. */
typedef struct LrLedger LrLedger;
typedef struct LrLedgerRow LrLedgerRow;

typedef enum {
    LR_CLAIM_RUN,
    LR_CLAIM_WAIT,
    LR_CLAIM_REPLAY,
    LR_CLAIM_CONFLICT,
    LR_CLAIM_FULL,
} LrClaim;

struct LrLedgerRow {
    LrStr key;
    uint64_t fingerprint;
    LrTime expires_at;
    bool finished;
    bool not_run;
    int status;
    LrOutcome outcome;
    GBytes *answer;
    GPtrArray *waiters;
};

LrLedger *LrLedger_New(size_t slots);
void LrLedger_Free(LrLedger *ledger);
/* Claims a key for one run. On RUN the caller runs the request and then
 * calls Finish; on WAIT it adds itself to the row's waiters. */
LrClaim LrLedger_Claim(LrLedger *ledger, LrStr key, uint64_t fingerprint,
                       LrTime now, LrTime expires_at, LrLedgerRow **row);
/* Stores the answer. A request that did not run frees its key for another
 * try, after its waiters were told. */
void LrLedger_Finish(LrLedger *ledger, LrLedgerRow *row, LrOutcome outcome,
                     int status, GBytes *answer);
size_t LrLedger_Count(const LrLedger *ledger);
/* Whether a request of a remembered key still runs. */
bool LrLedger_HasRunning(const LrLedger *ledger);
void LrLedger_Each(const LrLedger *ledger,
                   void (*func)(void *data, const LrLedgerRow *row),
                   void *data);

/* idempotency_key.c: issued idempotency keys, which name their coordinator. */
typedef struct {
    LrStr host;
    int64_t incarnation;
    int64_t expires_ms;
    uint64_t nonce;
} LrIdempotencyKey;

/* Text of a key, to be freed with g_free. expires_ms: wall clock. */
char *LrIdempotencyKey_Format(const LrIdempotencyKey *key);
/* Members of the result borrow from text. */
bool LrIdempotencyKey_Parse(LrStr text, LrIdempotencyKey *key);

/* member.c: the daemons of the fleet and what is believed of each. */
typedef struct LrMembers LrMembers;

typedef struct {
    LrStr name;
    LrStr zone;
    LrStr address;
    double speed;
    int64_t incarnation;
    int64_t serial;
    LrMemberState state;
    LrTime state_since;
    bool listed;
    bool picked;
    unsigned transmits_left;
} LrMember;

typedef struct {
    LrStr name;
    LrStr zone;
    /* Peer IP:port of this daemon. */
    LrStr address;
    /* Share of a processor that this daemon has. */
    double speed;
    int64_t incarnation;
    LrTime probe_interval;
    /* Peer addresses to join by, joined by commas; borrowed. Empty where a
     * host list names the members. */
    LrStr seeds;
    LrRandom *random;
    LrLog *log;
    LrCounters *counters;
    /* Sends a message to a peer; it may get lost. */
    void (*send)(void *data, LrStr address, const LrProbeMsg *message);
    void *data;
} LrMembersConfig;

LrMembers *LrMembers_New(const LrMembersConfig *config, LrTime now);
void LrMembers_Free(LrMembers *members);
void LrMembers_OnHosts(LrMembers *members, const LrHostList *list, LrTime now);
void LrMembers_OnProbe(LrMembers *members, const LrProbeMsg *message,
                       LrTime now);
/* To be called once an interval: sends one probe. */
void LrMembers_Tick(LrMembers *members, LrTime now);
/* This daemon is stopping. */
void LrMembers_Leave(LrMembers *members, LrTime now);
/* What probes say of the catalogue in force here. */
void LrMembers_SetCatalogue(LrMembers *members, int64_t revision,
                            uint64_t digest);
/* Probes every member of the own zone, beside the probe of the interval. */
void LrMembers_ProbeZone(LrMembers *members);
LrMember *LrMembers_Lookup(LrMembers *members, LrStr name);
size_t LrMembers_Count(const LrMembers *members);
LrMember *LrMembers_Get(const LrMembers *members, size_t index);
/* How long a suspect has to refute. */
LrTime LrMembers_SuspicionTimeout(const LrMembers *members);
/* Rank of this daemon among the usable ones of its zone, from 0. */
unsigned LrMembers_ZoneRank(const LrMembers *members);
/* Rank of this daemon among all that may be running, and their number. */
unsigned LrMembers_FleetRank(const LrMembers *members, unsigned *count);

/* leaving_targets.c: targets that the host list calls leaving. */
#define LR_LEAVING_TTL (20 * LR_SECOND)
typedef struct LrLeavingTargets LrLeavingTargets;

LrLeavingTargets *LrLeavingTargets_New(void);
void LrLeavingTargets_Free(LrLeavingTargets *leaving);
void LrLeavingTargets_Add(LrLeavingTargets *leaving, LrStr address,
                          LrTime until);
/* Forgets all, before a new list is noted. */
void LrLeavingTargets_Clear(LrLeavingTargets *leaving);
/* Takes the next few in turn, to be spread; the addresses are borrowed. */
size_t LrLeavingTargets_NextBatch(LrLeavingTargets *leaving, LrTime now,
                                  LrLeavingTargetMsg *out, size_t most);

/* engine.c: the queries of one daemon. Events go in, actions come out. */
typedef struct LrEngine LrEngine;

typedef struct {
    LrStr zone;
    uint64_t seed;
    double hedge_share;
    double retry_share;
    /* Budget of repeats a service, over the fleet; ratio 0 for the shares
     * above. */
    LrRetryBudgetRule budget;
    /* A part is hedged after so many medians; 0 to hedge by quantile. */
    double hedge_medians;
    /* Kept of a soft deadline for the way back to the caller. */
    LrTime answer_margin;
    /* No shard is reached by way of other daemons. */
    bool direct;
    /* A broken connection is taken for a death only where the next one to the
     * target cannot be set up. */
    bool confirm_crashes;
    /* Withdrawn attempts go on to count at their target until the edge tells
     * how they ended. */
    bool track_cancelled;
    /* Daemons that the budget is divided by at the least: a host that starts
     * again, or does not know its peers yet, must not spend for all. */
    int64_t budget_daemons;
    const LrSelectionPolicy *policy;
    LrCounters *counters;
    LrLog *log;
} LrEngineConfig;

typedef struct {
    LrStr entry;
    GBytes *body;
    bool single_shard;
    LrStr routing_key;
    LrStr key;
    LrTime timeout;
    /* What else tells the request from others, for the quarantine. */
    LrStr fingerprint_extra;
    /* One shard of a version, asked by another daemon, which admitted the
     * request. It is never relayed again. */
    LrStr shard;
    int64_t version;
    /* Time that passed before, of what the entry's deadlines allow. */
    LrTime elapsed;
    void *data;
} LrRequest;

/* One shard of an answer. */
typedef struct {
    LrStr shard;
    LrStr target;
    LrReason reason;
    /* Opaque to the engine; NULL when the contract gives none. */
    GBytes *head;
    GBytes *body;
} LrAnswerPart;

typedef struct {
    LrOutcome outcome;
    LrReason reason;
    int64_t version;
    size_t n_parts;
    size_t n_answered;
    LrAnswerPart *parts;
    LrTime arrived_at;
    LrTrafficClass klass;
    void *data;
    LrView *view;
} LrAnswer;

typedef struct {
    LrReplyStatus status;
    /* Why, with status failed. */
    LrReason reason;
    int64_t version;
    /* Index versions that the target serves; 0 when not said. */
    int64_t oldest;
    int64_t newest;
    bool draining;
    LrLoadReport load;
    /* Opaque to the engine; kept with the body. */
    GBytes *head;
    GBytes *body;
} LrReply;

typedef enum {
    LR_ACTION_SEND,
    LR_ACTION_CANCEL,
    LR_ACTION_ANSWER,
} LrActionKind;

/* What the edge has to do. Pointers are valid until the next event; the
 * answer belongs to the receiver. */
typedef struct {
    LrActionKind kind;
    uint64_t attempt;
    LrTarget *target;
    LrStr service;
    LrStr entry;
    LrStr shard;
    LrStr key;
    int64_t version;
    LrTime deadline;
    LrTrafficClass klass;
    GBytes *body;
    /* Of the request that the attempt belongs to. */
    void *data;
    /* Why the attempt is made: first, retry or hedge. */
    const char *attempt_kind;
    LrAnswer *answer;
} LrAction;

LrEngine *LrEngine_New(const LrEngineConfig *config);
void LrEngine_Free(LrEngine *engine);
/* Puts a catalogue in force; running queries end on the former one. */
void LrEngine_SetCatalogue(LrEngine *engine, LrTime now,
                           LrCatalogue *catalogue);
/* Tells the daemons of the fleet, this one included, in order of their
 * names; the specs are copied. */
void LrEngine_SetPeers(LrEngine *engine, LrTime now, LrStr self,
                       const LrPeerSpec *daemons, size_t n_daemons,
                       uint32_t links);
/* Daemons that share what is limited over the fleet, as this one has to
 * reckon: connections to targets where every daemon talks to every target,
 * and the budget of repeats. 0 for all that LrEngine_SetPeers and
 * LrEngine_SetQuota name. */
void LrEngine_SetLimitDivisor(LrEngine *engine, LrTime now, double sharers);
LrView *LrEngine_View(LrEngine *engine);
LrTargets *LrEngine_Targets(LrEngine *engine);
LrQuarantine *LrEngine_Quarantine(LrEngine *engine);
LrRandom *LrEngine_Random(LrEngine *engine);
/* Starts a request; its answer comes as an action. Returns an id for
 * LrEngine_Cancel. */
uint64_t LrEngine_Submit(LrEngine *engine, LrTime now,
                         const LrRequest *request);
/* The caller went away: stops all work of the request; no answer comes.
 * False when the request had ended. */
bool LrEngine_Cancel(LrEngine *engine, LrTime now, uint64_t id);
void LrEngine_OnReply(LrEngine *engine, LrTime now, uint64_t attempt,
                      const LrReply *reply);
/* Fires timers and notices gaps in the clock; call it first after every
 * wake-up. */
void LrEngine_Advance(LrEngine *engine, LrTime now);
LrTime LrEngine_NextTimer(const LrEngine *engine);
bool LrEngine_NextAction(LrEngine *engine, LrAction *action);
size_t LrEngine_QueryCount(const LrEngine *engine);
/* Share, 0 to 1, of recent requests whose entries have too few targets now to
 * make an answer. */
double LrEngine_UnservedShare(LrEngine *engine, LrTime now);
/* This daemon's part of the limits that hold over the fleet: its rank among
 * the daemons and their number. A larger part is taken up late. */
void LrEngine_SetQuota(LrEngine *engine, LrTime now, unsigned rank,
                       unsigned count);
/* Calls func for each entry that was refused requests by its limits and has
 * not asked for a loan within a quarter of a lease. */
void LrEngine_EachLoanRequest(LrEngine *engine, LrTime now,
                              void (*func)(void *data, const LrEntrySpec *spec,
                                           LrTime asked_at),
                              void *data);
/* A peer asks for some of this daemon's part; fills what is lent. */
void LrEngine_Lend(LrEngine *engine, LrTime now, const LrLoanRequestMsg *ask,
                   LrLoanMsg *loan);
/* A peer lent. */
void LrEngine_TakeLoan(LrEngine *engine, LrTime now, const LrLoanMsg *loan);
/* Refuses new requests with reason stopping. */
void LrEngine_Stop(LrEngine *engine);
/* Another margin that soft deadlines keep for the way back to the caller, for
 * requests from now on. */
void LrEngine_SetAnswerMargin(LrEngine *engine, LrTime margin);
/* Another budget of repeats. */
void LrEngine_SetBudget(LrEngine *engine, const LrRetryBudgetRule *budget);
void LrAnswer_Free(LrAnswer *answer);

/* clock.c: monotonic and wall clocks. */
LrTime LrClock_Now(void);
/* Wall clock, milliseconds since 1970. */
int64_t LrClock_WallMs(void);

/* server.c: an HTTP/1.1 server on a libev loop. */
typedef struct LrServer LrServer;
typedef struct LrExchange LrExchange;

typedef struct {
    /* A complete request was read; to be answered with LrExchange_Reply, now
     * or later. */
    void (*request)(void *data, LrExchange *exchange);
    /* The client disconnected before the reply. The exchange is invalid after
     * this call. */
    void (*caller_gone)(void *data, LrExchange *exchange);
    void *data;
} LrServerHandler;

typedef struct {
    struct ev_loop *loop;
    LrStr address;
    size_t max_body_bytes;
    unsigned max_connections;
    unsigned idle_timeout_s;
    LrServerHandler handler;
} LrServerConfig;

LrServer *LrServer_New(const LrServerConfig *config, GError **error);
/* Stops listening; open exchanges continue. */
void LrServer_Quiesce(LrServer *server);
/* Closes every connection. */
void LrServer_Free(LrServer *server);
size_t LrServer_CountExchanges(const LrServer *server);
LrStr LrExchange_Method(const LrExchange *exchange);
LrStr LrExchange_Path(const LrExchange *exchange);
/* Value of a header or query argument; empty when absent. */
LrStr LrExchange_Header(LrExchange *exchange, const char *name);
LrStr LrExchange_Argument(LrExchange *exchange, const char *name);
GBytes *LrExchange_Body(const LrExchange *exchange);
void LrExchange_SetData(LrExchange *exchange, void *data);
void *LrExchange_Data(const LrExchange *exchange);
/* Adds a header to the exchange's reply. */
void LrExchange_AddHeader(LrExchange *exchange, const char *name,
                          const char *value);
/* Sends the reply and takes ownership of body. The exchange is invalid
 * afterwards. */
void LrExchange_Reply(LrExchange *exchange, unsigned status,
                      const char *content_type, GBytes *body);
/* Ends the exchange without a reply and closes its connection. */
void LrExchange_Drop(LrExchange *exchange);

/* client.c: HTTP/1.1 requests on a libev loop. */
typedef struct LrClient LrClient;
typedef struct LrTransfer LrTransfer;

typedef enum {
    LR_TRANSFER_OK,
    /* No byte of the request was written to a connection. */
    LR_TRANSFER_NOT_SENT,
    LR_TRANSFER_BROKEN,
    LR_TRANSFER_TIMEOUT,
    LR_TRANSFER_TOO_LARGE,
} LrTransferEnd;

typedef struct {
    LrTransferEnd end;
    unsigned status;
    GBytes *body;
    LrTransfer *transfer;
} LrTransferResult;

typedef void (*LrTransferFunc)(void *data, const LrTransferResult *result);

typedef struct {
    const char *url;
    bool post;
    const char *const *headers;
    size_t n_headers;
    GBytes *body;
    LrTime timeout;
    /* 0 when only timeout limits it. */
    LrTime connect_timeout;
    LrTransferFunc done;
    void *data;
} LrTransferSpec;

LrClient *LrClient_New(struct ev_loop *loop, unsigned max_per_host,
                       size_t max_body_bytes);
void LrClient_Free(LrClient *client);
/* Starts a transfer; done is called once, never from within this call. */
LrTransfer *LrClient_Send(LrClient *client, const LrTransferSpec *spec);
/* Aborts a transfer; done is not called. */
void LrTransfer_Cancel(LrTransfer *transfer);
/* Header of the response, valid until done returns; empty when absent. */
LrStr LrTransfer_Header(LrTransfer *transfer, const char *name);

/* target_protocol.c: the contract with targets, as a table of functions. */
typedef struct {
    const char *name;
    char *(*url)(const LrAction *action);
    /* Fills NULL-terminated headers, to be freed with g_strfreev. */
    char **(*headers)(const LrAction *action, LrTime now);
    char *(*cancel_url)(LrStr address, uint64_t attempt);
    /* Judges a result; the body of the reply is borrowed. */
    void (*classify_response)(const LrTransferResult *result, uint64_t attempt,
                              LrReply *reply);
} LrTargetProtocol;

extern const LrTargetProtocol LrTargetProtocol_Http;

/* answer.c: answers to callers. */
unsigned LrAnswer_Status(const LrAnswer *answer);
/* JSON text of an answer. */
GBytes *LrAnswer_ToJson(const LrAnswer *answer);
/* JSON text of a refusal that never reached the engine. */
GBytes *LrAnswer_RefusalJson(LrOutcome outcome, LrReason reason,
                             const char *hint);
unsigned LrAnswer_RefusalStatus(LrOutcome outcome, LrReason reason);

/* peer.c: links between daemons. */
typedef struct LrPeers LrPeers;

typedef struct {
    struct ev_loop *loop;
    LrStr listen;
    LrStr name;
    int64_t incarnation;
    LrLog *log;
    LrCounters *counters;
    /* A frame came; false closes the link. */
    bool (*on_message)(void *data, LrStr frame);
    /* The link to an address was lost, with what was not sent yet. */
    void (*on_disconnect)(void *data, LrStr address);
    void *data;
} LrPeersConfig;

LrPeers *LrPeers_New(const LrPeersConfig *config, GError **error);
void LrPeers_Free(LrPeers *peers);
/* Sends a message, opening a link when there is none; false when it cannot
 * be sent. */
bool LrPeers_Send(LrPeers *peers, LrStr address, const LrObjectSpec *spec,
                  const void *message);
/* Open links, in both directions. */
size_t LrPeers_Count(const LrPeers *peers);

/* config_watcher.c: reader of the configuration service and the host list. */
typedef struct LrConfigWatcher LrConfigWatcher;

typedef struct {
    struct ev_loop *loop;
    LrClient *client;
    LrLog *log;
    LrCounters *counters;
    LrRandom *random;
    LrStr config_url;
    LrStr hosts_url;
    LrTime long_poll_time;
    LrTime retry_delay;
    /* Is offered what the service holds. */
    struct LrActiveCatalogue *active_catalogue;
    void (*on_host_list)(void *data, const LrHostList *list);
    void *data;
} LrConfigWatcherConfig;

LrConfigWatcher *LrConfigWatcher_New(const LrConfigWatcherConfig *config);
void LrConfigWatcher_Free(LrConfigWatcher *watch);
/* Whether to read the configuration service and the host list. */
void LrConfigWatcher_SetReading(LrConfigWatcher *watch, bool reading);
/* Last time that the configuration service answered; 0 for never. */
LrTime LrConfigWatcher_LastSuccessAt(const LrConfigWatcher *watch);
/* Members for the state dump. */
struct json_t *LrConfigWatcher_Dump(const LrConfigWatcher *watch);

/* daemon.c: one daemon of the query tier. */
typedef struct LrDaemon LrDaemon;
typedef struct LrDeployment LrDeployment;

/* deployment selects the protocols towards callers, targets and the
 * configuration service; it must outlive the daemon. */
LrDaemon *LrDaemon_New(struct ev_loop *loop, const LrSettings *settings,
                       const LrDeployment *deployment, LrLog *log,
                       GError **error);
/* Applies the settings that can change at run time; the others are ignored. */
void LrDaemon_Reload(LrDaemon *daemon, const LrSettings *settings);
void LrDaemon_Free(LrDaemon *daemon);
/* Begins a graceful shutdown; the event loop ends when all work is finished or
 * stop_limit_ms has passed. */
void LrDaemon_Stop(LrDaemon *daemon);
/* State as JSON text, to be freed with g_free. */
char *LrDaemon_Dump(LrDaemon *daemon);

#ifdef __cplusplus
}
#endif

#endif
