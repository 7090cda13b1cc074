/* Any bytes are a message of a kind or none; what is read writes back and
 * reads again; a delta never breaks a store; a probe never breaks members. */
#include <stdlib.h>

#include "lavenderrail.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const LrRecordDescriptor *const SPECS[] = {
    &LrHelloMsg_Descriptor,          &LrProbeMsg_Descriptor,
    &LrDeltaRequestMsg_Descriptor,   &LrDeltaMsg_Descriptor,
    &LrKeyedCallMsg_Descriptor,      &LrKeyedCallAnswerMsg_Descriptor,
    &LrRelayMsg_Descriptor,          &LrRelayAnswerMsg_Descriptor,
    &LrRelayCancelMsg_Descriptor,    &LrHandoffMsg_Descriptor,
    &LrHandoffAckMsg_Descriptor,     &LrHandoffNoticeMsg_Descriptor,
    &LrLoanRequestMsg_Descriptor,    &LrLoanMsg_Descriptor,
    &LrForwardMsg_Descriptor,        &LrForwardAnswerMsg_Descriptor,
    &LrForwardCommandMsg_Descriptor,
};

static void
drop_probe(void *data, LrStr address, const LrProbeMsg *message)
{
    (void)data;
    (void)address;
    (void)message;
}

static void
try_probe(const LrProbeMsg *message)
{
    LrRandom *random = LrRandom_New(1);
    LrMembersConfig config = {
        .name = LrStr_FromC("d1"),
        .zone = LrStr_FromC("z"),
        .address = LrStr_FromC("127.0.0.1:1"),
        .probe_interval = LR_SECOND,
        .random = random,
        .send = drop_probe,
    };
    LrMembers *members = LrMembers_New(&config, LR_SECOND);
    for (int i = 1; i < 40; i++) {
        LrMembers_OnProbe(members, message, i * LR_SECOND);
        LrMembers_Tick(members, i * LR_SECOND);
    }
    LrMembers_Free(members);
    LrRandom_Free(random);
}

static void
try_delta(const LrDeltaMsg *message)
{
    LrValueSet *store = LrValueSet_New();
    LrValueSet *result = LrValueSet_ApplyDelta(store, message, LR_SECOND);
    if (result) {
        g_autofree char *text = LrValueSet_ToJson(result);
        LrFaults *faults = LrFaults_New();
        LrCatalogue_Unref(LrCatalogue_Parse(LrStr_FromC(text), faults));
        LrFaults_Free(faults);
    }
    LrValueSet_Free(result);
    LrValueSet_Free(store);
}

static void
check_again(const LrRecordDescriptor *spec, const void *message)
{
    LrArena *arena = LrArena_New();
    GByteArray *packed = g_byte_array_new();
    void *again = LrArena_Alloc(arena, spec->size);
    LrRecord_Pack(spec, message, packed);
    LrStr bytes = {.ptr = (const char *)packed->data, .len = packed->len};
    if (!LrRecord_Unpack(spec, bytes, again, arena, NULL)) {
        abort();
    }
    g_byte_array_unref(packed);
    LrArena_Free(arena);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    LrStr frame = {.ptr = (const char *)data, .len = size};
    int tag = LrRecord_PeekTag(frame);
    for (size_t i = 0; i < G_N_ELEMENTS(SPECS); i++) {
        if (SPECS[i]->tag != tag) {
            continue;
        }
        LrArena *arena = LrArena_New();
        void *message = LrArena_Alloc(arena, SPECS[i]->size);
        if (LrRecord_Unpack(SPECS[i], frame, message, arena, NULL)) {
            check_again(SPECS[i], message);
            if (tag == LR_MSG_PROBE) {
                try_probe(message);
            }
            if (tag == LR_MSG_DELTA) {
                try_delta(message);
            }
        }
        LrArena_Free(arena);
    }
    return 0;
}
