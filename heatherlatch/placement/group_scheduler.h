// Shares the slots of one server group among the requests that need one.
//
// A group is the backend servers of one service in one availability zone. One
// host owns a group at a time and runs its scheduler; other hosts ask the owner
// for a slot and call the server themselves. The scheduler keeps an exact count
// of the slots that are granted, so no server gets more requests than it bears,
// and one queue in which a request is bound to a server only when a slot is
// free.
//
// Rules:
//   - A server has at most `limit` grants. A new or newly cold server starts at
//     the service's `cold_start_slots`; its limit grows by one for each full
//     round of prompt answers, up to `slots_per_server`.
//   - An owner that has just taken a group over starts every server at the cold
//     limit, because the former owner's grants may still be running.
//   - A grant ends by `Release`, or at `lease_end` if the holder is lost.
//   - Waiting requests are served by weighted fair queueing over organisations,
//     first come first served within one.
//   - A request whose deadline cannot be met at the current service rate is
//     refused at once instead of queued.
//   - A server that answers far slower than its group is given no new work
//     until it has recovered; a draining server or one in a zone out of service
//     gets none.
//   - An isolated request runs only on a server that runs nothing else.
//
// Example:
//   GroupScheduler scheduler(options, now);
//   scheduler.SetServers(servers, now);
//   AcquireResult result = scheduler.Acquire(request, now);
//   ...
//   for (const SlotDecision& decision : scheduler.Release(id, report, now))
//   {...}
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_PLACEMENT_GROUP_SCHEDULER_H_
#define HEATHERLATCH_PLACEMENT_GROUP_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/outcome.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

struct GroupId {
  ServiceName service;
  ZoneName zone;

  friend bool operator==(const GroupId& a, const GroupId& b) {
    return a.service == b.service && a.zone == b.zone;
  }
  friend bool operator<(const GroupId& a, const GroupId& b) {
    return a.service != b.service ? a.service < b.service : a.zone < b.zone;
  }
};

using WaiterId = std::uint64_t;  // Given by the caller, unique in a scheduler.
using GrantId = std::uint64_t;   // Given by the scheduler, never reused.

struct GroupOptions {
  int slots_per_server = 1;
  int cold_start_slots = 1;
  std::size_t max_waiting = 1024;
  // A grant is taken back this long after the deadline of its request.
  Duration lease_grace = std::chrono::milliseconds(500);
};

struct GroupServer {
  BackendServerName name;
  Endpoint endpoint;
  bool accepts_work = true;  // False: leaving, draining or zone out of service.
};

struct SlotRequest {
  WaiterId waiter = 0;
  OrganisationName organisation;
  int weight = 1;
  TimePoint deadline;
  std::vector<BackendServerName> excluded;  // Servers already tried.
  bool isolated = false;
};

struct Grant {
  GrantId id = 0;
  BackendServerName server;
  Endpoint endpoint;
  TimePoint lease_end;
};

struct SlotGranted {
  WaiterId waiter = 0;
  Grant grant;
};
struct SlotQueued {
  WaiterId waiter = 0;
};
struct SlotRefused {
  WaiterId waiter = 0;
  NotRunReason reason = NotRunReason::kQueueFull;
};

// The immediate answer to `Acquire`.
using AcquireResult = std::variant<SlotGranted, SlotQueued, SlotRefused>;
// A later answer to a request that was queued.
using SlotDecision = std::variant<SlotGranted, SlotRefused>;

// How the call that a grant was for ended.
enum class CallEnd {
  kAnswered,
  kShed,           // The server refused: not run.
  kDraining,       // The server refused because it is leaving: not run.
  kConnectFailed,  // No connection was made: not run.
  kFailed,         // Reset or closed before the whole answer.
  kTimedOut,
  kNotUsed,  // The holder returned the grant without a call.
};

struct CallReport {
  CallEnd end = CallEnd::kAnswered;
  Duration service_time{};                // Time to first byte of the answer.
  std::optional<std::uint64_t> boot_id;   // The server's own, where it says so.
  std::optional<int> reported_in_flight;  // Load that the answer carried.
  bool cold = false;                      // The answer says the server is cold.
};

struct GroupLoad {
  int usable_slots = 0;  // Sum of the limits of the servers that take work.
  int granted = 0;
  int waiting = 0;
  Duration mean_service_time{};  // From the grant of a slot to its end.
};

class GroupScheduler {
 public:
  // @param options  sizes of the group; slots and cold slots are at least 1
  // @param now      the current time
  GroupScheduler(GroupOptions options, TimePoint now);
  ~GroupScheduler();
  GroupScheduler(GroupScheduler&&) noexcept;
  GroupScheduler& operator=(GroupScheduler&&) noexcept;

  // Replaces the servers of the group. Grants on a server that is gone stay
  // valid until they end. A server that was not in the group before is cold.
  // @return decisions for requests that were waiting
  std::vector<SlotDecision> SetServers(const std::vector<GroupServer>& servers,
                                       TimePoint now);

  // Asks for a slot.
  // @return a grant, a place in the queue, or a refusal
  AcquireResult Acquire(const SlotRequest& request, TimePoint now);

  // Withdraws a waiting request. Unknown waiters are ignored.
  void Cancel(WaiterId waiter);

  // Ends a grant and reports how the call went. A grant that has already ended
  // is ignored, but its report still counts as evidence about the server.
  // @return decisions for requests that were waiting
  std::vector<SlotDecision> Release(GrantId grant, const CallReport& report,
                                    TimePoint now);

  // Reports what a health probe or the platform's list says of a server.
  // @return decisions for requests that were waiting
  std::vector<SlotDecision> ReportServer(const BackendServerName& server,
                                         bool accepts_work, bool cold,
                                         std::optional<std::uint64_t> boot_id,
                                         TimePoint now);

  // Ends grants whose lease is over and refuses requests that waited past
  // their deadline.
  // @return decisions for requests that were waiting
  std::vector<SlotDecision> Advance(TimePoint now);

  // @return when `Advance` next has something to do, if ever
  std::optional<TimePoint> NextDeadline() const;

  // @return the current load of the group
  GroupLoad Load() const;

  // @return the name and current limit of each server, for status pages
  std::vector<std::pair<BackendServerName, int>> Limits() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_GROUP_SCHEDULER_H_
