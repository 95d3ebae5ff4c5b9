// Limits the number of lines per second and counts the dropped lines.
//
// The limit applies to fixed windows: the full seconds of the times that the
// caller passes in. An interval of one second that spans two windows may
// therefore contain up to twice the limit.
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
//   if (limiter.TryAcquire(now)) WriteLine();
//   std::uint64_t dropped = limiter.TakeDropped(now);
//   if (dropped > 0) Report(dropped);
class LineLimiter {
 public:
  // @param lines_per_second  at least 0
  explicit LineLimiter(int lines_per_second);

  // Counts one line against the limit of its window, or as dropped if the limit
  // is reached.
  // @return whether the line may be written
  bool TryAcquire(TimePoint now);

  // Counts a line as dropped if the limit is reached. A line that may be
  // written is not counted; call `TryAcquire` when it is written.
  // @return whether a line may be written
  bool HasRoom(TimePoint now);

  // Resets the number of dropped lines, at most once per window.
  // @return the lines dropped since the last report; 0 if there are none or the
  //     window already had a report
  std::uint64_t TakeDropped(TimePoint now);

  // Resets the number of dropped lines.
  // @return the lines dropped since the last report
  std::uint64_t TakeAllDropped();

 private:
  // Packs a window and the number of its lines into one word, so that both
  // change in one atomic operation.
  static std::uint64_t Pack(std::uint32_t window, std::uint32_t lines);

  const std::uint32_t lines_per_second_;
  std::atomic<std::uint64_t> window_and_lines_{0};
  std::atomic<std::uint64_t> dropped_lines_{0};
  std::atomic<std::uint32_t> reported_window_{0};
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_TELEMETRY_INTERNAL_LINE_LIMITER_H_
