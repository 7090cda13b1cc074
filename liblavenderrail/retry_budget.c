/* Repeated requests to one service in sliding windows: hedges and retries
 * together stay under a share of its first requests and a fixed number.
 *
 * An observer may start its window at any moment, and compares the repeats in
 * it with the first requests in it, in the window before it, or in the one
 * half a window earlier, whichever has most. So a repeat is allowed when it
 * fits each window that it falls into. */
#include "lavenderrail.h"

enum { WINDOW = LR_RETRY_BUDGET_SLOTS, RING = 2 * LR_RETRY_BUDGET_SLOTS + 1 };

static LrTime
slot_width(const LrRetryBudgetRule *rule)
{
    return MAX(1, rule->window / WINDOW);
}

/* Clears the slots that have left the ring. */
static void
turn(LrRetryBudget *budget, const LrRetryBudgetRule *rule, LrTime now)
{
    int64_t slot = now / slot_width(rule);
    int64_t passed = MIN(slot - budget->slot, RING);
    for (int64_t i = 0; i < passed; i++) {
        int64_t at = (slot - i) % RING;
        budget->first_attempts[at] = 0;
        budget->extra_attempts[at] = 0;
    }
    budget->slot = MAX(budget->slot, slot);
}

static size_t
current(const LrRetryBudget *budget)
{
    return (size_t)(budget->slot % RING);
}

void
LrRetryBudget_AddFirstAttempt(LrRetryBudget *budget,
                              const LrRetryBudgetRule *rule, LrTime now)
{
    turn(budget, rule, now);
    budget->first_attempts[current(budget)]++;
}

/* Running totals: entry i is the sum of the i oldest slots, so that the
 * current one is the last. */
static void
add_up(const uint32_t *counts, const LrRetryBudget *budget,
       double totals[RING + 1])
{
    totals[0] = 0;
    for (size_t i = 0; i < RING; i++) {
        size_t at = (size_t)((budget->slot + 1 + (int64_t)i) % RING);
        totals[i + 1] = totals[i] + counts[at];
    }
}

/* First requests that count for a window from a slot on. A window may start
 * within a slot, so that one slot of each stretch is left out. */
static double
firsts_for(const double firsts[RING + 1], size_t start)
{
    size_t middle = MIN(RING, start + WINDOW / 2);
    double in_window = firsts[RING] - firsts[MIN(RING, start + 1)];
    double before = firsts[start] - firsts[start - WINDOW + 1];
    double half_before = firsts[middle] - firsts[start - WINDOW / 2 + 1];
    return MAX(in_window, MAX(before, half_before));
}

/* The fewest repeats that any window still allows. */
static double
room(LrRetryBudget *budget, const LrRetryBudgetRule *rule, LrTime now)
{
    double firsts[RING + 1];
    double repeats[RING + 1];
    turn(budget, rule, now);
    add_up(budget->first_attempts, budget, firsts);
    add_up(budget->extra_attempts, budget, repeats);
    double least = G_MAXDOUBLE;
    for (size_t start = WINDOW; start < RING; start++) {
        double allowed =
            rule->ratio * firsts_for(firsts, start) + rule->fixed_allowance;
        least = MIN(least, allowed - (repeats[RING] - repeats[start]));
    }
    return least;
}

bool
LrRetryBudget_TakeExtraAttempt(LrRetryBudget *budget,
                               const LrRetryBudgetRule *rule, LrTime now)
{
    if (room(budget, rule, now) < 1) {
        return false;
    }
    budget->extra_attempts[current(budget)]++;
    return true;
}
