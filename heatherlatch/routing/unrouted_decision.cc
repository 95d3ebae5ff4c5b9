#include "heatherlatch/routing/unrouted_decision.h"

#include "heatherlatch/relay/peer_messages.h"

namespace heatherlatch {

bool IsConfirmed(const TableConfirmation& confirmation, TimePoint now) {
  return confirmation.is_newest && confirmation.confirmed_at &&
         now - *confirmation.confirmed_at <= kMaxConfirmationAge;
}

UnroutedDecision DecideUnrouted(const TableConfirmation& confirmation,
                                TimePoint now) {
  if (!IsConfirmed(confirmation, now)) return NotConfirmed{};
  return NoSuchRoute{};
}

}  // namespace heatherlatch
