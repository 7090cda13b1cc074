/* Counts the process's allocations. */
#ifndef LAVENDERRAIL_COUNT_H
#define LAVENDERRAIL_COUNT_H

#include <stdint.h>

/* Calls of malloc, calloc and realloc so far; 0 under a sanitizer, which
 * has an allocator of its own. */
uint64_t Count_Allocations(void);

#endif
