/* Connection pools towards targets, on a libev loop. */
#include "upstream.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "socket.h"

enum { READ_CHUNK = 65536 };

/* An idle connection is closed this long before the target would close it. */
#define IDLE_MARGIN (300 * LR_MILLISECOND)
/* Used where a target's response gives no keep-alive timeout. */
#define IDLE_DEFAULT (500 * LR_MILLISECOND)

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
    /* LrUpstream_Send is running: a write failure only sets failed, and is
     * reported from the loop. */
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
    LrUpstreamRequest *call;
    LrHttpMessage *response;
    /* Bytes of the response that were received so far. */
    size_t n_unfinished;
    GByteArray *out;
    size_t n_written;
    bool reused;
    /* Not to be reused for another request. */
    bool spoilt;
    LrTime idle_since;
    LrTime idle_limit;
    LrTime keep;
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
    size_t n_unfinished;
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
pool_of(LrUpstream *upstream, LrStr key)
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
set_unfinished(Conn *conn, size_t n_bytes)
{
    conn->upstream->n_unfinished -= conn->n_unfinished;
    conn->upstream->n_unfinished += n_bytes;
    conn->n_unfinished = n_bytes;
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
    set_unfinished(conn, 0);
    ev_io_stop(upstream->config.loop, &conn->io);
    LrLoopTimers_Clear(upstream->config.timers, &conn->timer);
    close(conn->fd);
    TAILQ_REMOVE(&upstream->conns, conn, of_upstream);
    upstream->n_open--;
    if (--pool->n_open == 0) {
        g_hash_table_remove(upstream->pools, &pool->key);
    }
    LrHttpMessage_Free(conn->response);
    g_byte_array_unref(conn->out);
    g_free(conn);
}

static void
free_call(LrUpstreamRequest *call)
{
    LrLoopTimers_Clear(call->upstream->config.timers, &call->timer);
    if (call->spec.body) {
        g_bytes_unref(call->spec.body);
    }
    g_free((char *)call->spec.key.ptr);
    g_free((char *)call->spec.address.ptr);
    g_free(call);
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

/* How long an idle connection is kept: the timeout of the target's Keep-Alive
 * header, less a margin. */
static LrTime
idle_limit(const LrHttpMessage *response)
{
    static const char parameter[] = "timeout=";
    LrStr text = LrHttpMessage_Header(response, "Keep-Alive");
    const char *found =
        text.len ? g_strstr_len(text.ptr, (gssize)text.len, parameter) : NULL;
    if (!found) {
        return IDLE_DEFAULT;
    }
    LrStr digits = {.ptr = found + strlen(parameter)};
    const char *end = text.ptr + text.len;
    while (digits.ptr + digits.len < end &&
           g_ascii_isdigit(digits.ptr[digits.len])) {
        digits.len++;
    }
    int64_t seconds;
    if (!LrStr_ToInt(digits, &seconds) || seconds < 1 || seconds > 3600) {
        return IDLE_DEFAULT;
    }
    return seconds * LR_SECOND - IDLE_MARGIN;
}

static void
keep_conn(Conn *conn)
{
    LrTime now = LrClock_Now();
    conn->idle_limit = MIN(idle_limit(conn->response), conn->keep);
    conn->state = CONN_IDLE;
    conn->idle_since = now;
    LrHttpMessage_Reset(conn->response);
    TAILQ_INSERT_HEAD(&conn->pool->idle, conn, of_pool);
    set_idle(conn->upstream, conn->pool, conn->pool->n_idle + 1);
    watch_events(conn, EV_READ);
    LrLoopTimers_Set(conn->upstream->config.timers, &conn->timer,
                     now + conn->idle_limit);
}

/* Ends the connection's request, and closes the connection or returns it to
 * its pool. */
static void
end_call(Conn *conn, LrUpstreamEnd end)
{
    LrUpstreamRequest *call = conn->call;
    conn->call = NULL;
    bool kept = end == LR_UPSTREAM_OK && !conn->spoilt &&
                LrHttpMessage_KeepsAlive(conn->response) &&
                conn->n_written == conn->out->len;
    if (end != LR_UPSTREAM_OK && end != LR_UPSTREAM_TIMEOUT) {
        LrCounters_Add(conn->upstream->config.counters,
                       LR_COUNT_CONNECTIONS_BROKEN, 1);
    }
    /* The connection is not idle in the pool yet, so done can read its
     * response and send other requests meanwhile. */
    LrHttpMessage *response = end == LR_UPSTREAM_OK ? conn->response : NULL;
    call->spec.done(call->spec.data, end, response);
    free_call(call);
    if (kept) {
        keep_conn(conn);
    }
    else {
        close_conn(conn);
    }
}

static LrUpstreamEnd
end_of_broken(const Conn *conn)
{
    if (conn->state == CONN_CONNECTING || conn->n_written == 0) {
        return LR_UPSTREAM_NOT_SENT;
    }
    return conn->reused && !LrHttpMessage_IsStarted(conn->response)
               ? LR_UPSTREAM_STALE
               : LR_UPSTREAM_BROKEN;
}

/* Writes what the socket takes. False when that failed: the request has ended,
 * or is marked as failed. */
static bool
flush(Conn *conn)
{
    size_t left = conn->out->len - conn->n_written;
    if (left == 0) {
        watch_events(conn, EV_READ);
        return true;
    }
    ssize_t sent = send(conn->fd, conn->out->data + conn->n_written, left,
                        MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        if (conn->call->sending) {
            conn->call->failed = true;
            watch_events(conn, 0);
        }
        else {
            end_call(conn, end_of_broken(conn));
        }
        return false;
    }
    conn->n_written += sent > 0 ? (size_t)sent : 0;
    bool done = conn->n_written == conn->out->len;
    watch_events(conn, done ? EV_READ : EV_READ | EV_WRITE);
    return true;
}

static bool
start_request(Conn *conn)
{
    LrUpstreamRequest *call = conn->call;
    LrUpstream *upstream = conn->upstream;
    conn->state = CONN_ACTIVE;
    conn->n_written = 0;
    g_byte_array_set_size(conn->out, 0);
    g_string_truncate(upstream->head, 0);
    call->spec.write_head(call->spec.data, LrClock_Now(), upstream->head);
    g_byte_array_append(conn->out, (const guint8 *)upstream->head->str,
                        (guint)upstream->head->len);
    LrStr body = LrStr_FromBytes(call->spec.body);
    g_byte_array_append(conn->out, (const guint8 *)body.ptr, (guint)body.len);
    if (call->spec.bodyless) {
        LrHttpMessage_SetBodyless(conn->response);
    }
    return flush(conn);
}

/* Handles a complete response: one that belongs to the request ends it, and
 * another is discarded. False when the request ended. */
static bool
take_response(Conn *conn)
{
    LrUpstreamRequest *call = conn->call;
    if (call->spec.matches_request(call->spec.data, conn->response)) {
        end_call(conn, LR_UPSTREAM_OK);
        return false;
    }
    LR_LOG(conn->upstream->config.log, LOG_INFO, "foreign_response",
           LrLog_Str("target", conn->pool->key),
           LrLog_Int("status", LrHttpMessage_Status(conn->response)));
    conn->spoilt = true;
    LrHttpMessage_Reset(conn->response);
    if (call->spec.bodyless) {
        LrHttpMessage_SetBodyless(conn->response);
    }
    return true;
}

/* Limits the memory that responses without end can take. */
static bool
is_over_bound(const Conn *conn)
{
    const LrUpstream *upstream = conn->upstream;
    if (upstream->n_unfinished <= upstream->config.max_buffered_bytes) {
        return false;
    }
    LR_LOG(upstream->config.log, LOG_WARNING, "responses_over_bound",
           LrLog_Str("target", conn->pool->key),
           LrLog_Int("bytes", (int64_t)conn->n_unfinished));
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
        set_unfinished(conn, conn->n_unfinished + used);
        if (state == LR_HTTP_PARTIAL && !is_over_bound(conn)) {
            return;
        }
        if (state != LR_HTTP_COMPLETE) {
            end_call(conn, LR_UPSTREAM_MALFORMED);
            return;
        }
        set_unfinished(conn, 0);
        /* No request is outstanding for bytes that follow a response. */
        conn->spoilt |= len > 0;
        if (!take_response(conn)) {
            return;
        }
    }
}

static void
on_end(Conn *conn, bool in_order)
{
    LrUpstreamEnd end = end_of_broken(conn);
    bool whole = in_order && LrHttpMessage_HasHead(conn->response) &&
                 LrHttpMessage_FeedEnd(conn->response) == LR_HTTP_COMPLETE;
    if (whole && !take_response(conn)) {
        return;
    }
    end_call(conn, end);
}

static void
on_readable(Conn *conn)
{
    static char chunk[READ_CHUNK];
    ssize_t got = recv(conn->fd, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (conn->state == CONN_IDLE) {
        close_conn(conn);
    }
    else if (got <= 0) {
        on_end(conn, got == 0);
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
        end_call(conn, LR_UPSTREAM_NOT_SENT);
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
        end_call(conn, LR_UPSTREAM_NOT_SENT);
    }
}

static void
on_call_timer(void *data, LrTime now)
{
    (void)now;
    LrUpstreamRequest *call = data;
    if (!call->conn) {
        call->spec.done(call->spec.data, LR_UPSTREAM_NOT_SENT, NULL);
        free_call(call);
        return;
    }
    Conn *conn = call->conn;
    end_call(conn, LrUpstreamRequest_IsSent(call) ? LR_UPSTREAM_TIMEOUT
                                                  : LR_UPSTREAM_NOT_SENT);
}

static Conn *
open_conn(LrUpstream *upstream, Pool *pool, LrStr address)
{
    if (upstream->n_open >= upstream->config.max_connections) {
        return NULL;
    }
    int fd = LrSocket_Connect(address);
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
    conn->out = g_byte_array_new();
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
    LrUpstreamRequest *call = data;
    end_call(call->conn, end_of_broken(call->conn));
}

static LrStr
own_str(LrStr text)
{
    return (LrStr){.ptr = LrStr_Dup(text), .len = text.len};
}

LrUpstreamRequest *
LrUpstream_Send(LrUpstream *upstream, const LrUpstreamSpec *spec)
{
    LrUpstreamRequest *call = g_new0(LrUpstreamRequest, 1);
    call->upstream = upstream;
    call->spec = *spec;
    call->spec.key = own_str(spec->key);
    call->spec.address = own_str(spec->address);
    call->spec.body = spec->body ? g_bytes_ref(spec->body) : NULL;
    call->timer = (LrTimer){.func = on_call_timer, .data = call};
    Pool *pool = pool_of(upstream, call->spec.key);
    Conn *conn = take_idle(pool, spec->max_idle_for_reuse);
    bool reused = conn != NULL;
    if (!conn) {
        conn = open_conn(upstream, pool, call->spec.address);
    }
    call->conn = conn;
    if (!conn) {
        if (pool->n_open == 0) {
            g_hash_table_remove(upstream->pools, &pool->key);
        }
        LrLoopTimers_Set(upstream->config.timers, &call->timer, 0);
        return call;
    }
    conn->call = call;
    conn->keep = spec->idle_timeout;
    LrLoopTimers_Set(upstream->config.timers, &call->timer, spec->deadline);
    if (reused) {
        call->sending = true;
        start_request(conn);
        call->sending = false;
    }
    if (call->failed) {
        call->timer.func = on_send_failed;
        LrLoopTimers_Set(upstream->config.timers, &call->timer, 0);
    }
    return call;
}

bool
LrUpstreamRequest_IsSent(const LrUpstreamRequest *call)
{
    return call->conn && call->conn->state != CONN_CONNECTING &&
           call->conn->n_written > 0;
}

void
LrUpstreamRequest_ShortenDeadline(LrUpstreamRequest *call, LrTime deadline)
{
    if (deadline >= call->spec.deadline) {
        return;
    }
    call->spec.deadline = deadline;
    if (call->timer.func == on_call_timer && call->conn) {
        LrLoopTimers_Set(call->upstream->config.timers, &call->timer,
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
        LrUpstreamRequest *call = conn->call;
        if (call) {
            conn->call = NULL;
            free_call(call);
        }
        close_conn(conn);
    }
    g_hash_table_unref(upstream->pools);
    g_string_free(upstream->head, TRUE);
    g_free(upstream);
}
