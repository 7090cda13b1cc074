/* An HTTP/1.1 server: libmicrohttpd polled from a libev loop. While an
 * exchange waits for its reply its connection is suspended, and its socket is
 * watched here to detect that the client disconnects. */
#include "lavenderrail.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <microhttpd.h>

enum {
    /* Above three quarters of the connections, the oldest one that runs no
     * request is closed: at the limit itself libmicrohttpd accepts none, and a
     * crowd would keep everybody out until its connections time out. */
    EVICT_NUMERATOR = 3,
    EVICT_DENOMINATOR = 4,
    DEFAULT_CONNECTION_BYTES = 32 << 10,
};

/* A connection, as libmicrohttpd's socket context. */
typedef struct Link {
    int fd;
    /* A request was passed to the handler and is not answered. */
    bool running;
    TAILQ_ENTRY(Link) of_server;
} Link;

struct LrServer {
    LrServerConfig config;
    struct MHD_Daemon *microhttpd;
    ev_io epoll_watcher;
    ev_timer timeout_timer;
    ev_prepare resume_watcher;
    bool quiesced;
    unsigned n_open;
    TAILQ_HEAD(, LrExchange) exchanges;
    /* Connections, the oldest first, without those that were shut down. */
    TAILQ_HEAD(, Link) links;
    unsigned n_links;
    size_t n_unsent_bytes;
    LrLogLimit evicted_limit;
};

struct LrExchange {
    LrServer *server;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    GByteArray *upload;
    GBytes *request_body;
    ev_io disconnect_watcher;
    struct MHD_Response *response;
    GPtrArray *headers;
    unsigned status;
    size_t n_reply_bytes;
    bool too_large;
    bool dispatched;
    bool ended;
    void *data;
    TAILQ_ENTRY(LrExchange) of_server;
};

static void
run_microhttpd(LrServer *server)
{
    MHD_run(server->microhttpd);
    MHD_UNSIGNED_LONG_LONG ms;
    ev_timer_stop(server->config.loop, &server->timeout_timer);
    if (MHD_get_timeout(server->microhttpd, &ms) == MHD_YES) {
        ev_timer_set(&server->timeout_timer, (double)ms / 1000, 0);
        ev_timer_start(server->config.loop, &server->timeout_timer);
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    run_microhttpd(watcher->data);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    run_microhttpd(watcher->data);
}

static void
on_resumed(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)events;
    ev_prepare_stop(loop, watcher);
    run_microhttpd(watcher->data);
}

/* The socket of a suspended connection is readable. End of stream or an error
 * means that the client disconnected; data, such as a pipelined request, is
 * left to libmicrohttpd. */
static void
on_disconnect(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    LrExchange *exchange = watcher->data;
    char byte;
    ssize_t got = recv(watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    ev_io_stop(loop, watcher);
    if (got > 0) {
        return;
    }
    LrServer *server = exchange->server;
    server->config.handler.caller_gone(server->config.handler.data, exchange);
    LrExchange_Drop(exchange);
}

static Link *
link_of(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info ? info->socket_context : NULL;
}

static void
set_running(LrExchange *exchange, bool running)
{
    Link *link = link_of(exchange->connection);
    if (link) {
        link->running = running;
    }
}

static void
report_evicted(LrServer *server)
{
    uint64_t n_clients =
        LrLogLimit_Count(&server->evicted_limit, LrClock_Now());
    LrCounters_Add(server->config.counters, LR_COUNT_CALLERS_EVICTED, 1);
    if (n_clients == 0) {
        return;
    }
    LR_LOG(server->config.log, LOG_WARNING, "connections_evicted",
           LrLog_Str("listen", server->config.address),
           LrLog_Int("clients", (int64_t)n_clients));
}

static void
remove_link(LrServer *server, Link *link)
{
    TAILQ_REMOVE(&server->links, link, of_server);
    server->n_links--;
}

/* Shuts the oldest connection without a running request down, which makes
 * libmicrohttpd close it. */
static void
evict_oldest(LrServer *server)
{
    Link *link;
    TAILQ_FOREACH(link, &server->links, of_server)
    {
        if (!link->running) {
            report_evicted(server);
            shutdown(link->fd, SHUT_RDWR);
            remove_link(server, link);
            link->fd = -1;
            return;
        }
    }
}

static void
on_connection_state(void *data, struct MHD_Connection *connection,
                    void **context, enum MHD_ConnectionNotificationCode code)
{
    LrServer *server = data;
    Link *link = *context;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        if (link && link->fd >= 0) {
            remove_link(server, link);
        }
        g_free(link);
        *context = NULL;
        return;
    }
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    link = g_new0(Link, 1);
    link->fd = info->connect_fd;
    *context = link;
    TAILQ_INSERT_TAIL(&server->links, link, of_server);
    server->n_links++;
    if (server->n_links >
        server->config.max_connections * EVICT_NUMERATOR / EVICT_DENOMINATOR) {
        evict_oldest(server);
    }
}

static LrExchange *
new_exchange(LrServer *server, struct MHD_Connection *connection,
             const char *url, const char *method)
{
    LrExchange *exchange = g_new0(LrExchange, 1);
    exchange->server = server;
    exchange->connection = connection;
    exchange->method = g_strdup(method);
    exchange->path = g_strdup(url);
    exchange->upload = g_byte_array_new();
    exchange->headers = g_ptr_array_new_with_free_func(g_free);
    server->n_open++;
    TAILQ_INSERT_TAIL(&server->exchanges, exchange, of_server);
    return exchange;
}

static void
watch_disconnect(LrExchange *exchange)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    ev_io_init(&exchange->disconnect_watcher, on_disconnect, info->connect_fd,
               EV_READ);
    exchange->disconnect_watcher.data = exchange;
    ev_io_start(exchange->server->config.loop, &exchange->disconnect_watcher);
}

static enum MHD_Result
send_response(LrExchange *exchange)
{
    struct MHD_Response *response = exchange->response;
    if (!response) {
        return MHD_NO;
    }
    exchange->response = NULL;
    enum MHD_Result result =
        MHD_queue_response(exchange->connection, exchange->status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
refuse_large(LrExchange *exchange)
{
    static char text[] = "{\"error\":\"request body too large\"}\n";
    exchange->response = MHD_create_response_from_buffer(
        sizeof(text) - 1, text, MHD_RESPMEM_PERSISTENT);
    exchange->status = MHD_HTTP_CONTENT_TOO_LARGE;
    exchange->ended = true;
    return send_response(exchange);
}

static void
collect_body(LrExchange *exchange, const char *upload, size_t *upload_size)
{
    size_t total = exchange->upload->len + *upload_size;
    if (total > exchange->server->config.max_body_bytes) {
        exchange->too_large = true;
    }
    else {
        g_byte_array_append(exchange->upload, (const guint8 *)upload,
                            (guint)*upload_size);
    }
    *upload_size = 0;
}

static void
dispatch_request(LrExchange *exchange)
{
    LrServer *server = exchange->server;
    exchange->dispatched = true;
    set_running(exchange, true);
    exchange->request_body =
        g_byte_array_free_to_bytes(g_steal_pointer(&exchange->upload));
    MHD_suspend_connection(exchange->connection);
    watch_disconnect(exchange);
    server->config.handler.request(server->config.handler.data, exchange);
}

static enum MHD_Result
on_access(void *data, struct MHD_Connection *connection, const char *url,
          const char *method, const char *version, const char *upload,
          size_t *upload_size, void **state)
{
    (void)version;
    LrServer *server = data;
    LrExchange *exchange = *state;
    if (!exchange) {
        *state = new_exchange(server, connection, url, method);
        return MHD_YES;
    }
    if (exchange->ended) {
        return send_response(exchange);
    }
    if (*upload_size > 0) {
        collect_body(exchange, upload, upload_size);
        return MHD_YES;
    }
    if (exchange->too_large) {
        return refuse_large(exchange);
    }
    if (!exchange->dispatched) {
        dispatch_request(exchange);
    }
    return MHD_YES;
}

static void
on_completed(void *data, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    (void)data;
    (void)connection;
    (void)code;
    LrExchange *exchange = *state;
    if (!exchange) {
        return;
    }
    LrServer *server = exchange->server;
    if (exchange->dispatched && !exchange->ended) {
        ev_io_stop(server->config.loop, &exchange->disconnect_watcher);
        server->config.handler.caller_gone(server->config.handler.data,
                                           exchange);
    }
    if (exchange->response) {
        MHD_destroy_response(exchange->response);
    }
    server->n_unsent_bytes -= exchange->n_reply_bytes;
    if (exchange->upload) {
        g_byte_array_unref(exchange->upload);
    }
    g_clear_pointer(&exchange->request_body, g_bytes_unref);
    g_ptr_array_unref(exchange->headers);
    TAILQ_REMOVE(&server->exchanges, exchange, of_server);
    g_free(exchange->method);
    g_free(exchange->path);
    g_free(exchange);
    server->n_open--;
    *state = NULL;
}

static bool
parse_sockaddr(LrStr address, struct sockaddr_storage *out)
{
    char host[INET6_ADDRSTRLEN];
    uint16_t port;
    if (!LrStr_ToAddress(address, host, sizeof(host), &port)) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    if (strchr(host, ':')) {
        struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;
        in6->sin6_family = AF_INET6;
        in6->sin6_port = htons(port);
        return inet_pton(AF_INET6, host, &in6->sin6_addr) == 1;
    }
    struct sockaddr_in *in4 = (struct sockaddr_in *)out;
    in4->sin_family = AF_INET;
    in4->sin_port = htons(port);
    return inet_pton(AF_INET, host, &in4->sin_addr) == 1;
}

static void
resume_connection(LrExchange *exchange)
{
    LrServer *server = exchange->server;
    exchange->ended = true;
    set_running(exchange, false);
    ev_io_stop(server->config.loop, &exchange->disconnect_watcher);
    MHD_resume_connection(exchange->connection);
    ev_prepare_start(server->config.loop, &server->resume_watcher);
}

LrServer *
LrServer_New(const LrServerConfig *config, GError **error)
{
    struct sockaddr_storage address;
    if (!parse_sockaddr(config->address, &address)) {
        g_set_error(error, LR_ERROR, LR_ERROR_ADDRESS,
                    "not an IP address and port: '%.*s'",
                    (int)config->address.len, config->address.ptr);
        return NULL;
    }
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    if (address.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    LrServer *server = g_new0(LrServer, 1);
    server->config = *config;
    TAILQ_INIT(&server->exchanges);
    TAILQ_INIT(&server->links);
    size_t connection_bytes = config->connection_bytes > 0
                                  ? config->connection_bytes
                                  : DEFAULT_CONNECTION_BYTES;
    server->microhttpd = MHD_start_daemon(
        flags, 0, NULL, NULL, on_access, server, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
        NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection_state, server,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_bytes,
        MHD_OPTION_CONNECTION_LIMIT, config->max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, config->idle_timeout_s,
        MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
    if (!server->microhttpd) {
        g_set_error(error, LR_ERROR, LR_ERROR_SOCKET,
                    "cannot listen on %.*s: %s", (int)config->address.len,
                    config->address.ptr, g_strerror(errno));
        g_free(server);
        return NULL;
    }
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->microhttpd, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&server->epoll_watcher, on_readable, info->epoll_fd, EV_READ);
    server->epoll_watcher.data = server;
    ev_io_start(config->loop, &server->epoll_watcher);
    ev_timer_init(&server->timeout_timer, on_timeout, 0, 0);
    server->timeout_timer.data = server;
    ev_prepare_init(&server->resume_watcher, on_resumed);
    server->resume_watcher.data = server;
    return server;
}

void
LrServer_Quiesce(LrServer *server)
{
    if (server->quiesced) {
        return;
    }
    server->quiesced = true;
    MHD_socket listener = MHD_quiesce_daemon(server->microhttpd);
    if (listener != MHD_INVALID_SOCKET) {
        shutdown(listener, SHUT_RDWR);
        close(listener);
    }
}

void
LrServer_Free(LrServer *server)
{
    if (!server) {
        return;
    }
    ev_io_stop(server->config.loop, &server->epoll_watcher);
    ev_timer_stop(server->config.loop, &server->timeout_timer);
    LrExchange *exchange;
    TAILQ_FOREACH(exchange, &server->exchanges, of_server)
    {
        if (exchange->dispatched && !exchange->ended) {
            server->config.handler.caller_gone(server->config.handler.data,
                                               exchange);
            resume_connection(exchange);
        }
    }
    ev_prepare_stop(server->config.loop, &server->resume_watcher);
    MHD_stop_daemon(server->microhttpd);
    g_free(server);
}

size_t
LrServer_CountExchanges(const LrServer *server)
{
    return server->n_open;
}

LrStr
LrExchange_Method(const LrExchange *exchange)
{
    return LrStr_FromC(exchange->method);
}

LrStr
LrExchange_Path(const LrExchange *exchange)
{
    return LrStr_FromC(exchange->path);
}

static LrStr
lookup_value(LrExchange *exchange, enum MHD_ValueKind kind, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(exchange->connection, kind, name);
    return LrStr_FromC(value ? value : "");
}

LrStr
LrExchange_Header(LrExchange *exchange, const char *name)
{
    return lookup_value(exchange, MHD_HEADER_KIND, name);
}

LrStr
LrExchange_Argument(LrExchange *exchange, const char *name)
{
    return lookup_value(exchange, MHD_GET_ARGUMENT_KIND, name);
}

GBytes *
LrExchange_Body(const LrExchange *exchange)
{
    return exchange->request_body;
}

void
LrExchange_SetData(LrExchange *exchange, void *data)
{
    exchange->data = data;
}

void *
LrExchange_Data(const LrExchange *exchange)
{
    return exchange->data;
}

void
LrExchange_AddHeader(LrExchange *exchange, const char *name, const char *value)
{
    g_ptr_array_add(exchange->headers, g_strdup(name));
    g_ptr_array_add(exchange->headers, g_strdup(value));
}

void
LrExchange_Reply(LrExchange *exchange, unsigned status,
                 const char *content_type, GBytes *body)
{
    LrServer *server = exchange->server;
    gsize size;
    gconstpointer bytes = g_bytes_get_data(body, &size);
    size_t limit = server->config.max_unsent_bytes;
    if (limit > 0 && server->n_unsent_bytes + size > limit &&
        server->n_unsent_bytes > 0) {
        size = 0;
        status = MHD_HTTP_SERVICE_UNAVAILABLE;
    }
    exchange->n_reply_bytes = size;
    server->n_unsent_bytes += size;
    exchange->response = MHD_create_response_from_buffer(
        size, (void *)bytes, MHD_RESPMEM_MUST_COPY);
    g_bytes_unref(body);
    MHD_add_response_header(exchange->response, "Content-Type", content_type);
    for (guint i = 0; i + 1 < exchange->headers->len; i += 2) {
        MHD_add_response_header(exchange->response,
                                exchange->headers->pdata[i],
                                exchange->headers->pdata[i + 1]);
    }
    exchange->status = status;
    resume_connection(exchange);
}

void
LrExchange_Drop(LrExchange *exchange)
{
    resume_connection(exchange);
}
