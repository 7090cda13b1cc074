/* The HTTP interface for operators: health, readiness, metrics and state. */
#include "daemon.h"

#include <string.h>

enum { STATUS_OK = 200, STATUS_NOT_FOUND = 404, STATUS_UNAVAILABLE = 503 };

static void
reply_text(LrExchange *exchange, unsigned status, const char *type, char *text)
{
    LrExchange_Reply(exchange, status, type,
                     g_bytes_new_take(text, strlen(text)));
}

static void
reply_ready(LrDaemon *daemon, LrExchange *exchange)
{
    static const char *const texts[] = {
        [LR_READY] = "ready\n",
        [LR_UNREADY_NO_CATALOGUE] = "no catalogue yet\n",
        [LR_UNREADY_STOPPING] = "stopping\n",
        [LR_UNREADY_ISOLATED] = "cut off from the other zones\n",
    };
    reply_text(exchange,
               LrDaemon_IsReady(daemon) ? STATUS_OK : STATUS_UNAVAILABLE,
               "text/plain", g_strdup(texts[daemon->readiness]));
}

void
LrOperator_Request(void *data, LrExchange *exchange)
{
    LrDaemon *daemon = data;
    LrStr path = LrExchange_Path(exchange);
    if (LrStr_EqualC(path, "/healthz")) {
        reply_text(exchange, STATUS_OK, "text/plain", g_strdup("ok\n"));
    }
    else if (LrStr_EqualC(path, "/readyz")) {
        reply_ready(daemon, exchange);
    }
    else if (LrStr_EqualC(path, "/metrics")) {
        reply_text(exchange, STATUS_OK, "text/plain; version=0.0.4",
                   LrCounters_ToText(daemon->counters));
    }
    else if (LrStr_EqualC(path, "/state")) {
        reply_text(exchange, STATUS_OK, "application/json",
                   LrDaemon_Dump(daemon));
    }
    else {
        reply_text(exchange, STATUS_NOT_FOUND, "text/plain",
                   g_strdup("paths: /healthz /readyz /metrics /state\n"));
    }
}

void
LrOperator_CallerGone(void *daemon, LrExchange *exchange)
{
    (void)daemon;
    (void)exchange;
}
