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

Duration Cost(const GroupCandidate& candidate) {
  const Duration wait =
      candidate.load ? ExpectedWait(*candidate.load) : Duration::zero();
  return WayTo(candidate.distance) + wait;
}

bool MayUse(const GroupCandidate& candidate) {
  if (!candidate.reachable) return false;
  return candidate.distance != Distance::kOtherRegion ||
         candidate.bytes_allowed;
}

}  // namespace

std::vector<std::size_t> RankGroups(
    const std::vector<GroupCandidate>& candidates) {
  std::vector<std::size_t> order;
  std::vector<Duration> costs;
  order.reserve(candidates.size());
  costs.reserve(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    costs.push_back(Cost(candidates[i]));
    if (MayUse(candidates[i])) order.push_back(i);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [&costs](std::size_t a, std::size_t b) { return costs[a] < costs[b]; });
  return order;
}

}  // namespace heatherlatch
