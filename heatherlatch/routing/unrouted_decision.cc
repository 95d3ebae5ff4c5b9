#include "heatherlatch/routing/unrouted_decision.h"

#include "heatherlatch/relay/peer_messages.h"

namespace heatherlatch {

UnroutedDecision DecideUnrouted(const TableConfirmation& confirmation,
                                TimePoint now) {
  if (!confirmation.is_newest || !confirmation.confirmed_at ||
      now - *confirmation.confirmed_at > kMaxConfirmationAge) {
    return NotConfirmed{};
  }
  return NoSuchRoute{};
}

}  // namespace heatherlatch
