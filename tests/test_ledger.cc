// The ledger runs the request of a key at most once; a key names the daemon
// that issued it.
#include <gtest/gtest.h>

#include "lavenderrail.h"

class LedgerTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        ledger = LrLedger_New(2);
    }
    void
    TearDown() override
    {
        LrLedger_Free(ledger);
    }
    LrClaim
    claim(const char *key, uint64_t body, LrTime now = LR_SECOND)
    {
        return LrLedger_Claim(ledger, LrStr_FromC(key), body, now,
                              10 * LR_SECOND, &row);
    }
    void
    finish(LrOutcome outcome)
    {
        GBytes *text = g_bytes_new_static("{}", 2);
        LrLedger_Finish(ledger, row, outcome, 200, text);
        g_bytes_unref(text);
    }

    LrLedger *ledger;
    LrLedgerRow *row;
};

TEST_F(LedgerTest, RunsOnceThenReplays)
{
    EXPECT_EQ(claim("a", 1), LR_CLAIM_RUN);
    EXPECT_EQ(claim("a", 1), LR_CLAIM_WAIT);
    finish(LR_OUTCOME_COMPLETE);
    EXPECT_EQ(claim("a", 1), LR_CLAIM_REPLAY);
}

TEST_F(LedgerTest, UnknownIsNeverRunAgain)
{
    claim("a", 1);
    finish(LR_OUTCOME_UNKNOWN);
    EXPECT_EQ(claim("a", 1), LR_CLAIM_REPLAY);
    EXPECT_EQ(row->outcome, LR_OUTCOME_UNKNOWN);
}

TEST_F(LedgerTest, NotRunMayBeClaimedAgain)
{
    claim("a", 1);
    finish(LR_OUTCOME_NOT_RUN);
    EXPECT_EQ(claim("a", 1), LR_CLAIM_RUN);
}

TEST_F(LedgerTest, AnotherRequestBodyConflicts)
{
    claim("a", 1);
    EXPECT_EQ(claim("a", 2), LR_CLAIM_CONFLICT);
}

TEST_F(LedgerTest, FullLedgerRejectsAndEvictsNothingEarly)
{
    EXPECT_EQ(claim("a", 1), LR_CLAIM_RUN);
    finish(LR_OUTCOME_COMPLETE);
    EXPECT_EQ(claim("b", 1), LR_CLAIM_RUN);
    EXPECT_EQ(claim("c", 1, 3 * LR_SECOND), LR_CLAIM_FULL);
    EXPECT_EQ(claim("a", 1, 5 * LR_SECOND), LR_CLAIM_REPLAY);
    EXPECT_EQ(claim("c", 1, 11 * LR_SECOND), LR_CLAIM_RUN);
    EXPECT_EQ(claim("b", 1, 20 * LR_SECOND), LR_CLAIM_WAIT)
        << "a running request keeps its row after the expiry";
}

TEST(Key, RoundTripAndMalformedTexts)
{
    LrIdempotencyKey key = {LrStr_FromC("d1"), 12, 34, 0xabc};
    char *text = LrIdempotencyKey_Format(&key);
    LrIdempotencyKey got;
    ASSERT_TRUE(LrIdempotencyKey_Parse(LrStr_FromC(text), &got));
    EXPECT_TRUE(LrStr_EqualC(got.host, "d1"));
    EXPECT_EQ(got.incarnation, 12);
    EXPECT_EQ(got.expires_ms, 34);
    EXPECT_EQ(got.nonce, 0xabcu);
    for (const char *bad :
         {"", "lr1", "lr1~d1~1~2~zz", "lr1~~1~2~0000000000000abc",
          "lr2~d1~1~2~0000000000000abc", "lr1~d1~1~2~0000000000000abc~",
          "lr1~d1~x~2~0000000000000abc"}) {
        EXPECT_FALSE(LrIdempotencyKey_Parse(LrStr_FromC(bad), &got)) << bad;
    }
    g_free(text);
}
