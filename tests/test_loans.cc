// Loans: the sum of what all daemons may use never exceeds the limit, with
// messages that are delayed, lost and duplicated and with paused daemons; and
// one daemon with all the demand gets most of the limit.
#include <gtest/gtest.h>

#include "event_queue.h"

namespace {

constexpr int64_t LIMIT = 100;
constexpr int N = 8;

struct Daemon {
    LrLoans loans = {};
    int64_t used = 0;
    LrTime paused_until = 0;
};

class Lending : public EventQueue {
  public:
    explicit Lending(uint64_t seed) : random(LrRandom_New(seed))
    {
    }
    ~Lending()
    {
        LrRandom_Free(random);
    }

    int64_t
    quota(int i) const
    {
        return LIMIT / N + (i < LIMIT % N);
    }
    int64_t
    effective(int i)
    {
        return LrLoans_EffectiveQuota(&daemons[i].loans, quota(i), now);
    }
    int64_t
    sum()
    {
        int64_t total = 0;
        for (int i = 0; i < N; i++) {
            total += effective(i);
        }
        return total;
    }
    LrTime
    delay()
    {
        return LR_MILLISECOND * (1 + LrRandom_Below(random, 1500));
    }
    void
    post(int to, std::function<void()> what)
    {
        if (LrRandom_Uniform(random) < loss) {
            return;
        }
        int copies = LrRandom_Uniform(random) < duplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            LrTime when = std::max(now + (slow ? delay() : LR_MILLISECOND),
                                   daemons[to].paused_until);
            at(when, what);
        }
    }
    void
    ask(int borrower)
    {
        LrTime asked_at = now;
        for (int lender = 0; lender < N; lender++) {
            if (lender == borrower) {
                continue;
            }
            post(lender, [=, this] {
                int64_t amount =
                    LrLoans_Lend(&daemons[lender].loans, quota(lender),
                                 daemons[lender].used, LIMIT, now);
                post(borrower, [=, this] {
                    LrLoans_Borrow(&daemons[borrower].loans, amount, asked_at,
                                   now);
                });
            });
        }
    }
    void
    advance(LrTime length)
    {
        run(length, [this] { ASSERT_LE(sum(), LIMIT) << "at " << now; });
    }

    LrRandom *random;
    Daemon daemons[N];
    double loss = 0, duplication = 0;
    bool slow = false;
};

} // namespace

TEST(Loans, SumNeverExceedsTheLimit)
{
    for (uint64_t seed = 1; seed <= 50; seed++) {
        Lending lending(seed);
        lending.loss = 0.1;
        lending.slow = true;
        for (int step = 0; step < 300; step++) {
            int i = (int)LrRandom_Below(lending.random, N);
            lending.daemons[i].used =
                LrRandom_Below(lending.random, (uint32_t)lending.quota(i));
            if (step % 17 == 0) {
                lending.daemons[i].paused_until = lending.now + 3 * LR_SECOND;
            }
            lending.ask((int)LrRandom_Below(lending.random, N));
            ASSERT_NO_FATAL_FAILURE(lending.advance(100 * LR_MILLISECOND));
            ASSERT_LE(lending.sum(), LIMIT);
        }
    }
}

TEST(Loans, SkewedDemandGetsMostOfTheLimit)
{
    Lending lending(1);
    int64_t total = 0;
    int n = 0;
    for (int step = 0; step < 200; step++) {
        if (step % 5 == 0) {
            lending.ask(3);
        }
        ASSERT_NO_FATAL_FAILURE(lending.advance(100 * LR_MILLISECOND));
        if (step >= 50) {
            total += lending.effective(3);
            n++;
        }
    }
    double used = (double)total / n / LIMIT;
    printf("used=%.3f of the limit\n", used);
    EXPECT_GE(used, 0.85);
}

TEST(Loans, ALoanWhoseLeaseIsOverIsNotBorrowed)
{
    LrLoans loans = {};
    EXPECT_FALSE(
        LrLoans_Borrow(&loans, 5, LR_SECOND, LR_SECOND + LR_LOAN_LEASE));
    EXPECT_FALSE(LrLoans_Borrow(&loans, 5, 2 * LR_SECOND, LR_SECOND))
        << "requested in the future";
    EXPECT_TRUE(LrLoans_Borrow(&loans, 5, LR_SECOND, LR_SECOND + 1));
    EXPECT_EQ(LrLoans_EffectiveQuota(&loans, 10, 2 * LR_SECOND), 15);
    EXPECT_EQ(LrLoans_EffectiveQuota(&loans, 10, LR_SECOND + LR_LOAN_LEASE),
              10);
}
