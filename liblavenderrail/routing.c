/* Routes, and the catalogue that they make together with the targets that
 * registered themselves. */
#include "routing.h"

#include <string.h>

#include <jansson.h>

/* Limits of entries hold over the fleet; routes have none of their own. */
enum { UNLIMITED = 1000000 };

/* Connections to a target of a service that the configuration leaves out. */
enum { DEFAULT_CONNECTIONS = 30 };

struct LrRoutes {
    LrRoutingSpec spec;
    LrArena *arena;
    json_t *json;
    LrRoute *items;
    /* Routes by host and prefix, joined by a blank. */
    GHashTable *by_place;
};

typedef struct {
    LrArena *arena;
    LrCatalogueSpec spec;
    GHashTable *instances;
    GHashTable *services;
    LrRoutes *routes;
} Builder;

static void
free_routes(gpointer data)
{
    LrRoutes *routes = data;
    g_hash_table_unref(routes->by_place);
    json_decref(routes->json);
    LrArena_Free(routes->arena);
    g_free(routes);
}

static LrStr
format(LrArena *arena, const char *text, ...)
{
    va_list args;
    va_start(args, text);
    g_autofree char *made = g_strdup_vprintf(text, args);
    va_end(args);
    return LrArena_Copy(arena, LrStr_FromC(made));
}

static LrStr
place_of(LrArena *arena, LrStr host, LrStr prefix)
{
    g_autofree char *lower = g_ascii_strdown(host.ptr, (gssize)host.len);
    return format(arena, "%s %.*s", lower, (int)prefix.len, prefix.ptr);
}

/* Values of instances, a list for each service. */
static void
add_instance(Builder *builder, const LrInstanceSpec *instance)
{
    LrInstanceSpec *copy = LrArena_Alloc(builder->arena, sizeof(*copy));
    *copy = *instance;
    copy->id = LrArena_Copy(builder->arena, instance->id);
    copy->service = LrArena_Copy(builder->arena, instance->service);
    copy->address = LrArena_Copy(builder->arena, instance->address);
    copy->zone = LrArena_Copy(builder->arena, instance->zone);
    GPtrArray *list = g_hash_table_lookup(builder->instances, &copy->service);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(builder->instances, &copy->service, list);
    }
    g_ptr_array_add(list, copy);
}

static void
read_instance(void *data, const char *name, LrStr text)
{
    Builder *builder = data;
    if (!g_str_has_prefix(name, LR_INSTANCE_PREFIX)) {
        return;
    }
    LrFaults *faults = LrFaults_New();
    json_t *json = LrRecord_LoadJson(text, faults);
    LrInstanceSpec instance;
    /* What does not hold was reported when it was read. */
    if (json &&
        LrRecord_ReadJson(&LrInstanceSpec_Spec, json, &instance,
                          builder->arena, name, faults) &&
        !instance.leaving) {
        add_instance(builder, &instance);
    }
    json_decref(json);
    LrFaults_Free(faults);
}

static void
fill_group(Builder *builder, LrGroupSpec *group, LrStr service)
{
    GPtrArray *list = g_hash_table_lookup(builder->instances, &service);
    group->name = service;
    group->n_replicas = list ? list->len : 0;
    group->replicas = LrArena_Alloc(builder->arena, (group->n_replicas + 1) *
                                                        sizeof(LrTargetSpec));
    for (size_t i = 0; i < group->n_replicas; i++) {
        const LrInstanceSpec *instance = list->pdata[i];
        /* A target that starts again under its identity knows nothing of
         * before; so nothing that is known of its former run holds. */
        group->replicas[i] = (LrTargetSpec){
            .name = format(builder->arena, "%.*s@%" G_GINT64_FORMAT,
                           (int)instance->id.len, instance->id.ptr,
                           instance->born_ms),
            .address = instance->address,
            .zone = instance->zone,
            .instance = instance->id,
            .cold_ms = instance->cold_ms,
        };
    }
}

static int64_t
connections_of(const LrRoutes *routes, LrStr service)
{
    for (size_t i = 0; i < routes->spec.n_pools; i++) {
        if (LrStr_Equal(routes->spec.pools[i].name, service)) {
            return routes->spec.pools[i].connections;
        }
    }
    return DEFAULT_CONNECTIONS;
}

/* Backends of the same shards and objective share what is known of their
 * latencies. */
static LrStr
service_name(Builder *builder, const LrRouteSpec *route,
             const LrBackendSpec *backend)
{
    uint64_t digest = (uint64_t)route->objective_ms + 1;
    for (size_t i = 0; i < backend->n_shards; i++) {
        digest = LrStr_Hash(backend->shards[i].service, digest);
    }
    return format(builder->arena, "%.*s-%016" G_GINT64_MODIFIER "x",
                  (int)backend->shards[0].service.len,
                  backend->shards[0].service.ptr, digest);
}

static LrStr
add_service(Builder *builder, const LrRouteSpec *route,
            const LrBackendSpec *backend)
{
    LrStr name = service_name(builder, route, backend);
    if (g_hash_table_contains(builder->services, &name)) {
        return name;
    }
    LrServiceSpec *service =
        &builder->spec.services[builder->spec.n_services++];
    LrMapSpec *map = LrArena_Alloc(builder->arena, sizeof(*map));
    map->version = 1;
    map->n_groups = backend->n_shards;
    map->groups =
        LrArena_Alloc(builder->arena, backend->n_shards * sizeof(LrGroupSpec));
    for (size_t i = 0; i < backend->n_shards; i++) {
        fill_group(builder, &map->groups[i], backend->shards[i].service);
    }
    service->name = name;
    service->connections =
        connections_of(builder->routes, backend->shards[0].service);
    service->maps = map;
    service->n_maps = 1;
    g_hash_table_add(builder->services, &service->name);
    return name;
}

static void
add_entry(Builder *builder, LrRoute *route, size_t index)
{
    const LrRouteSpec *spec = route->spec;
    const LrBackendSpec *backend = &spec->backends[index];
    LrEntrySpec *entry = &builder->spec.entries[builder->spec.n_entries++];
    LrRecord_Init(&LrEntrySpec_Spec, entry);
    entry->name = format(builder->arena, "%.*s#%zu", (int)spec->name.len,
                         spec->name.ptr, index);
    entry->owner = spec->host;
    entry->service = add_service(builder, spec, backend);
    entry->klass = LR_CLASS_ROUTINE;
    entry->idempotent = spec->idempotent;
    entry->max_concurrency = UNLIMITED;
    entry->rate_per_s = UNLIMITED;
    entry->deadline_ms = spec->timeout_ms;
    entry->soft_deadline_ms = spec->scatter && spec->objective_ms > 0
                                  ? MIN(spec->objective_ms, spec->timeout_ms)
                                  : spec->timeout_ms;
    entry->min_coverage = spec->scatter ? spec->min_coverage : 1;
    entry->strict_coverage = true;
    entry->max_attempts = spec->max_attempts;
    route->backends[index] = (LrRouteBackend){
        .entry = entry->name,
        .weight = backend->weight,
    };
}

static bool
check_route(const LrRouteSpec *route, const char *path, LrFaults *faults)
{
    if (route->n_backends == 0) {
        LrFaults_Add(faults, path, "list at least one backend",
                     "has no backends");
        return false;
    }
    for (size_t i = 0; i < route->n_backends; i++) {
        if (route->backends[i].n_shards == 0) {
            LrFaults_Add(faults, path, "list at least one shard",
                         "has a backend without shards");
            return false;
        }
    }
    return true;
}

static LrRoutes *
read_routes(LrStr text, LrFaults *faults)
{
    json_t *json = LrRecord_LoadJson(text, faults);
    if (!json) {
        return NULL;
    }
    LrRoutes *routes = g_new0(LrRoutes, 1);
    routes->json = json;
    routes->arena = LrArena_New();
    routes->by_place = g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
    bool valid = LrRecord_ReadJson(&LrRoutingSpec_Spec, json, &routes->spec,
                                   routes->arena, "$", faults);
    for (size_t i = 0; valid && i < routes->spec.n_routes; i++) {
        g_autofree char *path = g_strdup_printf("$.routes[%zu]", i);
        valid = check_route(&routes->spec.routes[i], path, faults);
    }
    if (!valid) {
        free_routes(routes);
        return NULL;
    }
    return routes;
}

static void
add_route(Builder *builder, LrRoute *route, const LrRouteSpec *spec)
{
    LrRoutes *routes = builder->routes;
    route->spec = spec;
    route->n_backends = spec->n_backends;
    route->backends = LrArena_Alloc(routes->arena,
                                    spec->n_backends * sizeof(LrRouteBackend));
    for (size_t i = 0; i < spec->n_backends; i++) {
        add_entry(builder, route, i);
    }
    LrStr *place = LrArena_Alloc(routes->arena, sizeof(*place));
    *place = place_of(routes->arena, spec->host, spec->prefix);
    g_hash_table_replace(routes->by_place, place, route);
}

static void
build(Builder *builder)
{
    LrRoutes *routes = builder->routes;
    size_t n_backends = 0;
    for (size_t i = 0; i < routes->spec.n_routes; i++) {
        n_backends += routes->spec.routes[i].n_backends;
    }
    builder->spec.services =
        LrArena_Alloc(builder->arena, n_backends * sizeof(LrServiceSpec));
    builder->spec.entries =
        LrArena_Alloc(builder->arena, n_backends * sizeof(LrEntrySpec));
    routes->items =
        LrArena_Alloc(routes->arena, routes->spec.n_routes * sizeof(LrRoute));
    for (size_t i = 0; i < routes->spec.n_routes; i++) {
        add_route(builder, &routes->items[i], &routes->spec.routes[i]);
    }
}

static void
free_list(gpointer list)
{
    g_ptr_array_unref(list);
}

LrCatalogue *
LrRouting_Build(const LrStore *store, LrFaults *faults)
{
    LrStr text = LrStore_Get(store, LR_ROUTING_VALUE);
    if (text.len == 0) {
        return NULL;
    }
    Builder builder = {.routes = read_routes(text, faults)};
    if (!builder.routes) {
        return NULL;
    }
    builder.arena = LrArena_New();
    builder.spec.revision = LrStore_Revision(store);
    builder.instances = g_hash_table_new_full(
        LrStr_TableHash, LrStr_TableEqual, NULL, free_list);
    builder.services = g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
    LrStore_Each(store, read_instance, &builder);
    build(&builder);
    g_hash_table_unref(builder.instances);
    g_hash_table_unref(builder.services);
    LrCatalogue *catalogue =
        LrCatalogue_FromSpec(&builder.spec, builder.arena);
    LrCatalogue_Attach(catalogue, builder.routes, free_routes);
    return catalogue;
}

LrRoutes *
LrRouting_Routes(const LrCatalogue *catalogue)
{
    return catalogue->attached;
}

const LrRoutingSpec *
LrRoutes_Spec(const LrRoutes *routes)
{
    return &routes->spec;
}

static LrStr
without_port(LrStr host)
{
    const char *colon = host.len ? memchr(host.ptr, ':', host.len) : NULL;
    if (colon) {
        host.len = (size_t)(colon - host.ptr);
    }
    return host;
}

LrRoute *
LrRoutes_Lookup(const LrRoutes *routes, LrStr host, LrStr path)
{
    LrStr name = without_port(host);
    GString *place = g_string_sized_new(name.len + path.len + 1);
    for (size_t i = 0; i < name.len; i++) {
        g_string_append_c(place, g_ascii_tolower(name.ptr[i]));
    }
    g_string_append_c(place, ' ');
    g_string_append_len(place, path.ptr, (gssize)path.len);
    LrRoute *route = NULL;
    for (size_t len = place->len; !route && len > name.len + 1; len--) {
        LrStr prefix = {.ptr = place->str, .len = len};
        if (place->str[len - 1] == '/') {
            route = g_hash_table_lookup(routes->by_place, &prefix);
        }
    }
    g_string_free(place, TRUE);
    return route;
}

LrStr
LrRoute_NextEntry(LrRoute *route)
{
    double total = 0;
    LrRouteBackend *best = &route->backends[0];
    for (size_t i = 0; i < route->n_backends; i++) {
        LrRouteBackend *backend = &route->backends[i];
        backend->credit += backend->weight;
        total += backend->weight;
        if (backend->credit > best->credit) {
            best = backend;
        }
    }
    best->credit -= total;
    return best->entry;
}
