// The types of all times and durations in interfaces.
//
// Decision code never reads a clock: it takes `TimePoint now` as a parameter,
// so a test can pass any sequence of times. `WallTime` is used only for times
// that are sent to another process, whose steady clock is a different one.
#ifndef HEATHERLATCH_BASE_TIME_H_
#define HEATHERLATCH_BASE_TIME_H_

#include <chrono>

namespace heatherlatch {

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using WallTime = std::chrono::system_clock::time_point;

// Returns `duration` in milliseconds, including the fraction.
constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns a duration of `milliseconds`, which may have a fraction.
constexpr Duration FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

// Returns `duration` times `factor`.
constexpr Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BASE_TIME_H_
