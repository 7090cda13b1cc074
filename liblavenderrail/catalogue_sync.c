/* Exchange of the catalogue between daemons. */
#include "catalogue_sync.h"

#include <jansson.h>

#include "active_catalogue.h"
#include "routing.h"

/* An unanswered request is repeated after this time, unless the answer is
 * arriving. */
#define REQUEST_TIMEOUT (2 * LR_SECOND)

struct LrCatalogueSync {
    LrDaemon *daemon;
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
    if (now - sync->asked_at >= REQUEST_TIMEOUT &&
        !LrPeers_IsReceivingLong(sync->daemon->peers, now)) {
        send_request(sync, address, now);
    }
}

void
LrCatalogueSync_OnRequest(LrCatalogueSync *sync,
                          const LrDeltaRequestMsg *message)
{
    LrDaemon *daemon = sync->daemon;
    if (active_revision(sync) <= message->revision) {
        return;
    }
    LrArena *arena = LrArena_New();
    LrDeltaMsg delta;
    LrValueSet_MakeDeltaOnBases(active_values(sync), message->revision,
                                message->bases, message->n_bases,
                                LrClock_Now(), arena, &delta);
    GByteArray *frame = g_byte_array_new();
    LrRecord_Pack(&LrDeltaMsg_Descriptor, &delta, frame);
    LrCounters_Add(daemon->counters, LR_COUNT_CATALOGUE_DELTAS, 1);
    LrCounters_Add(daemon->counters, LR_COUNT_CATALOGUE_DELTA_BYTES,
                   frame->len);
    LR_LOG(daemon->log, LOG_INFO, "delta_sent",
           LrLog_Str("to", message->reply_to),
           LrLog_Int("revision", delta.revision),
           LrLog_Int("since", delta.since),
           LrLog_Int("values", (int64_t)delta.n_values),
           LrLog_Int("bytes", frame->len));
    LrPeers_SendUnordered(daemon->peers, message->reply_to, frame);
    g_byte_array_unref(frame);
    LrArena_Free(arena);
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
    if (!newer) {
        return;
    }
    const LrValueSet *base = active_values(sync);
    LrValueSet *values = LrValueSet_ApplyDelta(base, message, now);
    sync->need_full_copy = values == NULL;
    if (!values) {
        LR_LOG(daemon->log, LOG_WARNING, "delta_unfit",
               LrLog_Int("revision", message->revision),
               LrLog_Int("since", message->since));
        return;
    }
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
