/* Records, the structs described by generated tables: defaults, and parsing of
 * single fields from text. */
#include "record.h"

#include <math.h>
#include <string.h>

void
LrField_SetNumber(const LrFieldDescriptor *field, void *record, double value)
{
    void *member = LrField_Pointer(field, record);
    switch (field->kind) {
    case LR_FIELD_INT:
        *(int64_t *)member = (int64_t)value;
        break;
    case LR_FIELD_REAL:
        *(double *)member = value;
        break;
    case LR_FIELD_BOOL:
        *(bool *)member = value != 0;
        break;
    case LR_FIELD_ENUM:
        *(int *)member = (int)value;
        break;
    case LR_FIELD_STR:
    case LR_FIELD_LIST:
        break;
    }
}

void
LrRecord_Init(const LrRecordDescriptor *spec, void *record)
{
    memset(record, 0, spec->size);
    for (size_t i = 0; i < spec->n_fields; i++) {
        const LrFieldDescriptor *field = &spec->fields[i];
        LrField_SetNumber(field, record, field->fallback);
        if (field->kind == LR_FIELD_STR) {
            const char *text = field->fallback_str;
            *(LrStr *)LrField_Pointer(field, record) =
                LrStr_FromC(text ? text : "");
        }
    }
}

bool
LrField_CheckRange(const LrFieldDescriptor *field, double value,
                   const char *path, LrFaults *faults)
{
    bool has_range = field->min != 0 || field->max != 0;
    if (has_range && !(value >= field->min && value <= field->max)) {
        LrFaults_Add(faults, path, field->hint,
                     "is %.17g, outside %.17g to %.17g", value, field->min,
                     field->max);
        return false;
    }
    return true;
}

static int
find_enum_value(const LrFieldDescriptor *field, LrStr text)
{
    for (int i = 0; field->choices[i]; i++) {
        if (LrStr_EqualC(text, field->choices[i])) {
            return i;
        }
    }
    return -1;
}

bool
LrField_SetEnum(const LrFieldDescriptor *field, void *record, LrStr text,
                const char *path, LrFaults *faults)
{
    int enum_value = find_enum_value(field, text);
    if (enum_value < 0) {
        LrFaults_Add(faults, path, field->hint, "has the unknown value '%.*s'",
                     (int)MIN(text.len, 64), text.ptr);
        return false;
    }
    LrField_SetNumber(field, record, enum_value);
    return true;
}

/* Rounds a fraction down: integer settings are limits, and a limit that a
 * platform divided by the size of its deployment need not be whole. */
static bool
parse_integer(LrStr text, double *value)
{
    int64_t integer = 0;
    if (LrStr_ToInt(text, &integer)) {
        *value = (double)integer;
        return true;
    }
    bool valid = LrStr_ToReal(text, value);
    *value = floor(*value);
    return valid;
}

static bool
parse_bool(LrStr text, double *value)
{
    bool is_true = LrStr_EqualC(text, "true");
    *value = is_true;
    return is_true || LrStr_EqualC(text, "false");
}

bool
LrRecord_ParseField(const LrFieldDescriptor *field, void *record, LrStr text,
                    const char *path, LrFaults *faults)
{
    double value = 0;
    bool valid = false;
    switch (field->kind) {
    case LR_FIELD_STR:
        *(LrStr *)LrField_Pointer(field, record) = text;
        return true;
    case LR_FIELD_ENUM:
        return LrField_SetEnum(field, record, text, path, faults);
    case LR_FIELD_INT:
        valid = parse_integer(text, &value);
        break;
    case LR_FIELD_REAL:
        valid = LrStr_ToReal(text, &value);
        break;
    case LR_FIELD_BOOL:
        valid = parse_bool(text, &value);
        break;
    case LR_FIELD_LIST:
        break;
    }
    if (!valid) {
        LrFaults_Add(faults, path, field->hint, "cannot be parsed: '%.*s'",
                     (int)MIN(text.len, 64), text.ptr);
        return false;
    }
    if (!LrField_CheckRange(field, value, path, faults)) {
        return false;
    }
    LrField_SetNumber(field, record, value);
    return true;
}
