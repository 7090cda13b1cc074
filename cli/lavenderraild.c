/* lavenderraild: one daemon of the query tier. */
#include <signal.h>
#include <stdlib.h>

#include <ev.h>
#include <string.h>

#include "platform.h"

/* Interval of the check for a settings file that changed without a SIGHUP. */
#define RELOAD_CHECK_SECONDS 2.0

static const LrDeployment *const DEPLOYMENTS[] = {
    &LrDeployment_Native,
    &LrDeployment_Platform,
};

typedef struct {
    LrDaemon *daemon;
    LrLog *log;
    LrSettingsSource source;
    char *file_text;
    ev_timer reload_timer;
    ev_signal hangup;
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

/* Returns the text of the settings file; NULL when there is none. */
static char *
read_settings_file(const LrSettingsSource *source)
{
    char *text = NULL;
    if (source->file) {
        g_file_get_contents(source->file, &text, NULL, NULL);
    }
    return text;
}

static void
reload(Program *program)
{
    LrSettings settings;
    LrArena *arena = LrArena_New();
    int status;
    if (LrSettings_Load(&settings, arena, &program->source, &status)) {
        LrDaemon_Reload(program->daemon, &settings);
    }
    else {
        LR_LOG(program->log, LOG_ERR, "reload_failed",
               LrLog_CStr("file", program->source.file ? program->source.file
                                                       : "none"));
    }
    LrArena_Free(arena);
}

static void
on_hangup(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    reload(watcher->data);
}

static void
on_reload_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    Program *program = timer->data;
    char *text = read_settings_file(&program->source);
    if (g_strcmp0(text, program->file_text) == 0) {
        g_free(text);
        return;
    }
    g_free(program->file_text);
    program->file_text = text;
    reload(program);
}

static const LrDeployment *
lookup_deployment(LrStr name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(DEPLOYMENTS); i++) {
        if (LrStr_EqualC(name, DEPLOYMENTS[i]->name)) {
            return DEPLOYMENTS[i];
        }
    }
    return NULL;
}

/* Returns the path that a deployment's environment variable gives. */
static const char *
settings_file(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(DEPLOYMENTS); i++) {
        const char *variable = DEPLOYMENTS[i]->settings_variable;
        const char *file = variable ? getenv(variable) : NULL;
        if (file) {
            return file;
        }
    }
    return NULL;
}

/* Blocks or unblocks SIGTERM and SIGINT: one that arrives during startup
 * stays pending until the event loop can handle it. */
static void
mask_stop_signals(int how)
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    sigprocmask(how, &stop_signals, NULL);
}

static void
watch_settings_file(struct ev_loop *loop, Program *program)
{
    program->file_text = read_settings_file(&program->source);
    ev_timer_init(&program->reload_timer, on_reload_timer,
                  RELOAD_CHECK_SECONDS, RELOAD_CHECK_SECONDS);
    program->reload_timer.data = program;
    if (program->source.file) {
        ev_timer_start(loop, &program->reload_timer);
    }
    watch_signal(loop, &program->hangup, SIGHUP, on_hangup, program);
}

static int
run(const LrSettings *settings, const LrDeployment *deployment,
    const LrSettingsSource *source)
{
    struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
    LrLog *log = LrLog_New(stdout, (int)settings->log_level);
    LrLog_SetHost(log, settings->name);
    LrLog_SetRateLimit(log, (double)settings->log_lines_per_s);
    GError *error = NULL;
    Program program = {
        .daemon = LrDaemon_New(loop, settings, deployment, log, &error),
        .log = log,
        .source = *source,
    };
    int status = EXIT_SUCCESS;
    if (!program.daemon) {
        LR_LOG(log, LOG_ERR, "start_failed",
               LrLog_CStr("why", error->message));
        g_error_free(error);
        status = EXIT_FAILURE;
    }
    else {
        signal(SIGPIPE, SIG_IGN);
        watch_signal(loop, &program.term, SIGTERM, on_stop, &program);
        watch_signal(loop, &program.interrupt, SIGINT, on_stop, &program);
        watch_signal(loop, &program.dump, SIGUSR1, on_dump, &program);
        watch_settings_file(loop, &program);
        mask_stop_signals(SIG_UNBLOCK);
        ev_run(loop, 0);
        g_free(program.file_text);
        LrDaemon_Free(program.daemon);
    }
    LrLog_Free(log);
    return status;
}

int
main(int argc, char **argv)
{
    mask_stop_signals(SIG_BLOCK);
    LrSettings settings;
    LrArena *arena = LrArena_New();
    int status;
    LrSettingsSource source = {
        .argc = argc,
        .argv = argv,
        .file = settings_file(),
    };
    if (LrSettings_Load(&settings, arena, &source, &status)) {
        const LrDeployment *deployment = lookup_deployment(settings.contract);
        if (deployment) {
            status = run(&settings, deployment, &source);
        }
        else {
            fprintf(stderr,
                    "--contract: names no contract: '%.*s' (known:"
                    " native, platform)\n",
                    (int)MIN(settings.contract.len, 64),
                    settings.contract.ptr);
            status = 2;
        }
    }
    LrArena_Free(arena);
    return status;
}
