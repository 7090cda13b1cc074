/* lr-standin: simulated targets, configuration service and host list on
 * loopback. */
#include "standin.h"
#include "standin_loop.h"

#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

enum { OPTION_MAX_ERRORS = 20, MAX_DAEMONS = 1000 };

typedef struct {
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_file *catalogue;
    struct arg_str *platform;
    struct arg_str *daemons;
    struct arg_dbl *median;
    struct arg_dbl *sigma;
    struct arg_int *slots;
    struct arg_int *queue;
    struct arg_int *seed;
    struct arg_int *seconds;
    struct arg_end *end;
} Options;

static void
add_target(Standin *standin, const json_t *replica, GError **error)
{
    const char *name = json_string_value(json_object_get(replica, "name"));
    const char *zone = json_string_value(json_object_get(replica, "zone"));
    const char *address =
        json_string_value(json_object_get(replica, "address"));
    if (!name || !zone || !address || *error ||
        g_hash_table_contains(standin->targets, name)) {
        return;
    }
    Target *target = Target_New(standin, name, zone, address, error);
    if (target) {
        g_hash_table_insert(standin->targets, g_strdup(name), target);
    }
}

static void
add_group(Standin *standin, const json_t *group, GError **error)
{
    size_t i;
    json_t *replica;
    json_array_foreach(json_object_get(group, "replicas"), i, replica)
    {
        add_target(standin, replica, error);
    }
}

static bool
add_targets(Standin *standin, const json_t *catalogue, GError **error)
{
    size_t i;
    size_t j;
    size_t k;
    json_t *service;
    json_t *map;
    json_t *group;
    json_array_foreach(json_object_get(catalogue, "services"), i, service)
    {
        json_array_foreach(json_object_get(service, "maps"), j, map)
        {
            json_array_foreach(json_object_get(map, "groups"), k, group)
            {
                add_group(standin, group, error);
            }
        }
    }
    return *error == NULL;
}

static char **
daemon_list(const Options *options)
{
    GPtrArray *list = g_ptr_array_new();
    for (int i = 0; i < options->daemons->count; i++) {
        g_ptr_array_add(list, (gpointer)options->daemons->sval[i]);
    }
    g_ptr_array_add(list, NULL);
    return (char **)g_ptr_array_free(list, FALSE);
}

static void
free_target(gpointer data)
{
    Target_Free(data);
}

static int
run(const Options *options, json_t *catalogue)
{
    Standin standin = {
        .loop = ev_default_loop(EVFLAG_AUTO),
        .rng = gsl_rng_alloc(gsl_rng_taus2),
        .defaults = {.median_ms = options->median->dval[0],
                     .sigma = options->sigma->dval[0],
                     .slots = options->slots->ival[0],
                     .max_queue = options->queue->ival[0]},
        .targets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         free_target),
        .runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    GError *error = NULL;
    gsl_rng_set(standin.rng, (unsigned long)options->seed->ival[0]);
    g_autofree char **daemons = daemon_list(options);
    if (add_targets(&standin, catalogue, &error)) {
        standin.platform = Platform_New(&standin, options->platform->sval[0],
                                        catalogue, daemons, &error);
    }
    int status = EXIT_SUCCESS;
    if (error) {
        fprintf(stderr, "lr-standin: %s\n", error->message);
        g_error_free(error);
        status = EXIT_FAILURE;
    }
    else {
        printf("lr-standin: %u targets, platform at http://%s\n",
               g_hash_table_size(standin.targets), options->platform->sval[0]);
        fflush(stdout);
        StandinLoop_Run(standin.loop, options->seconds->ival[0]);
        Platform_Free(standin.platform);
    }
    g_hash_table_unref(standin.targets);
    g_hash_table_unref(standin.runs);
    gsl_rng_free(standin.rng);
    return status;
}

static void
set_defaults(Options *options)
{
    options->platform->sval[0] = "127.0.0.1:7000";
    options->median->dval[0] = 4;
    options->sigma->dval[0] = 0.4;
    options->slots->ival[0] = 3;
    options->queue->ival[0] = 100;
    options->seed->ival[0] = 1;
    options->seconds->ival[0] = 3600;
}

static int
load_and_run(const Options *options)
{
    json_error_t error;
    json_t *catalogue =
        json_load_file(options->catalogue->filename[0], 0, &error);
    if (!catalogue) {
        fprintf(stderr, "lr-standin: %s: line %d: %s\n",
                options->catalogue->filename[0], error.line, error.text);
        return 2;
    }
    int status = run(options, catalogue);
    json_decref(catalogue);
    return status;
}

int
main(int argc, char **argv)
{
    Options options = {
        .help = arg_lit0("h", "help", "show this help and exit"),
        .version = arg_lit0(NULL, "version", "show the version and exit"),
        .catalogue =
            arg_file1(NULL, "catalogue", "FILE",
                      "catalogue to publish; its targets are simulated"),
        .platform = arg_str0(NULL, "platform", "IP:PORT",
                             "address of both platform services"),
        .daemons = arg_strn(NULL, "daemon", "NAME,ZONE,IP:PORT", 0,
                            MAX_DAEMONS, "a daemon for the host list"),
        .median = arg_dbl0(NULL, "median-ms", "MS", "median service time"),
        .sigma = arg_dbl0(NULL, "sigma", "X", "spread of service times"),
        .slots = arg_int0(NULL, "slots", "N", "requests a target runs"),
        .queue = arg_int0(NULL, "queue", "N", "requests a target queues"),
        .seed = arg_int0(NULL, "seed", "N", "random seed"),
        .seconds = arg_int0(NULL, "seconds", "N", "time limit"),
        .end = arg_end(OPTION_MAX_ERRORS),
    };
    void *table[] = {options.help,     options.version, options.catalogue,
                     options.platform, options.daemons, options.median,
                     options.sigma,    options.slots,   options.queue,
                     options.seed,     options.seconds, options.end};
    int status = EXIT_SUCCESS;
    set_defaults(&options);
    int n_errors = arg_parse(argc, argv, table);
    if (options.help->count > 0) {
        printf("Usage: lr-standin");
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
    }
    else if (options.version->count > 0) {
        printf("lr-standin %s\n", LAVENDERRAIL_VERSION);
    }
    else if (n_errors > 0) {
        arg_print_errors(stderr, options.end, "lr-standin");
        status = 2;
    }
    else {
        status = load_and_run(&options);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return status;
}
