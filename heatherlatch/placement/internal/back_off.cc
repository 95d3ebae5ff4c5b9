#include "heatherlatch/placement/internal/back_off.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// Doublings after which every delay has reached kMaxBackOff.
constexpr int kMaxDoublings = 16;

Duration DelayAfter(BackOffReason reason, int failures) {
  const int doublings = std::min(failures - 1, kMaxDoublings);
  return std::min(kMaxBackOff, FirstBackOff(reason) * (1 << doublings));
}

}  // namespace

Duration FirstBackOff(BackOffReason reason) {
  switch (reason) {
    case BackOffReason::kSlow:
    case BackOffReason::kDraining:
      return std::chrono::milliseconds(100);
    case BackOffReason::kShed:
      return std::chrono::milliseconds(5);
    case BackOffReason::kConnectFailed:
      return std::chrono::milliseconds(20);
  }
  return kMaxBackOff;
}

void BackOff::Fail(BackOffReason reason, TimePoint now) {
  ++failures_;
  reason_ = reason;
  state_ = Delayed{now + DelayAfter(reason, failures_)};
}

void BackOff::Recover() {
  failures_ = 0;
  state_ = Working{};
}

bool BackOff::Advance(TimePoint now) {
  const Delayed* delayed = std::get_if<Delayed>(&state_);
  if (delayed == nullptr || now < delayed->until) return false;
  state_ = TrialOpen{};
  return true;
}

void BackOff::StartTrial(GrantId grant) { state_ = TrialRunning{grant}; }

void BackOff::ReopenTrial() { state_ = TrialOpen{}; }

bool BackOff::IsTrial(GrantId grant) const {
  const TrialRunning* running = std::get_if<TrialRunning>(&state_);
  return running != nullptr && running->grant == grant;
}

}  // namespace heatherlatch
