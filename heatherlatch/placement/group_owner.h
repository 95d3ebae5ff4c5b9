// Determines the host that owns a server group, by rendezvous hashing.
//
// Every host computes the owner from its own list of live hosts, so hosts whose
// lists agree compute the same owner without exchanging messages. When a host
// joins or leaves, only the groups that it owns move. The method is that of
// Thaler and Ravishankar, "A name-based mapping scheme for rendezvous" (1996),
// with XXH3 as the hash.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_PLACEMENT_GROUP_OWNER_H_
#define HEATHERLATCH_PLACEMENT_GROUP_OWNER_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {

// @param key    the text that is hashed, such as a caller's key
// @param hosts  the candidates, in any order
// @return the host with the highest score for the key; none if `hosts` is empty
std::optional<HostIncarnation> RendezvousOwner(
    std::string_view key, const std::vector<HostIncarnation>& hosts);

// @param group         the group whose owner is computed
// @param zone_hosts    live hosts of the group's zone
// @param region_hosts  live hosts of the group's region, used where the zone
//                      has none
// @return the owner; none if no host is live in the region
std::optional<HostIncarnation> GroupOwner(
    const GroupId& group, const std::vector<HostIncarnation>& zone_hosts,
    const std::vector<HostIncarnation>& region_hosts);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_GROUP_OWNER_H_
