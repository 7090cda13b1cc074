/* Quarantine of requests that crash targets. When a target crashes, each
 * request in flight there becomes a suspect. A suspect is sent only to targets
 * without another suspect. It is quarantined, that is refused for a bounded
 * time, when a second target crashes with nothing else in flight, or a third
 * one with other requests in flight. */
#include "lavenderrail.h"

#define SUSPECT_TTL (60 * LR_SECOND)
/* A request whose crash has not been confirmed by then is clear again. */
#define UNCONFIRMED_TTL LR_SECOND
#define QUARANTINE_TTL (300 * LR_SECOND)

enum {
    MAX_RECORDS = 4096,
    CRASHES_ALONE = 2,
    CRASHES_WITH_OTHERS = 3,
    CRASHES_CONFIRMED = 3,
};

const char *const LrRequestStatus_Names[] = {
    [LR_REQUEST_CLEAR] = "clear",
    [LR_REQUEST_SUSPECT] = "suspect",
    [LR_REQUEST_QUARANTINED] = "quarantined",
};

/* Time in which a target ran a request, up to its crash. */
typedef struct {
    LrTime start;
    LrTime end;
} RunInterval;

typedef struct {
    uint64_t fingerprint;
    unsigned n_crashes;
    /* Of the confirmed crashes of this daemon's targets. */
    RunInterval runs[CRASHES_CONFIRMED];
    unsigned n_runs;
    bool quarantined;
    uint32_t last_target;
    LrTime expires_at;
} CrashRecord;

struct LrQuarantine {
    GHashTable *records;
};

LrQuarantine *
LrQuarantine_New(void)
{
    LrQuarantine *quarantine = g_new0(LrQuarantine, 1);
    quarantine->records =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return quarantine;
}

void
LrQuarantine_Free(LrQuarantine *quarantine)
{
    if (!quarantine) {
        return;
    }
    g_hash_table_unref(quarantine->records);
    g_free(quarantine);
}

uint64_t
LrQuarantine_Fingerprint(LrStr entry, LrStr body)
{
    return LrStr_Hash(body, LrStr_Hash(entry, 0));
}

static CrashRecord *
lookup_record(LrQuarantine *quarantine, uint64_t fingerprint, LrTime now)
{
    CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint);
    if (record && record->expires_at <= now) {
        g_hash_table_remove(quarantine->records, &fingerprint);
        return NULL;
    }
    return record;
}

static LrRequestStatus
request_status(const CrashRecord *record)
{
    if (!record) {
        return LR_REQUEST_CLEAR;
    }
    return record->quarantined ? LR_REQUEST_QUARANTINED : LR_REQUEST_SUSPECT;
}

LrRequestStatus
LrQuarantine_Check(LrQuarantine *quarantine, uint64_t fingerprint, LrTime now)
{
    return request_status(lookup_record(quarantine, fingerprint, now));
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((CrashRecord *)value)->expires_at <= *(LrTime *)data;
}

static CrashRecord *
add_record(LrQuarantine *quarantine, uint64_t fingerprint, LrTime now)
{
    if (g_hash_table_size(quarantine->records) >= MAX_RECORDS) {
        g_hash_table_foreach_remove(quarantine->records, is_expired, &now);
    }
    if (g_hash_table_size(quarantine->records) >= MAX_RECORDS) {
        return NULL;
    }
    CrashRecord *record = g_new0(CrashRecord, 1);
    record->fingerprint = fingerprint;
    g_hash_table_insert(quarantine->records, &record->fingerprint, record);
    return record;
}

LrRequestStatus
LrQuarantine_RecordCrash(LrQuarantine *quarantine, uint64_t fingerprint,
                         uint32_t target, LrCrashContext context, LrTime now)
{
    CrashRecord *record = lookup_record(quarantine, fingerprint, now);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
        if (!record) {
            return LR_REQUEST_CLEAR;
        }
        record->last_target = target;
        record->n_crashes = 1;
        record->expires_at = now + SUSPECT_TTL;
        return LR_REQUEST_SUSPECT;
    }
    if (context == LR_CRASH_WITH_SUSPECTS || record->last_target == target ||
        record->quarantined) {
        return request_status(record);
    }
    record->n_crashes++;
    record->last_target = target;
    unsigned needed =
        context == LR_CRASH_ALONE ? CRASHES_ALONE : CRASHES_WITH_OTHERS;
    if (record->n_crashes >= needed) {
        record->quarantined = true;
        record->expires_at = now + QUARANTINE_TTL;
    }
    return request_status(record);
}

static bool
overlaps(const CrashRecord *record, LrTime start, LrTime end)
{
    for (unsigned i = 0; i < record->n_runs; i++) {
        if (start < record->runs[i].end && end > record->runs[i].start) {
            return true;
        }
    }
    return false;
}

static void
count_confirmed(CrashRecord *record, LrTime now)
{
    record->n_crashes++;
    record->expires_at = now + SUSPECT_TTL;
    if (record->n_crashes >= CRASHES_CONFIRMED) {
        record->quarantined = true;
        record->expires_at = now + QUARANTINE_TTL;
    }
}

LrRequestStatus
LrQuarantine_RecordConfirmed(LrQuarantine *quarantine, uint64_t fingerprint,
                             LrTime sent_at, LrTime broken_at, LrTime now)
{
    CrashRecord *record = lookup_record(quarantine, fingerprint, now);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
    }
    if (!record) {
        return LR_REQUEST_CLEAR;
    }
    if (record->quarantined || overlaps(record, sent_at, broken_at)) {
        return request_status(record);
    }
    record->runs[record->n_runs++] =
        (RunInterval){.start = sent_at, .end = broken_at};
    count_confirmed(record, now);
    return request_status(record);
}

LrRequestStatus
LrQuarantine_AddCrash(LrQuarantine *quarantine, uint64_t fingerprint,
                      LrTime now)
{
    CrashRecord *record = lookup_record(quarantine, fingerprint, now);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
    }
    if (record && !record->quarantined) {
        count_confirmed(record, now);
    }
    return request_status(record);
}

void
LrQuarantine_Suspect(LrQuarantine *quarantine, uint64_t fingerprint,
                     LrTime now)
{
    CrashRecord *record = lookup_record(quarantine, fingerprint, now);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
    }
    if (record) {
        record->expires_at = MAX(record->expires_at, now + UNCONFIRMED_TTL);
    }
}

void
LrQuarantine_Unsuspect(LrQuarantine *quarantine, uint64_t fingerprint)
{
    const CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint);
    if (record && record->n_crashes == 0) {
        g_hash_table_remove(quarantine->records, &fingerprint);
    }
}

unsigned
LrQuarantine_CountCrashes(const LrQuarantine *quarantine, uint64_t fingerprint)
{
    const CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint);
    return record ? record->n_crashes : 0;
}

void
LrQuarantine_Clear(LrQuarantine *quarantine, uint64_t fingerprint)
{
    CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint);
    if (record && !record->quarantined) {
        g_hash_table_remove(quarantine->records, &fingerprint);
    }
}

void
LrQuarantine_Add(LrQuarantine *quarantine, uint64_t fingerprint, LrTime until,
                 LrTime now)
{
    CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
    }
    if (record) {
        record->quarantined = true;
        record->expires_at = MAX(record->expires_at, until);
    }
}

size_t
LrQuarantine_Count(const LrQuarantine *quarantine)
{
    return g_hash_table_size(quarantine->records);
}

void
LrQuarantine_Each(LrQuarantine *quarantine,
                  void (*func)(void *data, uint64_t fingerprint,
                               bool quarantined, LrTime until),
                  void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quarantine->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const CrashRecord *record = value;
        func(data, record->fingerprint, record->quarantined,
             record->expires_at);
    }
}
