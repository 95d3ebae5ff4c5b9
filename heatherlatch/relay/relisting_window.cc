#include "heatherlatch/relay/relisting_window.h"

#include <algorithm>

namespace heatherlatch {

void RelistingWindow::OnConfirmed(TimePoint confirmed_at) {
  const bool may_have_expired =
      !confirmed_at_ || confirmed_at - *confirmed_at_ >= kMinExpiryOutage;
  if (store_unavailable_ && may_have_expired) {
    ends_at_ = confirmed_at + kRelistingGrace;
  }
  store_unavailable_ = false;
  confirmed_at_ = std::max(confirmed_at_.value_or(confirmed_at), confirmed_at);
}

void RelistingWindow::OnRestored(TimePoint confirmed_at) {
  ends_at_ = confirmed_at + kRelistingGrace;
}

std::optional<TimePoint> RelistingWindow::End(TimePoint now) const {
  if (store_unavailable_ &&
      (!confirmed_at_ || now - *confirmed_at_ >= kMinExpiryOutage)) {
    return now + kRelistingGrace;
  }
  if (ends_at_ && now < *ends_at_) return ends_at_;
  return std::nullopt;
}

}  // namespace heatherlatch
