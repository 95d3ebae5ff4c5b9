#include "heatherlatch/placement/internal/server_backoff.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// Doublings after which every delay has reached kMaxBackoff.
constexpr int kMaxDoublings = 16;

Duration DelayAfter(BackoffReason reason, int failures) {
  const int doublings = std::min(failures - 1, kMaxDoublings);
  return std::min(kMaxBackoff, InitialBackoff(reason) * (1 << doublings));
}

}  // namespace

Duration InitialBackoff(BackoffReason reason) {
  switch (reason) {
    case BackoffReason::kSlow:
    case BackoffReason::kDraining:
      return std::chrono::milliseconds(100);
    case BackoffReason::kShed:
      return std::chrono::milliseconds(5);
    case BackoffReason::kConnectFailed:
      return std::chrono::milliseconds(20);
  }
  return kMaxBackoff;
}

void ServerBackoff::RecordFailure(BackoffReason reason, TimePoint now) {
  ++failures_;
  reason_ = reason;
  state_ = Delayed{now + DelayAfter(reason, failures_)};
}

void ServerBackoff::Recover() {
  failures_ = 0;
  state_ = Healthy{};
}

bool ServerBackoff::Advance(TimePoint now) {
  const Delayed* delayed = std::get_if<Delayed>(&state_);
  if (delayed == nullptr || now < delayed->until) return false;
  state_ = TrialAllowed{};
  return true;
}

void ServerBackoff::StartTrial(GrantId grant) { state_ = TrialRunning{grant}; }

void ServerBackoff::AllowTrialAgain() { state_ = TrialAllowed{}; }

bool ServerBackoff::IsTrial(GrantId grant) const {
  const TrialRunning* running = std::get_if<TrialRunning>(&state_);
  return running != nullptr && running->grant == grant;
}

}  // namespace heatherlatch
