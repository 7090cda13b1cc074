/* Named values of a catalogue and the revision that changed each last.
 *
 * Stores are built aside and put in force as a whole. A delta holds the
 * values that changed after a revision, so that a change costs its own size;
 * a digest over names and revisions shows whether the result is the same. */
#include "lavenderrail.h"

#include <string.h>

/* Removed values are remembered up to this number. */
enum { MAX_REMOVED = 1024 };

typedef struct {
    char *name;
    int64_t revision;
    char *text;
    size_t len;
    int refs;
} Value;

struct LrStore {
    GTree *values;
    GPtrArray *removed;
    int64_t revision;
    /* Removals up to this revision may have been forgotten. */
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

static int
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

LrStore *
LrStore_New(void)
{
    LrStore *store = g_new0(LrStore, 1);
    store->values = g_tree_new_full(compare_names, NULL, NULL, unref_value);
    store->removed = g_ptr_array_new_with_free_func(unref_value);
    return store;
}

void
LrStore_Free(LrStore *store)
{
    if (!store) {
        return;
    }
    g_tree_unref(store->values);
    g_ptr_array_unref(store->removed);
    g_free(store);
}

static gboolean
copy_value(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    Value *value = data;
    LrStore *copy = user;
    value->refs++;
    g_tree_insert(copy->values, value->name, value);
    return FALSE;
}

LrStore *
LrStore_Fork(const LrStore *store)
{
    LrStore *copy = LrStore_New();
    copy->revision = store->revision;
    copy->horizon = store->horizon;
    g_tree_foreach(store->values, copy_value, copy);
    for (guint i = 0; i < store->removed->len; i++) {
        Value *value = store->removed->pdata[i];
        value->refs++;
        g_ptr_array_add(copy->removed, value);
    }
    return copy;
}

int64_t
LrStore_Revision(const LrStore *store)
{
    return store->revision;
}

void
LrStore_SetRevision(LrStore *store, int64_t revision)
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
LrStore_Set(LrStore *store, const char *name, int64_t revision, LrStr text)
{
    Value *value = new_value(name, revision, text);
    g_tree_replace(store->values, value->name, value);
}

void
LrStore_Remove(LrStore *store, const char *name, int64_t revision)
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

bool
LrStore_Has(const LrStore *store, const char *name, int64_t revision)
{
    const Value *value = g_tree_lookup(store->values, name);
    return value && value->revision == revision;
}

LrStr
LrStore_Get(const LrStore *store, const char *name)
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

void
LrStore_Each(const LrStore *store,
             void (*func)(void *data, const char *name, LrStr text),
             void *data)
{
    Visitor visitor = {.func = func, .data = data};
    g_tree_foreach(store->values, visit_value, &visitor);
}

static gboolean
collect_name(gpointer name, gpointer value, gpointer user)
{
    (void)value;
    g_ptr_array_add(user, name);
    return FALSE;
}

GPtrArray *
LrStore_Names(const LrStore *store)
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
append_values(const LrStore *store, GString *text, const char *prefix)
{
    Appender appender = {.text = text, .prefix = prefix, .first = true};
    g_tree_foreach(store->values, append_value, &appender);
}

char *
LrStore_Assemble(const LrStore *store)
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
LrStore_Build(const LrStore *store, LrFaults *faults)
{
    g_autofree char *text = LrStore_Assemble(store);
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
LrStore_Digest(const LrStore *store)
{
    uint64_t digest = (uint64_t)store->revision;
    g_tree_foreach(store->values, digest_value, &digest);
    return digest;
}

/* The digest as deltas carry it. */
static char *
digest_text(const LrStore *store)
{
    return g_strdup_printf("%016" G_GINT64_MODIFIER "x",
                           LrStore_Digest(store));
}

typedef struct {
    int64_t since;
    LrValueMsg *items;
    size_t n;
} Changes;

static void
add_change(Changes *changes, const Value *value)
{
    if (value->revision <= changes->since) {
        return;
    }
    changes->items[changes->n++] = (LrValueMsg){
        .name = LrStr_FromC(value->name),
        .revision = value->revision,
        .text = {.ptr = value->text, .len = value->len},
    };
}

static gboolean
add_changed(gpointer name, gpointer data, gpointer user)
{
    (void)name;
    add_change(user, data);
    return FALSE;
}

void
LrStore_Delta(const LrStore *store, int64_t since, LrArena *arena,
              LrDeltaMsg *delta)
{
    LrRecord_Init(&LrDeltaMsg_Spec, delta);
    if (since < store->horizon || since > store->revision) {
        since = 0;
    }
    size_t most = (size_t)g_tree_nnodes(store->values) + store->removed->len;
    Changes changes = {
        .since = since,
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
digest_matches(const LrStore *store, LrStr expected)
{
    g_autofree char *digest = digest_text(store);
    return LrStr_EqualC(expected, digest);
}

LrStore *
LrStore_Apply(const LrStore *store, const LrDeltaMsg *delta)
{
    if (delta->since != 0 && delta->since != store->revision) {
        return NULL;
    }
    LrStore *result = delta->since ? LrStore_Fork(store) : LrStore_New();
    for (size_t i = 0; i < delta->n_values; i++) {
        const LrValueMsg *value = &delta->values[i];
        g_autofree char *name = LrStr_Dup(value->name);
        if (value->text.len > 0) {
            LrStore_Set(result, name, value->revision, value->text);
        }
        else {
            LrStore_Remove(result, name, value->revision);
        }
    }
    LrStore_SetRevision(result, delta->revision);
    if (!digest_matches(result, delta->digest)) {
        LrStore_Free(result);
        return NULL;
    }
    if (delta->since == 0) {
        result->horizon = delta->revision;
    }
    return result;
}
