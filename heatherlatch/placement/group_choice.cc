#include "heatherlatch/placement/group_choice.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// Network delay of a request to a group at this distance: one round trip to the
// group's owner and one to the backend server.
constexpr Duration kSameZoneNetworkDelay = std::chrono::microseconds(400);
constexpr Duration kSameRegionNetworkDelay = std::chrono::milliseconds(4);
constexpr Duration kOtherRegionNetworkDelay = std::chrono::milliseconds(120);

// Service time assumed for a group that has not reported one.
constexpr Duration kAssumedServiceTime = std::chrono::milliseconds(10);

// Wait assumed for a group without a usable slot: ranks it after all others.
constexpr Duration kNoUsableSlotWait = std::chrono::hours(1);

Duration NetworkDelay(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return kSameZoneNetworkDelay;
    case Distance::kSameRegion:
      return kSameRegionNetworkDelay;
    case Distance::kOtherRegion:
      return kOtherRegionNetworkDelay;
  }
  return kOtherRegionNetworkDelay;
}

// The wait for a slot of a group: zero while one is free, else the time in
// which the group serves the waiting requests and this one.
Duration ExpectedWait(const GroupLoad& load) {
  if (load.usable_slots <= 0) return kNoUsableSlotWait;
  if (load.waiting == 0 && load.granted < load.usable_slots) {
    return Duration::zero();
  }
  const Duration service_time = load.mean_slot_time > Duration::zero()
                                    ? load.mean_slot_time
                                    : kAssumedServiceTime;
  return service_time * (load.waiting + 1) / load.usable_slots;
}

// A call to another zone occupies its slot for the complete network round trip.
// The wait therefore counts twice there, so that such a group is chosen only if
// it saves more than the network delay.
constexpr int kOtherZoneWaitFactor = 2;

// A group in another zone with a longer wait is left out while a nearer group
// costs no more.
constexpr Duration kMaxOtherZoneWait = std::chrono::milliseconds(40);

// Zero for a group that has not reported a load.
Duration WaitOf(const GroupCandidate& candidate) {
  return candidate.load ? ExpectedWait(*candidate.load) : Duration::zero();
}

Duration Cost(const GroupCandidate& candidate) {
  const int factor =
      candidate.distance == Distance::kSameZone ? 1 : kOtherZoneWaitFactor;
  return NetworkDelay(candidate.distance) + WaitOf(candidate) * factor;
}

bool IsUsable(const GroupCandidate& candidate) {
  if (!candidate.reachable) return false;
  return candidate.distance != Distance::kOtherRegion ||
         candidate.bytes_allowed;
}

// Whether a group has a long wait while a nearer group costs no more. Sending
// the request to it would then only take slot time from both groups.
bool IsTooBusy(const GroupCandidate& candidate,
               const std::vector<GroupCandidate>& candidates) {
  if (WaitOf(candidate) <= kMaxOtherZoneWait) return false;
  return std::any_of(candidates.begin(), candidates.end(),
                     [&candidate](const GroupCandidate& other) {
                       return other.distance < candidate.distance &&
                              IsUsable(other) && Cost(other) <= Cost(candidate);
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
    if (!IsUsable(candidate) || IsTooBusy(candidate, candidates)) continue;
    order.push_back(i);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [&costs](std::size_t a, std::size_t b) { return costs[a] < costs[b]; });
  return order;
}

}  // namespace heatherlatch
