/* Records, the structs described by generated tables: defaults, and parsing of
 * single fields from text. */
#include "record.h"

#include <math.h>
#include <string.h>

void
LrField_SetNumber(const LrFieldSpec *field, void *record, double value)
{
    void *at = LrField_Pointer(field, record);
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
        LrField_SetNumber(field, out, field->fallback);
        if (field->kind == LR_FIELD_STR) {
            const char *text = field->fallback_str;
            *(LrStr *)LrField_Pointer(field, out) =
                LrStr_FromC(text ? text : "");
        }
    }
}

bool
LrField_CheckRange(const LrFieldSpec *field, double value, const char *path,
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

bool
LrField_SetEnum(const LrFieldSpec *field, void *out, LrStr text,
                const char *path, LrFaults *faults)
{
    int choice = find_choice(field, text);
    if (choice < 0) {
        LrFaults_Add(faults, path, field->hint, "has the unknown value '%.*s'",
                     (int)MIN(text.len, 64), text.ptr);
        return false;
    }
    LrField_SetNumber(field, out, choice);
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

/* Rounds a fraction down: integer settings are limits, and a limit that a
 * platform divided by the size of its deployment need not be whole. */
static bool
parse_whole(LrStr text, double *value)
{
    int64_t whole = 0;
    if (LrStr_ToInt(text, &whole)) {
        *value = (double)whole;
        return true;
    }
    bool valid = parse_real(text, value);
    *value = floor(*value);
    return valid;
}

static bool
parse_bool(LrStr text, double *value)
{
    bool yes = LrStr_EqualC(text, "true");
    *value = yes;
    return yes || LrStr_EqualC(text, "false");
}

bool
LrRecord_ParseField(const LrFieldSpec *field, void *out, LrStr text,
                    const char *path, LrFaults *faults)
{
    double value = 0;
    bool valid = false;
    switch (field->kind) {
    case LR_FIELD_STR:
        *(LrStr *)LrField_Pointer(field, out) = text;
        return true;
    case LR_FIELD_ENUM:
        return LrField_SetEnum(field, out, text, path, faults);
    case LR_FIELD_INT:
        valid = parse_whole(text, &value);
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
        LrFaults_Add(faults, path, field->hint, "cannot be parsed: '%.*s'",
                     (int)MIN(text.len, 64), text.ptr);
        return false;
    }
    if (!LrField_CheckRange(field, value, path, faults)) {
        return false;
    }
    LrField_SetNumber(field, out, value);
    return true;
}
