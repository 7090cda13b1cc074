/* Connections of callers: whole requests in, whole answers out, each byte as
 * it was sent. One request at a time is answered on a connection; those that
 * are sent ahead wait. */
#ifndef LAVENDERRAIL_CALLERS_H
#define LAVENDERRAIL_CALLERS_H

#include "http1.h"
#include "loop_timers.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrCallers LrCallers;
typedef struct LrCall LrCall;

typedef struct {
    size_t max_head_bytes;
    size_t max_body_bytes;
    /* From the first byte of a request to its last. */
    LrTime receive_timeout;
    LrTime idle_timeout;
} LrCallerLimits;

typedef struct {
    /* A whole request came; answer with LrCall_Reply, now or later. */
    void (*request)(void *data, LrCall *call);
    /* The caller went away before its answer; the call ends here. */
    void (*gone)(void *data, LrCall *call);
    /* A request that is no HTTP or beyond the limits: writes the head of the
     * refusal with this status. */
    void (*refuse)(void *data, unsigned status, GString *head);
    void *data;
} LrCallersHandler;

typedef struct {
    struct ev_loop *loop;
    LrLoopTimers *timers;
    LrStr address;
    unsigned max_connections;
    LrLog *log;
    LrCounters *counters;
    LrCallersHandler handler;
} LrCallersConfig;

LrCallers *LrCallers_New(const LrCallersConfig *config, GError **error);
void LrCallers_Free(LrCallers *callers);
void LrCallers_SetLimits(LrCallers *callers, const LrCallerLimits *limits);
/* While draining, every answer closes its connection. */
void LrCallers_SetDraining(LrCallers *callers, bool draining);
/* Takes no new connections, and closes those without a request. */
void LrCallers_Quiesce(LrCallers *callers);
/* Connections on which a request is read, worked on or answered. */
size_t LrCallers_Busy(const LrCallers *callers);
size_t LrCallers_Open(const LrCallers *callers);

const LrMessage *LrCall_Message(const LrCall *call);
/* The body; to be taken once. */
GBytes *LrCall_TakeBody(LrCall *call);
LrTime LrCall_ArrivedAt(const LrCall *call);
void LrCall_SetData(LrCall *call, void *data);
void *LrCall_Data(const LrCall *call);
/* Sends an answer: a status line and headers, each with its line end, and a
 * body of known length. Takes over the body. The call is no longer valid. */
void LrCall_Reply(LrCall *call, const GString *head, GBytes *body, bool close);

#ifdef __cplusplus
}
#endif

#endif
