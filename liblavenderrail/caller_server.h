/* Connections of callers: whole requests in, whole answers out, each byte as
 * it was sent. One request at a time is answered on a connection; those that
 * are sent ahead wait. */
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
    /* A whole request came; answer with LrCallerExchange_Reply, now or later.
     */
    void (*request)(void *data, LrCallerExchange *call);
    /* The caller went away before its answer; the call ends here. */
    void (*caller_gone)(void *data, LrCallerExchange *call);
    /* A request that is no HTTP or beyond the limits: writes the head of the
     * refusal with this status. */
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
/* Takes no new connections, and closes those without a request. */
void LrCallerServer_Quiesce(LrCallerServer *callers);
/* Connections on which a request is read, worked on or answered. */
size_t LrCallerServer_CountBusy(const LrCallerServer *callers);
size_t LrCallerServer_CountConnections(const LrCallerServer *callers);

const LrHttpMessage *LrCallerExchange_Message(const LrCallerExchange *call);
/* The body; to be taken once. */
GBytes *LrCallerExchange_TakeBody(LrCallerExchange *call);
LrTime LrCallerExchange_ArrivedAt(const LrCallerExchange *call);
void LrCallerExchange_SetData(LrCallerExchange *call, void *data);
void *LrCallerExchange_Data(const LrCallerExchange *call);
/* Sends an answer: a status line and headers, each with its line end, and a
 * body of known length. Takes over the body. The call is no longer valid. */
void LrCallerExchange_Reply(LrCallerExchange *call, const GString *head,
                            GBytes *body, bool close);

#ifdef __cplusplus
}
#endif

#endif
