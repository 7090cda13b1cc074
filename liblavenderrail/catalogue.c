/* Catalogues: parsing, validation, lookup and diff. Validation depends only on
 * the bytes of the text, so all daemons accept or refuse the same catalogues.
 */
#include "lavenderrail.h"

#include <netinet/in.h>
#include <string.h>

#include <jansson.h>

static bool
is_valid_name(LrStr name)
{
    if (name.len == 0 || name.len > 64) {
        return false;
    }
    for (size_t i = 0; i < name.len; i++) {
        char c = name.ptr[i];
        if (!g_ascii_isalnum(c) && !strchr("-_.", c)) {
            return false;
        }
    }
    return true;
}

/* Reports an invalid name, or one that is in the set seen already. */
static void
check_name(GHashTable *seen, LrStr *name, const char *path, LrFaults *faults)
{
    if (!is_valid_name(*name)) {
        LrFaults_Add(faults, path,
                     "use 1 to 64 letters, digits, '-', '_', '.'",
                     "is not a valid name");
    }
    if (!g_hash_table_add(seen, name)) {
        LrFaults_Add(faults, path, "make names unique",
                     "duplicates the name '%.*s'", (int)MIN(name->len, 64),
                     name->ptr);
    }
}

static GHashTable *
new_name_set(void)
{
    return g_hash_table_new(LrStr_TableHash, LrStr_TableEqual);
}

static void
check_replicas(LrGroupSpec *group, const char *path, LrFaults *faults)
{
    GHashTable *addresses = new_name_set();
    if (group->n_replicas == 0 || group->n_replicas > 64) {
        LrFaults_Add(faults, path, "list 1 to 64 replicas", "has %zu replicas",
                     group->n_replicas);
    }
    for (size_t i = 0; i < group->n_replicas; i++) {
        LrTargetSpec *target = &group->replicas[i];
        g_autofree char *address_path =
            g_strdup_printf("%s.replicas[%zu].address", path, i);
        char host[INET6_ADDRSTRLEN];
        uint16_t port;
        if (!LrStr_ToAddress(target->address, host, sizeof(host), &port)) {
            LrFaults_Add(faults, address_path, "write IP:port",
                         "is not an address");
        }
        if (!g_hash_table_add(addresses, &target->address)) {
            LrFaults_Add(faults, address_path,
                         "list each replica of a group once",
                         "duplicates an address");
        }
    }
    g_hash_table_unref(addresses);
}

static void
check_map(LrShardMapSpec *map, const char *path, LrFaults *faults)
{
    GHashTable *names = new_name_set();
    if (map->n_groups == 0) {
        LrFaults_Add(faults, path, "list at least one group", "has no groups");
    }
    for (size_t i = 0; i < map->n_groups; i++) {
        g_autofree char *group_path =
            g_strdup_printf("%s.groups[%zu]", path, i);
        check_name(names, &map->groups[i].name, group_path, faults);
        check_replicas(&map->groups[i], group_path, faults);
    }
    g_hash_table_unref(names);
}

static void
check_service(LrServiceSpec *service, const char *path, LrFaults *faults)
{
    if (service->n_maps == 0) {
        LrFaults_Add(faults, path, "list at least one map", "has no maps");
    }
    for (size_t i = 0; i < service->n_maps; i++) {
        g_autofree char *map_path = g_strdup_printf("%s.maps[%zu]", path, i);
        check_map(&service->maps[i], map_path, faults);
        for (size_t j = 0; j < i; j++) {
            if (service->maps[j].version == service->maps[i].version) {
                LrFaults_Add(faults, map_path, "list one map for each version",
                             "duplicates version %" G_GINT64_FORMAT,
                             service->maps[i].version);
            }
        }
    }
}

static void
check_entry(const LrCatalogue *catalogue, LrEntrySpec *entry, const char *path,
            LrFaults *faults)
{
    if (!LrCatalogue_LookupService(catalogue, entry->service)) {
        LrFaults_Add(faults, path, "name a service of this catalogue",
                     "refers to the unknown service '%.*s'",
                     (int)MIN(entry->service.len, 64), entry->service.ptr);
    }
    if (entry->owner.len == 0) {
        LrFaults_Add(faults, path, "name a person or team",
                     "has an empty owner");
    }
    if (entry->soft_deadline_ms > entry->deadline_ms) {
        LrFaults_Add(faults, path, "write soft_deadline_ms <= deadline_ms",
                     "has a soft deadline after its hard deadline");
    }
    if (entry->soft_deadline_ms == 0) {
        entry->soft_deadline_ms = entry->deadline_ms;
    }
}

static void
check_catalogue(LrCatalogue *catalogue, LrFaults *faults)
{
    LrCatalogueSpec *spec = &catalogue->spec;
    GHashTable *services = new_name_set();
    GHashTable *entries = new_name_set();
    for (size_t i = 0; i < spec->n_services; i++) {
        g_autofree char *item_path = g_strdup_printf("$.services[%zu]", i);
        check_name(services, &spec->services[i].name, item_path, faults);
        check_service(&spec->services[i], item_path, faults);
    }
    for (size_t i = 0; i < spec->n_entries; i++) {
        g_autofree char *item_path = g_strdup_printf("$.entries[%zu]", i);
        check_name(entries, &spec->entries[i].name, item_path, faults);
        check_entry(catalogue, &spec->entries[i], item_path, faults);
    }
    g_hash_table_unref(services);
    g_hash_table_unref(entries);
}

LrCatalogue *
LrCatalogue_Parse(LrStr text, LrFaults *faults)
{
    json_t *json = LrRecord_ParseJson(text, faults);
    if (!json) {
        return NULL;
    }
    LrCatalogue *catalogue = g_new0(LrCatalogue, 1);
    catalogue->refs = 1;
    catalogue->json = json;
    catalogue->arena = LrArena_New();
    catalogue->text = LrStr_Dup(text);
    catalogue->text_len = text.len;
    if (LrRecord_ReadJson(&LrCatalogueSpec_Descriptor, json, &catalogue->spec,
                          catalogue->arena, "$", faults)) {
        check_catalogue(catalogue, faults);
    }
    if (LrFaults_Count(faults) > 0) {
        LrCatalogue_Unref(catalogue);
        return NULL;
    }
    return catalogue;
}

LrCatalogue *
LrCatalogue_FromSpec(const LrCatalogueSpec *spec, LrArena *arena)
{
    LrCatalogue *catalogue = g_new0(LrCatalogue, 1);
    catalogue->refs = 1;
    catalogue->spec = *spec;
    catalogue->arena = arena;
    return catalogue;
}

void
LrCatalogue_Attach(LrCatalogue *catalogue, void *data,
                   GDestroyNotify free_data)
{
    catalogue->attached = data;
    catalogue->free_attached = free_data;
}

LrCatalogue *
LrCatalogue_Ref(LrCatalogue *catalogue)
{
    catalogue->refs++;
    return catalogue;
}

void
LrCatalogue_Unref(LrCatalogue *catalogue)
{
    if (!catalogue || --catalogue->refs > 0) {
        return;
    }
    if (catalogue->free_attached) {
        catalogue->free_attached(catalogue->attached);
    }
    LrArena_Free(catalogue->arena);
    json_decref(catalogue->json);
    g_free(catalogue->text);
    g_free(catalogue);
}

const LrServiceSpec *
LrCatalogue_LookupService(const LrCatalogue *catalogue, LrStr name)
{
    for (size_t i = 0; i < catalogue->spec.n_services; i++) {
        if (LrStr_Equal(catalogue->spec.services[i].name, name)) {
            return &catalogue->spec.services[i];
        }
    }
    return NULL;
}

/* Identifies an item of a list: its name, else its version, else its index. */
static const char *
item_key(const json_t *item, size_t index, char *buffer, size_t size)
{
    const char *name = json_string_value(json_object_get(item, "name"));
    if (name) {
        return name;
    }
    json_t *version = json_object_get(item, "version");
    if (version) {
        g_snprintf(buffer, (gulong)size, "%" JSON_INTEGER_FORMAT,
                   json_integer_value(version));
    }
    else {
        g_snprintf(buffer, (gulong)size, "%zu", index);
    }
    return buffer;
}

static json_t *
find_item_by_key(const json_t *list, const char *key)
{
    char buffer[32];
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        if (!strcmp(item_key(item, i, buffer, sizeof(buffer)), key)) {
            return item;
        }
    }
    return NULL;
}

static void diff_values(GString *out, const char *path, const json_t *from,
                        const json_t *to);

static void
diff_lists(GString *out, const char *path, const json_t *from,
           const json_t *to)
{
    char buffer[32];
    size_t i;
    json_t *item;
    json_array_foreach(from, i, item)
    {
        const char *key = item_key(item, i, buffer, sizeof(buffer));
        g_autofree char *item_path = g_strdup_printf("%s[%s]", path, key);
        json_t *counterpart = find_item_by_key(to, key);
        if (counterpart) {
            diff_values(out, item_path, item, counterpart);
        }
        else {
            g_string_append_printf(out, "- %s\n", item_path);
        }
    }
    json_array_foreach(to, i, item)
    {
        const char *key = item_key(item, i, buffer, sizeof(buffer));
        if (!find_item_by_key(from, key)) {
            g_string_append_printf(out, "+ %s[%s]\n", path, key);
        }
    }
}

static void
diff_objects(GString *out, const char *path, const json_t *from,
             const json_t *to)
{
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)from, name, value)
    {
        g_autofree char *member_path = g_strdup_printf("%s.%s", path, name);
        diff_values(out, member_path, value, json_object_get(to, name));
    }
    json_object_foreach((json_t *)to, name, value)
    {
        if (!json_object_get(from, name)) {
            g_autofree char *member_path =
                g_strdup_printf("%s.%s", path, name);
            diff_values(out, member_path, NULL, value);
        }
    }
}

static char *
value_text(const json_t *value)
{
    if (!value) {
        return g_strdup("(default)");
    }
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

static void
diff_values(GString *out, const char *path, const json_t *from,
            const json_t *to)
{
    if (from && to && json_equal(from, to)) {
        return;
    }
    if (json_is_array(from) && json_is_array(to)) {
        diff_lists(out, path, from, to);
        return;
    }
    if (json_is_object(from) && json_is_object(to)) {
        diff_objects(out, path, from, to);
        return;
    }
    g_autofree char *before = value_text(from);
    g_autofree char *after = value_text(to);
    g_string_append_printf(out, "~ %s: %s -> %s\n", path, before, after);
}

char *
LrCatalogue_DiffJson(const json_t *from, const json_t *to)
{
    GString *out = g_string_new(NULL);
    diff_values(out, "$", from, to);
    return g_string_free(out, FALSE);
}

char *
LrCatalogue_Diff(const LrCatalogue *from, const LrCatalogue *to)
{
    return LrCatalogue_DiffJson(from->json, to->json);
}
