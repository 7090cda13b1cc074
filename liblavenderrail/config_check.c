/* See config_check.h. */
#include "config_check.h"

#include <string.h>

/* More attempts than that are never made for one part of a request. */
enum { MAX_USED_ATTEMPTS = 6 };

typedef struct {
    const LrRoutingSpec *spec;
    LrConfigReport *report;
    GHashTable *pools;
    GHashTable *used_pools;
    GHashTable *route_names;
    /* Index + 1 of the last route for a host and prefix. */
    GHashTable *routes_by_key;
} Check;

static LrFaults *
errors(const Check *check)
{
    return check->report->errors;
}

static LrFaults *
warnings(const Check *check)
{
    return check->report->warnings;
}

static bool
contains_any(LrStr text, const char *characters)
{
    for (size_t i = 0; i < text.len; i++) {
        if (text.ptr[i] && strchr(characters, text.ptr[i])) {
            return true;
        }
    }
    return false;
}

static void
check_pools(Check *check)
{
    for (size_t i = 0; i < check->spec->n_pools; i++) {
        const LrPoolSpec *pool = &check->spec->pools[i];
        g_autofree char *path = g_strdup_printf("$.pools[%zu].name", i);
        g_autofree char *health_path =
            g_strdup_printf("$.pools[%zu].health_path", i);
        if (pool->name.len == 0) {
            LrFaults_Add(errors(check), path, "name the service", "is empty");
        }
        else if (!g_hash_table_add(check->pools, (LrStr *)&pool->name)) {
            LrFaults_Add(errors(check), path, "list each service once",
                         "is listed before; the first one holds");
        }
        if (pool->health_path.len == 0) {
            LrFaults_Add(warnings(check), health_path,
                         "name the path of the health check",
                         "is empty: crashes of its targets are not confirmed");
        }
        else if (pool->health_path.ptr[0] != '/') {
            LrFaults_Add(errors(check), health_path, "begin it with a slash",
                         "is no path");
        }
    }
}

static void
check_host(const Check *check, const LrRouteSpec *route, const char *path)
{
    g_autofree char *host_path = g_strconcat(path, ".host", NULL);
    if (route->host.len == 0 || contains_any(route->host, ": /\t")) {
        LrFaults_Add(errors(check), host_path, "a host name without a port",
                     "never matches: hosts are compared without their ports");
    }
}

static void
check_prefix(const Check *check, const LrRouteSpec *route, const char *path)
{
    LrStr prefix = route->prefix;
    g_autofree char *prefix_path = g_strconcat(path, ".prefix", NULL);
    if (prefix.len == 0 || prefix.ptr[0] != '/' ||
        prefix.ptr[prefix.len - 1] != '/') {
        LrFaults_Add(errors(check), prefix_path,
                     "begin and end it with a slash",
                     "never matches: only whole segments are compared");
    }
    else if (contains_any(prefix, "?# ")) {
        LrFaults_Add(errors(check), prefix_path, "a path without a query",
                     "never matches: paths are compared without queries");
    }
}

/* Of two routes with one host and prefix, the later one gets all requests. */
static void
check_key(Check *check, size_t index, const char *path)
{
    const LrRouteSpec *route = &check->spec->routes[index];
    g_autofree char *host =
        g_ascii_strdown(route->host.ptr, (gssize)route->host.len);
    char *key = g_strdup_printf("%s %.*s", host, (int)route->prefix.len,
                                route->prefix.ptr);
    size_t before =
        GPOINTER_TO_SIZE(g_hash_table_lookup(check->routes_by_key, key));
    if (before > 0) {
        g_autofree char *hidden =
            g_strdup_printf("$.routes[%zu].prefix", before - 1);
        LrFaults_Add(errors(check), hidden, "one route for a host and prefix",
                     "never matches: %s has the same host and prefix",
                     path + strlen("$."));
    }
    g_hash_table_replace(check->routes_by_key, key,
                         GSIZE_TO_POINTER(index + 1));
}

static void
check_name(Check *check, const LrRouteSpec *route, const char *path)
{
    g_autofree char *name_path = g_strconcat(path, ".name", NULL);
    if (route->name.len == 0) {
        LrFaults_Add(errors(check), name_path, "name the route", "is empty");
    }
    else if (!g_hash_table_add(check->route_names, (LrStr *)&route->name)) {
        LrFaults_Add(errors(check), name_path, "name each route once",
                     "is the name of another route, too");
    }
}

static void
check_shards(Check *check, const LrBackendSpec *backend, const char *path)
{
    g_autoptr(GHashTable) seen =
        g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
    for (size_t i = 0; i < backend->n_shards; i++) {
        const LrStr *service = &backend->shards[i].service;
        g_autofree char *shard =
            g_strdup_printf("%s.shards[%zu].service", path, i);
        g_hash_table_add(check->used_pools, (LrStr *)service);
        if (!g_hash_table_contains(check->pools, service)) {
            LrFaults_Add(errors(check), shard, "list the service",
                         "'%.*s' is not among the services", (int)service->len,
                         service->ptr);
        }
        if (!g_hash_table_add(seen, (LrStr *)service)) {
            LrFaults_Add(errors(check), shard, "name each shard once",
                         "'%.*s' is asked twice", (int)service->len,
                         service->ptr);
        }
    }
}

static void
check_backends(Check *check, const LrRouteSpec *route, const char *path)
{
    double total = 0;
    for (size_t i = 0; i < route->n_backends; i++) {
        const LrBackendSpec *backend = &route->backends[i];
        g_autofree char *item = g_strdup_printf("%s.backends[%zu]", path, i);
        g_autofree char *weight = g_strconcat(item, ".weight", NULL);
        total += backend->weight;
        if (backend->weight <= 0) {
            LrFaults_Add(warnings(check), weight, "a weight above 0",
                         "is 0: it gets no requests");
        }
        if (backend->n_shards == 0) {
            LrFaults_Add(errors(check), item, "list at least one shard",
                         "has no shards");
        }
        check_shards(check, backend, item);
    }
    g_autofree char *list = g_strconcat(path, ".backends", NULL);
    if (route->n_backends == 0) {
        LrFaults_Add(errors(check), list, "name where its requests go",
                     "is missing: the whole configuration is refused");
    }
    else if (total <= 0) {
        LrFaults_Add(errors(check), list, "a weight above 0 for one of them",
                     "all weights are 0: the first one gets all requests");
    }
}

static void
check_limits_of_route(const Check *check, const LrRouteSpec *route,
                      const char *path)
{
    g_autofree char *objective = g_strconcat(path, ".objective_ms", NULL);
    g_autofree char *attempts = g_strconcat(path, ".max_attempts", NULL);
    g_autofree char *coverage = g_strconcat(path, ".min_coverage", NULL);
    g_autofree char *top = g_strconcat(path, ".top_k", NULL);
    if (route->objective_ms > route->timeout_ms) {
        LrFaults_Add(errors(check), objective, "at most the time-out",
                     "is %" G_GINT64_FORMAT
                     ", above the time-out of %" G_GINT64_FORMAT,
                     route->objective_ms, route->timeout_ms);
    }
    if (route->max_attempts > MAX_USED_ATTEMPTS) {
        LrFaults_Add(warnings(check), attempts, "at most 6",
                     "is %" G_GINT64_FORMAT ": at most %d are made",
                     route->max_attempts, MAX_USED_ATTEMPTS);
    }
    if (!route->scatter && route->min_coverage > 0) {
        LrFaults_Add(warnings(check), coverage, "only with several shards",
                     "has no effect: its answers have one part");
    }
    if (!route->scatter && route->top_k > 0) {
        LrFaults_Add(warnings(check), top, "only with several shards",
                     "has no effect: its answers are not merged");
    }
    if (route->scatter && route->top_k == 0) {
        LrFaults_Add(warnings(check), top, "the number of records to keep",
                     "is 0: merged answers are empty");
    }
}

static void
check_limits_of_callers(const Check *check)
{
    const LrRoutingSpec *spec = check->spec;
    if (spec->max_body_bytes == 0) {
        LrFaults_Add(warnings(check), "$.max_body_bytes", "a size above 0",
                     "is 0: every request with a body is refused");
    }
    if (spec->idle_timeout_ms < spec->header_timeout_ms) {
        LrFaults_Add(warnings(check), "$.idle_timeout_ms",
                     "at least the time for a head",
                     "is %" G_GINT64_FORMAT
                     ", below the time of %" G_GINT64_FORMAT " for a head",
                     spec->idle_timeout_ms, spec->header_timeout_ms);
    }
}

static void
check_unused_pools(const Check *check)
{
    for (size_t i = 0; i < check->spec->n_pools; i++) {
        const LrStr *name = &check->spec->pools[i].name;
        if (!g_hash_table_contains(check->used_pools, name)) {
            g_autofree char *path = g_strdup_printf("$.pools[%zu]", i);
            LrFaults_Add(warnings(check), path, "remove it, or add a route",
                         "no route leads to '%.*s'", (int)name->len,
                         name->ptr);
        }
    }
}

static void
check_routes(Check *check)
{
    for (size_t i = 0; i < check->spec->n_routes; i++) {
        const LrRouteSpec *route = &check->spec->routes[i];
        g_autofree char *path = g_strdup_printf("$.routes[%zu]", i);
        check_name(check, route, path);
        check_host(check, route, path);
        check_prefix(check, route, path);
        check_key(check, i, path);
        check_backends(check, route, path);
        check_limits_of_route(check, route, path);
    }
    if (check->spec->n_routes == 0) {
        LrFaults_Add(warnings(check), "$.routes", "list at least one route",
                     "is empty: every request is answered with 404");
    }
}

static GHashTable *
new_set(void)
{
    return g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
}

void
LrConfigCheck_Run(const LrRoutingSpec *spec, LrConfigReport *report)
{
    Check check = {
        .spec = spec,
        .report = report,
        .pools = new_set(),
        .used_pools = new_set(),
        .route_names = new_set(),
        .routes_by_key =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    check_pools(&check);
    check_routes(&check);
    check_unused_pools(&check);
    check_limits_of_callers(&check);
    g_hash_table_unref(check.pools);
    g_hash_table_unref(check.used_pools);
    g_hash_table_unref(check.route_names);
    g_hash_table_unref(check.routes_by_key);
}

void
LrConfigCheck_CompareVersions(int64_t in_force, int64_t version, bool differs,
                              LrConfigReport *report)
{
    if (version < in_force) {
        LrFaults_Add(report->errors, "$.version", "a higher version",
                     "is %" G_GINT64_FORMAT
                     ": daemons keep version %" G_GINT64_FORMAT,
                     version, in_force);
    }
    else if (version == in_force && differs) {
        LrFaults_Add(report->warnings, "$.version", "a higher version",
                     "is that of the configuration in force, which differs");
    }
}
