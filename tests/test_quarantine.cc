// A request that crashes targets is quarantined; requests that were only in
// flight beside it are not.
#include <gtest/gtest.h>

#include "lavenderrail.h"

class QuarantineTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        quarantine = LrQuarantine_New();
    }
    void
    TearDown() override
    {
        LrQuarantine_Free(quarantine);
    }
    // A crash of a target that ran the request from start to end.
    LrRequestStatus
    confirm(LrFingerprint fingerprint, LrTime start, LrTime end, LrTime now)
    {
        LrConfirmedCrash crash = {0, start, end};
        return LrQuarantine_RecordConfirmed(quarantine, fingerprint, &crash,
                                            now);
    }
    // One that another daemon saw.
    LrRequestStatus
    reported(LrFingerprint fingerprint, uint64_t reporter, LrTime end)
    {
        LrConfirmedCrash crash = {reporter, 0, end};
        return LrQuarantine_RecordConfirmed(quarantine, fingerprint, &crash,
                                            end + LR_MILLISECOND);
    }
    LrQuarantine *quarantine;
};

TEST_F(QuarantineTest, SecondCrashAloneQuarantinesForABoundedTime)
{
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, {1, 0}, 10,
                                       LR_CRASH_WITH_SUSPECTS, LR_SECOND),
              LR_REQUEST_SUSPECT);
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, {1, 0}, 11, LR_CRASH_ALONE,
                                       LR_SECOND),
              LR_REQUEST_QUARANTINED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 0}, 2 * LR_SECOND),
              LR_REQUEST_QUARANTINED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 0}, 400 * LR_SECOND),
              LR_REQUEST_CLEAR);
}

TEST_F(QuarantineTest, CrashBesideASuspectDoesNotQuarantine)
{
    LrQuarantine_RecordCrash(quarantine, {1, 0}, 10, LR_CRASH_WITH_SUSPECTS,
                             LR_SECOND);
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, {1, 0}, 11,
                                       LR_CRASH_WITH_SUSPECTS, LR_SECOND),
              LR_REQUEST_SUSPECT);
}

TEST_F(QuarantineTest, AmongOthersItTakesAThirdCrash)
{
    LrQuarantine_RecordCrash(quarantine, {1, 0}, 10, LR_CRASH_WITH_OTHERS,
                             LR_SECOND);
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, {1, 0}, 11,
                                       LR_CRASH_WITH_OTHERS, LR_SECOND),
              LR_REQUEST_SUSPECT);
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, {1, 0}, 12,
                                       LR_CRASH_WITH_OTHERS, LR_SECOND),
              LR_REQUEST_QUARANTINED);
}

TEST_F(QuarantineTest, SameTargetTwiceIsOneCrash)
{
    LrQuarantine_RecordCrash(quarantine, {1, 0}, 10, LR_CRASH_WITH_SUSPECTS,
                             LR_SECOND);
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, {1, 0}, 10, LR_CRASH_ALONE,
                                       LR_SECOND),
              LR_REQUEST_SUSPECT);
}

TEST_F(QuarantineTest, ReplyClearsASuspectOnly)
{
    LrQuarantine_RecordCrash(quarantine, {1, 0}, 10, LR_CRASH_WITH_SUSPECTS,
                             LR_SECOND);
    LrQuarantine_Clear(quarantine, {1, 0});
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 0}, LR_SECOND),
              LR_REQUEST_CLEAR);
    LrQuarantine_RecordCrash(quarantine, {1, 0}, 10, LR_CRASH_WITH_SUSPECTS,
                             LR_SECOND);
    LrQuarantine_RecordCrash(quarantine, {1, 0}, 11, LR_CRASH_ALONE,
                             LR_SECOND);
    LrQuarantine_Clear(quarantine, {1, 0});
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 0}, LR_SECOND),
              LR_REQUEST_QUARANTINED);
}

TEST_F(QuarantineTest, PeerReportQuarantines)
{
    LrQuarantine_Add(quarantine, {7, 0}, 9 * LR_SECOND, LR_SECOND);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {7, 0}, 8 * LR_SECOND),
              LR_REQUEST_QUARANTINED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {7, 0}, 10 * LR_SECOND),
              LR_REQUEST_CLEAR);
}

TEST_F(QuarantineTest, AFullTableMakesRoomForAPeersReport)
{
    constexpr uint64_t MAX_RECORDS = 4096;
    for (uint64_t i = 0; i < MAX_RECORDS; i++) {
        LrQuarantine_RecordCrash(quarantine, {100 + i, 0}, 10,
                                 LR_CRASH_WITH_SUSPECTS, LR_SECOND);
    }
    LrTime later = 100 * LR_SECOND;
    LrQuarantine_Add(quarantine, {7, 0}, later + LR_SECOND, later);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {7, 0}, later),
              LR_REQUEST_QUARANTINED);
}

TEST_F(QuarantineTest, ConfirmedCrashesAtTheSameTimeCountOnce)
{
    for (LrTime end = 5; end < 9; end++) {
        EXPECT_EQ(confirm({1, 0}, 1, end, 10), LR_REQUEST_SUSPECT);
    }
    EXPECT_EQ(LrQuarantine_CountCrashes(quarantine, {1, 0}), 1u);
    EXPECT_EQ(confirm({1, 0}, 20, 25, 30), LR_REQUEST_SUSPECT);
    EXPECT_EQ(confirm({1, 0}, 12, 15, 30), LR_REQUEST_QUARANTINED)
        << "whichever is confirmed first";
}

TEST_F(QuarantineTest, CrashesOfOtherDaemonsCount)
{
    confirm({1, 0}, 1, 5, 10);
    reported({1, 0}, 7, LR_SECOND);
    EXPECT_EQ(reported({1, 0}, 7, LR_SECOND), LR_REQUEST_QUARANTINED)
        << "a daemon tells each once";
}

TEST_F(QuarantineTest, OneCrashThatSeveralDaemonsSawCountsOnce)
{
    confirm({1, 0}, LR_SECOND, 2 * LR_SECOND, 2 * LR_SECOND);
    for (uint64_t reporter = 1; reporter < 6; reporter++) {
        EXPECT_EQ(reported({1, 0}, reporter,
                           2 * LR_SECOND + (LrTime)reporter * LR_MILLISECOND),
                  LR_REQUEST_SUSPECT);
    }
    for (uint64_t reporter = 1; reporter < 6; reporter++) {
        EXPECT_EQ(reported({1, 0}, reporter, 3 * LR_SECOND),
                  LR_REQUEST_SUSPECT);
    }
    EXPECT_EQ(LrQuarantine_CountCrashes(quarantine, {1, 0}), 2u);
    LrTime now = 3 * LR_SECOND + LR_MILLISECOND;
    EXPECT_EQ(confirm({1, 0}, 3 * LR_SECOND, now, now), LR_REQUEST_SUSPECT)
        << "peers told of it first";
    EXPECT_EQ(reported({1, 0}, 2, 4 * LR_SECOND), LR_REQUEST_QUARANTINED);
}

TEST_F(QuarantineTest, AnUnconfirmedSuspectIsClearAgainSoon)
{
    LrQuarantine_Suspect(quarantine, {1, 0}, LR_SECOND);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 0}, LR_SECOND),
              LR_REQUEST_SUSPECT);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 0}, 3 * LR_SECOND),
              LR_REQUEST_CLEAR);
    LrQuarantine_Suspect(quarantine, {2, 0}, LR_SECOND);
    LrQuarantine_Unsuspect(quarantine, {2, 0});
    EXPECT_EQ(LrQuarantine_Check(quarantine, {2, 0}, LR_SECOND),
              LR_REQUEST_CLEAR);
    confirm({3, 0}, 1, 5, LR_SECOND);
    LrQuarantine_Suspect(quarantine, {3, 0}, LR_SECOND);
    LrQuarantine_Unsuspect(quarantine, {3, 0});
    EXPECT_EQ(LrQuarantine_Check(quarantine, {3, 0}, 3 * LR_SECOND),
              LR_REQUEST_SUSPECT)
        << "a confirmed crash stays";
}

TEST_F(QuarantineTest, APeersVerdictOutlivesASuspicionThatProvesWrong)
{
    LrQuarantine_Add(quarantine, {1, 5}, 300 * LR_SECOND, LR_SECOND);
    LrQuarantine_Suspect(quarantine, {1, 6}, LR_SECOND);
    LrQuarantine_Unsuspect(quarantine, {1, 6});
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 5}, 2 * LR_SECOND),
              LR_REQUEST_QUARANTINED);
}

TEST_F(QuarantineTest, ACrashForAnotherCallerKeepsAPeersVerdict)
{
    LrQuarantine_Add(quarantine, {1, 5}, 300 * LR_SECOND, LR_SECOND);
    EXPECT_EQ(reported({1, 6}, 7, LR_SECOND), LR_REQUEST_QUARANTINED);
    for (uint64_t caller : {5, 6, 7}) {
        EXPECT_EQ(LrQuarantine_Check(quarantine, {1, caller}, 200 * LR_SECOND),
                  LR_REQUEST_QUARANTINED)
            << caller;
    }
}

TEST_F(QuarantineTest, APeersVerdictIsNotForACallerThatWasASuspectOnly)
{
    LrQuarantine_Suspect(quarantine, {1, 6}, LR_SECOND);
    LrQuarantine_Add(quarantine, {1, 5}, 300 * LR_SECOND, LR_SECOND);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 5}, LR_SECOND),
              LR_REQUEST_QUARANTINED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 6}, LR_SECOND),
              LR_REQUEST_SUSPECT);
}

TEST_F(QuarantineTest, APeersVerdictIsNotForACallerWhoseCrashIsForgotten)
{
    confirm({1, 6}, 1, 5, 10);
    LrTime later = 100 * LR_SECOND;
    LrQuarantine_Add(quarantine, {1, 5}, 300 * LR_SECOND, later);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 5}, later),
              LR_REQUEST_QUARANTINED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, {1, 6}, later),
              LR_REQUEST_SUSPECT);
}
