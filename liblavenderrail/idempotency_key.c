/* Idempotency keys as daemons issue them. A key names its coordinator, the
 * incarnation that may run its request and its expiry, so that the daemons
 * need no consensus. */
#include "lavenderrail.h"

#include <string.h>

#define KEY_PREFIX "lr1"

enum { KEY_FIELDS = 5, KEY_MAX_LEN = 256 };

char *
LrIdempotencyKey_Format(const LrIdempotencyKey *key)
{
    return g_strdup_printf(KEY_PREFIX "~%.*s~%" G_GINT64_FORMAT
                                      "~%" G_GINT64_FORMAT
                                      "~%016" G_GINT64_MODIFIER "x",
                           (int)key->host.len, key->host.ptr, key->incarnation,
                           key->expires_ms, key->nonce);
}

static size_t
split_key(LrStr text, LrStr fields[KEY_FIELDS])
{
    size_t n = 0;
    size_t start = 0;
    for (size_t i = 0; i <= text.len; i++) {
        if (i < text.len && text.ptr[i] != '~') {
            continue;
        }
        if (n == KEY_FIELDS) {
            return n + 1;
        }
        fields[n++] = (LrStr){.ptr = text.ptr + start, .len = i - start};
        start = i + 1;
    }
    return n;
}

bool
LrIdempotencyKey_Parse(LrStr text, LrIdempotencyKey *key)
{
    LrStr fields[KEY_FIELDS];
    if (text.len > KEY_MAX_LEN || split_key(text, fields) != KEY_FIELDS ||
        !LrStr_EqualC(fields[0], KEY_PREFIX) || fields[1].len == 0) {
        return false;
    }
    g_autofree char *nonce = LrStr_Dup(fields[4]);
    if (strlen(nonce) != 16 ||
        !g_ascii_string_to_unsigned(nonce, 16, 0, UINT64_MAX, &key->nonce,
                                    NULL)) {
        return false;
    }
    key->host = fields[1];
    return LrStr_ToInt(fields[2], &key->incarnation) &&
           LrStr_ToInt(fields[3], &key->expires_ms);
}
