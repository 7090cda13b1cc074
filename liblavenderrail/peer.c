/* TCP connections between daemons. A frame is a 4-byte big-endian length and
 * a msgpack message. The first frame in each direction is a hello message with
 * the protocol version. Messages that are queued on a connection are lost
 * when it breaks. Long messages have a connection of their own to each peer,
 * so that others don't wait behind them. */
#include "lavenderrail.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "socket.h"

enum {
    PROTOCOL_VERSION = 1,
    LENGTH_PREFIX_BYTES = 4,
    /* A full copy of the configuration with the entries of thousands of
     * targets takes a few megabytes. */
    MAX_FRAME_BYTES = 16 << 20,
    /* Until its hello message arrived, a connection may come from anything. */
    MAX_HELLO_BYTES = 4096,
    /* All partly received frames together. */
    MAX_BUFFERED_BYTES = 16 << 20,
    /* Larger input buffers are freed when they are empty. */
    MAX_KEPT_INPUT_BYTES = 65536,
    MAX_UNSENT_BYTES = 64 << 20,
    READ_CHUNK_BYTES = 65536,
    LISTEN_BACKLOG = 256,
    MAX_CONNECTIONS = 4096,
    /* Accepted connections without a hello message; the oldest is closed for
     * a newer one. All peers of a large fleet may connect at once when it
     * starts. */
    MAX_STRANGERS = 256,
    /* Messages from this length on go over the connection for long ones. */
    MIN_LONG_FRAME_BYTES = 16 << 10,
    /* Send buffer of that connection: bounds what the network holds of it, and
     * with it the time that packets of others wait, without limiting the rate
     * between regions (26 Mbit/s at 20 ms). */
    LONG_SEND_BUFFER_BYTES = 64 << 10,
};

#define IDLE_TIMEOUT (60 * LR_SECOND)
#define IDLE_CHECK_SECONDS 1.0
/* A peer sends its hello message as soon as it is connected. */
#define HELLO_TIMEOUT (10 * LR_SECOND)
/* A frame has to be complete this long after its first byte. The largest one
 * takes ten seconds on a slow link of 14 Mbit/s. */
#define FRAME_TIMEOUT (30 * LR_SECOND)
/* A long frame of which nothing has arrived for this time may not come. */
#define RECEIVE_PAUSE LR_SECOND

typedef struct Connection {
    LrPeers *peers;
    int fd;
    /* Of the peer, for connections that this daemon opened. */
    char *address;
    /* For long messages. */
    bool is_long;
    ev_io read_watcher;
    ev_io write_watcher;
    GByteArray *in;
    GByteArray *out;
    size_t n_written;
    bool connecting;
    bool hello_received;
    LrTime accepted_at;
    /* When the first byte of the frame in the input arrived. */
    LrTime frame_began_at;
    /* Largest frame since the input buffer was allocated. */
    uint32_t largest_frame;
    LrTime last_used_at;
    TAILQ_ENTRY(Connection) of_peers;
} Connection;

struct LrPeers {
    LrPeersConfig config;
    int listener;
    ev_io accept_watcher;
    ev_timer idle_timer;
    /* Connections that this daemon opened, by address. */
    GHashTable *outgoing;
    GHashTable *outgoing_long;
    TAILQ_HEAD(, Connection) connections;
    unsigned n_connections;
    /* Accepted connections without a hello message. */
    unsigned n_strangers;
    /* Bytes in the inputs of all connections. */
    size_t n_buffered;
    LrLogLimit rejected_limit;
};

static bool
is_stranger(const Connection *connection)
{
    return !connection->address && !connection->hello_received;
}

static GHashTable *
outgoing_table(const LrPeers *peers, bool is_long)
{
    return is_long ? peers->outgoing_long : peers->outgoing;
}

static void
close_connection(Connection *connection)
{
    LrPeers *peers = connection->peers;
    peers->n_strangers -= is_stranger(connection);
    ev_io_stop(peers->config.loop, &connection->read_watcher);
    ev_io_stop(peers->config.loop, &connection->write_watcher);
    close(connection->fd);
    TAILQ_REMOVE(&peers->connections, connection, of_peers);
    peers->n_connections--;
    peers->n_buffered -= connection->in->len;
    char *address = connection->address;
    bool is_long = connection->is_long;
    if (address) {
        g_hash_table_remove(outgoing_table(peers, is_long), address);
    }
    g_byte_array_unref(connection->in);
    g_byte_array_unref(connection->out);
    g_free(connection);
    if (address && !is_long) {
        peers->config.on_disconnect(peers->config.data, LrStr_FromC(address));
    }
    g_free(address);
}

/* Closes the connection of a peer that violates the protocol. */
static void
reject_connection(Connection *connection, const char *why)
{
    LrPeers *peers = connection->peers;
    uint64_t n_rejected =
        LrLogLimit_Count(&peers->rejected_limit, LrClock_Now());
    LrCounters_Add(peers->config.counters, LR_COUNT_PEER_ERRORS, 1);
    if (n_rejected > 0) {
        LR_LOG(peers->config.log, LOG_WARNING, "peer_rejected",
               LrLog_CStr("peer", connection->address ? connection->address
                                                      : "incoming"),
               LrLog_CStr("why", why), LrLog_Int("bytes", connection->in->len),
               LrLog_Int("rejected", (int64_t)n_rejected));
    }
    close_connection(connection);
}

static bool
read_hello(Connection *connection, LrStr frame)
{
    LrArena *arena = LrArena_New();
    LrHelloMsg hello;
    bool stranger = is_stranger(connection);
    connection->hello_received =
        LrRecord_Unpack(&LrHelloMsg_Descriptor, frame, &hello, arena, NULL);
    connection->peers->n_strangers -= stranger && connection->hello_received;
    LrArena_Free(arena);
    return connection->hello_received;
}

/* Processes the first complete frame of the input; false when there is none
 * or the connection was closed. */
static bool
process_frame(Connection *connection)
{
    LrPeers *peers = connection->peers;
    uint32_t length_prefix;
    if (connection->in->len < LENGTH_PREFIX_BYTES) {
        return false;
    }
    memcpy(&length_prefix, connection->in->data, LENGTH_PREFIX_BYTES);
    uint32_t len = ntohl(length_prefix);
    if (len > (connection->hello_received ? (uint32_t)MAX_FRAME_BYTES
                                          : (uint32_t)MAX_HELLO_BYTES)) {
        reject_connection(connection, "frame too large");
        return false;
    }
    if (connection->in->len < LENGTH_PREFIX_BYTES + len) {
        return false;
    }
    LrStr frame = {.ptr = (const char *)connection->in->data +
                          LENGTH_PREFIX_BYTES,
                   .len = len};
    if (!connection->hello_received) {
        if (!read_hello(connection, frame)) {
            reject_connection(connection,
                              "first frame is not a valid hello message");
            return false;
        }
    }
    else if (!peers->config.on_message(peers->config.data, frame)) {
        reject_connection(connection, "malformed message");
        return false;
    }
    g_byte_array_remove_range(connection->in, 0, LENGTH_PREFIX_BYTES + len);
    peers->n_buffered -= LENGTH_PREFIX_BYTES + len;
    connection->frame_began_at = connection->last_used_at;
    connection->largest_frame = MAX(connection->largest_frame, len);
    if (connection->in->len == 0 &&
        connection->largest_frame > MAX_KEPT_INPUT_BYTES) {
        g_byte_array_unref(connection->in);
        connection->in = g_byte_array_new();
        connection->largest_frame = 0;
    }
    return true;
}

/* Limits the memory that frames without end can take: closes the connection
 * that holds most of it. */
static void
limit_buffered(LrPeers *peers)
{
    if (peers->n_buffered <= MAX_BUFFERED_BYTES) {
        return;
    }
    Connection *largest = TAILQ_FIRST(&peers->connections);
    Connection *connection;
    TAILQ_FOREACH(connection, &peers->connections, of_peers)
    {
        if (connection->in->len > largest->in->len) {
            largest = connection;
        }
    }
    reject_connection(largest, "too many bytes of incomplete frames");
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    Connection *connection = watcher->data;
    guint8 chunk[READ_CHUNK_BYTES];
    ssize_t n_read = recv(connection->fd, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (n_read < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n_read <= 0) {
        close_connection(connection);
        return;
    }
    LrPeers *peers = connection->peers;
    connection->last_used_at = LrClock_Now();
    if (connection->in->len == 0) {
        connection->frame_began_at = connection->last_used_at;
    }
    g_byte_array_append(connection->in, chunk, (guint)n_read);
    peers->n_buffered += (size_t)n_read;
    while (process_frame(connection)) {
    }
    limit_buffered(peers);
}

static bool
finish_connect(Connection *connection)
{
    int error = 0;
    socklen_t len = sizeof(error);
    getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &len);
    connection->connecting = false;
    return error == 0;
}

/* Writes as much as the socket accepts; false when the connection is
 * broken. */
static bool
flush_output(Connection *connection)
{
    size_t n_left = connection->out->len - connection->n_written;
    ssize_t n_sent =
        send(connection->fd, connection->out->data + connection->n_written,
             n_left, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n_sent < 0 && errno != EAGAIN && errno != EINTR) {
        return false;
    }
    connection->n_written += n_sent > 0 ? (size_t)n_sent : 0;
    if (connection->n_written == connection->out->len) {
        g_byte_array_set_size(connection->out, 0);
        connection->n_written = 0;
        ev_io_stop(connection->peers->config.loop, &connection->write_watcher);
    }
    return true;
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    Connection *connection = watcher->data;
    if ((connection->connecting && !finish_connect(connection)) ||
        !flush_output(connection)) {
        close_connection(connection);
    }
}

static void
append_frame(Connection *connection, const GByteArray *frame)
{
    uint32_t length_prefix = htonl(frame->len);
    g_byte_array_append(connection->out, (const guint8 *)&length_prefix,
                        LENGTH_PREFIX_BYTES);
    g_byte_array_append(connection->out, frame->data, frame->len);
    ev_io_start(connection->peers->config.loop, &connection->write_watcher);
    LrCounters_Add(connection->peers->config.counters, LR_COUNT_PEER_MESSAGES,
                   1);
    LrCounters_Add(connection->peers->config.counters, LR_COUNT_PEER_BYTES,
                   LENGTH_PREFIX_BYTES + frame->len);
}

static void
send_hello(Connection *connection)
{
    LrHelloMsg hello = {
        .protocol = PROTOCOL_VERSION,
        .name = connection->peers->config.name,
        .incarnation = connection->peers->config.incarnation,
    };
    GByteArray *frame = g_byte_array_new();
    LrRecord_Pack(&LrHelloMsg_Descriptor, &hello, frame);
    append_frame(connection, frame);
    g_byte_array_unref(frame);
}

static Connection *
add_connection(LrPeers *peers, int fd, LrStr address, bool is_long)
{
    LrSocket_DisableNagle(fd);
    LrSocket_EnableKeepAlive(fd);
    Connection *connection = g_new0(Connection, 1);
    connection->peers = peers;
    connection->fd = fd;
    connection->in = g_byte_array_new();
    connection->out = g_byte_array_new();
    connection->last_used_at = LrClock_Now();
    connection->accepted_at = connection->last_used_at;
    ev_io_init(&connection->read_watcher, on_readable, fd, EV_READ);
    connection->read_watcher.data = connection;
    ev_io_init(&connection->write_watcher, on_writable, fd, EV_WRITE);
    connection->write_watcher.data = connection;
    ev_io_start(peers->config.loop, &connection->read_watcher);
    TAILQ_INSERT_TAIL(&peers->connections, connection, of_peers);
    peers->n_connections++;
    if (address.len > 0) {
        connection->address = LrStr_Dup(address);
        connection->is_long = is_long;
        g_hash_table_insert(outgoing_table(peers, is_long),
                            connection->address, connection);
    }
    peers->n_strangers += is_stranger(connection);
    send_hello(connection);
    return connection;
}

static Connection *
open_connection(LrPeers *peers, LrStr address, bool is_long)
{
    int fd = peers->n_connections < MAX_CONNECTIONS
                 ? LrSocket_Connect(address, LrStr_FromC(""))
                 : -1;
    if (fd < 0) {
        return NULL;
    }
    if (is_long) {
        LrSocket_LimitSendBuffer(fd, LONG_SEND_BUFFER_BYTES);
    }
    Connection *connection = add_connection(peers, fd, address, is_long);
    connection->connecting = true;
    return connection;
}

static Connection *
get_outgoing_connection(LrPeers *peers, LrStr address, bool is_long)
{
    g_autofree char *key = LrStr_Dup(address);
    Connection *connection =
        g_hash_table_lookup(outgoing_table(peers, is_long), key);
    return connection ? connection : open_connection(peers, address, is_long);
}

static bool
send_frame(LrPeers *peers, LrStr address, const GByteArray *frame,
           bool is_long)
{
    Connection *connection = get_outgoing_connection(peers, address, is_long);
    if (!connection || connection->out->len > MAX_UNSENT_BYTES) {
        return false;
    }
    append_frame(connection, frame);
    connection->last_used_at = LrClock_Now();
    /* Writes without waiting for the event loop: handling the current event
     * may take longer than the network does. A broken connection is closed by
     * its watcher. */
    if (!connection->connecting) {
        flush_output(connection);
    }
    return true;
}

bool
LrPeers_SendUnordered(LrPeers *peers, LrStr address, const GByteArray *frame)
{
    return send_frame(peers, address, frame,
                      frame->len >= MIN_LONG_FRAME_BYTES);
}

bool
LrPeers_Send(LrPeers *peers, LrStr address, const LrRecordDescriptor *spec,
             const void *message)
{
    GByteArray *frame = g_byte_array_new();
    LrRecord_Pack(spec, message, frame);
    bool sent = send_frame(peers, address, frame, false);
    g_byte_array_unref(frame);
    return sent;
}

/* Closes the oldest accepted connection without a hello message; false when
 * there is none. */
static bool
close_oldest_stranger(LrPeers *peers)
{
    Connection *connection;
    TAILQ_FOREACH(connection, &peers->connections, of_peers)
    {
        if (is_stranger(connection)) {
            LrCounters_Add(peers->config.counters, LR_COUNT_PEER_ERRORS, 1);
            close_connection(connection);
            return true;
        }
    }
    return false;
}

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    LrPeers *peers = watcher->data;
    int fd =
        accept4(peers->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        bool used_up = errno == EMFILE || errno == ENFILE;
        if (used_up && !close_oldest_stranger(peers)) {
            /* The idle check starts it again: the listener stays readable,
             * and would keep the loop busy. */
            ev_io_stop(loop, watcher);
        }
        return;
    }
    if (peers->n_strangers >= MAX_STRANGERS) {
        close_oldest_stranger(peers);
    }
    if (peers->n_connections >= MAX_CONNECTIONS) {
        close(fd);
        return;
    }
    add_connection(peers, fd, LrStr_FromC(""), false);
}

static void
on_idle_check(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    LrPeers *peers = timer->data;
    LrTime now = LrClock_Now();
    ev_io_start(peers->config.loop, &peers->accept_watcher);
    Connection *connection;
    Connection *next;
    TAILQ_FOREACH_SAFE(connection, &peers->connections, of_peers, next)
    {
        if (connection->in->len > 0 &&
            now - connection->frame_began_at > FRAME_TIMEOUT) {
            reject_connection(connection, "frame is not completed in time");
        }
        else if (is_stranger(connection) &&
                 now - connection->accepted_at > HELLO_TIMEOUT) {
            reject_connection(connection, "no hello message in time");
        }
        else if (now - connection->last_used_at > IDLE_TIMEOUT) {
            close_connection(connection);
        }
    }
}

LrPeers *
LrPeers_New(const LrPeersConfig *config, GError **error)
{
    int listener = LrSocket_Listen(config->listen, LISTEN_BACKLOG, error);
    if (listener < 0) {
        return NULL;
    }
    LrPeers *peers = g_new0(LrPeers, 1);
    peers->config = *config;
    peers->listener = listener;
    peers->outgoing = g_hash_table_new(g_str_hash, g_str_equal);
    peers->outgoing_long = g_hash_table_new(g_str_hash, g_str_equal);
    TAILQ_INIT(&peers->connections);
    ev_io_init(&peers->accept_watcher, on_accept, listener, EV_READ);
    peers->accept_watcher.data = peers;
    ev_io_start(config->loop, &peers->accept_watcher);
    ev_timer_init(&peers->idle_timer, on_idle_check, IDLE_CHECK_SECONDS,
                  IDLE_CHECK_SECONDS);
    peers->idle_timer.data = peers;
    ev_timer_start(config->loop, &peers->idle_timer);
    return peers;
}

void
LrPeers_Free(LrPeers *peers)
{
    if (!peers) {
        return;
    }
    Connection *connection;
    Connection *next;
    TAILQ_FOREACH_SAFE(connection, &peers->connections, of_peers, next)
    {
        close_connection(connection);
    }
    ev_io_stop(peers->config.loop, &peers->accept_watcher);
    ev_timer_stop(peers->config.loop, &peers->idle_timer);
    close(peers->listener);
    g_hash_table_unref(peers->outgoing);
    g_hash_table_unref(peers->outgoing_long);
    g_free(peers);
}

bool
LrPeers_IsReceivingLong(const LrPeers *peers, LrTime since, LrTime now)
{
    const Connection *connection;
    TAILQ_FOREACH(connection, &peers->connections, of_peers)
    {
        if (connection->in->len >= MIN_LONG_FRAME_BYTES &&
            connection->frame_began_at >= since &&
            now - connection->last_used_at < RECEIVE_PAUSE) {
            return true;
        }
    }
    return false;
}

size_t
LrPeers_Count(const LrPeers *peers)
{
    return peers->n_connections;
}
