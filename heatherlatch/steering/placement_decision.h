// Wait policy: decides whether a request is sent now, probes its candidates
// again later, or is refused.
//
// Handles bursts and zone failures, when every server that a host finds is full
// or slow. A request that can still meet its latency target waits at the host
// for a better server, since a request in a server's queue cannot move when the
// server slows down. A late request, which can no longer meet its target, waits
// for a server with free slots, so that it does not delay requests that still
// can; it is never put into a server's queue. A request that is certain to fail
// is refused at once. Slow or full servers do not make it certain while several
// service times are left, since their load may change in time.
//
// Example:
//   const PlacementDecision decision = DecidePlacement(choice, state);
//   if (std::holds_alternative<SendNow>(decision)) ...
//
// Thread safety: pure functions. Reads no clock.
#ifndef HEATHERLATCH_STEERING_PLACEMENT_DECISION_H_
#define HEATHERLATCH_STEERING_PLACEMENT_DECISION_H_

#include <optional>
#include <variant>

#include "heatherlatch/base/outcome.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/steering/steering.h"

namespace heatherlatch {

struct SendNow {};
// Probe the candidates again.
struct ProbeAgain {
  Duration after{};
};
struct Refuse {
  NotRunReason reason = NotRunReason::kNoServer;
  Duration retry_after{};  // When the caller may retry.
};
using PlacementDecision = std::variant<SendNow, ProbeAgain, Refuse>;

// State of a request for which a server is being chosen.
struct PlacementState {
  Duration waited{};          // Since the caller's request was read.
  Duration latency_target{};  // From the caller's first send.
  Duration time_left{};       // Until the caller's or route's deadline.
  Duration service_time{};    // On an idle server at its usual speed.
  // Every probed server refused the connection.
  bool unreachable = false;
  // Whether it waits on while a server may still complete it: its caller was
  // refused before.
  bool keeps_waiting = false;
};

// Interval between two searches for the waiting requests of a service. A fifth
// of the shortest mean service time of the users' services.
inline constexpr Duration kProbeAgainInterval = std::chrono::milliseconds(20);
inline constexpr Duration kProbeAgainIntervalWhenLate =
    std::chrono::milliseconds(40);
// When the caller of a refused request may retry. Half of the time for which a
// noisy neighbour slows a server.
inline constexpr Duration kRetryAfter = std::chrono::milliseconds(250);

// When a caller may retry whose request was refused by a server with a free
// slot. Less than the round trip between caller and host.
inline constexpr Duration kRetryAfterWithRoom = std::chrono::milliseconds(10);

// Decides when a caller may retry after servers shed its request and the retry
// budget is spent.
//
// Handles servers that refuse a part of their requests though slots are free.
// The next request is likely to be accepted, so the caller may retry at once
// and still get a response within its latency target. A full server needs time.
// @param had_room  whether the server that refused had a free slot
Duration RetryAfterShed(bool had_room);

// Decides what to do with a request, given the best candidate.
// @param choice  the best candidate; empty where there is none
PlacementDecision DecidePlacement(const std::optional<Choice>& choice,
                                  const PlacementState& state);

// How long a request may wait for a server.
struct WaitBounds {
  Duration until_late{};      // Sent later, it misses its latency target.
  Duration until_given_up{};  // Sent later, it would hardly be of use.
};

// @return the bounds of the wait of a request, from now
WaitBounds BoundWait(const PlacementState& state);

// Decides about a request of which no candidate has a reading, because the
// budget allowed no probe: it waits while a server may still serve it in time.
PlacementDecision DecideWithoutReading(const PlacementState& state);

// @return whether a response of the expected size may cross regions only to be
//     in time: a larger one costs more than it is worth
bool MayCrossRegions(const ExpectedWork& work);

// Decides about a request that must run alone on a server, where no candidate
// is idle.
//
// Handles requests that are suspected of crashing their servers: they run alone
// so that a crash fails no other request.
PlacementDecision DecideIsolatedPlacement(const PlacementState& state);

// How far from the host candidates have been probed.
enum class SearchScope {
  kNearest,     // The first draw: the host's zone where it has enough servers.
  kRegion,      // More servers of the host's region, other zones first.
  kEverywhere,  // Servers of other regions too.
};

// Decides whether more candidates are probed before the request is placed.
//
// Handles a zone or region whose servers are full, slow or unresponsive while
// another has free slots. Traffic to another zone costs little, so it is probed
// as soon as the latency target would be missed. Small requests go to other
// regions where they can still meet their latency target. Downloads go there
// only where the host's region could not complete them before their deadline,
// since traffic between regions costs more than they are worth.
// @param choice  the best candidate so far; empty: there is none
// @param scope   how far candidates have been probed
// @return how far to probe next; nothing: decide with the candidates so far
std::optional<SearchScope> NextSearchScope(const std::optional<Choice>& choice,
                                           const PlacementState& state,
                                           const ExpectedWork& work,
                                           SearchScope scope);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_STEERING_PLACEMENT_DECISION_H_
