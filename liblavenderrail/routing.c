/* Parses routes, matches requests to them, and builds the catalogue from the
 * routes and the targets that registered themselves. */
#include "routing.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "json_scan.h"

/* The limits of an entry hold over the fleet; routes set no limits. */
enum { UNLIMITED = 1000000 };

/* Connections to a target of a service that the configuration does not
 * list. */
enum { DEFAULT_CONNECTIONS = 30 };

/* Name of the list in the configuration. */
static const char ROUTES_MEMBER[] = "routes";

/* A route as parsed from its text, shared by the configurations that have it.
 */
typedef struct {
    int refs;
    LrStr text;
    LrArena *arena;
    json_t *json;
    LrRouteSpec spec;
    /* Host and prefix, separated by a space. */
    LrStr key;
    /* Names of the entries of its backends. */
    LrStr *entries;
} ParsedRoute;

/* The routes of one configuration, shared by the catalogues built from it. */
struct LrRoutes {
    int refs;
    char *text;
    LrRoutingSpec spec;
    LrArena *arena;
    json_t *json;
    /* In the order of spec.routes. */
    GPtrArray *parsed;
    /* The same by their text. */
    GHashTable *by_text;
    LrRoute *items;
    /* Keys: host and prefix, separated by a space. */
    GHashTable *by_host_and_prefix;
};

/* A registered instance as parsed from its value, shared like the routes. */
typedef struct {
    int refs;
    char *text;
    LrArena *arena;
    LrInstanceSpec spec;
    /* May be sent requests: the value was valid, and the target is not
     * leaving. */
    bool usable;
    LrStr target_name;
    /* Of its value in the service, without the era: an entry that comes back
     * with a restored service states nothing new. */
    int64_t revision;
} Instance;

typedef struct {
    int64_t start_ms;
    double per_second;
} ColdRule;

/* What a catalogue was built from; attached to it. */
typedef struct {
    LrRoutes *routes;
    /* The store has routes of a lower version. */
    bool is_held;
    /* Instances by the name of their value in the store. */
    GHashTable *instances;
    /* What their services accept while they are cold, by service. */
    GHashTable *cold_rules;
    LrStr evacuated[LR_MAX_EVACUATED_ZONES];
    size_t n_evacuated;
} Routing;

typedef struct {
    LrArena *arena;
    LrCatalogueSpec spec;
    const LrValueSet *store;
    const Routing *previous;
    Routing *result;
    /* Lists of usable instances, by service. */
    GHashTable *by_service;
    GHashTable *services;
} Builder;

static void
unref_parsed(gpointer data)
{
    ParsedRoute *parsed = data;
    if (--parsed->refs > 0) {
        return;
    }
    json_decref(parsed->json);
    LrArena_Free(parsed->arena);
    g_free(parsed);
}

static void
unref_routes(LrRoutes *routes)
{
    if (!routes || --routes->refs > 0) {
        return;
    }
    g_hash_table_unref(routes->by_host_and_prefix);
    g_hash_table_unref(routes->by_text);
    g_ptr_array_unref(routes->parsed);
    json_decref(routes->json);
    LrArena_Free(routes->arena);
    g_free(routes->text);
    g_free(routes);
}

static void
unref_instance(gpointer data)
{
    Instance *instance = data;
    if (--instance->refs > 0) {
        return;
    }
    LrArena_Free(instance->arena);
    g_free(instance->text);
    g_free(instance);
}

static void
free_routing(gpointer data)
{
    Routing *routing = data;
    unref_routes(routing->routes);
    g_hash_table_unref(routing->instances);
    g_hash_table_unref(routing->cold_rules);
    for (size_t i = 0; i < routing->n_evacuated; i++) {
        g_free((char *)routing->evacuated[i].ptr);
    }
    g_free(routing);
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
host_prefix_key(LrArena *arena, LrStr host, LrStr prefix)
{
    g_autofree char *lower = g_ascii_strdown(host.ptr, (gssize)host.len);
    return format(arena, "%s %.*s", lower, (int)prefix.len, prefix.ptr);
}

static void
index_by_service(Builder *builder, const Instance *instance)
{
    const LrStr *service = &instance->spec.service;
    GPtrArray *instances = g_hash_table_lookup(builder->by_service, service);
    if (!instances) {
        instances = g_ptr_array_new();
        g_hash_table_insert(builder->by_service, (LrStr *)service, instances);
    }
    g_ptr_array_add(instances, (Instance *)instance);
}

static Instance *
parse_instance(const char *name, LrStr text)
{
    Instance *instance = g_new0(Instance, 1);
    instance->text = LrStr_Dup(text);
    instance->arena = LrArena_New();
    LrFaults *faults = LrFaults_New();
    json_t *json = LrRecord_ParseJson(text, faults);
    LrInstanceSpec spec;
    /* Faults of the value were reported when it was read from the store. */
    if (json && LrRecord_ReadJson(&LrInstanceSpec_Descriptor, json, &spec,
                                  instance->arena, name, faults)) {
        instance->spec = spec;
        instance->spec.id = LrArena_Copy(instance->arena, spec.id);
        instance->spec.service = LrArena_Copy(instance->arena, spec.service);
        instance->spec.address = LrArena_Copy(instance->arena, spec.address);
        instance->spec.zone = LrArena_Copy(instance->arena, spec.zone);
        instance->usable = !spec.leaving;
        /* The name includes the start time: a target that restarts under the
         * same identity must not inherit the state of its previous run. */
        instance->target_name =
            format(instance->arena, "%.*s@%" G_GINT64_FORMAT, (int)spec.id.len,
                   spec.id.ptr, spec.born_ms);
    }
    json_decref(json);
    LrFaults_Free(faults);
    return instance;
}

static void
add_instance(void *data, const char *name, LrStr text)
{
    Builder *builder = data;
    if (!g_str_has_prefix(name, LR_INSTANCE_PREFIX)) {
        return;
    }
    Instance *instance =
        builder->previous
            ? g_hash_table_lookup(builder->previous->instances, name)
            : NULL;
    if (!instance || !LrStr_EqualC(text, instance->text)) {
        instance = parse_instance(name, text);
    }
    instance->refs++;
    instance->revision =
        LrRevision_OfService(LrValueSet_RevisionOf(builder->store, name));
    g_hash_table_insert(builder->result->instances, g_strdup(name), instance);
    if (instance->usable) {
        index_by_service(builder, instance);
    }
}

static void
copy_evacuated(Routing *routing, const LrValueSet *store)
{
    LrStr zones[LR_MAX_EVACUATED_ZONES];
    routing->n_evacuated = LrValueSet_EvacuatedZones(store, zones);
    for (size_t i = 0; i < routing->n_evacuated; i++) {
        routing->evacuated[i] =
            (LrStr){.ptr = LrStr_Dup(zones[i]), .len = zones[i].len};
    }
}

/* Rules of a text that this build or a later one has written; what is not
 * understood limits nothing. */
static GHashTable *
parse_cold_rules(LrStr text)
{
    GHashTable *rules =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    json_t *json = json_loadb(text.ptr, text.len, 0, NULL);
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(json, "cold"), i, row)
    {
        const char *service =
            json_string_value(json_object_get(row, "service"));
        ColdRule rule = {
            .start_ms = json_integer_value(json_object_get(row, "start_ms")),
            .per_second = json_number_value(json_object_get(row, "per_s")),
        };
        if (service) {
            g_hash_table_replace(rules, g_strdup(service),
                                 g_memdup2(&rule, sizeof(rule)));
        }
    }
    json_decref(json);
    return rules;
}

static void
fill_group(Builder *builder, LrGroupSpec *group, LrStr service)
{
    g_autofree char *name = LrStr_Dup(service);
    const ColdRule *rule =
        g_hash_table_lookup(builder->result->cold_rules, name);
    GPtrArray *instances = g_hash_table_lookup(builder->by_service, &service);
    group->name = service;
    group->n_replicas = instances ? instances->len : 0;
    group->replicas = LrArena_Alloc(builder->arena, (group->n_replicas + 1) *
                                                        sizeof(LrTargetSpec));
    for (size_t i = 0; i < group->n_replicas; i++) {
        const Instance *instance = instances->pdata[i];
        group->replicas[i] = (LrTargetSpec){
            .name = instance->target_name,
            .address = instance->spec.address,
            .zone = instance->spec.zone,
            .instance = instance->spec.id,
            .cold_ms = instance->spec.cold_ms,
            .cold_revision = instance->revision,
            .cold_start_ms = rule ? rule->start_ms : 0,
            .cold_per_s = rule ? rule->per_second : 0,
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

/* Backends with the same shards and the same objective share a service, and
 * with it their latency statistics. */
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
    LrShardMapSpec *map = LrArena_Alloc(builder->arena, sizeof(*map));
    map->version = 1;
    map->n_groups = backend->n_shards;
    map->groups =
        LrArena_Alloc(builder->arena, backend->n_shards * sizeof(LrGroupSpec));
    for (size_t i = 0; i < backend->n_shards; i++) {
        fill_group(builder, &map->groups[i], backend->shards[i].service);
    }
    service->name = name;
    service->connections =
        connections_of(builder->result->routes, backend->shards[0].service);
    service->maps = map;
    service->n_maps = 1;
    g_hash_table_add(builder->services, &service->name);
    return name;
}

static void
add_entry(Builder *builder, const LrRoute *route, size_t index)
{
    const LrRouteSpec *spec = route->spec;
    const LrBackendSpec *backend = &spec->backends[index];
    LrEntrySpec *entry = &builder->spec.entries[builder->spec.n_entries++];
    LrRecord_Init(&LrEntrySpec_Descriptor, entry);
    entry->name = route->backends[index].entry;
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
    entry->rank = spec->rank;
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

static ParsedRoute *
parse_route(LrStr text, const char *path, LrFaults *faults)
{
    ParsedRoute *parsed = g_new0(ParsedRoute, 1);
    parsed->refs = 1;
    parsed->arena = LrArena_New();
    parsed->text = LrArena_Copy(parsed->arena, text);
    parsed->json = LrRecord_ParseJson(text, faults);
    LrRouteSpec *spec = &parsed->spec;
    bool valid = parsed->json &&
                 LrRecord_ReadJson(&LrRouteSpec_Descriptor, parsed->json, spec,
                                   parsed->arena, path, faults) &&
                 check_route(spec, path, faults);
    if (!valid) {
        unref_parsed(parsed);
        return NULL;
    }
    parsed->key = host_prefix_key(parsed->arena, spec->host, spec->prefix);
    parsed->entries =
        LrArena_Alloc(parsed->arena, spec->n_backends * sizeof(LrStr));
    for (size_t i = 0; i < spec->n_backends; i++) {
        parsed->entries[i] = format(parsed->arena, "%.*s#%zu",
                                    (int)spec->name.len, spec->name.ptr, i);
    }
    return parsed;
}

/* The routes of a configuration while they are parsed. */
typedef struct {
    LrRoutes *routes;
    const LrRoutes *previous;
    LrFaults *faults;
    /* Routes so far, valid or not. */
    unsigned n_routes;
    bool valid;
} RouteParser;

static bool
add_parsed(void *data, LrStr name, LrStr text)
{
    (void)name;
    RouteParser *parser = data;
    LrRoutes *routes = parser->routes;
    ParsedRoute *parsed =
        parser->previous
            ? g_hash_table_lookup(parser->previous->by_text, &text)
            : NULL;
    if (parsed) {
        parsed->refs++;
    }
    else {
        g_autofree char *path =
            g_strdup_printf("$.routes[%u]", parser->n_routes);
        parsed = parse_route(text, path, parser->faults);
    }
    parser->n_routes++;
    if (!parsed) {
        /* Goes on, since every fault is reported. */
        parser->valid = false;
        return true;
    }
    g_ptr_array_add(routes->parsed, parsed);
    g_hash_table_insert(routes->by_text, &parsed->text, parsed);
    return true;
}

static void
index_route(LrRoutes *routes, size_t index)
{
    ParsedRoute *parsed = routes->parsed->pdata[index];
    LrRouteSpec *spec = &routes->spec.routes[index];
    LrRoute *route = &routes->items[index];
    *spec = parsed->spec;
    route->spec = spec;
    route->n_backends = spec->n_backends;
    route->backends = LrArena_Alloc(routes->arena,
                                    spec->n_backends * sizeof(LrRouteBackend));
    for (size_t i = 0; i < spec->n_backends; i++) {
        route->backends[i] = (LrRouteBackend){
            .entry = parsed->entries[i],
            .weight = spec->backends[i].weight,
        };
    }
    g_hash_table_replace(routes->by_host_and_prefix, &parsed->key, route);
}

static void
index_routes(LrRoutes *routes)
{
    LrRoutingSpec *spec = &routes->spec;
    spec->n_routes = routes->parsed->len;
    spec->routes =
        LrArena_Alloc(routes->arena, spec->n_routes * sizeof(LrRouteSpec));
    routes->items =
        LrArena_Alloc(routes->arena, spec->n_routes * sizeof(LrRoute));
    for (size_t i = 0; i < spec->n_routes; i++) {
        index_route(routes, i);
    }
}

/* Parses what the routes are taken out of, and those routes that the previous
 * configuration does not have. */
static bool
parse_split(LrRoutes *routes, const LrJsonSplit *split,
            const LrRoutes *previous, LrFaults *faults)
{
    LrStr rest = {.ptr = split->rest, .len = split->rest_len};
    RouteParser parser = {.routes = routes,
                          .previous = previous,
                          .faults = faults,
                          .valid = true};
    routes->json = LrRecord_ParseJson(rest, faults);
    bool valid = routes->json &&
                 LrRecord_ReadJson(&LrRoutingSpec_Descriptor, routes->json,
                                   &routes->spec, routes->arena, "$", faults);
    if (!LrJsonScan_Array(split->array, add_parsed, &parser)) {
        LrFaults_Add(faults, "$.routes", "separate the routes by commas",
                     "is not a list");
        return false;
    }
    return valid && parser.valid;
}

/* Splits what can't be scanned as it is, for instance because of escapes in a
 * name: written anew, a valid configuration can be. The split borrows from
 * *normal, to be freed with free. */
static bool
split_unusual(LrStr text, LrJsonSplit *split, char **normal, LrFaults *faults)
{
    json_t *json = LrRecord_ParseJson(text, faults);
    if (!json) {
        return false;
    }
    *normal = json_dumps(json, JSON_COMPACT);
    bool found =
        LrJsonScan_SplitArray(LrStr_FromC(*normal), ROUTES_MEMBER, split);
    if (!found) {
        /* Reports what is wrong with the routes, and all else. */
        LrRoutingSpec spec;
        LrArena *arena = LrArena_New();
        LrRecord_ReadJson(&LrRoutingSpec_Descriptor, json, &spec, arena, "$",
                          faults);
        LrArena_Free(arena);
    }
    json_decref(json);
    return found;
}

static LrRoutes *
parse_routes(LrStr text, const LrRoutes *previous, LrFaults *faults)
{
    LrJsonSplit split;
    char *normal = NULL;
    if (!LrJsonScan_SplitArray(text, ROUTES_MEMBER, &split) &&
        !split_unusual(text, &split, &normal, faults)) {
        free(normal);
        return NULL;
    }
    LrRoutes *routes = g_new0(LrRoutes, 1);
    routes->refs = 1;
    routes->text = LrStr_Dup(text);
    routes->arena = LrArena_New();
    routes->parsed = g_ptr_array_new_with_free_func(unref_parsed);
    routes->by_text = g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
    routes->by_host_and_prefix =
        g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
    bool valid = parse_split(routes, &split, previous, faults);
    g_free(split.rest);
    free(normal);
    if (!valid) {
        unref_routes(routes);
        return NULL;
    }
    index_routes(routes);
    return routes;
}

static LrRoutes *
reuse_routes(const Routing *previous)
{
    previous->routes->refs++;
    return previous->routes;
}

/* Reuses the previous routes if the configuration has not changed: nothing is
 * parsed again, and the weighted round robin goes on where it was. They are
 * also kept if the configuration has a lower version, as that of a store which
 * was restored from a copy. */
static LrRoutes *
reuse_or_parse_routes(const Routing *previous, LrStr text, LrFaults *faults)
{
    if (previous && LrStr_EqualC(text, previous->routes->text)) {
        return reuse_routes(previous);
    }
    LrRoutes *routes =
        parse_routes(text, previous ? previous->routes : NULL, faults);
    if (routes && previous &&
        routes->spec.version < previous->routes->spec.version) {
        unref_routes(routes);
        return reuse_routes(previous);
    }
    return routes;
}

static void
build_services(Builder *builder)
{
    const LrRoutes *routes = builder->result->routes;
    size_t n_backends = 0;
    for (size_t i = 0; i < routes->spec.n_routes; i++) {
        n_backends += routes->spec.routes[i].n_backends;
    }
    builder->spec.services =
        LrArena_Alloc(builder->arena, n_backends * sizeof(LrServiceSpec));
    builder->spec.entries =
        LrArena_Alloc(builder->arena, n_backends * sizeof(LrEntrySpec));
    for (size_t i = 0; i < routes->spec.n_routes; i++) {
        const LrRoute *route = &routes->items[i];
        for (size_t j = 0; j < route->n_backends; j++) {
            add_entry(builder, route, j);
        }
    }
}

static void
free_list(gpointer list)
{
    g_ptr_array_unref(list);
}

LrCatalogue *
LrRouting_Build(const LrValueSet *store, const LrCatalogue *previous,
                LrFaults *faults)
{
    LrStr text = LrValueSet_Get(store, LR_ROUTING_VALUE);
    if (text.len == 0) {
        return NULL;
    }
    const Routing *previous_routing = previous ? previous->attached : NULL;
    LrRoutes *routes = reuse_or_parse_routes(previous_routing, text, faults);
    if (!routes) {
        return NULL;
    }
    Builder builder = {
        .arena = LrArena_New(),
        .store = store,
        .previous = previous_routing,
        .result = g_new0(Routing, 1),
        .by_service = g_hash_table_new_full(LrStr_TableHash, LrStr_TableEqual,
                                            NULL, free_list),
        .services = g_hash_table_new(LrStr_TableHash, LrStr_TableEqual),
    };
    builder.result->routes = routes;
    builder.result->instances =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_instance);
    builder.result->is_held = !LrStr_EqualC(text, routes->text);
    builder.spec.revision = LrValueSet_Revision(store);
    LrValueSet_Each(store, add_instance, &builder);
    copy_evacuated(builder.result, store);
    builder.result->cold_rules =
        parse_cold_rules(LrValueSet_GetExtra(store, LR_ROUTING_VALUE));
    build_services(&builder);
    g_hash_table_unref(builder.by_service);
    g_hash_table_unref(builder.services);
    LrCatalogue *catalogue =
        LrCatalogue_FromSpec(&builder.spec, builder.arena);
    LrCatalogue_Attach(catalogue, builder.result, free_routing);
    return catalogue;
}

LrRoutes *
LrRouting_Routes(const LrCatalogue *catalogue)
{
    const Routing *routing = catalogue->attached;
    return routing ? routing->routes : NULL;
}

bool
LrRouting_OffersTarget(const LrCatalogue *catalogue, const LrTarget *target)
{
    const Routing *routing = catalogue->attached;
    if (!routing) {
        return true;
    }
    g_autofree char *name =
        g_strdup_printf("%s%.*s", LR_INSTANCE_PREFIX,
                        (int)target->instance.len, target->instance.ptr);
    const Instance *instance = g_hash_table_lookup(routing->instances, name);
    return instance && instance->usable &&
           LrStr_Equal(instance->target_name, target->key);
}

bool
LrRouting_IsHeld(const LrCatalogue *catalogue)
{
    const Routing *routing = catalogue->attached;
    return routing && routing->is_held;
}

const LrStr *
LrRouting_EvacuatedZones(const LrCatalogue *catalogue, size_t *n_zones)
{
    const Routing *routing = catalogue->attached;
    *n_zones = routing ? routing->n_evacuated : 0;
    return routing ? routing->evacuated : NULL;
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
LrRoutes_Match(const LrRoutes *routes, LrStr host, LrStr path)
{
    LrStr name = without_port(host);
    GString *key = g_string_sized_new(name.len + path.len + 1);
    for (size_t i = 0; i < name.len; i++) {
        g_string_append_c(key, g_ascii_tolower(name.ptr[i]));
    }
    g_string_append_c(key, ' ');
    g_string_append_len(key, path.ptr, (gssize)path.len);
    LrRoute *route = NULL;
    for (size_t len = key->len; !route && len > name.len + 1; len--) {
        LrStr prefix = {.ptr = key->str, .len = len};
        if (key->str[len - 1] == '/') {
            route = g_hash_table_lookup(routes->by_host_and_prefix, &prefix);
        }
    }
    g_string_free(key, TRUE);
    return route;
}

LrRoute *
LrRoutes_FindByName(const LrRoutes *routes, LrStr name)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, routes->by_host_and_prefix);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LrRoute *route = value;
        if (LrStr_Equal(route->spec->name, name)) {
            return route;
        }
    }
    return NULL;
}

uint64_t
LrRoutes_Digest(const LrRoutes *routes, LrRoute *route)
{
    if (route->digest == 0) {
        const ParsedRoute *parsed =
            routes->parsed->pdata[route - routes->items];
        char *text = json_dumps(parsed->json, JSON_SORT_KEYS | JSON_COMPACT);
        route->digest = MAX(1, LrStr_Hash(LrStr_FromC(text), 0));
        free(text);
    }
    return route->digest;
}

LrStr
LrRoute_FindEntry(const LrRoute *route, LrStr entry)
{
    for (size_t i = 0; i < route->n_backends; i++) {
        if (LrStr_Equal(route->backends[i].entry, entry)) {
            return route->backends[i].entry;
        }
    }
    return LrStr_FromC("");
}

LrStr
LrRoute_NextEntry(LrRoute *route)
{
    double total = 0;
    LrRouteBackend *best = &route->backends[0];
    for (size_t i = 0; i < route->n_backends; i++) {
        LrRouteBackend *backend = &route->backends[i];
        backend->current_weight += backend->weight;
        total += backend->weight;
        if (backend->current_weight > best->current_weight) {
            best = backend;
        }
    }
    best->current_weight -= total;
    return best->entry;
}
