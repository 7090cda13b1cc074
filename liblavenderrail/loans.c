/* Lending of a fleet-wide limit between daemons, under leases.
 *
 * Each daemon has a part of the limit. A lender gives up what it lends when
 * it answers, for a lease counted from then; the borrower may use it for a
 * lease counted from when it asked, which is earlier. So the borrower's lease
 * ends before the lender's whatever the message took, and the sum of what all
 * may use never exceeds the limit. A lost answer costs the amount for one
 * lease. */
#include "lavenderrail.h"

/* How much of what is spare is lent at once. */
#define LEND_SHARE 0.8

static int64_t
sum_loans(LrLoan *loans, LrTime now)
{
    int64_t sum = 0;
    for (size_t i = 0; i < LR_MAX_LOANS; i++) {
        if (loans[i].expires_at > now) {
            sum += loans[i].amount;
        }
    }
    return sum;
}

/* A place for a loan; NULL when all are in use. */
static LrLoan *
free_place(LrLoan *loans, LrTime now)
{
    for (size_t i = 0; i < LR_MAX_LOANS; i++) {
        if (loans[i].expires_at <= now) {
            return &loans[i];
        }
    }
    return NULL;
}

int64_t
LrLoans_EffectiveQuota(LrLoans *lend, int64_t part, LrTime now)
{
    int64_t lent = sum_loans(lend->lent, now);
    return MAX(0, part - lent) + sum_loans(lend->borrowed, now);
}

int64_t
LrLoans_Lend(LrLoans *lend, int64_t part, int64_t used, int64_t wanted,
             LrTime now)
{
    int64_t spare = part - sum_loans(lend->lent, now) - used;
    int64_t amount = MIN(wanted, (int64_t)((double)spare * LEND_SHARE + 0.5));
    LrLoan *place = free_place(lend->lent, now);
    if (amount <= 0 || !place) {
        return 0;
    }
    *place = (LrLoan){.amount = amount, .expires_at = now + LR_LOAN_LEASE};
    return amount;
}

bool
LrLoans_Borrow(LrLoans *lend, int64_t amount, LrTime asked_at, LrTime now)
{
    LrLoan *place = free_place(lend->borrowed, now);
    LrTime until = asked_at + LR_LOAN_LEASE;
    if (amount <= 0 || !place || until <= now || asked_at > now) {
        return false;
    }
    *place = (LrLoan){.amount = amount, .expires_at = until};
    return true;
}
