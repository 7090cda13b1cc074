/* An HTTP/1.1 client: libcurl's multi interface with socket actions on a libev
 * loop.
 *
 * libcurl retries a request when a reused connection turns out to be dead. The
 * body is supplied by a read callback that cannot rewind, so libcurl can never
 * send a body twice. A body that was never read was never sent. */
#include "lavenderrail.h"

#include <string.h>

#include <curl/curl.h>
#include <ev.h>

#include "socket.h"

enum {
    MAX_IDLE_HANDLES = 512,
    MAX_CACHED_CONNECTIONS = 4096,
    /* Heads, interim responses and trailers of a response. libcurl keeps them
     * all until the end of the transfer. */
    MAX_HEAD_BYTES = 64 << 10,
};

/* A transfer whose silence is too long gets this much more time: after a step
 * of the loop that took long, what has arrived is read first. */
#define UNREAD_GRACE (50 * LR_MILLISECOND)

typedef struct {
    LrClient *client;
    ev_io watcher;
} SocketWatch;

struct LrClient {
    struct ev_loop *loop;
    CURLM *multi;
    ev_timer timer;
    size_t max_body_bytes;
    GPtrArray *idle_handles;
    TAILQ_HEAD(, LrTransfer) transfers;
};

struct LrTransfer {
    LrClient *client;
    CURL *easy;
    struct curl_slist *headers;
    GBytes *body;
    size_t n_read;
    bool body_read;
    GByteArray *response;
    size_t max_body_bytes;
    size_t n_head_bytes;
    bool too_large;
    ev_timer silence_timer;
    LrTime response_timeout;
    LrTime stall_timeout;
    /* When the transfer began, or the last bytes of the body arrived. */
    LrTime heard_at;
    bool grace_given;
    LrTransferFunc done;
    void *data;
    TAILQ_ENTRY(LrTransfer) of_client;
};

static void
free_transfer(LrTransfer *transfer)
{
    LrClient *client = transfer->client;
    TAILQ_REMOVE(&client->transfers, transfer, of_client);
    ev_timer_stop(client->loop, &transfer->silence_timer);
    curl_slist_free_all(transfer->headers);
    if (client->idle_handles->len < MAX_IDLE_HANDLES) {
        curl_easy_reset(transfer->easy);
        g_ptr_array_add(client->idle_handles, transfer->easy);
    }
    else {
        curl_easy_cleanup(transfer->easy);
    }
    if (transfer->body) {
        g_bytes_unref(transfer->body);
    }
    if (transfer->response) {
        g_byte_array_unref(transfer->response);
    }
    g_free(transfer);
}

static LrTransferEnd
end_from_code(const LrTransfer *transfer, CURLcode code)
{
    if (transfer->too_large) {
        return LR_TRANSFER_TOO_LARGE;
    }
    switch (code) {
    case CURLE_OK:
        return LR_TRANSFER_OK;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_INTERFACE_FAILED:
        return transfer->body_read ? LR_TRANSFER_BROKEN : LR_TRANSFER_NOT_SENT;
    case CURLE_OPERATION_TIMEDOUT:
        return transfer->body_read || !transfer->body ? LR_TRANSFER_TIMEOUT
                                                      : LR_TRANSFER_NOT_SENT;
    default:
        return LR_TRANSFER_BROKEN;
    }
}

static void
finish_transfer(LrTransfer *transfer, CURLcode code)
{
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    LrTransferResult result = {
        .end = end_from_code(transfer, code),
        .status = (unsigned)status,
        .body =
            g_byte_array_free_to_bytes(g_steal_pointer(&transfer->response)),
        .transfer = transfer,
    };
    curl_multi_remove_handle(transfer->client->multi, transfer->easy);
    transfer->done(transfer->data, &result);
    g_bytes_unref(result.body);
    free_transfer(transfer);
}

static void
collect_finished(LrClient *client)
{
    CURLMsg *message;
    int n_left;
    while ((message = curl_multi_info_read(client->multi, &n_left))) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        char *transfer;
        CURLcode code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        finish_transfer((LrTransfer *)transfer, code);
    }
}

static void
on_socket_ready(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    SocketWatch *sock = watcher->data;
    LrClient *client = sock->client;
    int bits = 0;
    if (events & EV_READ) {
        bits |= CURL_CSELECT_IN;
    }
    if (events & EV_WRITE) {
        bits |= CURL_CSELECT_OUT;
    }
    int n_running;
    curl_multi_socket_action(client->multi, watcher->fd, bits, &n_running);
    collect_finished(client);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    LrClient *client = watcher->data;
    int n_running;
    curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
                             &n_running);
    collect_finished(client);
}

static int
on_timer_change(CURLM *multi, long timeout_ms, void *data)
{
    (void)multi;
    LrClient *client = data;
    ev_timer_stop(client->loop, &client->timer);
    if (timeout_ms >= 0) {
        ev_now_update(client->loop);
        ev_timer_set(&client->timer, (double)timeout_ms / 1000, 0);
        ev_timer_start(client->loop, &client->timer);
    }
    return 0;
}

static void
unwatch_socket(LrClient *client, SocketWatch *sock, curl_socket_t fd)
{
    if (sock) {
        ev_io_stop(client->loop, &sock->watcher);
        curl_multi_assign(client->multi, fd, NULL);
        g_free(sock);
    }
}

static int
on_socket_change(CURL *easy, curl_socket_t fd, int what, void *data,
                 void *state)
{
    (void)easy;
    LrClient *client = data;
    SocketWatch *sock = state;
    if (what == CURL_POLL_REMOVE) {
        unwatch_socket(client, sock, fd);
        return 0;
    }
    int events = 0;
    if (what != CURL_POLL_OUT) {
        events |= EV_READ;
    }
    if (what != CURL_POLL_IN) {
        events |= EV_WRITE;
    }
    if (!sock) {
        sock = g_new0(SocketWatch, 1);
        sock->client = client;
        ev_io_init(&sock->watcher, on_socket_ready, fd, events);
        sock->watcher.data = sock;
        curl_multi_assign(client->multi, fd, sock);
    }
    ev_io_stop(client->loop, &sock->watcher);
    ev_io_set(&sock->watcher, fd, events);
    ev_io_start(client->loop, &sock->watcher);
    return 0;
}

LrClient *
LrClient_New(struct ev_loop *loop, unsigned max_per_host,
             size_t max_body_bytes)
{
    LrClient *client = g_new0(LrClient, 1);
    client->loop = loop;
    client->max_body_bytes = max_body_bytes;
    client->idle_handles = g_ptr_array_new();
    TAILQ_INIT(&client->transfers);
    ev_timer_init(&client->timer, on_timer, 0, 0);
    client->timer.data = client;
    client->multi = curl_multi_init();
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
                      on_socket_change);
    curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
    curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
    curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      (long)max_per_host);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      (long)MAX_CACHED_CONNECTIONS);
    return client;
}

void
LrClient_Free(LrClient *client)
{
    if (!client) {
        return;
    }
    LrTransfer *transfer;
    LrTransfer *next;
    TAILQ_FOREACH_SAFE(transfer, &client->transfers, of_client, next)
    {
        LrTransfer_Cancel(transfer);
    }
    for (guint i = 0; i < client->idle_handles->len; i++) {
        curl_easy_cleanup(client->idle_handles->pdata[i]);
    }
    g_ptr_array_unref(client->idle_handles);
    curl_multi_cleanup(client->multi);
    ev_timer_stop(client->loop, &client->timer);
    g_free(client);
}

static size_t
read_body(char *buffer, size_t size, size_t n, void *data)
{
    LrTransfer *transfer = data;
    LrStr body = LrStr_FromBytes(transfer->body);
    size_t len = MIN(size * n, body.len - transfer->n_read);
    memcpy(buffer, body.ptr + transfer->n_read, len);
    transfer->n_read += len;
    transfer->body_read = true;
    return len;
}

static size_t
append_response(char *data, size_t size, size_t n, void *user)
{
    LrTransfer *transfer = user;
    size_t len = size * n;
    if (transfer->response->len + len > transfer->max_body_bytes) {
        transfer->too_large = true;
        return 0;
    }
    g_byte_array_append(transfer->response, (const guint8 *)data, (guint)len);
    transfer->heard_at = LrClock_Now();
    transfer->grace_given = false;
    return len;
}

static size_t
count_head(char *data, size_t size, size_t n, void *user)
{
    (void)data;
    LrTransfer *transfer = user;
    size_t len = size * n;
    transfer->n_head_bytes += len;
    if (transfer->n_head_bytes > MAX_HEAD_BYTES) {
        transfer->too_large = true;
        return 0;
    }
    return len;
}

static CURL *
take_handle(LrClient *client)
{
    if (client->idle_handles->len == 0) {
        return curl_easy_init();
    }
    return g_ptr_array_remove_index_fast(client->idle_handles,
                                         client->idle_handles->len - 1);
}

static void
set_headers(LrTransfer *transfer, const LrTransferSpec *spec)
{
    for (size_t i = 0; i < spec->n_headers; i++) {
        transfer->headers =
            curl_slist_append(transfer->headers, spec->headers[i]);
    }
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void
set_body(LrTransfer *transfer, const LrTransferSpec *spec)
{
    CURL *easy = transfer->easy;
    LrStr body = LrStr_FromBytes(spec->body);
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body.len);
    if (body.len == 0) {
        transfer->body_read = true;
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
        return;
    }
    transfer->body = g_bytes_ref(spec->body);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
    curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
}

static int
set_socket_options(void *data, curl_socket_t fd, curlsocktype purpose)
{
    (void)data;
    (void)purpose;
    LrSocket_EnableKeepAlive(fd);
    return CURL_SOCKOPT_OK;
}

static void
set_silence_timer(LrTransfer *transfer, LrTime delay)
{
    struct ev_loop *loop = transfer->client->loop;
    ev_now_update(loop);
    ev_timer_stop(loop, &transfer->silence_timer);
    ev_timer_set(&transfer->silence_timer, (double)delay / (double)LR_SECOND,
                 0);
    ev_timer_start(loop, &transfer->silence_timer);
}

static void
on_silence(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    LrTransfer *transfer = timer->data;
    LrTime limit = transfer->response->len > 0 ? transfer->stall_timeout
                                               : transfer->response_timeout;
    LrTime left = transfer->heard_at + limit - LrClock_Now();
    if (left > 0) {
        set_silence_timer(transfer, left);
    }
    else if (!transfer->grace_given) {
        transfer->grace_given = true;
        set_silence_timer(transfer, UNREAD_GRACE);
    }
    else {
        finish_transfer(transfer, CURLE_OPERATION_TIMEDOUT);
    }
}

static void
watch_silence(LrTransfer *transfer, const LrTransferSpec *spec)
{
    transfer->response_timeout = spec->response_timeout;
    transfer->stall_timeout = spec->stall_timeout;
    transfer->heard_at = LrClock_Now();
    ev_timer_init(&transfer->silence_timer, on_silence, 0, 0);
    transfer->silence_timer.data = transfer;
    if (spec->response_timeout > 0) {
        set_silence_timer(transfer, spec->response_timeout);
    }
}

LrTransfer *
LrClient_Send(LrClient *client, const LrTransferSpec *spec)
{
    LrTransfer *transfer = g_new0(LrTransfer, 1);
    transfer->client = client;
    transfer->easy = take_handle(client);
    transfer->response = g_byte_array_new();
    transfer->max_body_bytes = spec->max_body_bytes > 0
                                   ? spec->max_body_bytes
                                   : client->max_body_bytes;
    transfer->done = spec->done;
    transfer->data = spec->data;
    TAILQ_INSERT_TAIL(&client->transfers, transfer, of_client);
    CURL *easy = transfer->easy;
    long timeout_ms = (long)(spec->timeout / LR_MILLISECOND);
    curl_easy_setopt(easy, CURLOPT_URL, spec->url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, (char *)transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_response);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, count_head);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, MAX(timeout_ms, 1L));
    if (spec->connect_timeout > 0) {
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         (long)(spec->connect_timeout / LR_MILLISECOND));
    }
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
    set_headers(transfer, spec);
    if (spec->post) {
        set_body(transfer, spec);
    }
    watch_silence(transfer, spec);
    curl_multi_add_handle(client->multi, easy);
    return transfer;
}

void
LrTransfer_Cancel(LrTransfer *transfer)
{
    curl_multi_remove_handle(transfer->client->multi, transfer->easy);
    free_transfer(transfer);
}

LrStr
LrTransfer_Header(LrTransfer *transfer, const char *name)
{
    struct curl_header *header;
    CURLHcode code =
        curl_easy_header(transfer->easy, name, 0, CURLH_HEADER, -1, &header);
    return LrStr_FromC(code == CURLHE_OK ? header->value : "");
}
