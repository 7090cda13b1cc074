/* Quarantine of requests that crash targets. When a target crashes, each
 * request in flight there becomes a suspect. A suspect is sent only to targets
 * without another suspect. It is quarantined, that is refused for a bounded
 * time, when a second target crashes with nothing else in flight, or a third
 * one with other requests in flight. */
#include "lavenderrail.h"

#define SUSPECT_TTL (60 * LR_SECOND)
#define CONDEMNED_TTL (300 * LR_SECOND)

enum {
    MAX_ROWS = 4096,
    STRIKES_ALONE = 2,
    STRIKES_IN_COMPANY = 3,
};

typedef struct {
    uint64_t fingerprint;
    unsigned strikes;
    bool condemned;
    uint32_t last_target;
    LrTime until;
} Row;

struct LrQuarantine {
    GHashTable *rows;
};

LrQuarantine *
LrQuarantine_New(void)
{
    LrQuarantine *quarantine = g_new0(LrQuarantine, 1);
    quarantine->rows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return quarantine;
}

void
LrQuarantine_Free(LrQuarantine *quarantine)
{
    if (!quarantine) {
        return;
    }
    g_hash_table_unref(quarantine->rows);
    g_free(quarantine);
}

uint64_t
LrQuarantine_Fingerprint(LrStr entry, LrStr body)
{
    return LrStr_Hash(body, LrStr_Hash(entry, 0));
}

static Row *
lookup_row(LrQuarantine *quarantine, uint64_t fingerprint, LrTime now)
{
    Row *row = g_hash_table_lookup(quarantine->rows, &fingerprint);
    if (row && row->until <= now) {
        g_hash_table_remove(quarantine->rows, &fingerprint);
        return NULL;
    }
    return row;
}

static LrRequestStatus
verdict_of(const Row *row)
{
    if (!row) {
        return LR_REQUEST_CLEAR;
    }
    return row->condemned ? LR_REQUEST_QUARANTINED : LR_REQUEST_SUSPECT;
}

LrRequestStatus
LrQuarantine_Check(LrQuarantine *quarantine, uint64_t fingerprint, LrTime now)
{
    return verdict_of(lookup_row(quarantine, fingerprint, now));
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((Row *)value)->until <= *(LrTime *)data;
}

static Row *
add_row(LrQuarantine *quarantine, uint64_t fingerprint, LrTime now)
{
    if (g_hash_table_size(quarantine->rows) >= MAX_ROWS) {
        g_hash_table_foreach_remove(quarantine->rows, is_expired, &now);
    }
    if (g_hash_table_size(quarantine->rows) >= MAX_ROWS) {
        return NULL;
    }
    Row *row = g_new0(Row, 1);
    row->fingerprint = fingerprint;
    g_hash_table_insert(quarantine->rows, &row->fingerprint, row);
    return row;
}

LrRequestStatus
LrQuarantine_RecordCrash(LrQuarantine *quarantine, uint64_t fingerprint,
                         uint32_t target, LrCrashContext company, LrTime now)
{
    Row *row = lookup_row(quarantine, fingerprint, now);
    if (!row) {
        row = add_row(quarantine, fingerprint, now);
        if (!row) {
            return LR_REQUEST_CLEAR;
        }
        row->last_target = target;
        row->strikes = 1;
        row->until = now + SUSPECT_TTL;
        return LR_REQUEST_SUSPECT;
    }
    if (company == LR_CRASH_WITH_SUSPECTS || row->last_target == target ||
        row->condemned) {
        return verdict_of(row);
    }
    row->strikes++;
    row->last_target = target;
    unsigned needed =
        company == LR_CRASH_ALONE ? STRIKES_ALONE : STRIKES_IN_COMPANY;
    if (row->strikes >= needed) {
        row->condemned = true;
        row->until = now + CONDEMNED_TTL;
    }
    return verdict_of(row);
}

void
LrQuarantine_Clear(LrQuarantine *quarantine, uint64_t fingerprint)
{
    Row *row = g_hash_table_lookup(quarantine->rows, &fingerprint);
    if (row && !row->condemned) {
        g_hash_table_remove(quarantine->rows, &fingerprint);
    }
}

void
LrQuarantine_Add(LrQuarantine *quarantine, uint64_t fingerprint, LrTime until)
{
    Row *row = g_hash_table_lookup(quarantine->rows, &fingerprint);
    if (!row) {
        row = add_row(quarantine, fingerprint, 0);
    }
    if (row) {
        row->condemned = true;
        row->until = MAX(row->until, until);
    }
}

size_t
LrQuarantine_Count(const LrQuarantine *quarantine)
{
    return g_hash_table_size(quarantine->rows);
}

void
LrQuarantine_Each(LrQuarantine *quarantine,
                  void (*func)(void *data, uint64_t fingerprint,
                               bool condemned, LrTime until),
                  void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quarantine->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Row *row = value;
        func(data, row->fingerprint, row->condemned, row->until);
    }
}
