/* An incremental parser of HTTP/1.1 messages. It keeps the raw request target,
 * the headers as they were sent, and the body.
 *
 * It uses libhttp-parser. A proxy that passes requests on unchanged can be
 * built neither on libmicrohttpd, which decodes paths and joins repeated
 * headers, nor on libcurl, which retries requests on its own. */
#ifndef LAVENDERRAIL_HTTP1_H
#define LAVENDERRAIL_HTTP1_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrHttpMessage LrHttpMessage;

typedef enum {
    LR_HTTP_PARTIAL,
    LR_HTTP_COMPLETE,
    LR_HTTP_MALFORMED,
    LR_HTTP_HEAD_TOO_LARGE,
    LR_HTTP_BODY_TOO_LARGE,
} LrHttpState;

typedef struct {
    LrStr name;
    LrStr value;
} LrHttpHeader;

LrHttpMessage *LrHttpMessage_NewRequest(void);
LrHttpMessage *LrHttpMessage_NewResponse(void);
void LrHttpMessage_Free(LrHttpMessage *message);
/* Prepares the parser for the next message of the connection. */
void LrHttpMessage_Reset(LrHttpMessage *message);
/* Limits of the head and of the body, in bytes. */
void LrHttpMessage_SetLimits(LrHttpMessage *message, size_t head, size_t body);
/* Marks the response as one to a HEAD request, which has no body. */
void LrHttpMessage_SetBodyless(LrHttpMessage *message);
/* Parses bytes; *used is set to how many belong to this message. */
LrHttpState LrHttpMessage_Feed(LrHttpMessage *message, const char *data,
                               size_t len, size_t *used);
/* Tells that the connection was closed without an error, which completes a
 * response without a length. */
LrHttpState LrHttpMessage_FeedEnd(LrHttpMessage *message);
/* Whether any byte of the message has been parsed. */
bool LrHttpMessage_IsStarted(const LrHttpMessage *message);
bool LrHttpMessage_HasHead(const LrHttpMessage *message);
/* Whether the connection may carry another message after this one. */
bool LrHttpMessage_KeepsAlive(const LrHttpMessage *message);

/* Of requests only. The strings borrow from the message. */
LrStr LrHttpMessage_Method(const LrHttpMessage *message);
LrStr LrHttpMessage_RequestTarget(const LrHttpMessage *message);
/* The target without its query. */
LrStr LrHttpMessage_Path(const LrHttpMessage *message);
/* Of responses only. */
unsigned LrHttpMessage_Status(const LrHttpMessage *message);
/* Reason phrase; empty when there is none. */
LrStr LrHttpMessage_ReasonPhrase(const LrHttpMessage *message);

size_t LrHttpMessage_CountHeaders(const LrHttpMessage *message);
LrHttpHeader LrHttpMessage_HeaderAt(const LrHttpMessage *message,
                                    size_t index);
/* Value of the first header of that name, ignoring case; empty when absent. */
LrStr LrHttpMessage_Header(const LrHttpMessage *message, const char *name);
/* How many headers have that name. */
size_t LrHttpMessage_CountNamed(const LrHttpMessage *message,
                                const char *name);
/* Returns the body and leaves the message without one. */
GBytes *LrHttpMessage_TakeBody(LrHttpMessage *message);
/* Drops what was received of the body and what is still to come; the limit of
 * the body holds. */
void LrHttpMessage_DiscardBody(LrHttpMessage *message);
bool LrHttpMessage_IsBodyDiscarded(const LrHttpMessage *message);
/* Drops request target, headers and body of a message that is complete or will
 * not be completed. */
void LrHttpMessage_DropContent(LrHttpMessage *message);
/* Bytes that are allocated for the message. */
size_t LrHttpMessage_HeldBytes(const LrHttpMessage *message);
/* Whether a header is hop-by-hop: it concerns one connection only and a proxy
 * doesn't forward it. */
bool LrHttpHeader_IsHopByHop(const LrHttpMessage *message, LrStr name);
/* Whether two names are equal, ignoring case. */
bool LrHttpHeader_IsNamed(LrStr name, const char *expected);

#ifdef __cplusplus
}
#endif

#endif
