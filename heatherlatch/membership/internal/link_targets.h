// Chooses the hosts that a host keeps a link to.
//
// The number of links grows with the own zone and the number of zones, not with
// the fleet: every host of the own zone, and in each other zone the first
// `links_per_zone` hosts in rendezvous order for this host. Small fleets and
// small regions form a full mesh.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_MEMBERSHIP_INTERNAL_LINK_TARGETS_H_
#define HEATHERLATCH_MEMBERSHIP_INTERNAL_LINK_TARGETS_H_

#include <vector>

#include "heatherlatch/membership/membership.h"

namespace heatherlatch::membership_internal {

// A host that may be linked to.
struct LinkCandidate {
  HostName name;
  RegionName region;
  ZoneName zone;
  Endpoint endpoint;
};

// @param self        this host; it is not among the candidates
// @param candidates  at most one for each endpoint
// @return the chosen endpoints, in any order
std::vector<Endpoint> ChooseLinkTargets(
    const HostDescription& self, const std::vector<LinkCandidate>& candidates,
    const MembershipOptions& options);

}  // namespace heatherlatch::membership_internal

#endif  // HEATHERLATCH_MEMBERSHIP_INTERNAL_LINK_TARGETS_H_
