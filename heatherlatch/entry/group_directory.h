// Finds the groups of a service, the owner of each, and its last reported load.
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
#include "heatherlatch/entry/cross_region_budgets.h"
#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/placement/group_choice.h"

namespace heatherlatch {

// A group that may serve a request, with its region and owner.
struct GroupTarget {
  GroupCandidate candidate;
  RegionName region;
  HostIncarnation owner;
};

class GroupDirectory {
 public:
  // @param budgets  must outlive the directory
  GroupDirectory(HostDescription self, CrossRegionBudgets* budgets);

  // Record that a link to a peer came up or went down.
  void OnLinkUp(const HostIncarnation& peer);
  void OnLinkDown(const HostIncarnation& peer);

  // Records that a peer did not respond in time. Its groups are skipped for
  // `kUnresponsivePeerBackoff`.
  void OnUnresponsive(const HostIncarnation& peer, TimePoint now);

  // Records that this host requested a slot of a group. The slot counts as
  // granted until the owner's next load report, so that one host does not send
  // a burst of requests to one group.
  void OnSlotRequested(const GroupId& group);

  // Records the load of a group, as reported by its owner.
  void OnLoad(const GroupId& group, const GroupLoad& load, TimePoint now);

  // @return whether there is a link to the peer
  bool IsLinked(const HostIncarnation& peer) const;

  // Finds the groups of a service, best first.
  // @param home_regions  regions in which the request may be served
  // @return the groups in `home_regions` that are in service and whose owner is
  //     reachable
  std::vector<GroupTarget> FindGroups(
      const HostSnapshot& snapshot, const Service& service,
      const std::vector<RegionName>& home_regions, TimePoint now) const;

 private:
  struct ReportedLoad {
    GroupLoad load;
    TimePoint reported_at;
    int requests_since_report = 0;
  };

  Distance DistanceTo(const AvailabilityZone& zone) const;
  bool IsReachable(const HostIncarnation& owner, TimePoint now) const;
  std::optional<GroupTarget> TargetFor(const HostSnapshot& snapshot,
                                       const GroupId& group,
                                       TimePoint now) const;

  const HostDescription self_;
  CrossRegionBudgets* const budgets_;
  mutable std::shared_mutex mutex_;
  std::set<HostIncarnation> linked_;
  std::map<HostIncarnation, TimePoint> unresponsive_until_;
  std::map<GroupId, ReportedLoad> loads_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_GROUP_DIRECTORY_H_
