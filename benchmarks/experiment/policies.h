// The ways to place work that the experiment compares.
//
// Each policy has `Start(work, done)`, which calls `done` once, and
// `SetZoneInService`. OwnerPolicy drives the product's own GroupScheduler,
// GroupOwner and RankGroups; the others are baselines.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_POLICIES_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_POLICIES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "benchmarks/experiment/event_loop.h"
#include "benchmarks/experiment/fleet.h"
#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/placement/group_choice.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch::experiment {

struct Work {
  int host = 0;  // The host that the caller connected to.
  TimePoint deadline;
  Duration service_time{};
};

enum class WorkEnd { kAnswered, kRefused, kFailed };
using Done = std::function<void(WorkEnd)>;

// Every host calls servers as it thinks best and tries again where one sheds.
class DirectPolicy {
 public:
  enum class Choice { kRandom, kTwoChoicesOnReports, kLeastOwnOutstanding };

  DirectPolicy(EventLoop* loop, Fleet* fleet, Choice choice,
               std::uint64_t seed);

  void Start(const Work& work, const Done& done);
  void SetZoneInService(int zone, bool in_service);

 private:
  void Try(const Work& work, const Done& done, int attempt);
  std::size_t Pick(int host);
  void TakeReports();

  EventLoop* loop_;
  Fleet* fleet_;
  Choice choice_;
  std::mt19937_64 random_;
  std::vector<int> reported_;                  // In flight, by server.
  std::vector<std::vector<int>> outstanding_;  // By host and server.
  std::vector<bool> zone_in_service_;
};

// One queue that knows every server without delay; no real system can be it.
class CentralPolicy {
 public:
  CentralPolicy(EventLoop* loop, Fleet* fleet);

  void Start(const Work& work, const Done& done);
  void SetZoneInService(int zone, bool in_service);

 private:
  struct Waiting {
    Work work;
    Done done;
  };
  void Dispatch();
  FakeServer* PickFree();

  EventLoop* loop_;
  Fleet* fleet_;
  std::map<FakeServer*, int> granted_;
  std::deque<Waiting> waiting_;
  std::vector<bool> zone_in_service_;
};

// Runs a GroupScheduler in virtual time, as an owner process would.
class OwnerProcess {
 public:
  using Decide = std::function<void(const SlotDecision&)>;

  OwnerProcess(EventLoop* loop, const GroupOptions& options,
               const std::vector<GroupServer>& servers);

  void SetServers(const std::vector<GroupServer>& servers);
  void Acquire(SlotRequest request, const Decide& decide);
  void Release(GrantId grant, const CallReport& report);
  GroupLoad Load() const { return scheduler_.Load(); }

 private:
  void Deliver(const std::vector<SlotDecision>& decisions);
  void SetTimer();

  EventLoop* loop_;
  GroupScheduler scheduler_;
  WaiterId next_waiter_ = 1;
  std::map<WaiterId, Decide> waiting_;
  TimePoint timer_ = TimePoint::max();
};

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

  void Start(const Work& work, const Done& done);
  void SetZoneInService(int zone, bool in_service);

  // Moves the first group to its next owner. Hosts learn of it one by one
  // within `spread`; until then they use the former owner, which goes on
  // granting.
  void MoveFirstGroup(Duration spread);

 private:
  struct Group {
    GroupId id;
    int zone = 0;
    std::vector<FakeServer*> servers;
    std::vector<std::shared_ptr<OwnerProcess>> owners;  // Newest last.
    std::vector<int> owner_hosts;                       // Beside `owners`.
    std::vector<std::size_t> owner_seen;                // By host.
  };
  struct Knowledge {
    GroupLoad load;
    TimePoint at;
    bool known = false;
    int asked_since = 0;  // Slots asked for since the load was reported.
  };
  // One request on its way.
  struct Attempt {
    Work work;
    Done done;
    std::vector<std::size_t> ranking;
    std::size_t next = 0;
    int sheds = 0;
    std::vector<BackendServerName> excluded;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  void MakeGroups();
  std::shared_ptr<OwnerProcess> MakeOwner(const Group& group);
  std::vector<GroupServer> Described(const Group& group) const;
  std::vector<HostIncarnation> HostsOfZone(int zone) const;
  int OwnerHost(const Group& group,
                const std::vector<HostIncarnation>& hosts) const;
  std::vector<std::size_t> Rank(int host);
  std::vector<std::size_t> RankAs(
      const std::vector<GroupCandidate>& candidates) const;
  void AskNext(const AttemptPointer& attempt);
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
  std::vector<std::vector<Knowledge>> known_;  // By host and group.
  std::mt19937_64 random_;
  std::vector<bool> zone_in_service_;
};

using Policy = std::variant<DirectPolicy, CentralPolicy, OwnerPolicy>;

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_POLICIES_H_
