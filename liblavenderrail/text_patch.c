/* A text is cut into segments that end with a closing brace. Segments that the
 * base has are copied from there, in runs as long as possible; the others are
 * new bytes of the patch. */
#include "text_patch.h"

#include <string.h>

enum {
    /* Segments without a brace end here. */
    MAX_SEGMENT_BYTES = 1024,
    /* A piece takes about as many bytes as this; shorter ranges are not worth
     * one of their own. */
    PIECE_BYTES = 16,
};

struct LrTextPatch {
    LrPatchPieceMsg *pieces;
    size_t n_pieces;
    /* Bytes of all pieces, which their texts point into. */
    char *bytes;
    size_t n_bytes;
};

/* The pieces of a patch while it is made; their texts are ranges of the new
 * text. */
typedef struct {
    LrStr base;
    GArray *pieces;
    /* Segments of the base, and where each begins. */
    GHashTable *index;
    GArray *segments;
} Maker;

static LrStr
next_segment(LrStr text, size_t at)
{
    size_t max = MIN(text.len - at, (size_t)MAX_SEGMENT_BYTES);
    const char *end = memchr(text.ptr + at, '}', max);
    return (LrStr){.ptr = text.ptr + at,
                   .len = end ? (size_t)(end - text.ptr) + 1 - at : max};
}

/* Repeated segments are found where they occur first. */
static void
index_base(Maker *maker)
{
    for (size_t at = 0; at < maker->base.len;) {
        LrStr segment = next_segment(maker->base, at);
        g_array_append_val(maker->segments, segment);
        at += segment.len;
    }
    for (guint i = 0; i < maker->segments->len; i++) {
        LrStr *segment = &g_array_index(maker->segments, LrStr, i);
        if (!g_hash_table_contains(maker->index, segment)) {
            g_hash_table_add(maker->index, segment);
        }
    }
}

static LrPatchPieceMsg *
last_piece(const Maker *maker)
{
    return &g_array_index(maker->pieces, LrPatchPieceMsg,
                          maker->pieces->len - 1);
}

/* Whether the base goes on with the segment where the last piece's range
 * ends. */
static bool
extends_range(const Maker *maker, LrStr segment)
{
    const LrPatchPieceMsg *piece = last_piece(maker);
    size_t end = (size_t)(piece->from + piece->length);
    return piece->text.len == 0 && piece->length > 0 &&
           maker->base.len - end >= segment.len &&
           memcmp(maker->base.ptr + end, segment.ptr, segment.len) == 0;
}

static void
add_segment(Maker *maker, LrStr segment)
{
    LrPatchPieceMsg *piece = last_piece(maker);
    if (extends_range(maker, segment)) {
        piece->length += (int64_t)segment.len;
        return;
    }
    const LrStr *found = segment.len >= PIECE_BYTES
                             ? g_hash_table_lookup(maker->index, &segment)
                             : NULL;
    if (found) {
        LrPatchPieceMsg copied = {
            .from = found->ptr - maker->base.ptr,
            .length = (int64_t)segment.len,
        };
        g_array_append_val(maker->pieces, copied);
        return;
    }
    if (piece->text.len == 0) {
        piece->text.ptr = segment.ptr;
    }
    piece->text.len += segment.len;
}

static LrTextPatch *
new_patch(const LrPatchPieceMsg *pieces, size_t n)
{
    LrTextPatch *patch = g_new0(LrTextPatch, 1);
    patch->n_pieces = n;
    patch->pieces = g_new(LrPatchPieceMsg, n + 1);
    for (size_t i = 0; i < n; i++) {
        patch->n_bytes += pieces[i].text.len;
    }
    patch->bytes = g_malloc(patch->n_bytes + 1);
    size_t at = 0;
    for (size_t i = 0; i < n; i++) {
        LrStr text = pieces[i].text;
        patch->pieces[i] = pieces[i];
        patch->pieces[i].text.ptr = patch->bytes + at;
        if (text.len > 0) {
            memcpy(patch->bytes + at, text.ptr, text.len);
        }
        at += text.len;
    }
    return patch;
}

LrTextPatch *
LrTextPatch_Make(LrStr base, LrStr text)
{
    Maker maker = {
        .base = base,
        .pieces = g_array_new(FALSE, TRUE, sizeof(LrPatchPieceMsg)),
        .index = g_hash_table_new(LrStr_TableHash, LrStr_TableEqual),
        .segments = g_array_new(FALSE, FALSE, sizeof(LrStr)),
    };
    index_base(&maker);
    g_array_set_size(maker.pieces, 1);
    for (size_t at = 0; at < text.len;) {
        LrStr segment = next_segment(text, at);
        add_segment(&maker, segment);
        at += segment.len;
    }
    LrTextPatch *patch =
        new_patch((const LrPatchPieceMsg *)(const void *)maker.pieces->data,
                  maker.pieces->len);
    g_hash_table_unref(maker.index);
    g_array_unref(maker.segments);
    g_array_unref(maker.pieces);
    return patch;
}

LrTextPatch *
LrTextPatch_FromMessage(const LrTextPatchMsg *message)
{
    return new_patch(message->pieces, message->n_pieces);
}

void
LrTextPatch_Free(LrTextPatch *patch)
{
    if (!patch) {
        return;
    }
    g_free(patch->pieces);
    g_free(patch->bytes);
    g_free(patch);
}

void
LrTextPatch_ToMessage(const LrTextPatch *patch, LrTextPatchMsg *message)
{
    message->pieces = patch->pieces;
    message->n_pieces = patch->n_pieces;
}

size_t
LrTextPatch_Size(const LrTextPatch *patch)
{
    return patch->n_bytes + patch->n_pieces * PIECE_BYTES;
}

/* Length of the text that the patch makes; -1 when it doesn't fit. */
static int64_t
patched_length(const LrTextPatch *patch, LrStr base, size_t max_len)
{
    uint64_t len = 0;
    for (size_t i = 0; i < patch->n_pieces; i++) {
        const LrPatchPieceMsg *piece = &patch->pieces[i];
        if ((uint64_t)piece->from > base.len ||
            (uint64_t)piece->length > base.len - (uint64_t)piece->from) {
            return -1;
        }
        len += (uint64_t)piece->length + piece->text.len;
        if (len > max_len) {
            return -1;
        }
    }
    return (int64_t)len;
}

char *
LrTextPatch_Apply(const LrTextPatch *patch, LrStr base, size_t max_len,
                  size_t *len)
{
    int64_t total = patched_length(patch, base, max_len);
    if (total < 0) {
        return NULL;
    }
    char *text = g_malloc((size_t)total + 1);
    size_t at = 0;
    for (size_t i = 0; i < patch->n_pieces; i++) {
        const LrPatchPieceMsg *piece = &patch->pieces[i];
        if (piece->length > 0) {
            memcpy(text + at, base.ptr + piece->from, (size_t)piece->length);
            at += (size_t)piece->length;
        }
        if (piece->text.len > 0) {
            memcpy(text + at, piece->text.ptr, piece->text.len);
            at += piece->text.len;
        }
    }
    text[at] = 0;
    *len = at;
    return text;
}
