/* Top-k records of the parts of an answer. */
#include "merge.h"

#include <string.h>

struct LrTopK {
    const char **items;
    size_t n;
    size_t limit;
};

LrTopK *
LrTopK_New(size_t limit)
{
    LrTopK *top = g_new0(LrTopK, 1);
    top->items = g_new0(const char *, limit + 1);
    top->limit = limit;
    return top;
}

void
LrTopK_Free(LrTopK *top)
{
    if (!top) {
        return;
    }
    g_free(top->items);
    g_free(top);
}

static void
add_record(LrTopK *top, const char *record)
{
    size_t at = top->n;
    while (at > 0 && memcmp(top->items[at - 1], record, LR_RECORD_BYTES) < 0) {
        at--;
    }
    if (at >= top->limit) {
        return;
    }
    size_t moved = MIN(top->n, top->limit - 1) - at;
    memmove(&top->items[at + 1], &top->items[at], moved * sizeof(char *));
    top->items[at] = record;
    top->n = MIN(top->n + 1, top->limit);
}

void
LrTopK_Add(LrTopK *top, LrStr part)
{
    for (size_t at = 0; at + LR_RECORD_BYTES <= part.len;
         at += LR_RECORD_BYTES) {
        add_record(top, part.ptr + at);
    }
}

GBytes *
LrTopK_ToBytes(const LrTopK *top)
{
    char *bytes = g_malloc(top->n * LR_RECORD_BYTES + 1);
    for (size_t i = 0; i < top->n; i++) {
        memcpy(bytes + i * LR_RECORD_BYTES, top->items[i], LR_RECORD_BYTES);
    }
    return g_bytes_new_take(bytes, top->n * LR_RECORD_BYTES);
}
