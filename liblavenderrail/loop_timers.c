/* Timers on a libev loop: one libev timer serves all of them. */
#include "loop_timers.h"

#include <ev.h>

struct LrLoopTimers {
    struct ev_loop *loop;
    LrTimers *timers;
    ev_timer wake;
    LrTime wake_at;
};

static void
arm(LrLoopTimers *timers)
{
    LrTime next = LrTimers_NextDue(timers->timers);
    /* An early wake-up is harmless and cheaper than moving the timer. */
    if (next >= timers->wake_at && ev_is_active(&timers->wake)) {
        return;
    }
    ev_timer_stop(timers->loop, &timers->wake);
    timers->wake_at = next;
    if (next == LR_NEVER) {
        return;
    }
    ev_now_update(timers->loop);
    double seconds = (double)(next - LrClock_Now()) / (double)LR_SECOND;
    ev_timer_set(&timers->wake, MAX(0, seconds), 0);
    ev_timer_start(timers->loop, &timers->wake);
}

static void
on_wake(struct ev_loop *loop, ev_timer *wake, int events)
{
    (void)loop;
    (void)events;
    LrLoopTimers *timers = wake->data;
    LrTimers_FireDue(timers->timers, LrClock_Now());
    arm(timers);
}

LrLoopTimers *
LrLoopTimers_New(struct ev_loop *loop)
{
    LrLoopTimers *timers = g_new0(LrLoopTimers, 1);
    timers->loop = loop;
    timers->timers = LrTimers_New();
    timers->wake_at = LR_NEVER;
    ev_timer_init(&timers->wake, on_wake, 0, 0);
    timers->wake.data = timers;
    return timers;
}

void
LrLoopTimers_Free(LrLoopTimers *timers)
{
    if (!timers) {
        return;
    }
    ev_timer_stop(timers->loop, &timers->wake);
    LrTimers_Free(timers->timers);
    g_free(timers);
}

void
LrLoopTimers_Set(LrLoopTimers *timers, LrTimer *timer, LrTime due)
{
    LrTimers_Arm(timers->timers, timer, due);
    arm(timers);
}

void
LrLoopTimers_Clear(LrLoopTimers *timers, LrTimer *timer)
{
    LrTimers_Cancel(timers->timers, timer);
}
