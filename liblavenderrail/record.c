/* Structs described by generated tables: defaults, text, JSON, msgpack. */
#include "lavenderrail.h"

#include <math.h>
#include <string.h>

#include <jansson.h>
#include <msgpack.h>

static void *
field_at(const LrFieldSpec *field, void *record)
{
    return (char *)record + field->offset;
}

static const void *
field_in(const LrFieldSpec *field, const void *record)
{
    return (const char *)record + field->offset;
}

static size_t
list_len(const LrFieldSpec *field, const void *record)
{
    return *(const size_t *)((const char *)record + field->count_offset);
}

static void
set_number(const LrFieldSpec *field, void *out, double value)
{
    void *at = field_at(field, out);
    switch (field->kind) {
    case LR_FIELD_INT:
        *(int64_t *)at = (int64_t)value;
        break;
    case LR_FIELD_REAL:
        *(double *)at = value;
        break;
    case LR_FIELD_BOOL:
        *(bool *)at = value != 0;
        break;
    case LR_FIELD_ENUM:
        *(int *)at = (int)value;
        break;
    case LR_FIELD_STR:
    case LR_FIELD_LIST:
        break;
    }
}

void
LrRecord_Init(const LrObjectSpec *spec, void *out)
{
    memset(out, 0, spec->size);
    for (size_t i = 0; i < spec->n_fields; i++) {
        const LrFieldSpec *field = &spec->fields[i];
        set_number(field, out, field->fallback);
        if (field->kind == LR_FIELD_STR) {
            const char *text = field->fallback_str;
            *(LrStr *)field_at(field, out) = LrStr_FromC(text ? text : "");
        }
    }
}

static bool
check_range(const LrFieldSpec *field, double value, const char *path,
            LrFaults *faults)
{
    bool ranged = field->min != 0 || field->max != 0;
    if (ranged && !(value >= field->min && value <= field->max)) {
        LrFaults_Add(faults, path, field->hint,
                     "is %.17g, outside %.17g to %.17g", value, field->min,
                     field->max);
        return false;
    }
    return true;
}

static int
find_choice(const LrFieldSpec *field, LrStr text)
{
    for (int i = 0; field->choices[i]; i++) {
        if (LrStr_EqualC(text, field->choices[i])) {
            return i;
        }
    }
    return -1;
}

static bool
set_choice(const LrFieldSpec *field, void *out, LrStr text, const char *path,
           LrFaults *faults)
{
    int choice = find_choice(field, text);
    if (choice < 0) {
        LrFaults_Add(faults, path, field->hint, "has the unknown value '%.*s'",
                     (int)MIN(text.len, 64), text.ptr);
        return false;
    }
    set_number(field, out, choice);
    return true;
}

static bool
parse_real(LrStr text, double *value)
{
    g_autofree char *copy = LrStr_Dup(text);
    char *end = copy;
    *value = g_ascii_strtod(copy, &end);
    return end != copy && (size_t)(end - copy) == text.len && isfinite(*value);
}

static bool
parse_bool(LrStr text, double *value)
{
    bool yes = LrStr_EqualC(text, "true");
    *value = yes;
    return yes || LrStr_EqualC(text, "false");
}

bool
LrRecord_SetText(const LrFieldSpec *field, void *out, LrStr text,
                 const char *path, LrFaults *faults)
{
    int64_t whole = 0;
    double value = 0;
    bool valid = false;
    switch (field->kind) {
    case LR_FIELD_STR:
        *(LrStr *)field_at(field, out) = text;
        return true;
    case LR_FIELD_ENUM:
        return set_choice(field, out, text, path, faults);
    case LR_FIELD_INT:
        valid = LrStr_ToInt(text, &whole);
        value = (double)whole;
        break;
    case LR_FIELD_REAL:
        valid = parse_real(text, &value);
        break;
    case LR_FIELD_BOOL:
        valid = parse_bool(text, &value);
        break;
    case LR_FIELD_LIST:
        break;
    }
    if (!valid) {
        LrFaults_Add(faults, path, field->hint, "cannot be read: '%.*s'",
                     (int)MIN(text.len, 64), text.ptr);
        return false;
    }
    if (!check_range(field, value, path, faults)) {
        return false;
    }
    set_number(field, out, value);
    return true;
}

static const char *
kind_name(LrFieldKind kind)
{
    static const char *const names[] = {
        [LR_FIELD_STR] = "a string",        [LR_FIELD_INT] = "a whole number",
        [LR_FIELD_REAL] = "a number",       [LR_FIELD_BOOL] = "true or false",
        [LR_FIELD_ENUM] = "a known string", [LR_FIELD_LIST] = "a list",
    };
    return names[kind];
}

static bool
kind_matches(LrFieldKind kind, const json_t *json)
{
    switch (kind) {
    case LR_FIELD_STR:
    case LR_FIELD_ENUM:
        return json_is_string(json);
    case LR_FIELD_INT:
        return json_is_integer(json);
    case LR_FIELD_REAL:
        return json_is_number(json);
    case LR_FIELD_BOOL:
        return json_is_boolean(json);
    case LR_FIELD_LIST:
        return json_is_array(json);
    }
    return false;
}

static bool
read_list(const LrFieldSpec *field, const json_t *json, void *out,
          LrArena *arena, const char *path, LrFaults *faults)
{
    size_t n = json_array_size(json);
    size_t size = field->object->size;
    char *items = LrArena_Alloc(arena, n * size);
    bool valid = true;
    for (size_t i = 0; i < n; i++) {
        g_autofree char *at = g_strdup_printf("%s[%zu]", path, i);
        valid &= LrRecord_ReadJson(field->object, json_array_get(json, i),
                                   items + i * size, arena, at, faults);
    }
    *(void **)field_at(field, out) = items;
    *(size_t *)((char *)out + field->count_offset) = n;
    return valid;
}

static bool
read_field(const LrFieldSpec *field, const json_t *json, void *out,
           LrArena *arena, const char *path, LrFaults *faults)
{
    if (!kind_matches(field->kind, json)) {
        LrFaults_Add(faults, path, field->hint, "is not %s",
                     kind_name(field->kind));
        return false;
    }
    LrStr text = {.ptr = json_string_value(json),
                  .len = json_string_length(json)};
    double value;
    switch (field->kind) {
    case LR_FIELD_STR:
        *(LrStr *)field_at(field, out) = text;
        return true;
    case LR_FIELD_ENUM:
        return set_choice(field, out, text, path, faults);
    case LR_FIELD_LIST:
        return read_list(field, json, out, arena, path, faults);
    case LR_FIELD_BOOL:
        set_number(field, out, json_is_true(json));
        return true;
    case LR_FIELD_INT:
    case LR_FIELD_REAL:
        break;
    }
    value = json_number_value(json);
    if (!check_range(field, value, path, faults)) {
        return false;
    }
    set_number(field, out, value);
    return true;
}

static const LrFieldSpec *
lookup_field(const LrObjectSpec *spec, const char *name)
{
    for (size_t i = 0; i < spec->n_fields; i++) {
        if (!strcmp(spec->fields[i].name, name)) {
            return &spec->fields[i];
        }
    }
    return NULL;
}

static bool
check_members(const LrObjectSpec *spec, const json_t *json, const char *path,
              LrFaults *faults)
{
    bool valid = true;
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)json, name, value)
    {
        if (!lookup_field(spec, name)) {
            LrFaults_Add(faults, path, "remove it or correct its name",
                         "has the unknown member '%.64s'", name);
            valid = false;
        }
    }
    return valid;
}

bool
LrRecord_ReadJson(const LrObjectSpec *spec, const json_t *json, void *out,
                  LrArena *arena, const char *path, LrFaults *faults)
{
    LrRecord_Init(spec, out);
    if (!json_is_object(json)) {
        LrFaults_Add(faults, path, "write it as {...}", "is not an object");
        return false;
    }
    bool valid = check_members(spec, json, path, faults);
    for (size_t i = 0; i < spec->n_fields; i++) {
        const LrFieldSpec *field = &spec->fields[i];
        const json_t *value = json_object_get(json, field->name);
        g_autofree char *at = g_strdup_printf("%s.%s", path, field->name);
        if (value) {
            valid &= read_field(field, value, out, arena, at, faults);
        }
        else if (field->required) {
            LrFaults_Add(faults, at, field->hint, "is missing");
            valid = false;
        }
    }
    return valid;
}

static json_t *
write_list(const LrFieldSpec *field, const void *in)
{
    json_t *list = json_array();
    const char *items = *(char *const *)field_in(field, in);
    for (size_t i = 0; i < list_len(field, in); i++) {
        const void *item = items + i * field->object->size;
        json_array_append_new(list, LrRecord_WriteJson(field->object, item));
    }
    return list;
}

static json_t *
write_field(const LrFieldSpec *field, const void *in)
{
    const void *at = field_in(field, in);
    LrStr text;
    switch (field->kind) {
    case LR_FIELD_STR:
        text = *(const LrStr *)at;
        return json_stringn(text.ptr, text.len);
    case LR_FIELD_INT:
        return json_integer(*(const int64_t *)at);
    case LR_FIELD_REAL:
        return json_real(*(const double *)at);
    case LR_FIELD_BOOL:
        return json_boolean(*(const bool *)at);
    case LR_FIELD_ENUM:
        return json_string(field->choices[*(const int *)at]);
    case LR_FIELD_LIST:
        return write_list(field, in);
    }
    return json_null();
}

json_t *
LrRecord_WriteJson(const LrObjectSpec *spec, const void *in)
{
    json_t *json = json_object();
    for (size_t i = 0; i < spec->n_fields; i++) {
        const LrFieldSpec *field = &spec->fields[i];
        json_object_set_new(json, field->name, write_field(field, in));
    }
    return json;
}

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
    const void *at = field_in(field, in);
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
        size_t n = list_len(field, in);
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

/* Exact value of a number that is known to be whole. */
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
    *(void **)field_at(field, out) = items;
    *(size_t *)((char *)out + field->count_offset) = n;
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
        *(LrStr *)field_at(field, out) = LrArena_Copy(arena, text);
        return true;
    }
    double value;
    if (!object_number(object, &value) || !number_valid(field, value)) {
        return false;
    }
    if (field->kind == LR_FIELD_INT) {
        *(int64_t *)field_at(field, out) = object_integer(object, value);
    }
    else {
        set_number(field, out, value);
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

/* Kinds of object that messages are made of: bytes of the length that
 * follows the first byte, then bytes of the value, then items. */
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

/* Whether the lengths that the bytes name fit into them. msgpack-c allocates
 * by these lengths before it looks further. */
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
                    "%zu bytes are no valid %s", data.len, spec->name);
    }
    return valid;
}
