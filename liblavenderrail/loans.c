/* Loans between daemons of their quotas of a fleet-wide limit, under leases.
 *
 * A lender gives up the amount when it grants the loan, for a lease counted
 * from then; the borrower may use the amount for a lease counted from its
 * request, which is earlier. So the borrower's lease ends before the lender's,
 * however long the messages took, and the sum of what all daemons may use
 * never exceeds the limit. If the grant is lost on the way, nobody can use the
 * amount for one lease. */
#include "lavenderrail.h"

/* Share of the unused quota that is lent at once. */
#define MAX_LENT_RATIO 0.8

static int64_t
sum_loans(LrLoan *list, LrTime now)
{
    int64_t sum = 0;
    for (size_t i = 0; i < LR_MAX_LOANS; i++) {
        if (list[i].expires_at > now) {
            sum += list[i].amount;
        }
    }
    return sum;
}

/* A free slot for a loan; NULL if all are in use. */
static LrLoan *
free_slot(LrLoan *loans, LrTime now)
{
    for (size_t i = 0; i < LR_MAX_LOANS; i++) {
        if (loans[i].expires_at <= now) {
            return &loans[i];
        }
    }
    return NULL;
}

int64_t
LrLoans_EffectiveQuota(LrLoans *loans, int64_t quota, LrTime now)
{
    int64_t lent = sum_loans(loans->lent, now);
    return MAX(0, quota - lent) + sum_loans(loans->borrowed, now);
}

int64_t
LrLoans_Lend(LrLoans *loans, int64_t quota, int64_t used, int64_t wanted,
             LrTime now)
{
    int64_t unused = quota - sum_loans(loans->lent, now) - used;
    int64_t amount =
        MIN(wanted, (int64_t)((double)unused * MAX_LENT_RATIO + 0.5));
    LrLoan *slot = free_slot(loans->lent, now);
    if (amount <= 0 || !slot) {
        return 0;
    }
    *slot = (LrLoan){.amount = amount, .expires_at = now + LR_LOAN_LEASE};
    return amount;
}

bool
LrLoans_Borrow(LrLoans *loans, int64_t amount, LrTime asked_at, LrTime now)
{
    LrLoan *slot = free_slot(loans->borrowed, now);
    LrTime until = asked_at + LR_LOAN_LEASE;
    if (amount <= 0 || !slot || until <= now || asked_at > now) {
        return false;
    }
    *slot = (LrLoan){.amount = amount, .expires_at = until};
    return true;
}
