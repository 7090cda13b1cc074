/* The named values of a catalogue, each with the revision of its last change.
 *
 * A new set is built as a copy and activated as a whole. A delta holds the
 * values that changed after a revision, so the size of an update depends on
 * what changed and not on the catalogue. A digest over names, revisions and
 * texts shows whether applying a delta gave the same set. */
#include "lavenderrail.h"

#include <string.h>

/* Tombstones of removed values; the oldest is dropped when there are more. */
enum { MAX_REMOVED = 1024 };

typedef struct {
    char *name;
    int64_t revision;
    char *text;
    size_t len;
    int refs;
} Value;

/* A removed value that stays in use until a time. */
typedef struct {
    Value *value;
    LrTime until;
} Held;

struct LrValueSet {
    GTree *values;
    /* Not part of the digest, since daemons may hold a value for different
     * times. */
    GTree *held;
    GPtrArray *removed;
    int64_t revision;
    /* Tombstones up to this revision may have been dropped; a delta since an
     * older one has to hold all values. */
    int64_t horizon;
};

static void
unref_value(gpointer data)
{
    Value *value = data;
    if (--value->refs > 0) {
        return;
    }
    g_free(value->name);
    g_free(value->text);
    g_free(value);
}

static void
free_held(gpointer data)
{
    Held *held = data;
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
    LrValueSet *store = g_new0(LrValueSet, 1);
    store->values = g_tree_new_full(compare_names, NULL, NULL, unref_value);
    store->held = g_tree_new_full(compare_names, NULL, NULL, free_held);
    store->removed = g_ptr_array_new_with_free_func(unref_value);
    return store;
}

void
LrValueSet_Free(LrValueSet *store)
{
    if (!store) {
        return;
    }
    g_tree_unref(store->values);
    g_tree_unref(store->held);
    g_ptr_array_unref(store->removed);
    g_free(store);
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
add_held(LrValueSet *store, Value *value, LrTime until)
{
    Held *held = g_new0(Held, 1);
    held->value = value;
    held->until = until;
    value->refs++;
    g_tree_replace(store->held, value->name, held);
}

static gboolean
copy_held(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    const Held *held = data;
    add_held(user, held->value, held->until);
    return FALSE;
}

LrValueSet *
LrValueSet_Fork(const LrValueSet *store)
{
    LrValueSet *copy = LrValueSet_New();
    copy->revision = store->revision;
    copy->horizon = store->horizon;
    g_tree_foreach(store->values, copy_value, copy);
    g_tree_foreach(store->held, copy_held, copy);
    for (guint i = 0; i < store->removed->len; i++) {
        Value *value = store->removed->pdata[i];
        value->refs++;
        g_ptr_array_add(copy->removed, value);
    }
    return copy;
}

int64_t
LrValueSet_Revision(const LrValueSet *store)
{
    return store->revision;
}

void
LrValueSet_SetRevision(LrValueSet *store, int64_t revision)
{
    store->revision = revision;
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
LrValueSet_Set(LrValueSet *store, const char *name, int64_t revision,
               LrStr text)
{
    Value *value = new_value(name, revision, text);
    g_tree_remove(store->held, name);
    g_tree_replace(store->values, value->name, value);
}

void
LrValueSet_Remove(LrValueSet *store, const char *name, int64_t revision)
{
    if (!g_tree_lookup(store->values, name)) {
        return;
    }
    Value *gone = new_value(name, revision, LrStr_FromC(""));
    g_tree_remove(store->values, name);
    if (store->removed->len == MAX_REMOVED) {
        const Value *oldest = store->removed->pdata[0];
        store->horizon = MAX(store->horizon, oldest->revision);
        g_ptr_array_remove_index(store->removed, 0);
    }
    g_ptr_array_add(store->removed, gone);
}

void
LrValueSet_Hold(LrValueSet *store, const char *name, int64_t revision,
                LrTime until)
{
    Value *value = g_tree_lookup(store->values, name);
    if (value) {
        add_held(store, value, until);
        LrValueSet_Remove(store, name, revision);
    }
}

static gboolean
find_next(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    const Held *held = data;
    LrTime *next = user;
    *next = MIN(*next, held->until);
    return FALSE;
}

LrTime
LrValueSet_NextHoldExpiry(const LrValueSet *store)
{
    LrTime next = LR_NEVER;
    g_tree_foreach(store->held, find_next, &next);
    return next;
}

typedef struct {
    GPtrArray *names;
    LrTime now;
} Due;

static gboolean
collect_due(gpointer name, gpointer data, gpointer user)
{
    const Held *held = data;
    Due *due = user;
    if (held->until <= due->now) {
        g_ptr_array_add(due->names, name);
    }
    return FALSE;
}

void
LrValueSet_ExpireHeld(LrValueSet *store, LrTime now)
{
    Due due = {.names = g_ptr_array_new(), .now = now};
    g_tree_foreach(store->held, collect_due, &due);
    for (guint i = 0; i < due.names->len; i++) {
        g_tree_remove(store->held, due.names->pdata[i]);
    }
    g_ptr_array_unref(due.names);
}

bool
LrValueSet_Has(const LrValueSet *store, const char *name, int64_t revision)
{
    const Value *value = g_tree_lookup(store->values, name);
    return value && value->revision == revision;
}

LrStr
LrValueSet_Get(const LrValueSet *store, const char *name)
{
    const Value *value = g_tree_lookup(store->values, name);
    return value ? (LrStr){.ptr = value->text, .len = value->len}
                 : LrStr_FromC("");
}

typedef struct {
    void (*func)(void *data, const char *name, LrStr text);
    void *data;
} Visitor;

static gboolean
visit_value(gpointer name, gpointer data, gpointer user)
{
    const Value *value = data;
    const Visitor *visitor = user;
    visitor->func(visitor->data, name,
                  (LrStr){.ptr = value->text, .len = value->len});
    return FALSE;
}

static gboolean
visit_held(gpointer name, gpointer data, gpointer user)
{
    const Held *held = data;
    return visit_value(name, held->value, user);
}

void
LrValueSet_Each(const LrValueSet *store,
                void (*func)(void *data, const char *name, LrStr text),
                void *data)
{
    Visitor visitor = {.func = func, .data = data};
    g_tree_foreach(store->values, visit_value, &visitor);
    g_tree_foreach(store->held, visit_held, &visitor);
}

static gboolean
collect_name(gpointer name, gpointer value, gpointer user)
{
    (void)value;
    g_ptr_array_add(user, name);
    return FALSE;
}

GPtrArray *
LrValueSet_Names(const LrValueSet *store)
{
    GPtrArray *names = g_ptr_array_new();
    g_tree_foreach(store->values, collect_name, names);
    return names;
}

typedef struct {
    GString *text;
    const char *prefix;
    bool first;
} Appender;

static gboolean
append_value(gpointer name, gpointer data, gpointer user)
{
    const Value *value = data;
    Appender *appender = user;
    if (g_str_has_prefix(name, appender->prefix)) {
        g_string_append(appender->text, appender->first ? "" : ",");
        g_string_append_len(appender->text, value->text, (gssize)value->len);
        appender->first = false;
    }
    return FALSE;
}

static void
append_values(const LrValueSet *store, GString *text, const char *prefix)
{
    Appender appender = {.text = text, .prefix = prefix, .first = true};
    g_tree_foreach(store->values, append_value, &appender);
}

char *
LrValueSet_ToJson(const LrValueSet *store)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "{\"revision\":%" G_GINT64_FORMAT ",\"services\":[",
                    store->revision);
    append_values(store, text, "service/");
    g_string_append(text, "],\"entries\":[");
    append_values(store, text, "entry/");
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

LrCatalogue *
LrValueSet_BuildCatalogue(const LrValueSet *store, LrFaults *faults)
{
    g_autofree char *text = LrValueSet_ToJson(store);
    return LrCatalogue_Parse(LrStr_FromC(text), faults);
}

static gboolean
digest_value(gpointer name, gpointer data, gpointer user)
{
    const Value *value = data;
    uint64_t *digest = user;
    LrStr text = {.ptr = value->text, .len = value->len};
    *digest = LrStr_Hash(LrStr_FromC(name), *digest);
    *digest = LrStr_Hash(text, *digest + (uint64_t)value->revision);
    return FALSE;
}

uint64_t
LrValueSet_Digest(const LrValueSet *store)
{
    uint64_t digest = (uint64_t)store->revision;
    g_tree_foreach(store->values, digest_value, &digest);
    return digest;
}

/* The digest as hexadecimal text, as in deltas. */
static char *
digest_text(const LrValueSet *store)
{
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x",
                           LrValueSet_Digest(store));
}

typedef struct {
    const LrValueSet *store;
    int64_t since;
    LrTime now;
    LrValueMsg *items;
    size_t n;
} Changes;

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
    };
    const Held *held = g_tree_lookup(changes->store->held, value->name);
    if (value->len == 0 && held && held->until > changes->now) {
        item->held_ms = (held->until - changes->now) / LR_MILLISECOND;
    }
}

static gboolean
add_changed(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    add_change(user, data);
    return FALSE;
}

void
LrValueSet_MakeDelta(const LrValueSet *store, int64_t since, LrTime now,
                     LrArena *arena, LrDeltaMsg *delta)
{
    LrRecord_Init(&LrDeltaMsg_Spec, delta);
    if (since < store->horizon || since > store->revision) {
        since = 0;
    }
    size_t most = (size_t)g_tree_nnodes(store->values) + store->removed->len;
    Changes changes = {
        .store = store,
        .since = since,
        .now = now,
        .items = LrArena_Alloc(arena, most * sizeof(LrValueMsg)),
    };
    for (guint i = 0; since > 0 && i < store->removed->len; i++) {
        add_change(&changes, store->removed->pdata[i]);
    }
    g_tree_foreach(store->values, add_changed, &changes);
    g_autofree char *digest = digest_text(store);
    delta->since = since;
    delta->revision = store->revision;
    delta->digest = LrArena_Copy(arena, LrStr_FromC(digest));
    delta->values = changes.items;
    delta->n_values = changes.n;
}

static bool
digest_matches(const LrValueSet *store, LrStr expected)
{
    g_autofree char *digest = digest_text(store);
    return LrStr_EqualC(expected, digest);
}

static void
apply_value(LrValueSet *store, const LrValueMsg *value, LrTime now)
{
    g_autofree char *name = LrStr_Dup(value->name);
    if (value->text.len > 0) {
        LrValueSet_Set(store, name, value->revision, value->text);
    }
    else if (value->held_ms > 0) {
        LrValueSet_Hold(store, name, value->revision,
                        now + value->held_ms * LR_MILLISECOND);
    }
    else {
        LrValueSet_Remove(store, name, value->revision);
    }
}

LrValueSet *
LrValueSet_ApplyDelta(const LrValueSet *store, const LrDeltaMsg *delta,
                      LrTime now)
{
    if (delta->since != 0 && delta->since != store->revision) {
        return NULL;
    }
    LrValueSet *result =
        delta->since ? LrValueSet_Fork(store) : LrValueSet_New();
    for (size_t i = 0; i < delta->n_values; i++) {
        apply_value(result, &delta->values[i], now);
    }
    LrValueSet_SetRevision(result, delta->revision);
    if (!digest_matches(result, delta->digest)) {
        LrValueSet_Free(result);
        return NULL;
    }
    if (delta->since == 0) {
        result->horizon = delta->revision;
    }
    return result;
}
