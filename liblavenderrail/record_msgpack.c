/* msgpack codec of records, for the messages between daemons. */
#include "record.h"

#include <math.h>

#include <msgpack.h>

static int
append_bytes(void *data, const char *bytes, size_t len)
{
    g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
    return 0;
}

static void pack_record(const LrObjectSpec *spec, const void *in,
                        msgpack_packer *packer);

static void
pack_field(const LrFieldSpec *field, const void *in, msgpack_packer *packer)
{
    const void *at = LrField_ConstPointer(field, in);
    LrStr text;
    switch (field->kind) {
    case LR_FIELD_STR:
        text = *(const LrStr *)at;
        msgpack_pack_bin_with_body(packer, text.ptr, text.len);
        break;
    case LR_FIELD_INT:
        msgpack_pack_int64(packer, *(const int64_t *)at);
        break;
    case LR_FIELD_REAL:
        msgpack_pack_double(packer, *(const double *)at);
        break;
    case LR_FIELD_BOOL:
        msgpack_pack_int64(packer, *(const bool *)at);
        break;
    case LR_FIELD_ENUM:
        msgpack_pack_int64(packer, *(const int *)at);
        break;
    case LR_FIELD_LIST: {
        size_t n = LrField_ListLength(field, in);
        const char *items = *(char *const *)at;
        msgpack_pack_array(packer, n);
        for (size_t i = 0; i < n; i++) {
            pack_record(field->object, items + i * field->object->size,
                        packer);
        }
        break;
    }
    }
}

static void
pack_record(const LrObjectSpec *spec, const void *in, msgpack_packer *packer)
{
    msgpack_pack_array(packer, spec->n_fields + 1);
    msgpack_pack_int64(packer, spec->tag);
    for (size_t i = 0; i < spec->n_fields; i++) {
        pack_field(&spec->fields[i], in, packer);
    }
}

void
LrRecord_Pack(const LrObjectSpec *spec, const void *in, GByteArray *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, append_bytes);
    pack_record(spec, in, &packer);
}

static bool
object_number(const msgpack_object *object, double *value)
{
    switch (object->type) {
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
        *value = (double)object->via.u64;
        return true;
    case MSGPACK_OBJECT_NEGATIVE_INTEGER:
        *value = (double)object->via.i64;
        return true;
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64:
        *value = object->via.f64;
        return true;
    default:
        return false;
    }
}

/* The number as int64_t; exact for integers, which may not fit a double. */
static int64_t
object_integer(const msgpack_object *object, double value)
{
    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return (int64_t)MIN(object->via.u64, (uint64_t)INT64_MAX);
    }
    if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        return object->via.i64;
    }
    return (int64_t)CLAMP(value, -9e15, 9e15);
}

static bool unpack_record(const LrObjectSpec *spec,
                          const msgpack_object *object, void *out,
                          LrArena *arena);

static bool
unpack_list(const LrFieldSpec *field, const msgpack_object *object, void *out,
            LrArena *arena)
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    size_t n = object->via.array.size;
    size_t size = field->object->size;
    char *items = LrArena_Alloc(arena, n * size);
    for (size_t i = 0; i < n; i++) {
        if (!unpack_record(field->object, &object->via.array.ptr[i],
                           items + i * size, arena)) {
            return false;
        }
    }
    LrField_SetList(field, out, items, n);
    return true;
}

static bool
number_valid(const LrFieldSpec *field, double value)
{
    if (field->kind == LR_FIELD_ENUM) {
        int n = 0;
        while (field->choices[n]) {
            n++;
        }
        return value >= 0 && value < n;
    }
    if (field->kind == LR_FIELD_INT && value != floor(value)) {
        return false;
    }
    bool ranged = field->min != 0 || field->max != 0;
    return isfinite(value) &&
           (!ranged || (value >= field->min && value <= field->max));
}

static bool
unpack_field(const LrFieldSpec *field, const msgpack_object *object, void *out,
             LrArena *arena)
{
    if (field->kind == LR_FIELD_LIST) {
        return unpack_list(field, object, out, arena);
    }
    if (field->kind == LR_FIELD_STR) {
        if (object->type != MSGPACK_OBJECT_BIN) {
            return false;
        }
        LrStr text = {.ptr = object->via.bin.ptr, .len = object->via.bin.size};
        *(LrStr *)LrField_Pointer(field, out) = LrArena_Copy(arena, text);
        return true;
    }
    double value;
    if (!object_number(object, &value) || !number_valid(field, value)) {
        return false;
    }
    if (field->kind == LR_FIELD_INT) {
        *(int64_t *)LrField_Pointer(field, out) =
            object_integer(object, value);
    }
    else {
        LrField_SetNumber(field, out, value);
    }
    return true;
}

static bool
unpack_record(const LrObjectSpec *spec, const msgpack_object *object,
              void *out, LrArena *arena)
{
    LrRecord_Init(spec, out);
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    size_t n = object->via.array.size;
    for (size_t i = 0; i < spec->n_fields; i++) {
        const LrFieldSpec *field = &spec->fields[i];
        if (i + 1 >= n) {
            if (field->required) {
                return false;
            }
            continue;
        }
        if (!unpack_field(field, &object->via.array.ptr[i + 1], out, arena)) {
            return false;
        }
    }
    return true;
}

/* Big-endian number of up to four bytes. */
static size_t
read_length(const unsigned char *at, size_t n_bytes)
{
    size_t length = 0;
    for (size_t i = 0; i < n_bytes; i++) {
        length = length << 8 | at[i];
    }
    return length;
}

/* The msgpack encodings that messages use, by range of the first byte: how
 * many bytes of length follow it, and how many of a value of fixed size. */
typedef struct {
    unsigned char first;
    unsigned char last;
    unsigned char length_bytes;
    unsigned char value_bytes;
    bool is_array;
} Kind;

static const Kind KINDS[] = {
    {0x00, 0x7f, 0, 0, false}, {0x90, 0x9f, 0, 0, true},
    {0xc4, 0xc4, 1, 0, false}, {0xc5, 0xc5, 2, 0, false},
    {0xc6, 0xc6, 4, 0, false}, {0xca, 0xca, 0, 4, false},
    {0xcb, 0xcb, 0, 8, false}, {0xcc, 0xcc, 0, 1, false},
    {0xcd, 0xcd, 0, 2, false}, {0xce, 0xce, 0, 4, false},
    {0xcf, 0xcf, 0, 8, false}, {0xd0, 0xd0, 0, 1, false},
    {0xd1, 0xd1, 0, 2, false}, {0xd2, 0xd2, 0, 4, false},
    {0xd3, 0xd3, 0, 8, false}, {0xdc, 0xdc, 2, 0, true},
    {0xdd, 0xdd, 4, 0, true},  {0xe0, 0xff, 0, 0, false},
};

static const Kind *
find_kind(unsigned char byte)
{
    for (size_t i = 0; i < G_N_ELEMENTS(KINDS); i++) {
        if (byte >= KINDS[i].first && byte <= KINDS[i].last) {
            return &KINDS[i];
        }
    }
    return NULL;
}

/* Whether all lengths given in the data are within its bounds. msgpack-c
 * allocates by these lengths before it validates them. */
static bool
lengths_fit(LrStr data)
{
    const unsigned char *at = (const unsigned char *)data.ptr;
    size_t left = data.len;
    size_t n_open = 1;
    while (n_open > 0 && n_open <= left) {
        const Kind *kind = find_kind(*at);
        if (!kind || left < 1U + kind->length_bytes + kind->value_bytes) {
            return false;
        }
        size_t length = read_length(at + 1, kind->length_bytes);
        if (kind->is_array && kind->length_bytes == 0) {
            length = *at & 0x0f;
        }
        size_t skip = 1U + kind->length_bytes + kind->value_bytes;
        skip += kind->is_array ? 0 : length;
        if (length > left || skip > left) {
            return false;
        }
        n_open += kind->is_array ? length : 0;
        n_open--;
        at += skip;
        left -= skip;
    }
    return n_open == 0;
}

static bool
unpack_object(msgpack_unpacked *unpacked, LrStr data)
{
    msgpack_unpacked_init(unpacked);
    if (!lengths_fit(data)) {
        return false;
    }
    size_t offset = 0;
    msgpack_unpack_return got =
        msgpack_unpack_next(unpacked, data.ptr, data.len, &offset);
    return got == MSGPACK_UNPACK_SUCCESS && offset == data.len &&
           unpacked->data.type == MSGPACK_OBJECT_ARRAY &&
           unpacked->data.via.array.size > 0;
}

static int
object_tag(const msgpack_object *object)
{
    const msgpack_object *first = &object->via.array.ptr[0];
    if (first->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        first->via.u64 > INT16_MAX) {
        return -1;
    }
    return (int)first->via.u64;
}

int
LrRecord_PeekTag(LrStr data)
{
    msgpack_unpacked unpacked;
    int tag = -1;
    if (unpack_object(&unpacked, data)) {
        tag = object_tag(&unpacked.data);
    }
    msgpack_unpacked_destroy(&unpacked);
    return tag;
}

bool
LrRecord_Unpack(const LrObjectSpec *spec, LrStr data, void *out,
                LrArena *arena, GError **error)
{
    msgpack_unpacked unpacked;
    bool valid = unpack_object(&unpacked, data) &&
                 object_tag(&unpacked.data) == spec->tag &&
                 unpack_record(spec, &unpacked.data, out, arena);
    msgpack_unpacked_destroy(&unpacked);
    if (!valid) {
        g_set_error(error, LR_ERROR, LR_ERROR_PROTOCOL,
                    "%zu bytes are not a valid %s", data.len, spec->name);
    }
    return valid;
}
