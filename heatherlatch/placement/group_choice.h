// Ranks the server groups of a service by the expected delay of a request.
//
// A service has one group in each availability zone that holds some of its
// servers. The cost of a group is the network delay to its zone plus the
// expected wait for a slot: zero while a slot is free, else
// (waiting + 1) / rate, computed from the load that the group's owner last
// reported. For a group in another zone the wait counts twice, because a call
// occupies its slot for the complete network round trip. A group in another
// zone with a long wait is left out while a nearer group costs no more.
//
// The cost (link delay plus queue length over service rate) follows the paper
// on packet-in request redirection, with the changes in
// docs/design/placement.md.
//
// Example:
//   for (std::size_t i : RankGroups(candidates)) {
//     // Request a slot from the owner of candidates[i].group.
//   }
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_PLACEMENT_GROUP_CHOICE_H_
#define HEATHERLATCH_PLACEMENT_GROUP_CHOICE_H_

#include <optional>
#include <vector>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {

enum class Distance { kSameZone, kSameRegion, kOtherRegion };

struct GroupCandidate {
  GroupId group;
  Distance distance = Distance::kSameZone;
  bool reachable = true;          // The owner is known and connected.
  bool bytes_allowed = true;      // The cross-region byte budget has room.
  std::optional<GroupLoad> load;  // Last reported load, if any.
  Duration load_age{};            // Time since `load` was reported.
};

// @param candidates  the groups that may serve the request; a group outside its
//                    home regions must not be among them
// @return indexes into `candidates`, lowest cost first, without the groups that
//     must not be used or are too busy
std::vector<std::size_t> RankGroups(
    const std::vector<GroupCandidate>& candidates);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_GROUP_CHOICE_H_
