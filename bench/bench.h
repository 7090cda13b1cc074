/* Commands of lr-bench. */
#ifndef LAVENDERRAIL_BENCH_H
#define LAVENDERRAIL_BENCH_H

#include "lavenderrail.h"

struct arg_end;

enum { BENCH_USAGE = 2, BENCH_RUN = -1 };

/* Parses options; BENCH_RUN to go on, else the exit status. */
int Bench_Parse(const char *command, int argc, char **argv, void **table,
                struct arg_end *end);
int Bench_Policy(int argc, char **argv);
int Bench_Histories(int argc, char **argv);
int Bench_Core(int argc, char **argv);
int Bench_Load(int argc, char **argv);
int Bench_Scale(int argc, char **argv);

#endif
