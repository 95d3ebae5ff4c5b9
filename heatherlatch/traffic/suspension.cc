#include "heatherlatch/traffic/suspension.h"

#include <time.h>

namespace heatherlatch {
namespace {

Duration ReadClock(clockid_t clock) {
  timespec time{};
  ::clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

Duration TotalSuspension() {
  return ReadClock(CLOCK_BOOTTIME) - ReadClock(CLOCK_MONOTONIC);
}

SuspendAwareTime WithSuspension(TimePoint at) {
  return {at, TotalSuspension()};
}

}  // namespace heatherlatch
