#include "heatherlatch/steering/patience.h"

namespace heatherlatch {

PatienceVerdict Decide(const std::optional<Choice>& choice,
                       const PlacementState& state) {
  if (!choice) return Refuse{kRetryAfter};
  if (choice->expected >= state.time_left) return Refuse{kRetryAfter};
  return SendNow{};
}

}  // namespace heatherlatch
