// Owners grant slots: the product's GroupScheduler, GroupOwner and RankGroups
// with several entry hosts and availability zones.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_OWNER_POLICY_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_OWNER_POLICY_H_

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "benchmarks/experiment/fleet.h"
#include "benchmarks/experiment/owner_process.h"
#include "benchmarks/experiment/work.h"
#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/placement/group_choice.h"
#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/testing/event_loop.h"

namespace heatherlatch::experiment {

struct OwnerPolicyOptions {
  enum class Grouping { kServiceAndZone, kServer };
  enum class Choice { kRankGroups, kLocalFirst, kQueueCostOnly };
  Grouping grouping = Grouping::kServiceAndZone;
  Choice choice = Choice::kRankGroups;
  // No bound on the queue and no refusal by deadline.
  bool unbounded = false;
};

// A host owns each group and grants its slots; the host that holds the request
// calls the server itself.
class OwnerPolicy {
 public:
  OwnerPolicy(EventLoop* loop, Fleet* fleet, const OwnerPolicyOptions& options);

  void Start(const Work& work, const DoneCallback& done);
  void SetZoneInService(int zone, bool in_service);

  // Moves the first group to its next owner. Hosts receive the change one by
  // one within `spread`; until then they use the former owner, which continues
  // to grant slots.
  void MoveFirstGroup(Duration spread);

  // Moves the first group, but half of the hosts receive the change only
  // after `length`: until then two owners grant the same slots.
  void SplitFirstGroup(Duration length);

 private:
  struct Group {
    GroupId id;
    int zone = 0;
    std::vector<FakeServer*> servers;
    std::vector<std::shared_ptr<OwnerProcess>> owners;  // Newest last.
    std::vector<int> owner_hosts;                       // Parallel to `owners`.
    std::vector<std::size_t> owner_by_host;             // Index into `owners`.
  };
  struct GroupLoadView {
    GroupLoad load;
    TimePoint received_at;
    bool received = false;
    int requested_since = 0;  // Slots requested since the report.
  };
  // One request in progress.
  struct Attempt {
    Work work;
    DoneCallback done;
    std::vector<std::size_t> ranking;
    std::size_t next = 0;
    int shed_count = 0;
    std::vector<BackendServerName> excluded;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  void MakeGroups();
  // @return the index of the new owner of the first group
  std::size_t AddOwner();
  void SetOwnerAfter(Duration delay, int host, std::size_t owner);
  std::shared_ptr<OwnerProcess> MakeOwner(const Group& group);
  std::vector<GroupServer> ServersOf(const Group& group) const;
  std::vector<HostIncarnation> HostsOfZone(int zone) const;
  int ChooseOwnerHost(const Group& group,
                      const std::vector<HostIncarnation>& hosts) const;
  std::vector<std::size_t> RankForHost(int host);
  std::vector<std::size_t> RankCandidates(
      const std::vector<GroupCandidate>& candidates) const;
  void AcquireFromNextGroup(const AttemptPointer& attempt);
  void OnDecision(const AttemptPointer& attempt, std::size_t group,
                  std::size_t owner, const SlotDecision& decision);
  void CallServer(const AttemptPointer& attempt, std::size_t group,
                  std::size_t owner, const Grant& grant);
  void OnReport(const AttemptPointer& attempt, const Grant& grant,
                const CallReport& report);
  void SendHeartbeats();

  EventLoop* loop_;
  Fleet* fleet_;
  OwnerPolicyOptions options_;
  std::vector<Group> groups_;
  std::vector<std::vector<GroupLoadView>> views_;  // By host and group.
  std::mt19937_64 random_;
  std::vector<bool> zone_in_service_;
};

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_OWNER_POLICY_H_
