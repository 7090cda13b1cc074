/* The log: one line of key=value pairs per event, prefixed with its syslog
 * priority. */
#include "lavenderrail.h"

#include <poll.h>
#include <unistd.h>

enum {
    /* A pipe that polls as writable takes this much without blocking. */
    WRITE_CHUNK_BYTES = 4096,
    /* Lines are dropped beyond this when the reader falls behind. */
    MAX_PENDING_BYTES = 256 << 10,
};

/* Burst that the rate limit allows, in seconds of its rate. */
#define BURST_SECONDS 2.0
/* Of the lines that LrLogLimit allows. */
#define LIMITED_LINES_INTERVAL LR_SECOND

struct LrLog {
    FILE *file;
    int level;
    GString *line;
    GString *pending;
    bool rate_limited;
    LrStr host;
    LrTokenBucket info_bucket;
    uint64_t n_rate_limited;
    uint64_t n_dropped;
};

LrLog *
LrLog_New(FILE *file, int level)
{
    LrLog *log = g_new0(LrLog, 1);
    log->file = file;
    log->level = level;
    log->line = g_string_new(NULL);
    log->pending = g_string_new(NULL);
    return log;
}

void
LrLog_Free(LrLog *log)
{
    if (!log) {
        return;
    }
    LrLog_Flush(log);
    g_string_free(log->line, TRUE);
    g_string_free(log->pending, TRUE);
    g_free(log);
}

void
LrLog_SetRateLimit(LrLog *log, double lines_per_second)
{
    log->rate_limited = true;
    LrTokenBucket_Init(&log->info_bucket, lines_per_second,
                       BURST_SECONDS * lines_per_second, LrClock_Now());
}

void
LrLog_SetHost(LrLog *log, LrStr host)
{
    log->host = host;
}

static void
start_line(LrLog *log, int priority, const char *event)
{
    g_string_printf(log->line, "<%d>", priority);
    if (log->host.len > 0) {
        g_string_append_printf(log->line, "ts=%" G_GINT64_FORMAT " host=%.*s ",
                               LrClock_WallMs(), (int)log->host.len,
                               log->host.ptr);
    }
    g_string_append_printf(log->line, "event=%s", event);
}

static void
append_pending(LrLog *log)
{
    if (log->pending->len + log->line->len > MAX_PENDING_BYTES) {
        log->n_dropped++;
        return;
    }
    g_string_append_len(log->pending, log->line->str, (gssize)log->line->len);
}

/* Logs how many lines the rate limit and a full buffer suppressed. */
static void
append_gap_line(LrLog *log)
{
    if (log->n_rate_limited == 0 && log->n_dropped == 0) {
        return;
    }
    start_line(log, LOG_WARNING, "log_gap");
    g_string_append_printf(log->line,
                           " held_back=%" G_GUINT64_FORMAT
                           " dropped=%" G_GUINT64_FORMAT "\n",
                           log->n_rate_limited, log->n_dropped);
    log->n_rate_limited = 0;
    log->n_dropped = 0;
    append_pending(log);
}

static bool
is_writable(int fd)
{
    struct pollfd poll_fd = {.fd = fd, .events = POLLOUT};
    return poll(&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT);
}

static void
flush_file(LrLog *log)
{
    fwrite(log->pending->str, 1, log->pending->len, log->file);
    fflush(log->file);
    g_string_truncate(log->pending, 0);
}

void
LrLog_Flush(LrLog *log)
{
    if (!log->rate_limited) {
        flush_file(log);
        return;
    }
    int fd = fileno(log->file);
    append_gap_line(log);
    while (log->pending->len > 0 && is_writable(fd)) {
        ssize_t n_written = write(fd, log->pending->str,
                                  MIN(log->pending->len, WRITE_CHUNK_BYTES));
        if (n_written <= 0) {
            return;
        }
        g_string_erase(log->pending, 0, n_written);
    }
}

LrLogField
LrLog_Str(const char *key, LrStr value)
{
    return (LrLogField){.key = key, .text = value};
}

LrLogField
LrLog_CStr(const char *key, const char *value)
{
    return LrLog_Str(key, LrStr_FromC(value));
}

LrLogField
LrLog_Int(const char *key, int64_t value)
{
    return (LrLogField){.key = key, .number = value, .is_number = true};
}

LrLogField
LrLog_Hex(const char *key, uint64_t value)
{
    return (LrLogField){.key = key, .number = (int64_t)value, .is_hex = true};
}

static bool
needs_quotes(LrStr text)
{
    if (text.len == 0) {
        return true;
    }
    for (size_t i = 0; i < text.len; i++) {
        unsigned char c = (unsigned char)text.ptr[i];
        if (c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\') {
            return true;
        }
    }
    return false;
}

static void
append_quoted(GString *line, LrStr text)
{
    g_string_append_c(line, '"');
    for (size_t i = 0; i < text.len; i++) {
        unsigned char c = (unsigned char)text.ptr[i];
        if (c == '"' || c == '\\') {
            g_string_append_c(line, '\\');
            g_string_append_c(line, (char)c);
        }
        else if (c < ' ' || c == 0x7f) {
            g_string_append_printf(line, "\\x%02x", c);
        }
        else {
            g_string_append_c(line, (char)c);
        }
    }
    g_string_append_c(line, '"');
}

void
LrLog_Write(LrLog *log, int priority, const char *event,
            const LrLogField *fields, size_t n_fields)
{
    if (!log || priority > log->level) {
        return;
    }
    if (log->rate_limited && priority >= LOG_INFO &&
        !LrTokenBucket_Take(&log->info_bucket, LrClock_Now())) {
        log->n_rate_limited++;
        return;
    }
    GString *line = log->line;
    start_line(log, priority, event);
    for (size_t i = 0; i < n_fields; i++) {
        const LrLogField *field = &fields[i];
        g_string_append_printf(line, " %s=", field->key);
        if (field->is_number) {
            g_string_append_printf(line, "%" G_GINT64_FORMAT, field->number);
        }
        else if (field->is_hex) {
            g_string_append_printf(line, "%016" G_GINT64_MODIFIER "x",
                                   (uint64_t)field->number);
        }
        else if (needs_quotes(field->text)) {
            append_quoted(line, field->text);
        }
        else {
            g_string_append_len(line, field->text.ptr,
                                (gssize)field->text.len);
        }
    }
    g_string_append_c(line, '\n');
    append_pending(log);
    if (!log->rate_limited || priority <= LOG_WARNING ||
        log->pending->len > WRITE_CHUNK_BYTES) {
        LrLog_Flush(log);
    }
}

uint64_t
LrLogLimit_Count(LrLogLimit *limit, LrTime now)
{
    limit->n_unreported++;
    if (now - limit->reported_at < LIMITED_LINES_INTERVAL) {
        return 0;
    }
    limit->reported_at = now;
    uint64_t n = limit->n_unreported;
    limit->n_unreported = 0;
    return n;
}
