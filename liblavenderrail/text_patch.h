/* Patches of long texts of which little changes: JSON documents of many
 * objects. */
#ifndef LAVENDERRAIL_TEXT_PATCH_H
#define LAVENDERRAIL_TEXT_PATCH_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An immutable patch with copies of its new bytes. */
typedef struct LrTextPatch LrTextPatch;

/* Patch that makes text from base. */
LrTextPatch *LrTextPatch_Make(LrStr base, LrStr text);
LrTextPatch *LrTextPatch_FromMessage(const LrTextPatchMsg *message);
void LrTextPatch_Free(LrTextPatch *patch);
/* Fills a message that borrows from the patch. */
void LrTextPatch_ToMessage(const LrTextPatch *patch, LrTextPatchMsg *message);
/* Bytes that the patch takes on the wire, about. */
size_t LrTextPatch_Size(const LrTextPatch *patch);
/* The text that the patch makes from base, NUL-terminated, to be freed with
 * g_free; NULL when the patch doesn't fit the base, or the text would be
 * longer than max_len. */
char *LrTextPatch_Apply(const LrTextPatch *patch, LrStr base, size_t max_len,
                        size_t *len);

#ifdef __cplusplus
}
#endif

#endif
