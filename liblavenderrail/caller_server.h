/* The HTTP/1.1 server for callers of the routed interface. Requests and
 * answers are passed on whole and byte for byte. A connection carries one
 * request at a time; pipelined ones wait. */
#ifndef LAVENDERRAIL_CALLER_SERVER_H
#define LAVENDERRAIL_CALLER_SERVER_H

#include "http1.h"
#include "loop_timers.h"

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
    LrTime idle_timeout;
} LrCallerLimits;

typedef struct {
    /* A complete request was read; to be answered with LrCallerExchange_Reply,
     * now or later. */
    void (*request)(void *data, LrCallerExchange *call);
    /* The caller disconnected before its answer. The exchange is invalid after
     * this call. */
    void (*caller_gone)(void *data, LrCallerExchange *call);
    /* Writes the head of the answer that refuses, with this status, a request
     * that is not valid HTTP or exceeds the limits. */
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
    LrCallerServerHandler handler;
} LrCallerServerConfig;

LrCallerServer *LrCallerServer_New(const LrCallerServerConfig *config,
                                   GError **error);
void LrCallerServer_Free(LrCallerServer *callers);
void LrCallerServer_SetLimits(LrCallerServer *callers,
                              const LrCallerLimits *limits);
/* While draining, every answer closes its connection. */
void LrCallerServer_SetDraining(LrCallerServer *callers, bool draining);
/* Stops listening, and closes the connections without a request. */
void LrCallerServer_Quiesce(LrCallerServer *callers);
/* Connections on which a request is being read, run or answered. */
size_t LrCallerServer_CountBusy(const LrCallerServer *callers);
size_t LrCallerServer_CountConnections(const LrCallerServer *callers);

const LrHttpMessage *LrCallerExchange_Message(const LrCallerExchange *call);
/* Returns the body and leaves the request without one. */
GBytes *LrCallerExchange_TakeBody(LrCallerExchange *call);
LrTime LrCallerExchange_ArrivedAt(const LrCallerExchange *call);
void LrCallerExchange_SetData(LrCallerExchange *call, void *data);
void *LrCallerExchange_Data(const LrCallerExchange *call);
/* Sends an answer. head is the status line and the headers except for
 * Content-Length, each with its CR and LF. Takes ownership of body. The
 * exchange is invalid afterwards. */
void LrCallerExchange_Reply(LrCallerExchange *call, const GString *head,
                            GBytes *body, bool close);

#ifdef __cplusplus
}
#endif

#endif
