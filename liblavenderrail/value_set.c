/* The named values of a catalogue, each with the revision of its last change.
 *
 * A new set is built as a copy and activated as a whole. A delta holds the
 * values that changed after a revision, and of a long text only the changes,
 * so the size of an update depends on what changed and not on the catalogue. A
 * digest over names, revisions and texts shows whether applying a delta gave
 * the same set.
 *
 * The evacuated zones are values that are in no delta and no digest: builds
 * before them neither read them from the service nor count them, so that their
 * digests would never match. Daemons tell each other of them in probes, as a
 * whole and with a revision of their own. */
#include "lavenderrail.h"

#include "routing.h"
#include "text_patch.h"

#include <string.h>

/* Tombstones of removed values; the oldest is dropped when there are more. */
enum { MAX_TOMBSTONES = 1024 };

enum {
    /* Changes of values that are longer than this are passed on as patches. */
    MIN_PATCHED_BYTES = 8 << 10,
    /* Longest text that patches may make, as long as a frame between peers. */
    MAX_PATCHED_BYTES = 16 << 20,
    /* Former texts of a value for which the patches are kept. */
    MAX_PATCHES = 16,
};

/* Entries that a restored service has of targets which have left lapse within
 * this time, and targets that are alive have written again what was lost. */
#define RESTORED_HOLD (5 * LR_SECOND)

#define ERA_FACTOR (LR_MAX_SERVICE_REVISION + 1)

/* How the text of a value was made from a former one. */
typedef struct {
    int refs;
    /* Revision of the value with the former text. */
    int64_t base_revision;
    LrTextPatch *patch;
} ValueChange;

typedef struct {
    char *name;
    int64_t revision;
    char *text;
    size_t len;
    /* NULL for none. */
    char *extra;
    /* The latest changes of the text, oldest first; NULL for a short text or
     * one without known changes. */
    GPtrArray *changes;
    int refs;
} Value;

/* What is used in place of the value of that name until a time, whatever the
 * set has: a value that was removed, or that may be newer than the one in the
 * set. An empty text stands for no value. */
typedef struct {
    Value *value;
    LrTime until;
} HeldValue;

struct LrValueSet {
    GTree *values;
    /* Not part of the digest, since daemons may hold a value for different
     * times. */
    GTree *held;
    GPtrArray *tombstones;
    int64_t revision;
    /* Tombstones up to this revision may have been dropped; a delta since an
     * older one has to hold all values. */
    int64_t compacted_revision;
    /* Up to which the evacuated zones are known; 0 when they are not. */
    int64_t evacuations_revision;
};

bool
LrValueSet_IsEvacuation(const char *name)
{
    return g_str_has_prefix(name, LR_EVACUATED_PREFIX);
}

int64_t
LrRevision_Make(int64_t era, int64_t service_revision)
{
    return era * ERA_FACTOR + service_revision;
}

int64_t
LrRevision_Era(int64_t revision)
{
    return revision / ERA_FACTOR;
}

int64_t
LrRevision_OfService(int64_t revision)
{
    return revision % ERA_FACTOR;
}

static void
unref_change(gpointer data)
{
    ValueChange *change = data;
    if (--change->refs == 0) {
        LrTextPatch_Free(change->patch);
        g_free(change);
    }
}

static void
unref_value(gpointer data)
{
    Value *value = data;
    if (--value->refs > 0) {
        return;
    }
    if (value->changes) {
        g_ptr_array_unref(value->changes);
    }
    g_free(value->name);
    g_free(value->text);
    g_free(value->extra);
    g_free(value);
}

static void
free_held_value(gpointer data)
{
    HeldValue *held = data;
    unref_value(held->value);
    g_free(held);
}

static int
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

LrValueSet *
LrValueSet_New(void)
{
    LrValueSet *set = g_new0(LrValueSet, 1);
    set->values = g_tree_new_full(compare_names, NULL, NULL, unref_value);
    set->held = g_tree_new_full(compare_names, NULL, NULL, free_held_value);
    set->tombstones = g_ptr_array_new_with_free_func(unref_value);
    return set;
}

void
LrValueSet_Free(LrValueSet *set)
{
    if (!set) {
        return;
    }
    g_tree_unref(set->values);
    g_tree_unref(set->held);
    g_ptr_array_unref(set->tombstones);
    g_free(set);
}

static gboolean
copy_value(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    Value *value = data;
    LrValueSet *copy = user;
    value->refs++;
    g_tree_insert(copy->values, value->name, value);
    return FALSE;
}

static void
add_held_value(LrValueSet *set, Value *value, LrTime until)
{
    HeldValue *held = g_new0(HeldValue, 1);
    held->value = value;
    held->until = until;
    value->refs++;
    g_tree_replace(set->held, value->name, held);
}

static gboolean
copy_held_value(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    const HeldValue *held = data;
    add_held_value(user, held->value, held->until);
    return FALSE;
}

LrValueSet *
LrValueSet_Fork(const LrValueSet *set)
{
    LrValueSet *copy = LrValueSet_New();
    copy->revision = set->revision;
    copy->compacted_revision = set->compacted_revision;
    copy->evacuations_revision = set->evacuations_revision;
    g_tree_foreach(set->values, copy_value, copy);
    g_tree_foreach(set->held, copy_held_value, copy);
    for (guint i = 0; i < set->tombstones->len; i++) {
        Value *value = set->tombstones->pdata[i];
        value->refs++;
        g_ptr_array_add(copy->tombstones, value);
    }
    return copy;
}

int64_t
LrValueSet_Revision(const LrValueSet *set)
{
    return set->revision;
}

void
LrValueSet_SetRevision(LrValueSet *set, int64_t revision)
{
    set->revision = revision;
}

static Value *
new_value(const char *name, int64_t revision, LrStr text)
{
    Value *value = g_new0(Value, 1);
    value->refs = 1;
    value->name = g_strdup(name);
    value->revision = revision;
    value->text = LrStr_Dup(text);
    value->len = text.len;
    return value;
}

void
LrValueSet_Set(LrValueSet *set, const char *name, int64_t revision, LrStr text)
{
    LrValueSet_SetWithExtra(set, name, revision, text, LrStr_FromC(""));
}

/* Takes over the patch, and the changes of the former value that are not too
 * old: patches that together are longer than half of the text are dropped, and
 * so is the oldest one beyond the limit. */
static void
set_changes(Value *value, const Value *former, LrTextPatch *patch)
{
    size_t n_bytes = LrTextPatch_Size(patch);
    ValueChange *change = g_new0(ValueChange, 1);
    change->refs = 1;
    change->base_revision = former->revision;
    change->patch = patch;
    value->changes = g_ptr_array_new_with_free_func(unref_change);
    guint n = former->changes ? former->changes->len : 0;
    guint first = n;
    while (first > 0 && n - first + 1 < MAX_PATCHES) {
        const ValueChange *older = former->changes->pdata[first - 1];
        n_bytes += LrTextPatch_Size(older->patch);
        if (n_bytes > value->len / 2) {
            break;
        }
        first--;
    }
    for (guint i = first; i < n; i++) {
        ValueChange *kept = former->changes->pdata[i];
        kept->refs++;
        g_ptr_array_add(value->changes, kept);
    }
    g_ptr_array_add(value->changes, change);
}

static bool
is_long(const Value *value)
{
    return value->len >= MIN_PATCHED_BYTES;
}

static void
note_change(Value *value, const Value *former)
{
    if (!former || !is_long(former) || !is_long(value) ||
        former->revision >= value->revision) {
        return;
    }
    LrStr base = {.ptr = former->text, .len = former->len};
    LrStr text = {.ptr = value->text, .len = value->len};
    LrTextPatch *patch = LrTextPatch_Make(base, text);
    if (LrTextPatch_Size(patch) > value->len / 2) {
        LrTextPatch_Free(patch);
        return;
    }
    set_changes(value, former, patch);
}

void
LrValueSet_SetWithExtra(LrValueSet *set, const char *name, int64_t revision,
                        LrStr text, LrStr extra)
{
    Value *value = new_value(name, revision, text);
    value->extra = extra.len > 0 ? LrStr_Dup(extra) : NULL;
    note_change(value, g_tree_lookup(set->values, name));
    g_tree_remove(set->held, name);
    g_tree_replace(set->values, value->name, value);
}

void
LrValueSet_Remove(LrValueSet *set, const char *name, int64_t revision)
{
    if (!g_tree_lookup(set->values, name)) {
        return;
    }
    if (LrValueSet_IsEvacuation(name)) {
        g_tree_remove(set->values, name);
        return;
    }
    Value *tombstone = new_value(name, revision, LrStr_FromC(""));
    g_tree_remove(set->held, name);
    g_tree_remove(set->values, name);
    if (set->tombstones->len == MAX_TOMBSTONES) {
        const Value *oldest = set->tombstones->pdata[0];
        set->compacted_revision =
            MAX(set->compacted_revision, oldest->revision);
        g_ptr_array_remove_index(set->tombstones, 0);
    }
    g_ptr_array_add(set->tombstones, tombstone);
}

void
LrValueSet_Hold(LrValueSet *set, const char *name, int64_t revision,
                LrTime until)
{
    Value *value = g_tree_lookup(set->values, name);
    if (!value) {
        return;
    }
    const HeldValue *held = g_tree_lookup(set->held, name);
    value = held ? held->value : value;
    value->refs++;
    LrValueSet_Remove(set, name, revision);
    add_held_value(set, value, until);
    unref_value(value);
}

/* The value that is used under a name; NULL for none. */
static Value *
value_in_use(const LrValueSet *set, const char *name)
{
    const HeldValue *held = g_tree_lookup(set->held, name);
    Value *value = held ? held->value : g_tree_lookup(set->values, name);
    return value && value->len > 0 ? value : NULL;
}

typedef struct {
    LrValueSet *set;
    const LrValueSet *base;
    const char *prefix;
    LrTime missing_until;
    LrTime changed_until;
    size_t n;
} Restored;

static bool
is_newer_in_service(const Value *listed, const Value *known)
{
    return LrRevision_OfService(listed->revision) >
           LrRevision_OfService(known->revision);
}

static void
hold_if_newer(Restored *restored, Value *known)
{
    const Value *listed = g_tree_lookup(restored->set->values, known->name);
    if (!listed && known->len == 0) {
        return;
    }
    bool same = listed && listed->len == known->len &&
                memcmp(listed->text, known->text, known->len) == 0;
    if (same || (listed && is_newer_in_service(listed, known))) {
        return;
    }
    add_held_value(restored->set, known,
                   listed ? restored->changed_until : restored->missing_until);
    restored->n++;
}

static gboolean
hold_base_value(gpointer name, gpointer data, gpointer user)
{
    (void)data;
    Restored *restored = user;
    Value *known = value_in_use(restored->base, name);
    if (known && g_str_has_prefix(name, restored->prefix)) {
        hold_if_newer(restored, known);
    }
    return FALSE;
}

/* The same for values that base only holds. */
static gboolean
hold_base_held_value(gpointer name, gpointer data, gpointer user)
{
    const Restored *restored = user;
    return g_tree_lookup(restored->base->values, name)
               ? FALSE
               : hold_base_value(name, data, user);
}

size_t
LrValueSet_HoldNewer(LrValueSet *set, const LrValueSet *base,
                     const char *prefix, LrTime now, LrTime absence_hold)
{
    Restored restored = {
        .set = set,
        .base = base,
        .prefix = prefix,
        .missing_until = now + absence_hold,
        .changed_until = now + RESTORED_HOLD,
    };
    g_tree_foreach(base->values, hold_base_value, &restored);
    g_tree_foreach(base->held, hold_base_held_value, &restored);
    for (guint i = 0; i < base->tombstones->len; i++) {
        Value *tombstone = base->tombstones->pdata[i];
        if (g_str_has_prefix(tombstone->name, prefix) &&
            !g_tree_lookup(base->held, tombstone->name) &&
            !g_tree_lookup(base->values, tombstone->name)) {
            hold_if_newer(&restored, tombstone);
        }
    }
    return restored.n;
}

static gboolean
find_next_expiry(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    const HeldValue *held = data;
    LrTime *next = user;
    *next = MIN(*next, held->until);
    return FALSE;
}

LrTime
LrValueSet_NextHoldExpiry(const LrValueSet *set)
{
    LrTime next = LR_NEVER;
    g_tree_foreach(set->held, find_next_expiry, &next);
    return next;
}

typedef struct {
    GPtrArray *names;
    LrTime now;
} ExpiredNames;

static gboolean
collect_expired(gpointer name, gpointer data, gpointer user)
{
    const HeldValue *held = data;
    ExpiredNames *expired = user;
    if (held->until <= expired->now) {
        g_ptr_array_add(expired->names, name);
    }
    return FALSE;
}

void
LrValueSet_ExpireHeld(LrValueSet *set, LrTime now)
{
    ExpiredNames expired = {.names = g_ptr_array_new(), .now = now};
    g_tree_foreach(set->held, collect_expired, &expired);
    for (guint i = 0; i < expired.names->len; i++) {
        g_tree_remove(set->held, expired.names->pdata[i]);
    }
    g_ptr_array_unref(expired.names);
}

bool
LrValueSet_Has(const LrValueSet *set, const char *name, int64_t revision)
{
    const Value *value = g_tree_lookup(set->values, name);
    return value && value->revision == revision;
}

LrStr
LrValueSet_Get(const LrValueSet *set, const char *name)
{
    const Value *value = g_tree_lookup(set->values, name);
    return value ? (LrStr){.ptr = value->text, .len = value->len}
                 : LrStr_FromC("");
}

LrStr
LrValueSet_GetExtra(const LrValueSet *set, const char *name)
{
    const Value *value = g_tree_lookup(set->values, name);
    return LrStr_FromC(value && value->extra ? value->extra : "");
}

int64_t
LrValueSet_RevisionOf(const LrValueSet *set, const char *name)
{
    const Value *value = g_tree_lookup(set->values, name);
    return value ? value->revision : 0;
}

typedef struct {
    const LrValueSet *set;
    void (*func)(void *data, const char *name, LrStr text);
    void *data;
} Visitor;

static void
visit(const Visitor *visitor, const Value *value)
{
    visitor->func(visitor->data, value->name,
                  (LrStr){.ptr = value->text, .len = value->len});
}

static gboolean
visit_value(gpointer name, gpointer data, gpointer user)
{
    const Visitor *visitor = user;
    if (!g_tree_lookup(visitor->set->held, name)) {
        visit(visitor, data);
    }
    return FALSE;
}

static gboolean
visit_held_value(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    const HeldValue *held = data;
    if (held->value->len > 0) {
        visit(user, held->value);
    }
    return FALSE;
}

void
LrValueSet_Each(const LrValueSet *set,
                void (*func)(void *data, const char *name, LrStr text),
                void *data)
{
    Visitor visitor = {.set = set, .func = func, .data = data};
    g_tree_foreach(set->values, visit_value, &visitor);
    g_tree_foreach(set->held, visit_held_value, &visitor);
}

static gboolean
collect_name(gpointer name, gpointer value, gpointer user)
{
    (void)value;
    g_ptr_array_add(user, name);
    return FALSE;
}

GPtrArray *
LrValueSet_Names(const LrValueSet *set)
{
    GPtrArray *names = g_ptr_array_new();
    g_tree_foreach(set->values, collect_name, names);
    return names;
}

typedef struct {
    GString *text;
    const char *prefix;
    bool first;
} JsonAppender;

static gboolean
append_value(gpointer name, gpointer data, gpointer user)
{
    const Value *value = data;
    JsonAppender *appender = user;
    if (g_str_has_prefix(name, appender->prefix)) {
        g_string_append(appender->text, appender->first ? "" : ",");
        g_string_append_len(appender->text, value->text, (gssize)value->len);
        appender->first = false;
    }
    return FALSE;
}

static void
append_values(const LrValueSet *set, GString *text, const char *prefix)
{
    JsonAppender appender = {.text = text, .prefix = prefix, .first = true};
    g_tree_foreach(set->values, append_value, &appender);
}

char *
LrValueSet_ToJson(const LrValueSet *set)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "{\"revision\":%" G_GINT64_FORMAT ",\"services\":[",
                    set->revision);
    append_values(set, text, "service/");
    g_string_append(text, "],\"entries\":[");
    append_values(set, text, "entry/");
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

LrCatalogue *
LrValueSet_BuildCatalogue(const LrValueSet *set, LrFaults *faults)
{
    g_autofree char *text = LrValueSet_ToJson(set);
    return LrCatalogue_Parse(LrStr_FromC(text), faults);
}

int64_t
LrValueSet_EvacuationsRevision(const LrValueSet *set)
{
    return set->evacuations_revision;
}

void
LrValueSet_SetEvacuationsRevision(LrValueSet *set, int64_t revision)
{
    set->evacuations_revision = revision;
}

typedef struct {
    LrStr *zones;
    size_t n;
} EvacuatedZones;

static gboolean
add_evacuated_zone(gpointer name, gpointer data, gpointer user)
{
    (void)data;
    EvacuatedZones *evacuated = user;
    if (LrValueSet_IsEvacuation(name) &&
        evacuated->n < LR_MAX_EVACUATED_ZONES) {
        evacuated->zones[evacuated->n++] =
            LrStr_FromC((const char *)name + strlen(LR_EVACUATED_PREFIX));
    }
    return FALSE;
}

size_t
LrValueSet_EvacuatedZones(const LrValueSet *set, LrStr *zones)
{
    EvacuatedZones evacuated = {.zones = zones};
    g_tree_foreach(set->values, add_evacuated_zone, &evacuated);
    return evacuated.n;
}

void
LrValueSet_ReplaceEvacuations(LrValueSet *set, int64_t revision,
                              const LrStr *zones, size_t n_zones)
{
    GPtrArray *names = LrValueSet_Names(set);
    for (guint i = 0; i < names->len; i++) {
        if (LrValueSet_IsEvacuation(names->pdata[i])) {
            g_tree_remove(set->values, names->pdata[i]);
        }
    }
    g_ptr_array_unref(names);
    for (size_t i = 0; i < MIN(n_zones, LR_MAX_EVACUATED_ZONES); i++) {
        g_autofree char *zone = LrStr_Dup(zones[i]);
        g_autofree char *name = g_strconcat(LR_EVACUATED_PREFIX, zone, NULL);
        LrValueSet_Set(set, name, revision, LrStr_FromC("{}"));
    }
    set->evacuations_revision = revision;
}

static void
copy_evacuations(LrValueSet *to, const LrValueSet *from)
{
    LrStr zones[LR_MAX_EVACUATED_ZONES];
    size_t n_zones = LrValueSet_EvacuatedZones(from, zones);
    LrValueSet_ReplaceEvacuations(to, from->evacuations_revision, zones,
                                  n_zones);
}

static gboolean
digest_value(gpointer name, gpointer data, gpointer user)
{
    const Value *value = data;
    uint64_t *digest = user;
    if (LrValueSet_IsEvacuation(name)) {
        return FALSE;
    }
    LrStr text = {.ptr = value->text, .len = value->len};
    *digest = LrStr_Hash(LrStr_FromC(name), *digest);
    *digest = LrStr_Hash(text, *digest + (uint64_t)value->revision);
    return FALSE;
}

uint64_t
LrValueSet_Digest(const LrValueSet *set)
{
    uint64_t digest = (uint64_t)set->revision;
    g_tree_foreach(set->values, digest_value, &digest);
    return digest;
}

/* The digest as hexadecimal text, as in deltas. */
static char *
digest_text(const LrValueSet *set)
{
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x",
                           LrValueSet_Digest(set));
}

typedef struct {
    const LrValueSet *set;
    int64_t since;
    /* Values that the receiver can apply patches to. */
    const LrValueBaseMsg *bases;
    size_t n_bases;
    LrTime now;
    LrArena *arena;
    LrValueMsg *items;
    size_t n;
} Changes;

/* Revision of the value that the receiver has; -1 when it named none. */
static int64_t
base_revision_of(const Changes *changes, const Value *value)
{
    for (size_t i = 0; i < changes->n_bases; i++) {
        if (LrStr_EqualC(changes->bases[i].name, value->name)) {
            return changes->bases[i].revision;
        }
    }
    return -1;
}

/* Replaces the text by patches, if those since the receiver's value are
 * known. */
static void
use_patches(const Changes *changes, const Value *value, LrValueMsg *item)
{
    int64_t base_revision = base_revision_of(changes, value);
    guint n = value->changes ? value->changes->len : 0;
    guint first = 0;
    while (
        first < n &&
        ((const ValueChange *)value->changes->pdata[first])->base_revision !=
            base_revision) {
        first++;
    }
    if (first == n) {
        return;
    }
    item->text = LrStr_FromC("");
    item->n_patches = n - first;
    item->patches = LrArena_Alloc(changes->arena,
                                  item->n_patches * sizeof(LrTextPatchMsg));
    for (guint i = first; i < n; i++) {
        const ValueChange *change = value->changes->pdata[i];
        LrTextPatchMsg *patch = &item->patches[i - first];
        patch->base_revision = change->base_revision;
        LrTextPatch_ToMessage(change->patch, patch);
    }
}

static void
add_change(Changes *changes, const Value *value)
{
    if (value->revision <= changes->since) {
        return;
    }
    LrValueMsg *item = &changes->items[changes->n++];
    *item = (LrValueMsg){
        .name = LrStr_FromC(value->name),
        .revision = value->revision,
        .text = {.ptr = value->text, .len = value->len},
        .extra = LrStr_FromC(value->extra ? value->extra : ""),
    };
    const HeldValue *held = g_tree_lookup(changes->set->held, value->name);
    if (value->len == 0 && held && held->value->len > 0 &&
        held->until > changes->now) {
        item->held_ms = (held->until - changes->now) / LR_MILLISECOND;
    }
    if (changes->since > 0) {
        use_patches(changes, value, item);
    }
}

static gboolean
add_changed(gpointer name, gpointer data, gpointer user)
{
    if (!LrValueSet_IsEvacuation(name)) {
        add_change(user, data);
    }
    return FALSE;
}

typedef struct {
    LrValueBaseMsg *bases;
    size_t n;
} Bases;

static gboolean
add_base(gpointer name, gpointer data, gpointer user)
{
    const Value *value = data;
    Bases *bases = user;
    if (is_long(value) && bases->n < LR_MAX_DELTA_BASES) {
        bases->bases[bases->n++] = (LrValueBaseMsg){
            .name = LrStr_FromC(name),
            .revision = value->revision,
        };
    }
    return FALSE;
}

size_t
LrValueSet_Bases(const LrValueSet *set,
                 LrValueBaseMsg bases[LR_MAX_DELTA_BASES])
{
    Bases found = {.bases = bases};
    g_tree_foreach(set->values, add_base, &found);
    return found.n;
}

void
LrValueSet_MakeDelta(const LrValueSet *set, int64_t since, LrTime now,
                     LrArena *arena, LrDeltaMsg *delta)
{
    LrValueSet_MakeDeltaOnBases(set, since, NULL, 0, now, arena, delta);
}

void
LrValueSet_MakeDeltaOnBases(const LrValueSet *set, int64_t since,
                            const LrValueBaseMsg *bases, size_t n_bases,
                            LrTime now, LrArena *arena, LrDeltaMsg *delta)
{
    LrRecord_Init(&LrDeltaMsg_Descriptor, delta);
    if (since < set->compacted_revision || since > set->revision) {
        since = 0;
    }
    size_t max_items =
        (size_t)g_tree_nnodes(set->values) + set->tombstones->len;
    Changes changes = {
        .set = set,
        .since = since,
        .bases = bases,
        .n_bases = n_bases,
        .now = now,
        .arena = arena,
        .items = LrArena_Alloc(arena, max_items * sizeof(LrValueMsg)),
    };
    for (guint i = 0; since > 0 && i < set->tombstones->len; i++) {
        add_change(&changes, set->tombstones->pdata[i]);
    }
    g_tree_foreach(set->values, add_changed, &changes);
    g_autofree char *digest = digest_text(set);
    delta->since = since;
    delta->revision = set->revision;
    delta->digest = LrArena_Copy(arena, LrStr_FromC(digest));
    delta->values = changes.items;
    delta->n_values = changes.n;
}

static bool
digest_matches(const LrValueSet *set, LrStr expected)
{
    g_autofree char *digest = digest_text(set);
    return LrStr_EqualC(expected, digest);
}

/* The value that a patch makes from a former one; NULL when it doesn't fit. */
static Value *
make_patched(const Value *former, const LrTextPatchMsg *message,
             int64_t revision)
{
    if (former->revision != message->base_revision) {
        return NULL;
    }
    LrTextPatch *patch = LrTextPatch_FromMessage(message);
    LrStr base = {.ptr = former->text, .len = former->len};
    size_t len;
    char *text = LrTextPatch_Apply(patch, base, MAX_PATCHED_BYTES, &len);
    if (!text) {
        LrTextPatch_Free(patch);
        return NULL;
    }
    Value *value = g_new0(Value, 1);
    value->refs = 1;
    value->name = g_strdup(former->name);
    value->revision = revision;
    value->text = text;
    value->len = len;
    set_changes(value, former, patch);
    return value;
}

/* Replaces the text of a long value as the patches say, one after the other;
 * false when they don't fit. */
static bool
apply_patches(LrValueSet *set, const char *name, const LrValueMsg *message)
{
    Value *value = g_tree_lookup(set->values, name);
    if (value) {
        value->refs++;
    }
    for (size_t i = 0; value && i < message->n_patches; i++) {
        int64_t revision = i + 1 < message->n_patches
                               ? message->patches[i + 1].base_revision
                               : message->revision;
        Value *former = value;
        value = make_patched(former, &message->patches[i], revision);
        unref_value(former);
    }
    if (!value) {
        return false;
    }
    value->extra = message->extra.len > 0 ? LrStr_Dup(message->extra) : NULL;
    g_tree_remove(set->held, name);
    g_tree_replace(set->values, value->name, value);
    return true;
}

/* False when patches don't fit the value that the set has. */
static bool
apply_value(LrValueSet *set, const LrValueMsg *value, LrTime now)
{
    g_autofree char *name = LrStr_Dup(value->name);
    if (LrValueSet_IsEvacuation(name)) {
        return true;
    }
    if (value->n_patches > 0) {
        return apply_patches(set, name, value);
    }
    if (value->text.len > 0) {
        LrValueSet_SetWithExtra(set, name, value->revision, value->text,
                                value->extra);
    }
    else if (value->held_ms > 0) {
        LrValueSet_Hold(set, name, value->revision,
                        now + value->held_ms * LR_MILLISECOND);
    }
    else {
        LrValueSet_Remove(set, name, value->revision);
    }
    return true;
}

LrValueSet *
LrValueSet_ApplyDelta(const LrValueSet *set, const LrDeltaMsg *delta,
                      LrTime now)
{
    if (delta->since != 0 && delta->since != set->revision) {
        return NULL;
    }
    LrValueSet *result =
        delta->since ? LrValueSet_Fork(set) : LrValueSet_New();
    bool fits = true;
    for (size_t i = 0; fits && i < delta->n_values; i++) {
        fits = apply_value(result, &delta->values[i], now);
    }
    LrValueSet_SetRevision(result, delta->revision);
    if (!fits || !digest_matches(result, delta->digest)) {
        LrValueSet_Free(result);
        return NULL;
    }
    if (delta->since == 0) {
        result->compacted_revision = delta->revision;
        copy_evacuations(result, set);
    }
    return result;
}
