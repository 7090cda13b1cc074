/* The HTTP/1.1 server for callers of the routed interface, on a libev loop. */
#include "caller_server.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "socket.h"

enum {
    BACKLOG = 1024,
    ACCEPTS_A_TURN = 64,
    READ_CHUNK = 16384,
    /* Bytes of pipelined requests beyond which reading pauses until the
     * current one is answered. */
    MAX_AHEAD = 65536,
};

/* Time for a caller to read its last answer before the connection, which is
 * shut down for writing, is closed. */
#define LINGER LR_SECOND

typedef enum {
    CONN_READING,
    CONN_BUSY,
    CONN_WRITING,
    CONN_LINGERING,
} ConnState;

typedef struct Conn Conn;

struct LrCallerExchange {
    Conn *conn;
    LrTime arrived_at;
    void *data;
};

struct Conn {
    LrCallerServer *callers;
    int fd;
    /* Closed, and freed at the next event of any connection. */
    bool closed;
    ConnState state;
    ev_io io;
    int events;
    LrHttpMessage *message;
    GByteArray *ahead;
    GByteArray *out;
    size_t n_written;
    bool close_after;
    bool continue_sent;
    LrCallerExchange call;
    LrTimer timer;
    TAILQ_ENTRY(Conn) of_callers;
};

struct LrCallerServer {
    LrCallerServerConfig config;
    LrCallerLimits limits;
    int listener;
    ev_io acceptable;
    bool draining;
    size_t n_open;
    TAILQ_HEAD(, Conn) conns;
    TAILQ_HEAD(, Conn) closed;
};

static void pump(Conn *conn);

static void
free_conn(Conn *conn)
{
    LrHttpMessage_Free(conn->message);
    g_byte_array_unref(conn->ahead);
    g_byte_array_unref(conn->out);
    g_free(conn);
}

/* Frees the connections that were closed during earlier events. */
static void
free_closed(LrCallerServer *callers)
{
    Conn *conn;
    while ((conn = TAILQ_FIRST(&callers->closed))) {
        TAILQ_REMOVE(&callers->closed, conn, of_callers);
        free_conn(conn);
    }
}

static void
close_conn(Conn *conn)
{
    if (conn->closed) {
        return;
    }
    LrCallerServer *callers = conn->callers;
    conn->closed = true;
    ev_io_stop(callers->config.loop, &conn->io);
    LrLoopTimers_Clear(callers->config.timers, &conn->timer);
    close(conn->fd);
    TAILQ_REMOVE(&callers->conns, conn, of_callers);
    TAILQ_INSERT_TAIL(&callers->closed, conn, of_callers);
    callers->n_open--;
}

static void
watch_events(Conn *conn, int events)
{
    if (conn->events == events) {
        return;
    }
    struct ev_loop *loop = conn->callers->config.loop;
    ev_io_stop(loop, &conn->io);
    conn->events = events;
    ev_io_set(&conn->io, conn->fd, events);
    if (events) {
        ev_io_start(loop, &conn->io);
    }
}

static void
set_timer(Conn *conn, LrTime after)
{
    LrLoopTimers_Set(conn->callers->config.timers, &conn->timer,
                     LrClock_Now() + after);
}

static void
start_lingering(Conn *conn)
{
    conn->state = CONN_LINGERING;
    shutdown(conn->fd, SHUT_WR);
    watch_events(conn, EV_READ);
    set_timer(conn, LINGER);
}

static void
start_reading(Conn *conn)
{
    conn->state = CONN_READING;
    conn->continue_sent = false;
    LrHttpMessage_Reset(conn->message);
    watch_events(conn, EV_READ);
    set_timer(conn, conn->callers->limits.idle_timeout);
}

/* Writes what the socket takes; false when the connection was closed. */
static bool
flush(Conn *conn)
{
    size_t left = conn->out->len - conn->n_written;
    ssize_t sent = send(conn->fd, conn->out->data + conn->n_written, left,
                        MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        close_conn(conn);
        return false;
    }
    conn->n_written += sent > 0 ? (size_t)sent : 0;
    if (conn->n_written < conn->out->len) {
        watch_events(conn, EV_WRITE);
        return true;
    }
    g_byte_array_set_size(conn->out, 0);
    conn->n_written = 0;
    if (conn->state != CONN_WRITING) {
        return true;
    }
    if (conn->close_after) {
        start_lingering(conn);
    }
    else {
        start_reading(conn);
    }
    return true;
}

static void
append_text(GByteArray *out, const char *text)
{
    g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

static bool
has_no_length(const Conn *conn, const GString *head)
{
    static const char no_content[] = "HTTP/1.1 204";
    static const char not_modified[] = "HTTP/1.1 304";
    return LrStr_EqualC(LrHttpMessage_Method(conn->message), "HEAD") ||
           g_str_has_prefix(head->str, no_content) ||
           g_str_has_prefix(head->str, not_modified);
}

static void
send_reply(Conn *conn, const GString *head, GBytes *body, bool close)
{
    LrStr text = LrStr_FromBytes(body);
    conn->state = CONN_WRITING;
    conn->close_after = close || conn->callers->draining ||
                        !LrHttpMessage_KeepsAlive(conn->message);
    g_byte_array_append(conn->out, (const guint8 *)head->str,
                        (guint)head->len);
    if (!has_no_length(conn, head)) {
        char line[48];
        g_snprintf(line, sizeof(line), "Content-Length: %zu\r\n", text.len);
        append_text(conn->out, line);
    }
    if (conn->close_after) {
        append_text(conn->out, "Connection: close\r\n");
    }
    append_text(conn->out, "\r\n");
    if (!LrStr_EqualC(LrHttpMessage_Method(conn->message), "HEAD")) {
        g_byte_array_append(conn->out, (const guint8 *)text.ptr,
                            (guint)text.len);
    }
    if (body) {
        g_bytes_unref(body);
    }
    set_timer(conn, conn->callers->limits.idle_timeout);
    flush(conn);
}

void
LrCallerExchange_Reply(LrCallerExchange *call, const GString *head,
                       GBytes *body, bool close)
{
    Conn *conn = call->conn;
    send_reply(conn, head, body, close);
    if (!conn->closed && conn->state == CONN_READING) {
        pump(conn);
    }
}

static void
refuse(Conn *conn, unsigned status)
{
    LrCallerServerHandler *handler = &conn->callers->config.handler;
    GString *head = g_string_new(NULL);
    LrCounters_Add(conn->callers->config.counters, LR_COUNT_CALLER_ERRORS, 1);
    handler->refuse(handler->data, status, head);
    send_reply(conn, head, NULL, true);
    g_string_free(head, TRUE);
}

static unsigned
status_of(LrHttpState state)
{
    static const unsigned statuses[] = {
        [LR_HTTP_MALFORMED] = 400,
        [LR_HTTP_HEAD_TOO_LARGE] = 431,
        [LR_HTTP_BODY_TOO_LARGE] = 413,
    };
    return statuses[state];
}

static void
send_continue(Conn *conn)
{
    LrStr expect = LrHttpMessage_Header(conn->message, "Expect");
    if (conn->continue_sent || !LrHttpHeader_IsNamed(expect, "100-continue")) {
        return;
    }
    conn->continue_sent = true;
    append_text(conn->out, "HTTP/1.1 100 Continue\r\n\r\n");
    flush(conn);
}

static void
hand_over(Conn *conn)
{
    LrCallerServerHandler *handler = &conn->callers->config.handler;
    conn->state = CONN_BUSY;
    conn->call = (LrCallerExchange){.conn = conn, .arrived_at = LrClock_Now()};
    LrLoopTimers_Clear(conn->callers->config.timers, &conn->timer);
    handler->request(handler->data, &conn->call);
}

/* Parses the bytes that were received and dispatches their requests. */
static void
pump(Conn *conn)
{
    while (!conn->closed && conn->state == CONN_READING &&
           conn->ahead->len > 0) {
        bool started = LrHttpMessage_IsStarted(conn->message);
        size_t used;
        LrHttpState state =
            LrHttpMessage_Feed(conn->message, (const char *)conn->ahead->data,
                               conn->ahead->len, &used);
        g_byte_array_remove_range(conn->ahead, 0, (guint)used);
        if (!started) {
            set_timer(conn, conn->callers->limits.receive_timeout);
        }
        if (state == LR_HTTP_COMPLETE) {
            hand_over(conn);
        }
        else if (state != LR_HTTP_PARTIAL) {
            refuse(conn, status_of(state));
        }
        else if (LrHttpMessage_HasHead(conn->message)) {
            send_continue(conn);
        }
    }
}

static void
on_end(Conn *conn)
{
    LrCallerServer *callers = conn->callers;
    if (conn->state == CONN_BUSY) {
        LrCounters_Add(callers->config.counters, LR_COUNT_CALLER_GONE, 1);
        callers->config.handler.caller_gone(callers->config.handler.data,
                                            &conn->call);
    }
    close_conn(conn);
}

static void
on_readable(Conn *conn)
{
    guint8 chunk[READ_CHUNK];
    ssize_t got = recv(conn->fd, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (got <= 0) {
        on_end(conn);
        return;
    }
    if (conn->state == CONN_LINGERING) {
        return;
    }
    g_byte_array_append(conn->ahead, chunk, (guint)got);
    if (conn->state == CONN_READING) {
        pump(conn);
    }
    else if (conn->ahead->len > MAX_AHEAD) {
        watch_events(conn, conn->events & ~EV_READ);
    }
}

static void
on_ready(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    Conn *conn = io->data;
    free_closed(conn->callers);
    if (events & EV_WRITE) {
        if (flush(conn) && conn->state == CONN_READING) {
            pump(conn);
        }
    }
    if (!conn->closed && (events & EV_READ)) {
        on_readable(conn);
    }
}

static void
on_timer(void *data, LrTime now)
{
    (void)now;
    Conn *conn = data;
    if (conn->state == CONN_READING &&
        LrHttpMessage_IsStarted(conn->message)) {
        refuse(conn, 408);
        return;
    }
    close_conn(conn);
}

static void
add_conn(LrCallerServer *callers, int fd)
{
    LrSocket_DisableNagle(fd);
    Conn *conn = g_new0(Conn, 1);
    conn->callers = callers;
    conn->fd = fd;
    conn->message = LrHttpMessage_NewRequest();
    LrHttpMessage_SetLimits(conn->message, callers->limits.max_head_bytes,
                            callers->limits.max_body_bytes);
    conn->ahead = g_byte_array_new();
    conn->out = g_byte_array_new();
    conn->timer = (LrTimer){.func = on_timer, .data = conn};
    ev_io_init(&conn->io, on_ready, fd, 0);
    conn->io.data = conn;
    TAILQ_INSERT_TAIL(&callers->conns, conn, of_callers);
    callers->n_open++;
    start_reading(conn);
}

static void
on_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    LrCallerServer *callers = io->data;
    for (int i = 0; i < ACCEPTS_A_TURN; i++) {
        int fd = accept4(callers->listener, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (callers->n_open >= callers->config.max_connections) {
            LR_LOG(callers->config.log, LOG_WARNING, "caller_turned_away",
                   LrLog_CStr("why", "too many connections"),
                   LrLog_Int("open", (int64_t)callers->n_open));
            close(fd);
            continue;
        }
        add_conn(callers, fd);
    }
}

LrCallerServer *
LrCallerServer_New(const LrCallerServerConfig *config, GError **error)
{
    int listener = LrSocket_Listen(config->address, BACKLOG, error);
    if (listener < 0) {
        return NULL;
    }
    LrCallerServer *callers = g_new0(LrCallerServer, 1);
    callers->config = *config;
    callers->listener = listener;
    TAILQ_INIT(&callers->conns);
    TAILQ_INIT(&callers->closed);
    ev_io_init(&callers->acceptable, on_acceptable, listener, EV_READ);
    callers->acceptable.data = callers;
    ev_io_start(config->loop, &callers->acceptable);
    return callers;
}

void
LrCallerServer_SetLimits(LrCallerServer *callers, const LrCallerLimits *limits)
{
    callers->limits = *limits;
    Conn *conn;
    TAILQ_FOREACH(conn, &callers->conns, of_callers)
    {
        LrHttpMessage_SetLimits(conn->message, limits->max_head_bytes,
                                limits->max_body_bytes);
    }
}

void
LrCallerServer_SetDraining(LrCallerServer *callers, bool draining)
{
    callers->draining = draining;
}

static void
stop_listening(LrCallerServer *callers)
{
    if (callers->listener < 0) {
        return;
    }
    ev_io_stop(callers->config.loop, &callers->acceptable);
    close(callers->listener);
    callers->listener = -1;
}

static bool
is_idle(const Conn *conn)
{
    return conn->state == CONN_READING &&
           !LrHttpMessage_IsStarted(conn->message);
}

void
LrCallerServer_Quiesce(LrCallerServer *callers)
{
    Conn *conn;
    Conn *next;
    stop_listening(callers);
    TAILQ_FOREACH_SAFE(conn, &callers->conns, of_callers, next)
    {
        if (is_idle(conn)) {
            start_lingering(conn);
        }
    }
}

size_t
LrCallerServer_CountBusy(const LrCallerServer *callers)
{
    size_t n = 0;
    const Conn *conn;
    TAILQ_FOREACH(conn, &callers->conns, of_callers)
    {
        n += !is_idle(conn) && conn->state != CONN_LINGERING;
    }
    return n;
}

size_t
LrCallerServer_CountConnections(const LrCallerServer *callers)
{
    return callers->n_open;
}

void
LrCallerServer_Free(LrCallerServer *callers)
{
    if (!callers) {
        return;
    }
    Conn *conn;
    Conn *next;
    stop_listening(callers);
    TAILQ_FOREACH_SAFE(conn, &callers->conns, of_callers, next)
    {
        close_conn(conn);
    }
    free_closed(callers);
    g_free(callers);
}

const LrHttpMessage *
LrCallerExchange_Message(const LrCallerExchange *call)
{
    return call->conn->message;
}

GBytes *
LrCallerExchange_TakeBody(LrCallerExchange *call)
{
    return LrHttpMessage_TakeBody(call->conn->message);
}

LrTime
LrCallerExchange_ArrivedAt(const LrCallerExchange *call)
{
    return call->arrived_at;
}

void
LrCallerExchange_SetData(LrCallerExchange *call, void *data)
{
    call->data = data;
}

void *
LrCallerExchange_Data(const LrCallerExchange *call)
{
    return call->data;
}
