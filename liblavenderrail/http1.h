/* HTTP/1.1 messages read byte for byte: the raw target, headers as they were
 * sent, and the body.
 *
 * libmicrohttpd decodes paths and joins repeated headers, and libcurl repeats
 * requests on its own, so that neither can pass a request through unchanged;
 * libhttp-parser is their nearest kin that does. */
#ifndef LAVENDERRAIL_HTTP1_H
#define LAVENDERRAIL_HTTP1_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct LrMessage LrMessage;

typedef enum {
    LR_MESSAGE_PARTIAL,
    LR_MESSAGE_COMPLETE,
    LR_MESSAGE_MALFORMED,
    LR_MESSAGE_HEAD_TOO_LARGE,
    LR_MESSAGE_BODY_TOO_LARGE,
} LrMessageState;

typedef struct {
    LrStr name;
    LrStr value;
} LrHeader;

LrMessage *LrMessage_NewRequest(void);
LrMessage *LrMessage_NewResponse(void);
void LrMessage_Free(LrMessage *message);
/* Forgets all, to read the next message of the connection. */
void LrMessage_Reset(LrMessage *message);
/* Bounds in bytes of the head and of the body. */
void LrMessage_SetBounds(LrMessage *message, size_t head, size_t body);
/* The response is to a HEAD request: it has no body. */
void LrMessage_SetBodyless(LrMessage *message);
/* Reads bytes; *used is set to how many belong to this message. */
LrMessageState LrMessage_Feed(LrMessage *message, const char *data, size_t len,
                              size_t *used);
/* The connection ended in order; completes a response without a length. */
LrMessageState LrMessage_FeedEnd(LrMessage *message);
/* Whether any byte of the message has come. */
bool LrMessage_IsStarted(const LrMessage *message);
bool LrMessage_HasHead(const LrMessage *message);
/* Whether the connection may carry another message after this one. */
bool LrMessage_IsKept(const LrMessage *message);

/* Requests. The strings borrow from the message. */
LrStr LrMessage_Method(const LrMessage *message);
LrStr LrMessage_Target(const LrMessage *message);
/* The target without its query. */
LrStr LrMessage_Path(const LrMessage *message);
/* Responses. */
unsigned LrMessage_Status(const LrMessage *message);
/* Reason phrase; empty when there is none. */
LrStr LrMessage_Reason(const LrMessage *message);

size_t LrMessage_CountHeaders(const LrMessage *message);
LrHeader LrMessage_HeaderAt(const LrMessage *message, size_t index);
/* Value of the first header of that name, in any case; empty when absent. */
LrStr LrMessage_Header(const LrMessage *message, const char *name);
/* How many headers have that name. */
size_t LrMessage_CountNamed(const LrMessage *message, const char *name);
/* The body; the message forgets it. */
GBytes *LrMessage_TakeBody(LrMessage *message);
/* Whether a header concerns one connection only and is not passed on. */
bool LrHeader_IsHopByHop(const LrMessage *message, LrStr name);
/* Whether two names are equal in any case. */
bool LrHeader_IsNamed(LrStr name, const char *expected);

#ifdef __cplusplus
}
#endif

#endif
