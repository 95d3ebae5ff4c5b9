// An event loop in virtual time: runs actions in the order of their times, and
// actions of the same time in the order in which they were scheduled.
//
// Example:
//   EventLoop loop;
//   loop.After(std::chrono::milliseconds(5), [&] { Send(); });
//   loop.RunUntil(loop.Now() + std::chrono::seconds(1));
//
// Thread safety: none.
#ifndef HEATHERLATCH_TESTING_EVENT_LOOP_H_
#define HEATHERLATCH_TESTING_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

class EventLoop {
 public:
  using Action = std::function<void()>;

  TimePoint Now() const { return now_; }

  // Schedules an action; a time in the past means now.
  void At(TimePoint time, Action action) {
    events_.push(
        {time < now_ ? now_ : time, next_sequence_++, std::move(action)});
  }
  void After(Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }

  // Runs every action up to and including `end`, and sets the time to `end`.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint time;
    std::uint64_t sequence;
    Action action;

    friend bool operator<(const Event& a, const Event& b) {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  TimePoint now_ = TimePoint(std::chrono::seconds(1000));
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TESTING_EVENT_LOOP_H_
