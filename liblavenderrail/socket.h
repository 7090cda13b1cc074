/* Nonblocking TCP sockets over IPv4. */
#ifndef LAVENDERRAIL_SOCKET_H
#define LAVENDERRAIL_SOCKET_H

#include "lavenderrail.h"

/* Returns a listening socket; -1 with the error set when that fails. */
int LrSocket_Listen(LrStr address, int backlog, GError **error);
/* Starts to connect from the local IP number source, or from any if that is
 * empty, and returns the socket; -1 when that fails at once. */
int LrSocket_Connect(LrStr address, LrStr source);
/* Whether the text is an IPv4 address without a port. */
bool LrSocket_IsIp(LrStr text);
/* Enables keep-alive probes and a limit on unacknowledged bytes: a connection
 * whose other end goes silent without a reset fails within about three
 * seconds, idle or not. */
void LrSocket_EnableKeepAlive(int fd);
void LrSocket_DisableNagle(int fd);
/* Bounds the bytes that were written and are not acknowledged. */
void LrSocket_LimitSendBuffer(int fd, int bytes);

#endif
