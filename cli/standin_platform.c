/* Simulated configuration service and host list, and the control paths of
 * the stand-in itself. */
#include "standin.h"

#include <stdlib.h>
#include <string.h>

enum {
    STATUS_OK = 200,
    STATUS_NO_CONTENT = 204,
    STATUS_BAD_REQUEST = 400,
    STATUS_NOT_FOUND = 404,
    STATUS_UNAVAILABLE = 503,
    MAX_BODY_BYTES = 16 << 20,
    MAX_CONNECTIONS = 2048,
};

#define JSON_TYPE "application/json"

typedef struct Waiter {
    Platform *platform;
    LrExchange *exchange;
    ev_timer timer;
    bool for_hosts;
    TAILQ_ENTRY(Waiter) link;
} Waiter;

struct Platform {
    Standin *standin;
    LrServer *server;
    json_t *values;
    json_t *revisions;
    json_int_t revision;
    json_t *stale;
    json_t *hosts;
    json_int_t hosts_revision;
    bool down;
    bool truncate;
    uint64_t reads;
    TAILQ_HEAD(, Waiter) waiters;
};

static void
reply_text(LrExchange *exchange, unsigned status, char *text)
{
    LrExchange_Reply(
        exchange, status, JSON_TYPE,
        g_bytes_new_with_free_func(text, strlen(text), free, text));
}

static void
reply_json(LrExchange *exchange, unsigned status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);
    json_decref(json);
    reply_text(exchange, status, text);
}

static void
reply_status(LrExchange *exchange, unsigned status)
{
    reply_text(exchange, status, strdup(""));
}

static json_t *
manifest_json(const Platform *platform)
{
    if (platform->stale) {
        return json_incref(platform->stale);
    }
    return json_pack("{s:I, s:O}", "revision", platform->revision, "values",
                     platform->revisions);
}

static json_t *
hosts_json(const Platform *platform)
{
    return json_pack("{s:I, s:O}", "revision", platform->hosts_revision,
                     "hosts", platform->hosts);
}

static json_int_t
current_revision(const Platform *platform, bool for_hosts)
{
    if (for_hosts) {
        return platform->hosts_revision;
    }
    if (platform->stale) {
        return json_integer_value(
            json_object_get(platform->stale, "revision"));
    }
    return platform->revision;
}

static void
reply_to_watch(Platform *platform, LrExchange *exchange, bool for_hosts)
{
    reply_json(exchange, STATUS_OK,
               for_hosts ? hosts_json(platform) : manifest_json(platform));
}

static void
free_waiter(Waiter *waiter)
{
    ev_timer_stop(waiter->platform->standin->loop, &waiter->timer);
    TAILQ_REMOVE(&waiter->platform->waiters, waiter, link);
    LrExchange_SetData(waiter->exchange, NULL);
    g_free(waiter);
}

static void
on_watch_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    Waiter *waiter = timer->data;
    LrExchange *exchange = waiter->exchange;
    free_waiter(waiter);
    reply_status(exchange, STATUS_NO_CONTENT);
}

static void
notify_waiters(Platform *platform, bool for_hosts)
{
    Waiter *waiter;
    Waiter *next;
    TAILQ_FOREACH_SAFE(waiter, &platform->waiters, link, next)
    {
        if (waiter->for_hosts == for_hosts) {
            LrExchange *exchange = waiter->exchange;
            free_waiter(waiter);
            reply_to_watch(platform, exchange, for_hosts);
        }
    }
}

static void
watch(Platform *platform, LrExchange *exchange, bool for_hosts)
{
    int64_t after = 0;
    int64_t wait_ms = 0;
    LrStr_ToInt(LrExchange_Argument(exchange, "after"), &after);
    LrStr_ToInt(LrExchange_Argument(exchange, "wait_ms"), &wait_ms);
    if (after != current_revision(platform, for_hosts) || wait_ms <= 0) {
        reply_to_watch(platform, exchange, for_hosts);
        return;
    }
    Waiter *waiter = g_new0(Waiter, 1);
    waiter->platform = platform;
    waiter->exchange = exchange;
    waiter->for_hosts = for_hosts;
    LrExchange_SetData(exchange, waiter);
    ev_timer_init(&waiter->timer, on_watch_timeout, (double)wait_ms / 1000, 0);
    waiter->timer.data = waiter;
    ev_timer_start(platform->standin->loop, &waiter->timer);
    TAILQ_INSERT_TAIL(&platform->waiters, waiter, link);
}

static void
read_value(Platform *platform, LrExchange *exchange, const char *name)
{
    json_t *value = json_object_get(platform->values, name);
    if (!value) {
        reply_status(exchange, STATUS_NOT_FOUND);
        return;
    }
    json_int_t revision =
        json_integer_value(json_object_get(platform->revisions, name));
    g_autofree char *text = g_strdup_printf("%" JSON_INTEGER_FORMAT, revision);
    LrExchange_AddHeader(exchange, "Lr-Revision", text);
    char *dumped = json_dumps(value, JSON_COMPACT);
    if (platform->truncate) {
        dumped[strlen(dumped) / 2] = '\0';
    }
    reply_text(exchange, STATUS_OK, dumped);
}

static void
put_values(Platform *platform, json_t *revisions, json_t *values,
           const char *prefix, json_t *list, json_int_t revision)
{
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        const char *name = json_string_value(json_object_get(item, "name"));
        g_autofree char *key =
            name ? g_strconcat(prefix, name, NULL)
                 : g_strdup_printf("%sunnamed-%zu", prefix, i);
        json_t *former = json_object_get(platform->values, key);
        json_t *number = json_integer(revision);
        if (former && json_equal(former, item)) {
            json_decref(number);
            number = json_incref(json_object_get(platform->revisions, key));
        }
        json_object_set(values, key, item);
        json_object_set_new(revisions, key, number);
    }
}

static void
publish(Platform *platform, json_t *catalogue)
{
    json_int_t revision =
        json_integer_value(json_object_get(catalogue, "revision"));
    json_t *values = json_object();
    json_t *revisions = json_object();
    put_values(platform, revisions, values, "service/",
               json_object_get(catalogue, "services"), revision);
    put_values(platform, revisions, values, "entry/",
               json_object_get(catalogue, "entries"), revision);
    json_decref(platform->values);
    json_decref(platform->revisions);
    platform->values = values;
    platform->revisions = revisions;
    platform->revision = revision;
    notify_waiters(platform, false);
}

static void
replace_catalogue(Platform *platform, LrExchange *exchange)
{
    LrStr text = LrStr_FromBytes(LrExchange_Body(exchange));
    json_t *json = json_loadb(text.ptr, text.len, 0, NULL);
    if (!json_is_object(json)) {
        json_decref(json);
        reply_status(exchange, STATUS_BAD_REQUEST);
        return;
    }
    publish(platform, json);
    json_decref(json);
    reply_status(exchange, STATUS_OK);
}

static void
set_host_state(Platform *platform, LrExchange *exchange, const char *name)
{
    LrStr state = LrExchange_Argument(exchange, "state");
    size_t i;
    json_t *host;
    json_array_foreach(platform->hosts, i, host)
    {
        if (!strcmp(json_string_value(json_object_get(host, "name")), name)) {
            json_object_set_new(host, "state",
                                json_stringn(state.ptr, state.len));
        }
    }
    platform->hosts_revision++;
    notify_waiters(platform, true);
    reply_status(exchange, STATUS_OK);
}

static void
set_platform_fault(Platform *platform, LrExchange *exchange)
{
    LrStr down = LrExchange_Argument(exchange, "down");
    LrStr stale = LrExchange_Argument(exchange, "stale");
    LrStr truncate = LrExchange_Argument(exchange, "truncate");
    if (down.len > 0) {
        platform->down = LrStr_EqualC(down, "1");
    }
    if (truncate.len > 0) {
        platform->truncate = LrStr_EqualC(truncate, "1");
    }
    if (stale.len > 0) {
        json_t *now = NULL;
        if (LrStr_EqualC(stale, "1")) {
            json_t *held = manifest_json(platform);
            now = json_deep_copy(held);
            json_decref(held);
        }
        json_decref(platform->stale);
        platform->stale = now;
    }
    reply_status(exchange, STATUS_OK);
}

static void
set_faults(Target *target, LrExchange *exchange)
{
    static const char *const names[] = {
        "slow",     "slow_share",    "shed",       "drain",  "garbage",
        "half",     "dead",          "lie_queued", "oldest", "newest",
        "crash_on", "wrong_attempt", "limit",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        LrStr value = LrExchange_Argument(exchange, names[i]);
        if (value.len > 0) {
            g_autofree char *text = LrStr_Dup(value);
            Target_SetFault(target, names[i], text);
        }
    }
}

static void
set_target_faults(Platform *platform, LrExchange *exchange, const char *name)
{
    GHashTable *targets = platform->standin->targets;
    Target *one = g_hash_table_lookup(targets, name);
    bool all = !strcmp(name, "all");
    if (!one && !all) {
        reply_status(exchange, STATUS_NOT_FOUND);
        return;
    }
    if (one) {
        set_faults(one, exchange);
    }
    else {
        GHashTableIter iter;
        gpointer target;
        g_hash_table_iter_init(&iter, targets);
        while (g_hash_table_iter_next(&iter, NULL, &target)) {
            set_faults(target, exchange);
        }
    }
    reply_status(exchange, STATUS_OK);
}

static void
list_runs(Platform *platform, LrExchange *exchange)
{
    json_t *json = json_object();
    GHashTableIter iter;
    gpointer key;
    gpointer count;
    g_hash_table_iter_init(&iter, platform->standin->runs);
    while (g_hash_table_iter_next(&iter, &key, &count)) {
        json_object_set_new(json, key, json_integer(GPOINTER_TO_UINT(count)));
    }
    reply_json(exchange, STATUS_OK, json);
}

static const char *
after_prefix(const char *path, const char *prefix)
{
    return g_str_has_prefix(path, prefix) ? path + strlen(prefix) : NULL;
}

/* Handles the paths that a demo or test calls. They answer also while the
 * platform fault "down" is set. */
static bool
route_control(Platform *platform, LrExchange *exchange, const char *path)
{
    const char *rest;
    if (!strcmp(path, "/control/catalogue")) {
        replace_catalogue(platform, exchange);
    }
    else if (!strcmp(path, "/control/platform")) {
        set_platform_fault(platform, exchange);
    }
    else if (!strcmp(path, "/control/runs")) {
        list_runs(platform, exchange);
    }
    else if (!strcmp(path, "/control/reads")) {
        reply_json(exchange, STATUS_OK,
                   json_integer((json_int_t)platform->reads));
    }
    else if ((rest = after_prefix(path, "/control/hosts/"))) {
        set_host_state(platform, exchange, rest);
    }
    else if ((rest = after_prefix(path, "/control/targets/"))) {
        set_target_faults(platform, exchange, rest);
    }
    else {
        return false;
    }
    return true;
}

static void
on_request(void *data, LrExchange *exchange)
{
    Platform *platform = data;
    g_autofree char *path = LrStr_Dup(LrExchange_Path(exchange));
    const char *value = after_prefix(path, "/v1/values/");
    if (route_control(platform, exchange, path)) {
        return;
    }
    platform->reads++;
    if (platform->down) {
        reply_status(exchange, STATUS_UNAVAILABLE);
    }
    else if (!strcmp(path, "/v1/manifest")) {
        watch(platform, exchange, false);
    }
    else if (!strcmp(path, "/v1/hosts")) {
        watch(platform, exchange, true);
    }
    else if (value) {
        read_value(platform, exchange, value);
    }
    else {
        reply_status(exchange, STATUS_NOT_FOUND);
    }
}

static void
on_caller_gone(void *data, LrExchange *exchange)
{
    (void)data;
    Waiter *waiter = LrExchange_Data(exchange);
    if (waiter) {
        free_waiter(waiter);
    }
}

static void
add_host(Platform *platform, const char *name, const char *zone,
         const char *role, const char *address)
{
    json_array_append_new(platform->hosts,
                          json_pack("{s:s, s:s, s:s, s:s, s:s}", "name", name,
                                    "zone", zone, "role", role, "address",
                                    address, "state", "live"));
}

static void
list_hosts(Platform *platform, char **daemons)
{
    GHashTableIter iter;
    gpointer name;
    gpointer target;
    platform->hosts = json_array();
    platform->hosts_revision = 1;
    g_hash_table_iter_init(&iter, platform->standin->targets);
    while (g_hash_table_iter_next(&iter, &name, &target)) {
        add_host(platform, name, Target_Zone(target), "target",
                 Target_Address(target));
    }
    for (size_t i = 0; daemons && daemons[i]; i++) {
        char **fields = g_strsplit(daemons[i], ",", 3);
        if (g_strv_length(fields) == 3) {
            add_host(platform, fields[0], fields[1], "daemon", fields[2]);
        }
        g_strfreev(fields);
    }
}

Platform *
Platform_New(Standin *standin, const char *address, json_t *catalogue,
             char **daemons, GError **error)
{
    Platform *platform = g_new0(Platform, 1);
    platform->standin = standin;
    TAILQ_INIT(&platform->waiters);
    LrServerConfig config = {
        .loop = standin->loop,
        .address = LrStr_FromC(address),
        .max_body_bytes = MAX_BODY_BYTES,
        .max_connections = MAX_CONNECTIONS,
        .handler = {.request = on_request,
                    .caller_gone = on_caller_gone,
                    .data = platform},
    };
    platform->server = LrServer_New(&config, error);
    if (!platform->server) {
        g_free(platform);
        return NULL;
    }
    list_hosts(platform, daemons);
    publish(platform, catalogue);
    return platform;
}

void
Platform_Free(Platform *platform)
{
    LrServer_Free(platform->server);
    json_decref(platform->values);
    json_decref(platform->revisions);
    json_decref(platform->stale);
    json_decref(platform->hosts);
    g_free(platform);
}
