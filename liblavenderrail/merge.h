/* Merging of sorted-by-value records from the parts of an answer. */
#ifndef LAVENDERRAIL_MERGE_H
#define LAVENDERRAIL_MERGE_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { LR_RECORD_BYTES = 16 };

typedef struct LrTopK LrTopK;

/* Keeps the greatest records, compared byte by byte; equal ones all count. */
LrTopK *LrTopK_New(size_t most);
void LrTopK_Free(LrTopK *top);
/* Adds the records of a part, which are in no order; a shorter remainder is
 * no record. The bytes must stay valid until the records are taken. */
void LrTopK_Add(LrTopK *top, LrStr part);
/* The records, greatest first. */
GBytes *LrTopK_ToBytes(const LrTopK *top);

#ifdef __cplusplus
}
#endif

#endif
