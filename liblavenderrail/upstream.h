/* Connection pools towards targets. Connections are kept alive and reused, and
 * carry one request at a time. How a request ended is reported as exactly as
 * it can be known, for instance that nothing of it was sent. */
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
    /* No byte of the request was written to a connection. */
    LR_UPSTREAM_NOT_SENT,
    /* The same, since the connection was not set up in time. */
    LR_UPSTREAM_CONNECT_TIMEOUT,
    /* A reused connection failed before any byte of a response. */
    LR_UPSTREAM_STALE,
    LR_UPSTREAM_BROKEN,
    LR_UPSTREAM_TIMEOUT,
    /* The response is not valid HTTP, or too large. */
    LR_UPSTREAM_MALFORMED,
} LrUpstreamEnd;

typedef struct {
    /* Names the pool. Targets that had the same address one after the other
     * have different keys. */
    LrStr key;
    LrStr address;
    /* Appends the head of the request, right before it is sent. */
    void (*write_head)(void *data, LrTime now, GString *out);
    /* Whether a response belongs to the request; others are discarded. */
    bool (*matches_request)(void *data, const LrHttpMessage *response);
    /* Called once, never from within LrUpstream_Send. The response is valid
     * until done returns; NULL unless end is LR_UPSTREAM_OK. */
    void (*done)(void *data, LrUpstreamEnd end, LrHttpMessage *response);
    void *data;
    GBytes *body;
    /* The response has no body, whatever length its head gives. */
    bool bodyless;
    LrTime deadline;
    /* A connection that was idle for longer is not reused. */
    LrTime max_idle_for_reuse;
    /* How long the connection may stay idle in its pool afterwards. */
    LrTime idle_timeout;
} LrUpstreamSpec;

typedef struct {
    struct ev_loop *loop;
    LrLoopTimers *timers;
    LrLog *log;
    LrCounters *counters;
    /* Local IP of the connections; empty when the system chooses it. */
    LrStr source;
    LrTime connect_timeout;
    /* Limits of a response's head and body, and of all partly read responses
     * together. */
    size_t max_head_bytes;
    size_t max_body_bytes;
    size_t max_buffered_bytes;
    size_t max_connections;
    /* How the first request on a new connection to the target of that key
     * ended. Called before done of the request; may be NULL. */
    void (*first_used)(void *data, LrStr key, LrUpstreamEnd end);
    /* The number of idle connections of that key is now n_idle. */
    void (*idle_changed)(void *data, LrStr key, size_t n_idle);
    void *data;
} LrUpstreamConfig;

LrUpstream *LrUpstream_New(const LrUpstreamConfig *config);
void LrUpstream_Free(LrUpstream *upstream);
LrUpstreamRequest *LrUpstream_Send(LrUpstream *upstream,
                                   const LrUpstreamSpec *spec);
/* Whether a byte of the request has been sent. */
bool LrUpstreamRequest_IsSent(const LrUpstreamRequest *request);
/* Moves the deadline of a request to an earlier time, when nobody waits for
 * its response any more; a later time is ignored. */
void LrUpstreamRequest_ShortenDeadline(LrUpstreamRequest *request,
                                       LrTime deadline);
size_t LrUpstream_CountConnections(const LrUpstream *upstream);

#ifdef __cplusplus
}
#endif

#endif
