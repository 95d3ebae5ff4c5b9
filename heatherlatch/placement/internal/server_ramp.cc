#include "heatherlatch/placement/internal/server_ramp.h"

#include <algorithm>

namespace heatherlatch {
namespace {

constexpr int kMaxRoundsPerStep = 64;

// Prompt answers at the full limit after which growth is trusted again.
constexpr int kAnswersUntilTrusted = 256;

}  // namespace

ServerRamp::ServerRamp(int cold_limit, int full_limit, TimePoint now)
    : cold_limit_(std::min(cold_limit, full_limit)),
      full_limit_(full_limit),
      limit_(cold_limit_),
      changed_at_(now) {}

void ServerRamp::SetLimit(int limit, TimePoint now) {
  limit_ = limit;
  prompt_answers_ = 0;
  changed_at_ = now;
}

void ServerRamp::TurnCold(TimePoint now) { SetLimit(cold_limit_, now); }

void ServerRamp::OnShed(TimePoint now) {
  rounds_per_step_ = std::min(rounds_per_step_ * 2, kMaxRoundsPerStep);
  SetLimit(cold_limit_, now);
}

void ServerRamp::OnPromptAnswer(TimePoint granted_at, TimePoint now) {
  if (held_ || granted_at < changed_at_) return;
  ++prompt_answers_;
  if (limit_ == full_limit_) {
    CountAtFullLimit();
    return;
  }
  if (prompt_answers_ >= limit_ * rounds_per_step_) SetLimit(limit_ + 1, now);
}

void ServerRamp::CountAtFullLimit() {
  if (prompt_answers_ < kAnswersUntilTrusted) return;
  prompt_answers_ = 0;
  rounds_per_step_ = std::max(rounds_per_step_ / 2, 1);
}

}  // namespace heatherlatch
