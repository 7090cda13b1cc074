/* lr-standin-routed: simulates the users' platform on loopback: its
 * key-value store, the operator's writes, and searchers with faults.
 *
 * Control paths, each answered with 200 once the change is in effect:
 *   POST /control/config           stores the body as the configuration
 *   POST /control/server?id&service&address&zone[&state][&cold][&listen]
 *                                  starts a searcher and registers it; with
 *                                  listen it listens there, behind a proxy at
 *                                  its address
 *   POST /control/entry?id&state[&address][&cold]
 *                                  rewrites a searcher's entry, and makes it
 *                                  cold for that many milliseconds; an address
 *                                  makes it the entry of a restarted
 *                                  searcher; without state the entry is
 *                                  removed
 *   POST /control/raw?key          stores the body under that key, as it is
 *   POST /control/remove?key       removes a key
 *   POST /control/fault?id&name&value
 *                                  sets a searcher's fault, or stops it
 *   POST /control/crash?target&for_ms[&open]
 *                                  every searcher that begins to run a request
 *                                  with this request target crashes, and is
 *                                  down for that time; with open=1 its port
 *                                  stays open and resets what it is sent. 0 ms
 *                                  ends it
 *   POST /control/store?name&value sets a fault (down, lose), drops the
 *                                  history (compact), takes a copy (copy),
 *                                  goes back to it (restore), or writes again
 *                                  what was lost by that (rewrite)
 *   GET  /control/evacuated        requests that reached searchers of a zone
 *                                  while its key of the evacuation was stored,
 *                                  and how long after it was, oldest first
 *   GET  /control/cold             the most requests that each searcher got in
 *                                  any one second while it was cold
 *   GET  /control/runs             requests run by searchers, oldest first
 *   GET  /control/shed             requests that they refused, oldest first */
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <ev.h>
#include <jansson.h>

#include "caller_server.h"
#include "merge.h"
#include "standin_loop.h"

enum {
    OPTION_MAX_ERRORS = 20,
    MAX_CONNECTIONS = 4096,
    MAX_BODY_BYTES = 4 << 20,
    N_RECORDS = 8,
};

/* The health check of every searcher. */
static const char HEALTH_PATH[] = "/healthz";
static const char EVACUATION_PREFIX[] = "op/evacuate/";

typedef struct Searcher Searcher;

typedef struct {
    int work_ms;
    int pause_ms;
    /* Percentages of requests. */
    int shed;
    int error;
    int lose;
    int foreign;
    /* Requests per second that it names as its limit; 0 for none. */
    int limit;
    /* Seconds that it asks for with each request that it sheds; 0 for none. */
    int retry_after;
    /* Not 0: it says in all responses that it is leaving. */
    int leaving;
    /* What it says in responses to health checks: for how many milliseconds it
     * is still cold. */
    int stated_cold_ms;
} Faults;

/* How the searchers crash that run a request. */
typedef struct {
    LrTime down_time;
    /* The port stays open and resets each connection that sends a request. */
    bool port_open;
} Crash;

typedef struct {
    struct ev_loop *loop;
    LrLoopTimers *timers;
    LrServer *store;
    GHashTable *items;
    GPtrArray *events;
    int64_t revision;
    int64_t compacted_revision;
    bool down;
    bool lose;
    /* Number of times that the store has been started from a copy, plus one.
     */
    int64_t era;
    /* The copy, and the last writes of keys that the return to it lost and
     * that have not been written since, in order. */
    GHashTable *copied_items;
    int64_t copied_revision;
    GPtrArray *lost;
    GPtrArray *waiters;
    GHashTable *searchers;
    /* Crash by request target. */
    GHashTable *crashes;
    json_t *runs;
    json_t *shed;
    json_t *evacuated;
    /* When the evacuation of a zone was stored, by zone. */
    GHashTable *evacuated_at;
    unsigned n_requests;
} Standin;

/* Reference-counted: the item table and the history each hold one. */
typedef struct {
    int refs;
    char *key;
    char *value;
    int64_t revision;
} Item;

typedef struct {
    Standin *standin;
    LrExchange *exchange;
    int64_t after;
    LrTimer timer;
} Waiter;

/* A request that a searcher is running. */
typedef struct Work {
    Searcher *searcher;
    LrCallerExchange *call;
    LrTimer timer;
    TAILQ_ENTRY(Work) of_searcher;
} Work;

struct Searcher {
    Standin *standin;
    /* NULL while its port is closed. */
    LrCallerServer *callers;
    char *id;
    char *service;
    char *zone;
    char *address;
    /* While it is cold: until when, the requests of the last second, and the
     * most that came in any one second. */
    LrTime cold_until;
    GArray *cold_arrivals;
    guint most_cold;
    Faults faults;
    unsigned running;
    TAILQ_HEAD(, Work) works;
    /* What it crashes of next, or has crashed of and is down for. */
    Crash crash;
    LrTime down_until;
    LrTimer crash_timer;
};

static void
unref_item(gpointer data)
{
    Item *item = data;
    if (--item->refs > 0) {
        return;
    }
    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static void
reply_json(LrExchange *exchange, unsigned status, json_t *json)
{
    char *text = json ? json_dumps(json, JSON_COMPACT) : strdup("");
    json_decref(json);
    LrExchange_Reply(
        exchange, status, "application/json",
        g_bytes_new_with_free_func(text, strlen(text), free, text));
}

static json_t *
item_json(const Item *item)
{
    if (!item->value) {
        return json_pack("{s:s, s:I, s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "deleted", 1);
    }
    g_autofree char *encoded =
        g_base64_encode((const guchar *)item->value, strlen(item->value));
    return json_pack("{s:s, s:s, s:I, s:I, s:i}", "key", item->key, "value",
                     encoded, "revision", (json_int_t)item->revision,
                     "created", (json_int_t)item->revision, "lease_id", 0);
}

static void
reply_to_waiter(Waiter *waiter)
{
    Standin *standin = waiter->standin;
    json_t *list = json_array();
    for (guint i = 0; i < standin->events->len; i++) {
        const Item *item = standin->events->pdata[i];
        if (item->revision > waiter->after) {
            json_array_append_new(list, item_json(item));
        }
    }
    LrLoopTimers_Clear(standin->timers, &waiter->timer);
    if (standin->lose) {
        LrExchange_Drop(waiter->exchange);
        json_decref(list);
    }
    else {
        reply_json(waiter->exchange, 200,
                   json_pack("{s:o, s:I}", "events", list, "store_revision",
                             (json_int_t)standin->revision));
    }
    g_free(waiter);
}

static void
on_watch_timeout(void *data, LrTime now)
{
    (void)now;
    Waiter *waiter = data;
    g_ptr_array_remove(waiter->standin->waiters, waiter);
    reply_to_waiter(waiter);
}

static void
remove_key(GPtrArray *items, const char *key)
{
    for (guint i = 0; i < items->len; i++) {
        if (!strcmp(((const Item *)items->pdata[i])->key, key)) {
            g_ptr_array_remove_index(items, i);
            return;
        }
    }
}

static void
note_evacuation(Standin *standin, const char *key, const char *value)
{
    if (!g_str_has_prefix(key, EVACUATION_PREFIX)) {
        return;
    }
    const char *zone = key + strlen(EVACUATION_PREFIX);
    if (!value) {
        g_hash_table_remove(standin->evacuated_at, zone);
    }
    else if (!g_hash_table_contains(standin->evacuated_at, zone)) {
        LrTime *at = g_new(LrTime, 1);
        *at = LrClock_Now();
        g_hash_table_insert(standin->evacuated_at, g_strdup(zone), at);
    }
}

static void
write_item(Standin *standin, const char *key, const char *value)
{
    Item *item = g_new0(Item, 1);
    item->key = g_strdup(key);
    item->value = g_strdup(value);
    item->revision = ++standin->revision;
    item->refs = 1;
    remove_key(standin->lost, key);
    note_evacuation(standin, key, value);
    g_ptr_array_add(standin->events, item);
    if (value) {
        item->refs++;
        g_hash_table_replace(standin->items, item->key, item);
    }
    else {
        g_hash_table_remove(standin->items, key);
    }
    while (standin->waiters->len > 0) {
        reply_to_waiter(g_ptr_array_steal_index(standin->waiters, 0));
    }
}

static gboolean
is_key_missing(gpointer zone, gpointer at, gpointer data)
{
    (void)at;
    const Standin *standin = data;
    g_autofree char *key = g_strconcat(EVACUATION_PREFIX, zone, NULL);
    return !g_hash_table_contains(standin->items, key);
}

static void
copy_items(GHashTable *from, GHashTable *to)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_remove_all(to);
    g_hash_table_iter_init(&iter, from);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Item *item = value;
        item->refs++;
        g_hash_table_replace(to, item->key, item);
    }
}

static void
take_copy(Standin *standin)
{
    copy_items(standin->items, standin->copied_items);
    standin->copied_revision = standin->revision;
}

/* Goes back to the copy, as a store does that has lost its data: revisions are
 * given out again, and waiting watches are cut off. */
static void
restore_copy(Standin *standin)
{
    GPtrArray *events = standin->events;
    g_ptr_array_set_size(standin->lost, 0);
    for (guint i = 0; i < events->len; i++) {
        Item *item = events->pdata[i];
        if (item->revision > standin->copied_revision) {
            remove_key(standin->lost, item->key);
            item->refs++;
            g_ptr_array_add(standin->lost, item);
        }
    }
    while (events->len > 0 &&
           ((const Item *)events->pdata[events->len - 1])->revision >
               standin->copied_revision) {
        g_ptr_array_set_size(events, (gint)events->len - 1);
    }
    copy_items(standin->copied_items, standin->items);
    g_hash_table_foreach_remove(standin->evacuated_at, is_key_missing,
                                standin);
    standin->revision = standin->copied_revision;
    standin->compacted_revision =
        MIN(standin->compacted_revision, standin->revision);
    standin->era++;
    while (standin->waiters->len > 0) {
        Waiter *waiter = g_ptr_array_steal_index(standin->waiters, 0);
        LrLoopTimers_Clear(standin->timers, &waiter->timer);
        LrExchange_Drop(waiter->exchange);
        g_free(waiter);
    }
}

static void
rewrite_lost(Standin *standin)
{
    while (standin->lost->len > 0) {
        Item *item = standin->lost->pdata[0];
        item->refs++;
        write_item(standin, item->key, item->value);
        unref_item(item);
    }
}

static void
reply_range(Standin *standin, LrExchange *exchange)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer item;
    g_hash_table_iter_init(&iter, standin->items);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        json_array_append_new(list, item_json(item));
    }
    reply_json(exchange, 200,
               json_pack("{s:o, s:b, s:I}", "items", list, "has_more", 0,
                         "store_revision", (json_int_t)standin->revision));
}

static int64_t
int_argument(LrExchange *exchange, const char *name)
{
    int64_t value = 0;
    return LrStr_ToInt(LrExchange_Argument(exchange, name), &value) ? value
                                                                    : 0;
}

static void
start_watch(Standin *standin, LrExchange *exchange)
{
    int64_t after = int_argument(exchange, "after");
    if (after < standin->compacted_revision || after > standin->revision) {
        reply_json(exchange, 410, NULL);
        return;
    }
    Waiter *waiter = g_new0(Waiter, 1);
    waiter->standin = standin;
    waiter->exchange = exchange;
    waiter->after = after;
    waiter->timer = (LrTimer){.func = on_watch_timeout, .data = waiter};
    LrExchange_SetData(exchange, waiter);
    if (after < standin->revision) {
        reply_to_waiter(waiter);
        return;
    }
    g_ptr_array_add(standin->waiters, waiter);
    LrTime wait = int_argument(exchange, "max_wait_ms") * LR_MILLISECOND;
    LrLoopTimers_Set(standin->timers, &waiter->timer, LrClock_Now() + wait);
}

static char *
text_argument(LrExchange *exchange, const char *name)
{
    return LrStr_Dup(LrExchange_Argument(exchange, name));
}

/* Searchers. */

static bool listen_searcher(Searcher *searcher, GError **error);

static bool
should_inject(Searcher *searcher, int percent)
{
    return (int)(++searcher->standin->n_requests * 37 % 100) < percent;
}

/* What the searcher says of itself in all of its responses. */
static void
append_statements(const Searcher *searcher, GString *head)
{
    if (searcher->faults.limit > 0) {
        g_string_append_printf(head, "Server-Limit: %d.0\r\n",
                               searcher->faults.limit);
    }
    if (searcher->faults.leaving) {
        g_string_append(head, "Server-Leaving: 1\r\n");
    }
}

static void
reply_without_body(const Searcher *searcher, LrCallerExchange *call,
                   const char *status, const char *extra)
{
    GString *head = g_string_new(NULL);
    g_string_append_printf(head, "HTTP/1.1 %s\r\n%s", status, extra);
    append_statements(searcher, head);
    LrCallerExchange_Reply(call, head, NULL, false);
    g_string_free(head, TRUE);
}

/* Derives the records from the searcher's service and the request target
 * alone, so that every searcher of a service returns the same ones. */
static GBytes *
make_records(const Searcher *searcher, LrStr target)
{
    uint64_t words[2 * N_RECORDS];
    uint64_t seed = LrStr_Hash(target, 1);
    seed = LrStr_Hash(LrStr_FromC(searcher->service), seed);
    for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
        words[i] = LrStr_Hash(
            (LrStr){.ptr = (const char *)&i, .len = sizeof(i)}, seed);
    }
    return g_bytes_new(words, sizeof(words));
}

static void
end_work(Work *work)
{
    Searcher *searcher = work->searcher;
    searcher->running--;
    TAILQ_REMOVE(&searcher->works, work, of_searcher);
    LrLoopTimers_Clear(searcher->standin->timers, &work->timer);
    g_free(work);
}

static void
end_all_work(Searcher *searcher)
{
    Work *work;
    Work *next;
    TAILQ_FOREACH_SAFE(work, &searcher->works, of_searcher, next)
    {
        end_work(work);
    }
}

static void
finish_work(void *data, LrTime now)
{
    (void)now;
    Work *work = data;
    Searcher *searcher = work->searcher;
    LrCallerExchange *call = work->call;
    const LrHttpMessage *message = LrCallerExchange_Message(call);
    LrStr id = LrHttpMessage_Header(message, "X-Request-Id");
    bool foreign = should_inject(searcher, searcher->faults.foreign);
    bool error = should_inject(searcher, searcher->faults.error);
    LrCallerExchange_SetData(call, NULL);
    end_work(work);
    GString *head = g_string_new(NULL);
    g_string_append_printf(
        head,
        "HTTP/1.1 %s\r\nX-Request-Id: %s%.*s\r\n"
        "X-Response-Seal: seal-%.*s-%s\r\nX-Server-Load: %u,0,3\r\n"
        "Keep-Alive: timeout=5\r\n",
        error ? "500 Broken" : "200 OK", foreign ? "not-" : "", (int)id.len,
        id.ptr, (int)id.len, id.ptr, searcher->id, searcher->running);
    append_statements(searcher, head);
    LrCallerExchange_Reply(
        call, head,
        make_records(searcher, LrHttpMessage_RequestTarget(message)), false);
    g_string_free(head, TRUE);
}

/* Adds a request that arrived to the runs, or to those that were shed. */
static void
record_request(Searcher *searcher, const LrHttpMessage *message, json_t *list)
{
    LrStr id = LrHttpMessage_Header(message, "X-Request-Id");
    LrStr target = LrHttpMessage_RequestTarget(message);
    LrStr method = LrHttpMessage_Method(message);
    LrStr deadline = LrHttpMessage_Header(message, "X-Deadline-Ms");
    json_array_append_new(
        list,
        json_pack("{s:s%, s:s, s:s, s:s%, s:s%, s:s%, s:I}", "id", id.ptr,
                  id.len, "server", searcher->id, "service", searcher->service,
                  "target", target.ptr, target.len, "method", method.ptr,
                  method.len, "deadline", deadline.ptr, deadline.len, "at_ms",
                  (json_int_t)(LrClock_Now() / LR_MILLISECOND)));
}

/* Resets the connections, and closes the port or leaves it open. */
static void
crash_now(Searcher *searcher)
{
    end_all_work(searcher);
    LrCallerServer_ResetConnections(searcher->callers);
    if (!searcher->crash.port_open) {
        g_clear_pointer(&searcher->callers, LrCallerServer_Free);
    }
}

static void
reply_healthy(const Searcher *searcher, LrCallerExchange *call)
{
    g_autofree char *headers =
        searcher->faults.stated_cold_ms != 0
            ? g_strdup_printf("X-Instance-Id: %s\r\nX-Cold-Ms: %d\r\n",
                              searcher->id, searcher->faults.stated_cold_ms)
            : g_strdup_printf("X-Instance-Id: %s\r\n", searcher->id);
    reply_without_body(searcher, call, "200 OK", headers);
}

static bool
is_down(const Searcher *searcher)
{
    return LrClock_Now() < searcher->down_until;
}

/* The handlers of requests must not close connections, so a crash waits for
 * this timer. The searcher is up again when it fires while its port is
 * closed. */
static void
on_crash_timer(void *data, LrTime now)
{
    Searcher *searcher = data;
    LrTimer *timer = &searcher->crash_timer;
    if (!searcher->callers) {
        if (!listen_searcher(searcher, NULL)) {
            LrLoopTimers_Set(searcher->standin->timers, timer,
                             now + LR_SECOND);
        }
        return;
    }
    crash_now(searcher);
    if (!searcher->callers) {
        LrLoopTimers_Set(searcher->standin->timers, timer,
                         searcher->down_until);
    }
}

/* Whether the searcher crashes of the request, or is down and resets it. */
static bool
crashes(Searcher *searcher, const LrHttpMessage *message)
{
    Standin *standin = searcher->standin;
    g_autofree char *target = LrStr_Dup(LrHttpMessage_RequestTarget(message));
    const Crash *crash = g_hash_table_lookup(standin->crashes, target);
    if (!is_down(searcher) && crash) {
        record_request(searcher, message, standin->runs);
        searcher->crash = *crash;
        searcher->down_until = LrClock_Now() + crash->down_time;
    }
    if (!is_down(searcher)) {
        return false;
    }
    LrLoopTimers_Set(standin->timers, &searcher->crash_timer, LrClock_Now());
    return true;
}

static void
shed_request(Searcher *searcher, LrCallerExchange *call)
{
    GString *extra = g_string_new("X-Not-Executed: 1\r\n");
    if (searcher->faults.retry_after > 0) {
        g_string_append_printf(extra, "Retry-After: %d\r\n",
                               searcher->faults.retry_after);
    }
    record_request(searcher, LrCallerExchange_Message(call),
                   searcher->standin->shed);
    reply_without_body(searcher, call, "503 Full", extra->str);
    g_string_free(extra, TRUE);
}

static void
count_cold_arrival(Searcher *searcher, LrTime now)
{
    GArray *arrivals = searcher->cold_arrivals;
    while (arrivals->len > 0 &&
           g_array_index(arrivals, LrTime, 0) <= now - LR_SECOND) {
        g_array_remove_index(arrivals, 0);
    }
    g_array_append_val(arrivals, now);
    searcher->most_cold = MAX(searcher->most_cold, arrivals->len);
}

/* Records a request for this searcher that should not have come, or only at a
 * limited rate. */
static void
note_arrival(Searcher *searcher, const LrHttpMessage *message)
{
    Standin *standin = searcher->standin;
    LrTime now = LrClock_Now();
    const LrTime *at =
        g_hash_table_lookup(standin->evacuated_at, searcher->zone);
    if (at) {
        record_request(searcher, message, standin->evacuated);
        json_t *row = json_array_get(standin->evacuated,
                                     json_array_size(standin->evacuated) - 1);
        json_object_set_new(row, "after_ms",
                            json_integer((now - *at) / LR_MILLISECOND));
    }
    if (now < searcher->cold_until) {
        count_cold_arrival(searcher, now);
    }
}

static void
on_request(void *data, LrCallerExchange *call)
{
    Searcher *searcher = data;
    const LrHttpMessage *message = LrCallerExchange_Message(call);
    if (is_down(searcher)) {
        crashes(searcher, message);
        return;
    }
    if (LrStr_EqualC(LrHttpMessage_Path(message), HEALTH_PATH)) {
        reply_healthy(searcher, call);
        return;
    }
    LrStr expected = LrHttpMessage_Header(message, "X-Expected-Instance");
    if (expected.len > 0 && !LrStr_EqualC(expected, searcher->id)) {
        reply_without_body(searcher, call, "421 Misdirected Request", "");
        return;
    }
    note_arrival(searcher, message);
    if (should_inject(searcher, searcher->faults.shed)) {
        shed_request(searcher, call);
        return;
    }
    if (crashes(searcher, message)) {
        return;
    }
    record_request(searcher, message, searcher->standin->runs);
    Work *work = g_new0(Work, 1);
    work->searcher = searcher;
    work->call = call;
    work->timer = (LrTimer){.func = finish_work, .data = work};
    searcher->running++;
    TAILQ_INSERT_TAIL(&searcher->works, work, of_searcher);
    LrCallerExchange_SetData(call, work);
    LrTime work_time = (searcher->faults.work_ms + searcher->faults.pause_ms) *
                       LR_MILLISECOND;
    if (should_inject(searcher, searcher->faults.lose)) {
        work_time = 3600 * LR_SECOND;
    }
    LrLoopTimers_Set(searcher->standin->timers, &work->timer,
                     LrClock_Now() + work_time);
}

static void
on_caller_gone(void *data, LrCallerExchange *call)
{
    (void)data;
    Work *work = LrCallerExchange_Data(call);
    if (work) {
        end_work(work);
    }
}

static void
on_refuse(void *data, unsigned status, GString *head)
{
    (void)data;
    g_string_append_printf(head, "HTTP/1.1 %u Refused\r\n", status);
}

static bool
listen_searcher(Searcher *searcher, GError **error)
{
    LrCallerServerConfig config = {
        .loop = searcher->standin->loop,
        .timers = searcher->standin->timers,
        .address = LrStr_FromC(searcher->address),
        .max_connections = MAX_CONNECTIONS,
        .handler = {.request = on_request,
                    .caller_gone = on_caller_gone,
                    .refuse = on_refuse,
                    .data = searcher},
    };
    searcher->callers = LrCallerServer_New(&config, error);
    if (!searcher->callers) {
        return false;
    }
    LrCallerLimits limits = {
        .max_head_bytes = MAX_BODY_BYTES,
        .max_body_bytes = MAX_BODY_BYTES,
        .receive_timeout = 10 * LR_SECOND,
        .idle_timeout = 6 * LR_SECOND,
    };
    LrCallerServer_SetLimits(searcher->callers, &limits);
    return true;
}

static void
free_searcher(gpointer data)
{
    Searcher *searcher = data;
    LrLoopTimers_Clear(searcher->standin->timers, &searcher->crash_timer);
    end_all_work(searcher);
    LrCallerServer_Free(searcher->callers);
    g_free(searcher->id);
    g_free(searcher->service);
    g_free(searcher->zone);
    g_array_unref(searcher->cold_arrivals);
    g_free(searcher->address);
    g_free(searcher);
}

static void
start_searcher(Standin *standin, LrExchange *exchange)
{
    g_autofree char *id = text_argument(exchange, "id");
    g_autofree char *service = text_argument(exchange, "service");
    g_autofree char *zone = text_argument(exchange, "zone");
    g_autofree char *address = text_argument(exchange, "address");
    g_autofree char *listen = text_argument(exchange, "listen");
    Searcher *searcher = g_new0(Searcher, 1);
    searcher->standin = standin;
    searcher->id = g_strdup(id);
    searcher->service = g_strdup(service);
    searcher->zone = g_strdup(zone);
    searcher->cold_arrivals = g_array_new(FALSE, FALSE, sizeof(LrTime));
    searcher->address = g_strdup(listen[0] != '\0' ? listen : address);
    searcher->faults.work_ms = 3;
    searcher->crash_timer =
        (LrTimer){.func = on_crash_timer, .data = searcher};
    TAILQ_INIT(&searcher->works);
    GError *error = NULL;
    if (!listen_searcher(searcher, &error)) {
        reply_json(exchange, 400, json_pack("{s:s}", "error", error->message));
        g_error_free(error);
        free_searcher(searcher);
        return;
    }
    g_hash_table_replace(standin->searchers, searcher->id, searcher);
    g_autofree char *key = g_strconcat("servers/", id, NULL);
    int64_t cold_ms = int_argument(exchange, "cold");
    searcher->cold_until = LrClock_Now() + cold_ms * LR_MILLISECOND;
    g_autofree char *value = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
        "\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
        "\"cold_remaining_ms\":%" G_GINT64_FORMAT
        ",\"sequence\":1,\"born\":%" G_GINT64_FORMAT "}",
        service, address, zone, cold_ms, LrClock_WallMs());
    write_item(standin, key, value);
    reply_json(exchange, 200, NULL);
}

/* Makes the searcher cold anew where the call says so. */
static void
set_cold(Standin *standin, json_t *entry, const char *id, LrExchange *exchange)
{
    Searcher *searcher = g_hash_table_lookup(standin->searchers, id);
    int64_t cold_ms = int_argument(exchange, "cold");
    if (cold_ms > 0 && searcher) {
        searcher->cold_until = LrClock_Now() + cold_ms * LR_MILLISECOND;
        json_object_set_new(entry, "cold_remaining_ms", json_integer(cold_ms));
    }
}

static void
rewrite_entry(Standin *standin, LrExchange *exchange)
{
    g_autofree char *id = text_argument(exchange, "id");
    g_autofree char *state = text_argument(exchange, "state");
    g_autofree char *address = text_argument(exchange, "address");
    g_autofree char *key = g_strconcat("servers/", id, NULL);
    const Item *item = g_hash_table_lookup(standin->items, key);
    if (state[0] == '\0') {
        write_item(standin, key, NULL);
    }
    else if (item) {
        json_t *entry = json_loads(item->value, 0, NULL);
        json_object_set_new(entry, "state", json_string(state));
        set_cold(standin, entry, id, exchange);
        if (address[0] != '\0') {
            json_int_t born =
                json_integer_value(json_object_get(entry, "born"));
            json_object_set_new(entry, "born", json_integer(born + 1));
            json_object_set_new(entry, "address", json_string(address));
        }
        char *text = json_dumps(entry, JSON_COMPACT);
        write_item(standin, key, text);
        free(text);
        json_decref(entry);
    }
    reply_json(exchange, 200, NULL);
}

static bool
set_fault(Faults *faults, const char *name, int value)
{
    const struct {
        const char *name;
        int *at;
    } known[] = {
        {"work_ms", &faults->work_ms},
        {"pause_ms", &faults->pause_ms},
        {"shed", &faults->shed},
        {"error", &faults->error},
        {"lose", &faults->lose},
        {"foreign", &faults->foreign},
        {"limit", &faults->limit},
        {"leaving", &faults->leaving},
        {"retry_after", &faults->retry_after},
        {"stated_cold_ms", &faults->stated_cold_ms},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
        if (!strcmp(known[i].name, name)) {
            *known[i].at = value;
            return true;
        }
    }
    return false;
}

static void
set_searcher_fault(Standin *standin, LrExchange *exchange)
{
    g_autofree char *id = text_argument(exchange, "id");
    g_autofree char *name = text_argument(exchange, "name");
    Searcher *searcher = g_hash_table_lookup(standin->searchers, id);
    int value = (int)int_argument(exchange, "value");
    bool known = searcher != NULL;
    if (known && !strcmp(name, "stop")) {
        g_hash_table_remove(standin->searchers, id);
    }
    else if (known) {
        known = set_fault(&searcher->faults, name, value);
    }
    reply_json(exchange, known ? 200 : 404, NULL);
}

static void
set_crash(Standin *standin, LrExchange *exchange)
{
    char *target = text_argument(exchange, "target");
    LrTime down_time = int_argument(exchange, "for_ms") * LR_MILLISECOND;
    if (down_time <= 0) {
        g_hash_table_remove(standin->crashes, target);
        g_free(target);
    }
    else {
        Crash *crash = g_new0(Crash, 1);
        crash->down_time = down_time;
        crash->port_open = int_argument(exchange, "open") != 0;
        g_hash_table_replace(standin->crashes, target, crash);
    }
    reply_json(exchange, 200, NULL);
}

static void
set_store_fault(Standin *standin, LrExchange *exchange)
{
    g_autofree char *name = text_argument(exchange, "name");
    bool value = int_argument(exchange, "value") != 0;
    if (!strcmp(name, "down")) {
        standin->down = value;
    }
    else if (!strcmp(name, "lose")) {
        standin->lose = value;
    }
    else if (!strcmp(name, "compact")) {
        standin->compacted_revision = standin->revision;
        g_ptr_array_set_size(standin->events, 0);
    }
    else if (!strcmp(name, "copy")) {
        take_copy(standin);
    }
    else if (!strcmp(name, "restore")) {
        restore_copy(standin);
    }
    else if (!strcmp(name, "rewrite")) {
        rewrite_lost(standin);
    }
    else {
        reply_json(exchange, 404, NULL);
        return;
    }
    reply_json(exchange, 200, NULL);
}

/* Stores the body of the request as it is. */
static void
put_body(Standin *standin, LrExchange *exchange, const char *key)
{
    g_autofree char *text =
        LrStr_Dup(LrStr_FromBytes(LrExchange_Body(exchange)));
    write_item(standin, key, text);
    reply_json(exchange, 200, NULL);
}

static void
put_config(Standin *standin, LrExchange *exchange)
{
    put_body(standin, exchange, "op/config");
}

/* Stores what another writer may. */
static void
put_raw(Standin *standin, LrExchange *exchange)
{
    g_autofree char *key = text_argument(exchange, "key");
    put_body(standin, exchange, key);
}

static void
remove_raw(Standin *standin, LrExchange *exchange)
{
    g_autofree char *key = text_argument(exchange, "key");
    write_item(standin, key, NULL);
    reply_json(exchange, 200, NULL);
}

static json_t *
cold_counts(const Standin *standin)
{
    json_t *list = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, standin->searchers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Searcher *searcher = value;
        json_array_append_new(list,
                              json_pack("{s:s, s:i}", "server", searcher->id,
                                        "most", (int)searcher->most_cold));
    }
    return list;
}

static void
route_control(Standin *standin, LrExchange *exchange, LrStr path)
{
    const struct {
        const char *path;
        void (*func)(Standin *, LrExchange *);
    } calls[] = {
        {"/control/config", put_config},
        {"/control/raw", put_raw},
        {"/control/remove", remove_raw},
        {"/control/server", start_searcher},
        {"/control/entry", rewrite_entry},
        {"/control/fault", set_searcher_fault},
        {"/control/crash", set_crash},
        {"/control/store", set_store_fault},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        if (LrStr_EqualC(path, calls[i].path)) {
            calls[i].func(standin, exchange);
            return;
        }
    }
    reply_json(exchange, 404, NULL);
}

static void
on_store_request(void *data, LrExchange *exchange)
{
    Standin *standin = data;
    LrStr path = LrExchange_Path(exchange);
    g_autofree char *era = g_strdup_printf("%" G_GINT64_FORMAT, standin->era);
    LrExchange_AddHeader(exchange, "Store-Era", era);
    if (LrStr_EqualC(path, "/control/runs")) {
        reply_json(exchange, 200, json_pack("{s:O}", "runs", standin->runs));
    }
    else if (LrStr_EqualC(path, "/control/shed")) {
        reply_json(exchange, 200, json_pack("{s:O}", "runs", standin->shed));
    }
    else if (LrStr_EqualC(path, "/control/evacuated")) {
        reply_json(exchange, 200,
                   json_pack("{s:O}", "runs", standin->evacuated));
    }
    else if (LrStr_EqualC(path, "/control/cold")) {
        reply_json(exchange, 200,
                   json_pack("{s:o}", "servers", cold_counts(standin)));
    }
    else if (LrStr_HasPrefix(path, "/control/")) {
        route_control(standin, exchange, path);
    }
    else if (standin->down) {
        reply_json(exchange, 503, NULL);
    }
    else if (LrStr_EqualC(path, "/lavenderrail/kv-range")) {
        reply_range(standin, exchange);
    }
    else if (LrStr_EqualC(path, "/lavenderrail/kv-watch")) {
        start_watch(standin, exchange);
    }
    else {
        reply_json(exchange, 404, NULL);
    }
}

static void
on_store_caller_gone(void *data, LrExchange *exchange)
{
    Standin *standin = data;
    Waiter *waiter = LrExchange_Data(exchange);
    if (waiter) {
        LrLoopTimers_Clear(standin->timers, &waiter->timer);
        g_ptr_array_remove(standin->waiters, waiter);
        g_free(waiter);
    }
}

static void
free_standin(Standin *standin)
{
    LrServer_Free(standin->store);
    g_hash_table_unref(standin->searchers);
    g_hash_table_unref(standin->crashes);
    g_hash_table_unref(standin->items);
    g_hash_table_unref(standin->copied_items);
    g_ptr_array_unref(standin->lost);
    g_ptr_array_unref(standin->events);
    g_ptr_array_unref(standin->waiters);
    json_decref(standin->runs);
    json_decref(standin->shed);
    json_decref(standin->evacuated);
    g_hash_table_unref(standin->evacuated_at);
    LrLoopTimers_Free(standin->timers);
}

static int
run(const char *address, int seconds)
{
    Standin standin = {.loop = ev_default_loop(EVFLAG_AUTO)};
    standin.timers = LrLoopTimers_New(standin.loop);
    standin.items =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_item);
    standin.events = g_ptr_array_new_with_free_func(unref_item);
    standin.copied_items =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_item);
    standin.lost = g_ptr_array_new_with_free_func(unref_item);
    standin.waiters = g_ptr_array_new();
    standin.searchers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_searcher);
    standin.crashes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    standin.runs = json_array();
    standin.shed = json_array();
    standin.evacuated = json_array();
    standin.evacuated_at =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    standin.revision = 1;
    standin.era = 1;
    LrServerConfig config = {
        .loop = standin.loop,
        .address = LrStr_FromC(address),
        .max_body_bytes = MAX_BODY_BYTES,
        .max_connections = MAX_CONNECTIONS,
        .idle_timeout_s = 60,
        .handler = {.request = on_store_request,
                    .caller_gone = on_store_caller_gone,
                    .data = &standin},
    };
    GError *error = NULL;
    standin.store = LrServer_New(&config, &error);
    if (!standin.store) {
        fprintf(stderr, "lr-standin-routed: %s\n", error->message);
        g_error_free(error);
        return EXIT_FAILURE;
    }
    printf("lr-standin-routed: store at http://%s\n", address);
    fflush(stdout);
    StandinLoop_Run(standin.loop, seconds);
    free_standin(&standin);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    struct arg_lit *help = arg_lit0("h", "help", "show this help and exit");
    struct arg_str *store =
        arg_str1(NULL, "store", "IP:PORT", "address of the store");
    struct arg_int *seconds =
        arg_int0(NULL, "seconds", "N", "time limit (3600)");
    struct arg_end *end = arg_end(OPTION_MAX_ERRORS);
    void *table[] = {help, store, seconds, end};
    int status = 2;
    seconds->ival[0] = 3600;
    int n_errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        printf("Usage: lr-standin-routed");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        status = EXIT_SUCCESS;
    }
    else if (n_errors > 0) {
        arg_print_errors(stderr, end, "lr-standin-routed");
    }
    else {
        status = run(store->sval[0], seconds->ival[0]);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
