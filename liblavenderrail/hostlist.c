/* Parser of the platform's list of live and leaving hosts. */
#include "lavenderrail.h"

#include <jansson.h>

LrHostList *
LrHostList_Parse(LrStr text, LrFaults *faults)
{
    json_t *json = LrRecord_ParseJson(text, faults);
    if (!json) {
        return NULL;
    }
    LrHostList *list = g_new0(LrHostList, 1);
    list->json = json;
    list->arena = LrArena_New();
    if (!LrRecord_ReadJson(&LrHostListSpec_Descriptor, json, &list->spec,
                           list->arena, "$", faults)) {
        LrHostList_Free(list);
        return NULL;
    }
    return list;
}

void
LrHostList_Free(LrHostList *list)
{
    if (!list) {
        return;
    }
    LrArena_Free(list->arena);
    json_decref(list->json);
    g_free(list);
}
