/* The HTTP/1.1 server for callers of the routed interface. Requests and
 * answers are passed on complete and byte for byte. A connection carries one
 * request at a time; pipelined ones wait. */
#ifndef LAVENDERRAIL_CALLER_SERVER_H
#define LAVENDERRAIL_CALLER_SERVER_H

#include "http1.h"
#include "loop_timers.h"
#include "memory_budget.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrCallerServer LrCallerServer;
typedef struct LrCallerExchange LrCallerExchange;

typedef struct {
    size_t max_head_bytes;
    size_t max_body_bytes;
    /* From the first byte of a request to its last. */
    LrTime receive_timeout;
    /* Without a request, or without reading any of an answer. */
    LrTime idle_timeout;
} LrCallerLimits;

typedef struct {
    /* A complete request was read; to be answered with LrCallerExchange_Reply,
     * now or later. */
    void (*request)(void *data, LrCallerExchange *exchange);
    /* The caller disconnected before its answer. The exchange is invalid after
     * this call. */
    void (*caller_gone)(void *data, LrCallerExchange *exchange);
    /* Whether the body of a request has to be kept, of which the head was
     * read. If not, the request is passed on without it. May be NULL. */
    bool (*needs_body)(void *data, const LrHttpMessage *message);
    /* A request is not valid HTTP, exceeds the limits, or is refused for want
     * of memory: writes the head of the answer with this status. */
    void (*refuse)(void *data, unsigned status, GString *head);
    void *data;
} LrCallerServerHandler;

typedef struct {
    struct ev_loop *loop;
    LrLoopTimers *timers;
    LrStr address;
    unsigned max_connections;
    LrLog *log;
    LrCounters *counters;
    /* Charged for the connections; NULL: unlimited. */
    LrMemoryBudget *memory;
    LrCallerServerHandler handler;
} LrCallerServerConfig;

LrCallerServer *LrCallerServer_New(const LrCallerServerConfig *config,
                                   GError **error);
void LrCallerServer_Free(LrCallerServer *server);
void LrCallerServer_SetLimits(LrCallerServer *server,
                              const LrCallerLimits *limits);
/* While draining, every answer closes its connection. */
void LrCallerServer_SetDraining(LrCallerServer *server, bool draining);
/* Stops listening, and closes the connections without a request. */
void LrCallerServer_Quiesce(LrCallerServer *server);
/* Resets every connection, as a crash of the process does; continues to
 * listen. The exchanges become invalid without a call of caller_gone. Must not
 * be called from a handler. */
void LrCallerServer_ResetConnections(LrCallerServer *server);
/* Connections on which a request is being read, run or answered. */
size_t LrCallerServer_CountBusy(const LrCallerServer *server);
size_t LrCallerServer_CountConnections(const LrCallerServer *server);

const LrHttpMessage *
LrCallerExchange_Message(const LrCallerExchange *exchange);
/* Returns the request's body and leaves the request without one. */
GBytes *LrCallerExchange_TakeBody(LrCallerExchange *exchange);
/* Drops the request's head, of which the handler has what it needs. */
void LrCallerExchange_DropContent(LrCallerExchange *exchange);
/* The caller's IP address, without the port, as bytes in network order; empty
 * when it is not known. */
LrStr LrCallerExchange_CallerAddress(const LrCallerExchange *exchange);
LrTime LrCallerExchange_ArrivedAt(const LrCallerExchange *exchange);
void LrCallerExchange_SetData(LrCallerExchange *exchange, void *data);
void *LrCallerExchange_Data(const LrCallerExchange *exchange);
/* Sends an answer. head is the status line and the headers except for
 * Content-Length, each with its CR and LF. Takes ownership of body. The
 * exchange is invalid afterwards. */
void LrCallerExchange_Reply(LrCallerExchange *exchange, const GString *head,
                            GBytes *body, bool close);

#ifdef __cplusplus
}
#endif

#endif
