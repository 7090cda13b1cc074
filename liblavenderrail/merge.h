/* Top-k merge of the fixed-size records in the parts of an answer. */
#ifndef LAVENDERRAIL_MERGE_H
#define LAVENDERRAIL_MERGE_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

enum { LR_RECORD_BYTES = 16 };

typedef struct LrTopK LrTopK;

/* Keeps the greatest records, compared as unsigned bytes; duplicates are all
 * kept. */
LrTopK *LrTopK_New(size_t limit);
void LrTopK_Free(LrTopK *top);
/* Adds the records of a part, in any order; a remainder shorter than a record
 * is ignored. The bytes must stay valid until LrTopK_ToBytes. */
void LrTopK_Add(LrTopK *top, LrStr part);
/* The records, greatest first. */
GBytes *LrTopK_ToBytes(const LrTopK *top);

#ifdef __cplusplus
}
#endif

#endif
