// Timers fire in order of due time; those due at the same time fire in the
// order in which they were armed.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "lavenderrail.h"

struct RecordingTimer {
    LrTimer timer;
    int id;
    std::vector<int> *fired;
};

static void
fire(void *data, LrTime)
{
    auto *recording_timer = static_cast<RecordingTimer *>(data);
    recording_timer->fired->push_back(recording_timer->id);
}

TEST(Timer, FireInOrderAndNotWhenCancelled)
{
    LrTimers *timers = LrTimers_New();
    LrRandom *random = LrRandom_New(5);
    std::vector<int> fired;
    std::vector<RecordingTimer> recording_timers(500);
    std::vector<std::pair<LrTime, int>> expected;
    for (int i = 0; i < 500; i++) {
        recording_timers[i] = RecordingTimer{{}, i, &fired};
        recording_timers[i].timer.func = fire;
        recording_timers[i].timer.data = &recording_timers[i];
        LrTime due = 1 + LrRandom_Below(random, 50);
        LrTimers_Arm(timers, &recording_timers[i].timer, due);
        expected.push_back({due, i});
    }
    for (int i = 0; i < 500; i += 3) {
        LrTimers_Cancel(timers, &recording_timers[i].timer);
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
