/* Public interface of liblavenderrail. Decision modules do no I/O and take the
 * current time as an argument; I/O modules own sockets on a libev loop.
 * Declarations are grouped by source file. */
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

/* Monotonic time or duration in nanoseconds. The time of an event that has not
 * happened is 0; a deadline that never comes is LR_NEVER. */
typedef int64_t LrTime;

#define LR_MICROSECOND ((LrTime)1000)
#define LR_MILLISECOND ((LrTime)1000000)
#define LR_SECOND ((LrTime)1000000000)
#define LR_NEVER INT64_MAX

/* glibc's sys/queue.h lacks this iteration, in which var may be removed. */
#ifndef TAILQ_FOREACH_SAFE
#define TAILQ_FOREACH_SAFE(var, head, field, tvar) \
    for ((var) = TAILQ_FIRST((head));              \
         (var) && ((tvar) = TAILQ_NEXT((var), field), 1); (var) = (tvar))
#endif

struct ev_loop;
struct json_t;
struct MHD_Daemon;

/* str.c: strings with a length, which need no terminating NUL. An LrStr
 * borrows its bytes. */
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
/* A NUL-terminated copy, to be freed with g_free. */
char *LrStr_Dup(LrStr text);
/* The same; its ptr is to be freed. */
LrStr LrStr_Copy(LrStr text);
uint64_t LrStr_Hash(LrStr text, uint64_t seed);
/* GHashTable functions for keys of type LrStr *. */
guint LrStr_TableHash(gconstpointer key);
gboolean LrStr_TableEqual(gconstpointer a, gconstpointer b);
/* Removes the first item from a comma-separated list; false at its end. The
 * item borrows from the list. */
bool LrStr_NextListItem(LrStr *rest, LrStr *item);
/* Parses a decimal integer; false when the text is anything else. */
bool LrStr_ToInt(LrStr text, int64_t *out);
/* Parses a finite decimal number; false when the text is anything else. */
bool LrStr_ToReal(LrStr text, double *out);
/* Parses "IP:port" (IPv4 or [IPv6]); false when it is anything else, such as a
 * host name. */
bool LrStr_ToAddress(LrStr text, char *host, size_t host_size, uint16_t *port);

/* error.c: the GError domain and the list of faults found in a document. */
#define LR_ERROR (LrError_Quark())
typedef enum {
    LR_ERROR_ADDRESS,
    LR_ERROR_SOCKET,
    LR_ERROR_PROTOCOL,
} LrErrorCode;

/* One fault of a document: where it is, what is wrong and how to mend it. The
 * strings are owned. */
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
/* All faults, one per line, to be freed with g_free. */
char *LrFaults_ToText(const LrFaults *faults);

/* arena.c: arena allocator, whose blocks are freed together. */
typedef struct LrArena LrArena;

LrArena *LrArena_New(void);
void LrArena_Free(LrArena *arena);
/* Zeroed memory owned by the arena. */
void *LrArena_Alloc(LrArena *arena, size_t size);
LrStr LrArena_Copy(LrArena *arena, LrStr text);

/* record.c, record_json.c, record_msgpack.c: records, which are structs
 * described by generated tables, and their codecs. */
typedef enum {
    LR_FIELD_STR,
    LR_FIELD_INT,
    LR_FIELD_REAL,
    LR_FIELD_BOOL,
    LR_FIELD_ENUM,
    LR_FIELD_LIST,
} LrFieldKind;

typedef struct LrRecordDescriptor LrRecordDescriptor;

typedef struct {
    const char *name;
    LrFieldKind kind;
    size_t offset;
    /* Offset of the number of items, for a list. */
    size_t count_offset;
    bool required;
    /* Range of a number; both 0 for no limits. */
    double min;
    double max;
    /* Default of a number, bool or enum, and of a string. */
    double fallback;
    const char *fallback_str;
    /* Names of the values of an enum, ended by NULL. */
    const char *const *choices;
    /* Of an enum: later builds may send choices that this one does not know;
     * they are read as the default. */
    bool open;
    /* Type of the items of a list. */
    const LrRecordDescriptor *object;
    /* What a valid value is, for --help and fault reports. */
    const char *hint;
} LrFieldDescriptor;

struct LrRecordDescriptor {
    const char *name;
    size_t size;
    int tag;
    const LrFieldDescriptor *fields;
    size_t n_fields;
};

/* Sets every field to its default. */
void LrRecord_Init(const LrRecordDescriptor *spec, void *record);
/* Sets one scalar field from the text of an option or variable. */
bool LrRecord_ParseField(const LrFieldDescriptor *field, void *record,
                         LrStr text, const char *path, LrFaults *faults);
/* Parses JSON text; NULL with a fault when it is invalid. */
struct json_t *LrRecord_ParseJson(LrStr text, LrFaults *faults);
/* Fills a record from a JSON object; reports every fault. Strings borrow from
 * json. */
bool LrRecord_ReadJson(const LrRecordDescriptor *spec,
                       const struct json_t *json, void *record, LrArena *arena,
                       const char *path, LrFaults *faults);
struct json_t *LrRecord_WriteJson(const LrRecordDescriptor *spec,
                                  const void *record);
/* Appends the msgpack array [tag, field...] to out. */
void LrRecord_Pack(const LrRecordDescriptor *spec, const void *record,
                   GByteArray *out);
/* Tag of a packed message; -1 when the data is not a valid message. */
int LrRecord_PeekTag(LrStr data);
/* Unpacks a message; strings are copied into the arena. For compatibility
 * between versions, extra fields at the end are ignored, and optional fields
 * that are absent take their defaults. */
bool LrRecord_Unpack(const LrRecordDescriptor *spec, LrStr data, void *record,
                     LrArena *arena, GError **error);

/* log.c: one line of key=value pairs per event, with a syslog priority. */
typedef struct LrLog LrLog;

typedef struct {
    const char *key;
    LrStr text;
    int64_t number;
    bool is_number;
    bool is_hex;
} LrLogField;

LrLog *LrLog_New(FILE *file, int level);
void LrLog_Free(LrLog *log);
/* Limits the rate of lines about single requests (LOG_INFO and less urgent)
 * and makes the log non-blocking: lines are buffered until LrLog_Flush, and
 * dropped when the buffer is full. The numbers of lines that the limit
 * suppressed and that were dropped are logged. */
void LrLog_SetRateLimit(LrLog *log, double lines_per_second);
/* Begins each line with the time and the host name, which is borrowed. */
void LrLog_SetHost(LrLog *log, LrStr host);
/* Writes buffered lines as far as that does not block. */
void LrLog_Flush(LrLog *log);
LrLogField LrLog_Str(const char *key, LrStr value);
LrLogField LrLog_CStr(const char *key, const char *value);
LrLogField LrLog_Int(const char *key, int64_t value);
/* 16 hexadecimal digits, as fingerprints are shown everywhere. */
LrLogField LrLog_Hex(const char *key, uint64_t value);
void LrLog_Write(LrLog *log, int priority, const char *event,
                 const LrLogField *fields, size_t n_fields);
/* Writes "<priority>event=... key=value ..."; does nothing if log is NULL. */
#define LR_LOG(log, priority, event, ...)                      \
    do {                                                       \
        const LrLogField lr_log_fields[] = {__VA_ARGS__};      \
        LrLog_Write((log), (priority), (event), lr_log_fields, \
                    G_N_ELEMENTS(lr_log_fields));              \
    } while (0)

/* Limits the lines about an event that a crowd can cause. */
typedef struct {
    uint64_t n_unreported;
    LrTime reported_at;
} LrLogLimit;

/* Counts an event. Returns the events since the last line if another line is
 * due, at most once a second, and otherwise 0. */
uint64_t LrLogLimit_Count(LrLogLimit *limit, LrTime now);

/* latency_histogram.c: recent latencies as a histogram on a log scale. */
typedef struct LrLatencyHistogram LrLatencyHistogram;

LrLatencyHistogram *LrLatencyHistogram_New(void);
void LrLatencyHistogram_Free(LrLatencyHistogram *histogram);
void LrLatencyHistogram_Add(LrLatencyHistogram *histogram, LrTime value);
/* Value at a quantile of the recent samples; fallback while there are too
 * few. */
LrTime LrLatencyHistogram_Quantile(LrLatencyHistogram *histogram,
                                   double quantile, LrTime fallback);
/* Number of samples ever added. */
uint64_t LrLatencyHistogram_Count(const LrLatencyHistogram *histogram);
/* Cumulative count of samples at or below a bound, for exposition. */
uint64_t LrLatencyHistogram_CountBelow(const LrLatencyHistogram *histogram,
                                       LrTime bound);
LrTime LrLatencyHistogram_Sum(const LrLatencyHistogram *histogram);

#include "gen/records.h"

/* counter.c: counters and latency histograms of a process. */
typedef struct {
    uint64_t values[LR_COUNT_COUNT];
    LrLatencyHistogram *answer_latency[LR_CLASS_COUNT];
    LrLatencyHistogram *attempt_latency;
} LrCounters;

LrCounters *LrCounters_New(void);
void LrCounters_Free(LrCounters *counters);
void LrCounters_Add(LrCounters *counters, LrCounterId id, uint64_t amount);
/* Exposition in the Prometheus text format, to be freed with g_free. */
char *LrCounters_ToText(LrCounters *counters);

/* settings.c: settings of a daemon. In order of precedence: command-line
 * options, environment variables, the settings file of OPTION=VALUE lines,
 * defaults. */
typedef struct {
    int argc;
    char **argv;
    /* Settings file when --settings is not given; NULL for none. */
    const char *file;
} LrSettingsSource;

/* Loads the settings; true when the daemon is to run with them. False when the
 * program is to exit with *exit_status: 0 after --help, --version or a
 * successful --check-settings, 2 after invalid settings, whose faults were
 * printed one per line. */
/* Bytes that a value of the configuration service may have. */
size_t LrSettings_MaxValueBytes(const LrSettings *settings);
bool LrSettings_Load(LrSettings *settings, LrArena *arena,
                     const LrSettingsSource *source, int *exit_status);

/* catalogue.c: validated catalogues, immutable and reference-counted. */
typedef struct LrCatalogue LrCatalogue;

struct LrCatalogue {
    LrCatalogueSpec spec;
    char *text;
    size_t text_len;
    struct json_t *json;
    LrArena *arena;
    /* Set by LrCatalogue_Attach; freed with the catalogue. */
    void *attached;
    GDestroyNotify free_attached;
    int refs;
};

/* Parses and validates. If there are faults, reports all and returns NULL. */
LrCatalogue *LrCatalogue_Parse(LrStr text, LrFaults *faults);
/* Makes a catalogue of a spec that was built in memory, without validation.
 * Takes ownership of the arena that holds the spec. */
LrCatalogue *LrCatalogue_FromSpec(const LrCatalogueSpec *spec, LrArena *arena);
/* Attaches the data that the catalogue was built from, to be freed with it. */
void LrCatalogue_Attach(LrCatalogue *catalogue, void *data,
                        GDestroyNotify free_data);
LrCatalogue *LrCatalogue_Ref(LrCatalogue *catalogue);
void LrCatalogue_Unref(LrCatalogue *catalogue);
const LrServiceSpec *LrCatalogue_LookupService(const LrCatalogue *catalogue,
                                               LrStr name);
/* What differs between two catalogues, one line per change, to be freed with
 * g_free. */
char *LrCatalogue_Diff(const LrCatalogue *from, const LrCatalogue *to);
/* The same of two JSON documents. */
char *LrCatalogue_DiffJson(const struct json_t *from, const struct json_t *to);

/* value_set.c: the named values of a catalogue, with their revisions.
 *
 * A configuration service that is restored from a copy gives revisions out
 * again and counts its eras, one for each restore. The revision of a value or
 * of a set grows with the era first and with the service's own revision then:
 * its last twelve decimal digits are the latter. */
#define LR_MAX_ERA 1000000
#define LR_MAX_SERVICE_REVISION 999999999999

int64_t LrRevision_Make(int64_t era, int64_t service_revision);
int64_t LrRevision_Era(int64_t revision);
int64_t LrRevision_OfService(int64_t revision);

typedef struct LrValueSet LrValueSet;

LrValueSet *LrValueSet_New(void);
void LrValueSet_Free(LrValueSet *set);
/* A copy that shares the values. */
LrValueSet *LrValueSet_Fork(const LrValueSet *set);
int64_t LrValueSet_Revision(const LrValueSet *set);
void LrValueSet_SetRevision(LrValueSet *set, int64_t revision);
/* name: service/NAME or entry/NAME; text: JSON of the value. */
void LrValueSet_Set(LrValueSet *set, const char *name, int64_t revision,
                    LrStr text);
/* The same, with what builds before this one don't know of the value: it is in
 * no digest. */
void LrValueSet_SetWithExtra(LrValueSet *set, const char *name,
                             int64_t revision, LrStr text, LrStr extra);
LrStr LrValueSet_GetExtra(const LrValueSet *set, const char *name);
/* Revision of a value in the set; 0 when there is none. */
int64_t LrValueSet_RevisionOf(const LrValueSet *set, const char *name);
void LrValueSet_Remove(LrValueSet *set, const char *name, int64_t revision);
/* Whether a value of that name says that a zone is evacuated. */
bool LrValueSet_IsEvacuation(const char *name);
bool LrValueSet_Has(const LrValueSet *set, const char *name, int64_t revision);
/* Removes a value, but keeps it in use until a time, or until it is set
 * again. */
void LrValueSet_Hold(LrValueSet *set, const char *name, int64_t revision,
                     LrTime until);
/* For a set of a later era than base: keeps using those values of base whose
 * names begin with prefix and that may be newer than what the copy holds,
 * until they are set again or for some seconds. So those that are missing are
 * kept for absence_hold, and those that base has removed stay out of use.
 * Returns how many differ from the set. */
size_t LrValueSet_HoldNewer(LrValueSet *set, const LrValueSet *base,
                            const char *prefix, LrTime now,
                            LrTime absence_hold);
/* Time when the next hold ends; LR_NEVER for none. */
LrTime LrValueSet_NextHoldExpiry(const LrValueSet *set);
/* Drops the held values whose hold time is over. */
void LrValueSet_ExpireHeld(LrValueSet *set, LrTime now);
/* Text of a value that is not removed, borrowed from the set; empty when
 * there is none. */
LrStr LrValueSet_Get(const LrValueSet *set, const char *name);
/* Calls func for each value in use, held ones last. */
void LrValueSet_Each(const LrValueSet *set,
                     void (*func)(void *data, const char *name, LrStr text),
                     void *data);
/* Sorted names, borrowed from the set. */
GPtrArray *LrValueSet_Names(const LrValueSet *set);
/* JSON text of the whole catalogue, to be freed with g_free. */
char *LrValueSet_ToJson(const LrValueSet *set);
/* The catalogue made of the values; NULL with the faults if it is invalid. */
LrCatalogue *LrValueSet_BuildCatalogue(const LrValueSet *set,
                                       LrFaults *faults);
/* Most zones that are evacuated at once; there are no deployments of more than
 * a few. */
enum { LR_MAX_EVACUATED_ZONES = 16 };

/* The revision of the service up to which the evacuated zones are known; 0
 * when they are not. It differs from that of the set where the values came
 * from a daemon that doesn't know evacuations. */
int64_t LrValueSet_EvacuationsRevision(const LrValueSet *set);
void LrValueSet_SetEvacuationsRevision(LrValueSet *set, int64_t revision);
/* Fills zones, of LR_MAX_EVACUATED_ZONES, with names borrowed from the set;
 * returns their number. */
size_t LrValueSet_EvacuatedZones(const LrValueSet *set, LrStr *zones);
void LrValueSet_ReplaceEvacuations(LrValueSet *set, int64_t revision,
                                   const LrStr *zones, size_t n_zones);
/* Hash over every name, revision and text, without evacuated zones. */
uint64_t LrValueSet_Digest(const LrValueSet *set);
/* The changes after a revision, or all values when the tombstones of that
 * time are gone. Texts are borrowed from the set. */
void LrValueSet_MakeDelta(const LrValueSet *set, int64_t since, LrTime now,
                          LrArena *arena, LrDeltaMsg *delta);
/* Long values that a daemon names in one request. */
enum { LR_MAX_DELTA_BASES = 16 };
/* Fills the list with the long values; returns their number. */
size_t LrValueSet_Bases(const LrValueSet *set,
                        LrValueBaseMsg bases[LR_MAX_DELTA_BASES]);
/* The same for a receiver that has these long values: of those it gets the
 * changes, where they are known, instead of the text. */
void LrValueSet_MakeDeltaOnBases(const LrValueSet *set, int64_t since,
                                 const LrValueBaseMsg *bases, size_t n_bases,
                                 LrTime now, LrArena *arena,
                                 LrDeltaMsg *delta);
/* A new set with the delta applied; NULL when the delta is for another
 * revision or the digests differ. */
LrValueSet *LrValueSet_ApplyDelta(const LrValueSet *set,
                                  const LrDeltaMsg *delta, LrTime now);

/* hostlist.c: parser of the platform's list of hosts. */
typedef struct {
    LrHostListSpec spec;
    struct json_t *json;
    LrArena *arena;
} LrHostList;

LrHostList *LrHostList_Parse(LrStr text, LrFaults *faults);
void LrHostList_Free(LrHostList *list);

/* timer.c: a timer queue that does not read the clock itself. */
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
/* Arms or re-arms a timer. Timers due at the same time fire in the order in
 * which they were armed. */
void LrTimers_Arm(LrTimers *timers, LrTimer *timer, LrTime due);
void LrTimers_Cancel(LrTimers *timers, LrTimer *timer);
/* When the next timer is due; LR_NEVER when none is armed. */
LrTime LrTimers_NextDue(const LrTimers *timers);
/* Fires every timer that is due. */
void LrTimers_FireDue(LrTimers *timers, LrTime now);

/* random.c: a seeded pseudo-random generator. */
typedef struct LrRandom LrRandom;

LrRandom *LrRandom_New(uint64_t seed);
void LrRandom_Free(LrRandom *random);
/* A uniform integer in [0, bound). */
uint32_t LrRandom_Below(LrRandom *random, uint32_t bound);
/* A uniform real in [0, 1). */
double LrRandom_Uniform(LrRandom *random);

/* token_bucket.c: token buckets for rates and for shares of a stream of
 * events. */
typedef struct {
    double tokens;
    double capacity;
    double tokens_per_second;
    LrTime refilled_at;
} LrTokenBucket;

void LrTokenBucket_Init(LrTokenBucket *bucket, double tokens_per_second,
                        double capacity, LrTime now);
/* Adds tokens, up to the capacity. */
void LrTokenBucket_Add(LrTokenBucket *bucket, double tokens);
/* Takes one token after refilling by time; false when there is none. */
bool LrTokenBucket_Take(LrTokenBucket *bucket, LrTime now);

/* retry_budget.c: retry budget of a service over a sliding window. It is spent
 * by extra attempts: retries and hedges. */
enum { LR_RETRY_BUDGET_SLOTS = 20 };

typedef struct {
    /* Extra attempts allowed for each first attempt; 0 for no budget. */
    double ratio;
    /* Extra attempts allowed beyond that in each window. */
    double fixed_allowance;
    LrTime window;
} LrRetryBudgetRule;

/* Must be zeroed at first. Counts by time slot, over two windows. */
typedef struct {
    uint32_t first_attempts[2 * LR_RETRY_BUDGET_SLOTS + 1];
    uint32_t extra_attempts[2 * LR_RETRY_BUDGET_SLOTS + 1];
    int64_t slot;
} LrRetryBudget;

void LrRetryBudget_AddFirstAttempt(LrRetryBudget *budget,
                                   const LrRetryBudgetRule *rule, LrTime now);
/* Counts an extra attempt; false, and not counted, if it would exceed the
 * budget. */
bool LrRetryBudget_TakeExtraAttempt(LrRetryBudget *budget,
                                    const LrRetryBudgetRule *rule, LrTime now);

/* concurrency_limit.c: concurrency limit of one target, adapted to its
 * replies. */
typedef struct {
    double value;
    double max;
    double latency_ratio;
} LrConcurrencyLimit;

void LrConcurrencyLimit_Init(LrConcurrencyLimit *limit, double max);
/* latency_ratio: latency over the service's median; queue: requests queued at
 * the target when it replied, negative when not reported. */
void LrConcurrencyLimit_OnReply(LrConcurrencyLimit *limit,
                                double latency_ratio, double queue,
                                uint32_t in_flight);
void LrConcurrencyLimit_OnShed(LrConcurrencyLimit *limit);
bool LrConcurrencyLimit_HasCapacity(const LrConcurrencyLimit *limit,
                                    uint32_t in_flight);

/* target_capacity.c: how much load one target takes without slowing down,
 * learned from its replies. */
#define LR_CAPACITY_MAX_SLOTS 1024.0
/* Shares of the slots below which the learned concurrency counts as low, and
 * from which on it does not any more. */
#define LR_CAPACITY_LOW_SHARE 0.5
#define LR_CAPACITY_RESTORED_SHARE 0.75
enum { LR_CAPACITY_LEVELS = 8 };

/* What is known of the target while a number of requests run there. */
typedef struct {
    /* When the last sample came; 0 while there is none. */
    LrTime sampled_at;
    /* Since when the samples deviate to the same side by much. */
    LrTime deviates_since;
    /* Logarithm of the latency over the typical one. */
    double slowness;
    double weight;
    /* Of the deviation: -1 faster, 1 slower, 0 little. */
    int side;
} LrCapacityLevel;

/* Zeroed while nothing is known. */
typedef struct {
    LrCapacityLevel levels[LR_CAPACITY_LEVELS];
    /* By the target's own report; 0 while unknown. */
    double slots;
    /* Requests at once above which it slows down; 0 for none known. */
    double knee;
    /* Logarithms of the latency over the typical one, below the knee and at
     * the next level above it. */
    double unloaded;
    double beyond;
    /* Growth of the latency, in unloaded ones, with each request above the
     * knee. */
    double rise;
    /* Requests running there, of all daemons: the last and the mean. */
    double last_running;
    double mean_running;
    LrTime reported_at;
    LrTime replied_at;
    LrTime probed_at;
    /* Requests since then that were sent to other replicas. */
    uint32_t n_passed_over;
    /* The last sample was the second in turn that was much faster than what
     * was known. */
    bool recovered;
    bool low;
} LrTargetCapacity;

/* The target reported the number of its slots; anything below one is
 * ignored. */
void LrTargetCapacity_SetSlots(LrTargetCapacity *capacity, double slots);
/* The target replied. typical: median latency of what was requested, 0 while
 * unknown. running: requests of all daemons that ran there at once, including
 * this one. */
void LrTargetCapacity_OnReply(LrTargetCapacity *capacity, LrTime now,
                              LrTime latency, LrTime typical, double running);
/* The target reported with a reply how many requests run there. */
void LrTargetCapacity_OnReport(LrTargetCapacity *capacity, LrTime now,
                               double running);
/* Number of concurrent requests, over all daemons, that the target serves
 * without slowing down: at most its slots; 0 while neither is known. */
double LrTargetCapacity_Concurrency(const LrTargetCapacity *capacity,
                                    LrTime now);
/* Latency of the target when it is not loaded, as a multiple of the typical
 * one. */
double LrTargetCapacity_Slowness(const LrTargetCapacity *capacity, LrTime now);
/* Whether a report is so recent that it tells what runs there now. */
bool LrTargetCapacity_HasFreshReport(const LrTargetCapacity *capacity,
                                     LrTime now);
/* Requests of all daemons that are likely to run there now. */
double LrTargetCapacity_Running(const LrTargetCapacity *capacity, LrTime now);
/* Factor by which a request is expected to take longer than on the unloaded
 * target while that many requests run there, itself included. */
double LrTargetCapacity_LoadFactor(const LrTargetCapacity *capacity,
                                   LrTime now, double running);
/* Whether it is known to be slow, or to slow down before its slots are full.
 */
bool LrTargetCapacity_IsReduced(const LrTargetCapacity *capacity);
/* Whether a request whose caller waits for slack without loss should be sent
 * there to find out whether the target has recovered. n_senders: daemons that
 * probe it. */
bool LrTargetCapacity_IsProbeDue(const LrTargetCapacity *capacity, LrTime now,
                                 uint32_t in_flight, double n_senders,
                                 LrTime typical, LrTime slack);
/* A request was sent to another replica of its group. */
void LrTargetCapacity_OnPassedOver(LrTargetCapacity *capacity);
void LrTargetCapacity_OnProbe(LrTargetCapacity *capacity, LrTime now);
/* 1 when the learned concurrency has become low, -1 when it is restored, 0
 * when neither changed. */
int LrTargetCapacity_UpdateLow(LrTargetCapacity *capacity, LrTime now);

/* rate_limit.c: the request rate that a target accepts from all daemons
 * together, as it states in its responses. */
typedef enum {
    /* Nothing that the target said. */
    LR_RATE_REPORT_NONE,
    /* A response that names no limit. */
    LR_RATE_REPORT_UNLIMITED,
    LR_RATE_REPORT_LIMITED,
    /* A response with a limit that is not a number, or is negative. */
    LR_RATE_REPORT_INVALID,
} LrRateReportKind;

typedef struct {
    LrRateReportKind kind;
    /* Set if limited. */
    double per_second;
} LrRateReport;

/* Must be zeroed at first. */
typedef struct {
    bool limited;
    /* The limit; 0 is a limit too. */
    double per_second;
    /* When the target was last heard to name the limit, or none, and when it
     * first named none after a limit. */
    LrTime reported_at;
    LrTime ended_at;
    /* Number of daemons that the limit is divided by. */
    double n_senders;
    /* Requests that this daemon might send at settled_at. */
    double tokens;
    LrTime settled_at;
    /* Requests that this daemon sent, each weighted by its age. */
    double recent_sends;
    LrTime recent_sends_at;
} LrRateLimit;

/* Parses the value of a header that names a limit; empty when absent. */
LrRateReport LrRateReport_Parse(LrStr value);
/* Applies a report that the target gave at reported_at, in the reply to a
 * request that was sent at sent_at. True if the limit was set, removed, or
 * changed by more than a tenth. */
bool LrRateLimit_Apply(LrRateLimit *limit, const LrRateReport *report,
                       LrTime sent_at, LrTime reported_at, LrTime now);
/* Tokens of a bucket without those that have expired: whole ones above what is
 * kept. The fraction of a token does not expire. */
double LrRateLimit_Unexpired(double tokens, double kept);
/* Requests per second that this daemon may send while the limit holds. */
double LrRateLimit_Share(const LrRateLimit *limit);
void LrRateLimit_SetSenders(LrRateLimit *limit, double n_senders, LrTime now);
/* Starts without a whole token. The fraction, from 0 to 1, should be random:
 * then daemons with small shares get their tokens at different times. */
void LrRateLimit_ResetTokens(LrRateLimit *limit, double fraction, LrTime now);
/* Whether the limit, if there is one, leaves room for a request now. */
bool LrRateLimit_HasToken(const LrRateLimit *limit, LrTime now);
/* Ratio, 0 to 1, of the tokens for a burst that are spent; 0 without a limit.
 */
double LrRateLimit_SpentRatio(const LrRateLimit *limit, LrTime now);
/* Counts a request that was sent to the target, and takes its token. */
void LrRateLimit_CountSend(LrRateLimit *limit, LrTime now);
/* Requests per second that this daemon has recently sent to the target. */
double LrRateLimit_SendRate(const LrRateLimit *limit, LrTime now);

/* cold_start.c: the share of one daemon in the rate of a cold target. */
typedef struct {
    /* Requests that a cold target tolerates in any second: overshoot times the
     * rate that it accepts, plus slack. */
    double overshoot;
    double slack;
} LrColdBound;

typedef struct {
    /* Until when it is cold, and since when. */
    LrTime until;
    LrTime began_at;
    /* Requests per second that all daemons together may send; 0 for no
     * limit. */
    double fleet_per_second;
    double n_senders;
    /* Requests that this daemon might send at settled_at. */
    double tokens;
    LrTime settled_at;
} LrColdStart;

/* targets.c: the state of each target, and the selection of a replica. */
typedef struct LrTarget LrTarget;
typedef struct LrGroup LrGroup;
typedef struct LrTargets LrTargets;
typedef struct LrLimitedTargets LrLimitedTargets;
typedef struct LrZoneDetector LrZoneDetector;
typedef struct LrZone LrZone;
typedef struct LrAttempt LrAttempt;
typedef struct LrReply LrReply;
typedef struct LrQueryPart LrQueryPart;
typedef struct LrQuery LrQuery;

/* What makes two requests the same one. */
typedef struct {
    /* Hash of what is asked; 0 for none. */
    uint64_t content;
    /* Hash of who asks; 0 where callers are not told apart. */
    uint64_t caller;
} LrFingerprint;

/* Connections of attempts of one request that broke together. */
typedef struct {
    /* 0 where it is unknown. */
    uint64_t id;
    LrTime first_broken_at;
} LrBreakMoment;

/* A request whose connection to a target broke. It counts as the cause of a
 * crash only if the target turns out to be down. */
typedef struct {
    LrFingerprint fingerprint;
    LrTime sent_at;
    LrTime at;
    LrBreakMoment moment;
} LrBrokenRequest;

enum { LR_MAX_BROKEN_REQUESTS = 16 };

TAILQ_HEAD(LrAttemptList, LrAttempt);
TAILQ_HEAD(LrQueryPartList, LrQueryPart);
TAILQ_HEAD(LrQueryList, LrQuery);

/* Where it was learned that a target is leaving; bits of a set. */
typedef enum {
    LR_LEAVING_BY_REPLY = 1,
    LR_LEAVING_BY_HOST_LIST = 2,
} LrLeavingSource;

/* Load of a target by its own report, sent with a reply. */
typedef struct {
    bool present;
    double running;
    double queued;
    /* Requests that it runs at once; 0 when not reported. */
    double slots;
} LrLoadReport;

struct LrTarget {
    LrTargets *owner;
    uint32_t index;
    /* Unique name: the target's name, or its address where it has no
     * identity. */
    LrStr key;
    LrStr name;
    LrStr address;
    /* Identity that the target itself checks in requests; empty if it checks
     * none. */
    LrStr instance;
    LrStr zone;
    LrZone *zone_state;
    int refs;
    uint32_t in_flight;
    /* Idle connections that can take a request at once, as set by the I/O
     * layer. */
    uint32_t idle_connections;
    uint32_t n_suspects;
    struct LrAttemptList attempts;
    LrConcurrencyLimit limit;
    LrRateLimit rate_limit;
    LrTargetCapacity capacity;
    /* Factor by which its load prolonged the request of the last reply, as far
     * as is learned; 0 while unknown. */
    double load_factor;
    /* Smoothed latency as a multiple of the typical latency of the requested
     * entries, since entries with short and with long work share the target. 0
     * while unknown. */
    double slowness;
    /* When the last slow reply came, not counting those of requests that
     * overlapped with it; 0 if the last reply was not slow. */
    LrTime slow_at;
    LrTime latency_sampled_at;
    double reported_queue;
    LrTime load_reported_at;
    /* When it last refused a request, or reported that requests wait there. */
    LrTime overloaded_at;
    /* Last time that any reply came from the target. */
    LrTime last_reply_at;
    uint32_t consecutive_failures;
    /* When the first of these failed. */
    LrTime failing_since;
    /* Smoothed ratio of attempts that ended without a result. */
    double failure_ratio;
    LrTime failure_ratio_at;
    LrTime connection_broken_at;
    LrTime cancelled_at;
    /* Suspect requests, and all requests, in flight at the target's last
     * crash. */
    uint32_t crash_suspects;
    uint32_t crash_requests;
    /* When a connection to it broke, while it is not known whether that was a
     * crash or while it is down; 0 otherwise. */
    LrTime broken_at;
    /* When an attempt was sent, after that, whose connection failed. */
    LrTime connect_failed_at;
    LrBrokenRequest broken_requests[LR_MAX_BROKEN_REQUESTS];
    unsigned n_broken_requests;
    /* A check of it is due or runs. */
    bool checking;
    /* It was found down while this daemon's own links were in doubt. */
    bool down_in_doubt;
    uint32_t ejections;
    LrTime ejected_until;
    /* Until then another target is believed to be at the address. */
    LrTime misdirected_until;
    /* Until then the target wants no requests from this daemon. */
    LrTime paused_until;
    unsigned leaving_sources;
    LrTime leaving_until;
    /* The configuration service does not offer it any more: it is draining or
     * gone. Running queries have it in their views still. */
    bool withdrawn;
    /* Its zone is evacuated. */
    bool evacuated;
    LrColdStart cold;
    /* What the target accepts while it is cold, and for how long it is so
     * after an evacuation; 0 for no limit. */
    double cold_per_second;
    LrTime cold_time;
    /* Revision of the entry that last stated how long it is cold. */
    int64_t cold_revision;
    LrTime slow_start_until;
    /* Range of index versions served, by the last reply that named it; 0 while
     * unknown. */
    int64_t oldest_version;
    int64_t newest_version;
    int64_t missing_version;
    LrTime missing_until;
    /* When it was first found without references; 0 while it is in use. */
    LrTime unused_since;
    GPtrArray *groups;
    bool local;
    /* Used only where the other replicas of its group do not suffice, since
     * this daemon leaves the target's connections to other daemons. */
    bool backup;
    bool dirty;
    /* A daemon that relays requests to searchers; its address begins with
     * '@'. */
    bool relay;
    /* Its capacity is learned and used. */
    bool learns_capacity;
};

/* Cost of a replica in another zone where the configuration gives none. */
#define LR_DEFAULT_CROSS_ZONE_MEDIANS 0.2

typedef struct {
    LrStr zone;
    /* Added to the estimate of a target in another zone, in typical latencies
     * of what is requested; 0 for the default. */
    double cross_zone_medians;
    LrCounters *counters;
    LrRandom *random;
    LrLog *log;
    bool learn_capacity;
    /* All zero for the default. */
    LrColdBound cold_bound;
} LrTargetsConfig;

/* Selection policy: pick returns the index of one of the candidates. typical
 * is the median latency of what is requested, or an assumed one. */
typedef struct {
    const char *name;
    size_t (*pick)(void *data, LrTargets *targets, LrTime now,
                   LrTarget *const *candidates, size_t n_candidates,
                   LrTime typical);
    void *data;
    /* Observes ejections, concurrency limits and slow start. */
    bool adaptive;
    /* Parts that are slow are hedged. */
    bool hedged;
} LrSelectionPolicy;

/* Picks the replica that is expected to finish first. */
extern const LrSelectionPolicy LrSelectionPolicy_ExpectedFinish;
extern const LrSelectionPolicy LrSelectionPolicy_Random;
extern const LrSelectionPolicy LrSelectionPolicy_RoundRobin;
extern const LrSelectionPolicy LrSelectionPolicy_LeastOutstanding;
extern const LrSelectionPolicy LrSelectionPolicy_EstimatedLatency;

LrTargets *LrTargets_New(const LrTargetsConfig *config,
                         const LrSelectionPolicy *policy);
void LrTargets_Free(LrTargets *targets);
/* Looks a target up, adding it if new; the caller owns a reference until
 * LrTargets_Release. A target that said something of itself, such as that it
 * is leaving, is remembered after its last release and found again here. */
LrTarget *LrTargets_Acquire(LrTargets *targets, const LrTargetSpec *spec,
                            uint32_t connections, LrTime now);
void LrTargets_Release(LrTargets *targets, LrTarget *target);
/* A target in use; NULL if there is none. */
LrTarget *LrTargets_Lookup(LrTargets *targets, LrStr key);
/* Finds remembered targets, too; for what is told of a target. */
LrTarget *LrTargets_LookupRemembered(LrTargets *targets, LrStr key);
size_t LrTargets_CountRemembered(const LrTargets *targets);
/* Sets for all targets in use whether they are withdrawn, as is_offered
 * tells. */
void LrTargets_SetWithdrawn(LrTargets *targets,
                            bool (*is_offered)(const void *data,
                                               const LrTarget *target),
                            const void *data);
/* Sets which zones are evacuated: their targets get no attempts, and neither
 * do targets of them that are acquired later. False if nothing has changed. */
bool LrTargets_SetEvacuatedZones(LrTargets *targets, const LrStr *zones,
                                 size_t n_zones, LrTime now);
/* Logs the zones that have been evacuated since the last call; to be called
 * when the targets of the catalogue have been acquired. */
void LrTargets_LogEvacuations(LrTargets *targets);
/* Sets the number of daemons that the rates of cold targets are divided by: of
 * those that send to the targets of a scatter-gather, and of all. */
void LrTargets_SetColdSenders(LrTargets *targets, double n_scatter,
                              double n_single, LrTime now);
/* Whether the rate of any target may be limited because it is cold. */
bool LrTargets_MayBeCold(const LrTargets *targets, LrTime now);
/* The target states that it is cold for so long; 0 when it is not. */
void LrTargets_SetCold(LrTargets *targets, LrTarget *target, LrTime left,
                       LrTime now);
bool LrTargets_HasEvacuatedZones(const LrTargets *targets);
/* Forgets remembered targets whose statements do not hold any more. */
void LrTargets_ForgetExpired(LrTargets *targets, LrTime now);
/* Applies what the target states of itself in a reply, whatever its status, to
 * a request that was sent at sent_at. */
void LrTargets_ApplyStatements(LrTargets *targets, LrTarget *target,
                               const LrReply *reply, LrTime sent_at,
                               LrTime now);
/* When the oldest request in flight at the target was sent, if the target has
 * replied to nothing since; 0 otherwise. */
LrTime LrTargets_WaitingSince(const LrTarget *target);
void LrTargets_Each(LrTargets *targets, void (*func)(void *, LrTarget *),
                    void *data);
const LrSelectionPolicy *LrTargets_Policy(const LrTargets *targets);
/* Cost of the target's zone when it is not this daemon's: bytes between zones
 * are paid for, and scarce where links are narrow. */
double LrTargets_CrossZoneCost(const LrTarget *target, LrTime typical);
/* Expected time until this target would have replied to one more request. */
double LrTargets_EstimateLatency(const LrTarget *target, LrTime now,
                                 LrTime typical);
/* Picks a replica of the group that serves the version and is below its
 * concurrency limit. tried: targets that had the request already.
 * avoid_suspects: only targets with no suspect request in flight.
 * reserved_slots: request slots in the group to be left free. typical: as for
 * a selection policy. Returns NULL if no replica has a free slot now;
 * *any_eligible then tells whether one may have one later. */
LrTarget *LrTargets_Pick(LrTargets *targets, const LrGroup *group,
                         int64_t version, LrTime now, LrTime typical,
                         LrTarget *const *tried, size_t n_tried,
                         bool avoid_suspects, uint32_t reserved_slots,
                         bool *any_eligible);
/* A replica of the group, other than the chosen one, whose capacity has to be
 * probed by a request whose caller waits for slack without loss; else the
 * chosen one. n_senders: daemons that send to the group. */
LrTarget *LrTargets_PickProbe(LrTargets *targets, const LrGroup *group,
                              LrTarget *chosen, int64_t version, LrTime now,
                              LrTime typical, LrTime slack, double n_senders);
/* A random index below n. */
size_t LrTargets_RandomIndex(LrTargets *targets, size_t n);
/* Smoothed latency of a target; the typical one while it is unknown. */
double LrTargets_SmoothedLatency(const LrTarget *target, LrTime now,
                                 LrTime typical);
/* Those of the targets that name a rate limit. */
LrLimitedTargets *LrTargets_Limited(LrTargets *targets);
/* The failure detector of the zones that the targets are in. */
LrZoneDetector *LrTargets_ZoneDetector(LrTargets *targets);
/* Whether a request that was sent before that time is in flight: its
 * connection is open. */
bool LrTargets_HasOpenRequest(const LrTarget *target, LrTime sent_before);
/* Whether the target is likely to have no room for a new connection: it said
 * so a moment ago, or keeps a request waiting for long. */
bool LrTargets_IsOverloaded(const LrTarget *target, LrTime now);
/* Evaluates, by the requests that targets keep waiting, which zones are
 * unreachable. */
void LrTargets_EvaluateZones(LrTargets *targets, LrTime now);
/* Ratio of a target's recent attempts, 0 to 1, that ended without a result:
 * refused, failed, broken or timed out. */
double LrTargets_FailureRatio(const LrTarget *target, LrTime now);
/* Requests queued at a target by its own report, which loses weight with its
 * age. */
double LrTargets_ReportedQueue(const LrTarget *target, LrTime now);
/* Whether requests can be sent to any replica of the group now. */
bool LrTargets_HasUsableReplica(const LrGroup *group, LrTime now);
/* Whether a usable replica of the group has no rate limit, or this daemon's
 * share of it leaves room for a request now. */
bool LrTargets_RateAllows(const LrGroup *group, LrTime now);
/* Whether every replica of a group is ejected: a retry would be useless. */
bool LrTargets_AllEjected(const LrGroup *group, LrTime now);
/* The target replied; typical is the median latency of what was requested, 0
 * while unknown. */
void LrTargets_OnSuccess(LrTargets *targets, LrTarget *target, LrTime latency,
                         LrTime now, const LrLoadReport *report,
                         LrTime typical);
/* Learns the target's capacity from a reply. load_at_send: what
 * LrTargets_LoadAtSend gave when its request was sent. */
void LrTargets_LearnCapacity(LrTargets *targets, LrTarget *target,
                             LrTime latency, LrTime now,
                             const LrLoadReport *report, double load_at_send,
                             LrTime typical);
/* Requests of all daemons that run at the target, as far as this daemon knows;
 * 0 where its capacity is not learned. */
double LrTargets_Load(const LrTarget *target, LrTime now);
/* The same, or 0 where no report is recent enough to tell. */
double LrTargets_LoadAtSend(const LrTarget *target, LrTime now);
/* The target refused a request without running it. */
void LrTargets_OnShed(LrTargets *targets, LrTarget *target, LrTime now);
void LrTargets_OnFailure(LrTargets *targets, LrTarget *target, LrTime now);
/* Leaves the target out of the selection for a time that doubles with each
 * ejection in series. */
void LrTargets_Eject(LrTargets *targets, LrTarget *target, LrTime now);
void LrTargets_MarkLeaving(LrTargets *targets, LrTarget *target,
                           LrLeavingSource source, LrTime now);
/* The same, until a time, when a peer passed the mark on. */
void LrTargets_MarkLeavingUntil(LrTargets *targets, LrTarget *target,
                                LrLeavingSource source, LrTime until,
                                LrTime now);
void LrTargets_ClearLeaving(LrTargets *targets, LrTarget *target,
                            LrLeavingSource source);
bool LrTargets_IsLeaving(const LrTarget *target, LrTime now);
/* Whether nothing may be sent to the target for the time being, whatever
 * becomes of the other replicas, since it is leaving or evacuated. */
bool LrTargets_IsOutOfUse(const LrTarget *target, LrTime now);
bool LrTargets_IsMisdirected(const LrTarget *target, LrTime now);
bool LrTargets_IsPaused(const LrTarget *target, LrTime now);
/* The target replied that it does not serve a version; it gets no requests for
 * that version for a while. */
void LrTargets_MarkVersionMissing(LrTargets *targets, LrTarget *target,
                                  int64_t version, LrTime now);
/* Another target has taken over the address: nothing is sent there for a
 * while, also when all other replicas are ejected. */
void LrTargets_MarkMisdirected(LrTargets *targets, LrTarget *target,
                               LrTime now);
/* The target wants no requests for a time: nothing is sent there, also when
 * all other replicas are ejected. A negative time is only logged. */
void LrTargets_Pause(LrTargets *targets, LrTarget *target, LrTime pause,
                     LrTime now);
/* Sets the range of versions that the target reports to serve. */
void LrTargets_SetVersions(LrTargets *targets, LrTarget *target,
                           int64_t oldest, int64_t newest);
bool LrTargets_ServesVersion(const LrTarget *target, int64_t version,
                             LrTime now);
/* Discards load reports and ejections after a gap in the clock, since they are
 * outdated. */
void LrTargets_OnLateWakeup(LrTargets *targets, LrTime now);
/* Forgets failures and ejections that were no fault of the targets. */
void LrTargets_ResetFailures(LrTargets *targets, LrTime now);

/* loans.c: loans between daemons of their quotas of a fleet-wide limit. */
#define LR_LOAN_LEASE (2 * LR_SECOND)
enum { LR_MAX_LOANS = 32 };

typedef struct {
    int64_t amount;
    LrTime expires_at;
} LrLoan;

/* Must be zeroed at first. */
typedef struct {
    LrLoan lent[LR_MAX_LOANS];
    LrLoan borrowed[LR_MAX_LOANS];
} LrLoans;

/* What a daemon with this quota may use now. */
int64_t LrLoans_EffectiveQuota(LrLoans *loans, int64_t quota, LrTime now);
/* Lends some of the unused quota; returns the amount, 0 for none. */
int64_t LrLoans_Lend(LrLoans *loans, int64_t quota, int64_t used,
                     int64_t wanted, LrTime now);
/* Takes up a loan; false if its lease, counted from the request, is over. */
bool LrLoans_Borrow(LrLoans *loans, int64_t amount, LrTime asked_at,
                    LrTime now);

/* subset.c: which daemons connect to which shards. */
typedef struct {
    LrStr name;
    LrStr zone;
    /* Peer IP:port. */
    LrStr address;
    /* Share of a CPU. */
    double speed;
    /* Gathers for the other daemons of its zone. */
    bool aggregates;
    /* Of its process, as membership tells it. */
    int64_t incarnation;
} LrPeerSpec;

/* Number of daemons that may connect to a target that accepts this many
 * connections. */
size_t LrSubset_DaemonsPerTarget(uint32_t connections,
                                 uint32_t connections_per_daemon,
                                 size_t n_daemons);
/* Connections that each of n_daemons may have to a target that accepts this
 * many; all of them if the fleet is not known (n_daemons 0). */
uint32_t LrSubset_ConnectionsPerDaemon(uint32_t connections, size_t n_daemons);
/* Replicas of a group that each of n_daemons uses while they are healthy, if
 * each replica accepts this many connections. */
size_t LrSubset_ReplicasPerDaemon(uint32_t connections, size_t n_replicas,
                                  size_t n_daemons);
/* Rank of a replica for a daemon, lowest first. Spreads the daemons evenly
 * over the replicas of a group. */
uint64_t LrSubset_ReplicaRank(LrStr daemon, LrStr target);
/* Index of the range of consecutive shards that a group of a map is in. */
size_t LrSubset_ShardRange(size_t group);
/* Fills chosen with the indices of size daemons for a shard range. */
void LrSubset_ChooseDaemons(const LrPeerSpec *daemons, size_t n_daemons,
                            LrStr service, const LrShardMapSpec *map,
                            size_t range, size_t size, size_t *chosen);

/* The fleet that a view is built for. Without daemons this daemon connects to
 * every shard directly. */
typedef struct {
    LrStr self;
    const LrPeerSpec *daemons;
    size_t n_daemons;
    uint32_t connections_per_daemon;
    /* Number to divide a target's connections by, with a full mesh. */
    size_t limit_divisor;
    /* Every daemon connects to every target. */
    bool full_mesh;
} LrTopology;

/* view.c: the catalogue in force, resolved to targets. */
typedef struct LrService LrService;
typedef struct LrMap LrMap;
typedef struct LrEntry LrEntry;
typedef struct LrView LrView;

/* fair_admission.c */
typedef struct LrFairPool LrFairPool;

/* The longest time that callers gave for a request: in this period and in the
 * one before, and when this one began. */
typedef struct {
    LrTime longest;
    LrTime longest_before;
    LrTime since;
} LrUsualTimeout;

/* Time from the start of a service's queries to their complete answers: the
 * smoothed one, and the least that this was; 0 while unknown. */
typedef struct {
    double typical;
    double least;
} LrRunTime;

/* State of a shard that outlives a catalogue edit. */
typedef struct {
    LrRetryBudget budget;
    /* Of the services whose first shard this is; NULL for none. */
    LrFairPool *pool;
} LrGroupState;

/* The replicas of one shard of a map. */
struct LrGroup {
    LrStr name;
    LrMap *map;
    LrGroupState *state;
    /* Searchers; where relayed, daemons that are connected to them. */
    LrTarget **replicas;
    size_t n_replicas;
    bool relayed;
    /* Number of daemons that send to its targets, where only a subset of the
     * fleet does; 0 where all may. */
    size_t n_senders;
    struct LrQueryPartList waiting[LR_CLASS_COUNT];
    uint32_t n_waiting;
};

/* One version of an index: a group for each shard. */
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
    /* Parts that wait for a free slot at a target, over all groups. */
    uint32_t n_waiting;
    uint32_t urgent_running;
    /* Smoothed number of urgent requests that run concurrently. */
    double urgent_mean;
    LrTime urgent_mean_at;
    /* Shared with the other services for the same shards. */
    LrFairPool *pool;
    LrRunTime run_time;
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
    /* Requests were refused by a limit since a loan was last requested. */
    bool wants_loan;
    LrTime loan_asked_at;
    /* Recent requests, weighted by age. */
    double recent_requests;
    LrTime recent_requests_at;
    LrUsualTimeout usual_timeout;
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

/* The states of services, groups and entries, which outlive a view. */
typedef struct LrStates LrStates;

LrStates *LrStates_New(void);
void LrStates_Free(LrStates *states);
LrView *LrView_New(LrCatalogue *catalogue, LrTargets *targets,
                   LrStates *states, const LrTopology *topology, LrTime now);
/* Number of shards that the view reaches through other daemons. */
size_t LrView_RelayedShards(const LrView *view);
LrView *LrView_Ref(LrView *view);
void LrView_Unref(LrView *view);
LrEntry *LrView_LookupEntry(LrView *view, LrStr name);
/* Policy common: the map whose worst group has the largest share of replicas
 * that serve it, the newest of equals. Policy newest: the newest map that
 * every group serves. If no map is served by every group, the one that is
 * missing in the fewest groups. skip: a version not to be chosen, 0 for
 * none. */
LrMap *LrView_PickMap(const LrService *service, LrSnapshotPolicy policy,
                      int64_t skip, LrTime now);
LrMap *LrView_LookupMap(const LrService *service, int64_t version);

/* quota.c: one daemon's quota of a fleet-wide limit. */
typedef struct {
    unsigned rank;
    unsigned count;
    unsigned pending_rank;
    unsigned pending_count;
    LrTime pending_since;
} LrQuota;

void LrQuota_Init(LrQuota *quota);
/* Sets this daemon's rank among count daemons. Reduces the quota at once;
 * raises it only after a delay in which every other daemon must have learned
 * of the same membership. */
void LrQuota_Update(LrQuota *quota, LrTime now, unsigned rank, unsigned count);
/* Quota of a whole limit; the quotas of all ranks add up to the limit. */
int64_t LrQuota_Of(const LrQuota *quota, int64_t limit);

/* quarantine.c: requests that crash targets. */
typedef struct LrQuarantine LrQuarantine;

/* Its parts as 16 hexadecimal digits each. */
typedef struct {
    char content[20];
    char caller[20];
} LrFingerprintText;

void LrFingerprint_ToText(LrFingerprint fingerprint, LrFingerprintText *text);
/* False when a text is not a number; an empty caller is 0. */
bool LrFingerprint_FromText(LrStr content, LrStr caller,
                            LrFingerprint *fingerprint);
uint64_t LrQuarantine_HashContent(LrStr entry, LrStr body);

typedef enum {
    LR_REQUEST_CLEAR,
    LR_REQUEST_SUSPECT,
    LR_REQUEST_QUARANTINED,
} LrRequestStatus;

extern const char *const LrRequestStatus_Names[];

/* How long a request is refused. */
#define LR_QUARANTINE_TTL (300 * LR_SECOND)

LrQuarantine *LrQuarantine_New(void);
void LrQuarantine_Free(LrQuarantine *quarantine);
/* A request that crashed targets for one caller is refused to that caller, and
 * a suspect for others; once it crashed targets for two, it is refused to
 * all. */
LrRequestStatus LrQuarantine_Check(LrQuarantine *quarantine,
                                   LrFingerprint fingerprint, LrTime now);
/* Which other requests were in flight when a target crashed. */
typedef enum {
    /* Others that may have caused the crash as well. */
    LR_CRASH_WITH_SUSPECTS,
    /* Others, none of them a suspect. */
    LR_CRASH_WITH_OTHERS,
    LR_CRASH_ALONE,
} LrCrashContext;

/* Records that a target crashed with the request in flight. A crash with the
 * same target as the one before is not counted again. */
LrRequestStatus LrQuarantine_RecordCrash(LrQuarantine *quarantine,
                                         LrFingerprint fingerprint,
                                         uint32_t target,
                                         LrCrashContext context, LrTime now);
/* A crash that was found by a check of the target, or by a connect to it. */
typedef struct {
    /* Daemon that saw it; 0 for this one. */
    uint64_t reporter;
    /* Time in which the target ran the request; sent_at is known of crashes
     * that this daemon saw only. */
    LrTime sent_at;
    LrTime broken_at;
    /* Of crashes that this daemon saw only. */
    LrBreakMoment moment;
} LrConfirmedCrash;

/* Crashes within this time of each other may have one cause. */
#define LR_SAME_CRASH_WINDOW (100 * LR_MILLISECOND)

/* Tells which moment a broken attempt belongs to. A moment goes on, for the
 * above time at most, while attempts break that overlap those before:
 * in_flight_since is when the earliest of the request's attempts in flight was
 * sent, the broken one included. It is determined when a connection breaks,
 * since the crashes of one moment are confirmed in any order. */
LrBreakMoment LrQuarantine_BreakMoment(LrQuarantine *quarantine,
                                       LrFingerprint fingerprint,
                                       LrTime in_flight_since, LrTime now);

/* Records a crash that was confirmed. Those of one moment count as one,
 * whichever daemons saw them: a request over many shards is at all their
 * targets, and a popular one at the targets of all daemons, of which several
 * may end of another cause. */
LrRequestStatus LrQuarantine_RecordConfirmed(LrQuarantine *quarantine,
                                             LrFingerprint fingerprint,
                                             const LrConfirmedCrash *crash,
                                             LrTime now);
/* Makes the request a suspect for a moment, until its attempt's target is
 * checked. */
void LrQuarantine_Suspect(LrQuarantine *quarantine, LrFingerprint fingerprint,
                          LrTime now);
/* The target is up: ends that. */
void LrQuarantine_Unsuspect(LrQuarantine *quarantine,
                            LrFingerprint fingerprint);
/* The fingerprint of its first crash, with caller 0 when it crashed targets
 * for several. */
LrFingerprint LrQuarantine_KnownAs(const LrQuarantine *quarantine,
                                   LrFingerprint fingerprint);
unsigned LrQuarantine_CountCrashes(const LrQuarantine *quarantine,
                                   LrFingerprint fingerprint);
/* A target replied to the request: it is no longer a suspect. */
void LrQuarantine_Clear(LrQuarantine *quarantine, LrFingerprint fingerprint);
/* Quarantines a request until a time, on the report of another daemon. */
void LrQuarantine_Add(LrQuarantine *quarantine, LrFingerprint fingerprint,
                      LrTime until, LrTime now);
/* What is known of one request. */
typedef struct {
    LrFingerprint fingerprint;
    unsigned n_crashes;
    bool quarantined;
    LrTime expires_at;
} LrCrashRecord;

size_t LrQuarantine_Count(const LrQuarantine *quarantine);
void LrQuarantine_Each(LrQuarantine *quarantine,
                       void (*func)(void *data, const LrCrashRecord *record),
                       void *data);

/* ledger.c: idempotency keys and the results of their requests. */
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
/* Claims a key for one run of its request. On LR_CLAIM_RUN the caller runs the
 * request and then calls LrLedger_Finish; on LR_CLAIM_WAIT it adds itself to
 * the waiters of the row. */
LrClaim LrLedger_Claim(LrLedger *ledger, LrStr key, uint64_t fingerprint,
                       LrTime now, LrTime expires_at, LrLedgerRow **row);
/* Stores the result. With the outcome not_run, the key may be claimed for
 * another run, after the waiters were answered. */
void LrLedger_Finish(LrLedger *ledger, LrLedgerRow *row, LrOutcome outcome,
                     int status, GBytes *answer);
size_t LrLedger_Count(const LrLedger *ledger);
/* Whether a request of any key is still running. */
bool LrLedger_HasRunning(const LrLedger *ledger);
void LrLedger_Each(const LrLedger *ledger,
                   void (*func)(void *data, const LrLedgerRow *row),
                   void *data);

/* idempotency_key.c: idempotency keys, which name their coordinator. */
typedef struct {
    LrStr host;
    int64_t incarnation;
    int64_t expires_ms;
    uint64_t nonce;
} LrIdempotencyKey;

/* Text of a key, to be freed with g_free. expires_ms: wall clock. */
char *LrIdempotencyKey_Format(const LrIdempotencyKey *key);
/* False when the text is no valid key. Members of key borrow from text. */
bool LrIdempotencyKey_Parse(LrStr text, LrIdempotencyKey *key);

/* member.c: membership and failure detection of the daemons of a fleet. */
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
    /* It runs a build that doesn't read evacuations from the service. */
    bool ignores_evacuations;
    unsigned transmits_left;
} LrMember;

typedef struct {
    LrStr name;
    LrStr zone;
    /* Peer IP:port of this daemon. */
    LrStr address;
    /* Share of a processor that this daemon may use. */
    double speed;
    int64_t incarnation;
    LrTime probe_interval;
    /* Addresses of peers to join the fleet through, separated by commas;
     * borrowed. Empty where a host list names the members. */
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
/* To be called once per probe interval: sends the next probe and applies
 * timeouts. */
void LrMembers_Tick(LrMembers *members, LrTime now);
/* Announces that this daemon is stopping. */
void LrMembers_Leave(LrMembers *members, LrTime now);
/* Revision and digest of the active catalogue, sent with every probe. */
void LrMembers_SetCatalogue(LrMembers *members, int64_t revision,
                            uint64_t digest);
/* Probes every member of this daemon's zone at once, in addition to the probe
 * of the interval. */
void LrMembers_ProbeZone(LrMembers *members);
/* Sends all daemons what probes carry, without waiting for a reply. */
void LrMembers_TellAll(LrMembers *members);
LrMember *LrMembers_Lookup(LrMembers *members, LrStr name);
size_t LrMembers_Count(const LrMembers *members);
LrMember *LrMembers_Get(const LrMembers *members, size_t index);
/* Time after which a suspected member that has not refuted is dead. */
LrTime LrMembers_SuspicionTimeout(const LrMembers *members);
/* Rank of this daemon by hash among those of its zone that are neither dead
 * nor leaving, from 0. */
unsigned LrMembers_ZoneRank(const LrMembers *members);
/* Rank of this daemon by name among all that may be running, and their
 * number: those that the host list names or that are not dead. */
unsigned LrMembers_FleetRank(const LrMembers *members, unsigned *count);

/* leaving_targets.c: targets that the host list marks as leaving. */
#define LR_LEAVING_TTL (20 * LR_SECOND)
typedef struct LrLeavingTargets LrLeavingTargets;

LrLeavingTargets *LrLeavingTargets_New(void);
void LrLeavingTargets_Free(LrLeavingTargets *list);
void LrLeavingTargets_Add(LrLeavingTargets *list, LrStr address,
                          LrTime expires_at);
/* When the mark of a target ends; 0 when it has none. */
LrTime LrLeavingTargets_ExpiryOf(const LrLeavingTargets *list, LrStr address);
/* Removes all, before the targets of a new list are added. */
void LrLeavingTargets_Clear(LrLeavingTargets *list);
/* Takes up to that many in turn, to be sent to peers; the addresses are
 * borrowed. Returns their number. */
size_t LrLeavingTargets_NextBatch(LrLeavingTargets *list, LrTime now,
                                  LrLeavingTargetMsg *out, size_t max);

/* engine.c: the query engine of one daemon. It takes events and emits actions,
 * which the I/O layer carries out. */
typedef struct LrEngine LrEngine;

typedef struct {
    LrStr zone;
    uint64_t seed;
    double hedge_share;
    double retry_share;
    /* Retry budget of each shard over the fleet, charged for retries and
     * hedges; with ratio 0 the shares above apply instead. */
    LrRetryBudgetRule budget;
    /* A part is hedged after this multiple of its service's median latency; 0
     * to hedge by quantile. */
    double hedge_medians;
    /* Cost of a replica in another zone, in typical latencies; 0 for the
     * default. */
    double cross_zone_medians;
    /* Time by which a query is answered before its soft deadline, for the way
     * back to the caller. */
    LrTime answer_margin;
    /* No shard is reached through another daemon. */
    bool full_mesh;
    /* A broken connection counts as a crash of the target only when a check,
     * or the next connect to it, finds it down. */
    bool confirm_crashes;
    /* Cancelled attempts stay counted at their target until the I/O layer
     * reports how they ended. */
    bool track_cancelled;
    /* Minimum number of daemons that the retry budget is divided by: a host
     * that restarts, or does not know its peers yet, must not spend the budget
     * of all. */
    int64_t budget_daemons;
    /* Capacity that is short is allocated by rank and fairly between
     * callers. */
    bool fair_admission;
    /* The capacity of each target is learned from its replies, and decides
     * between the replicas of a group. */
    bool learn_capacity;
    const LrSelectionPolicy *policy;
    LrCounters *counters;
    LrLog *log;
    /* What cold targets tolerate; all zero for the default. */
    LrColdBound cold_bound;
} LrEngineConfig;

/* What the daemon has learnt of a request that may crash targets, for its
 * peers. */
typedef struct {
    LrFingerprint fingerprint;
    LrCrashEvent event;
    /* With events crash and down: key of the target that is down. */
    LrStr target;
    /* With event broken: an earlier report is withdrawn. */
    bool withdrawn;
    /* With event crash: when the connection to it broke. */
    LrTime broken_at;
    /* Hash of the name of the daemon that tells it; 0 for this one. */
    uint64_t reporter;
} LrCrashReport;

typedef struct {
    LrStr entry;
    GBytes *body;
    bool single_shard;
    LrStr routing_key;
    LrStr key;
    LrTime timeout;
    /* Tells in quarantine whether it is the same request as another; all 0 to
     * go by its entry and body. */
    LrFingerprint fingerprint;
    /* Set when another daemon, which admitted the request, relays it: the one
     * shard and index version to ask. It is never relayed again. */
    LrStr shard;
    int64_t version;
    /* Time already used of the entry's deadlines. */
    LrTime elapsed;
    /* Attempts of each part that may have run already, sent by another daemon;
     * they count for the entry's max_attempts. */
    unsigned n_spent;
    void *data;
} LrRequest;

/* The part of an answer that one shard gave, or the reason why it is
 * missing. */
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
    /* Most attempts of one part that may have run. */
    unsigned n_spent;
    /* Of a refused request: after what time it can be served here; 0 where
     * the reason alone tells. */
    LrTime retry_after;
} LrAnswer;

struct LrReply {
    LrReplyStatus status;
    /* Set with status failed. */
    LrReason reason;
    int64_t version;
    /* Range of index versions that the target serves; 0 when not reported. */
    int64_t oldest_version;
    int64_t newest_version;
    bool draining;
    /* For how long the target wants no requests from this daemon; 0 for none,
     * negative when what it stated is no time. */
    LrTime pause;
    LrLoadReport load;
    LrRateReport rate_report;
    /* Whether the target stated how long it is still cold, and the time;
     * negative when what it stated is no time. */
    bool states_cold;
    LrTime cold;
    /* Opaque to the engine; kept with the body. */
    GBytes *head;
    GBytes *body;
};

typedef enum {
    LR_ACTION_SEND,
    LR_ACTION_CANCEL,
    LR_ACTION_ANSWER,
    /* Find out whether the target is up; the result goes to
     * LrEngine_OnCheck. */
    LR_ACTION_CHECK,
} LrActionKind;

typedef enum {
    LR_CHECK_UP,
    LR_CHECK_DOWN,
    LR_CHECK_UNKNOWN,
} LrCheckResult;

extern const char *const LrCheckResult_Names[];

/* What the I/O layer has to do. Pointers are valid until the next event; the
 * receiver owns the answer. */
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
    /* From the LrRequest that the attempt belongs to. */
    void *data;
    /* first, retry or hedge. */
    const char *attempt_kind;
    LrFingerprint fingerprint;
    LrAnswer *answer;
} LrAction;

LrEngine *LrEngine_New(const LrEngineConfig *config);
void LrEngine_Free(LrEngine *engine);
/* Activates a catalogue; running queries end on the previous one. */
void LrEngine_SetCatalogue(LrEngine *engine, LrTime now,
                           LrCatalogue *catalogue);
/* Sets which zones are evacuated, in place of those of the catalogue. */
void LrEngine_SetEvacuatedZones(LrEngine *engine, LrTime now,
                                const LrStr *zones, size_t n_zones);
/* Sets the daemons of the fleet, this one included, in order of their names;
 * the specs are copied. */
void LrEngine_SetPeers(LrEngine *engine, LrTime now, LrStr self,
                       const LrPeerSpec *daemons, size_t n_daemons,
                       uint32_t connections_per_daemon);
/* Sets the number of daemons that this one divides fleet-wide limits by: the
 * connections to targets where every daemon talks to every target, and the
 * retry budget. 0 for all daemons that LrEngine_SetPeers and LrEngine_SetQuota
 * name. */
void LrEngine_SetLimitDivisor(LrEngine *engine, LrTime now, double divisor);
LrView *LrEngine_View(LrEngine *engine);
LrTargets *LrEngine_Targets(LrEngine *engine);
/* Whether this daemon may have lost its links to all targets. Meanwhile no
 * target is taken as crashed. */
void LrEngine_SetLinksInDoubt(LrEngine *engine, LrTime now, bool in_doubt);
/* This daemon has lost its links to all targets, and nothing is heard on older
 * connections: ends the queries that may run again or have not run, and drops
 * what was concluded from broken connections. */
void LrEngine_OnTargetsLost(LrEngine *engine, LrTime now);
/* Ends all queries with what is known of them: this daemon stops now. */
void LrEngine_EndQueries(LrEngine *engine, LrTime now);
/* The links are back: failures of targets during the loss are forgotten. */
void LrEngine_OnTargetsRegained(LrEngine *engine, LrTime now);
LrQuarantine *LrEngine_Quarantine(LrEngine *engine);
LrRandom *LrEngine_Random(LrEngine *engine);
/* Submits a request, which is answered by an action. Returns an id for
 * LrEngine_Cancel. */
uint64_t LrEngine_Submit(LrEngine *engine, LrTime now,
                         const LrRequest *request);
/* Cancels a request whose caller is gone; it gets no answer. False when it had
 * ended already. */
bool LrEngine_Cancel(LrEngine *engine, LrTime now, uint64_t id);
void LrEngine_OnReply(LrEngine *engine, LrTime now, uint64_t attempt,
                      const LrReply *reply);
/* Result of a check of the target with that key. */
void LrEngine_OnCheck(LrEngine *engine, LrTime now, LrStr key,
                      LrCheckResult result);
/* Calls func for each report since the last call; it is valid until func
 * returns. */
void LrEngine_EachCrashReport(LrEngine *engine,
                              void (*func)(void *data,
                                           const LrCrashReport *report),
                              void *data);
/* Takes the report of another daemon. */
void LrEngine_OnCrashReport(LrEngine *engine, LrTime now,
                            const LrCrashReport *report);
/* Fires timers and detects late wake-ups; to be called first after every
 * wake-up. */
void LrEngine_Advance(LrEngine *engine, LrTime now);
LrTime LrEngine_NextTimer(const LrEngine *engine);
bool LrEngine_NextAction(LrEngine *engine, LrAction *action);
size_t LrEngine_QueryCount(const LrEngine *engine);
/* Number of refused callers that are remembered; 0 without fair_admission. */
size_t LrEngine_CountRefusedCallers(const LrEngine *engine, LrTime now);
/* Ratio, 0 to 1, of recent requests whose entries now have too few usable
 * targets for the coverage that they require. */
double LrEngine_UnservedRatio(LrEngine *engine, LrTime now);
/* Sets this daemon's quota of fleet-wide limits: its rank among the daemons
 * and their number. A smaller quota applies at once, a larger one later. */
void LrEngine_SetQuota(LrEngine *engine, LrTime now, unsigned rank,
                       unsigned count);
/* Calls func for each entry that had requests refused by its limits and has
 * not asked for a loan within a quarter of a lease. */
void LrEngine_EachLoanRequest(LrEngine *engine, LrTime now,
                              void (*func)(void *data, const LrEntrySpec *spec,
                                           LrTime asked_at),
                              void *data);
/* Handles a peer's request for a loan of this daemon's quota; fills in what
 * is lent. */
void LrEngine_Lend(LrEngine *engine, LrTime now, const LrLoanRequestMsg *ask,
                   LrLoanMsg *loan);
/* Takes up a loan from a peer. */
void LrEngine_TakeLoan(LrEngine *engine, LrTime now, const LrLoanMsg *loan);
/* Refuses new requests with reason stopping. */
void LrEngine_Stop(LrEngine *engine);
/* Sets answer_margin for requests from now on. */
void LrEngine_SetAnswerMargin(LrEngine *engine, LrTime margin);
/* Sets the retry budget. */
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
    /* Memory of one connection for its request and the head of its reply;
     * 0: what libmicrohttpd takes by default. */
    size_t connection_bytes;
    /* Replies together that are not sent yet, beyond which another is
     * replaced by an error; 0: unlimited. */
    size_t max_unsent_bytes;
    LrLog *log;
    LrCounters *counters;
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
    /* Of the whole transfer. */
    LrTime timeout;
    /* 0 when only timeout limits it. */
    LrTime connect_timeout;
    /* Longest wait for the first byte of the response's body, and for each
     * further one; 0 when only timeout limits it. */
    LrTime response_timeout;
    LrTime stall_timeout;
    /* Largest body of the response; 0 for the client's own limit. */
    size_t max_body_bytes;
    LrTransferFunc done;
    void *data;
} LrTransferSpec;

/* max_body_bytes limits responses to requests that set no limit. */
LrClient *LrClient_New(struct ev_loop *loop, unsigned max_per_host,
                       size_t max_body_bytes);
void LrClient_Free(LrClient *client);
/* Starts a transfer; done is called once, never from within this call. */
LrTransfer *LrClient_Send(LrClient *client, const LrTransferSpec *spec);
/* Aborts a transfer; done is not called. */
void LrTransfer_Cancel(LrTransfer *transfer);
/* Header of the response, valid until done returns; empty when absent. */
LrStr LrTransfer_Header(LrTransfer *transfer, const char *name);

/* target_protocol.c: the protocol with targets, as a table of functions. */
typedef struct {
    const char *name;
    char *(*url)(const LrAction *action);
    /* Fills NULL-terminated headers, to be freed with g_strfreev. */
    char **(*headers)(const LrAction *action, LrTime now);
    char *(*cancel_url)(LrStr address, uint64_t attempt);
    /* Fills the reply from the result of a transfer; its body is borrowed. */
    void (*classify_response)(const LrTransferResult *result, uint64_t attempt,
                              LrReply *reply);
} LrTargetProtocol;

extern const LrTargetProtocol LrTargetProtocol_Http;

/* answer.c: answers to callers. */
unsigned LrAnswer_Status(const LrAnswer *answer);
/* JSON text of an answer. */
GBytes *LrAnswer_ToJson(const LrAnswer *answer);
/* JSON text of a refusal of a request that never reached the engine. */
GBytes *LrAnswer_RefusalJson(LrOutcome outcome, LrReason reason,
                             const char *hint);
unsigned LrAnswer_RefusalStatus(LrOutcome outcome, LrReason reason);

/* peer.c: connections between daemons. */
typedef struct LrPeers LrPeers;

typedef struct {
    struct ev_loop *loop;
    LrStr listen;
    LrStr name;
    int64_t incarnation;
    LrLog *log;
    LrCounters *counters;
    /* A frame arrived; false closes the connection as a protocol error. */
    bool (*on_message)(void *data, LrStr frame);
    /* The connection to an address was closed; unsent messages are lost. */
    void (*on_disconnect)(void *data, LrStr address);
    void *data;
} LrPeersConfig;

LrPeers *LrPeers_New(const LrPeersConfig *config, GError **error);
void LrPeers_Free(LrPeers *peers);
/* Sends or queues a message, opening a connection when there is none; false
 * when that fails or too much is queued already. */
bool LrPeers_Send(LrPeers *peers, LrStr address,
                  const LrRecordDescriptor *spec, const void *message);
/* The same for a packed message that later ones may overtake: a long one goes
 * over a connection of its own, and its loss is not reported. */
bool LrPeers_SendUnordered(LrPeers *peers, LrStr address,
                           const GByteArray *frame);
/* Whether a part of a long message that began at that time or later has
 * arrived, and more of it keeps coming. */
bool LrPeers_IsReceivingLong(const LrPeers *peers, LrTime since, LrTime now);
/* Number of open connections, incoming and outgoing. */
size_t LrPeers_Count(const LrPeers *peers);

/* config_watcher.c: long-polls the configuration service and the host list. */
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
    /* Receives the values of the configuration service. */
    struct LrActiveCatalogue *active_catalogue;
    void (*on_host_list)(void *data, const LrHostList *list);
    void *data;
    /* Largest value of the configuration service. */
    size_t max_value_bytes;
} LrConfigWatcherConfig;

LrConfigWatcher *LrConfigWatcher_New(const LrConfigWatcherConfig *config);
void LrConfigWatcher_Free(LrConfigWatcher *watcher);
/* Starts or stops reading the configuration service and the host list. */
void LrConfigWatcher_SetReading(LrConfigWatcher *watcher, bool reading);
/* Time of the last successful response of the configuration service; 0 for
 * never. */
LrTime LrConfigWatcher_LastSuccessAt(const LrConfigWatcher *watcher);
/* JSON members for the state dump. */
struct json_t *LrConfigWatcher_Dump(const LrConfigWatcher *watcher);

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
