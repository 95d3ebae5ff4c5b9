#include "heatherlatch/telemetry/internal/line_limiter.h"

#include <algorithm>

namespace heatherlatch::internal {
namespace {

constexpr int kWindowShiftBits = 32;

// @return the second of the clock that holds the time
std::uint32_t WindowOf(TimePoint now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count());
}

// @return the lines allowed in the window so far; 0 if another window is stored
std::uint32_t LinesIn(std::uint64_t window_and_lines, std::uint32_t window) {
  const auto packed_window =
      static_cast<std::uint32_t>(window_and_lines >> kWindowShiftBits);
  return packed_window == window ? static_cast<std::uint32_t>(window_and_lines)
                                 : 0;
}

}  // namespace

LineLimiter::LineLimiter(int lines_per_second)
    : lines_per_second_(std::max(lines_per_second, 0)) {}

std::uint64_t LineLimiter::Pack(std::uint32_t window, std::uint32_t lines) {
  return static_cast<std::uint64_t>(window) << kWindowShiftBits | lines;
}

bool LineLimiter::TryAcquire(TimePoint now) {
  const std::uint32_t window = WindowOf(now);
  std::uint64_t packed = window_and_lines_.load(std::memory_order_relaxed);
  while (true) {
    const std::uint32_t lines = LinesIn(packed, window);
    if (lines >= lines_per_second_) {
      dropped_lines_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (window_and_lines_.compare_exchange_weak(packed, Pack(window, lines + 1),
                                                std::memory_order_relaxed)) {
      return true;
    }
  }
}

bool LineLimiter::HasRoom(TimePoint now) {
  const std::uint64_t packed =
      window_and_lines_.load(std::memory_order_relaxed);
  if (LinesIn(packed, WindowOf(now)) < lines_per_second_) return true;
  dropped_lines_.fetch_add(1, std::memory_order_relaxed);
  return false;
}

std::uint64_t LineLimiter::TakeDropped(TimePoint now) {
  if (dropped_lines_.load(std::memory_order_relaxed) == 0) return 0;
  const std::uint32_t window = WindowOf(now);
  std::uint32_t reported = reported_window_.load(std::memory_order_relaxed);
  if (reported == window) return 0;
  if (!reported_window_.compare_exchange_strong(reported, window)) return 0;
  return TakeAllDropped();
}

std::uint64_t LineLimiter::TakeAllDropped() {
  return dropped_lines_.exchange(0);
}

}  // namespace heatherlatch::internal
