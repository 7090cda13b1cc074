/* Strings with a length, which need no terminating NUL. */
#include "lavenderrail.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include <xxhash.h>

LrStr
LrStr_FromC(const char *text)
{
    return (LrStr){.ptr = text, .len = text ? strlen(text) : 0};
}

LrStr
LrStr_FromBytes(GBytes *bytes)
{
    if (!bytes) {
        return (LrStr){.ptr = "", .len = 0};
    }
    gsize len;
    const char *ptr = g_bytes_get_data(bytes, &len);
    return (LrStr){.ptr = ptr ? ptr : "", .len = len};
}

bool
LrStr_Equal(LrStr a, LrStr b)
{
    return a.len == b.len && (a.len == 0 || !memcmp(a.ptr, b.ptr, a.len));
}

bool
LrStr_EqualC(LrStr a, const char *b)
{
    return LrStr_Equal(a, LrStr_FromC(b));
}

bool
LrStr_HasPrefix(LrStr text, const char *prefix)
{
    size_t len = strlen(prefix);
    return text.len >= len && !memcmp(text.ptr, prefix, len);
}

int
LrStr_Compare(LrStr a, LrStr b)
{
    size_t len = MIN(a.len, b.len);
    int result = len ? memcmp(a.ptr, b.ptr, len) : 0;
    if (result) {
        return result;
    }
    return (a.len > b.len) - (a.len < b.len);
}

char *
LrStr_Dup(LrStr text)
{
    return g_strndup(text.len ? text.ptr : "", text.len);
}

LrStr
LrStr_Copy(LrStr text)
{
    return (LrStr){.ptr = LrStr_Dup(text), .len = text.len};
}

uint64_t
LrStr_Hash(LrStr text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.ptr, text.len, seed);
}

guint
LrStr_TableHash(gconstpointer key)
{
    return (guint)LrStr_Hash(*(const LrStr *)key, 0);
}

gboolean
LrStr_TableEqual(gconstpointer a, gconstpointer b)
{
    return LrStr_Equal(*(const LrStr *)a, *(const LrStr *)b);
}

bool
LrStr_ToInt(LrStr text, int64_t *out)
{
    g_autofree char *copy = LrStr_Dup(text);
    if (strlen(copy) != text.len) {
        return false;
    }
    return g_ascii_string_to_signed(copy, 10, INT64_MIN, INT64_MAX, out, NULL);
}

bool
LrStr_ToReal(LrStr text, double *out)
{
    /* The number parser also accepts leading spaces, hexadecimal digits, and
     * names such as inf. */
    for (size_t i = 0; i < text.len; i++) {
        if (!strchr("0123456789+-.eE", text.ptr[i])) {
            return false;
        }
    }
    g_autofree char *copy = LrStr_Dup(text);
    char *end = copy;
    *out = g_ascii_strtod(copy, &end);
    return end != copy && (size_t)(end - copy) == text.len && isfinite(*out);
}

bool
LrStr_NextListItem(LrStr *rest, LrStr *item)
{
    if (rest->len == 0) {
        return false;
    }
    const char *comma = memchr(rest->ptr, ',', rest->len);
    *item = (LrStr){.ptr = rest->ptr, .len = rest->len};
    if (comma) {
        item->len = (size_t)(comma - rest->ptr);
    }
    size_t n_consumed = MIN(rest->len, item->len + 1);
    rest->ptr += n_consumed;
    rest->len -= n_consumed;
    return true;
}

bool
LrStr_ToAddress(LrStr text, char *host, size_t host_size, uint16_t *port)
{
    const char *colon = NULL;
    for (size_t i = 0; i < text.len; i++) {
        if (text.ptr[i] == ':') {
            colon = text.ptr + i;
        }
    }
    if (!colon) {
        return false;
    }
    LrStr ip = {.ptr = text.ptr, .len = (size_t)(colon - text.ptr)};
    LrStr port_text = {.ptr = colon + 1, .len = text.len - ip.len - 1};
    int64_t number;
    if (!LrStr_ToInt(port_text, &number) || number < 1 ||
        number > UINT16_MAX) {
        return false;
    }
    int family = AF_INET;
    if (ip.len > 2 && ip.ptr[0] == '[' && ip.ptr[ip.len - 1] == ']') {
        ip = (LrStr){.ptr = ip.ptr + 1, .len = ip.len - 2};
        family = AF_INET6;
    }
    if (ip.len + 1 > host_size) {
        return false;
    }
    memcpy(host, ip.ptr, ip.len);
    host[ip.len] = '\0';
    struct in6_addr parsed;
    if (inet_pton(family, host, &parsed) != 1) {
        return false;
    }
    *port = (uint16_t)number;
    return true;
}
