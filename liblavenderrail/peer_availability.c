/* Which other daemons take requests that this one forwards. One table serves
 * the choice of aggregators and that of delegates, so that neither asks a
 * daemon that declined to the other. */
#include "peer_availability.h"

/* A daemon that did not respond is avoided for this long: probing detects a
 * dead one in about the same time. */
#define FAILURE_BACKOFF (2 * LR_SECOND)
/* A daemon that reaches no target is asked again after this time. To decline
 * costs it little. */
#define CUT_OFF_BACKOFF (2 * LR_SECOND)

const char *const LrPeerState_Names[] = {
    [LR_PEER_AVAILABLE] = "available",
    [LR_PEER_UNRESPONSIVE] = "unresponsive",
    [LR_PEER_UNAVAILABLE] = "unavailable",
};

typedef struct {
    LrStr address;
    /* Of the process that the other fields describe. */
    int64_t incarnation;
    LrTime unresponsive_until;
    LrTime unavailable_until;
} Peer;

struct LrPeerAvailability {
    /* By address. */
    GHashTable *peers;
};

static void
free_peer(gpointer data)
{
    Peer *peer = data;
    g_free((char *)peer->address.ptr);
    g_free(peer);
}

static GHashTable *
new_table(void)
{
    return g_hash_table_new_full(LrStr_TableHash, LrStr_TableEqual, NULL,
                                 free_peer);
}

LrPeerAvailability *
LrPeerAvailability_New(void)
{
    LrPeerAvailability *availability = g_new0(LrPeerAvailability, 1);
    availability->peers = new_table();
    return availability;
}

void
LrPeerAvailability_Free(LrPeerAvailability *availability)
{
    if (!availability) {
        return;
    }
    g_hash_table_unref(availability->peers);
    g_free(availability);
}

void
LrPeerAvailability_SetDaemons(LrPeerAvailability *availability,
                              const LrPeerSpec *daemons, size_t n_daemons)
{
    GHashTable *peers = new_table();
    for (size_t i = 0; i < n_daemons; i++) {
        const LrPeerSpec *daemon = &daemons[i];
        const Peer *previous =
            g_hash_table_lookup(availability->peers, &daemon->address);
        Peer *peer = g_new0(Peer, 1);
        if (previous && previous->incarnation == daemon->incarnation) {
            *peer = *previous;
        }
        peer->incarnation = daemon->incarnation;
        peer->address = (LrStr){.ptr = LrStr_Dup(daemon->address),
                                .len = daemon->address.len};
        g_hash_table_replace(peers, &peer->address, peer);
    }
    g_hash_table_unref(availability->peers);
    availability->peers = peers;
}

void
LrPeerAvailability_OnFailed(LrPeerAvailability *availability, LrStr address,
                            LrTime now)
{
    Peer *peer = g_hash_table_lookup(availability->peers, &address);
    if (peer) {
        peer->unresponsive_until = now + FAILURE_BACKOFF;
    }
}

/* Until when a daemon that declined for that reason takes no request. */
static LrTime
unavailable_until(LrDeclineReason reason, LrTime now)
{
    switch (reason) {
    case LR_DECLINE_STOPPING:
        /* Its successor has another incarnation. */
        return LR_NEVER;
    case LR_DECLINE_CUT_OFF:
        return now + CUT_OFF_BACKOFF;
    default:
        /* Holds for this request, and maybe for this route only. */
        return now;
    }
}

void
LrPeerAvailability_OnDeclined(LrPeerAvailability *availability, LrStr address,
                              LrDeclineReason reason, LrTime now)
{
    Peer *peer = g_hash_table_lookup(availability->peers, &address);
    if (peer) {
        peer->unavailable_until =
            MAX(peer->unavailable_until, unavailable_until(reason, now));
    }
}

LrPeerState
LrPeerAvailability_Get(const LrPeerAvailability *availability, LrStr address,
                       LrTime now)
{
    const Peer *peer = g_hash_table_lookup(availability->peers, &address);
    if (peer && peer->unavailable_until > now) {
        return LR_PEER_UNAVAILABLE;
    }
    return peer && peer->unresponsive_until > now ? LR_PEER_UNRESPONSIVE
                                                  : LR_PEER_AVAILABLE;
}

LrDeclinedBy *
LrDeclinedBy_New(void)
{
    return g_ptr_array_new_with_free_func(g_free);
}

void
LrDeclinedBy_Add(LrDeclinedBy *declined_by, LrStr address)
{
    if (!LrDeclinedBy_Contains(declined_by, address)) {
        g_ptr_array_add(declined_by, LrStr_Dup(address));
    }
}

bool
LrDeclinedBy_Contains(const LrDeclinedBy *declined_by, LrStr address)
{
    for (guint i = 0; declined_by && i < declined_by->len; i++) {
        if (LrStr_EqualC(address, declined_by->pdata[i])) {
            return true;
        }
    }
    return false;
}
