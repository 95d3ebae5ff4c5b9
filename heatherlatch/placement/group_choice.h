// Chooses which group of a service to ask for a slot.
//
// A service has one group in each zone that holds some of its servers. The cost
// of a group is the delay of the way to its zone plus the expected wait for a
// slot: none while a slot is free, else (waiting + 1) / rate, from the load
// that its owner last reported. In another zone the wait counts twice, because
// a slot is occupied for the whole way of a call; and a group of another zone
// with a long wait is left out while a nearer group costs no more. Source of
// the cost form: the cost of link delay plus queue length over service rate in
// the paper on packet-in request redirection, changed after measurement
// (docs/design/placement.md).
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
  bool reachable = true;          // An owner is known and its link is up.
  bool bytes_allowed = true;      // The cross-region byte budget has room.
  std::optional<GroupLoad> load;  // Last reported load, if any.
  Duration load_age{};
};

// @param candidates  the groups that may serve the request; a group outside its
//                    home regions must not be among them
// @return indexes into `candidates`, best first; groups that must not be used
//     are left out
std::vector<std::size_t> RankGroups(
    const std::vector<GroupCandidate>& candidates);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_GROUP_CHOICE_H_
