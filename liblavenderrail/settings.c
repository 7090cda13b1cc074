/* Settings of a daemon. In order of precedence: command-line options,
 * environment variables, the settings file, defaults. */
#include "lavenderrail.h"
#include "socket.h"

#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <netinet/in.h>

enum {
    N_FIXED_OPTIONS = 4,
    MAX_OPTION_ERRORS = 20,
    DEFAULT_VALUE_BYTES = 1 << 20,
    /* Larger values are not read: a daemon with 160 MB of memory holds a value
     * and several of its encodings at once. */
    LARGEST_VALUE_BYTES = 8 << 20,
};

typedef struct {
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_lit *check_only;
    struct arg_str *settings_file;
    struct arg_str **flags;
    /* Values of the settings file by option name. */
    GHashTable *file_values;
    void **arg_table;
    char **flag_names;
    size_t n_flags;
} Options;

static char *
option_name(LrArena *arena, const char *name)
{
    LrStr copy = LrArena_Copy(arena, LrStr_FromC(name));
    char *dashed = (char *)copy.ptr;
    g_strdelimit(dashed, "_", '-');
    return dashed;
}

static void
build_options(Options *options, const LrRecordDescriptor *spec, LrArena *arena)
{
    size_t n = spec->n_fields;
    options->n_flags = n;
    options->flags = LrArena_Alloc(arena, n * sizeof(struct arg_str *));
    options->flag_names = LrArena_Alloc(arena, n * sizeof(char *));
    options->arg_table =
        LrArena_Alloc(arena, (n + N_FIXED_OPTIONS + 1) * sizeof(void *));
    options->help = arg_lit0("h", "help", "show this help and exit");
    options->version = arg_lit0(NULL, "version", "show the version and exit");
    options->check_only =
        arg_lit0(NULL, "check-settings", "check the settings and exit");
    options->settings_file =
        arg_str0(NULL, "settings", "FILE",
                 "settings file of OPTION=VALUE lines, with the"
                 " option names below");
    options->file_values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    options->arg_table[0] = options->help;
    options->arg_table[1] = options->version;
    options->arg_table[2] = options->check_only;
    options->arg_table[3] = options->settings_file;
    for (size_t i = 0; i < n; i++) {
        options->flag_names[i] = option_name(arena, spec->fields[i].name);
        options->flags[i] = arg_str0(NULL, options->flag_names[i], "VALUE",
                                     spec->fields[i].hint);
        options->arg_table[N_FIXED_OPTIONS + i] = options->flags[i];
    }
    options->arg_table[N_FIXED_OPTIONS + n] = arg_end(MAX_OPTION_ERRORS);
}

static void
free_options(Options *options)
{
    g_hash_table_unref(options->file_values);
    arg_freetable(options->arg_table, options->n_flags + N_FIXED_OPTIONS + 1);
}

static char *
environment_name(const char *name)
{
    g_autofree char *upper = g_ascii_strup(name, -1);
    return g_strconcat("LAVENDERRAIL_", upper, NULL);
}

static void
load_setting(LrSettings *settings, LrArena *arena,
             const LrFieldDescriptor *field, const Options *options,
             size_t index, LrFaults *faults)
{
    const struct arg_str *flag = options->flags[index];
    const char *flag_name = options->flag_names[index];
    g_autofree char *variable = environment_name(field->name);
    g_autofree char *option = g_strconcat("--", flag_name, NULL);
    const char *text = getenv(variable);
    const char *path = variable;
    /* A template expands to an empty value where the deployment has none; what
     * comes next in order of precedence applies then. */
    if (!text || text[0] == '\0') {
        text = g_hash_table_lookup(options->file_values, flag_name);
        path = text ? flag_name : path;
    }
    if (flag->count > 0) {
        text = flag->sval[0];
        path = option;
    }
    if (!text) {
        if (field->required) {
            LrFaults_Add(faults, option, field->hint, "is missing");
        }
        return;
    }
    LrStr copy = LrArena_Copy(arena, LrStr_FromC(text));
    LrRecord_ParseField(field, settings, copy, path, faults);
}

static void
check_address(LrStr address, const char *path, LrFaults *faults)
{
    char host[INET6_ADDRSTRLEN];
    uint16_t port;
    if (!LrStr_ToAddress(address, host, sizeof(host), &port)) {
        LrFaults_Add(faults, path, "write IP:port, such as 127.0.0.1:8080",
                     "is not an address: '%.*s'", (int)MIN(address.len, 64),
                     address.ptr);
    }
}

static void
check_url(LrStr url, const char *path, LrFaults *faults)
{
    char host[INET6_ADDRSTRLEN];
    uint16_t port;
    const char *scheme = "http://";
    LrStr rest = {.ptr = url.ptr + strlen(scheme),
                  .len = url.len - strlen(scheme)};
    if (!LrStr_HasPrefix(url, scheme) ||
        !LrStr_ToAddress(rest, host, sizeof(host), &port)) {
        LrFaults_Add(faults, path, "write http://IP:port",
                     "is not such a URL: '%.*s'", (int)MIN(url.len, 64),
                     url.ptr);
    }
}

static void
check_settings(const LrSettings *settings, LrFaults *faults)
{
    check_address(settings->listen, "--listen", faults);
    check_address(settings->operator_listen, "--operator-listen", faults);
    check_address(settings->peer_listen, "--peer-listen", faults);
    check_address(settings->peer_address, "--peer-address", faults);
    if (settings->target_source.len > 0 &&
        !LrSocket_IsIp(settings->target_source)) {
        LrFaults_Add(faults, "--target-source", "write an IPv4 address",
                     "is not one: '%.*s'",
                     (int)MIN(settings->target_source.len, 64),
                     settings->target_source.ptr);
    }
    check_url(settings->config_url, "--config-url", faults);
    if (settings->hosts_url.len > 0) {
        check_url(settings->hosts_url, "--hosts-url", faults);
    }
    if (settings->name.len == 0 || settings->zone.len == 0) {
        LrFaults_Add(faults, "--name", "give both --name and --zone",
                     "--name or --zone is empty");
    }
}

static void
print_help(const Options *options, const char *program)
{
    printf("Usage: %s [OPTION...]\n\n"
           "Each setting can also be given by the environment variable\n"
           "LAVENDERRAIL_OPTION, such as LAVENDERRAIL_PEER_LISTEN for\n"
           "--peer-listen, or in the settings file. The command line takes\n"
           "precedence over the environment, and both over the file.\n\n",
           program);
    arg_print_glossary(stdout, options->arg_table, "  %-28s %s\n");
}

static bool
is_setting(const Options *options, const char *name)
{
    for (size_t i = 0; i < options->n_flags; i++) {
        if (!strcmp(options->flag_names[i], name)) {
            return true;
        }
    }
    return false;
}

static void
parse_line(const Options *options, const char *file, size_t number, char *line,
           LrFaults *faults)
{
    g_autofree char *path = g_strdup_printf("%s:%zu", file, number);
    char *equals = strchr(g_strstrip(line), '=');
    if (line[0] == '\0' || line[0] == '#') {
        return;
    }
    if (!equals) {
        LrFaults_Add(faults, path, "write OPTION=VALUE", "has no '='");
        return;
    }
    *equals = '\0';
    if (!is_setting(options, line)) {
        LrFaults_Add(faults, path, "--help lists the settings",
                     "is not a setting: '%s'", line);
        return;
    }
    if (equals[1] != '\0') {
        g_hash_table_replace(options->file_values, g_strdup(line),
                             g_strdup(equals + 1));
    }
}

static void
parse_file(const Options *options, const char *file, LrFaults *faults)
{
    g_autofree char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(file, &text, NULL, &error)) {
        LrFaults_Add(faults, "--settings", "name a readable file",
                     "cannot be read: %s", error->message);
        g_error_free(error);
        return;
    }
    char **lines = g_strsplit(text, "\n", -1);
    for (size_t i = 0; lines[i]; i++) {
        parse_line(options, file, i + 1, lines[i], faults);
    }
    g_strfreev(lines);
}

static bool
load_settings(LrSettings *settings, LrArena *arena, const Options *options,
              const char *file)
{
    const LrRecordDescriptor *spec = &LrSettings_Descriptor;
    LrFaults *faults = LrFaults_New();
    if (file) {
        parse_file(options, file, faults);
    }
    for (size_t i = 0; i < spec->n_fields; i++) {
        load_setting(settings, arena, &spec->fields[i], options, i, faults);
    }
    if (settings->hosts_url.len == 0 && settings->seeds.len == 0) {
        LrFaults_Add(faults, "--hosts-url",
                     "give --hosts-url http://IP:port or --seeds",
                     "is missing");
    }
    if (settings->peer_address.len == 0) {
        settings->peer_address = settings->peer_listen;
    }
    if (LrFaults_Count(faults) == 0) {
        check_settings(settings, faults);
    }
    bool valid = LrFaults_Count(faults) == 0;
    if (!valid) {
        g_autofree char *text = LrFaults_ToText(faults);
        fputs(text, stderr);
    }
    LrFaults_Free(faults);
    return valid;
}

size_t
LrSettings_MaxValueBytes(const LrSettings *settings)
{
    int64_t bytes = settings->max_value_bytes > 0 ? settings->max_value_bytes
                                                  : DEFAULT_VALUE_BYTES;
    return (size_t)MIN(bytes, LARGEST_VALUE_BYTES);
}

bool
LrSettings_Load(LrSettings *settings, LrArena *arena,
                const LrSettingsSource *source, int *exit_status)
{
    int argc = source->argc;
    char **argv = source->argv;
    Options options = {0};
    LrRecord_Init(&LrSettings_Descriptor, settings);
    build_options(&options, &LrSettings_Descriptor, arena);
    int n_errors = arg_parse(argc, argv, options.arg_table);
    bool run = false;
    *exit_status = 0;
    if (options.help->count > 0) {
        print_help(&options, argv[0]);
    }
    else if (options.version->count > 0) {
        printf("%s %s\n", argv[0], LAVENDERRAIL_VERSION);
    }
    else if (n_errors > 0) {
        struct arg_end *end =
            options.arg_table[N_FIXED_OPTIONS + options.n_flags];
        arg_print_errors(stderr, end, argv[0]);
        *exit_status = 2;
    }
    else if (!load_settings(settings, arena, &options,
                            options.settings_file->count > 0
                                ? options.settings_file->sval[0]
                                : source->file)) {
        *exit_status = 2;
    }
    else if (options.check_only->count > 0) {
        printf("settings are valid\n");
    }
    else {
        run = true;
    }
    free_options(&options);
    return run;
}
