// Which daemons read the configuration service: the load of a fleet that
// starts at once, and of readers that the service turns away.
#include <gtest/gtest.h>

#include "readers.h"

namespace {

// A daemon in the middle of a large zone that hears its peers.
LrReaderInput
standing()
{
    LrReaderInput standing = {};
    standing.now = 100 * LR_SECOND;
    standing.started_at = standing.now;
    standing.zone_rank = 30;
    standing.readers_per_zone = 2;
    standing.peer_timeout = 2 * LR_SECOND;
    standing.freshest_read_age = -1;
    standing.watch_wait = 3 * LR_SECOND;
    return standing;
}

} // namespace

TEST(Readers, AFirstStartIsReadBySeedsOnly)
{
    LrReaderInput one = standing();
    one.first_start = true;
    one.zone_rank = 0; // nobody else is known yet
    EXPECT_FALSE(LrReaders_ShouldRead(&one));
    one.has_catalogue = true;
    EXPECT_FALSE(LrReaders_ShouldRead(&one)) << "a peer had it";
    one.is_seed = true;
    EXPECT_TRUE(LrReaders_ShouldRead(&one));
}

TEST(Readers, ReadingsThatGetOldEndTheWaitOfAFirstStart)
{
    LrReaderInput one = standing();
    one.first_start = true;
    one.has_catalogue = true;
    one.watch_wait = LR_SECOND;
    one.now += 4 * LR_SECOND;
    one.freshest_read_age = 3 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&one)) << "the seeds may be cut off";
}

TEST(Readers, AFirstStartWithoutAPeerThatHasACatalogueIsReadInTime)
{
    LrReaderInput one = standing();
    one.first_start = true;
    one.now += 4 * LR_SECOND;
    EXPECT_FALSE(LrReaders_ShouldRead(&one));
    one.now += 2 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&one)) << "callers come after ten";
}

TEST(Readers, ADaemonThatHearsNobodyReads)
{
    LrReaderInput one = standing();
    one.first_start = true;
    one.peer_silence = 3 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&one));
    one = standing();
    one.has_catalogue = true;
    one.peer_silence = 3 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&one));
}

TEST(Readers, ADaemonThatStartsIntoARunningFleetReadsAtOnce)
{
    LrReaderInput one = standing();
    EXPECT_TRUE(LrReaders_ShouldRead(&one));
    one.has_catalogue = true;
    EXPECT_FALSE(LrReaders_ShouldRead(&one));
}

TEST(Readers, TheFirstOfAZoneReadAndOthersWhenReadingsGetOld)
{
    LrReaderInput one = standing();
    one.has_catalogue = true;
    one.zone_rank = 1;
    EXPECT_TRUE(LrReaders_ShouldRead(&one));
    one.zone_rank = 2;
    one.freshest_read_age = 4 * LR_SECOND;
    EXPECT_FALSE(LrReaders_ShouldRead(&one));
    one.freshest_read_age = 7 * LR_SECOND;
    EXPECT_TRUE(LrReaders_ShouldRead(&one));
}

TEST(Readers, SeedsAreNamedByAddress)
{
    LrStr seeds = LrStr_FromC("10.1.0.1:8224,10.2.0.1:8224");
    EXPECT_TRUE(LrReaders_IsSeed(seeds, LrStr_FromC("10.1.0.1:8224")));
    EXPECT_TRUE(LrReaders_IsSeed(seeds, LrStr_FromC("10.2.0.1:8224")));
    EXPECT_FALSE(LrReaders_IsSeed(seeds, LrStr_FromC("10.2.0.1:822")));
    EXPECT_FALSE(LrReaders_IsSeed(LrStr_FromC(""), LrStr_FromC("10.1.0.1:1")));
}
