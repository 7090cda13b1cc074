/* Connections to targets: kept ones are used again, one request at a time on
 * each, and what became of every request is told as far as it can be known. */
#ifndef LAVENDERRAIL_UPSTREAM_H
#define LAVENDERRAIL_UPSTREAM_H

#include "http1.h"
#include "loop_timers.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrUpstream LrUpstream;
typedef struct LrUpstreamRequest LrUpstreamRequest;

typedef enum {
    LR_UPSTREAM_OK,
    /* Nothing was written to a connection. */
    LR_UPSTREAM_NOT_SENT,
    /* A kept connection ended without any byte of a response. */
    LR_UPSTREAM_STALE,
    LR_UPSTREAM_BROKEN,
    LR_UPSTREAM_TIMEOUT,
    /* The response is no HTTP or too large. */
    LR_UPSTREAM_MALFORMED,
} LrUpstreamEnd;

typedef struct {
    /* Tells targets apart that had the same address one after the other. */
    LrStr key;
    LrStr address;
    /* Appends the head of the request when it is about to be sent. */
    void (*write_head)(void *data, LrTime now, GString *out);
    /* Whether a response belongs to the request; others are passed over. */
    bool (*matches_request)(void *data, const LrHttpMessage *response);
    /* Called once, never from within LrUpstream_Send; the response is valid
     * within the call, and NULL unless the end is OK. */
    void (*done)(void *data, LrUpstreamEnd end, LrHttpMessage *response);
    void *data;
    GBytes *body;
    /* The response has no body whatever its head says. */
    bool bodyless;
    LrTime deadline;
    /* Kept connections that were idle for longer are not used. */
    LrTime max_idle_for_reuse;
    /* How long the connection may be kept idle afterwards, at the most. */
    LrTime idle_timeout;
} LrUpstreamSpec;

typedef struct {
    struct ev_loop *loop;
    LrLoopTimers *timers;
    LrLog *log;
    LrCounters *counters;
    LrTime connect_timeout;
    /* Bounds of a response's head and body, and of all responses together
     * that are being read. */
    size_t max_head_bytes;
    size_t max_body_bytes;
    size_t max_buffered_bytes;
    size_t max_connections;
    /* So many connections of that key are idle from now on. */
    void (*idle_changed)(void *data, LrStr key, size_t n_idle);
    void *data;
} LrUpstreamConfig;

LrUpstream *LrUpstream_New(const LrUpstreamConfig *config);
void LrUpstream_Free(LrUpstream *upstream);
LrUpstreamRequest *LrUpstream_Send(LrUpstream *upstream,
                                   const LrUpstreamSpec *spec);
/* Whether a byte of the request has been sent. */
bool LrUpstreamRequest_IsSent(const LrUpstreamRequest *call);
/* Nobody waits for the response any more: the call ends by that time. */
void LrUpstreamRequest_ShortenDeadline(LrUpstreamRequest *call,
                                       LrTime deadline);
size_t LrUpstream_CountConnections(const LrUpstream *upstream);

#ifdef __cplusplus
}
#endif

#endif
