// Decides whether a request is sent now, asks its candidates again, or is
// refused.
//
// Load this answers: bursts and lost zones, when every slot that a host finds
// is taken. A request that can still meet its latency target waits at the host
// for a slot, since what waits in a server's queue cannot move when the server
// turns slow. One that can no longer meet it takes room only where it does not
// delay those that can.
//
// Thread safety: pure functions. Reads no clock.
#ifndef HEATHERLATCH_STEERING_PATIENCE_H_
#define HEATHERLATCH_STEERING_PATIENCE_H_

#include <variant>

#include "heatherlatch/base/time.h"
#include "heatherlatch/steering/steering.h"

namespace heatherlatch {

struct SendNow {};
struct AskAgain {
  Duration after{};
};
struct Refuse {
  Duration retry_after{};
};
using PatienceVerdict = std::variant<SendNow, AskAgain, Refuse>;

// What is known of a request that is about to be placed.
struct PlacementState {
  Duration waited{};          // Since the caller's request was read.
  Duration latency_target{};  // From the caller's first send.
  Duration time_left{};       // Until the caller, or the route, gives up.
  Duration service_time{};    // On an idle server at its usual speed.
};

// Between two rounds of questions of one request.
// Source: a twelfth of the shortest mean service time on the users' sheets.
inline constexpr Duration kAskAgainInterval = std::chrono::milliseconds(8);

// When a refused caller may come back. Source: half of a neighbour's spell.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(250);

// @param choice  the best candidate; empty where there is none
PatienceVerdict Decide(const std::optional<Choice>& choice,
                       const PlacementState& state);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_STEERING_PATIENCE_H_
