/* Finds the members of a JSON object and the elements of a JSON array without
 * parsing them, so that a large document of which little has changed need not
 * be parsed whole. */
#ifndef LAVENDERRAIL_JSON_SCAN_H
#define LAVENDERRAIL_JSON_SCAN_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* False ends the scan. */
typedef bool (*LrJsonScanFunc)(void *data, LrStr name, LrStr value);

/* Calls the function for each member of an object. Values are only
 * delimited: the caller has to parse them. False when the text is not an
 * object whose members can be told apart, when a name has escapes, or when the
 * function ended the scan. */
bool LrJsonScan_Object(LrStr text, LrJsonScanFunc func, void *data);
/* The same for the elements of an array, whose names are empty. */
bool LrJsonScan_Array(LrStr text, LrJsonScanFunc func, void *data);

/* An object and one member of it that is an array: the array, and the text of
 * the object with an empty array in its place. */
typedef struct {
    LrStr array;
    char *rest;
    size_t rest_len;
} LrJsonSplit;

/* Takes the array out; false when the object can't be scanned, or doesn't have
 * exactly one member of that name, or that is not an array. */
bool LrJsonScan_SplitArray(LrStr text, const char *name, LrJsonSplit *split);

#ifdef __cplusplus
}
#endif

#endif
