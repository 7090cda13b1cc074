/* Targets that the host list calls leaving. Daemons that read the list keep
 * them while it says so; the others hear of them from peers and believe it
 * for a while, so that the news dies out when no reader renews it. */
#include "lavenderrail.h"

#include <string.h>

typedef struct {
    char *address;
    LrTime expires_at;
} Row;

struct LrLeavingTargets {
    GPtrArray *rows;
    guint turn;
};

static void
free_row(gpointer data)
{
    Row *row = data;
    g_free(row->address);
    g_free(row);
}

LrLeavingTargets *
LrLeavingTargets_New(void)
{
    LrLeavingTargets *leaving = g_new0(LrLeavingTargets, 1);
    leaving->rows = g_ptr_array_new_with_free_func(free_row);
    return leaving;
}

void
LrLeavingTargets_Free(LrLeavingTargets *leaving)
{
    if (!leaving) {
        return;
    }
    g_ptr_array_unref(leaving->rows);
    g_free(leaving);
}

void
LrLeavingTargets_Add(LrLeavingTargets *leaving, LrStr address, LrTime until)
{
    for (guint i = 0; i < leaving->rows->len; i++) {
        Row *row = leaving->rows->pdata[i];
        if (LrStr_EqualC(address, row->address)) {
            row->expires_at = MAX(row->expires_at, until);
            return;
        }
    }
    Row *row = g_new0(Row, 1);
    row->address = LrStr_Dup(address);
    row->expires_at = until;
    g_ptr_array_add(leaving->rows, row);
}

void
LrLeavingTargets_Clear(LrLeavingTargets *leaving)
{
    g_ptr_array_set_size(leaving->rows, 0);
}

static void
drop_expired(LrLeavingTargets *leaving, LrTime now)
{
    for (guint i = leaving->rows->len; i > 0; i--) {
        const Row *row = leaving->rows->pdata[i - 1];
        if (row->expires_at <= now) {
            g_ptr_array_remove_index_fast(leaving->rows, i - 1);
        }
    }
}

size_t
LrLeavingTargets_NextBatch(LrLeavingTargets *leaving, LrTime now,
                           LrLeavingTargetMsg *out, size_t most)
{
    drop_expired(leaving, now);
    guint n_rows = leaving->rows->len;
    size_t n = MIN(most, n_rows);
    for (size_t i = 0; i < n; i++) {
        const Row *row = leaving->rows->pdata[leaving->turn++ % n_rows];
        LrTime left = MIN(row->expires_at - now, LR_LEAVING_TTL);
        out[i] = (LrLeavingTargetMsg){.address = LrStr_FromC(row->address),
                                      .left_ms = left / LR_MILLISECOND};
    }
    return n;
}
