/* Extra attempts stay within the retry budget in every window that an observer
 * may count. */
#include <gtest/gtest.h>

#include <vector>

#include "lavenderrail.h"

namespace {

const LrRetryBudgetRule RULE = {
    .ratio = 0.2,
    .fixed_allowance = 10,
    .window = 10 * LR_SECOND,
};

struct Event {
    LrTime at;
    bool extra;
};

/* The greatest excess over the budget in any window, as the rule counts it:
 * against the first attempts of the window, of the one before it, or of the
 * one half a window before it, whichever has most. */
double
worst_excess(const std::vector<Event> &events, const LrRetryBudgetRule &rule)
{
    auto count = [&](LrTime from, bool extra) {
        int n = 0;
        for (const Event &event : events) {
            n += event.extra == extra && event.at >= from &&
                 event.at < from + rule.window;
        }
        return n;
    };
    double worst = -1e9;
    for (const Event &event : events) {
        if (!event.extra) {
            continue;
        }
        int firsts = std::max({count(event.at, false),
                               count(event.at - rule.window, false),
                               count(event.at - rule.window / 2, false)});
        double allowed = rule.ratio * firsts + rule.fixed_allowance;
        worst = std::max(worst, count(event.at, true) - allowed);
    }
    return worst;
}

/* Tries an extra attempt for every request, at a request rate that changes. */
std::vector<Event>
simulate(uint64_t seed, double surge)
{
    LrRandom *random = LrRandom_New(seed);
    LrRetryBudget budget = {};
    std::vector<Event> events;
    LrTime now = 1000 * LR_SECOND;
    LrTime end = now + 60 * LR_SECOND;
    while (now < end) {
        bool high = now / (15 * LR_SECOND) % 2 == 1;
        double rate = high ? 40 * surge : 40;
        now += (LrTime)(2 * LrRandom_Uniform(random) / rate * LR_SECOND);
        LrRetryBudget_AddFirstAttempt(&budget, &RULE, now);
        events.push_back({now, false});
        if (LrRetryBudget_TakeExtraAttempt(&budget, &RULE, now)) {
            events.push_back({now, true});
        }
    }
    LrRandom_Free(random);
    return events;
}

} // namespace

TEST(RetryBudget, HoldsInEveryWindow)
{
    for (uint64_t seed = 1; seed <= 8; seed++) {
        for (double surge : {1.0, 0.2, 3.0}) {
            EXPECT_LE(worst_excess(simulate(seed, surge), RULE), 0)
                << "seed " << seed << " surge " << surge;
        }
    }
}

TEST(RetryBudget, AllowsMostOfWhatTheRuleAllows)
{
    size_t n_extra = 0;
    std::vector<Event> events = simulate(1, 1.0);
    for (const Event &event : events) {
        n_extra += event.extra;
    }
    double firsts = (double)(events.size() - n_extra);
    EXPECT_GE((double)n_extra, 0.8 * RULE.ratio * firsts);
}

TEST(RetryBudget, TheFixedAllowanceIsSpentOnceAWindow)
{
    LrRetryBudget budget = {};
    LrTime now = LR_SECOND;
    for (int i = 0; i < 10; i++) {
        EXPECT_TRUE(LrRetryBudget_TakeExtraAttempt(&budget, &RULE, now));
    }
    EXPECT_FALSE(LrRetryBudget_TakeExtraAttempt(&budget, &RULE, now));
    EXPECT_FALSE(
        LrRetryBudget_TakeExtraAttempt(&budget, &RULE, now + RULE.window / 2));
    EXPECT_TRUE(
        LrRetryBudget_TakeExtraAttempt(&budget, &RULE, now + 2 * RULE.window));
}
