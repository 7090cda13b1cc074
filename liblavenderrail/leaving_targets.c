/* Leaving targets, to be passed on to peers: those that the host list marks,
 * and in a list of their own those that said so themselves. Daemons that read
 * the host list keep a target for as long as it is marked; the others learn of
 * it from peers and keep it for a limited time, so that it expires when no
 * reader renews it. */
#include "lavenderrail.h"

#include <string.h>

typedef struct {
    char *address;
    LrTime expires_at;
} LeavingTarget;

struct LrLeavingTargets {
    GPtrArray *targets;
    guint next;
};

static void
free_leaving_target(gpointer data)
{
    LeavingTarget *target = data;
    g_free(target->address);
    g_free(target);
}

LrLeavingTargets *
LrLeavingTargets_New(void)
{
    LrLeavingTargets *list = g_new0(LrLeavingTargets, 1);
    list->targets = g_ptr_array_new_with_free_func(free_leaving_target);
    return list;
}

void
LrLeavingTargets_Free(LrLeavingTargets *list)
{
    if (!list) {
        return;
    }
    g_ptr_array_unref(list->targets);
    g_free(list);
}

void
LrLeavingTargets_Add(LrLeavingTargets *list, LrStr address, LrTime expires_at)
{
    for (guint i = 0; i < list->targets->len; i++) {
        LeavingTarget *target = list->targets->pdata[i];
        if (LrStr_EqualC(address, target->address)) {
            target->expires_at = MAX(target->expires_at, expires_at);
            return;
        }
    }
    LeavingTarget *target = g_new0(LeavingTarget, 1);
    target->address = LrStr_Dup(address);
    target->expires_at = expires_at;
    g_ptr_array_add(list->targets, target);
}

void
LrLeavingTargets_Clear(LrLeavingTargets *list)
{
    g_ptr_array_set_size(list->targets, 0);
}

static void
drop_expired(LrLeavingTargets *list, LrTime now)
{
    for (guint i = list->targets->len; i > 0; i--) {
        const LeavingTarget *target = list->targets->pdata[i - 1];
        if (target->expires_at <= now) {
            g_ptr_array_remove_index_fast(list->targets, i - 1);
        }
    }
}

LrTime
LrLeavingTargets_ExpiryOf(const LrLeavingTargets *list, LrStr address)
{
    for (guint i = 0; i < list->targets->len; i++) {
        const LeavingTarget *target = list->targets->pdata[i];
        if (LrStr_EqualC(address, target->address)) {
            return target->expires_at;
        }
    }
    return 0;
}

size_t
LrLeavingTargets_NextBatch(LrLeavingTargets *list, LrTime now,
                           LrLeavingTargetMsg *out, size_t max)
{
    drop_expired(list, now);
    guint n_targets = list->targets->len;
    size_t n = MIN(max, n_targets);
    for (size_t i = 0; i < n; i++) {
        const LeavingTarget *target =
            list->targets->pdata[list->next++ % n_targets];
        LrTime left = MIN(target->expires_at - now, LR_LEAVING_TTL);
        out[i] = (LrLeavingTargetMsg){.address = LrStr_FromC(target->address),
                                      .left_ms = left / LR_MILLISECOND};
    }
    return n;
}
