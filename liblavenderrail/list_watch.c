/* List-then-watch reader of a versioned key-value service. */
#include "list_watch.h"

/* Limits the load on the service during an outage to about one call a second
 * from each host. */
#define RETRY_MAX LR_SECOND
/* A shorter failure doesn't count as an outage: the owners of entries were not
 * kept from renewing them. */
#define OUTAGE_MIN (500 * LR_MILLISECOND)
/* Delay of the next watch after one that returned changes, so that further
 * changes are returned in one batch. */
#define GATHER (250 * LR_MILLISECOND)

struct LrListWatch {
    LrListWatchConfig config;
    bool reading;
    LrTime due;
    /* A list has begun; the last list is complete. */
    bool listing;
    bool listed;
    /* A watch can't start from the active values: the history after their
     * revision is compacted, or newer values were rejected. */
    bool must_list;
    char *after_key;
    int64_t list_revision;
    /* Items of the list so far, or changes since the last set of values. */
    GHashTable *items;
    bool list_complete;
    int64_t revision;
    bool changed;
    LrTime heard_at;
    LrTime failing_since;
    LrTime hold_until;
    unsigned failures;
};

typedef struct {
    int64_t revision;
    char *text;
    size_t len;
} Item;

static void
free_item(gpointer data)
{
    Item *item = data;
    g_free(item->text);
    g_free(item);
}

LrListWatch *
LrListWatch_New(const LrListWatchConfig *config)
{
    LrListWatch *feed = g_new0(LrListWatch, 1);
    feed->config = *config;
    feed->items =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
    return feed;
}

void
LrListWatch_Free(LrListWatch *feed)
{
    if (!feed) {
        return;
    }
    g_hash_table_unref(feed->items);
    g_free(feed->after_key);
    g_free(feed);
}

void
LrListWatch_SetReading(LrListWatch *feed, bool reading, LrTime now)
{
    if (reading && !feed->reading) {
        feed->due = now;
    }
    feed->reading = reading;
}

/* Values that came from peers are complete at their revision, which their
 * digest has verified, so a watch may start there without a list. */
static void
go_on_from(LrListWatch *feed, const LrValueSet *base)
{
    if (!feed->listed && !feed->listing && !feed->must_list &&
        LrValueSet_Revision(base) > 0) {
        feed->listed = true;
        feed->revision = LrValueSet_Revision(base);
    }
}

LrListWatchCall
LrListWatch_NextCall(LrListWatch *feed, const LrValueSet *base, LrTime now)
{
    LrListWatchCall call = {.not_before = MAX(feed->due, now)};
    if (!feed->reading) {
        return call;
    }
    go_on_from(feed, base);
    if (!feed->listed) {
        call.kind = LR_LIST_WATCH_LIST;
        call.after_key = feed->after_key;
        return call;
    }
    call.kind = LR_LIST_WATCH_WATCH;
    call.long_poll = feed->failing_since == 0;
    call.after_revision = MAX(feed->revision, LrValueSet_Revision(base));
    return call;
}

/* Records a successful call. After an outage, values that are missing will be
 * held for a while. */
static void
note_success(LrListWatch *feed, LrTime now)
{
    if (feed->failing_since > 0) {
        LrTime outage = now - feed->failing_since;
        LR_LOG(feed->config.log, LOG_NOTICE, "source_regained",
               LrLog_Int("outage_ms", outage / LR_MILLISECOND));
        if (outage >= OUTAGE_MIN) {
            feed->hold_until = now + feed->config.absence_hold;
        }
    }
    feed->failing_since = 0;
    feed->failures = 0;
    feed->heard_at = now;
}

static void
put_item(LrListWatch *feed, const LrListWatchItem *given)
{
    char *name = LrStr_Dup(given->name);
    const Item *known = g_hash_table_lookup(feed->items, name);
    if (known && known->revision > given->revision) {
        g_free(name);
        return;
    }
    Item *item = g_new0(Item, 1);
    item->revision = given->revision;
    item->text = LrStr_Dup(given->text);
    item->len = given->text.len;
    g_hash_table_replace(feed->items, name, item);
    feed->changed = true;
}

static void
start_list(LrListWatch *feed)
{
    g_hash_table_remove_all(feed->items);
    g_clear_pointer(&feed->after_key, g_free);
    feed->listing = false;
    feed->listed = false;
    feed->must_list = true;
    feed->list_complete = false;
}

void
LrListWatch_OnPage(LrListWatch *feed, LrTime now, const LrListWatchItem *items,
                   size_t n_items, const char *last_key, bool more,
                   int64_t revision)
{
    note_success(feed, now);
    if (!feed->listing) {
        g_hash_table_remove_all(feed->items);
        feed->listing = true;
        /* The pages of a list are read at different revisions: the watch has
         * to start from that of the first page. */
        feed->list_revision = revision;
    }
    for (size_t i = 0; i < n_items; i++) {
        put_item(feed, &items[i]);
    }
    g_free(feed->after_key);
    feed->after_key = g_strdup(last_key);
    feed->due = now;
    if (more) {
        return;
    }
    g_clear_pointer(&feed->after_key, g_free);
    feed->listing = false;
    feed->listed = true;
    feed->must_list = false;
    feed->list_complete = true;
    feed->changed = true;
    feed->revision = feed->list_revision;
}

void
LrListWatch_OnEvents(LrListWatch *feed, LrTime now,
                     const LrListWatchItem *items, size_t n_items,
                     int64_t revision)
{
    note_success(feed, now);
    for (size_t i = 0; i < n_items; i++) {
        put_item(feed, &items[i]);
    }
    feed->revision = MAX(feed->revision, revision);
    feed->due = n_items > 0 ? now + GATHER : now;
}

void
LrListWatch_OnCompacted(LrListWatch *feed, LrTime now)
{
    note_success(feed, now);
    LR_LOG(feed->config.log, LOG_NOTICE, "source_history_gone",
           LrLog_Int("revision", feed->revision));
    start_list(feed);
    feed->due = now;
}

void
LrListWatch_OnRefused(LrListWatch *feed, LrTime now)
{
    start_list(feed);
    feed->due = now + RETRY_MAX;
}

void
LrListWatch_OnFailure(LrListWatch *feed, LrTime now, const char *why)
{
    LrCounters_Add(feed->config.counters, LR_COUNT_SOURCE_FAILURES, 1);
    if (feed->failing_since == 0) {
        feed->failing_since = now;
        LR_LOG(feed->config.log, LOG_WARNING, "source_lost",
               LrLog_CStr("why", why), LrLog_Int("revision", feed->revision));
    }
    LR_LOG(feed->config.log, LOG_INFO, "source_call_failed",
           LrLog_CStr("why", why), LrLog_Int("failures", feed->failures + 1));
    LrTime pause = feed->config.initial_backoff << MIN(feed->failures, 8);
    double jitter = 0.5 + LrRandom_Uniform(feed->config.random);
    feed->failures++;
    feed->due = now + (LrTime)((double)MIN(pause, RETRY_MAX) * jitter);
}

static void
hold_or_remove(LrListWatch *feed, LrValueSet *store, const char *name,
               LrTime now)
{
    int64_t revision = LrValueSet_Revision(store);
    if (now >= feed->hold_until) {
        LrValueSet_Remove(store, name, revision);
        return;
    }
    LrValueSet_Hold(store, name, revision, feed->hold_until);
    LR_LOG(feed->config.log, LOG_INFO, "absent_entry_held",
           LrLog_CStr("name", name),
           LrLog_Int("ms", (feed->hold_until - now) / LR_MILLISECOND));
}

static void
apply_items(LrListWatch *feed, LrValueSet *store, LrTime now)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, feed->items);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const Item *item = value;
        LrStr text = {.ptr = item->text, .len = item->len};
        if (text.len == 0) {
            hold_or_remove(feed, store, name, now);
            continue;
        }
        if (!LrValueSet_Has(store, name, item->revision)) {
            LrValueSet_Set(store, name, item->revision, text);
        }
    }
}

/* Removes or holds the values that a complete list doesn't contain. */
static void
drop_unlisted(LrListWatch *feed, LrValueSet *store, LrTime now)
{
    GPtrArray *names = LrValueSet_Names(store);
    for (guint i = 0; i < names->len; i++) {
        if (!g_hash_table_contains(feed->items, names->pdata[i])) {
            g_autofree char *name = g_strdup(names->pdata[i]);
            hold_or_remove(feed, store, name, now);
        }
    }
    g_ptr_array_unref(names);
}

LrValueSet *
LrListWatch_TakeValues(LrListWatch *feed, const LrValueSet *base, LrTime now)
{
    bool behind = feed->revision < LrValueSet_Revision(base);
    bool take = feed->changed && feed->listed && !behind;
    LrValueSet *store = NULL;
    if (take) {
        store = LrValueSet_Fork(base);
        LrValueSet_SetRevision(store,
                               MAX(feed->revision, LrValueSet_Revision(base)));
        if (feed->list_complete) {
            drop_unlisted(feed, store, now);
        }
        apply_items(feed, store, now);
    }
    if (feed->listed) {
        g_hash_table_remove_all(feed->items);
        feed->changed = false;
        feed->list_complete = false;
    }
    return store;
}

LrTime
LrListWatch_LastSuccessAt(const LrListWatch *feed)
{
    return feed->heard_at;
}

bool
LrListWatch_IsFailing(const LrListWatch *feed)
{
    return feed->failing_since > 0;
}
