/* Any bytes are a catalogue or a list of faults, never both or a crash; a
 * host list likewise. */
#include <stdlib.h>

#include "lavenderrail.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    LrStr text = {.ptr = (const char *)data, .len = size};
    LrFaults *faults = LrFaults_New();
    LrCatalogue *catalogue = LrCatalogue_Parse(text, faults);
    if ((catalogue == NULL) != (LrFaults_Count(faults) > 0)) {
        abort();
    }
    if (catalogue) {
        g_autofree char *same = LrCatalogue_Diff(catalogue, catalogue);
        if (*same) {
            abort();
        }
    }
    LrCatalogue_Unref(catalogue);
    LrFaults_Free(faults);
    faults = LrFaults_New();
    LrHostList_Free(LrHostList_Parse(text, faults));
    LrFaults_Free(faults);
    return 0;
}
