/* Quarantine of requests that crash targets. When a target crashes, each
 * request in flight there becomes a suspect. A suspect is sent only to targets
 * without another suspect. It is quarantined, that is refused for a bounded
 * time, when a second target crashes with nothing else in flight, or a third
 * one with other requests in flight. */
#include "lavenderrail.h"

#define SUSPECT_TTL (60 * LR_SECOND)
/* A request whose crash has not been confirmed by then is clear again. */
#define UNCONFIRMED_TTL LR_SECOND

enum {
    MAX_RECORDS = 4096,
    MAX_MOMENTS = 256,
    CRASHES_ALONE = 2,
    CRASHES_WITH_OTHERS = 3,
    CRASHES_CONFIRMED = 3,
};

const char *const LrRequestStatus_Names[] = {
    [LR_REQUEST_CLEAR] = "clear",
    [LR_REQUEST_SUSPECT] = "suspect",
    [LR_REQUEST_QUARANTINED] = "quarantined",
};

typedef struct {
    /* With the caller of the first crash. */
    LrCrashRecord known;
    /* It crashed targets for another caller too. */
    bool any_caller;
    /* The first of the confirmed crashes. */
    LrConfirmedCrash crashes[CRASHES_CONFIRMED];
    unsigned n_kept;
    uint32_t last_target;
} CrashRecord;

typedef struct {
    uint64_t content;
    LrBreakMoment moment;
    LrTime last_broken_at;
} RecentMoment;

struct LrQuarantine {
    GHashTable *records;
    /* Those of the last LR_SAME_CRASH_WINDOW, by the first break. */
    GArray *moments;
    uint64_t last_moment;
};

LrQuarantine *
LrQuarantine_New(void)
{
    LrQuarantine *quarantine = g_new0(LrQuarantine, 1);
    quarantine->records =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    quarantine->moments = g_array_new(FALSE, FALSE, sizeof(RecentMoment));
    return quarantine;
}

void
LrQuarantine_Free(LrQuarantine *quarantine)
{
    if (!quarantine) {
        return;
    }
    g_hash_table_unref(quarantine->records);
    g_array_unref(quarantine->moments);
    g_free(quarantine);
}

void
LrFingerprint_ToText(LrFingerprint fingerprint, LrFingerprintText *text)
{
    g_snprintf(text->content, sizeof(text->content),
               "%016" G_GINT64_MODIFIER "x", fingerprint.content);
    g_snprintf(text->caller, sizeof(text->caller),
               "%016" G_GINT64_MODIFIER "x", fingerprint.caller);
}

static bool
parse_hex(LrStr text, uint64_t *value)
{
    g_autofree char *copy = LrStr_Dup(text);
    return g_ascii_string_to_unsigned(copy, 16, 0, UINT64_MAX, value, NULL);
}

bool
LrFingerprint_FromText(LrStr content, LrStr caller, LrFingerprint *fingerprint)
{
    fingerprint->caller = 0;
    return parse_hex(content, &fingerprint->content) &&
           (caller.len == 0 || parse_hex(caller, &fingerprint->caller));
}

uint64_t
LrQuarantine_HashContent(LrStr entry, LrStr body)
{
    return LrStr_Hash(body, LrStr_Hash(entry, 0));
}

static CrashRecord *
lookup_record(LrQuarantine *quarantine, LrFingerprint fingerprint, LrTime now)
{
    CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint.content);
    if (record && record->known.expires_at <= now) {
        g_hash_table_remove(quarantine->records, &fingerprint.content);
        return NULL;
    }
    return record;
}

static bool
is_of_caller(const CrashRecord *record, LrFingerprint fingerprint)
{
    LrFingerprint known = record->known.fingerprint;
    return record->any_caller || known.caller == 0 ||
           known.caller == fingerprint.caller;
}

static LrFingerprint
known_as(const CrashRecord *record)
{
    LrFingerprint known = record->known.fingerprint;
    known.caller = record->any_caller ? 0 : known.caller;
    return known;
}

static LrRequestStatus
request_status(const CrashRecord *record, LrFingerprint fingerprint)
{
    if (!record) {
        return LR_REQUEST_CLEAR;
    }
    return record->known.quarantined && is_of_caller(record, fingerprint)
               ? LR_REQUEST_QUARANTINED
               : LR_REQUEST_SUSPECT;
}

LrRequestStatus
LrQuarantine_Check(LrQuarantine *quarantine, LrFingerprint fingerprint,
                   LrTime now)
{
    return request_status(lookup_record(quarantine, fingerprint, now),
                          fingerprint);
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    return ((CrashRecord *)value)->known.expires_at <= *(LrTime *)data;
}

static CrashRecord *
add_record(LrQuarantine *quarantine, LrFingerprint fingerprint, LrTime now)
{
    if (g_hash_table_size(quarantine->records) >= MAX_RECORDS) {
        g_hash_table_foreach_remove(quarantine->records, is_expired, &now);
    }
    if (g_hash_table_size(quarantine->records) >= MAX_RECORDS) {
        return NULL;
    }
    CrashRecord *record = g_new0(CrashRecord, 1);
    record->known.fingerprint = fingerprint;
    g_hash_table_insert(quarantine->records,
                        &record->known.fingerprint.content, record);
    return record;
}

LrRequestStatus
LrQuarantine_RecordCrash(LrQuarantine *quarantine, LrFingerprint fingerprint,
                         uint32_t target, LrCrashContext context, LrTime now)
{
    CrashRecord *record = lookup_record(quarantine, fingerprint, now);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
        if (!record) {
            return LR_REQUEST_CLEAR;
        }
        record->last_target = target;
        record->known.n_crashes = 1;
        record->known.expires_at = now + SUSPECT_TTL;
        return LR_REQUEST_SUSPECT;
    }
    if (context == LR_CRASH_WITH_SUSPECTS || record->last_target == target ||
        record->known.quarantined) {
        return request_status(record, fingerprint);
    }
    record->known.n_crashes++;
    record->last_target = target;
    unsigned needed =
        context == LR_CRASH_ALONE ? CRASHES_ALONE : CRASHES_WITH_OTHERS;
    if (record->known.n_crashes >= needed) {
        record->known.quarantined = true;
        record->known.expires_at = now + LR_QUARANTINE_TTL;
    }
    return request_status(record, fingerprint);
}

static void
remove_old_moments(GArray *moments, LrTime now)
{
    guint n = 0;
    while (
        n < moments->len &&
        now - g_array_index(moments, RecentMoment, n).moment.first_broken_at >=
            LR_SAME_CRASH_WINDOW) {
        n++;
    }
    g_array_remove_range(moments, 0, n);
}

LrBreakMoment
LrQuarantine_BreakMoment(LrQuarantine *quarantine, LrFingerprint fingerprint,
                         LrTime in_flight_since, LrTime now)
{
    GArray *moments = quarantine->moments;
    remove_old_moments(moments, now);
    for (guint i = 0; i < moments->len; i++) {
        RecentMoment *recent = &g_array_index(moments, RecentMoment, i);
        if (recent->content == fingerprint.content &&
            in_flight_since < recent->last_broken_at) {
            recent->last_broken_at = now;
            return recent->moment;
        }
    }
    RecentMoment recent = {
        .content = fingerprint.content,
        .moment = {.id = ++quarantine->last_moment, .first_broken_at = now},
        .last_broken_at = now,
    };
    if (moments->len < MAX_MOMENTS) {
        g_array_append_val(moments, recent);
    }
    return recent.moment;
}

static LrTime
moment_start(const LrConfirmedCrash *crash)
{
    return crash->moment.id != 0 ? crash->moment.first_broken_at
                                 : crash->broken_at;
}

/* Whether their attempts broke at one moment, as this daemon saw them. */
static bool
is_linked(const LrConfirmedCrash *a, const LrConfirmedCrash *b)
{
    return a->moment.id != 0 && a->moment.id == b->moment.id;
}

/* Whether both are of one moment. A daemon reports each of its own once, and
 * knows only when those of others ended. */
static bool
is_same_moment(const LrConfirmedCrash *a, const LrConfirmedCrash *b)
{
    if (a->reporter != b->reporter) {
        return moment_start(a) < b->broken_at + LR_SAME_CRASH_WINDOW &&
               moment_start(b) < a->broken_at + LR_SAME_CRASH_WINDOW;
    }
    if (a->reporter != 0) {
        return false;
    }
    return is_linked(a, b) ||
           (a->sent_at < b->broken_at && a->broken_at > b->sent_at);
}

/* Adds a crash to one of the same moment, so that the order in which they are
 * confirmed makes no difference to later ones. */
static void
extend_crash(LrConfirmedCrash *crash, const LrConfirmedCrash *other)
{
    if (is_linked(crash, other)) {
        crash->sent_at = MIN(crash->sent_at, other->sent_at);
        crash->broken_at = MAX(crash->broken_at, other->broken_at);
    }
}

/* Returns whether a crash of the same moment is counted already. */
static bool
add_to_counted(CrashRecord *record, const LrConfirmedCrash *crash)
{
    for (unsigned i = 0; i < record->n_kept; i++) {
        if (is_same_moment(&record->crashes[i], crash)) {
            extend_crash(&record->crashes[i], crash);
            return true;
        }
    }
    return false;
}

/* Whether a crash, or the verdict of a peer, is behind the record: not only a
 * broken connection. */
static bool
is_established(const CrashRecord *record)
{
    return record->known.n_crashes > 0 || record->known.quarantined;
}

static void
add_caller(CrashRecord *record, LrFingerprint fingerprint)
{
    if (!is_established(record)) {
        record->known.fingerprint.caller = fingerprint.caller;
    }
    record->any_caller |= !is_of_caller(record, fingerprint);
}

static void
count_confirmed(CrashRecord *record, LrFingerprint fingerprint, LrTime now)
{
    add_caller(record, fingerprint);
    record->known.n_crashes++;
    if (record->known.n_crashes >= CRASHES_CONFIRMED) {
        record->known.quarantined = true;
    }
    record->known.expires_at =
        now + (record->known.quarantined ? LR_QUARANTINE_TTL : SUSPECT_TTL);
}

LrRequestStatus
LrQuarantine_RecordConfirmed(LrQuarantine *quarantine,
                             LrFingerprint fingerprint,
                             const LrConfirmedCrash *crash, LrTime now)
{
    CrashRecord *record = lookup_record(quarantine, fingerprint, now);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
    }
    if (!record) {
        return LR_REQUEST_CLEAR;
    }
    if (request_status(record, fingerprint) == LR_REQUEST_QUARANTINED ||
        add_to_counted(record, crash)) {
        return request_status(record, fingerprint);
    }
    if (record->n_kept < CRASHES_CONFIRMED) {
        record->crashes[record->n_kept++] = *crash;
    }
    count_confirmed(record, fingerprint, now);
    return request_status(record, fingerprint);
}

void
LrQuarantine_Suspect(LrQuarantine *quarantine, LrFingerprint fingerprint,
                     LrTime now)
{
    CrashRecord *record = lookup_record(quarantine, fingerprint, now);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
    }
    if (record) {
        record->known.expires_at =
            MAX(record->known.expires_at, now + UNCONFIRMED_TTL);
    }
}

void
LrQuarantine_Unsuspect(LrQuarantine *quarantine, LrFingerprint fingerprint)
{
    const CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint.content);
    if (record && !is_established(record)) {
        g_hash_table_remove(quarantine->records, &fingerprint.content);
    }
}

LrFingerprint
LrQuarantine_KnownAs(const LrQuarantine *quarantine, LrFingerprint fingerprint)
{
    const CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint.content);
    return record ? known_as(record) : fingerprint;
}

unsigned
LrQuarantine_CountCrashes(const LrQuarantine *quarantine,
                          LrFingerprint fingerprint)
{
    const CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint.content);
    return record ? record->known.n_crashes : 0;
}

void
LrQuarantine_Clear(LrQuarantine *quarantine, LrFingerprint fingerprint)
{
    CrashRecord *record =
        g_hash_table_lookup(quarantine->records, &fingerprint.content);
    if (record && !record->known.quarantined &&
        is_of_caller(record, fingerprint)) {
        g_hash_table_remove(quarantine->records, &fingerprint.content);
    }
}

void
LrQuarantine_Add(LrQuarantine *quarantine, LrFingerprint fingerprint,
                 LrTime until, LrTime now)
{
    CrashRecord *record = lookup_record(quarantine, fingerprint, now);
    if (!record) {
        record = add_record(quarantine, fingerprint, now);
    }
    if (record) {
        add_caller(record, fingerprint);
        record->known.quarantined = true;
        record->known.expires_at = MAX(record->known.expires_at, until);
    }
}

size_t
LrQuarantine_Count(const LrQuarantine *quarantine)
{
    return g_hash_table_size(quarantine->records);
}

void
LrQuarantine_Each(LrQuarantine *quarantine,
                  void (*func)(void *data, const LrCrashRecord *record),
                  void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quarantine->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const CrashRecord *record = value;
        LrCrashRecord known = record->known;
        known.fingerprint = known_as(record);
        func(data, &known);
    }
}
