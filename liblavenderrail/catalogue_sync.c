/* Exchange of the catalogue between daemons. */
#include "catalogue_sync.h"

#include <jansson.h>
#include <zlib.h>

#include "active_catalogue.h"
#include "routing.h"

/* An unanswered request is repeated after this time, unless the answer is
 * arriving. */
#define REQUEST_TIMEOUT (2 * LR_SECOND)

enum {
    /* Shorter answers are not worth compressing. */
    MIN_PACKED_BYTES = 4 << 10,
    /* Fast: hosts may have a tenth of a core. */
    COMPRESSION_LEVEL = 1,
};

/* The last compressed answer: most peers ask for the same one. */
typedef struct {
    GByteArray *frame;
    int64_t revision;
    /* Hash of the revision and the bases of the request. */
    uint64_t request;
} PackedAnswer;

struct LrCatalogueSync {
    LrDaemon *daemon;
    PackedAnswer packed;
    /* Highest revision that a peer has told of, and when it became known that
     * the active one is lower; 0 while it is not. */
    int64_t heard_revision;
    LrTime behind_since;
    /* When the running request was sent, and to whom; 0 for none. */
    LrTime asked_at;
    char *asked;
    /* The last delta could not be applied: a full copy is requested next. */
    bool need_full_copy;
};

LrCatalogueSync *
LrCatalogueSync_New(LrDaemon *daemon)
{
    LrCatalogueSync *sync = g_new0(LrCatalogueSync, 1);
    sync->daemon = daemon;
    return sync;
}

void
LrCatalogueSync_Free(LrCatalogueSync *sync)
{
    if (!sync) {
        return;
    }
    if (sync->packed.frame) {
        g_byte_array_unref(sync->packed.frame);
    }
    g_free(sync->asked);
    g_free(sync);
}

static const LrValueSet *
active_values(const LrCatalogueSync *sync)
{
    return LrActiveCatalogue_Values(sync->daemon->active_catalogue);
}

static int64_t
active_revision(const LrCatalogueSync *sync)
{
    return LrActiveCatalogue_Revision(sync->daemon->active_catalogue);
}

static void
note_heard(LrCatalogueSync *sync, int64_t revision, LrTime now)
{
    if (sync->heard_revision <= active_revision(sync)) {
        sync->behind_since = now;
    }
    sync->heard_revision = MAX(sync->heard_revision, revision);
}

static void
send_request(LrCatalogueSync *sync, LrStr address, LrTime now)
{
    LrDaemon *daemon = sync->daemon;
    sync->asked_at = now;
    g_free(sync->asked);
    sync->asked = LrStr_Dup(address);
    LrDeltaRequestMsg request = {
        .revision = sync->need_full_copy ? 0 : active_revision(sync),
        .reply_to = daemon->settings.peer_address,
        .accepts_packed = true,
    };
    LrValueBaseMsg bases[LR_MAX_DELTA_BASES];
    request.bases = bases;
    request.n_bases = LrValueSet_Bases(active_values(sync), bases);
    LrCounters_Add(daemon->counters, LR_COUNT_CATALOGUE_REQUESTS, 1);
    LR_LOG(daemon->log, LOG_INFO, "delta_requested",
           LrLog_Str("from", address),
           LrLog_Int("revision", sync->heard_revision),
           LrLog_Int("since", request.revision));
    LrPeers_Send(daemon->peers, address, &LrDeltaRequestMsg_Descriptor,
                 &request);
}

static bool
is_waiting_for_answer(const LrCatalogueSync *sync, LrTime now)
{
    if (sync->asked_at == 0) {
        return false;
    }
    return now - sync->asked_at < REQUEST_TIMEOUT ||
           LrPeers_IsReceivingLong(sync->daemon->peers, sync->asked_at, now);
}

void
LrCatalogueSync_OnNews(LrCatalogueSync *sync, LrStr address, int64_t revision,
                       LrTime now)
{
    if (revision <= active_revision(sync) ||
        revision == LrActiveCatalogue_RefusedRevision(
                        sync->daemon->active_catalogue)) {
        return;
    }
    note_heard(sync, revision, now);
    if (!is_waiting_for_answer(sync, now)) {
        send_request(sync, address, now);
    }
}

static uint64_t
hash_request(const LrDeltaRequestMsg *request)
{
    uint64_t hash = (uint64_t)request->revision;
    for (size_t i = 0; i < request->n_bases; i++) {
        hash = LrStr_Hash(request->bases[i].name,
                          hash + (uint64_t)request->bases[i].revision);
    }
    return hash;
}

/* Held values have a time left, which an answer that is kept would not
 * count down. */
static bool
holds_values(const LrDeltaMsg *delta)
{
    for (size_t i = 0; i < delta->n_values; i++) {
        if (delta->values[i].held_ms > 0) {
            return true;
        }
    }
    return false;
}

/* The frame of the compressed message; NULL when it is not shorter. */
static GByteArray *
pack(const GByteArray *frame)
{
    uLongf len = compressBound(frame->len);
    GByteArray *data = g_byte_array_new();
    g_byte_array_set_size(data, (guint)len);
    int status = compress2(data->data, &len, frame->data, frame->len,
                           COMPRESSION_LEVEL);
    GByteArray *packed = NULL;
    if (status == Z_OK && len < frame->len) {
        LrPackedDeltaMsg message = {
            .size = frame->len,
            .data = {.ptr = (const char *)data->data, .len = len},
        };
        packed = g_byte_array_new();
        LrRecord_Pack(&LrPackedDeltaMsg_Descriptor, &message, packed);
    }
    g_byte_array_unref(data);
    return packed;
}

/* The frame of the answer to a request, with a reference for the caller. */
static GByteArray *
make_answer(LrCatalogueSync *sync, const LrDeltaRequestMsg *request)
{
    PackedAnswer *kept = &sync->packed;
    uint64_t hash = hash_request(request);
    if (request->accepts_packed && kept->frame && kept->request == hash &&
        kept->revision == active_revision(sync)) {
        return g_byte_array_ref(kept->frame);
    }
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrValueSet_MakeDeltaOnBases(active_values(sync), request->revision,
                                request->bases, request->n_bases,
                                LrClock_Now(), arena, &delta);
    GByteArray *frame = g_byte_array_new();
    LrRecord_Pack(&LrDeltaMsg_Descriptor, &delta, frame);
    bool packable = request->accepts_packed && frame->len >= MIN_PACKED_BYTES;
    GByteArray *packed = packable ? pack(frame) : NULL;
    if (packed) {
        g_byte_array_unref(frame);
        frame = packed;
        if (!holds_values(&delta)) {
            if (kept->frame) {
                g_byte_array_unref(kept->frame);
            }
            kept->frame = g_byte_array_ref(packed);
            kept->revision = delta.revision;
            kept->request = hash;
        }
    }
    LrArena_Free(arena);
    return frame;
}

void
LrCatalogueSync_OnRequest(LrCatalogueSync *sync,
                          const LrDeltaRequestMsg *message)
{
    LrDaemon *daemon = sync->daemon;
    if (active_revision(sync) <= message->revision) {
        return;
    }
    GByteArray *frame = make_answer(sync, message);
    LrCounters_Add(daemon->counters, LR_COUNT_CATALOGUE_DELTAS, 1);
    LrCounters_Add(daemon->counters, LR_COUNT_CATALOGUE_DELTA_BYTES,
                   frame->len);
    LR_LOG(daemon->log, LOG_INFO, "delta_sent",
           LrLog_Str("to", message->reply_to),
           LrLog_Int("revision", active_revision(sync)),
           LrLog_Int("since", message->revision),
           LrLog_Int("bytes", frame->len));
    LrPeers_SendUnordered(daemon->peers, message->reply_to, frame);
    g_byte_array_unref(frame);
}

/* What was received can't be used: the whole is requested next, of any peer,
 * without waiting. */
static void
reject(LrCatalogueSync *sync, int64_t revision, int64_t since)
{
    sync->asked_at = 0;
    sync->need_full_copy = true;
    LR_LOG(sync->daemon->log, LOG_WARNING, "delta_unfit",
           LrLog_Int("revision", revision), LrLog_Int("since", since));
}

void
LrCatalogueSync_OnPackedDelta(LrCatalogueSync *sync,
                              const LrPackedDeltaMsg *message)
{
    uLongf len = (uLongf)message->size;
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)len);
    int status =
        uncompress(bytes->data, &len, (const Bytef *)message->data.ptr,
                   message->data.len);
    LrStr frame = {.ptr = (const char *)bytes->data, .len = len};
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    if (status == Z_OK && LrRecord_PeekTag(frame) == LR_MSG_DELTA &&
        LrRecord_Unpack(&LrDeltaMsg_Descriptor, frame, &delta, arena, NULL)) {
        LrCatalogueSync_OnDelta(sync, &delta);
    }
    else {
        reject(sync, -1, -1);
    }
    LrArena_Free(arena);
    g_byte_array_unref(bytes);
}

void
LrCatalogueSync_OnDelta(LrCatalogueSync *sync, const LrDeltaMsg *message)
{
    LrDaemon *daemon = sync->daemon;
    LrTime now = LrClock_Now();
    LrTime waited = sync->asked_at > 0 ? now - sync->asked_at : 0;
    bool newer = message->revision > active_revision(sync);
    sync->asked_at = 0;
    LR_LOG(daemon->log, LOG_INFO, "delta_received",
           LrLog_Int("revision", message->revision),
           LrLog_Int("since", message->since), LrLog_Int("newer", newer),
           LrLog_Int("waited_ms", waited / LR_MILLISECOND));
    /* This daemon has read the service since it asked, or was answered by
     * another peer: the next news is answered from there. */
    bool outdated =
        message->since != 0 && message->since != active_revision(sync);
    if (!newer || outdated) {
        return;
    }
    const LrValueSet *base = active_values(sync);
    LrValueSet *values = LrValueSet_ApplyDelta(base, message, now);
    if (!values) {
        reject(sync, message->revision, message->since);
        return;
    }
    sync->need_full_copy = false;
    if (LrRevision_Era(message->revision) >
        LrRevision_Era(LrValueSet_Revision(base))) {
        LrValueSet_HoldNewer(values, base, LR_INSTANCE_PREFIX, now,
                             daemon->settings.absence_hold_ms *
                                 LR_MILLISECOND);
    }
    LrActiveCatalogue_Offer(daemon->active_catalogue, values, "peer");
}

static json_int_t
age_ms(LrTime at)
{
    return at > 0 ? (json_int_t)((LrClock_Now() - at) / LR_MILLISECOND) : -1;
}

json_t *
LrCatalogueSync_Dump(const LrCatalogueSync *sync)
{
    bool behind = sync->heard_revision > active_revision(sync);
    return json_pack("{s:I, s:I, s:s, s:I, s:b}", "heard_revision",
                     (json_int_t)sync->heard_revision, "behind_ms",
                     behind ? age_ms(sync->behind_since) : -1, "asked",
                     behind && sync->asked ? sync->asked : "", "asked_ms",
                     age_ms(sync->asked_at), "need_full_copy",
                     sync->need_full_copy);
}
