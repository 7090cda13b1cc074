/* JSON codec of records. Reading goes on after a fault, so that all faults are
 * reported, each with its path. */
#include "record.h"

#include <string.h>

#include <jansson.h>

json_t *
LrRecord_ParseJson(LrStr text, LrFaults *faults)
{
    json_error_t error;
    json_t *json =
        json_loadb(text.ptr, text.len, JSON_REJECT_DUPLICATES, &error);
    if (!json) {
        LrFaults_Add(faults, "$", "write valid JSON", "line %d column %d: %s",
                     error.line, error.column, error.text);
    }
    return json;
}

static const char *
kind_name(LrFieldKind kind)
{
    static const char *const names[] = {
        [LR_FIELD_STR] = "a string",
        [LR_FIELD_INT] = "a whole number",
        [LR_FIELD_REAL] = "a number",
        [LR_FIELD_BOOL] = "true or false",
        [LR_FIELD_ENUM] = "one of the known strings",
        [LR_FIELD_LIST] = "a list",
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
    LrField_SetList(field, out, items, n);
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
        *(LrStr *)LrField_Pointer(field, out) = text;
        return true;
    case LR_FIELD_ENUM:
        return LrField_SetEnum(field, out, text, path, faults);
    case LR_FIELD_LIST:
        return read_list(field, json, out, arena, path, faults);
    case LR_FIELD_BOOL:
        LrField_SetNumber(field, out, json_is_true(json));
        return true;
    case LR_FIELD_INT:
    case LR_FIELD_REAL:
        break;
    }
    value = json_number_value(json);
    if (!LrField_CheckRange(field, value, path, faults)) {
        return false;
    }
    LrField_SetNumber(field, out, value);
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
        LrFaults_Add(faults, path, "write an object {...}",
                     "is not an object");
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
    const char *items = *(char *const *)LrField_ConstPointer(field, in);
    for (size_t i = 0; i < LrField_ListLength(field, in); i++) {
        const void *item = items + i * field->object->size;
        json_array_append_new(list, LrRecord_WriteJson(field->object, item));
    }
    return list;
}

static json_t *
write_field(const LrFieldSpec *field, const void *in)
{
    const void *at = LrField_ConstPointer(field, in);
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
