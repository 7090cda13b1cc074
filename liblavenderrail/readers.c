/* Few daemons read the configuration service, since each call is paid for and
 * the rate of all together is limited.
 *
 * Answers the load of a large fleet that starts at once: the seeds read, and
 * the others take the whole from a peer that has it. A daemon that starts
 * into a running fleet reads at once, since callers wait for it. */
#include "readers.h"

/* Watches that may pass without any reading being heard of. */
#define STALE_WAITS 2

/* How long a daemon of a fleet's first start waits for its peers: news reach
 * 650 daemons in ten probe intervals of 300 ms, and callers come ten seconds
 * after the start at the earliest. */
#define FIRST_START_WAIT (5 * LR_SECOND)

static bool
waits_for_peers(const LrReaderInput *standing)
{
    return standing->first_start && !standing->is_seed &&
           standing->now - standing->started_at < FIRST_START_WAIT;
}

bool
LrReaders_ShouldRead(const LrReaderInput *standing)
{
    if (standing->peer_silence > standing->peer_timeout) {
        return true;
    }
    /* The readers may all be refused while others would be served. */
    if (standing->freshest_read_age > STALE_WAITS * standing->watch_wait) {
        return true;
    }
    /* Until the others are known, the rank among them says nothing. */
    if (waits_for_peers(standing)) {
        return false;
    }
    return !standing->has_catalogue ||
           standing->zone_rank < standing->readers_per_zone;
}

bool
LrReaders_IsSeed(LrStr seeds, LrStr address)
{
    LrStr seed;
    while (LrStr_NextListItem(&seeds, &seed)) {
        if (LrStr_Equal(seed, address)) {
            return true;
        }
    }
    return false;
}
