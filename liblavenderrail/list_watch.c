/* List-then-watch reader of a versioned key-value service. */
#include "list_watch.h"

#include "routing.h"

/* Limits the load on the service during an outage to about one call a second
 * from each host. */
#define MAX_BACKOFF LR_SECOND
/* A shorter failure doesn't count as an outage: the owners of entries were not
 * kept from renewing them. */
#define MIN_OUTAGE (500 * LR_MILLISECOND)
/* Delay of the next watch after one that returned changes, so that further
 * changes are returned in one batch. */
#define EVENT_BATCH_DELAY (250 * LR_MILLISECOND)

struct LrListWatch {
    LrListWatchConfig config;
    bool reading;
    LrTime not_before;
    /* A list has begun; the values are complete and a watch may start. */
    bool listing;
    bool listed;
    /* A watch can't start from the active values: the history after their
     * revision is compacted, or newer values were rejected. */
    bool relist_required;
    char *after_key;
    LrListWatchPosition list_position;
    /* Items of the list so far, or changes since the last set of values. */
    GHashTable *pending_items;
    bool list_complete;
    /* Revision of the values, and the position that the last watch was sent
     * for. */
    int64_t watch_revision;
    int64_t watched_from;
    /* Watches without history since the last one that was answered. */
    unsigned n_compacted;
    bool changed;
    LrTime last_success_at;
    LrTime failing_since;
    LrTime hold_until;
    unsigned failures;
};

typedef struct {
    int64_t revision;
    char *text;
    size_t len;
    char *extra;
} Item;

static void
free_item(gpointer data)
{
    Item *item = data;
    g_free(item->text);
    g_free(item->extra);
    g_free(item);
}

LrListWatch *
LrListWatch_New(const LrListWatchConfig *config)
{
    LrListWatch *list_watch = g_new0(LrListWatch, 1);
    list_watch->config = *config;
    list_watch->pending_items =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
    return list_watch;
}

void
LrListWatch_Free(LrListWatch *list_watch)
{
    if (!list_watch) {
        return;
    }
    g_hash_table_unref(list_watch->pending_items);
    g_free(list_watch->after_key);
    g_free(list_watch);
}

void
LrListWatch_SetReading(LrListWatch *list_watch, bool reading, LrTime now)
{
    if (reading && !list_watch->reading) {
        list_watch->not_before = now;
    }
    list_watch->reading = reading;
}

/* Up to which the values are complete, together with the evacuated zones: the
 * former may come from a peer that doesn't know the latter. */
static int64_t
complete_revision(const LrValueSet *base)
{
    return MIN(LrValueSet_Revision(base),
               LrValueSet_EvacuationsRevision(base));
}

/* Values that came from peers are complete at their revision, which their
 * digest has verified, so a watch may start there without a list. */
static void
resume_from(LrListWatch *list_watch, const LrValueSet *base)
{
    if (!list_watch->listed && !list_watch->listing &&
        !list_watch->relist_required && complete_revision(base) > 0) {
        list_watch->listed = true;
        list_watch->watch_revision = complete_revision(base);
    }
}

LrListWatchCall
LrListWatch_NextCall(LrListWatch *list_watch, const LrValueSet *base,
                     LrTime now)
{
    LrListWatchCall call = {.not_before = MAX(list_watch->not_before, now)};
    if (!list_watch->reading) {
        return call;
    }
    resume_from(list_watch, base);
    if (!list_watch->listed) {
        call.kind = LR_LIST_WATCH_LIST;
        call.after_key = list_watch->after_key;
        return call;
    }
    call.kind = LR_LIST_WATCH_WATCH;
    call.long_poll = list_watch->failing_since == 0;
    list_watch->watched_from =
        MAX(list_watch->watch_revision, complete_revision(base));
    call.after_revision = LrRevision_OfService(list_watch->watched_from);
    return call;
}

/* Records a successful call. After an outage, values that are missing will be
 * held for a while. */
static void
record_success(LrListWatch *list_watch, LrTime now)
{
    if (list_watch->failing_since > 0) {
        LrTime outage = now - list_watch->failing_since;
        LR_LOG(list_watch->config.log, LOG_NOTICE, "source_regained",
               LrLog_Int("outage_ms", outage / LR_MILLISECOND));
        if (outage >= MIN_OUTAGE) {
            list_watch->hold_until = now + list_watch->config.absence_hold;
        }
    }
    list_watch->failing_since = 0;
    list_watch->failures = 0;
    list_watch->last_success_at = now;
}

static void
store_item(LrListWatch *list_watch, int64_t era,
           const LrListWatchItem *received)
{
    int64_t revision = LrRevision_Make(era, received->revision);
    char *name = LrStr_Dup(received->name);
    const Item *known = g_hash_table_lookup(list_watch->pending_items, name);
    if (known && known->revision > revision) {
        g_free(name);
        return;
    }
    Item *item = g_new0(Item, 1);
    item->revision = revision;
    item->text = LrStr_Dup(received->text);
    item->len = received->text.len;
    item->extra = LrStr_Dup(received->extra);
    g_hash_table_replace(list_watch->pending_items, name, item);
    list_watch->changed = true;
}

static void
restart_list(LrListWatch *list_watch)
{
    g_hash_table_remove_all(list_watch->pending_items);
    g_clear_pointer(&list_watch->after_key, g_free);
    list_watch->listing = false;
    list_watch->listed = false;
    list_watch->relist_required = true;
    list_watch->list_complete = false;
}

/* Delay of the next call after this many ones in turn that gave nothing. */
static LrTime
backoff_time(LrListWatch *list_watch, unsigned n)
{
    LrTime backoff = list_watch->config.initial_backoff << MIN(n, 8);
    double jitter = 0.5 + LrRandom_Uniform(list_watch->config.random);
    return (LrTime)((double)MIN(backoff, MAX_BACKOFF) * jitter);
}

void
LrListWatch_OnFailure(LrListWatch *list_watch, LrTime now, const char *why)
{
    LrCounters_Add(list_watch->config.counters, LR_COUNT_SOURCE_FAILURES, 1);
    if (list_watch->failing_since == 0) {
        list_watch->failing_since = now;
        LR_LOG(list_watch->config.log, LOG_WARNING, "source_lost",
               LrLog_CStr("why", why),
               LrLog_Int("revision", list_watch->watch_revision));
    }
    LR_LOG(list_watch->config.log, LOG_INFO, "source_call_failed",
           LrLog_CStr("why", why),
           LrLog_Int("failures", list_watch->failures + 1));
    list_watch->not_before =
        now + backoff_time(list_watch, list_watch->failures);
    list_watch->failures++;
}

void
LrListWatch_OnTooLarge(LrListWatch *list_watch, LrTime now)
{
    LrCounters_Add(list_watch->config.counters, LR_COUNT_SOURCE_TOO_LARGE, 1);
    LrListWatch_OnFailure(list_watch, now, "response is too large");
    /* A watch may return several versions of the same value, and returns them
     * again when it is repeated; a list has pages. */
    if (list_watch->listed) {
        restart_list(list_watch);
    }
}

/* A service whose era is lower than that of the active values has nothing
 * newer than they are. */
static bool
is_of_older_era(LrListWatch *list_watch, LrTime now, int64_t era)
{
    if (era >= LrRevision_Era(list_watch->watched_from)) {
        return false;
    }
    LrListWatch_OnFailure(list_watch, now, "older era");
    return true;
}

/* The service was restored since the values were read, or between two pages:
 * they have to be listed. */
static void
on_new_era(LrListWatch *list_watch, LrTime now, int64_t era)
{
    LR_LOG(list_watch->config.log, LOG_WARNING, "source_restored",
           LrLog_Int("era", era),
           LrLog_Int("revision", list_watch->watch_revision));
    restart_list(list_watch);
    list_watch->not_before = now;
}

void
LrListWatch_OnPage(LrListWatch *list_watch, LrTime now,
                   const LrListWatchItem *items, size_t n_items,
                   const char *last_key, bool more,
                   LrListWatchPosition position)
{
    record_success(list_watch, now);
    if (list_watch->listing && position.era != list_watch->list_position.era) {
        on_new_era(list_watch, now, position.era);
        return;
    }
    if (!list_watch->listing) {
        g_hash_table_remove_all(list_watch->pending_items);
        list_watch->listing = true;
        /* The pages of a list are read at different revisions: the watch has
         * to start from that of the first page. */
        list_watch->list_position = position;
    }
    for (size_t i = 0; i < n_items; i++) {
        store_item(list_watch, position.era, &items[i]);
    }
    g_free(list_watch->after_key);
    list_watch->after_key = g_strdup(last_key);
    list_watch->not_before = now;
    if (more) {
        return;
    }
    g_clear_pointer(&list_watch->after_key, g_free);
    list_watch->listing = false;
    list_watch->listed = true;
    list_watch->relist_required = false;
    list_watch->list_complete = true;
    list_watch->changed = true;
    list_watch->watch_revision = LrRevision_Make(
        list_watch->list_position.era, list_watch->list_position.revision);
}

void
LrListWatch_OnEvents(LrListWatch *list_watch, LrTime now,
                     const LrListWatchItem *items, size_t n_items,
                     LrListWatchPosition position)
{
    if (is_of_older_era(list_watch, now, position.era)) {
        return;
    }
    record_success(list_watch, now);
    if (position.era != LrRevision_Era(list_watch->watched_from)) {
        on_new_era(list_watch, now, position.era);
        return;
    }
    list_watch->n_compacted = 0;
    for (size_t i = 0; i < n_items; i++) {
        store_item(list_watch, position.era, &items[i]);
    }
    list_watch->watch_revision =
        MAX(list_watch->watch_revision,
            LrRevision_Make(position.era, position.revision));
    list_watch->not_before = n_items > 0 ? now + EVENT_BATCH_DELAY : now;
}

void
LrListWatch_OnCompacted(LrListWatch *list_watch, LrTime now, int64_t era)
{
    if (is_of_older_era(list_watch, now, era)) {
        return;
    }
    record_success(list_watch, now);
    if (era != LrRevision_Era(list_watch->watched_from)) {
        on_new_era(list_watch, now, era);
    }
    else {
        LR_LOG(list_watch->config.log, LOG_NOTICE, "source_history_gone",
               LrLog_Int("revision", list_watch->watch_revision));
        restart_list(list_watch);
        list_watch->not_before = now;
    }
    /* A list that gave no position to watch from doesn't do so if it is read
     * again at once. */
    if (list_watch->n_compacted > 0) {
        list_watch->not_before +=
            backoff_time(list_watch, list_watch->n_compacted - 1);
    }
    list_watch->n_compacted++;
}

void
LrListWatch_OnRefused(LrListWatch *list_watch, LrTime now)
{
    restart_list(list_watch);
    list_watch->not_before = now + MAX_BACKOFF;
}

static void
hold_or_remove(LrListWatch *list_watch, LrValueSet *values, const char *name,
               LrTime now)
{
    int64_t revision = LrValueSet_Revision(values);
    /* No one has to renew an evacuation, so none lapses in an outage. */
    if (now >= list_watch->hold_until || LrValueSet_IsEvacuation(name)) {
        LrValueSet_Remove(values, name, revision);
        return;
    }
    LrValueSet_Hold(values, name, revision, list_watch->hold_until);
    LR_LOG(list_watch->config.log, LOG_INFO, "absent_entry_held",
           LrLog_CStr("name", name),
           LrLog_Int("ms", (list_watch->hold_until - now) / LR_MILLISECOND));
}

/* Whether the values have news on the evacuated zones that is newer than what
 * was read. */
static bool
knows_later_evacuations(const LrListWatch *list_watch,
                        const LrValueSet *values)
{
    return LrValueSet_EvacuationsRevision(values) > list_watch->watch_revision;
}

/* Whether what was read of the name is to be applied. */
static bool
is_to_be_applied(const char *name, bool evacuations, bool others)
{
    return LrValueSet_IsEvacuation(name) ? evacuations : others;
}

static void
apply_items(LrListWatch *list_watch, LrValueSet *values, bool evacuations,
            bool others, LrTime now)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, list_watch->pending_items);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const Item *item = value;
        LrStr text = {.ptr = item->text, .len = item->len};
        if (!is_to_be_applied(name, evacuations, others)) {
            continue;
        }
        if (text.len == 0) {
            hold_or_remove(list_watch, values, name, now);
            continue;
        }
        LrStr extra = LrStr_FromC(item->extra);
        if (!LrValueSet_Has(values, name, item->revision) ||
            !LrStr_Equal(LrValueSet_GetExtra(values, name), extra)) {
            LrValueSet_SetWithExtra(values, name, item->revision, text, extra);
        }
    }
}

/* Removes or holds the values that a complete list doesn't contain. */
static void
remove_unlisted(LrListWatch *list_watch, LrValueSet *values, bool evacuations,
                bool others, LrTime now)
{
    GPtrArray *names = LrValueSet_Names(values);
    for (guint i = 0; i < names->len; i++) {
        if (is_to_be_applied(names->pdata[i], evacuations, others) &&
            !g_hash_table_contains(list_watch->pending_items,
                                   names->pdata[i])) {
            g_autofree char *name = g_strdup(names->pdata[i]);
            hold_or_remove(list_watch, values, name, now);
        }
    }
    g_ptr_array_unref(names);
}

/* The list of a restored service may be older than the values in use. */
static void
hold_newer(LrListWatch *list_watch, LrValueSet *values, const LrValueSet *base,
           LrTime now)
{
    size_t n = LrValueSet_HoldNewer(values, base, LR_INSTANCE_PREFIX, now,
                                    list_watch->config.absence_hold);
    LR_LOG(list_watch->config.log, LOG_NOTICE, "restored_entries_held",
           LrLog_Int("revision", LrValueSet_Revision(values)),
           LrLog_Int("entries", (int64_t)n));
}

/* A copy of base with what was read of the evacuated zones, of the others, or
 * of both. */
static LrValueSet *
make_values(LrListWatch *list_watch, const LrValueSet *base, bool evacuations,
            bool others, LrTime now)
{
    LrValueSet *values = LrValueSet_Fork(base);
    LrValueSet_SetRevision(
        values, MAX(list_watch->watch_revision, LrValueSet_Revision(base)));
    if (list_watch->list_complete) {
        remove_unlisted(list_watch, values, evacuations, others, now);
    }
    apply_items(list_watch, values, evacuations, others, now);
    if (evacuations) {
        LrValueSet_SetEvacuationsRevision(values, list_watch->watch_revision);
    }
    if (others && LrRevision_Era(LrValueSet_Revision(values)) >
                      LrRevision_Era(LrValueSet_Revision(base))) {
        hold_newer(list_watch, values, base, now);
    }
    return values;
}

static bool
has_read_evacuations(const LrListWatch *list_watch)
{
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, list_watch->pending_items);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        if (LrValueSet_IsEvacuation(name)) {
            return true;
        }
    }
    return list_watch->list_complete;
}

LrValueSet *
LrListWatch_TakeValues(LrListWatch *list_watch, const LrValueSet *base,
                       LrTime now)
{
    bool behind = list_watch->watch_revision < LrValueSet_Revision(base);
    if (behind && list_watch->changed && list_watch->listed) {
        LR_LOG(list_watch->config.log, LOG_NOTICE, "source_behind",
               LrLog_Int("revision", list_watch->watch_revision),
               LrLog_Int("active", LrValueSet_Revision(base)));
    }
    bool has_update = list_watch->changed && list_watch->listed;
    bool evacuations = !knows_later_evacuations(list_watch, base);
    LrValueSet *values = NULL;
    if (has_update &&
        (!behind || (evacuations && has_read_evacuations(list_watch)))) {
        values = make_values(list_watch, base, evacuations, !behind, now);
    }
    if (list_watch->listed) {
        g_hash_table_remove_all(list_watch->pending_items);
        list_watch->changed = false;
        list_watch->list_complete = false;
    }
    return values;
}

LrTime
LrListWatch_LastSuccessAt(const LrListWatch *list_watch)
{
    return list_watch->last_success_at;
}

bool
LrListWatch_IsFailing(const LrListWatch *list_watch)
{
    return list_watch->failing_since > 0;
}
