/* Access to the fields of a record, shared by the text, JSON and msgpack
 * codecs. */
#ifndef LAVENDERRAIL_RECORD_H
#define LAVENDERRAIL_RECORD_H

#include "lavenderrail.h"

static inline void *
LrField_Pointer(const LrFieldDescriptor *field, void *record)
{
    return (char *)record + field->offset;
}

static inline const void *
LrField_ConstPointer(const LrFieldDescriptor *field, const void *record)
{
    return (const char *)record + field->offset;
}

static inline size_t
LrField_ListLength(const LrFieldDescriptor *field, const void *record)
{
    return *(const size_t *)((const char *)record + field->count_offset);
}

static inline void
LrField_SetList(const LrFieldDescriptor *field, void *record, void *items,
                size_t length)
{
    *(void **)LrField_Pointer(field, record) = items;
    *(size_t *)((char *)record + field->count_offset) = length;
}

/* Sets an integer, real, bool or enum field. */
void LrField_SetNumber(const LrFieldDescriptor *field, void *record,
                       double value);
/* Whether a number is in the field's range; reports it when it is not. */
bool LrField_CheckRange(const LrFieldDescriptor *field, double value,
                        const char *path, LrFaults *faults);
/* Sets an enum field by the name of the value. */
bool LrField_SetEnum(const LrFieldDescriptor *field, void *record, LrStr text,
                     const char *path, LrFaults *faults);

#endif
