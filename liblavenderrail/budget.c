/* Repeated requests to one service in a sliding window: hedges and retries
 * together stay under a share of its requests and a fixed number. */
#include "lavenderrail.h"

static LrTime
slot_width(const LrBudgetRule *rule)
{
    return MAX(1, rule->window / LR_BUDGET_SLOTS);
}

/* Clears the slots that have left the window. */
static void
turn(LrBudget *budget, const LrBudgetRule *rule, LrTime now)
{
    int64_t slot = now / slot_width(rule);
    int64_t passed = MIN(slot - budget->slot, LR_BUDGET_SLOTS + 1);
    for (int64_t i = 0; i < passed; i++) {
        int64_t at = (slot - i) % (LR_BUDGET_SLOTS + 1);
        budget->firsts[at] = 0;
        budget->repeats[at] = 0;
    }
    budget->slot = MAX(budget->slot, slot);
}

static size_t
current(const LrBudget *budget)
{
    return (size_t)(budget->slot % (LR_BUDGET_SLOTS + 1));
}

void
LrBudget_AddFirst(LrBudget *budget, const LrBudgetRule *rule, LrTime now)
{
    turn(budget, rule, now);
    budget->firsts[current(budget)]++;
}

static void
sum(const LrBudget *budget, const LrBudgetRule *rule, double *allowed,
    double *used)
{
    uint64_t firsts = 0;
    uint64_t repeats = 0;
    for (size_t i = 0; i <= LR_BUDGET_SLOTS; i++) {
        firsts += budget->firsts[i];
        repeats += budget->repeats[i];
    }
    *allowed = rule->ratio * (double)firsts + rule->extra;
    *used = (double)repeats;
}

bool
LrBudget_TakeRepeat(LrBudget *budget, const LrBudgetRule *rule, LrTime now)
{
    double allowed;
    double used;
    turn(budget, rule, now);
    sum(budget, rule, &allowed, &used);
    if (used + 1 > allowed) {
        return false;
    }
    budget->repeats[current(budget)]++;
    return true;
}

double
LrBudget_Left(LrBudget *budget, const LrBudgetRule *rule, LrTime now)
{
    double allowed;
    double used;
    turn(budget, rule, now);
    sum(budget, rule, &allowed, &used);
    return allowed > 0 ? CLAMP(1 - used / allowed, 0, 1) : 0;
}
