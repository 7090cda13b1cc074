/* Which callers this daemon has refused, for clients that retry at once: such
 * a caller must not take the place of one that waits as it was told.
 *
 * A table of fixed size, so that no crowd makes it grow: each request has four
 * places, and displaces the one that would be forgotten first. A caller that
 * is displaced counts as new. */
#include "refused_callers.h"

enum {
    /* 4,096 entries of 32 bytes: one in a thousand of the memory of the
     * smallest host, and the refusals of eight seconds at 500 a second. */
    SETS = 1024,
    WAYS = 4,
};

/* A caller may return this much earlier than told: Retry-After has two
 * decimals, and timers are not exact. */
#define EARLY_TOLERANCE (10 * LR_MILLISECOND)

const char *const LrCallerStanding_Names[] = {
    [LR_CALLER_RETURNED] = "returned",
    [LR_CALLER_NEW] = "new",
    [LR_CALLER_REPEATED] = "repeated",
    [LR_CALLER_EARLY] = "early",
};

typedef struct {
    uint64_t key;
    LrTime return_at;
    /* Its caller gives up then; 0 in a free entry. */
    LrTime expires_at;
    bool was_early;
} Entry;

struct LrRefusedCallers {
    uint64_t seed;
    Entry sets[SETS][WAYS];
};

LrRefusedCallers *
LrRefusedCallers_New(uint64_t seed)
{
    LrRefusedCallers *callers = g_new0(LrRefusedCallers, 1);
    callers->seed = seed;
    return callers;
}

void
LrRefusedCallers_Free(LrRefusedCallers *callers)
{
    g_free(callers);
}

static uint64_t
key_of(const LrRefusedCallers *callers, LrFingerprint fingerprint)
{
    LrStr bytes = {.ptr = (const char *)&fingerprint,
                   .len = sizeof(fingerprint)};
    return LrStr_Hash(bytes, callers->seed);
}

static Entry *
find_entry(const LrRefusedCallers *callers, uint64_t key, LrTime now)
{
    const Entry *set = callers->sets[key % SETS];
    for (size_t i = 0; i < WAYS; i++) {
        if (set[i].key == key && set[i].expires_at > now) {
            return (Entry *)&set[i];
        }
    }
    return NULL;
}

/* The place of a new entry: that of the one that expires first. */
static Entry *
take_place(LrRefusedCallers *callers, uint64_t key)
{
    Entry *set = callers->sets[key % SETS];
    Entry *place = &set[0];
    for (size_t i = 1; i < WAYS; i++) {
        if (set[i].expires_at < place->expires_at) {
            place = &set[i];
        }
    }
    return place;
}

LrCallerStanding
LrRefusedCallers_OnRequest(LrRefusedCallers *callers,
                           LrFingerprint fingerprint, LrTime now)
{
    if (fingerprint.caller == 0) {
        return LR_CALLER_NEW;
    }
    Entry *entry = find_entry(callers, key_of(callers, fingerprint), now);
    if (!entry) {
        return LR_CALLER_NEW;
    }
    if (now < entry->return_at - EARLY_TOLERANCE) {
        entry->was_early = true;
        return LR_CALLER_EARLY;
    }
    return entry->was_early ? LR_CALLER_NEW : LR_CALLER_RETURNED;
}

LrTime
LrRefusedCallers_ReturnTime(const LrRefusedCallers *callers,
                            LrFingerprint fingerprint, LrTime now)
{
    const Entry *entry =
        fingerprint.caller != 0
            ? find_entry(callers, key_of(callers, fingerprint), now)
            : NULL;
    return entry ? entry->return_at : 0;
}

void
LrRefusedCallers_OnRefused(LrRefusedCallers *callers,
                           LrFingerprint fingerprint, LrTime return_at,
                           LrTime expires_at, LrTime now)
{
    if (fingerprint.caller == 0 || expires_at <= now) {
        return;
    }
    uint64_t key = key_of(callers, fingerprint);
    Entry *entry = find_entry(callers, key, now);
    /* A refused early request has not changed what its caller was told. */
    bool was_early = entry && now < entry->return_at - EARLY_TOLERANCE;
    if (!entry) {
        entry = take_place(callers, key);
    }
    *entry = (Entry){
        .key = key,
        .return_at = return_at,
        .expires_at = expires_at,
        .was_early = was_early,
    };
}

void
LrRefusedCallers_Forget(LrRefusedCallers *callers, LrFingerprint fingerprint)
{
    if (fingerprint.caller == 0) {
        return;
    }
    Entry *entry = find_entry(callers, key_of(callers, fingerprint), 0);
    if (entry) {
        *entry = (Entry){.key = 0};
    }
}

size_t
LrRefusedCallers_Count(const LrRefusedCallers *callers, LrTime now)
{
    size_t n = 0;
    for (size_t i = 0; i < SETS; i++) {
        for (size_t j = 0; j < WAYS; j++) {
            n += callers->sets[i][j].expires_at > now;
        }
    }
    return n;
}
