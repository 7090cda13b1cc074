/* Which daemons read the configuration service themselves; the others learn
 * from their peers. */
#ifndef LAVENDERRAIL_READERS_H
#define LAVENDERRAIL_READERS_H

#include "lavenderrail.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a daemon knows when it decides whether to read. */
typedef struct {
    LrTime now;
    LrTime started_at;
    /* The whole fleet starts for the first time: no caller waits yet. */
    bool first_start;
    /* The other daemons find the fleet through this one. */
    bool is_seed;
    bool has_catalogue;
    /* Position among the daemons of the zone, 0 for the first, and how many
     * of them read. */
    unsigned zone_rank;
    unsigned readers_per_zone;
    /* Time since any peer was heard, and after which a daemon that hears
     * nobody counts as alone. */
    LrTime peer_silence;
    LrTime peer_timeout;
    /* Age of the freshest reading known of; negative when there is none. */
    LrTime freshest_read_age;
    /* Longest wait of one call of a reader. */
    LrTime watch_wait;
} LrReaderInput;

bool LrReaders_ShouldRead(const LrReaderInput *standing);
/* Whether the address is one of the seeds, a list joined by commas. */
bool LrReaders_IsSeed(LrStr seeds, LrStr address);

#ifdef __cplusplus
}
#endif

#endif
