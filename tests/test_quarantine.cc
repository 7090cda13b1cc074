// Two strikes condemn a request; its neighbours are not condemned with it.
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

TEST_F(QuarantineTest, IsolatedSecondDeathCondemnsForABoundedTime)
{
    EXPECT_EQ(
        LrQuarantine_Strike(quarantine, 1, 10, LR_COMPANY_SUSPECTS, LR_SECOND),
        LR_VERDICT_SUSPECT);
    EXPECT_EQ(
        LrQuarantine_Strike(quarantine, 1, 11, LR_COMPANY_NONE, LR_SECOND),
        LR_VERDICT_CONDEMNED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 1, 2 * LR_SECOND),
              LR_VERDICT_CONDEMNED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 1, 400 * LR_SECOND),
              LR_VERDICT_CLEAR);
}

TEST_F(QuarantineTest, DeathBesideASuspectDoesNotCondemn)
{
    LrQuarantine_Strike(quarantine, 1, 10, LR_COMPANY_SUSPECTS, LR_SECOND);
    EXPECT_EQ(
        LrQuarantine_Strike(quarantine, 1, 11, LR_COMPANY_SUSPECTS, LR_SECOND),
        LR_VERDICT_SUSPECT);
}

TEST_F(QuarantineTest, AmongOthersItTakesAThirdDeath)
{
    LrQuarantine_Strike(quarantine, 1, 10, LR_COMPANY_OTHERS, LR_SECOND);
    EXPECT_EQ(
        LrQuarantine_Strike(quarantine, 1, 11, LR_COMPANY_OTHERS, LR_SECOND),
        LR_VERDICT_SUSPECT);
    EXPECT_EQ(
        LrQuarantine_Strike(quarantine, 1, 12, LR_COMPANY_OTHERS, LR_SECOND),
        LR_VERDICT_CONDEMNED);
}

TEST_F(QuarantineTest, SameTargetTwiceIsOneStrike)
{
    LrQuarantine_Strike(quarantine, 1, 10, LR_COMPANY_SUSPECTS, LR_SECOND);
    EXPECT_EQ(
        LrQuarantine_Strike(quarantine, 1, 10, LR_COMPANY_NONE, LR_SECOND),
        LR_VERDICT_SUSPECT);
}

TEST_F(QuarantineTest, AnswerAbsolvesASuspectOnly)
{
    LrQuarantine_Strike(quarantine, 1, 10, LR_COMPANY_SUSPECTS, LR_SECOND);
    LrQuarantine_Absolve(quarantine, 1);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 1, LR_SECOND), LR_VERDICT_CLEAR);
    LrQuarantine_Strike(quarantine, 1, 10, LR_COMPANY_SUSPECTS, LR_SECOND);
    LrQuarantine_Strike(quarantine, 1, 11, LR_COMPANY_NONE, LR_SECOND);
    LrQuarantine_Absolve(quarantine, 1);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 1, LR_SECOND),
              LR_VERDICT_CONDEMNED);
}

TEST_F(QuarantineTest, PeersWordCondemns)
{
    LrQuarantine_Condemn(quarantine, 7, 9 * LR_SECOND);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 7, 8 * LR_SECOND),
              LR_VERDICT_CONDEMNED);
    EXPECT_EQ(LrQuarantine_Check(quarantine, 7, 10 * LR_SECOND),
              LR_VERDICT_CLEAR);
}
