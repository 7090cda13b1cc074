/* A timer queue that does not read the clock: its user passes the time. A
 * binary heap of timers that are embedded in the structs of their owners; it
 * starts at index 1, so index 0 marks a timer that is not armed. Timers due at
 * the same time fire in the order in which they were armed. */
#include "lavenderrail.h"

struct LrTimers {
    GPtrArray *heap;
    uint64_t order;
};

LrTimers *
LrTimers_New(void)
{
    LrTimers *timers = g_new0(LrTimers, 1);
    timers->heap = g_ptr_array_new();
    g_ptr_array_add(timers->heap, NULL);
    return timers;
}

void
LrTimers_Free(LrTimers *timers)
{
    if (!timers) {
        return;
    }
    g_ptr_array_unref(timers->heap);
    g_free(timers);
}

static LrTimer *
timer_at(const LrTimers *timers, size_t slot)
{
    return timers->heap->pdata[slot];
}

static bool
is_before(const LrTimer *a, const LrTimer *b)
{
    if (a->due != b->due) {
        return a->due < b->due;
    }
    return a->sequence < b->sequence;
}

static void
place(LrTimers *timers, LrTimer *timer, size_t slot)
{
    timers->heap->pdata[slot] = timer;
    timer->heap_index = slot;
}

static void
sift_up(LrTimers *timers, LrTimer *timer, size_t slot)
{
    while (slot > 1 && is_before(timer, timer_at(timers, slot / 2))) {
        place(timers, timer_at(timers, slot / 2), slot);
        slot /= 2;
    }
    place(timers, timer, slot);
}

static void
sift_down(LrTimers *timers, LrTimer *timer, size_t slot)
{
    size_t end = timers->heap->len;
    while (2 * slot < end) {
        size_t child = 2 * slot;
        if (child + 1 < end &&
            is_before(timer_at(timers, child + 1), timer_at(timers, child))) {
            child++;
        }
        if (!is_before(timer_at(timers, child), timer)) {
            break;
        }
        place(timers, timer_at(timers, child), slot);
        slot = child;
    }
    place(timers, timer, slot);
}

void
LrTimers_Cancel(LrTimers *timers, LrTimer *timer)
{
    size_t slot = timer->heap_index;
    if (slot == 0) {
        return;
    }
    timer->heap_index = 0;
    guint last = timers->heap->len - 1;
    LrTimer *moved = timer_at(timers, last);
    g_ptr_array_set_size(timers->heap, (gint)last);
    if (moved == timer) {
        return;
    }
    if (slot > 1 && is_before(moved, timer_at(timers, slot / 2))) {
        sift_up(timers, moved, slot);
    }
    else {
        sift_down(timers, moved, slot);
    }
}

void
LrTimers_Arm(LrTimers *timers, LrTimer *timer, LrTime due)
{
    LrTimers_Cancel(timers, timer);
    timer->due = due;
    timer->sequence = timers->order++;
    g_ptr_array_add(timers->heap, timer);
    sift_up(timers, timer, timers->heap->len - 1);
}

LrTime
LrTimers_NextDue(const LrTimers *timers)
{
    return timers->heap->len > 1 ? timer_at(timers, 1)->due : LR_NEVER;
}

void
LrTimers_FireDue(LrTimers *timers, LrTime now)
{
    while (LrTimers_NextDue(timers) <= now) {
        LrTimer *timer = timer_at(timers, 1);
        LrTimers_Cancel(timers, timer);
        timer->func(timer->data, now);
    }
}
