#include "heatherlatch/admission/token_bucket.h"

#include <algorithm>

namespace heatherlatch {

TokenBucket::TokenBucket(double per_second, double burst, TimePoint now)
    : per_second_(per_second),
      burst_(burst),
      available_(burst),
      refilled_at_(now) {}

bool TokenBucket::TrySpend(double amount, TimePoint now) {
  Refill(now);
  if (amount > available_) return false;
  available_ -= amount;
  return true;
}

void TokenBucket::Spend(double amount, TimePoint now) {
  Refill(now);
  available_ -= amount;
}

bool TokenBucket::HasTokens(TimePoint now) {
  Refill(now);
  return available_ > 0;
}

void TokenBucket::SetRate(double per_second, double burst, TimePoint now) {
  Refill(now);
  per_second_ = per_second;
  burst_ = burst;
  available_ = std::min(available_, burst_);
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= refilled_at_) return;
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  available_ = std::min(burst_, available_ + per_second_ * elapsed.count());
  refilled_at_ = now;
}

RetryBudget::RetryBudget(double share, double reserve)
    : share_(share), reserve_(reserve), available_(reserve) {}

void RetryBudget::OnSuccess() {
  const double max_tokens = std::max(reserve_, 1.0);
  available_ = std::min(max_tokens, available_ + share_);
}

bool RetryBudget::TryRetry() {
  if (available_ < 1) return false;
  available_ -= 1;
  return true;
}

}  // namespace heatherlatch
