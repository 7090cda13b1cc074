/* TCP connections between daemons. A frame is a 4-byte big-endian length and
 * a msgpack message. The first frame in each direction is a hello message with
 * the protocol version. Messages that are queued on a connection are lost
 * when it breaks. */
#include "lavenderrail.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

#include "socket.h"

enum {
    PROTOCOL = 1,
    HEADER_BYTES = 4,
    MAX_FRAME = 32 << 20,
    MAX_UNSENT = 64 << 20,
    READ_CHUNK = 65536,
    BACKLOG = 256,
    MAX_LINKS = 4096,
};

#define IDLE_LIMIT (60 * LR_SECOND)
#define SWEEP_SECONDS 5.0

typedef struct Link {
    LrPeers *peers;
    int fd;
    char *address;
    ev_io readable;
    ev_io writable;
    GByteArray *in;
    GByteArray *out;
    size_t n_written;
    bool connecting;
    bool greeted;
    LrTime used_at;
    TAILQ_ENTRY(Link) of_peers;
} Link;

struct LrPeers {
    LrPeersConfig config;
    int listener;
    ev_io acceptable;
    ev_timer sweep;
    GHashTable *outgoing;
    TAILQ_HEAD(, Link) links;
    unsigned n_links;
};

static void
close_link(Link *link)
{
    LrPeers *peers = link->peers;
    ev_io_stop(peers->config.loop, &link->readable);
    ev_io_stop(peers->config.loop, &link->writable);
    close(link->fd);
    TAILQ_REMOVE(&peers->links, link, of_peers);
    peers->n_links--;
    char *address = link->address;
    if (address) {
        g_hash_table_remove(peers->outgoing, address);
    }
    g_byte_array_unref(link->in);
    g_byte_array_unref(link->out);
    g_free(link);
    if (address) {
        peers->config.on_disconnect(peers->config.data, LrStr_FromC(address));
        g_free(address);
    }
}

/* Closes the connection of a peer that violates the protocol. */
static void
reject_link(Link *link, const char *why)
{
    LrPeers *peers = link->peers;
    LrCounters_Add(peers->config.counters, LR_COUNT_PEER_ERRORS, 1);
    LR_LOG(peers->config.log, LOG_WARNING, "peer_rejected",
           LrLog_CStr("peer", link->address ? link->address : "incoming"),
           LrLog_CStr("why", why));
    close_link(link);
}

static bool
take_greeting(Link *link, LrStr frame)
{
    LrArena *arena = LrArena_New();
    LrHelloMsg hello;
    link->greeted =
        LrRecord_Unpack(&LrHelloMsg_Spec, frame, &hello, arena, NULL);
    LrArena_Free(arena);
    return link->greeted;
}

/* Processes the first complete frame of the input; false when there is none
 * or the connection was closed. */
static bool
take_frame(Link *link)
{
    LrPeers *peers = link->peers;
    uint32_t word;
    if (link->in->len < HEADER_BYTES) {
        return false;
    }
    memcpy(&word, link->in->data, HEADER_BYTES);
    uint32_t len = ntohl(word);
    if (len > MAX_FRAME) {
        reject_link(link, "frame too large");
        return false;
    }
    if (link->in->len < HEADER_BYTES + len) {
        return false;
    }
    LrStr frame = {.ptr = (const char *)link->in->data + HEADER_BYTES,
                   .len = len};
    if (!link->greeted) {
        if (!take_greeting(link, frame)) {
            reject_link(link, "first frame is not a valid hello message");
            return false;
        }
    }
    else if (!peers->config.on_message(peers->config.data, frame)) {
        reject_link(link, "malformed message");
        return false;
    }
    g_byte_array_remove_range(link->in, 0, HEADER_BYTES + len);
    return true;
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    Link *link = watcher->data;
    guint8 chunk[READ_CHUNK];
    ssize_t got = recv(link->fd, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (got <= 0) {
        close_link(link);
        return;
    }
    link->used_at = LrClock_Now();
    g_byte_array_append(link->in, chunk, (guint)got);
    while (take_frame(link)) {
    }
}

static bool
finish_connect(Link *link)
{
    int error = 0;
    socklen_t len = sizeof(error);
    getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &len);
    link->connecting = false;
    return error == 0;
}

/* Writes as much as the socket accepts; false when the connection is
 * broken. */
static bool
write_out(Link *link)
{
    size_t left = link->out->len - link->n_written;
    ssize_t sent = send(link->fd, link->out->data + link->n_written, left,
                        MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
        return false;
    }
    link->n_written += sent > 0 ? (size_t)sent : 0;
    if (link->n_written == link->out->len) {
        g_byte_array_set_size(link->out, 0);
        link->n_written = 0;
        ev_io_stop(link->peers->config.loop, &link->writable);
    }
    return true;
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    Link *link = watcher->data;
    if ((link->connecting && !finish_connect(link)) || !write_out(link)) {
        close_link(link);
    }
}

static void
append_frame(Link *link, const GByteArray *frame)
{
    uint32_t word = htonl(frame->len);
    g_byte_array_append(link->out, (const guint8 *)&word, HEADER_BYTES);
    g_byte_array_append(link->out, frame->data, frame->len);
    ev_io_start(link->peers->config.loop, &link->writable);
    LrCounters_Add(link->peers->config.counters, LR_COUNT_PEER_MESSAGES, 1);
    LrCounters_Add(link->peers->config.counters, LR_COUNT_PEER_BYTES,
                   HEADER_BYTES + frame->len);
}

static void
greet(Link *link)
{
    LrHelloMsg hello = {
        .protocol = PROTOCOL,
        .name = link->peers->config.name,
        .incarnation = link->peers->config.incarnation,
    };
    GByteArray *frame = g_byte_array_new();
    LrRecord_Pack(&LrHelloMsg_Spec, &hello, frame);
    append_frame(link, frame);
    g_byte_array_unref(frame);
}

static Link *
new_link(LrPeers *peers, int fd, LrStr address)
{
    LrSocket_DisableNagle(fd);
    LrSocket_EnableKeepAlive(fd);
    Link *link = g_new0(Link, 1);
    link->peers = peers;
    link->fd = fd;
    link->in = g_byte_array_new();
    link->out = g_byte_array_new();
    link->used_at = LrClock_Now();
    ev_io_init(&link->readable, on_readable, fd, EV_READ);
    link->readable.data = link;
    ev_io_init(&link->writable, on_writable, fd, EV_WRITE);
    link->writable.data = link;
    ev_io_start(peers->config.loop, &link->readable);
    TAILQ_INSERT_TAIL(&peers->links, link, of_peers);
    peers->n_links++;
    if (address.len > 0) {
        link->address = LrStr_Dup(address);
        g_hash_table_insert(peers->outgoing, link->address, link);
    }
    greet(link);
    return link;
}

static Link *
open_link(LrPeers *peers, LrStr address)
{
    int fd = peers->n_links < MAX_LINKS ? LrSocket_Connect(address) : -1;
    if (fd < 0) {
        return NULL;
    }
    Link *link = new_link(peers, fd, address);
    link->connecting = true;
    return link;
}

static Link *
outgoing_link(LrPeers *peers, LrStr address)
{
    g_autofree char *key = LrStr_Dup(address);
    Link *link = g_hash_table_lookup(peers->outgoing, key);
    return link ? link : open_link(peers, address);
}

bool
LrPeers_Send(LrPeers *peers, LrStr address, const LrObjectSpec *spec,
             const void *message)
{
    Link *link = outgoing_link(peers, address);
    if (!link || link->out->len > MAX_UNSENT) {
        return false;
    }
    GByteArray *frame = g_byte_array_new();
    LrRecord_Pack(spec, message, frame);
    append_frame(link, frame);
    g_byte_array_unref(frame);
    link->used_at = LrClock_Now();
    /* Writes without waiting for the event loop: handling the current event
     * may take longer than the network does. A broken connection is closed by
     * its watcher. */
    if (!link->connecting) {
        write_out(link);
    }
    return true;
}

static void
on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    LrPeers *peers = watcher->data;
    int fd =
        accept4(peers->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    if (peers->n_links >= MAX_LINKS) {
        close(fd);
        return;
    }
    new_link(peers, fd, LrStr_FromC(""));
}

static void
on_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    LrPeers *peers = timer->data;
    LrTime now = LrClock_Now();
    Link *link;
    Link *next;
    TAILQ_FOREACH_SAFE(link, &peers->links, of_peers, next)
    {
        if (now - link->used_at > IDLE_LIMIT) {
            close_link(link);
        }
    }
}

LrPeers *
LrPeers_New(const LrPeersConfig *config, GError **error)
{
    int listener = LrSocket_Listen(config->listen, BACKLOG, error);
    if (listener < 0) {
        return NULL;
    }
    LrPeers *peers = g_new0(LrPeers, 1);
    peers->config = *config;
    peers->listener = listener;
    peers->outgoing = g_hash_table_new(g_str_hash, g_str_equal);
    TAILQ_INIT(&peers->links);
    ev_io_init(&peers->acceptable, on_acceptable, listener, EV_READ);
    peers->acceptable.data = peers;
    ev_io_start(config->loop, &peers->acceptable);
    ev_timer_init(&peers->sweep, on_sweep, SWEEP_SECONDS, SWEEP_SECONDS);
    peers->sweep.data = peers;
    ev_timer_start(config->loop, &peers->sweep);
    return peers;
}

void
LrPeers_Free(LrPeers *peers)
{
    if (!peers) {
        return;
    }
    Link *link;
    Link *next;
    TAILQ_FOREACH_SAFE(link, &peers->links, of_peers, next)
    {
        close_link(link);
    }
    ev_io_stop(peers->config.loop, &peers->acceptable);
    ev_timer_stop(peers->config.loop, &peers->sweep);
    close(peers->listener);
    g_hash_table_unref(peers->outgoing);
    g_free(peers);
}

size_t
LrPeers_Count(const LrPeers *peers)
{
    return peers->n_links;
}
