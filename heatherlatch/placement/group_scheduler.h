// Grants the slots of one server group to requests.
//
// A group consists of the backend servers of one service in one availability
// zone. One host owns a group at a time and runs its scheduler; other hosts
// request a slot from the owner and then call the server themselves. The
// scheduler counts the granted slots exactly, so no server has more requests
// than its limit, and keeps one queue, from which a request is assigned to a
// server only when a slot is free.
//
// Rules:
//   - A server has at most `limit` grants. A new or newly cold server starts at
//     the service's `cold_start_slots`; its limit grows by one for each full
//     round of prompt responses, up to `slots_per_server`.
//   - A host that takes over a group starts every server at the cold limit,
//     because grants of the previous owner may still be running.
//   - A grant ends by `Release`, or at `lease_end` if the holder never releases
//     it.
//   - Waiting requests are served by weighted fair queueing over organisations,
//     first come first served within one.
//   - A request whose deadline cannot be met at the current service rate is
//     refused at once instead of queued.
//   - A server that responds far more slowly than its group gets no new
//     requests until it has recovered. A draining server, or one in a zone out
//     of service, gets none.
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

// Identifies a request; chosen by the caller, unique within a scheduler.
using WaiterId = std::uint64_t;
// Identifies a grant; assigned by the scheduler, never reused.
using GrantId = std::uint64_t;

struct GroupOptions {
  int slots_per_server = 1;  // Limit of a warm server, in grants.
  int cold_start_slots = 1;  // Limit of a cold server, in grants.
  std::size_t max_waiting = 1024;
  // Time from the deadline of a request to the end of its grant's lease.
  Duration lease_grace = std::chrono::milliseconds(500);
};

struct GroupServer {
  BackendServerName name;
  Endpoint endpoint;
  // False: shutting down, draining, or in a zone out of service.
  bool accepts_work = true;
};

struct SlotRequest {
  WaiterId waiter = 0;
  OrganisationName organisation;
  int weight = 1;  // Weight of the organisation in the fair queue.
  TimePoint deadline;
  std::vector<BackendServerName> excluded;  // Servers already tried.
  bool isolated = false;  // Must be the only request of its server.
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

// The immediate result of `Acquire`.
using AcquireResult = std::variant<SlotGranted, SlotQueued, SlotRefused>;
// The final result for a request that was queued.
using SlotDecision = std::variant<SlotGranted, SlotRefused>;

// How the call for which a slot was granted ended.
enum class CallOutcome {
  kResponseReceived,  // A complete response was received.
  kShed,              // The server shed the request: not run.
  kDraining,          // The server refused because it is draining: not run.
  kConnectFailed,     // No connection was made: not run.
  kFailed,            // Reset or closed before the response was complete.
  kTimedOut,
  kNotUsed,  // The holder released the grant without a call.
};

struct CallReport {
  CallOutcome end = CallOutcome::kResponseReceived;
  Duration service_time{};  // Time to the first byte of the response.
  // The next three are what the response reports about the server.
  std::optional<std::uint64_t> boot_id;   // Identity of the server process.
  std::optional<int> reported_in_flight;  // Requests in progress.
  bool cold = false;
};

struct GroupLoad {
  int usable_slots = 0;  // Sum of the limits of servers that accept work.
  int granted = 0;
  int waiting = 0;
  Duration mean_slot_time{};  // Mean time from a grant to its end.
};

class GroupScheduler {
 public:
  // @param options  sizes of the group; `slots_per_server` is raised to 1 and
  //                 `cold_start_slots` clamped to 1...`slots_per_server`
  // @param now      the current time
  GroupScheduler(GroupOptions options, TimePoint now);
  ~GroupScheduler();
  GroupScheduler(GroupScheduler&&) noexcept;
  GroupScheduler& operator=(GroupScheduler&&) noexcept;

  // Replaces the servers of the group. Grants on a removed server stay valid
  // until they end. A server that was not in the group before is cold.
  // @return decisions for requests that were waiting
  std::vector<SlotDecision> SetServers(const std::vector<GroupServer>& servers,
                                       TimePoint now);

  // Requests a slot.
  // @return `SlotGranted`, `SlotQueued` or `SlotRefused` with the reason; the
  //     decision for a queued request is returned by a later call
  AcquireResult Acquire(const SlotRequest& request, TimePoint now);

  // Withdraws a waiting request. Unknown waiters are ignored. If this frees a
  // server for other requests, `Advance` is due at once.
  void Cancel(WaiterId waiter);

  // Ends a grant and records how its call ended. If the lease of the grant has
  // already expired, the report still counts as evidence about the server for
  // 30 s. Reports on unknown and released grants are ignored.
  // @return decisions for requests that were waiting
  std::vector<SlotDecision> Release(GrantId grant, const CallReport& report,
                                    TimePoint now);

  // Records the status of a server from a health probe or the platform's list.
  // Unknown servers are ignored.
  // @param boot_id  identity of the server process, if it was reported
  // @return decisions for requests that were waiting
  std::vector<SlotDecision> ReportServer(const BackendServerName& server,
                                         bool accepts_work, bool cold,
                                         std::optional<std::uint64_t> boot_id,
                                         TimePoint now);

  // Ends grants whose lease has expired, refuses waiting requests whose
  // deadline has passed, and ends backoffs that are due.
  // @return decisions for requests that were waiting
  std::vector<SlotDecision> Advance(TimePoint now);

  // @return when `Advance` must be called next; none if nothing is pending
  std::optional<TimePoint> NextDeadline() const;

  // @return the current load of the group
  GroupLoad Load() const;

  // @return the name and current limit, in grants, of each server of the group,
  //     sorted by name
  std::vector<std::pair<BackendServerName, int>> Limits() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_GROUP_SCHEDULER_H_
