#include "heatherlatch/placement/internal/slow_start.h"

#include <algorithm>

namespace heatherlatch {
namespace {

constexpr int kMaxRoundsPerStep = 64;

// Prompt responses at the full limit that halve the rounds per step.
constexpr int kPromptResponsesPerHalving = 256;

}  // namespace

SlowStart::SlowStart(int cold_limit, int full_limit, TimePoint now)
    : cold_limit_(std::min(cold_limit, full_limit)),
      full_limit_(full_limit),
      limit_(cold_limit_),
      changed_at_(now) {}

void SlowStart::SetLimit(int limit, TimePoint now) {
  limit_ = limit;
  prompt_responses_ = 0;
  changed_at_ = now;
}

void SlowStart::TurnCold(TimePoint now) { SetLimit(cold_limit_, now); }

void SlowStart::OnShed(TimePoint now) {
  rounds_per_step_ = std::min(rounds_per_step_ * 2, kMaxRoundsPerStep);
  SetLimit(cold_limit_, now);
}

void SlowStart::OnPromptResponse(TimePoint granted_at, TimePoint now) {
  if (growth_paused_ || granted_at < changed_at_) return;
  ++prompt_responses_;
  if (limit_ == full_limit_) {
    RestoreGrowthRate();
    return;
  }
  if (prompt_responses_ >= limit_ * rounds_per_step_) SetLimit(limit_ + 1, now);
}

void SlowStart::RestoreGrowthRate() {
  if (prompt_responses_ < kPromptResponsesPerHalving) return;
  prompt_responses_ = 0;
  rounds_per_step_ = std::max(rounds_per_step_ / 2, 1);
}

}  // namespace heatherlatch
