#include "heatherlatch/placement/group_choice.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// Time that a request loses on the way to a group at this distance: one round
// trip to the owner and one to the backend server.
constexpr Duration kSameZoneWay = std::chrono::microseconds(400);
constexpr Duration kSameRegionWay = std::chrono::milliseconds(4);
constexpr Duration kOtherRegionWay = std::chrono::milliseconds(120);

// Service time that is assumed while a group has not measured its own.
constexpr Duration kAssumedServiceTime = std::chrono::milliseconds(10);

// Cost of a group without a usable slot: it is tried after every other one.
constexpr Duration kNoSlotCost = std::chrono::hours(1);

Duration WayTo(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return kSameZoneWay;
    case Distance::kSameRegion:
      return kSameRegionWay;
    case Distance::kOtherRegion:
      return kOtherRegionWay;
  }
  return kOtherRegionWay;
}

// The wait for a slot of a group: none while one is free, else the time in
// which the group serves the requests that wait and this one.
Duration ExpectedWait(const GroupLoad& load) {
  if (load.usable_slots <= 0) return kNoSlotCost;
  if (load.waiting == 0 && load.granted < load.usable_slots) {
    return Duration::zero();
  }
  const Duration service_time = load.mean_service_time > Duration::zero()
                                    ? load.mean_service_time
                                    : kAssumedServiceTime;
  return service_time * (load.waiting + 1) / load.usable_slots;
}

// A call to another zone occupies its slot for the whole way, so a group of
// another zone must be better by more than the way: its wait counts twice.
constexpr int kFarWaitFactor = 2;

// A group of another zone with a longer wait is left to its own zone.
constexpr Duration kMostFarWait = std::chrono::milliseconds(40);

Duration WaitOf(const GroupCandidate& candidate) {
  return candidate.load ? ExpectedWait(*candidate.load) : Duration::zero();
}

Duration Cost(const GroupCandidate& candidate) {
  const int factor =
      candidate.distance == Distance::kSameZone ? 1 : kFarWaitFactor;
  return WayTo(candidate.distance) + WaitOf(candidate) * factor;
}

bool MayUse(const GroupCandidate& candidate) {
  if (!candidate.reachable) return false;
  return candidate.distance != Distance::kOtherRegion ||
         candidate.bytes_allowed;
}

// Whether a group is so busy that a request from a nearer group, which costs no
// more, would only take slot time from both.
bool IsTooBusyFor(const GroupCandidate& candidate,
                  const std::vector<GroupCandidate>& candidates) {
  if (WaitOf(candidate) <= kMostFarWait) return false;
  return std::any_of(candidates.begin(), candidates.end(),
                     [&candidate](const GroupCandidate& other) {
                       return other.distance < candidate.distance &&
                              MayUse(other) && Cost(other) <= Cost(candidate);
                     });
}

}  // namespace

std::vector<std::size_t> RankGroups(
    const std::vector<GroupCandidate>& candidates) {
  std::vector<std::size_t> order;
  std::vector<Duration> costs;
  order.reserve(candidates.size());
  costs.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const GroupCandidate& candidate = candidates[i];
    costs.push_back(Cost(candidate));
    if (!MayUse(candidate) || IsTooBusyFor(candidate, candidates)) continue;
    order.push_back(i);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [&costs](std::size_t a, std::size_t b) { return costs[a] < costs[b]; });
  return order;
}

}  // namespace heatherlatch
