// Event queue in virtual time, for tests of several daemons that exchange
// messages.
#ifndef LAVENDERRAIL_TESTS_EVENT_QUEUE_H
#define LAVENDERRAIL_TESTS_EVENT_QUEUE_H

#include <algorithm>
#include <functional>
#include <map>

#include "lavenderrail.h"

class EventQueue {
  public:
    void
    at(LrTime when, std::function<void()> what)
    {
        events_.emplace(when, std::move(what));
    }

    // Runs the events that are due within length; calls check after each.
    void
    run(
        LrTime length, const std::function<void()> &check = [] {})
    {
        LrTime end = now + length;
        while (!events_.empty() && events_.begin()->first <= end) {
            now = std::max(now, events_.begin()->first);
            auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
            check();
        }
        now = end;
    }

    LrTime now = LR_SECOND;

  private:
    std::multimap<LrTime, std::function<void()>> events_;
};

#endif
