/* lavenderraild: one daemon of the query tier. */
#include <signal.h>
#include <stdlib.h>

#include <ev.h>

#include "lavenderrail.h"

typedef struct {
    LrDaemon *daemon;
    ev_signal term;
    ev_signal interrupt;
    ev_signal dump;
} Program;

static void
on_stop(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    Program *program = watcher->data;
    LrDaemon_Stop(program->daemon);
}

static void
on_dump(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    Program *program = watcher->data;
    g_autofree char *text = LrDaemon_Dump(program->daemon);
    fputs(text, stderr);
    fputc('\n', stderr);
}

static void
watch_signal(struct ev_loop *loop, ev_signal *watcher, int number,
             void (*func)(struct ev_loop *, ev_signal *, int),
             Program *program)
{
    ev_signal_init(watcher, func, number);
    watcher->data = program;
    ev_signal_start(loop, watcher);
}

static int
run(const LrSettings *settings)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    LrLog *log = LrLog_New(stderr, (int)settings->log_level);
    GError *error = NULL;
    Program program = {
        .daemon = LrDaemon_New(loop, settings, log, &error),
    };
    int status = EXIT_SUCCESS;
    if (!program.daemon) {
        LR_LOG(log, LOG_ERR, "start_failed", LrLog_C("why", error->message));
        g_error_free(error);
        status = EXIT_FAILURE;
    }
    else {
        signal(SIGPIPE, SIG_IGN);
        watch_signal(loop, &program.term, SIGTERM, on_stop, &program);
        watch_signal(loop, &program.interrupt, SIGINT, on_stop, &program);
        watch_signal(loop, &program.dump, SIGUSR1, on_dump, &program);
        ev_run(loop, 0);
        LrDaemon_Free(program.daemon);
    }
    LrLog_Free(log);
    return status;
}

int
main(int argc, char **argv)
{
    LrSettings settings;
    LrArena *arena = LrArena_New();
    int status;
    if (LrSettings_Load(&settings, arena, argc, argv, &status)) {
        status = run(&settings);
    }
    LrArena_Free(arena);
    return status;
}
