/* The HTTP/1.1 server for callers of the routed interface, on a libev loop. */
#include "caller_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "socket.h"

enum {
    LISTEN_BACKLOG = 1024,
    MAX_ACCEPTS_PER_EVENT = 64,
    READ_CHUNK_BYTES = 16384,
    /* Bytes of pipelined requests beyond which reading pauses until the
     * current one is answered. */
    MAX_PIPELINED_BYTES = 65536,
};

/* Time for a caller to read its last answer before the connection, which is
 * shut down for writing, is closed. */
#define LINGER_TIME LR_SECOND

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
    LrCallerServer *server;
    int fd;
    struct sockaddr_storage from;
    /* The struct is freed at the next event of any connection. */
    bool closed;
    ConnState state;
    ev_io io;
    int events;
    LrHttpMessage *message;
    GByteArray *input;
    GByteArray *output;
    size_t n_written;
    bool close_after;
    bool continue_sent;
    LrCallerExchange exchange;
    LrTimer timer;
    TAILQ_ENTRY(Conn) of_server;
};

struct LrCallerServer {
    LrCallerServerConfig config;
    LrCallerLimits limits;
    int listener;
    ev_io accept_watcher;
    bool draining;
    size_t n_open;
    TAILQ_HEAD(, Conn) conns;
    TAILQ_HEAD(, Conn) closed;
};

static void parse_requests(Conn *conn);

static void
free_conn(Conn *conn)
{
    LrHttpMessage_Free(conn->message);
    g_byte_array_unref(conn->input);
    g_byte_array_unref(conn->output);
    g_free(conn);
}

/* Frees the connections that were closed during earlier events. */
static void
free_closed(LrCallerServer *server)
{
    Conn *conn;
    while ((conn = TAILQ_FIRST(&server->closed))) {
        TAILQ_REMOVE(&server->closed, conn, of_server);
        free_conn(conn);
    }
}

static void
close_conn(Conn *conn)
{
    if (conn->closed) {
        return;
    }
    LrCallerServer *server = conn->server;
    conn->closed = true;
    ev_io_stop(server->config.loop, &conn->io);
    LrLoopTimers_Clear(server->config.timers, &conn->timer);
    close(conn->fd);
    TAILQ_REMOVE(&server->conns, conn, of_server);
    TAILQ_INSERT_TAIL(&server->closed, conn, of_server);
    server->n_open--;
}

static void
watch_events(Conn *conn, int events)
{
    if (conn->events == events) {
        return;
    }
    struct ev_loop *loop = conn->server->config.loop;
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
    LrLoopTimers_Set(conn->server->config.timers, &conn->timer,
                     LrClock_Now() + after);
}

static void
start_lingering(Conn *conn)
{
    conn->state = CONN_LINGERING;
    shutdown(conn->fd, SHUT_WR);
    watch_events(conn, EV_READ);
    set_timer(conn, LINGER_TIME);
}

static void
start_reading(Conn *conn)
{
    conn->state = CONN_READING;
    conn->continue_sent = false;
    LrHttpMessage_Reset(conn->message);
    watch_events(conn, EV_READ);
    set_timer(conn, conn->server->limits.idle_timeout);
}

/* Writes what the socket takes; false when the connection was closed. */
static bool
flush(Conn *conn)
{
    size_t left = conn->output->len - conn->n_written;
    ssize_t sent = send(conn->fd, conn->output->data + conn->n_written, left,
                        MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        close_conn(conn);
        return false;
    }
    conn->n_written += sent > 0 ? (size_t)sent : 0;
    if (conn->n_written < conn->output->len) {
        watch_events(conn, EV_WRITE);
        return true;
    }
    g_byte_array_set_size(conn->output, 0);
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
omits_content_length(const Conn *conn, const GString *head)
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
    conn->close_after = close || conn->server->draining ||
                        !LrHttpMessage_KeepsAlive(conn->message);
    g_byte_array_append(conn->output, (const guint8 *)head->str,
                        (guint)head->len);
    if (!omits_content_length(conn, head)) {
        char line[48];
        g_snprintf(line, sizeof(line), "Content-Length: %zu\r\n", text.len);
        append_text(conn->output, line);
    }
    if (conn->close_after) {
        append_text(conn->output, "Connection: close\r\n");
    }
    append_text(conn->output, "\r\n");
    if (!LrStr_EqualC(LrHttpMessage_Method(conn->message), "HEAD")) {
        g_byte_array_append(conn->output, (const guint8 *)text.ptr,
                            (guint)text.len);
    }
    if (body) {
        g_bytes_unref(body);
    }
    set_timer(conn, conn->server->limits.idle_timeout);
    flush(conn);
}

void
LrCallerExchange_Reply(LrCallerExchange *exchange, const GString *head,
                       GBytes *body, bool close)
{
    Conn *conn = exchange->conn;
    send_reply(conn, head, body, close);
    if (!conn->closed && conn->state == CONN_READING) {
        parse_requests(conn);
    }
}

static void
refuse_request(Conn *conn, unsigned status)
{
    LrCallerServerHandler *handler = &conn->server->config.handler;
    GString *head = g_string_new(NULL);
    LrCounters_Add(conn->server->config.counters, LR_COUNT_CALLER_ERRORS, 1);
    handler->refuse(handler->data, status, head);
    send_reply(conn, head, NULL, true);
    g_string_free(head, TRUE);
}

static unsigned
error_status(LrHttpState state)
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
    append_text(conn->output, "HTTP/1.1 100 Continue\r\n\r\n");
    flush(conn);
}

static void
dispatch_request(Conn *conn)
{
    LrCallerServerHandler *handler = &conn->server->config.handler;
    conn->state = CONN_BUSY;
    conn->exchange =
        (LrCallerExchange){.conn = conn, .arrived_at = LrClock_Now()};
    LrLoopTimers_Clear(conn->server->config.timers, &conn->timer);
    handler->request(handler->data, &conn->exchange);
}

/* Parses the bytes that were received and dispatches their requests. */
static void
parse_requests(Conn *conn)
{
    while (!conn->closed && conn->state == CONN_READING &&
           conn->input->len > 0) {
        bool started = LrHttpMessage_IsStarted(conn->message);
        size_t used;
        LrHttpState state =
            LrHttpMessage_Feed(conn->message, (const char *)conn->input->data,
                               conn->input->len, &used);
        g_byte_array_remove_range(conn->input, 0, (guint)used);
        if (!started) {
            set_timer(conn, conn->server->limits.receive_timeout);
        }
        if (state == LR_HTTP_COMPLETE) {
            dispatch_request(conn);
        }
        else if (state != LR_HTTP_PARTIAL) {
            refuse_request(conn, error_status(state));
        }
        else if (LrHttpMessage_HasHead(conn->message)) {
            send_continue(conn);
        }
    }
}

static void
on_connection_end(Conn *conn)
{
    LrCallerServer *server = conn->server;
    if (conn->state == CONN_BUSY) {
        LrCounters_Add(server->config.counters, LR_COUNT_CALLER_GONE, 1);
        server->config.handler.caller_gone(server->config.handler.data,
                                           &conn->exchange);
    }
    close_conn(conn);
}

static void
on_readable(Conn *conn)
{
    guint8 chunk[READ_CHUNK_BYTES];
    ssize_t got = recv(conn->fd, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (got <= 0) {
        on_connection_end(conn);
        return;
    }
    if (conn->state == CONN_LINGERING) {
        return;
    }
    g_byte_array_append(conn->input, chunk, (guint)got);
    if (conn->state == CONN_READING) {
        parse_requests(conn);
    }
    else if (conn->input->len > MAX_PIPELINED_BYTES) {
        watch_events(conn, conn->events & ~EV_READ);
    }
}

static void
on_ready(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    Conn *conn = io->data;
    free_closed(conn->server);
    if (events & EV_WRITE) {
        if (flush(conn) && conn->state == CONN_READING) {
            parse_requests(conn);
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
        refuse_request(conn, 408);
        return;
    }
    close_conn(conn);
}

static void
add_conn(LrCallerServer *server, int fd, const struct sockaddr_storage *from)
{
    LrSocket_DisableNagle(fd);
    Conn *conn = g_new0(Conn, 1);
    conn->server = server;
    conn->fd = fd;
    conn->from = *from;
    conn->message = LrHttpMessage_NewRequest();
    LrHttpMessage_SetLimits(conn->message, server->limits.max_head_bytes,
                            server->limits.max_body_bytes);
    conn->input = g_byte_array_new();
    conn->output = g_byte_array_new();
    conn->timer = (LrTimer){.func = on_timer, .data = conn};
    ev_io_init(&conn->io, on_ready, fd, 0);
    conn->io.data = conn;
    TAILQ_INSERT_TAIL(&server->conns, conn, of_server);
    server->n_open++;
    start_reading(conn);
}

static void
on_connection(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    LrCallerServer *server = io->data;
    for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
        struct sockaddr_storage from = {.ss_family = AF_UNSPEC};
        socklen_t from_len = sizeof(from);
        int fd = accept4(server->listener, (struct sockaddr *)(void *)&from,
                         &from_len, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (server->n_open >= server->config.max_connections) {
            LR_LOG(server->config.log, LOG_WARNING, "caller_turned_away",
                   LrLog_CStr("why", "too many connections"),
                   LrLog_Int("open", (int64_t)server->n_open));
            close(fd);
            continue;
        }
        add_conn(server, fd, &from);
    }
}

LrCallerServer *
LrCallerServer_New(const LrCallerServerConfig *config, GError **error)
{
    int listener = LrSocket_Listen(config->address, LISTEN_BACKLOG, error);
    if (listener < 0) {
        return NULL;
    }
    LrCallerServer *server = g_new0(LrCallerServer, 1);
    server->config = *config;
    server->listener = listener;
    TAILQ_INIT(&server->conns);
    TAILQ_INIT(&server->closed);
    ev_io_init(&server->accept_watcher, on_connection, listener, EV_READ);
    server->accept_watcher.data = server;
    ev_io_start(config->loop, &server->accept_watcher);
    return server;
}

void
LrCallerServer_SetLimits(LrCallerServer *server, const LrCallerLimits *limits)
{
    server->limits = *limits;
    Conn *conn;
    TAILQ_FOREACH(conn, &server->conns, of_server)
    {
        LrHttpMessage_SetLimits(conn->message, limits->max_head_bytes,
                                limits->max_body_bytes);
    }
}

void
LrCallerServer_SetDraining(LrCallerServer *server, bool draining)
{
    server->draining = draining;
}

static void
stop_listening(LrCallerServer *server)
{
    if (server->listener < 0) {
        return;
    }
    ev_io_stop(server->config.loop, &server->accept_watcher);
    close(server->listener);
    server->listener = -1;
}

static bool
is_idle(const Conn *conn)
{
    return conn->state == CONN_READING &&
           !LrHttpMessage_IsStarted(conn->message);
}

void
LrCallerServer_Quiesce(LrCallerServer *server)
{
    Conn *conn;
    Conn *next;
    stop_listening(server);
    TAILQ_FOREACH_SAFE(conn, &server->conns, of_server, next)
    {
        if (is_idle(conn)) {
            start_lingering(conn);
        }
    }
}

void
LrCallerServer_ResetConnections(LrCallerServer *server)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    Conn *conn;
    Conn *next;
    TAILQ_FOREACH_SAFE(conn, &server->conns, of_server, next)
    {
        setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close_conn(conn);
    }
    free_closed(server);
}

size_t
LrCallerServer_CountBusy(const LrCallerServer *server)
{
    size_t n = 0;
    const Conn *conn;
    TAILQ_FOREACH(conn, &server->conns, of_server)
    {
        n += !is_idle(conn) && conn->state != CONN_LINGERING;
    }
    return n;
}

size_t
LrCallerServer_CountConnections(const LrCallerServer *server)
{
    return server->n_open;
}

void
LrCallerServer_Free(LrCallerServer *server)
{
    if (!server) {
        return;
    }
    Conn *conn;
    Conn *next;
    stop_listening(server);
    TAILQ_FOREACH_SAFE(conn, &server->conns, of_server, next)
    {
        close_conn(conn);
    }
    free_closed(server);
    g_free(server);
}

const LrHttpMessage *
LrCallerExchange_Message(const LrCallerExchange *exchange)
{
    return exchange->conn->message;
}

GBytes *
LrCallerExchange_TakeBody(LrCallerExchange *exchange)
{
    return LrHttpMessage_TakeBody(exchange->conn->message);
}

LrStr
LrCallerExchange_CallerAddress(const LrCallerExchange *exchange)
{
    const struct sockaddr_storage *from = &exchange->conn->from;
    if (from->ss_family == AF_INET) {
        const struct sockaddr_in *v4 = (const void *)from;
        return (LrStr){.ptr = (const void *)&v4->sin_addr,
                       .len = sizeof(v4->sin_addr)};
    }
    if (from->ss_family == AF_INET6) {
        const struct sockaddr_in6 *v6 = (const void *)from;
        return (LrStr){.ptr = (const void *)&v6->sin6_addr,
                       .len = sizeof(v6->sin6_addr)};
    }
    return LrStr_FromC("");
}

LrTime
LrCallerExchange_ArrivedAt(const LrCallerExchange *exchange)
{
    return exchange->arrived_at;
}

void
LrCallerExchange_SetData(LrCallerExchange *exchange, void *data)
{
    exchange->data = data;
}

void *
LrCallerExchange_Data(const LrCallerExchange *exchange)
{
    return exchange->data;
}
