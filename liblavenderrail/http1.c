/* The parser of HTTP/1.1 messages, on libhttp-parser. */
#include "http1.h"

#include <string.h>

#include <http_parser.h>

#include "memory_budget.h"

enum {
    /* Bytes of a header line besides name and value: colon, space, CR and
     * LF. */
    HEADER_LINE_OVERHEAD_BYTES = 4,
    NO_HEADER = -1,
};

enum { STATUS_DIGITS = 3 };

/* How far a response's status line has been checked. */
typedef enum {
    STATUS_LINE_VERSION,
    STATUS_LINE_CODE,
    STATUS_LINE_CHECKED,
} StatusLineState;

typedef struct {
    size_t name_at;
    size_t name_len;
    size_t value_at;
    size_t value_len;
} HeaderSpan;

struct LrHttpMessage {
    http_parser parser;
    enum http_parser_type type;
    size_t max_head_bytes;
    size_t max_body_bytes;
    GString *request_target;
    GString *reason_phrase;
    /* Header names and values, concatenated; headers holds their offsets. */
    GString *header_text;
    GArray *headers;
    bool in_value;
    StatusLineState status_line;
    unsigned n_status_digits;
    /* Position of the first Connection header. */
    gint connection_at;
    GByteArray *body;
    /* Allocated bytes of headers and body. */
    size_t header_table_bytes;
    size_t body_bytes;
    /* Bytes of the body so far, also of one that is discarded. */
    size_t n_body_bytes;
    bool body_discarded;
    size_t n_head_bytes;
    bool started;
    bool head_done;
    bool complete;
    bool keep_alive;
    bool bodyless;
    LrHttpState error;
};

static bool
is_token(LrStr text)
{
    if (text.len == 0) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        char c = text.ptr[i];
        if (!g_ascii_isalnum(c) && (!c || !strchr("!#$%&'*+-.^_`|~", c))) {
            return false;
        }
    }
    return true;
}

static LrHttpMessage *
message_of(http_parser *parser)
{
    return parser->data;
}

/* Counts bytes of the head; nonzero, which stops the parser, when they are too
 * many. */
static int
count_head(LrHttpMessage *message, size_t len)
{
    message->n_head_bytes += len;
    if (message->n_head_bytes > message->max_head_bytes) {
        message->error = LR_HTTP_HEAD_TOO_LARGE;
        return -1;
    }
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    LrHttpMessage *message = message_of(parser);
    g_string_append_len(message->request_target, at, (gssize)len);
    return count_head(message, len);
}

static int
on_status(http_parser *parser, const char *at, size_t len)
{
    g_string_append_len(message_of(parser)->reason_phrase, at, (gssize)len);
    return 0;
}

static int
on_header_field(http_parser *parser, const char *at, size_t len)
{
    LrHttpMessage *message = message_of(parser);
    /* Trailers are dropped. */
    if (message->head_done) {
        return 0;
    }
    if (message->in_value || message->headers->len == 0) {
        HeaderSpan span = {.name_at = message->header_text->len};
        g_array_append_val(message->headers, span);
        LrMemoryBudget_TrackGrowth(&message->header_table_bytes,
                                   message->headers->len * sizeof(HeaderSpan));
        message->in_value = false;
        message->n_head_bytes += HEADER_LINE_OVERHEAD_BYTES;
    }
    HeaderSpan *last = &g_array_index(message->headers, HeaderSpan,
                                      message->headers->len - 1);
    g_string_append_len(message->header_text, at, (gssize)len);
    last->name_len += len;
    return count_head(message, len);
}

static int
on_header_value(http_parser *parser, const char *at, size_t len)
{
    LrHttpMessage *message = message_of(parser);
    if (message->head_done) {
        return 0;
    }
    HeaderSpan *last = &g_array_index(message->headers, HeaderSpan,
                                      message->headers->len - 1);
    if (!message->in_value) {
        last->value_at = message->header_text->len;
        message->in_value = true;
    }
    g_string_append_len(message->header_text, at, (gssize)len);
    last->value_len += len;
    return count_head(message, len);
}

static int
on_headers_complete(http_parser *parser)
{
    LrHttpMessage *message = message_of(parser);
    message->head_done = true;
    for (size_t i = 0; i < message->headers->len; i++) {
        LrStr name = LrHttpMessage_HeaderAt(message, i).name;
        if (!is_token(name)) {
            return -1;
        }
        if (message->connection_at == NO_HEADER &&
            LrHttpHeader_IsNamed(name, "Connection")) {
            message->connection_at = (gint)i;
        }
    }
    bool declared = (parser->flags & F_CONTENTLENGTH) &&
                    parser->content_length != UINT64_MAX;
    if (declared && !message->bodyless &&
        parser->content_length > message->max_body_bytes) {
        message->error = LR_HTTP_BODY_TOO_LARGE;
        return -1;
    }
    return message->bodyless ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    LrHttpMessage *message = message_of(parser);
    message->n_body_bytes += len;
    if (message->n_body_bytes > message->max_body_bytes) {
        message->error = LR_HTTP_BODY_TOO_LARGE;
        return -1;
    }
    if (!message->body_discarded) {
        g_byte_array_append(message->body, (const guint8 *)at, (guint)len);
        LrMemoryBudget_TrackGrowth(&message->body_bytes, message->body->len);
    }
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    LrHttpMessage *message = message_of(parser);
    message->complete = true;
    message->keep_alive = http_should_keep_alive(parser) && !parser->upgrade;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings SETTINGS = {
    .on_url = on_url,
    .on_status = on_status,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static LrHttpMessage *
new_message(enum http_parser_type type)
{
    LrHttpMessage *message = g_new0(LrHttpMessage, 1);
    message->type = type;
    message->max_head_bytes = SIZE_MAX;
    message->max_body_bytes = SIZE_MAX;
    message->request_target = g_string_new(NULL);
    message->reason_phrase = g_string_new(NULL);
    message->header_text = g_string_new(NULL);
    message->headers = g_array_new(FALSE, FALSE, sizeof(HeaderSpan));
    message->body = g_byte_array_new();
    message->connection_at = NO_HEADER;
    LrHttpMessage_Reset(message);
    return message;
}

LrHttpMessage *
LrHttpMessage_NewRequest(void)
{
    return new_message(HTTP_REQUEST);
}

LrHttpMessage *
LrHttpMessage_NewResponse(void)
{
    return new_message(HTTP_RESPONSE);
}

void
LrHttpMessage_Free(LrHttpMessage *message)
{
    if (!message) {
        return;
    }
    g_string_free(message->request_target, TRUE);
    g_string_free(message->reason_phrase, TRUE);
    g_string_free(message->header_text, TRUE);
    g_array_unref(message->headers);
    g_byte_array_unref(message->body);
    g_free(message);
}

static void
clear_text(GString **text)
{
    g_string_truncate(*text, 0);
    if ((*text)->allocated_len > LR_MAX_KEPT_BYTES) {
        g_string_free(*text, TRUE);
        *text = g_string_new(NULL);
    }
}

static void
clear_headers(LrHttpMessage *message)
{
    clear_text(&message->header_text);
    g_array_set_size(message->headers, 0);
    if (message->header_table_bytes > LR_MAX_KEPT_BYTES) {
        g_array_unref(message->headers);
        message->headers = g_array_new(FALSE, FALSE, sizeof(HeaderSpan));
        message->header_table_bytes = 0;
    }
    message->connection_at = NO_HEADER;
}

void
LrHttpMessage_Reset(LrHttpMessage *message)
{
    http_parser_init(&message->parser, message->type);
    message->parser.data = message;
    clear_text(&message->request_target);
    clear_text(&message->reason_phrase);
    clear_headers(message);
    LrMemoryBudget_ClearBytes(&message->body, &message->body_bytes);
    message->n_body_bytes = 0;
    message->body_discarded = false;
    message->in_value = false;
    message->status_line = STATUS_LINE_VERSION;
    message->n_status_digits = 0;
    message->n_head_bytes = 0;
    message->started = false;
    message->head_done = false;
    message->complete = false;
    message->keep_alive = false;
    message->bodyless = false;
    message->error = LR_HTTP_PARTIAL;
}

void
LrHttpMessage_SetLimits(LrHttpMessage *message, size_t head, size_t body)
{
    message->max_head_bytes = head;
    message->max_body_bytes = body;
}

void
LrHttpMessage_SetBodyless(LrHttpMessage *message)
{
    message->bodyless = true;
}

/* Discards an interim response (1xx); false when there is none. */
static bool
skip_interim(LrHttpMessage *message)
{
    if (message->type != HTTP_RESPONSE ||
        message->parser.status_code / 100 != 1) {
        return false;
    }
    bool bodyless = message->bodyless;
    LrHttpMessage_Reset(message);
    message->started = true;
    message->bodyless = bodyless;
    return true;
}

/* Takes a byte of the status code, or the one after it. */
static bool
check_status_byte(LrHttpMessage *message, char c)
{
    if (message->n_status_digits == STATUS_DIGITS) {
        message->status_line = STATUS_LINE_CHECKED;
        return c == ' ' || c == '\r' || c == '\n';
    }
    bool is_first = message->n_status_digits++ == 0;
    return is_first ? c >= '1' && c <= '5' : g_ascii_isdigit(c);
}

/* Checks that the status is a number from 100 to 599, of three digits behind
 * one space: libhttp-parser takes 000, 20, 0200, 999 and several spaces. */
static bool
check_status_line(LrHttpMessage *message, const char *data, size_t len)
{
    if (message->type != HTTP_RESPONSE) {
        return true;
    }
    for (size_t i = 0; i < len && message->status_line != STATUS_LINE_CHECKED;
         i++) {
        if (message->status_line == STATUS_LINE_CODE) {
            if (!check_status_byte(message, data[i])) {
                return false;
            }
        }
        else if (data[i] == ' ') {
            message->status_line = STATUS_LINE_CODE;
        }
    }
    return true;
}

LrHttpState
LrHttpMessage_Feed(LrHttpMessage *message, const char *data, size_t len,
                   size_t *used)
{
    *used = 0;
    while (*used < len) {
        message->started = true;
        if (!check_status_line(message, data + *used, len - *used)) {
            return LR_HTTP_MALFORMED;
        }
        size_t got = http_parser_execute(&message->parser, &SETTINGS,
                                         data + *used, len - *used);
        *used += got;
        if (message->complete) {
            if (skip_interim(message)) {
                continue;
            }
            return LR_HTTP_COMPLETE;
        }
        enum http_errno error = HTTP_PARSER_ERRNO(&message->parser);
        if (message->error != LR_HTTP_PARTIAL) {
            return message->error;
        }
        if (error == HPE_HEADER_OVERFLOW) {
            return LR_HTTP_HEAD_TOO_LARGE;
        }
        if (error != HPE_OK) {
            return LR_HTTP_MALFORMED;
        }
    }
    return LR_HTTP_PARTIAL;
}

LrHttpState
LrHttpMessage_FeedEnd(LrHttpMessage *message)
{
    if (!message->complete) {
        http_parser_execute(&message->parser, &SETTINGS, "", 0);
    }
    message->keep_alive = false;
    return message->complete && message->head_done ? LR_HTTP_COMPLETE
                                                   : LR_HTTP_MALFORMED;
}

bool
LrHttpMessage_IsStarted(const LrHttpMessage *message)
{
    return message->started;
}

bool
LrHttpMessage_HasHead(const LrHttpMessage *message)
{
    return message->head_done;
}

bool
LrHttpMessage_KeepsAlive(const LrHttpMessage *message)
{
    return message->keep_alive;
}

LrStr
LrHttpMessage_Method(const LrHttpMessage *message)
{
    return LrStr_FromC(http_method_str(message->parser.method));
}

static LrStr
as_str(const GString *text)
{
    return (LrStr){.ptr = text->str, .len = text->len};
}

LrStr
LrHttpMessage_RequestTarget(const LrHttpMessage *message)
{
    return as_str(message->request_target);
}

LrStr
LrHttpMessage_Path(const LrHttpMessage *message)
{
    LrStr target = as_str(message->request_target);
    const char *query = memchr(target.ptr, '?', target.len);
    if (query) {
        target.len = (size_t)(query - target.ptr);
    }
    return target;
}

unsigned
LrHttpMessage_Status(const LrHttpMessage *message)
{
    return message->parser.status_code;
}

LrStr
LrHttpMessage_ReasonPhrase(const LrHttpMessage *message)
{
    return as_str(message->reason_phrase);
}

size_t
LrHttpMessage_CountHeaders(const LrHttpMessage *message)
{
    return message->headers->len;
}

LrHttpHeader
LrHttpMessage_HeaderAt(const LrHttpMessage *message, size_t index)
{
    const HeaderSpan *span =
        &g_array_index(message->headers, HeaderSpan, index);
    const char *text = message->header_text->str;
    return (LrHttpHeader){
        .name = {.ptr = text + span->name_at, .len = span->name_len},
        .value = {.ptr = text + span->value_at, .len = span->value_len},
    };
}

bool
LrHttpHeader_IsNamed(LrStr name, const char *expected)
{
    return name.len == strlen(expected) &&
           !g_ascii_strncasecmp(name.ptr, expected, name.len);
}

LrStr
LrHttpMessage_Header(const LrHttpMessage *message, const char *name)
{
    for (size_t i = 0; i < message->headers->len; i++) {
        LrHttpHeader header = LrHttpMessage_HeaderAt(message, i);
        if (LrHttpHeader_IsNamed(header.name, name)) {
            return header.value;
        }
    }
    return LrStr_FromC("");
}

size_t
LrHttpMessage_CountNamed(const LrHttpMessage *message, const char *name)
{
    size_t n = 0;
    for (size_t i = 0; i < message->headers->len; i++) {
        n += LrHttpHeader_IsNamed(LrHttpMessage_HeaderAt(message, i).name,
                                  name);
    }
    return n;
}

GBytes *
LrHttpMessage_TakeBody(LrHttpMessage *message)
{
    GBytes *body = g_byte_array_free_to_bytes(g_steal_pointer(&message->body));
    message->body = g_byte_array_new();
    message->body_bytes = 0;
    return body;
}

void
LrHttpMessage_DiscardBody(LrHttpMessage *message)
{
    message->body_discarded = true;
    LrMemoryBudget_ClearBytes(&message->body, &message->body_bytes);
}

bool
LrHttpMessage_IsBodyDiscarded(const LrHttpMessage *message)
{
    return message->body_discarded;
}

void
LrHttpMessage_DropContent(LrHttpMessage *message)
{
    clear_text(&message->request_target);
    clear_headers(message);
    LrMemoryBudget_ClearBytes(&message->body, &message->body_bytes);
}

size_t
LrHttpMessage_HeldBytes(const LrHttpMessage *message)
{
    return message->request_target->allocated_len +
           message->header_text->allocated_len + message->header_table_bytes +
           message->body_bytes;
}

/* Whether the value of a Connection header lists the name. */
static bool
lists_name(LrStr list, LrStr name)
{
    size_t at = 0;
    while (at < list.len) {
        const char *start = list.ptr + at;
        const char *comma = memchr(start, ',', list.len - at);
        size_t len = comma ? (size_t)(comma - start) : list.len - at;
        at += len + 1;
        while (len > 0 && g_ascii_isspace(*start)) {
            start++;
            len--;
        }
        while (len > 0 && g_ascii_isspace(start[len - 1])) {
            len--;
        }
        if (len == name.len && !g_ascii_strncasecmp(start, name.ptr, len)) {
            return true;
        }
    }
    return false;
}

bool
LrHttpHeader_IsHopByHop(const LrHttpMessage *message, LrStr name)
{
    static const char *const names[] = {
        "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
        "Trailer",    "Upgrade",    "Transfer-Encoding", "Expect",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (LrHttpHeader_IsNamed(name, names[i])) {
            return true;
        }
    }
    return message->connection_at != NO_HEADER &&
           lists_name(
               LrHttpMessage_HeaderAt(message, (size_t)message->connection_at)
                   .value,
               name);
}
