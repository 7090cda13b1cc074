/* One line of key=value pairs an event, with a syslog priority in front. */
#include "lavenderrail.h"

struct LrLog {
    FILE *file;
    int level;
    GString *line;
};

LrLog *
LrLog_New(FILE *file, int level)
{
    LrLog *log = g_new0(LrLog, 1);
    log->file = file;
    log->level = level;
    log->line = g_string_new(NULL);
    return log;
}

void
LrLog_Free(LrLog *log)
{
    if (!log) {
        return;
    }
    g_string_free(log->line, TRUE);
    g_free(log);
}

LrLogField
LrLog_Str(const char *key, LrStr value)
{
    return (LrLogField){.key = key, .text = value};
}

LrLogField
LrLog_C(const char *key, const char *value)
{
    return LrLog_Str(key, LrStr_FromC(value));
}

LrLogField
LrLog_Int(const char *key, int64_t value)
{
    return (LrLogField){.key = key, .number = value, .is_number = true};
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
    GString *line = log->line;
    g_string_printf(line, "<%d>event=%s", priority, event);
    for (size_t i = 0; i < n_fields; i++) {
        const LrLogField *field = &fields[i];
        g_string_append_printf(line, " %s=", field->key);
        if (field->is_number) {
            g_string_append_printf(line, "%" G_GINT64_FORMAT, field->number);
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
    fwrite(line->str, 1, line->len, log->file);
    fflush(log->file);
}
