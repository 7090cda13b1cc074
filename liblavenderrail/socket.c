/* Nonblocking TCP sockets over IPv4. */
#include "socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    /* Idle time, interval and number of keep-alive probes. */
    PROBE_AFTER_S = 1,
    PROBE_EVERY_S = 1,
    PROBES = 2,
    /* How long sent bytes may stay unacknowledged. */
    UNACKNOWLEDGED_MS = 3000,
};

static bool
parse_address(LrStr address, struct sockaddr_in *out)
{
    char host[INET_ADDRSTRLEN];
    uint16_t port;
    if (!LrStr_ToAddress(address, host, sizeof(host), &port)) {
        return false;
    }
    *out =
        (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(port)};
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static int
open_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int
LrSocket_Listen(LrStr address, int backlog, GError **error)
{
    struct sockaddr_in at;
    int on = 1;
    if (!parse_address(address, &at)) {
        g_set_error(error, LR_ERROR, LR_ERROR_ADDRESS,
                    "not an IPv4 address and port: '%.*s'", (int)address.len,
                    address.ptr);
        return -1;
    }
    int fd = open_socket();
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) < 0 ||
        listen(fd, backlog) < 0) {
        g_set_error(error, LR_ERROR, LR_ERROR_SOCKET,
                    "cannot listen on %.*s: %s", (int)address.len, address.ptr,
                    g_strerror(errno));
        close(fd);
        return -1;
    }
    return fd;
}

static bool
parse_ip(LrStr text, struct in_addr *out)
{
    g_autofree char *copy = LrStr_Dup(text);
    return inet_pton(AF_INET, copy, out) == 1;
}

bool
LrSocket_IsIp(LrStr text)
{
    struct in_addr ip;
    return parse_ip(text, &ip);
}

int
LrSocket_Connect(LrStr address, LrStr source)
{
    struct sockaddr_in to;
    struct sockaddr_in from = {.sin_family = AF_INET};
    if (!parse_address(address, &to) ||
        (source.len > 0 && !parse_ip(source, &from.sin_addr))) {
        return -1;
    }
    int fd = open_socket();
    if (fd < 0) {
        return -1;
    }
    if (source.len > 0 &&
        bind(fd, (struct sockaddr *)&from, sizeof(from)) < 0) {
        close(fd);
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

void
LrSocket_EnableKeepAlive(int fd)
{
    const struct {
        int level;
        int name;
        int value;
    } options[] = {
        {SOL_SOCKET, SO_KEEPALIVE, 1},
        {IPPROTO_TCP, TCP_KEEPIDLE, PROBE_AFTER_S},
        {IPPROTO_TCP, TCP_KEEPINTVL, PROBE_EVERY_S},
        {IPPROTO_TCP, TCP_KEEPCNT, PROBES},
        {IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(options); i++) {
        setsockopt(fd, options[i].level, options[i].name, &options[i].value,
                   sizeof(options[i].value));
    }
}

void
LrSocket_DisableNagle(int fd)
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void
LrSocket_LimitSendBuffer(int fd, int bytes)
{
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}
