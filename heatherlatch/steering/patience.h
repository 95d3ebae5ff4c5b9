// Decides whether a request is sent now, asks its candidates again, or is
// refused.
//
// Load this answers: bursts and lost zones, when every slot that a host finds
// is taken or slowed. A request that can still meet its latency target waits at
// the host for a better server, since what waits in a server's queue cannot
// move when the server turns slow. One that can no longer meet it waits for a
// server with room, so that it delays none that can, and is never put into a
// server's queue. What is known to fail is refused at once; that servers are
// slow or full now is no such knowledge while several service times are left.
//
// Thread safety: pure functions. Reads no clock.
#ifndef HEATHERLATCH_STEERING_PATIENCE_H_
#define HEATHERLATCH_STEERING_PATIENCE_H_

#include <optional>
#include <variant>

#include "heatherlatch/base/outcome.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/steering/steering.h"

namespace heatherlatch {

struct SendNow {};
struct AskAgain {
  Duration after{};
};
struct Refuse {
  NotRunReason reason = NotRunReason::kNoServer;
  Duration retry_after{};
};
using PatienceVerdict = std::variant<SendNow, AskAgain, Refuse>;

// What is known of a request that is about to be placed.
struct PlacementState {
  Duration waited{};          // Since the caller's request was read.
  Duration latency_target{};  // From the caller's first send.
  Duration time_left{};       // Until the caller, or the route, gives up.
  Duration service_time{};    // On an idle server at its usual speed.
  // Every server that was asked refused the connection.
  bool unreachable = false;
};

// Between two rounds of questions of one request, and of one that is late.
// Source: a fifth and a half of the shortest mean service time on the users'
// sheets.
inline constexpr Duration kProbeAgainInterval = std::chrono::milliseconds(20);
inline constexpr Duration kAskAgainWhenLate = std::chrono::milliseconds(40);
// When a refused caller may come back. Source: half of a neighbour's spell.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(250);

// When a caller may come back whose request was refused by a server with room.
// Source: less than the caller's way to the host and back.
inline constexpr Duration kRetryAfterWithRoom = std::chrono::milliseconds(10);

// Decides when a caller may come back after servers refused its request and the
// budget for retries is spent.
//
// Load this answers: servers that refuse a part of what they get though slots
// are free. The next one is likely to be taken, so the caller comes back at
// once and may still be answered within its target; a full server needs time.
// @param had_room  whether the server that refused had a free slot
Duration RetryAfterShed(bool had_room);

// @param choice  the best candidate; empty where there is none
PatienceVerdict Decide(const std::optional<Choice>& choice,
                       const PlacementState& state);

// Decides about a request that must run alone on a server, where no candidate
// is idle.
//
// Load this answers: requests that are suspected of crashing their servers, so
// that no other request is lost with them.
PatienceVerdict DecideWithoutIdle(const PlacementState& state);

// How far from the host candidates have been asked.
enum class Reach {
  kNearest,     // Those drawn first, of the own zone where it has enough.
  kRegion,      // More of the own region, other zones first.
  kEverywhere,  // Those of other regions too.
};

// Decides whether more candidates are asked before the request is placed.
//
// Load this answers: a zone or region whose slots are taken, whose servers are
// slow or do not answer, while another has room. Another zone costs little, so
// it is asked as soon as the target would be missed. Small requests go to other
// regions where they can still meet their latency target; downloads only where
// the own region could not answer them in their time at all, since traffic
// between regions costs more than they are worth.
// @param choice  the best candidate so far; empty: there is none
// @param reach   how far candidates have been asked
// @return how far to ask next; nothing: what is known decides
std::optional<Reach> NextReach(const std::optional<Choice>& choice,
                               const PlacementState& state,
                               const ExpectedWork& work, Reach reach);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_STEERING_PATIENCE_H_
