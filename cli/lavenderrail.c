/* lavenderrail: command-line client for operators and callers. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <curl/curl.h>
#include <jansson.h>

#include "config_check.h"
#include "lavenderrail.h"
#include "platform.h"
#include "table.h"
#include "trace.h"

enum {
    EXIT_ERROR = 1,
    EXIT_USAGE = 2,
    EXIT_PARTIAL = 3,
    EXIT_NOT_RUN = 4,
    EXIT_UNKNOWN = 5,
    /* Of check with --contract. */
    EXIT_FINDINGS = 1,
    EXIT_UNREADABLE = 2,
    MAX_ARGUMENTS = 4,
    OPTION_MAX_ERRORS = 20,
};

#define REQUEST_TIMEOUT_MS 60000L
/* Learned capacity that is worth a line: below this share of the slots, and
 * above this multiple of the typical latency. */
#define NOTABLE_CONCURRENCY_SHARE 0.75
#define NOTABLE_SLOWNESS 1.5

typedef struct {
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_str *daemon;
    struct arg_str *operator;
    struct arg_str *key;
    struct arg_str *route;
    struct arg_int *deadline;
    struct arg_str *contract;
    struct arg_lit *json;
    struct arg_str *command;
    struct arg_str *arguments;
    struct arg_end *end;
} Options;

typedef struct {
    const char *name;
    const char *usage;
    int n_arguments;
    /* That may follow. */
    int n_optional;
    int (*run)(const Options *options, const char *const *arguments);
} Command;

static size_t
append_body(char *data, size_t size, size_t n, void *user)
{
    g_string_append_len(user, data, (gssize)(size * n));
    return size * n;
}

static struct curl_slist *
request_headers(const Options *options)
{
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    if (options->key->count > 0) {
        g_autofree char *line =
            g_strconcat("Idempotency-Key: ", options->key->sval[0], NULL);
        headers = curl_slist_append(headers, line);
    }
    if (options->route->count > 0) {
        g_autofree char *line =
            g_strconcat("Lr-Routing-Key: ", options->route->sval[0], NULL);
        headers = curl_slist_append(headers, line);
    }
    if (options->deadline->count > 0) {
        g_autofree char *line =
            g_strdup_printf("Lr-Deadline-Ms: %d", options->deadline->ival[0]);
        headers = curl_slist_append(headers, line);
    }
    return headers;
}

/* Sends a POST with body, or a GET when body is NULL; returns NULL on
 * failure. */
static json_t *
request(const Options *options, const char *base, const char *path,
        const char *body)
{
    g_autofree char *url = g_strconcat(base, path, NULL);
    GString *text = g_string_new(NULL);
    CURL *easy = curl_easy_init();
    struct curl_slist *headers = request_headers(options);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
    if (body) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    CURLcode code = curl_easy_perform(easy);
    json_t *json = NULL;
    if (code != CURLE_OK) {
        fprintf(stderr, "lavenderrail: %s: %s\n", url,
                curl_easy_strerror(code));
    }
    else {
        json = json_loadb(text->str, text->len, 0, NULL);
        if (!json) {
            fprintf(stderr, "lavenderrail: %s: answer is not valid JSON\n",
                    url);
        }
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    g_string_free(text, TRUE);
    return json;
}

static void
print_json(const json_t *json)
{
    char *text = json_dumps(json, JSON_INDENT(1));
    puts(text);
    free(text);
}

static const char *
member_text(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text ? text : "";
}

static int
outcome_status(const json_t *answer)
{
    static const struct {
        const char *outcome;
        int status;
    } rows[] = {
        {"complete", EXIT_SUCCESS},
        {"partial", EXIT_PARTIAL},
        {"not_run", EXIT_NOT_RUN},
        {"unknown", EXIT_UNKNOWN},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        if (!strcmp(member_text(answer, "outcome"), rows[i].outcome)) {
            return rows[i].status;
        }
    }
    return EXIT_ERROR;
}

static void
print_results(const json_t *answer)
{
    static const char *const titles[] = {"SHARD", "TARGET", "ANSWER"};
    Table *table = Table_New(titles, G_N_ELEMENTS(titles));
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(answer, "results"), i, row)
    {
        char *body = json_dumps(json_object_get(row, "body"),
                                JSON_COMPACT | JSON_ENCODE_ANY);
        Table_Add(table, member_text(row, "shard"));
        Table_Add(table, member_text(row, "target"));
        Table_Add(table, body);
        free(body);
    }
    json_array_foreach(json_object_get(answer, "missing"), i, row)
    {
        Table_Add(table, member_text(row, "shard"));
        Table_Add(table, "(missing)");
        Table_Add(table, member_text(row, "reason"));
    }
    Table_Print(table);
}

static void
print_answer(const json_t *answer)
{
    json_t *coverage = json_object_get(answer, "coverage");
    const char *explanation = member_text(answer, "hint");
    if (*explanation == '\0') {
        explanation = member_text(answer, "error");
    }
    if (!coverage) {
        printf("%s: %s %s\n", member_text(answer, "outcome"),
               member_text(answer, "reason"), explanation);
        return;
    }
    printf("%s: snapshot %" JSON_INTEGER_FORMAT ", %" JSON_INTEGER_FORMAT
           " of %" JSON_INTEGER_FORMAT " shards\n",
           member_text(answer, "outcome"),
           json_integer_value(json_object_get(answer, "snapshot")),
           json_integer_value(json_object_get(coverage, "answered")),
           json_integer_value(json_object_get(coverage, "total")));
    print_results(answer);
}

static int
send_and_print(const Options *options, const char *prefix,
               const char *const *arguments)
{
    g_autofree char *path = g_strconcat(prefix, arguments[0], NULL);
    json_t *answer =
        request(options, options->daemon->sval[0], path, arguments[1]);
    if (!answer) {
        return EXIT_ERROR;
    }
    if (options->json->count > 0) {
        print_json(answer);
    }
    else {
        print_answer(answer);
    }
    int status = outcome_status(answer);
    json_decref(answer);
    return status;
}

static int
run_query(const Options *options, const char *const *arguments)
{
    return send_and_print(options, "/v1/query/", arguments);
}

static int
run_call(const Options *options, const char *const *arguments)
{
    return send_and_print(options, "/v1/call/", arguments);
}

static int
run_key(const Options *options, const char *const *arguments)
{
    (void)arguments;
    json_t *answer =
        request(options, options->daemon->sval[0], "/v1/keys", "");
    if (!answer) {
        return EXIT_ERROR;
    }
    const char *key = json_string_value(json_object_get(answer, "key"));
    puts(key ? key : member_text(answer, "hint"));
    int status = key ? EXIT_SUCCESS : outcome_status(answer);
    json_decref(answer);
    return status;
}

static LrCatalogue *
load_catalogue(const char *path)
{
    g_autofree char *text = NULL;
    gsize len;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, &len, &error)) {
        fprintf(stderr, "lavenderrail: %s\n", error->message);
        g_error_free(error);
        return NULL;
    }
    LrFaults *faults = LrFaults_New();
    LrStr whole = {.ptr = text, .len = len};
    LrCatalogue *catalogue = LrCatalogue_Parse(whole, faults);
    if (!catalogue) {
        g_autofree char *why = LrFaults_ToText(faults);
        fprintf(stderr, "%s: refused\n%s", path, why);
    }
    LrFaults_Free(faults);
    return catalogue;
}

/* One line each, for scripts: severity, path, what was found, hint. */
static void
print_findings(const char *severity, const LrFaults *findings)
{
    for (size_t i = 0; i < LrFaults_Count(findings); i++) {
        const LrFault *finding = LrFaults_Get(findings, i);
        printf("%s\t%s\t%s\t%s\n", severity, finding->path, finding->cause,
               finding->hint);
    }
}

static void
print_changes(const char *changes)
{
    g_auto(GStrv) lines = g_strsplit(changes ? changes : "", "\n", -1);
    for (size_t i = 0; lines[i]; i++) {
        if (*lines[i]) {
            printf("change\t%s\n", lines[i]);
        }
    }
}

static bool
read_file(const char *path, char **text, gsize *len)
{
    GError *error = NULL;
    if (path && !g_file_get_contents(path, text, len, &error)) {
        fprintf(stderr, "lavenderrail: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    return true;
}

static const LrDeployment *
lookup_deployment(const char *name)
{
    static const LrDeployment *const deployments[] = {
        &LrDeployment_Platform,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        if (!strcmp(deployments[i]->name, name)) {
            return deployments[i];
        }
    }
    return NULL;
}

/* Checks a configuration in the form of a deployment's store. */
static int
check_config(const char *contract, const char *path, const char *in_force)
{
    const LrDeployment *deployment = lookup_deployment(contract);
    if (!deployment) {
        fprintf(stderr, "lavenderrail: no configuration to check for '%s'\n",
                contract);
        return EXIT_UNREADABLE;
    }
    g_autofree char *text = NULL;
    g_autofree char *before = NULL;
    g_autofree char *changes = NULL;
    gsize len = 0;
    gsize before_len = 0;
    if (!read_file(path, &text, &len) ||
        !read_file(in_force, &before, &before_len)) {
        return EXIT_UNREADABLE;
    }
    LrConfigReport report = {.errors = LrFaults_New(),
                             .warnings = LrFaults_New()};
    bool readable = deployment->check_config(
        (LrStr){.ptr = text, .len = len},
        (LrStr){.ptr = before, .len = before_len}, &report, &changes);
    print_findings("error", report.errors);
    print_findings("warning", report.warnings);
    print_changes(changes);
    size_t n = LrFaults_Count(report.errors) + LrFaults_Count(report.warnings);
    LrFaults_Free(report.errors);
    LrFaults_Free(report.warnings);
    if (!readable) {
        return EXIT_UNREADABLE;
    }
    return n > 0 ? EXIT_FINDINGS : EXIT_SUCCESS;
}

static int
run_check(const Options *options, const char *const *arguments)
{
    if (options->contract->count > 0) {
        const char *in_force =
            options->arguments->count > 1 ? arguments[1] : NULL;
        return check_config(options->contract->sval[0], arguments[0],
                            in_force);
    }
    if (options->arguments->count > 1) {
        fprintf(stderr, "lavenderrail: a second file needs --contract\n");
        return EXIT_USAGE;
    }
    LrCatalogue *catalogue = load_catalogue(arguments[0]);
    if (!catalogue) {
        return EXIT_ERROR;
    }
    printf("%s: valid, revision %" G_GINT64_FORMAT
           ", %zu services, %zu entries\n",
           arguments[0], catalogue->spec.revision, catalogue->spec.n_services,
           catalogue->spec.n_entries);
    LrCatalogue_Unref(catalogue);
    return EXIT_SUCCESS;
}

static int
run_diff(const Options *options, const char *const *arguments)
{
    (void)options;
    LrCatalogue *from = load_catalogue(arguments[0]);
    LrCatalogue *to = load_catalogue(arguments[1]);
    int status = EXIT_ERROR;
    if (from && to) {
        g_autofree char *text = LrCatalogue_Diff(from, to);
        fputs(text, stdout);
        status = EXIT_SUCCESS;
    }
    LrCatalogue_Unref(from);
    LrCatalogue_Unref(to);
    return status;
}

static json_t *
read_state(const Options *options)
{
    return request(options, options->operator->sval[0], "/state", NULL);
}

static void
print_state(const json_t *state)
{
    const json_t *catalogue = json_object_get(state, "catalogue");
    printf("%s in zone %s: %s, catalogue revision %" JSON_INTEGER_FORMAT
           " in force for %" JSON_INTEGER_FORMAT " ms\n",
           member_text(state, "name"), member_text(state, "zone"),
           json_is_true(json_object_get(state, "ready")) ? "ready"
                                                         : "not ready",
           json_integer_value(json_object_get(catalogue, "revision")),
           json_integer_value(json_object_get(catalogue, "age_ms")));
    const char *refused = member_text(catalogue, "refused_why");
    if (*refused) {
        printf(
            "refused revision %" JSON_INTEGER_FORMAT ":\n%s",
            json_integer_value(json_object_get(catalogue, "refused_revision")),
            refused);
    }
    static const char *const titles[] = {"COUNTER", "VALUE"};
    Table *table = Table_New(titles, G_N_ELEMENTS(titles));
    const char *name;
    json_t *value;
    json_object_foreach(json_object_get(state, "counters"), name, value)
    {
        if (json_integer_value(value) > 0) {
            Table_Add(table, name);
            Table_AddNumber(table, json_number_value(value));
        }
    }
    Table_Print(table);
}

static int
run_state(const Options *options, const char *const *arguments)
{
    (void)arguments;
    json_t *state = read_state(options);
    if (!state) {
        return EXIT_ERROR;
    }
    if (options->json->count > 0) {
        print_json(state);
    }
    else {
        print_state(state);
    }
    json_decref(state);
    return EXIT_SUCCESS;
}

static const char *
target_state(const json_t *target)
{
    if (json_is_true(json_object_get(target, "evacuated"))) {
        return "evacuated";
    }
    if (json_is_true(json_object_get(target, "leaving"))) {
        return "leaving";
    }
    if (json_integer_value(json_object_get(target, "paused_ms")) > 0) {
        return "paused at its own request";
    }
    if (json_is_true(json_object_get(target, "ejected"))) {
        return "ejected";
    }
    return "usable";
}

static void
print_targets(const json_t *targets)
{
    static const char *const titles[] = {"TARGET", "ZONE",   "STATE",
                                         "LIMIT",  "IN USE", "SLOWNESS"};
    Table *table = Table_New(titles, G_N_ELEMENTS(titles));
    size_t i;
    json_t *target;
    json_array_foreach(targets, i, target)
    {
        Table_Add(table, member_text(target, "name"));
        Table_Add(table, member_text(target, "zone"));
        Table_Add(table, target_state(target));
        Table_AddNumber(table,
                        json_number_value(json_object_get(target, "limit")));
        Table_AddNumber(
            table, json_number_value(json_object_get(target, "in_flight")));
        Table_AddNumber(
            table, json_number_value(json_object_get(target, "slowness")));
    }
    Table_Print(table);
}

static int
run_hosts(const Options *options, const char *const *arguments)
{
    (void)arguments;
    json_t *state = read_state(options);
    if (!state) {
        return EXIT_ERROR;
    }
    const json_t *targets = json_object_get(state, "targets");
    if (options->json->count > 0) {
        print_json(targets);
    }
    else {
        print_targets(targets);
    }
    json_decref(state);
    return EXIT_SUCCESS;
}

static const json_t *
find_entry(const json_t *state, const char *name)
{
    size_t i;
    json_t *entry;
    json_array_foreach(json_object_get(state, "entries"), i, entry)
    {
        if (!strcmp(member_text(entry, "name"), name)) {
            return entry;
        }
    }
    return NULL;
}

/* Prints the rate limit that a target names, if it names one. */
static void
print_rate_limit(const json_t *target)
{
    const json_t *rate = json_object_get(target, "rate");
    const json_t *limit = json_object_get(rate, "limit_per_s");
    if (json_is_number(limit)) {
        printf("  %s accepts %g requests/s from all daemons: %.2f/s from this "
               "one, which sent %.2f/s%s\n",
               member_text(target, "name"), json_number_value(limit),
               json_number_value(json_object_get(rate, "share_per_s")),
               json_number_value(json_object_get(rate, "sent_per_s")),
               json_is_true(json_object_get(rate, "spent"))
                   ? "; nothing is left now"
                   : "");
    }
}

/* Prints what a daemon has learned of a target that slows down before its
 * slots are full, or is slower than others at any load. */
static void
print_capacity(const json_t *target)
{
    const json_t *capacity = json_object_get(target, "capacity");
    double concurrency =
        json_number_value(json_object_get(capacity, "concurrency"));
    double slots = json_number_value(json_object_get(capacity, "slots"));
    double slowness = json_number_value(json_object_get(capacity, "slowness"));
    if (concurrency < NOTABLE_CONCURRENCY_SHARE * slots) {
        printf("  %s slows down above %.1f of its %g slots; %.1f are in use\n",
               member_text(target, "name"), concurrency, slots,
               json_number_value(json_object_get(capacity, "running")));
    }
    if (slowness > NOTABLE_SLOWNESS) {
        printf("  %s takes %.1f times the typical latency at any load\n",
               member_text(target, "name"), slowness);
    }
}

/* Prints the targets that get no new requests now, with the reason, and those
 * that limit their rate. */
static void
print_restricted_targets(const json_t *state)
{
    size_t i;
    json_t *target;
    json_array_foreach(json_object_get(state, "targets"), i, target)
    {
        const char *why = target_state(target);
        double limit = json_number_value(json_object_get(target, "limit"));
        double used = json_number_value(json_object_get(target, "in_flight"));
        if (strcmp(why, "usable") != 0) {
            printf("  %s gets no new requests: %s\n",
                   member_text(target, "name"), why);
        }
        else if (used + 1 > limit) {
            printf("  %s is at its concurrency limit: %g of %g in use\n",
                   member_text(target, "name"), used, limit);
        }
        print_rate_limit(target);
        print_capacity(target);
    }
}

/* Prints the requests that are refused, or watched, since they may crash
 * targets. Caller 0 stands for all callers. */
static void
print_quarantined(const json_t *state)
{
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(state, "quarantine"), i, row)
    {
        bool refused = json_is_true(json_object_get(row, "condemned"));
        printf("  request %s of caller %s is %s: %" JSON_INTEGER_FORMAT
               " crashes seen here; for %" JSON_INTEGER_FORMAT " ms\n",
               member_text(row, "fingerprint"), member_text(row, "caller"),
               refused ? "refused" : "a suspect",
               json_integer_value(json_object_get(row, "crashes")),
               json_integer_value(json_object_get(row, "left_ms")));
    }
}

static int
run_explain(const Options *options, const char *const *arguments)
{
    json_t *state = read_state(options);
    if (!state) {
        return EXIT_ERROR;
    }
    const json_t *entry = find_entry(state, arguments[0]);
    int status = EXIT_SUCCESS;
    if (!entry) {
        fprintf(stderr, "lavenderrail: no entry '%s' in force at %s\n",
                arguments[0], member_text(state, "name"));
        status = EXIT_ERROR;
    }
    else {
        printf("%s: class %s, owner %s\n", arguments[0],
               member_text(entry, "class"), member_text(entry, "owner"));
        printf("  running %" JSON_INTEGER_FORMAT
               ", queued for its service %" JSON_INTEGER_FORMAT
               ", parts waiting for capacity %" JSON_INTEGER_FORMAT "\n",
               json_integer_value(json_object_get(entry, "running")),
               json_integer_value(json_object_get(entry, "service_queued")),
               json_integer_value(
                   json_object_get(entry, "service_waiting_parts")));
        print_restricted_targets(state);
        print_quarantined(state);
    }
    json_decref(state);
    return status;
}

static int
run_trace(const Options *options, const char *const *arguments)
{
    (void)options;
    return Trace_Print(arguments[0], stdin, stdout) > 0 ? EXIT_SUCCESS
                                                        : EXIT_ERROR;
}

static const Command COMMANDS[] = {
    {"query", "query ENTRY BODY      send a query to every shard", 2, 0,
     run_query},
    {"call", "call ENTRY BODY       send a request to one target", 2, 0,
     run_call},
    {"key", "key                   issue an idempotency key", 0, 0, run_key},
    {"check",
     "check FILE [IN-FORCE] validate a catalogue; with --contract, a stored "
     "configuration",
     1, 1, run_check},
    {"diff", "diff FILE FILE        compare two catalogues", 2, 0, run_diff},
    {"state", "state                 show a daemon's state", 0, 0, run_state},
    {"hosts", "hosts                 show a daemon's targets", 0, 0,
     run_hosts},
    {"explain", "explain ENTRY         why an entry waits or is slow", 1, 0,
     run_explain},
    {"trace",
     "trace ID              timeline of a request, from logs on stdin", 1, 0,
     run_trace},
};

static void
print_help(void **table)
{
    printf("Usage: lavenderrail");
    arg_print_syntax(stdout, table, "\n\n");
    for (size_t i = 0; i < G_N_ELEMENTS(COMMANDS); i++) {
        printf("  %s\n", COMMANDS[i].usage);
    }
    printf("\n");
    arg_print_glossary(stdout, table, "  %-24s %s\n");
    printf("\nExit status: 0 complete, 1 error, 2 usage, 3 partial, "
           "4 not_run, 5 unknown.\n");
}

static int
run_command(const Options *options)
{
    const char *name =
        options->command->count > 0 ? options->command->sval[0] : "";
    for (size_t i = 0; i < G_N_ELEMENTS(COMMANDS); i++) {
        const Command *command = &COMMANDS[i];
        if (strcmp(command->name, name) != 0) {
            continue;
        }
        if (options->arguments->count < command->n_arguments ||
            options->arguments->count >
                command->n_arguments + command->n_optional) {
            fprintf(stderr, "lavenderrail: usage: %s\n", command->usage);
            return EXIT_USAGE;
        }
        return command->run(options, options->arguments->sval);
    }
    fprintf(stderr, "lavenderrail: unknown command '%s', see --help\n", name);
    return EXIT_USAGE;
}

static const char *
from_environment(const char *name, const char *fallback)
{
    const char *value = getenv(name);
    return value ? value : fallback;
}

int
main(int argc, char **argv)
{
    Options options = {
        .help = arg_lit0("h", "help", "show this help and exit"),
        .version = arg_lit0(NULL, "version", "show the version and exit"),
        .daemon = arg_str0(NULL, "daemon", "URL",
                           "callers' URL, or LAVENDERRAIL_DAEMON"),
        .operator= arg_str0(NULL, "operator", "URL",
                            "operators' URL, or LAVENDERRAIL_OPERATOR"),
        .key = arg_str0(NULL, "key", "KEY", "idempotency key of a call"),
        .route = arg_str0(NULL, "route", "TEXT", "routing key of a call"),
        .deadline = arg_int0(NULL, "deadline-ms", "N", "deadline"),
        .contract =
            arg_str0(NULL, "contract", "NAME",
                     "check a configuration as it is stored: platform"),
        .json = arg_lit0(NULL, "json", "print JSON"),
        .command = arg_str0(NULL, NULL, "COMMAND", NULL),
        .arguments = arg_strn(NULL, NULL, "ARGUMENT", 0, MAX_ARGUMENTS, NULL),
        .end = arg_end(OPTION_MAX_ERRORS),
    };
    void *table[] = {options.help,     options.version,
                     options.daemon,   options.operator, options.key,
                     options.route,    options.deadline,
                     options.contract, options.json,
                     options.command,  options.arguments,
                     options.end};
    options.daemon->sval[0] =
        from_environment("LAVENDERRAIL_DAEMON", "http://127.0.0.1:8080");
    options.operator->sval[0] =
        from_environment("LAVENDERRAIL_OPERATOR", "http://127.0.0.1:8081");
    int n_errors = arg_parse(argc, argv, table);
    int status = EXIT_SUCCESS;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (options.help->count > 0) {
        print_help(table);
    }
    else if (options.version->count > 0) {
        printf("lavenderrail %s\n", LAVENDERRAIL_VERSION);
    }
    else if (n_errors > 0) {
        arg_print_errors(stderr, options.end, "lavenderrail");
        status = EXIT_USAGE;
    }
    else {
        status = run_command(&options);
    }
    curl_global_cleanup();
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
