/* Delimits JSON values by their quotes and brackets. */
#include "json_scan.h"

#include <string.h>

typedef struct {
    const char *at;
    const char *end;
} Cursor;

static void
skip_space(Cursor *cursor)
{
    while (cursor->at < cursor->end &&
           (*cursor->at == ' ' || *cursor->at == '\t' || *cursor->at == '\n' ||
            *cursor->at == '\r')) {
        cursor->at++;
    }
}

/* Skips spaces, and the character if it is next. */
static bool
skip_char(Cursor *cursor, char c)
{
    skip_space(cursor);
    if (cursor->at == cursor->end || *cursor->at != c) {
        return false;
    }
    cursor->at++;
    return true;
}

static bool
skip_string(Cursor *cursor)
{
    const char *at = cursor->at + 1;
    while (at < cursor->end && *at != '"') {
        at += *at == '\\' ? 2 : 1;
    }
    if (at >= cursor->end) {
        return false;
    }
    cursor->at = at + 1;
    return true;
}

/* Bytes that delimit something; all others are passed over quickly. */
static const bool DELIMITERS[256] = {
    ['"'] = true, ['{'] = true, ['}'] = true, ['['] = true, [']'] = true,
};

/* Skips an object or an array with all that is in it. */
static bool
skip_brackets(Cursor *cursor)
{
    size_t depth = 0;
    while (cursor->at < cursor->end) {
        char c = *cursor->at;
        if (!DELIMITERS[(unsigned char)c]) {
            cursor->at++;
            continue;
        }
        if (c == '"') {
            if (!skip_string(cursor)) {
                return false;
            }
            continue;
        }
        cursor->at++;
        if (c == '{' || c == '[') {
            depth++;
        }
        else if (--depth == 0) {
            return true;
        }
    }
    return false;
}

/* Skips a number, true, false or null. */
static bool
skip_word(Cursor *cursor)
{
    const char *begin = cursor->at;
    while (cursor->at < cursor->end && !strchr(",]} \t\r\n", *cursor->at)) {
        cursor->at++;
    }
    return cursor->at > begin;
}

static bool
scan_value(Cursor *cursor, LrStr *value)
{
    skip_space(cursor);
    if (cursor->at == cursor->end) {
        return false;
    }
    const char *begin = cursor->at;
    bool found = false;
    switch (*begin) {
    case '"':
        found = skip_string(cursor);
        break;
    case '{':
    case '[':
        found = skip_brackets(cursor);
        break;
    default:
        found = skip_word(cursor);
        break;
    }
    *value = (LrStr){.ptr = begin, .len = (size_t)(cursor->at - begin)};
    return found;
}

static bool
scan_name(Cursor *cursor, LrStr *name)
{
    skip_space(cursor);
    if (cursor->at == cursor->end || *cursor->at != '"') {
        return false;
    }
    const char *begin = cursor->at + 1;
    if (!skip_string(cursor)) {
        return false;
    }
    *name = (LrStr){.ptr = begin, .len = (size_t)(cursor->at - 1 - begin)};
    return !memchr(name->ptr, '\\', name->len) && skip_char(cursor, ':');
}

static bool
scan(LrStr text, char open, char close, LrJsonScanFunc func, void *data)
{
    Cursor cursor = {.at = text.ptr, .end = text.ptr + text.len};
    if (!skip_char(&cursor, open)) {
        return false;
    }
    bool more = !skip_char(&cursor, close);
    while (more) {
        LrStr name = LrStr_FromC("");
        LrStr value;
        if ((open == '{' && !scan_name(&cursor, &name)) ||
            !scan_value(&cursor, &value) || !func(data, name, value)) {
            return false;
        }
        more = skip_char(&cursor, ',');
        if (!more && !skip_char(&cursor, close)) {
            return false;
        }
    }
    skip_space(&cursor);
    return cursor.at == cursor.end;
}

bool
LrJsonScan_Object(LrStr text, LrJsonScanFunc func, void *data)
{
    return scan(text, '{', '}', func, data);
}

bool
LrJsonScan_Array(LrStr text, LrJsonScanFunc func, void *data)
{
    return scan(text, '[', ']', func, data);
}

typedef struct {
    const char *name;
    LrStr value;
    unsigned n_found;
} Wanted;

static bool
find_member(void *data, LrStr name, LrStr value)
{
    Wanted *wanted = data;
    if (LrStr_EqualC(name, wanted->name)) {
        wanted->value = value;
        wanted->n_found++;
    }
    return true;
}

bool
LrJsonScan_SplitArray(LrStr text, const char *name, LrJsonSplit *split)
{
    Wanted wanted = {.name = name};
    if (!LrJsonScan_Object(text, find_member, &wanted) ||
        wanted.n_found != 1 || wanted.value.ptr[0] != '[') {
        return false;
    }
    size_t before = (size_t)(wanted.value.ptr - text.ptr);
    const char *after = wanted.value.ptr + wanted.value.len;
    GString *rest = g_string_new_len(text.ptr, (gssize)before);
    g_string_append(rest, "[]");
    g_string_append_len(rest, after, text.ptr + text.len - after);
    split->array = wanted.value;
    split->rest_len = rest->len;
    split->rest = g_string_free(rest, FALSE);
    return true;
}
