/* Arena allocator: blocks that are freed together. */
#include "lavenderrail.h"

#include <string.h>

struct LrArena {
    GPtrArray *blocks;
};

LrArena *
LrArena_New(void)
{
    LrArena *arena = g_new0(LrArena, 1);
    arena->blocks = g_ptr_array_new_with_free_func(g_free);
    return arena;
}

void
LrArena_Free(LrArena *arena)
{
    if (!arena) {
        return;
    }
    g_ptr_array_unref(arena->blocks);
    g_free(arena);
}

void *
LrArena_Alloc(LrArena *arena, size_t size)
{
    void *block = g_malloc0(size ? size : 1);
    g_ptr_array_add(arena->blocks, block);
    return block;
}

LrStr
LrArena_Copy(LrArena *arena, LrStr text)
{
    char *copy = LrArena_Alloc(arena, text.len + 1);
    if (text.len) {
        memcpy(copy, text.ptr, text.len);
    }
    return (LrStr){.ptr = copy, .len = text.len};
}
