#include "heatherlatch/admission/loop_delay.h"

namespace heatherlatch {

void LoopDelay::OnDue(TimePoint due, TimePoint now) {
  if (now - due <= delay_) return;
  delay_ = now - due;
  known_at_ = now;
}

void LoopDelay::OnTurn(TimePoint began, TimePoint ended) {
  delay_ = ended - began;
  known_at_ = ended;
}

TimePoint LoopDelay::EarliestArrival(TimePoint now) const {
  // While the loop is behind, it reported when it last polled the sockets.
  return IsBehind() ? known_at_ - delay_ : now;
}

}  // namespace heatherlatch
