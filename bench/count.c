/* Counts the process's allocations by standing before glibc's allocator. */
#include "count.h"

#include <stddef.h>

static uint64_t n_allocations;

uint64_t
Count_Allocations(void)
{
    return n_allocations;
}

#ifndef __SANITIZE_ADDRESS__

void *__libc_malloc(size_t size);
void *__libc_calloc(size_t n, size_t size);
void *__libc_realloc(void *block, size_t size);

void *
malloc(size_t size)
{
    n_allocations++;
    return __libc_malloc(size);
}

void *
calloc(size_t n, size_t size)
{
    n_allocations++;
    return __libc_calloc(n, size);
}

void *
realloc(void *block, size_t size)
{
    n_allocations++;
    return __libc_realloc(block, size);
}

#endif
