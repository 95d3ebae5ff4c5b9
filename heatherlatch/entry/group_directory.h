// Where the groups of a service are, who owns each, and how loaded it last was.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_ENTRY_GROUP_DIRECTORY_H_
#define HEATHERLATCH_ENTRY_GROUP_DIRECTORY_H_

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <vector>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/entry/traffic_accounts.h"
#include "heatherlatch/placement/group_choice.h"

namespace heatherlatch {

// A group that may serve a request, with its owner.
struct GroupRoute {
  GroupCandidate candidate;
  RegionName region;
  HostIncarnation owner;
};

class GroupDirectory {
 public:
  // @param accounts  outlives the directory
  GroupDirectory(HostDescription self, TrafficAccounts* accounts);

  // Records links to peers.
  void OnLinkUp(const HostIncarnation& peer);
  void OnLinkDown(const HostIncarnation& peer);

  // Records that a peer did not answer in time. It is not asked for
  // `kUnresponsiveTime`.
  void OnUnresponsive(const HostIncarnation& peer, TimePoint now);

  // Records that a slot of a group was asked for. Until the owner's next report
  // it counts as granted, so that one host does not send a burst to one group.
  void OnAsked(const GroupId& group);

  // Records the load of a group as its owner reported it.
  void OnLoad(const GroupId& group, const GroupLoad& load, TimePoint now);

  // @return whether there is a link to the peer
  bool IsLinked(const HostIncarnation& peer) const;

  // Finds the groups of a service, best first.
  // @param homes  regions that the request may be served in
  // @return groups in service inside `homes` whose owner can be reached
  std::vector<GroupRoute> Routes(const HostSnapshot& snapshot,
                                 const Service& service,
                                 const std::vector<RegionName>& homes,
                                 TimePoint now) const;

 private:
  struct KnownLoad {
    GroupLoad load;
    TimePoint reported_at;
    int asked_since = 0;
  };

  Distance DistanceTo(const AvailabilityZone& zone) const;
  bool Reachable(const HostIncarnation& owner, TimePoint now) const;
  std::optional<GroupRoute> RouteTo(const HostSnapshot& snapshot,
                                    const GroupId& group, TimePoint now) const;

  const HostDescription self_;
  TrafficAccounts* const accounts_;
  mutable std::shared_mutex mutex_;
  std::set<HostIncarnation> linked_;
  std::map<HostIncarnation, TimePoint> unresponsive_until_;
  std::map<GroupId, KnownLoad> loads_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_GROUP_DIRECTORY_H_
