/* Any text for any setting is taken or gives a fault. The first byte picks
 * the setting. */
#include <stdlib.h>

#include "lavenderrail.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    LrSettings settings;
    LrRecord_Init(&LrSettings_Descriptor, &settings);
    const LrFieldDescriptor *field =
        &LrSettings_Descriptor
             .fields[data[0] % LrSettings_Descriptor.n_fields];
    LrStr text = {.ptr = (const char *)data + 1, .len = size - 1};
    LrFaults *faults = LrFaults_New();
    bool taken =
        LrRecord_ParseField(field, &settings, text, field->name, faults);
    if (taken != (LrFaults_Count(faults) == 0)) {
        abort();
    }
    LrFaults_Free(faults);
    char host[64];
    uint16_t port;
    LrStr_ToAddress(text, host, sizeof(host), &port);
    LrIdempotencyKey key;
    LrIdempotencyKey_Parse(text, &key);
    return 0;
}
