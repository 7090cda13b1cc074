// Timers fire in order of due time; those due at the same time fire in the
// order in which they were armed.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "lavenderrail.h"

struct Shot {
    LrTimer timer;
    int id;
    std::vector<int> *fired;
};

static void
fire(void *data, LrTime)
{
    auto *shot = static_cast<Shot *>(data);
    shot->fired->push_back(shot->id);
}

TEST(Timer, FireInOrderAndNotWhenCancelled)
{
    LrTimers *timers = LrTimers_New();
    LrRandom *random = LrRandom_New(5);
    std::vector<int> fired;
    std::vector<Shot> shots(500);
    std::vector<std::pair<LrTime, int>> expected;
    for (int i = 0; i < 500; i++) {
        shots[i] = Shot{{}, i, &fired};
        shots[i].timer.func = fire;
        shots[i].timer.data = &shots[i];
        LrTime due = 1 + LrRandom_Below(random, 50);
        LrTimers_Arm(timers, &shots[i].timer, due);
        expected.push_back({due, i});
    }
    for (int i = 0; i < 500; i += 3) {
        LrTimers_Cancel(timers, &shots[i].timer);
    }
    std::erase_if(expected, [](auto &row) { return row.second % 3 == 0; });
    std::stable_sort(expected.begin(), expected.end(),
                     [](auto &a, auto &b) { return a.first < b.first; });
    LrTimers_FireDue(timers, 25);
    size_t early = fired.size();
    EXPECT_GT(LrTimers_NextDue(timers), 25);
    LrTimers_FireDue(timers, 100);
    EXPECT_GT(fired.size(), early);
    EXPECT_EQ(LrTimers_NextDue(timers), LR_NEVER);
    ASSERT_EQ(fired.size(), expected.size());
    for (size_t i = 0; i < fired.size(); i++) {
        EXPECT_EQ(fired[i], expected[i].second);
    }
    LrTimers_Free(timers);
    LrRandom_Free(random);
}
