// EventQueue in virtual time, for tests of several machines that talk.
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

    // Runs what is due within the length; after each event calls check.
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
