/* TCP sockets by IP number. */
#ifndef LAVENDERRAIL_SOCKET_H
#define LAVENDERRAIL_SOCKET_H

#include "lavenderrail.h"

/* A listening socket that does not block; -1 with the error. */
int LrSocket_Listen(LrStr address, int backlog, GError **error);
/* A socket whose connection is being set up; -1 when that cannot begin. */
int LrSocket_Connect(LrStr address);
/* A connection that goes silent without a reset ends within about three
 * seconds, idle or not. */
void LrSocket_EnableKeepAlive(int fd);
void LrSocket_DisableNagle(int fd);

#endif
