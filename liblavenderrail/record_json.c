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
read_list(const LrFieldDescriptor *field, const json_t *json, void *record,
          LrArena *arena, const char *path, LrFaults *faults)
{
    size_t n = json_array_size(json);
    size_t size = field->object->size;
    char *items = LrArena_Alloc(arena, n * size);
    bool valid = true;
    for (size_t i = 0; i < n; i++) {
        g_autofree char *item_path = g_strdup_printf("%s[%zu]", path, i);
        valid &= LrRecord_ReadJson(field->object, json_array_get(json, i),
                                   items + i * size, arena, item_path, faults);
    }
    LrField_SetList(field, record, items, n);
    return valid;
}

static bool
read_field(const LrFieldDescriptor *field, const json_t *json, void *record,
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
        *(LrStr *)LrField_Pointer(field, record) = text;
        return true;
    case LR_FIELD_ENUM:
        return LrField_SetEnum(field, record, text, path, faults);
    case LR_FIELD_LIST:
        return read_list(field, json, record, arena, path, faults);
    case LR_FIELD_BOOL:
        LrField_SetNumber(field, record, json_is_true(json));
        return true;
    case LR_FIELD_INT:
    case LR_FIELD_REAL:
        break;
    }
    value = json_number_value(json);
    if (!LrField_CheckRange(field, value, path, faults)) {
        return false;
    }
    LrField_SetNumber(field, record, value);
    return true;
}

static const LrFieldDescriptor *
lookup_field(const LrRecordDescriptor *spec, const char *name)
{
    for (size_t i = 0; i < spec->n_fields; i++) {
        if (!strcmp(spec->fields[i].name, name)) {
            return &spec->fields[i];
        }
    }
    return NULL;
}

static bool
check_member_names(const LrRecordDescriptor *spec, const json_t *json,
                   const char *path, LrFaults *faults)
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
LrRecord_ReadJson(const LrRecordDescriptor *spec, const json_t *json,
                  void *record, LrArena *arena, const char *path,
                  LrFaults *faults)
{
    LrRecord_Init(spec, record);
    if (!json_is_object(json)) {
        LrFaults_Add(faults, path, "write an object {...}",
                     "is not an object");
        return false;
    }
    bool valid = check_member_names(spec, json, path, faults);
    for (size_t i = 0; i < spec->n_fields; i++) {
        const LrFieldDescriptor *field = &spec->fields[i];
        const json_t *value = json_object_get(json, field->name);
        g_autofree char *field_path =
            g_strdup_printf("%s.%s", path, field->name);
        if (value) {
            valid &=
                read_field(field, value, record, arena, field_path, faults);
        }
        else if (field->required) {
            LrFaults_Add(faults, field_path, field->hint, "is missing");
            valid = false;
        }
    }
    return valid;
}

static json_t *
write_list(const LrFieldDescriptor *field, const void *record)
{
    json_t *list = json_array();
    const char *items = *(char *const *)LrField_ConstPointer(field, record);
    for (size_t i = 0; i < LrField_ListLength(field, record); i++) {
        const void *item = items + i * field->object->size;
        json_array_append_new(list, LrRecord_WriteJson(field->object, item));
    }
    return list;
}

static json_t *
write_field(const LrFieldDescriptor *field, const void *record)
{
    const void *member = LrField_ConstPointer(field, record);
    LrStr text;
    switch (field->kind) {
    case LR_FIELD_STR:
        text = *(const LrStr *)member;
        return json_stringn(text.ptr, text.len);
    case LR_FIELD_INT:
        return json_integer(*(const int64_t *)member);
    case LR_FIELD_REAL:
        return json_real(*(const double *)member);
    case LR_FIELD_BOOL:
        return json_boolean(*(const bool *)member);
    case LR_FIELD_ENUM:
        return json_string(field->choices[*(const int *)member]);
    case LR_FIELD_LIST:
        return write_list(field, record);
    }
    return json_null();
}

json_t *
LrRecord_WriteJson(const LrRecordDescriptor *spec, const void *record)
{
    json_t *json = json_object();
    for (size_t i = 0; i < spec->n_fields; i++) {
        const LrFieldDescriptor *field = &spec->fields[i];
        json_object_set_new(json, field->name, write_field(field, record));
    }
    return json;
}
