// Limits the lines of one second and counts those that were left out.
//
// The window is a whole second of the clock that the caller passes in, so two
// windows that touch may together hold twice the limit.
//
// Thread safety: every method may be called from any thread, without a lock.
// Reads no clock.
#ifndef HEATHERLATCH_TELEMETRY_INTERNAL_LINE_LIMITER_H_
#define HEATHERLATCH_TELEMETRY_INTERNAL_LINE_LIMITER_H_

#include <atomic>
#include <cstdint>

#include "heatherlatch/base/time.h"

namespace heatherlatch::internal {

// Example:
//   if (limiter.TryTake(now)) WriteLine();
//   std::uint64_t left_out = limiter.TakeLeftOut(now);
//   if (left_out > 0) Report(left_out);
class LineLimiter {
 public:
  // @param lines_per_second  at least 0
  explicit LineLimiter(int lines_per_second);

  // Takes room for one line; a line without room is counted as left out.
  // @return whether there was room
  bool TryTake(TimePoint now);

  // Counts a line as left out if there is no room for it, and takes nothing.
  // @return whether there is room
  bool HasRoom(TimePoint now);

  // @return the lines left out since the last report, once a second at most;
  //     0 where there is nothing to report yet
  std::uint64_t TakeLeftOut(TimePoint now);

  // @return the lines left out since the last report
  std::uint64_t TakeAllLeftOut();

 private:
  // A window and the lines taken in it, in one word so that they change
  // together.
  static std::uint64_t Pack(std::uint32_t window, std::uint32_t taken);

  const std::uint32_t lines_per_second_;
  std::atomic<std::uint64_t> window_and_taken_{0};
  std::atomic<std::uint64_t> left_out_{0};
  std::atomic<std::uint32_t> reported_window_{0};
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_TELEMETRY_INTERNAL_LINE_LIMITER_H_
