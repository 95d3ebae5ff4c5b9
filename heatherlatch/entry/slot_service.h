// The groups that this host owns, and their schedulers.
//
// Requests for a slot come from traffic threads of this host and from peers. An
// answer is given through a callback: at once, or later when a slot is free.
//
// Thread safety: every method may be called from any thread. Each group has its
// own lock; callbacks run without it.
#ifndef HEATHERLATCH_ENTRY_SLOT_SERVICE_H_
#define HEATHERLATCH_ENTRY_SLOT_SERVICE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/telemetry/event_log.h"

namespace heatherlatch {

// The answer to a request for a slot.
struct SlotAnswer {
  std::variant<Grant, NotRunReason> decision;
  bool not_owner = false;  // This host does not own the group.
  GroupLoad load;
};

// Load of one owned group, with the limit of each of its servers.
struct OwnedGroupStatus {
  GroupId group;
  GroupLoad load;
  std::vector<std::pair<BackendServerName, int>> limits;
};

class SlotService {
 public:
  using Answer = std::function<void(const SlotAnswer&)>;

  // @param self  this incarnation
  // @param log   outlives the service
  SlotService(HostIncarnation self, EventLog* log);

  // Takes over and gives up groups, and updates their servers, to match a
  // snapshot. A group that is given up refuses its waiting requests.
  void Reconcile(const HostSnapshot& snapshot, TimePoint now);

  // Gives every group up and takes none over again.
  void StopOwning();

  // Asks for a slot. `request.waiter` is replaced.
  // @param answer  called exactly once, unless the request is cancelled
  // @return the ID to cancel with; 0 if the answer was given at once
  WaiterId Acquire(const GroupId& group, SlotRequest request, Answer answer);

  // Withdraws a request; its answer is not called if it was still waiting.
  void Cancel(const GroupId& group, WaiterId waiter);

  // Ends a grant.
  void Release(const GroupId& group, GrantId grant, const CallReport& report);

  // Reports what a probe said of a server.
  void ReportServer(const GroupId& group, const BackendServerName& server,
                    bool accepts_work, bool cold,
                    std::optional<std::uint64_t> boot_id);

  // Applies timeouts of every group.
  void Advance(TimePoint now);

  // @return the groups that this host owns
  std::vector<OwnedGroupStatus> Owned() const;
  std::vector<GroupId> OwnedIds() const;

  // @return when an answer last showed the state of a server; none if never
  std::optional<TimePoint> LastAnswer(const GroupId& group,
                                      const BackendServerName& server) const;

 private:
  struct OpenGrant {
    BackendServerName server;
    TimePoint lease_end;
  };
  struct OwnedGroup {
    explicit OwnedGroup(GroupScheduler first) : scheduler(std::move(first)) {}
    std::mutex mutex;
    GroupScheduler scheduler;
    std::unordered_map<WaiterId, Answer> waiting;
    std::vector<GroupServer> servers;
    std::unordered_map<GrantId, OpenGrant> grants;
    std::unordered_map<BackendServerName, TimePoint> last_answers;
    bool given_up = false;
  };
  using GroupPointer = std::shared_ptr<OwnedGroup>;
  struct DueAnswer {
    Answer answer;
    SlotAnswer value;
  };

  GroupPointer Find(const GroupId& group) const;
  std::vector<GroupPointer> AllGroups() const;
  void TakeOver(const GroupId& id, const Service& service, TimePoint now);
  void GiveUp(const GroupId& id);
  void UpdateServers(const GroupId& id, std::vector<GroupServer> servers,
                     TimePoint now);
  // Gives decisions that a call on the scheduler has made due.
  static void AdvanceIfDue(OwnedGroup* group);
  static void NoteGrant(OwnedGroup* group, const Grant& grant);
  static void NoteEnd(OwnedGroup* group, GrantId grant,
                      const CallReport& report, TimePoint now);
  // Collects the answers of decisions; call with the lock of the group held.
  static std::vector<DueAnswer> Collect(
      OwnedGroup* group, const std::vector<SlotDecision>& decisions);
  static void Give(const std::vector<DueAnswer>& due);

  const HostIncarnation self_;
  EventLog* const log_;
  mutable std::shared_mutex groups_mutex_;
  std::map<GroupId, GroupPointer> groups_;
  bool stopped_ = false;
  std::atomic<WaiterId> next_waiter_{1};
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_SLOT_SERVICE_H_
