/* lr-bench: load, policy and scale experiments. */
#include "bench.h"

#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

typedef struct {
    const char *name;
    const char *purpose;
    int (*run)(int argc, char **argv);
} Command;

static const Command COMMANDS[] = {
    {"policy", "decisions under load and faults, in virtual time",
     Bench_Policy},
    {"core", "cost of a decision and of a sub-request", Bench_Core},
    {"load", "callers on real loopback sockets", Bench_Load},
    {"scale", "how costs grow, and what they come to when planned",
     Bench_Scale},
    {"histories", "random faulty runs, checked", Bench_Histories},
};

int
Bench_Parse(const char *command, int argc, char **argv, void **table,
            struct arg_end *end)
{
    if (argc > 1 && !strcmp(argv[1], "--help")) {
        printf("Usage: lr-bench %s", command);
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-24s %s\n");
        return EXIT_SUCCESS;
    }
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, command);
        return BENCH_USAGE;
    }
    return BENCH_RUN;
}

static void
print_help(FILE *file)
{
    fprintf(file, "Usage: lr-bench COMMAND [OPTION...]\n\n");
    for (size_t i = 0; i < G_N_ELEMENTS(COMMANDS); i++) {
        fprintf(file, "  %-10s %s\n", COMMANDS[i].name, COMMANDS[i].purpose);
    }
}

int
main(int argc, char **argv)
{
    const char *name = argc > 1 ? argv[1] : "";
    for (size_t i = 0; i < G_N_ELEMENTS(COMMANDS); i++) {
        if (!strcmp(COMMANDS[i].name, name)) {
            return COMMANDS[i].run(argc - 1, argv + 1);
        }
    }
    if (!strcmp(name, "--version")) {
        printf("lr-bench %s\n", LAVENDERRAIL_VERSION);
        return EXIT_SUCCESS;
    }
    bool help = !strcmp(name, "--help");
    print_help(help ? stdout : stderr);
    return help ? EXIT_SUCCESS : BENCH_USAGE;
}
