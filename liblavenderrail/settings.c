/* Settings of a daemon. In order of precedence: command-line options,
 * environment variables, the settings file, defaults. */
#include "lavenderrail.h"

#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <netinet/in.h>

enum { FIXED_OPTIONS = 4, OPTION_MAX_ERRORS = 20 };

typedef struct {
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_lit *check;
    struct arg_str *file;
    struct arg_str **values;
    /* Values of the settings file by option name. */
    GHashTable *lines;
    void **table;
    char **names;
    size_t n_values;
} Options;

static char *
dash_name(LrArena *arena, const char *name)
{
    LrStr copy = LrArena_Copy(arena, LrStr_FromC(name));
    char *dashed = (char *)copy.ptr;
    g_strdelimit(dashed, "_", '-');
    return dashed;
}

static void
build_options(Options *options, const LrObjectSpec *spec, LrArena *arena)
{
    size_t n = spec->n_fields;
    options->n_values = n;
    options->values = LrArena_Alloc(arena, n * sizeof(struct arg_str *));
    options->names = LrArena_Alloc(arena, n * sizeof(char *));
    options->table =
        LrArena_Alloc(arena, (n + FIXED_OPTIONS + 1) * sizeof(void *));
    options->help = arg_lit0("h", "help", "show this help and exit");
    options->version = arg_lit0(NULL, "version", "show the version and exit");
    options->check =
        arg_lit0(NULL, "check-settings", "check the settings and exit");
    options->file = arg_str0(NULL, "settings", "FILE",
                             "settings file of OPTION=VALUE lines, with the"
                             " option names below");
    options->lines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    options->table[0] = options->help;
    options->table[1] = options->version;
    options->table[2] = options->check;
    options->table[3] = options->file;
    for (size_t i = 0; i < n; i++) {
        options->names[i] = dash_name(arena, spec->fields[i].name);
        options->values[i] =
            arg_str0(NULL, options->names[i], "VALUE", spec->fields[i].hint);
        options->table[FIXED_OPTIONS + i] = options->values[i];
    }
    options->table[FIXED_OPTIONS + n] = arg_end(OPTION_MAX_ERRORS);
}

static void
free_options(Options *options)
{
    g_hash_table_unref(options->lines);
    arg_freetable(options->table, options->n_values + FIXED_OPTIONS + 1);
}

static char *
variable_name(const char *name)
{
    g_autofree char *upper = g_ascii_strup(name, -1);
    return g_strconcat("LAVENDERRAIL_", upper, NULL);
}

static void
load_field(LrSettings *settings, LrArena *arena, const LrFieldSpec *field,
           const Options *options, size_t index, LrFaults *faults)
{
    const struct arg_str *flag = options->values[index];
    const char *flag_name = options->names[index];
    g_autofree char *variable = variable_name(field->name);
    g_autofree char *option = g_strconcat("--", flag_name, NULL);
    const char *text = getenv(variable);
    const char *path = variable;
    if (!text) {
        text = g_hash_table_lookup(options->lines, flag_name);
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
    arg_print_glossary(stdout, options->table, "  %-28s %s\n");
}

static bool
is_option(const Options *options, const char *name)
{
    for (size_t i = 0; i < options->n_values; i++) {
        if (!strcmp(options->names[i], name)) {
            return true;
        }
    }
    return false;
}

static void
load_line(const Options *options, const char *file, size_t number, char *line,
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
    if (!is_option(options, line)) {
        LrFaults_Add(faults, path, "--help lists the settings",
                     "is not a setting: '%s'", line);
        return;
    }
    /* A template expands to an empty value where the deployment has none; the
     * default applies then. */
    if (equals[1] != '\0') {
        g_hash_table_replace(options->lines, g_strdup(line),
                             g_strdup(equals + 1));
    }
}

static void
load_file(const Options *options, const char *file, LrFaults *faults)
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
        load_line(options, file, i + 1, lines[i], faults);
    }
    g_strfreev(lines);
}

static bool
load_all(LrSettings *settings, LrArena *arena, const Options *options,
         const char *file)
{
    const LrObjectSpec *spec = &LrSettings_Spec;
    LrFaults *faults = LrFaults_New();
    if (file) {
        load_file(options, file, faults);
    }
    for (size_t i = 0; i < spec->n_fields; i++) {
        load_field(settings, arena, &spec->fields[i], options, i, faults);
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

bool
LrSettings_Load(LrSettings *settings, LrArena *arena,
                const LrSettingsSource *source, int *exit_status)
{
    int argc = source->argc;
    char **argv = source->argv;
    Options options = {0};
    LrRecord_Init(&LrSettings_Spec, settings);
    build_options(&options, &LrSettings_Spec, arena);
    int n_errors = arg_parse(argc, argv, options.table);
    bool run = false;
    *exit_status = 0;
    if (options.help->count > 0) {
        print_help(&options, argv[0]);
    }
    else if (options.version->count > 0) {
        printf("%s %s\n", argv[0], LAVENDERRAIL_VERSION);
    }
    else if (n_errors > 0) {
        struct arg_end *end = options.table[FIXED_OPTIONS + options.n_values];
        arg_print_errors(stderr, end, argv[0]);
        *exit_status = 2;
    }
    else if (!load_all(settings, arena, &options,
                       options.file->count > 0 ? options.file->sval[0]
                                               : source->file)) {
        *exit_status = 2;
    }
    else if (options.check->count > 0) {
        printf("settings are valid\n");
    }
    else {
        run = true;
    }
    free_options(&options);
    return run;
}
