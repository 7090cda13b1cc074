/* The HTTP/1.1 server for callers of the routed interface, on a libev loop. */
#include "caller_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
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
    /* What is allocated for a connection besides its buffers. */
    CONN_BYTES = 2048,
    STATUS_TIMEOUT = 408,
    STATUS_UNAVAILABLE = 503,
};

/* Time for a caller to read its last answer before the connection, which is
 * shut down for writing, is closed. */
#define LINGER_TIME LR_SECOND
/* A request of which nothing was received for this long has stopped. */
#define STOPPED_AFTER LR_SECOND
/* Connections are accepted again this long after the process ran out of
 * descriptors: the listener stays readable, and would keep the loop busy. */
#define ACCEPT_PAUSE (100 * LR_MILLISECOND)

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
    /* Bytes at the start of input that are parsed already. */
    size_t n_parsed;
    GByteArray *output;
    size_t n_written;
    /* Allocated bytes of input and output. */
    size_t input_bytes;
    size_t output_bytes;
    bool close_after;
    bool head_seen;
    /* parse_requests runs: an answer must not start it again. */
    bool parsing;
    /* Input is read and dropped; the connection closes after its answer. */
    bool input_dropped;
    LrTime received_at;
    /* Bytes of the answer that the caller's host had not received when the
     * timer last looked. */
    size_t n_unsent;
    LrMemoryCharge charge;
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
    /* Ordered by when they became idle, or their request or answer began. */
    TAILQ_HEAD(, Conn) conns;
    TAILQ_HEAD(, Conn) closed;
    LrTimer accept_timer;
    /* Without a limit, where the configuration names no budget. */
    LrMemoryBudget *own_memory;
    /* Clients refused or closed for want of memory or descriptors. */
    LrLogLimit shed_limit;
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
    LrMemoryBudget_Remove(server->config.memory, &conn->charge);
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
append(GByteArray *buffer, size_t *allocated, const void *data, size_t len)
{
    g_byte_array_append(buffer, data, (guint)len);
    LrMemoryBudget_TrackGrowth(allocated, buffer->len);
}

static void
drop_input(Conn *conn)
{
    conn->n_parsed = 0;
    LrMemoryBudget_ClearBytes(&conn->input, &conn->input_bytes);
}

static void
update_charge(Conn *conn)
{
    if (conn->closed) {
        return;
    }
    LrMemoryBudget_SetBytes(conn->server->config.memory, &conn->charge,
                            CONN_BYTES + conn->input_bytes +
                                conn->output_bytes +
                                LrHttpMessage_HeldBytes(conn->message));
    /* A request that runs is not refused, but its connection's pipelined
     * requests can be. */
    conn->charge.is_protected =
        conn->state == CONN_BUSY && conn->input_bytes <= LR_MAX_KEPT_BYTES;
}

/* Notes that the connection became idle or began a request or an answer. */
static void
restart_age(Conn *conn)
{
    LrCallerServer *server = conn->server;
    conn->charge.progress_at = LrClock_Now();
    TAILQ_REMOVE(&server->conns, conn, of_server);
    TAILQ_INSERT_TAIL(&server->conns, conn, of_server);
}

static void
start_lingering(Conn *conn)
{
    conn->state = CONN_LINGERING;
    drop_input(conn);
    LrHttpMessage_DropContent(conn->message);
    shutdown(conn->fd, SHUT_WR);
    watch_events(conn, EV_READ);
    set_timer(conn, LINGER_TIME);
}

static void
start_reading(Conn *conn)
{
    conn->state = CONN_READING;
    conn->head_seen = false;
    LrHttpMessage_Reset(conn->message);
    restart_age(conn);
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
    if (sent > 0) {
        conn->n_written += (size_t)sent;
        conn->charge.progress_at = LrClock_Now();
    }
    if (conn->n_written < conn->output->len) {
        watch_events(conn, EV_WRITE);
        return true;
    }
    LrMemoryBudget_ClearBytes(&conn->output, &conn->output_bytes);
    conn->n_written = 0;
    if (conn->state != CONN_WRITING) {
        watch_events(conn, EV_READ);
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
append_text(Conn *conn, const char *text)
{
    append(conn->output, &conn->output_bytes, text, strlen(text));
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
                        conn->input_dropped ||
                        !LrHttpMessage_KeepsAlive(conn->message);
    restart_age(conn);
    append(conn->output, &conn->output_bytes, head->str, head->len);
    if (!omits_content_length(conn, head)) {
        char line[48];
        g_snprintf(line, sizeof(line), "Content-Length: %zu\r\n", text.len);
        append_text(conn, line);
    }
    if (conn->close_after) {
        append_text(conn, "Connection: close\r\n");
    }
    append_text(conn, "\r\n");
    if (!LrStr_EqualC(LrHttpMessage_Method(conn->message), "HEAD")) {
        append(conn->output, &conn->output_bytes, text.ptr, text.len);
    }
    if (body) {
        g_bytes_unref(body);
    }
    conn->n_unsent = conn->output->len;
    set_timer(conn, conn->server->limits.idle_timeout);
    flush(conn);
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

static void
report_shed(LrCallerServer *server, const char *why)
{
    uint64_t n_clients = LrLogLimit_Count(&server->shed_limit, LrClock_Now());
    if (n_clients == 0) {
        return;
    }
    LR_LOG(server->config.log, LOG_WARNING, "callers_refused",
           LrLog_CStr("why", why), LrLog_Int("clients", (int64_t)n_clients),
           LrLog_Int("open", (int64_t)server->n_open),
           LrLog_Int("held_bytes",
                     (int64_t)LrMemoryBudget_Held(server->config.memory)));
}

/* Refuses the request that is being read, and frees what it holds. */
static void
refuse_incomplete(Conn *conn)
{
    bool stopped = LrClock_Now() - conn->received_at > STOPPED_AFTER;
    refuse_request(conn, stopped ? STATUS_TIMEOUT : STATUS_UNAVAILABLE);
    if (!conn->closed) {
        drop_input(conn);
        LrHttpMessage_DropContent(conn->message);
    }
}

/* Frees most of what the connection holds: refuses its request, closes it, or
 * drops its pipelined requests while one of them runs. */
static void
shed_memory(Conn *conn)
{
    LrCallerServer *server = conn->server;
    LrCounters_Add(server->config.counters, LR_COUNT_CALLERS_OVER_MEMORY, 1);
    report_shed(server, "memory for callers is used up");
    if (conn->state == CONN_READING &&
        LrHttpMessage_IsStarted(conn->message)) {
        refuse_incomplete(conn);
    }
    else if (conn->state == CONN_BUSY) {
        conn->input_dropped = true;
        drop_input(conn);
    }
    else {
        close_conn(conn);
    }
    update_charge(conn);
}

/* Charges the connection for what it holds now. */
static void
charge_memory(Conn *conn)
{
    LrMemoryBudget *memory = conn->server->config.memory;
    LrMemoryCharge *victim;
    update_charge(conn);
    while ((victim = LrMemoryBudget_Victim(memory, LrClock_Now()))) {
        shed_memory(victim->owner);
    }
}

void
LrCallerExchange_Reply(LrCallerExchange *exchange, const GString *head,
                       GBytes *body, bool close)
{
    Conn *conn = exchange->conn;
    send_reply(conn, head, body, close);
    /* Otherwise the loop of parse_requests goes on: a recursion would be as
     * deep as there are pipelined requests. */
    if (!conn->parsing) {
        parse_requests(conn);
        charge_memory(conn);
    }
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

/* The head of a request has arrived, its body has not. */
static void
on_head(Conn *conn)
{
    LrCallerServerHandler *handler = &conn->server->config.handler;
    if (conn->head_seen) {
        return;
    }
    conn->head_seen = true;
    if (handler->needs_body &&
        !handler->needs_body(handler->data, conn->message)) {
        LrHttpMessage_DiscardBody(conn->message);
    }
    LrStr expect = LrHttpMessage_Header(conn->message, "Expect");
    if (LrHttpHeader_IsNamed(expect, "100-continue")) {
        append_text(conn, "HTTP/1.1 100 Continue\r\n\r\n");
        flush(conn);
    }
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

/* Parses what was received of one request, and dispatches it when it is
 * complete. */
static void
parse_request(Conn *conn)
{
    bool started = LrHttpMessage_IsStarted(conn->message);
    size_t used;
    LrHttpState state = LrHttpMessage_Feed(
        conn->message, (const char *)conn->input->data + conn->n_parsed,
        conn->input->len - conn->n_parsed, &used);
    conn->n_parsed += used;
    if (!started) {
        restart_age(conn);
        set_timer(conn, conn->server->limits.receive_timeout);
    }
    if (state == LR_HTTP_COMPLETE) {
        dispatch_request(conn);
    }
    else if (state != LR_HTTP_PARTIAL) {
        refuse_request(conn, error_status(state));
    }
    else if (LrHttpMessage_HasHead(conn->message)) {
        on_head(conn);
    }
}

/* Parses the bytes that were received and dispatches their requests. */
static void
parse_requests(Conn *conn)
{
    conn->parsing = true;
    while (!conn->closed && conn->state == CONN_READING &&
           conn->n_parsed < conn->input->len) {
        parse_request(conn);
    }
    conn->parsing = false;
    if (conn->n_parsed > 0) {
        g_byte_array_remove_range(conn->input, 0, (guint)conn->n_parsed);
        conn->n_parsed = 0;
    }
    if (conn->input->len == 0) {
        LrMemoryBudget_ClearBytes(&conn->input, &conn->input_bytes);
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
    if (conn->state == CONN_LINGERING || conn->input_dropped) {
        return;
    }
    conn->received_at = LrClock_Now();
    append(conn->input, &conn->input_bytes, chunk, (size_t)got);
    if (conn->state == CONN_READING) {
        parse_requests(conn);
    }
    else if (conn->input->len > MAX_PIPELINED_BYTES) {
        watch_events(conn, conn->events & ~EV_READ);
    }
    charge_memory(conn);
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
        charge_memory(conn);
    }
    if (!conn->closed && (events & EV_READ)) {
        on_readable(conn);
    }
}

/* Whether the caller received more of its answer since the last call. */
static bool
is_answer_moving(Conn *conn)
{
    int in_socket = 0;
    ioctl(conn->fd, SIOCOUTQ, &in_socket);
    size_t unsent = conn->output->len - conn->n_written + (size_t)in_socket;
    bool moving = unsent < conn->n_unsent;
    conn->n_unsent = unsent;
    return moving;
}

static void
on_timer(void *data, LrTime now)
{
    (void)now;
    Conn *conn = data;
    if (conn->state == CONN_READING &&
        LrHttpMessage_IsStarted(conn->message)) {
        refuse_request(conn, STATUS_TIMEOUT);
        update_charge(conn);
    }
    else if (conn->state == CONN_WRITING && is_answer_moving(conn)) {
        set_timer(conn, conn->server->limits.idle_timeout);
    }
    else {
        close_conn(conn);
    }
}

static Conn *
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
    conn->charge.owner = conn;
    LrMemoryBudget_Add(server->config.memory, &conn->charge, LrClock_Now());
    TAILQ_INSERT_TAIL(&server->conns, conn, of_server);
    server->n_open++;
    start_reading(conn);
    update_charge(conn);
    return conn;
}

/* The connection that was idle, or didn't complete its request, for longest;
 * of those only that read their answers, the one whose answer began first.
 * NULL when requests of all of them are running. */
static Conn *
find_evictable(const LrCallerServer *server)
{
    Conn *writing = NULL;
    Conn *conn;
    TAILQ_FOREACH(conn, &server->conns, of_server)
    {
        if (conn->state == CONN_READING || conn->state == CONN_LINGERING) {
            return conn;
        }
        if (conn->state == CONN_WRITING && !writing) {
            writing = conn;
        }
    }
    return writing;
}

/* Closes a connection so that another can be accepted; false when there is
 * none to close. */
static bool
make_room(LrCallerServer *server, const char *why)
{
    Conn *conn = find_evictable(server);
    report_shed(server, why);
    if (!conn) {
        LrCounters_Add(server->config.counters, LR_COUNT_CALLERS_TURNED_AWAY,
                       1);
        return false;
    }
    LrCounters_Add(server->config.counters, LR_COUNT_CALLERS_EVICTED, 1);
    if (conn->state == CONN_READING &&
        LrHttpMessage_IsStarted(conn->message)) {
        refuse_incomplete(conn);
    }
    close_conn(conn);
    return true;
}

static void
on_accept_timer(void *data, LrTime now)
{
    (void)now;
    LrCallerServer *server = data;
    if (server->listener >= 0) {
        ev_io_start(server->config.loop, &server->accept_watcher);
    }
}

/* The process has no descriptor left: closes a connection, or stops accepting
 * for a while. */
static void
on_descriptors_used_up(LrCallerServer *server)
{
    if (make_room(server, "no descriptors left")) {
        return;
    }
    ev_io_stop(server->config.loop, &server->accept_watcher);
    LrLoopTimers_Set(server->config.timers, &server->accept_timer,
                     LrClock_Now() + ACCEPT_PAUSE);
}

static void
on_connection(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    (void)events;
    LrCallerServer *server = io->data;
    free_closed(server);
    for (int i = 0; i < MAX_ACCEPTS_PER_EVENT; i++) {
        struct sockaddr_storage from = {.ss_family = AF_UNSPEC};
        socklen_t from_len = sizeof(from);
        int fd = accept4(server->listener, (struct sockaddr *)(void *)&from,
                         &from_len, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            /* accept fails like that also when nobody waits. Somebody did
             * when the event came, but may be accepted already. */
            if (i == 0 && (errno == EMFILE || errno == ENFILE)) {
                on_descriptors_used_up(server);
            }
            return;
        }
        bool full = server->n_open >= server->config.max_connections;
        if (full && !make_room(server, "too many connections")) {
            close(fd);
            continue;
        }
        Conn *conn = add_conn(server, fd, &from);
        if (full) {
            /* Its request may be there, and need not wait behind the next
             * connections, which may evict it. */
            on_readable(conn);
        }
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
    if (!config->memory) {
        server->own_memory = LrMemoryBudget_New(SIZE_MAX);
        server->config.memory = server->own_memory;
    }
    TAILQ_INIT(&server->conns);
    TAILQ_INIT(&server->closed);
    server->accept_timer = (LrTimer){.func = on_accept_timer, .data = server};
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
    LrLoopTimers_Clear(server->config.timers, &server->accept_timer);
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
    LrMemoryBudget_Free(server->own_memory);
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
LrCallerExchange_DropContent(LrCallerExchange *exchange)
{
    LrHttpMessage_DropContent(exchange->conn->message);
    update_charge(exchange->conn);
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
