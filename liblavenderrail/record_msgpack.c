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

static void pack_record(const LrRecordDescriptor *spec, const void *record,
                        msgpack_packer *packer);

static void
pack_field(const LrFieldDescriptor *field, const void *record,
           msgpack_packer *packer)
{
    const void *member = LrField_ConstPointer(field, record);
    LrStr text;
    switch (field->kind) {
    case LR_FIELD_STR:
        text = *(const LrStr *)member;
        msgpack_pack_bin_with_body(packer, text.ptr, text.len);
        break;
    case LR_FIELD_INT:
        msgpack_pack_int64(packer, *(const int64_t *)member);
        break;
    case LR_FIELD_REAL:
        msgpack_pack_double(packer, *(const double *)member);
        break;
    case LR_FIELD_BOOL:
        msgpack_pack_int64(packer, *(const bool *)member);
        break;
    case LR_FIELD_ENUM:
        msgpack_pack_int64(packer, *(const int *)member);
        break;
    case LR_FIELD_LIST: {
        size_t n = LrField_ListLength(field, record);
        const char *items = *(char *const *)member;
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
pack_record(const LrRecordDescriptor *spec, const void *record,
            msgpack_packer *packer)
{
    msgpack_pack_array(packer, spec->n_fields + 1);
    msgpack_pack_int64(packer, spec->tag);
    for (size_t i = 0; i < spec->n_fields; i++) {
        pack_field(&spec->fields[i], record, packer);
    }
}

void
LrRecord_Pack(const LrRecordDescriptor *spec, const void *record,
              GByteArray *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, append_bytes);
    pack_record(spec, record, &packer);
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

static bool unpack_record(const LrRecordDescriptor *spec,
                          const msgpack_object *object, void *record,
                          LrArena *arena);

static bool
unpack_list(const LrFieldDescriptor *field, const msgpack_object *object,
            void *record, LrArena *arena)
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
    LrField_SetList(field, record, items, n);
    return true;
}

/* Whether a later build sent a choice that this one does not know. */
static bool
is_unknown_choice(const LrFieldDescriptor *field, double value)
{
    int n = 0;
    while (field->open && field->choices[n]) {
        n++;
    }
    return n > 0 && value >= n && value == floor(value);
}

static bool
is_valid_number(const LrFieldDescriptor *field, double value)
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
    bool has_range = field->min != 0 || field->max != 0;
    return isfinite(value) &&
           (!has_range || (value >= field->min && value <= field->max));
}

static bool
unpack_field(const LrFieldDescriptor *field, const msgpack_object *object,
             void *record, LrArena *arena)
{
    if (field->kind == LR_FIELD_LIST) {
        return unpack_list(field, object, record, arena);
    }
    if (field->kind == LR_FIELD_STR) {
        if (object->type != MSGPACK_OBJECT_BIN) {
            return false;
        }
        LrStr text = {.ptr = object->via.bin.ptr, .len = object->via.bin.size};
        *(LrStr *)LrField_Pointer(field, record) = LrArena_Copy(arena, text);
        return true;
    }
    double value;
    if (!object_number(object, &value)) {
        return false;
    }
    if (is_unknown_choice(field, value)) {
        return true;
    }
    if (!is_valid_number(field, value)) {
        return false;
    }
    if (field->kind == LR_FIELD_INT) {
        *(int64_t *)LrField_Pointer(field, record) =
            object_integer(object, value);
    }
    else {
        LrField_SetNumber(field, record, value);
    }
    return true;
}

static bool
unpack_record(const LrRecordDescriptor *spec, const msgpack_object *object,
              void *record, LrArena *arena)
{
    LrRecord_Init(spec, record);
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    size_t n = object->via.array.size;
    for (size_t i = 0; i < spec->n_fields; i++) {
        const LrFieldDescriptor *field = &spec->fields[i];
        if (i + 1 >= n) {
            if (field->required) {
                return false;
            }
            continue;
        }
        if (!unpack_field(field, &object->via.array.ptr[i + 1], record,
                          arena)) {
            return false;
        }
    }
    return true;
}

/* Big-endian number of up to four bytes. */
static size_t
read_length(const unsigned char *bytes, size_t n_bytes)
{
    size_t length = 0;
    for (size_t i = 0; i < n_bytes; i++) {
        length = length << 8 | bytes[i];
    }
    return length;
}

/* The msgpack encodings that messages use, by range of the first byte: how
 * many bytes of length follow it, and how many of a value of fixed size. */
typedef struct {
    unsigned char first_byte;
    unsigned char last_byte;
    unsigned char length_bytes;
    unsigned char value_bytes;
    bool is_array;
} Encoding;

static const Encoding ENCODINGS[] = {
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

static const Encoding *
find_encoding(unsigned char byte)
{
    for (size_t i = 0; i < G_N_ELEMENTS(ENCODINGS); i++) {
        if (byte >= ENCODINGS[i].first_byte &&
            byte <= ENCODINGS[i].last_byte) {
            return &ENCODINGS[i];
        }
    }
    return NULL;
}

/* Whether all lengths given in the data are within its bounds. msgpack-c
 * allocates by these lengths before it validates them. */
static bool
lengths_are_valid(LrStr data)
{
    const unsigned char *next = (const unsigned char *)data.ptr;
    size_t n_left = data.len;
    size_t n_expected = 1;
    while (n_expected > 0 && n_expected <= n_left) {
        const Encoding *encoding = find_encoding(*next);
        if (!encoding ||
            n_left < 1U + encoding->length_bytes + encoding->value_bytes) {
            return false;
        }
        size_t length = read_length(next + 1, encoding->length_bytes);
        if (encoding->is_array && encoding->length_bytes == 0) {
            length = *next & 0x0f;
        }
        size_t n_used = 1U + encoding->length_bytes + encoding->value_bytes;
        n_used += encoding->is_array ? 0 : length;
        if (length > n_left || n_used > n_left) {
            return false;
        }
        n_expected += encoding->is_array ? length : 0;
        n_expected--;
        next += n_used;
        n_left -= n_used;
    }
    return n_expected == 0;
}

static bool
unpack_object(msgpack_unpacked *unpacked, LrStr data)
{
    msgpack_unpacked_init(unpacked);
    if (!lengths_are_valid(data)) {
        return false;
    }
    size_t offset = 0;
    msgpack_unpack_return result =
        msgpack_unpack_next(unpacked, data.ptr, data.len, &offset);
    return result == MSGPACK_UNPACK_SUCCESS && offset == data.len &&
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
LrRecord_Unpack(const LrRecordDescriptor *spec, LrStr data, void *record,
                LrArena *arena, GError **error)
{
    msgpack_unpacked unpacked;
    bool valid = unpack_object(&unpacked, data) &&
                 object_tag(&unpacked.data) == spec->tag &&
                 unpack_record(spec, &unpacked.data, record, arena);
    msgpack_unpacked_destroy(&unpacked);
    if (!valid) {
        g_set_error(error, LR_ERROR, LR_ERROR_PROTOCOL,
                    "%zu bytes are not a valid %s", data.len, spec->name);
    }
    return valid;
}
