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
    LrQuarantine *quarantine;
};

TEST_F(QuarantineTest, SecondCrashAloneQuarantinesForABoundedTime)
{
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, 1, 10,
                                       LR_CRASH_WITH_SUSPECTS, LR_SECOND),
              LR_REQUEST_SUSPECT);
    EXPECT_EQ(
        LrQuarantine_RecordCrash(quarantine, 1, 11, LR_CRASH_ALONE, LR_SECOND),
        LR_REQUEST_QUARANTINED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 1, 2 * LR_SECOND),
              LR_REQUEST_QUARANTINED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 1, 400 * LR_SECOND),
              LR_REQUEST_CLEAR);
}

TEST_F(QuarantineTest, CrashBesideASuspectDoesNotQuarantine)
{
    LrQuarantine_RecordCrash(quarantine, 1, 10, LR_CRASH_WITH_SUSPECTS,
                             LR_SECOND);
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, 1, 11,
                                       LR_CRASH_WITH_SUSPECTS, LR_SECOND),
              LR_REQUEST_SUSPECT);
}

TEST_F(QuarantineTest, AmongOthersItTakesAThirdCrash)
{
    LrQuarantine_RecordCrash(quarantine, 1, 10, LR_CRASH_WITH_OTHERS,
                             LR_SECOND);
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, 1, 11, LR_CRASH_WITH_OTHERS,
                                       LR_SECOND),
              LR_REQUEST_SUSPECT);
    EXPECT_EQ(LrQuarantine_RecordCrash(quarantine, 1, 12, LR_CRASH_WITH_OTHERS,
                                       LR_SECOND),
              LR_REQUEST_QUARANTINED);
}

TEST_F(QuarantineTest, SameTargetTwiceIsOneCrash)
{
    LrQuarantine_RecordCrash(quarantine, 1, 10, LR_CRASH_WITH_SUSPECTS,
                             LR_SECOND);
    EXPECT_EQ(
        LrQuarantine_RecordCrash(quarantine, 1, 10, LR_CRASH_ALONE, LR_SECOND),
        LR_REQUEST_SUSPECT);
}

TEST_F(QuarantineTest, ReplyClearsASuspectOnly)
{
    LrQuarantine_RecordCrash(quarantine, 1, 10, LR_CRASH_WITH_SUSPECTS,
                             LR_SECOND);
    LrQuarantine_Clear(quarantine, 1);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 1, LR_SECOND), LR_REQUEST_CLEAR);
    LrQuarantine_RecordCrash(quarantine, 1, 10, LR_CRASH_WITH_SUSPECTS,
                             LR_SECOND);
    LrQuarantine_RecordCrash(quarantine, 1, 11, LR_CRASH_ALONE, LR_SECOND);
    LrQuarantine_Clear(quarantine, 1);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 1, LR_SECOND),
              LR_REQUEST_QUARANTINED);
}

TEST_F(QuarantineTest, PeerReportQuarantines)
{
    LrQuarantine_Add(quarantine, 7, 9 * LR_SECOND);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 7, 8 * LR_SECOND),
              LR_REQUEST_QUARANTINED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 7, 10 * LR_SECOND),
              LR_REQUEST_CLEAR);
}
