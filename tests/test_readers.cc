// Which daemons read the configuration service, when a whole fleet starts at
// once and when the service refuses the readers.
#include <gtest/gtest.h>

#include "readers.h"

namespace {

// Input of a daemon in the middle of a large zone that hears from its peers.
LrReaderInput
default_input()
{
    LrReaderInput default_input = {};
    default_input.now = 100 * LR_SECOND;
    default_input.started_at = default_input.now;
    default_input.zone_rank = 30;
    default_input.readers_per_zone = 2;
    default_input.peer_timeout = 2 * LR_SECOND;
    default_input.freshest_read_age = -1;
    default_input.watch_wait = 3 * LR_SECOND;
    return default_input;
}

} // namespace

TEST(Readers, OnlySeedsReadAtTheFirstStart)
{
    LrReaderInput input = default_input();
    input.first_start = true;
    input.zone_rank = 0; // no other daemon is known yet
    EXPECT_FALSE(LrReaders_ShouldRead(&input));
    input.has_catalogue = true;
    EXPECT_FALSE(LrReaders_ShouldRead(&input)) << "a peer has provided it";
    input.is_seed = true;
    EXPECT_TRUE(LrReaders_ShouldRead(&input));
}

TEST(Readers, StaleReadsEndTheWaitOfTheFirstStart)
{
    LrReaderInput input = default_input();
    input.first_start = true;
    input.has_catalogue = true;
    input.watch_wait = LR_SECOND;
    input.now += 4 * LR_SECOND;
    input.freshest_read_age = 3 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&input)) << "the seeds may be isolated";
}

TEST(Readers, TheWaitOfTheFirstStartEndsBeforeCallersCome)
{
    LrReaderInput input = default_input();
    input.first_start = true;
    input.now += 4 * LR_SECOND;
    EXPECT_FALSE(LrReaders_ShouldRead(&input));
    input.now += 2 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&input))
        << "callers come after ten seconds";
}

// A daemon that alone had lost its peers waited for 7 s in a fleet of 71
// before it read the service, longer than a change may take.
TEST(Readers, ADaemonThatLostItsPeersReadsSoonInAFleetOfAnySize)
{
    constexpr LrTime PROBE_INTERVAL = 300 * LR_MILLISECOND;
    for (LrTime suspicion = LR_SECOND; suspicion < 12 * LR_SECOND;
         suspicion += LR_SECOND) {
        LrReaderInput input = default_input();
        input.has_catalogue = true;
        input.peer_timeout = LrReaders_PeerTimeout(suspicion, PROBE_INTERVAL);
        input.peer_silence = 2 * LR_SECOND;
        EXPECT_TRUE(LrReaders_ShouldRead(&input));
        input.peer_silence = 3 * PROBE_INTERVAL;
        EXPECT_FALSE(LrReaders_ShouldRead(&input));
    }
}

TEST(Readers, ADaemonThatHearsFromNoPeerReads)
{
    LrReaderInput input = default_input();
    input.first_start = true;
    input.peer_silence = 3 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&input));
    input = default_input();
    input.has_catalogue = true;
    input.peer_silence = 3 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&input));
}

TEST(Readers, ADaemonThatJoinsARunningFleetReadsAtOnce)
{
    LrReaderInput input = default_input();
    EXPECT_TRUE(LrReaders_ShouldRead(&input));
    input.has_catalogue = true;
    EXPECT_FALSE(LrReaders_ShouldRead(&input));
}

TEST(Readers, TheFirstOfAZoneReadAndOthersWhenReadsAreStale)
{
    LrReaderInput input = default_input();
    input.has_catalogue = true;
    input.zone_rank = 1;
    EXPECT_TRUE(LrReaders_ShouldRead(&input));
    input.zone_rank = 2;
    input.freshest_read_age = 4 * LR_SECOND;
    EXPECT_FALSE(LrReaders_ShouldRead(&input));
    input.freshest_read_age = 7 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&input));
}

TEST(Readers, SeedsAreNamedByAddress)
{
    LrStr seeds = LrStr_FromC("10.1.0.1:8224,10.2.0.1:8224");
    EXPECT_TRUE(LrReaders_IsSeed(seeds, LrStr_FromC("10.1.0.1:8224")));
    EXPECT_TRUE(LrReaders_IsSeed(seeds, LrStr_FromC("10.2.0.1:8224")));
    EXPECT_FALSE(LrReaders_IsSeed(seeds, LrStr_FromC("10.2.0.1:822")));
    EXPECT_FALSE(LrReaders_IsSeed(LrStr_FromC(""), LrStr_FromC("10.1.0.1:1")));
}
