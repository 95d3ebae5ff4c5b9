#include "heatherlatch/steering/placement_decision.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// Larger responses cost more than they are worth at the users' prices for
// traffic between regions.
constexpr double kMaxCrossRegionResponseBytes = 20'000;

// A server with a free slot is used at once if its expected time exceeds the
// time left to the target by less than this factor. Service times of the users'
// requests vary so much that it may still meet the target, and a better server
// is not certain. For a late request the factor applies to the service time.
constexpr double kNearMissFactor = 2;

// A late request waits for a lightly loaded server until this many latency
// targets have passed, and while more than this many service times are left.
// The users' time budgets are six to ten latency targets.
constexpr int kMaxWaitInLatencyTargets = 2;
constexpr int kMinTimeLeftInServiceTimes = 4;

// How much longer than the mean most requests take on servers that are nearly
// full. One that is sent with less time left will probably miss its target.
constexpr double kUsualWorstFactor = 1.6;

Duration TimeToTarget(const PlacementState& state) {
  return state.latency_target - state.waited - kCallerRoundTrip;
}

bool CanStillMeetTarget(const PlacementState& state) {
  return state.service_time + kRoundTripInRegion <= TimeToTarget(state);
}

// Servers are slow for half a second at a time, and queues drain. If the best
// server cannot respond before the deadline now, another may be able to later.
bool LoadMayChangeInTime(const PlacementState& state) {
  return state.time_left > kMinTimeLeftInServiceTimes * state.service_time;
}

bool MayWaitPastTarget(const PlacementState& state) {
  const bool is_short =
      state.waited < kMaxWaitInLatencyTargets * state.latency_target;
  return (is_short || state.keeps_waiting) && LoadMayChangeInTime(state);
}

}  // namespace

Duration RetryAfterShed(bool had_room) {
  return had_room ? kRetryAfterWithRoom : kRetryAfter;
}

PlacementDecision DecidePlacement(const std::optional<Choice>& choice,
                                  const PlacementState& state) {
  if (!choice) {
    const NotRunReason reason = state.unreachable ? NotRunReason::kConnectFailed
                                                  : NotRunReason::kNoServer;
    return Refuse{reason, kRetryAfter};
  }
  const bool in_time = choice->expected < state.time_left;
  if (!in_time && !LoadMayChangeInTime(state)) {
    return Refuse{NotRunReason::kDeadlineTooShort, kRetryAfter};
  }
  const Duration time_to_target = TimeToTarget(state);
  const bool has_free_slot = choice->occupancy != Occupancy::kQueued;
  if (in_time && has_free_slot && choice->expected <= time_to_target) {
    return SendNow{};
  }
  if (in_time && has_free_slot &&
      choice->expected < kNearMissFactor * time_to_target) {
    return SendNow{};
  }
  if (CanStillMeetTarget(state)) return ProbeAgain{kProbeAgainInterval};
  const bool is_lightly_loaded =
      has_free_slot && choice->expected < kNearMissFactor * state.service_time;
  if (in_time && is_lightly_loaded) return SendNow{};
  if (MayWaitPastTarget(state)) return ProbeAgain{kProbeAgainIntervalWhenLate};
  if (!in_time) return Refuse{NotRunReason::kDeadlineTooShort, kRetryAfter};
  if (has_free_slot) return SendNow{};
  return Refuse{NotRunReason::kQueueFull, kRetryAfter};
}

WaitBounds BoundWait(const PlacementState& state) {
  const Duration until_late = TimeToTarget(state) -
                              Scale(state.service_time, kUsualWorstFactor) -
                              kRoundTripInRegion;
  Duration may_wait =
      state.time_left - kMinTimeLeftInServiceTimes * state.service_time;
  if (!state.keeps_waiting) {
    may_wait =
        std::min(may_wait, kMaxWaitInLatencyTargets * state.latency_target -
                               state.waited);
  }
  // In the last part of its wait a request accepts any server with a free slot.
  const Duration last_part = state.service_time / 2;
  return {until_late,
          std::max({Duration::zero(), until_late, may_wait + last_part})};
}

PlacementDecision DecideWithoutReading(const PlacementState& state) {
  if (BoundWait(state).until_given_up > Duration::zero()) {
    return ProbeAgain{kProbeAgainInterval};
  }
  return Refuse{NotRunReason::kQueueFull, kRetryAfter};
}

bool MayCrossRegions(const ExpectedWork& work) {
  return work.response_bytes <= kMaxCrossRegionResponseBytes;
}

PlacementDecision DecideIsolatedPlacement(const PlacementState& state) {
  if (LoadMayChangeInTime(state)) return ProbeAgain{kProbeAgainInterval};
  return Refuse{NotRunReason::kSuspectedOfCrashingServers, kRetryAfter};
}

std::optional<SearchScope> NextSearchScope(const std::optional<Choice>& choice,
                                           const PlacementState& state,
                                           const ExpectedWork& work,
                                           SearchScope scope) {
  if (scope == SearchScope::kEverywhere) return std::nullopt;
  const Duration time_to_target = state.latency_target - state.waited;
  const bool in_time =
      choice && choice->has_reading && choice->expected <= time_to_target;
  if (in_time) return std::nullopt;
  if (scope == SearchScope::kNearest) return SearchScope::kRegion;
  if (!choice) return SearchScope::kEverywhere;
  // Expensive traffic between regions is better than missing the deadline.
  if (choice->expected >= state.time_left) return SearchScope::kEverywhere;
  if (!MayCrossRegions(work)) return std::nullopt;
  // One probe round trip and one request round trip.
  const bool may_meet_target =
      2 * kRoundTripBetweenRegions + state.service_time <= time_to_target;
  return may_meet_target ? std::make_optional(SearchScope::kEverywhere)
                         : std::nullopt;
}

}  // namespace heatherlatch
