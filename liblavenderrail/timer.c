/* A timer queue that does not read the clock: its user passes the time. A
 * binary heap of timers that are embedded in the structs of their owners; it
 * starts at index 1, so index 0 marks a timer that is not armed. Timers due at
 * the same time fire in the order in which they were armed. */
#include "lavenderrail.h"

struct LrTimers {
    GPtrArray *heap;
    uint64_t next_sequence;
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
timer_at(const LrTimers *timers, size_t index)
{
    return timers->heap->pdata[index];
}

static bool
fires_before(const LrTimer *a, const LrTimer *b)
{
    if (a->due != b->due) {
        return a->due < b->due;
    }
    return a->sequence < b->sequence;
}

static void
set_heap_entry(LrTimers *timers, LrTimer *timer, size_t index)
{
    timers->heap->pdata[index] = timer;
    timer->heap_index = index;
}

static void
sift_up(LrTimers *timers, LrTimer *timer, size_t index)
{
    while (index > 1 && fires_before(timer, timer_at(timers, index / 2))) {
        set_heap_entry(timers, timer_at(timers, index / 2), index);
        index /= 2;
    }
    set_heap_entry(timers, timer, index);
}

static void
sift_down(LrTimers *timers, LrTimer *timer, size_t index)
{
    size_t end = timers->heap->len;
    while (2 * index < end) {
        size_t child = 2 * index;
        if (child + 1 < end && fires_before(timer_at(timers, child + 1),
                                            timer_at(timers, child))) {
            child++;
        }
        if (!fires_before(timer_at(timers, child), timer)) {
            break;
        }
        set_heap_entry(timers, timer_at(timers, child), index);
        index = child;
    }
    set_heap_entry(timers, timer, index);
}

void
LrTimers_Cancel(LrTimers *timers, LrTimer *timer)
{
    size_t index = timer->heap_index;
    if (index == 0) {
        return;
    }
    timer->heap_index = 0;
    guint last_index = timers->heap->len - 1;
    LrTimer *replacement = timer_at(timers, last_index);
    g_ptr_array_set_size(timers->heap, (gint)last_index);
    if (replacement == timer) {
        return;
    }
    if (index > 1 && fires_before(replacement, timer_at(timers, index / 2))) {
        sift_up(timers, replacement, index);
    }
    else {
        sift_down(timers, replacement, index);
    }
}

void
LrTimers_Arm(LrTimers *timers, LrTimer *timer, LrTime due)
{
    LrTimers_Cancel(timers, timer);
    timer->due = due;
    timer->sequence = timers->next_sequence++;
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
