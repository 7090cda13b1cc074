/* Event loop of a stand-in program. */
#include "standin_loop.h"

#include <signal.h>

static void
on_stop_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)watcher;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

static void
on_time_limit(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

void
StandinLoop_Run(struct ev_loop *loop, int seconds)
{
    ev_signal term;
    ev_signal interrupt;
    ev_timer limit;
    signal(SIGPIPE, SIG_IGN);
    ev_signal_init(&term, on_stop_signal, SIGTERM);
    ev_signal_start(loop, &term);
    ev_signal_init(&interrupt, on_stop_signal, SIGINT);
    ev_signal_start(loop, &interrupt);
    ev_timer_init(&limit, on_time_limit, seconds, 0);
    ev_timer_start(loop, &limit);
    ev_run(loop, 0);
}
