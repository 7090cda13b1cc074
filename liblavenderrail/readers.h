/* Which daemons read the configuration service themselves; the others get the
 * configuration from their peers. */
#ifndef LAVENDERRAIL_READERS_H
#define LAVENDERRAIL_READERS_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What the decision whether to read is based on. */
typedef struct {
    LrTime now;
    LrTime started_at;
    /* The whole fleet is starting for the first time: no caller waits yet. */
    bool first_start;
    /* Other daemons join the fleet through this one. */
    bool is_seed;
    bool has_catalogue;
    /* Position among the daemons of the zone, 0 for the first, and how many
     * of them read. */
    unsigned zone_rank;
    unsigned readers_per_zone;
    /* Time since anything was received from a peer; beyond the timeout this
     * daemon counts as alone. */
    LrTime peer_silence;
    LrTime peer_timeout;
    /* Age of the latest read, by any daemon, that this one knows of; negative
     * if there is none. */
    LrTime freshest_read_age;
    /* Longest wait of one watch call of a reader. */
    LrTime watch_wait;
} LrReaderInput;

/* Silence of all peers after which a daemon counts as alone. It may be the
 * only one that has lost them, and the service may still be in reach, so it
 * must not wait for as long as a suspected peer is given in a large fleet. */
LrTime LrReaders_PeerTimeout(LrTime suspicion_timeout, LrTime probe_interval);
bool LrReaders_ShouldRead(const LrReaderInput *input);
/* Whether the address is one of the seeds, a comma-separated list. */
bool LrReaders_IsSeed(LrStr seeds, LrStr address);

#ifdef __cplusplus
}
#endif

#endif
