/* Few daemons read the configuration service, since each call is paid for and
 * the rate of all calls together is limited.
 *
 * When a large fleet starts at once, only the seeds read, and the others get
 * everything from a peer that has it. A daemon that joins a running fleet
 * reads at once, since callers wait for it. */
#include "readers.h"

/* Reads count as stale when the latest one is older than this many longest
 * waits of a watch call. */
#define MAX_READ_AGE_WAITS 2

/* How long a daemon waits for its peers at the first start of the fleet:
 * gossip reaches 650 daemons in ten probe intervals of 300 ms, and callers
 * come ten seconds after the start at the earliest. */
#define FIRST_START_WAIT (5 * LR_SECOND)

/* A probe is answered in each interval, whatever the size of the fleet. */
#define MAX_SILENT_INTERVALS 5

LrTime
LrReaders_PeerTimeout(LrTime suspicion_timeout, LrTime probe_interval)
{
    return MIN(suspicion_timeout, MAX_SILENT_INTERVALS * probe_interval);
}

static bool
waits_for_peers(const LrReaderInput *input)
{
    return input->first_start && !input->is_seed &&
           input->now - input->started_at < FIRST_START_WAIT;
}

bool
LrReaders_ShouldRead(const LrReaderInput *input)
{
    if (input->peer_silence > input->peer_timeout) {
        return true;
    }
    /* The service may refuse all of the readers and would still serve
     * others. */
    if (input->freshest_read_age > MAX_READ_AGE_WAITS * input->watch_wait) {
        return true;
    }
    /* Until the other daemons are known, the rank among them means nothing. */
    if (waits_for_peers(input)) {
        return false;
    }
    return !input->has_catalogue || input->zone_rank < input->readers_per_zone;
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
