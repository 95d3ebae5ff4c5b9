// The groups that this host owns, and their schedulers.
//
// Requests for a slot come from traffic threads of this host and from peers.
// The response is delivered through a callback: at once, or later when a slot
// becomes free or the request is refused.
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

// The response to a request for a slot.
struct SlotResponse {
  std::variant<Grant, NotRunReason> decision;
  bool not_owner = false;  // This host does not own the group.
  GroupLoad load;
};

// Load of one owned group, with the concurrency limit of each of its servers.
struct OwnedGroupStatus {
  GroupId group;
  GroupLoad load;
  std::vector<std::pair<BackendServerName, int>> limits;
};

class SlotService {
 public:
  using ResponseCallback = std::function<void(const SlotResponse&)>;

  // @param self  the incarnation of this host
  // @param log   must outlive the service
  SlotService(HostIncarnation self, EventLog* log);

  // Takes over and releases groups, and updates their servers, to match a
  // snapshot. A group that is released refuses its waiting requests.
  void Reconcile(const HostSnapshot& snapshot, TimePoint now);

  // Releases all groups; no group is taken over afterwards.
  void StopOwning();

  // Requests a slot. `request.waiter` is overwritten.
  // @param callback  called exactly once, unless the request is cancelled
  // @return the ID for `Cancel`; 0 if `callback` was already called
  WaiterId Acquire(const GroupId& group, SlotRequest request,
                   ResponseCallback callback);

  // Withdraws a request. If it was still waiting, its callback is not called.
  void Cancel(const GroupId& group, WaiterId waiter);

  // Ends a grant and records the result of its call.
  void Release(const GroupId& group, GrantId grant, const CallReport& report);

  // Records the state of a server, as reported by a probe.
  void ReportServer(const GroupId& group, const BackendServerName& server,
                    bool accepts_work, bool cold,
                    std::optional<std::uint64_t> boot_id);

  // Applies the timeouts of all groups.
  void Advance(TimePoint now);

  // @return the groups that this host owns
  std::vector<OwnedGroupStatus> OwnedGroups() const;
  std::vector<GroupId> OwnedGroupIds() const;

  // @return when the server last responded to a call under a grant of this
  //     group; none if it has not
  std::optional<TimePoint> LastResponseTime(
      const GroupId& group, const BackendServerName& server) const;

 private:
  struct OpenGrant {
    BackendServerName server;
    TimePoint lease_end;
  };
  struct OwnedGroup {
    explicit OwnedGroup(GroupScheduler group_scheduler)
        : scheduler(std::move(group_scheduler)) {}
    std::mutex mutex;
    GroupScheduler scheduler;
    std::unordered_map<WaiterId, ResponseCallback> waiting;
    std::vector<GroupServer> servers;
    std::unordered_map<GrantId, OpenGrant> grants;
    std::unordered_map<BackendServerName, TimePoint> last_response_times;
    bool released = false;
  };
  using GroupPointer = std::shared_ptr<OwnedGroup>;
  struct PendingResponse {
    ResponseCallback callback;
    SlotResponse response;
  };

  GroupPointer Find(const GroupId& group) const;
  std::vector<GroupPointer> AllGroups() const;
  void TakeOverGroup(const GroupId& id, const Service& service, TimePoint now);
  void ReleaseGroup(const GroupId& id);
  void UpdateServers(const GroupId& id, std::vector<GroupServer> servers,
                     TimePoint now);
  // Advances the scheduler if the call before has left a deadline that has
  // passed, and delivers the resulting decisions.
  static void AdvanceIfDue(OwnedGroup* group);
  static void RecordGrant(OwnedGroup* group, const Grant& grant);
  static void RecordCallEnd(OwnedGroup* group, GrantId grant,
                            const CallReport& report, TimePoint now);
  // Collects the responses for decisions. The group's lock must be held.
  static std::vector<PendingResponse> CollectResponses(
      OwnedGroup* group, const std::vector<SlotDecision>& decisions);
  static void InvokeCallbacks(const std::vector<PendingResponse>& responses);

  const HostIncarnation self_;
  EventLog* const log_;
  mutable std::shared_mutex groups_mutex_;
  std::map<GroupId, GroupPointer> groups_;
  bool stopped_ = false;
  std::atomic<WaiterId> next_waiter_{1};
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_SLOT_SERVICE_H_
