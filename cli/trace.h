/* The story of one request, from the log lines of all hosts. */
#ifndef LAVENDERRAIL_TRACE_H
#define LAVENDERRAIL_TRACE_H

#include <stdio.h>

/* Reads log lines and prints those of the request in order of time, in plain
 * words; returns their number. */
size_t Trace_Print(const char *id, FILE *logs, FILE *out);

#endif
