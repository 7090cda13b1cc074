/* Timeline of one request, from the log lines of all hosts. */
#ifndef LAVENDERRAIL_TRACE_H
#define LAVENDERRAIL_TRACE_H

#include <stdio.h>

/* Reads log lines, prints one sentence for each event of the request id in
 * order of time, and returns the number of events. */
size_t Trace_Print(const char *id, FILE *logs, FILE *out);

#endif
