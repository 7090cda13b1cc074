/* Retry budget of a service over sliding windows: extra attempts (hedges and
 * retries together) stay below a ratio of the first attempts plus a fixed
 * allowance.
 *
 * An observer of the traffic may start a window at any moment, and compares
 * the extra attempts in it with the first attempts in it, in the window before
 * it, or in the one half a window earlier, whichever has most. So an extra
 * attempt is allowed only if it fits every window that it falls into. */
#include "lavenderrail.h"

enum {
    WINDOW_SLOTS = LR_RETRY_BUDGET_SLOTS,
    RING_SLOTS = 2 * LR_RETRY_BUDGET_SLOTS + 1
};

static LrTime
slot_width(const LrRetryBudgetRule *rule)
{
    return MAX(1, rule->window / WINDOW_SLOTS);
}

/* Advances the ring to the current time, clearing the slots that it reuses. */
static void
advance(LrRetryBudget *budget, const LrRetryBudgetRule *rule, LrTime now)
{
    int64_t slot = now / slot_width(rule);
    int64_t passed = MIN(slot - budget->slot, RING_SLOTS);
    for (int64_t i = 0; i < passed; i++) {
        int64_t at = (slot - i) % RING_SLOTS;
        budget->first_attempts[at] = 0;
        budget->extra_attempts[at] = 0;
    }
    budget->slot = MAX(budget->slot, slot);
}

static size_t
current_slot(const LrRetryBudget *budget)
{
    return (size_t)(budget->slot % RING_SLOTS);
}

void
LrRetryBudget_AddFirstAttempt(LrRetryBudget *budget,
                              const LrRetryBudgetRule *rule, LrTime now)
{
    advance(budget, rule, now);
    budget->first_attempts[current_slot(budget)]++;
}

/* Prefix sums: totals[i] is the sum of the i oldest slots; the current slot is
 * the last one added. */
static void
sum_slots(const uint32_t *counts, const LrRetryBudget *budget,
          double totals[RING_SLOTS + 1])
{
    totals[0] = 0;
    for (size_t i = 0; i < RING_SLOTS; i++) {
        size_t at = (size_t)((budget->slot + 1 + (int64_t)i) % RING_SLOTS);
        totals[i + 1] = totals[i] + counts[at];
    }
}

/* First attempts that count for a window that begins in slot start. It may
 * begin anywhere within the slot, so one slot of each interval is left out. */
static double
counted_firsts(const double totals[RING_SLOTS + 1], size_t start)
{
    size_t middle = MIN(RING_SLOTS, start + WINDOW_SLOTS / 2);
    double in_window = totals[RING_SLOTS] - totals[MIN(RING_SLOTS, start + 1)];
    double in_previous = totals[start] - totals[start - WINDOW_SLOTS + 1];
    double in_half_earlier =
        totals[middle] - totals[start - WINDOW_SLOTS / 2 + 1];
    return MAX(in_window, MAX(in_previous, in_half_earlier));
}

/* The fewest extra attempts that any window still allows. */
static double
remaining_extra_attempts(LrRetryBudget *budget, const LrRetryBudgetRule *rule,
                         LrTime now)
{
    double first_totals[RING_SLOTS + 1];
    double extra_totals[RING_SLOTS + 1];
    advance(budget, rule, now);
    sum_slots(budget->first_attempts, budget, first_totals);
    sum_slots(budget->extra_attempts, budget, extra_totals);
    double least = G_MAXDOUBLE;
    for (size_t start = WINDOW_SLOTS; start < RING_SLOTS; start++) {
        double allowed = rule->ratio * counted_firsts(first_totals, start) +
                         rule->fixed_allowance;
        least = MIN(
            least, allowed - (extra_totals[RING_SLOTS] - extra_totals[start]));
    }
    return least;
}

bool
LrRetryBudget_TakeExtraAttempt(LrRetryBudget *budget,
                               const LrRetryBudgetRule *rule, LrTime now)
{
    if (remaining_extra_attempts(budget, rule, now) < 1) {
        return false;
    }
    budget->extra_attempts[current_slot(budget)]++;
    return true;
}
