#include "heatherlatch/telemetry/internal/line_limiter.h"

#include <algorithm>

namespace heatherlatch::internal {
namespace {

constexpr int kWindowShift = 32;

std::uint32_t WindowOf(TimePoint now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count());
}

std::uint32_t TakenIn(std::uint64_t window_and_taken, std::uint32_t window) {
  const auto held =
      static_cast<std::uint32_t>(window_and_taken >> kWindowShift);
  return held == window ? static_cast<std::uint32_t>(window_and_taken) : 0;
}

}  // namespace

LineLimiter::LineLimiter(int lines_per_second)
    : lines_per_second_(std::max(lines_per_second, 0)) {}

std::uint64_t LineLimiter::Pack(std::uint32_t window, std::uint32_t taken) {
  return static_cast<std::uint64_t>(window) << kWindowShift | taken;
}

bool LineLimiter::TryTake(TimePoint now) {
  const std::uint32_t window = WindowOf(now);
  std::uint64_t held = window_and_taken_.load(std::memory_order_relaxed);
  while (true) {
    const std::uint32_t taken = TakenIn(held, window);
    if (taken >= lines_per_second_) {
      left_out_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    if (window_and_taken_.compare_exchange_weak(held, Pack(window, taken + 1),
                                                std::memory_order_relaxed)) {
      return true;
    }
  }
}

bool LineLimiter::HasRoom(TimePoint now) {
  const std::uint64_t held = window_and_taken_.load(std::memory_order_relaxed);
  if (TakenIn(held, WindowOf(now)) < lines_per_second_) return true;
  left_out_.fetch_add(1, std::memory_order_relaxed);
  return false;
}

std::uint64_t LineLimiter::TakeLeftOut(TimePoint now) {
  if (left_out_.load(std::memory_order_relaxed) == 0) return 0;
  const std::uint32_t window = WindowOf(now);
  std::uint32_t reported = reported_window_.load(std::memory_order_relaxed);
  if (reported == window) return 0;
  if (!reported_window_.compare_exchange_strong(reported, window)) return 0;
  return TakeAllLeftOut();
}

std::uint64_t LineLimiter::TakeAllLeftOut() { return left_out_.exchange(0); }

}  // namespace heatherlatch::internal
