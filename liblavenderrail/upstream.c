/* Connection pools towards targets, on a libev loop. */
#include "upstream.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <ev.h>

#include "socket.h"

enum { READ_CHUNK_BYTES = 65536 };

/* An idle connection is closed this long before the target would close it. */
#define KEEP_ALIVE_MARGIN (300 * LR_MILLISECOND)
/* Used where a target's response gives no keep-alive timeout. */
#define DEFAULT_KEEP_ALIVE_TIMEOUT (500 * LR_MILLISECOND)

typedef enum {
    CONN_CONNECTING,
    CONN_ACTIVE,
    CONN_IDLE,
} ConnState;

typedef struct Conn Conn;

typedef struct {
    LrStr key;
    TAILQ_HEAD(, Conn) idle;
    size_t n_idle;
    size_t n_open;
} Pool;

struct LrUpstreamRequest {
    LrUpstream *upstream;
    LrUpstreamSpec spec;
    Conn *conn;
    /* Set while LrUpstream_Send runs: a failed connect or write only sets
     * failed then, and is reported from the loop. */
    bool sending;
    bool failed;
    LrTimer timer;
};

struct Conn {
    LrUpstream *upstream;
    Pool *pool;
    int fd;
    ConnState state;
    ev_io io;
    int events;
    LrUpstreamRequest *request;
    LrHttpMessage *response;
    /* Bytes of the response that were received so far. */
    size_t n_buffered;
    /* Head of the request; its body is written from the request's own copy,
     * which all attempts share. */
    GByteArray *output;
    size_t n_written;
    size_t n_to_write;
    bool reused;
    /* Its request reached its deadline. */
    bool overdue;
    /* Bytes arrived that belong to none of its requests. */
    bool must_close;
    LrTime idle_since;
    LrTime idle_timeout;
    LrTime max_idle_timeout;
    LrTimer timer;
    TAILQ_ENTRY(Conn) of_pool;
    TAILQ_ENTRY(Conn) of_upstream;
};

struct LrUpstream {
    LrUpstreamConfig config;
    GHashTable *pools;
    GString *head;
    size_t n_open;
    /* Bytes of all partly read responses. */
    size_t n_buffered;
    TAILQ_HEAD(, Conn) conns;
};

static void
free_pool(gpointer data)
{
    Pool *pool = data;
    g_free((char *)pool->key.ptr);
    g_free(pool);
}

LrUpstream *
LrUpstream_New(const LrUpstreamConfig *config)
{
    LrUpstream *upstream = g_new0(LrUpstream, 1);
    upstream->config = *config;
    upstream->head = g_string_new(NULL);
    upstream->pools = g_hash_table_new_full(LrStr_TableHash, LrStr_TableEqual,
                                            NULL, free_pool);
    TAILQ_INIT(&upstream->conns);
    return upstream;
}

static Pool *
find_or_add_pool(LrUpstream *upstream, LrStr key)
{
    Pool *pool = g_hash_table_lookup(upstream->pools, &key);
    if (pool) {
        return pool;
    }
    pool = g_new0(Pool, 1);
    pool->key = (LrStr){.ptr = LrStr_Dup(key), .len = key.len};
    TAILQ_INIT(&pool->idle);
    g_hash_table_insert(upstream->pools, &pool->key, pool);
    return pool;
}

static void
set_idle(LrUpstream *upstream, Pool *pool, size_t n_idle)
{
    pool->n_idle = n_idle;
    if (upstream->config.idle_changed) {
        upstream->config.idle_changed(upstream->config.data, pool->key,
                                      n_idle);
    }
}

static void
report_first_use(const LrUpstream *upstream, LrStr key, LrUpstreamEnd end)
{
    const LrUpstreamConfig *config = &upstream->config;
    if (config->first_used) {
        config->first_used(config->data, key, end);
    }
}

static void
set_buffered(Conn *conn, size_t n_bytes)
{
    conn->upstream->n_buffered -= conn->n_buffered;
    conn->upstream->n_buffered += n_bytes;
    conn->n_buffered = n_bytes;
}

static void
close_conn(Conn *conn)
{
    LrUpstream *upstream = conn->upstream;
    Pool *pool = conn->pool;
    if (conn->state == CONN_IDLE) {
        TAILQ_REMOVE(&pool->idle, conn, of_pool);
        set_idle(upstream, pool, pool->n_idle - 1);
    }
    set_buffered(conn, 0);
    ev_io_stop(upstream->config.loop, &conn->io);
    LrLoopTimers_Clear(upstream->config.timers, &conn->timer);
    close(conn->fd);
    TAILQ_REMOVE(&upstream->conns, conn, of_upstream);
    upstream->n_open--;
    if (--pool->n_open == 0) {
        g_hash_table_remove(upstream->pools, &pool->key);
    }
    LrHttpMessage_Free(conn->response);
    g_byte_array_unref(conn->output);
    g_free(conn);
}

static void
free_request(LrUpstreamRequest *request)
{
    LrLoopTimers_Clear(request->upstream->config.timers, &request->timer);
    if (request->spec.body) {
        g_bytes_unref(request->spec.body);
    }
    g_free((char *)request->spec.key.ptr);
    g_free((char *)request->spec.address.ptr);
    g_free(request);
}

static void
watch_events(Conn *conn, int events)
{
    if (conn->events == events) {
        return;
    }
    struct ev_loop *loop = conn->upstream->config.loop;
    ev_io_stop(loop, &conn->io);
    conn->events = events;
    ev_io_set(&conn->io, conn->fd, events);
    if (events) {
        ev_io_start(loop, &conn->io);
    }
}

/* How long an idle connection is kept: the timeout of the target's
 * Keep-Alive header, less a margin, or the default. */
static LrTime
keep_alive_timeout(const LrHttpMessage *response)
{
    static const char parameter[] = "timeout=";
    LrStr text = LrHttpMessage_Header(response, "Keep-Alive");
    const char *found =
        text.len ? g_strstr_len(text.ptr, (gssize)text.len, parameter) : NULL;
    if (!found) {
        return DEFAULT_KEEP_ALIVE_TIMEOUT;
    }
    LrStr digits = {.ptr = found + strlen(parameter)};
    const char *end = text.ptr + text.len;
    while (digits.ptr + digits.len < end &&
           g_ascii_isdigit(digits.ptr[digits.len])) {
        digits.len++;
    }
    int64_t seconds;
    if (!LrStr_ToInt(digits, &seconds) || seconds < 1 || seconds > 3600) {
        return DEFAULT_KEEP_ALIVE_TIMEOUT;
    }
    return seconds * LR_SECOND - KEEP_ALIVE_MARGIN;
}

static void
return_to_pool(Conn *conn)
{
    LrTime now = LrClock_Now();
    conn->idle_timeout =
        MIN(keep_alive_timeout(conn->response), conn->max_idle_timeout);
    conn->state = CONN_IDLE;
    conn->idle_since = now;
    LrHttpMessage_Reset(conn->response);
    TAILQ_INSERT_HEAD(&conn->pool->idle, conn, of_pool);
    set_idle(conn->upstream, conn->pool, conn->pool->n_idle + 1);
    watch_events(conn, EV_READ);
    LrLoopTimers_Set(conn->upstream->config.timers, &conn->timer,
                     now + conn->idle_timeout);
}

static bool
is_written(const Conn *conn)
{
    return conn->n_written == conn->n_to_write;
}

/* Ends the connection's request, and closes the connection or returns it to
 * its pool. */
static void
end_request(Conn *conn, LrUpstreamEnd end)
{
    LrUpstreamRequest *request = conn->request;
    conn->request = NULL;
    /* A deadline that has passed tells nothing of the connection. */
    if (!conn->reused && end != LR_UPSTREAM_TIMEOUT && !conn->overdue) {
        report_first_use(conn->upstream, conn->pool->key, end);
    }
    bool reusable = end == LR_UPSTREAM_OK && !conn->must_close &&
                    LrHttpMessage_KeepsAlive(conn->response) &&
                    is_written(conn);
    if (end != LR_UPSTREAM_OK && end != LR_UPSTREAM_TIMEOUT) {
        LrCounters_Add(conn->upstream->config.counters,
                       LR_COUNT_CONNECTIONS_BROKEN, 1);
    }
    /* The connection is not idle in the pool yet, so done can read its
     * response and send other requests meanwhile. */
    LrHttpMessage *response = end == LR_UPSTREAM_OK ? conn->response : NULL;
    request->spec.done(request->spec.data, end, response);
    free_request(request);
    if (reusable) {
        return_to_pool(conn);
    }
    else {
        close_conn(conn);
    }
}

static LrUpstreamEnd
end_if_broken(const Conn *conn)
{
    if (conn->state == CONN_CONNECTING || conn->n_written == 0) {
        return LR_UPSTREAM_NOT_SENT;
    }
    return conn->reused && !LrHttpMessage_IsStarted(conn->response)
               ? LR_UPSTREAM_STALE
               : LR_UPSTREAM_BROKEN;
}

/* Writes what is left of head and body; as send does. */
static ssize_t
write_request(const Conn *conn)
{
    const int flags = MSG_DONTWAIT | MSG_NOSIGNAL;
    size_t head_left =
        conn->output->len - MIN(conn->n_written, (size_t)conn->output->len);
    size_t body_left = conn->n_to_write - conn->n_written - head_left;
    guint8 *head = conn->output->data + conn->output->len - head_left;
    if (body_left == 0) {
        return send(conn->fd, head, head_left, flags);
    }
    LrStr body = LrStr_FromBytes(conn->request->spec.body);
    struct iovec parts[] = {
        {.iov_base = head, .iov_len = head_left},
        {.iov_base = (char *)body.ptr + body.len - body_left,
         .iov_len = body_left},
    };
    struct msghdr message = {.msg_iov = parts,
                             .msg_iovlen = G_N_ELEMENTS(parts)};
    return sendmsg(conn->fd, &message, flags);
}

/* Writes what the socket takes. False when that failed: the request has ended,
 * or is marked as failed. */
static bool
flush(Conn *conn)
{
    if (is_written(conn)) {
        watch_events(conn, EV_READ);
        return true;
    }
    ssize_t sent = write_request(conn);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        if (conn->request->sending) {
            conn->request->failed = true;
            watch_events(conn, 0);
        }
        else {
            end_request(conn, end_if_broken(conn));
        }
        return false;
    }
    conn->n_written += sent > 0 ? (size_t)sent : 0;
    watch_events(conn, is_written(conn) ? EV_READ : EV_READ | EV_WRITE);
    return true;
}

static bool
start_request(Conn *conn)
{
    LrUpstreamRequest *request = conn->request;
    LrUpstream *upstream = conn->upstream;
    conn->state = CONN_ACTIVE;
    conn->n_written = 0;
    g_byte_array_set_size(conn->output, 0);
    g_string_truncate(upstream->head, 0);
    request->spec.write_head(request->spec.data, LrClock_Now(),
                             upstream->head);
    g_byte_array_append(conn->output, (const guint8 *)upstream->head->str,
                        (guint)upstream->head->len);
    conn->n_to_write =
        conn->output->len + LrStr_FromBytes(request->spec.body).len;
    if (request->spec.bodyless) {
        LrHttpMessage_SetBodyless(conn->response);
    }
    return flush(conn);
}

/* Handles a complete response: one that belongs to the request ends it, and
 * another is discarded. False when the request ended. */
static bool
accept_response(Conn *conn)
{
    LrUpstreamRequest *request = conn->request;
    if (request->spec.matches_request(request->spec.data, conn->response)) {
        end_request(conn, LR_UPSTREAM_OK);
        return false;
    }
    LR_LOG(conn->upstream->config.log, LOG_INFO, "foreign_response",
           LrLog_Str("target", conn->pool->key),
           LrLog_Int("status", LrHttpMessage_Status(conn->response)));
    conn->must_close = true;
    LrHttpMessage_Reset(conn->response);
    if (request->spec.bodyless) {
        LrHttpMessage_SetBodyless(conn->response);
    }
    return true;
}

/* Limits the memory that responses without end can take. */
static bool
is_over_limit(const Conn *conn)
{
    const LrUpstream *upstream = conn->upstream;
    if (upstream->n_buffered <= upstream->config.max_buffered_bytes) {
        return false;
    }
    LR_LOG(upstream->config.log, LOG_WARNING, "responses_over_bound",
           LrLog_Str("target", conn->pool->key),
           LrLog_Int("bytes", (int64_t)conn->n_buffered));
    return true;
}

static void
read_response(Conn *conn, const char *data, size_t len)
{
    while (len > 0) {
        size_t used;
        LrHttpState state =
            LrHttpMessage_Feed(conn->response, data, len, &used);
        data += used;
        len -= used;
        set_buffered(conn, conn->n_buffered + used);
        if (state == LR_HTTP_PARTIAL && !is_over_limit(conn)) {
            return;
        }
        if (state != LR_HTTP_COMPLETE) {
            end_request(conn, LR_UPSTREAM_MALFORMED);
            return;
        }
        set_buffered(conn, 0);
        /* Bytes that follow a response answer no request. */
        conn->must_close |= len > 0;
        if (!accept_response(conn)) {
            return;
        }
    }
}

static void
on_connection_end(Conn *conn, bool clean_close)
{
    LrUpstreamEnd end = end_if_broken(conn);
    bool whole = clean_close && LrHttpMessage_HasHead(conn->response) &&
                 LrHttpMessage_FeedEnd(conn->response) == LR_HTTP_COMPLETE;
    if (whole && !accept_response(conn)) {
        return;
    }
    end_request(conn, end);
}

static void
on_readable(Conn *conn)
{
    static char chunk[READ_CHUNK_BYTES];
    ssize_t got = recv(conn->fd, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (conn->state == CONN_IDLE) {
        close_conn(conn);
    }
    else if (got <= 0) {
        on_connection_end(conn, got == 0);
    }
    else {
        read_response(conn, chunk, (size_t)got);
    }
}

static void
on_connected(Conn *conn)
{
    int error = 0;
    socklen_t len = sizeof(error);
    getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &len);
    if (error) {
        end_request(conn, LR_UPSTREAM_NOT_SENT);
        return;
    }
    LrLoopTimers_Clear(conn->upstream->config.timers, &conn->timer);
    start_request(conn);
}

static void
on_ready(struct ev_loop *loop, ev_io *io, int events)
{
    (void)loop;
    Conn *conn = io->data;
    if (conn->state == CONN_CONNECTING) {
        on_connected(conn);
        return;
    }
    if ((events & EV_WRITE) && !flush(conn)) {
        return;
    }
    if (events & EV_READ) {
        on_readable(conn);
    }
}

/* The idle timeout or the connect timeout has passed. */
static void
on_conn_timer(void *data, LrTime now)
{
    (void)now;
    Conn *conn = data;
    if (conn->state == CONN_IDLE) {
        close_conn(conn);
    }
    else {
        end_request(conn, LR_UPSTREAM_CONNECT_TIMEOUT);
    }
}

static void
on_request_timer(void *data, LrTime now)
{
    (void)now;
    LrUpstreamRequest *request = data;
    if (!request->conn) {
        if (request->failed) {
            report_first_use(request->upstream, request->spec.key,
                             LR_UPSTREAM_NOT_SENT);
        }
        request->spec.done(request->spec.data, LR_UPSTREAM_NOT_SENT, NULL);
        free_request(request);
        return;
    }
    Conn *conn = request->conn;
    conn->overdue = true;
    end_request(conn, LrUpstreamRequest_IsSent(request)
                          ? LR_UPSTREAM_TIMEOUT
                          : LR_UPSTREAM_NOT_SENT);
}

static Conn *
open_conn(LrUpstream *upstream, Pool *pool, LrStr address)
{
    if (upstream->n_open >= upstream->config.max_connections) {
        return NULL;
    }
    int fd = LrSocket_Connect(address, upstream->config.source);
    if (fd < 0) {
        return NULL;
    }
    LrSocket_DisableNagle(fd);
    LrSocket_EnableKeepAlive(fd);
    Conn *conn = g_new0(Conn, 1);
    conn->upstream = upstream;
    conn->pool = pool;
    conn->fd = fd;
    conn->response = LrHttpMessage_NewResponse();
    LrHttpMessage_SetLimits(conn->response, upstream->config.max_head_bytes,
                            upstream->config.max_body_bytes);
    conn->output = g_byte_array_new();
    conn->timer = (LrTimer){.func = on_conn_timer, .data = conn};
    ev_io_init(&conn->io, on_ready, fd, 0);
    conn->io.data = conn;
    watch_events(conn, EV_WRITE);
    LrLoopTimers_Set(upstream->config.timers, &conn->timer,
                     LrClock_Now() + upstream->config.connect_timeout);
    TAILQ_INSERT_TAIL(&upstream->conns, conn, of_upstream);
    upstream->n_open++;
    pool->n_open++;
    LrCounters_Add(upstream->config.counters, LR_COUNT_CONNECTIONS_OPENED, 1);
    return conn;
}

/* Takes the idle connection that was used last, so that the others reach their
 * idle timeout; NULL when there is none or it was idle for too long. */
static Conn *
take_idle(Pool *pool, LrTime max_idle)
{
    Conn *conn = TAILQ_FIRST(&pool->idle);
    if (!conn || LrClock_Now() - conn->idle_since > max_idle) {
        return NULL;
    }
    TAILQ_REMOVE(&pool->idle, conn, of_pool);
    set_idle(conn->upstream, pool, pool->n_idle - 1);
    LrLoopTimers_Clear(conn->upstream->config.timers, &conn->timer);
    conn->reused = true;
    conn->state = CONN_ACTIVE;
    LrCounters_Add(conn->upstream->config.counters,
                   LR_COUNT_CONNECTIONS_REUSED, 1);
    return conn;
}

/* Reports a write failure of LrUpstream_Send, which itself must not call
 * done. */
static void
on_send_failed(void *data, LrTime now)
{
    (void)now;
    LrUpstreamRequest *request = data;
    end_request(request->conn, end_if_broken(request->conn));
}

LrUpstreamRequest *
LrUpstream_Send(LrUpstream *upstream, const LrUpstreamSpec *spec)
{
    LrUpstreamRequest *request = g_new0(LrUpstreamRequest, 1);
    request->upstream = upstream;
    request->spec = *spec;
    request->spec.key = LrStr_Copy(spec->key);
    request->spec.address = LrStr_Copy(spec->address);
    request->spec.body = spec->body ? g_bytes_ref(spec->body) : NULL;
    request->timer = (LrTimer){.func = on_request_timer, .data = request};
    Pool *pool = find_or_add_pool(upstream, request->spec.key);
    Conn *conn = take_idle(pool, spec->max_idle_for_reuse);
    bool reused = conn != NULL;
    if (!conn) {
        conn = open_conn(upstream, pool, request->spec.address);
    }
    request->conn = conn;
    if (!conn) {
        request->failed = upstream->n_open < upstream->config.max_connections;
        if (pool->n_open == 0) {
            g_hash_table_remove(upstream->pools, &pool->key);
        }
        LrLoopTimers_Set(upstream->config.timers, &request->timer, 0);
        return request;
    }
    conn->request = request;
    conn->max_idle_timeout = spec->idle_timeout;
    LrLoopTimers_Set(upstream->config.timers, &request->timer, spec->deadline);
    if (reused) {
        request->sending = true;
        start_request(conn);
        request->sending = false;
    }
    if (request->failed) {
        request->timer.func = on_send_failed;
        LrLoopTimers_Set(upstream->config.timers, &request->timer, 0);
    }
    return request;
}

bool
LrUpstreamRequest_IsSent(const LrUpstreamRequest *request)
{
    return request->conn && request->conn->state != CONN_CONNECTING &&
           request->conn->n_written > 0;
}

void
LrUpstreamRequest_ShortenDeadline(LrUpstreamRequest *request, LrTime deadline)
{
    if (deadline >= request->spec.deadline) {
        return;
    }
    request->spec.deadline = deadline;
    if (request->timer.func == on_request_timer && request->conn) {
        LrLoopTimers_Set(request->upstream->config.timers, &request->timer,
                         deadline);
    }
}

size_t
LrUpstream_CountConnections(const LrUpstream *upstream)
{
    return upstream->n_open;
}

void
LrUpstream_Free(LrUpstream *upstream)
{
    if (!upstream) {
        return;
    }
    Conn *conn;
    Conn *next;
    TAILQ_FOREACH_SAFE(conn, &upstream->conns, of_upstream, next)
    {
        LrUpstreamRequest *request = conn->request;
        if (request) {
            conn->request = NULL;
            free_request(request);
        }
        close_conn(conn);
    }
    g_hash_table_unref(upstream->pools);
    g_string_free(upstream->head, TRUE);
    g_free(upstream);
}
