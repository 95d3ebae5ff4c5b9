// Estimates how long bytes wait unread because an event loop is busy.
//
// Handles a host that receives more than it can process: bytes that arrive
// while the handlers of one turn of the loop run are read in the next turn. The
// time counts as time that a request has waited.
//
// A late timer shows that the loop is behind. From then on the length of each
// turn is to be reported, until one is short again.
//
// Example:
//   delay.OnDue(timer.expiry(), now);
//   if (delay.IsBehind()) MeasureTurn();  // Calls OnTurn.
//   request.read_at = delay.EarliestArrival(now);
//
// Thread safety: none.
#ifndef HEATHERLATCH_ADMISSION_LOOP_DELAY_H_
#define HEATHERLATCH_ADMISSION_LOOP_DELAY_H_

#include <chrono>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// A loop is behind if it is late by more than this: half of the shortest time
// for which a host lets a request wait on purpose.
inline constexpr Duration kLoopIsBehind = std::chrono::milliseconds(10);

class LoopDelay {
 public:
  // Reports a timer that has not been handled before `now`.
  // @param due  when it expires; it may be in the future
  void OnDue(TimePoint due, TimePoint now);
  // Reports one turn of the loop, from one poll of the sockets to the next.
  // Replaces what was known before.
  void OnTurn(TimePoint began, TimePoint ended);

  bool IsBehind() const { return delay_ > kLoopIsBehind; }
  // @return how long bytes wait until they are read; zero unless behind
  Duration delay() const { return IsBehind() ? delay_ : Duration::zero(); }
  // @return the earliest time at which bytes that are handled at `now` can have
  //     arrived; `now` unless the loop is behind
  TimePoint EarliestArrival(TimePoint now) const;

 private:
  Duration delay_{};
  TimePoint known_at_;  // When `delay_` was reported.
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_LOOP_DELAY_H_
