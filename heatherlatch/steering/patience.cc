#include "heatherlatch/steering/patience.h"

namespace heatherlatch {
namespace {

// Larger answers cost more between regions than they are worth.
// Source: the users' prices for traffic between regions.
constexpr double kMostBytesBetweenRegions = 20'000;

// A free server is taken at once where it misses what is left of the target by
// less than this factor: its answer is a draw, and a better one is not sure.
// Source: the spread of work on the users' sheets.
constexpr double kNearMiss = 2;

// A late request waits for a server with room up to this many latency targets,
// and while this many service times are left. Source: the users' time budgets
// are six to ten targets.
constexpr int kLateTargets = 2;
constexpr int kLateServiceTimes = 4;

Duration TargetLeft(const PlacementState& state) {
  return state.latency_target - state.waited - kCallerRoundTrip;
}

bool MayStillMeetTarget(const PlacementState& state) {
  return state.service_time + kRoundTripInRegion <= TargetLeft(state);
}

// Servers are slow for half a second at a time, and queues end: that the best
// one cannot answer in time now does not say that none will.
bool LoadMayChangeInTime(const PlacementState& state) {
  return state.time_left > kLateServiceTimes * state.service_time;
}

bool MayWaitLate(const PlacementState& state) {
  return state.waited < kLateTargets * state.latency_target &&
         LoadMayChangeInTime(state);
}

}  // namespace

Duration RetryAfterShed(bool had_room) {
  return had_room ? kRetryAfterWithRoom : kRetryAfter;
}

PatienceVerdict Decide(const std::optional<Choice>& choice,
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
  const Duration target_left = TargetLeft(state);
  const bool is_free = choice->occupancy != Occupancy::kWaiting;
  if (in_time && choice->expected <= target_left) return SendNow{};
  if (in_time && is_free && choice->expected < kNearMiss * target_left) {
    return SendNow{};
  }
  if (MayStillMeetTarget(state)) return AskAgain{kAskAgainInterval};
  const bool has_room =
      is_free && choice->expected < kNearMiss * state.service_time;
  if (in_time && has_room) return SendNow{};
  if (MayWaitLate(state)) return AskAgain{kAskAgainWhenLate};
  if (!in_time) return Refuse{NotRunReason::kDeadlineTooShort, kRetryAfter};
  if (is_free) return SendNow{};
  return Refuse{NotRunReason::kQueueFull, kRetryAfter};
}

PatienceVerdict DecideWithoutIdle(const PlacementState& state) {
  if (LoadMayChangeInTime(state)) return AskAgain{kAskAgainInterval};
  return Refuse{NotRunReason::kSuspectedOfCrashingServers, kRetryAfter};
}

std::optional<Reach> NextReach(const std::optional<Choice>& choice,
                               const PlacementState& state,
                               const ExpectedWork& work, Reach reach) {
  if (reach == Reach::kEverywhere) return std::nullopt;
  const Duration target_left = state.latency_target - state.waited;
  const bool in_time =
      choice && choice->answered && choice->expected <= target_left;
  if (in_time) return std::nullopt;
  if (reach == Reach::kNearest) return Reach::kRegion;
  if (!choice) return Reach::kEverywhere;
  // What no server of the own region can answer at all is better served dearly.
  if (choice->expected >= state.time_left) return Reach::kEverywhere;
  if (work.answer_bytes > kMostBytesBetweenRegions) return std::nullopt;
  // One round of questions, and the way there and back.
  const bool may_meet_target =
      2 * kRoundTripBetweenRegions + state.service_time <= target_left;
  return may_meet_target ? std::make_optional(Reach::kEverywhere)
                         : std::nullopt;
}

}  // namespace heatherlatch
