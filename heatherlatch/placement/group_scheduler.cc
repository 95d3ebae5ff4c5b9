#include "heatherlatch/placement/group_scheduler.h"

#include <algorithm>
#include <utility>

#include "heatherlatch/placement/internal/grant_table.h"
#include "heatherlatch/placement/internal/server_pool.h"
#include "heatherlatch/placement/internal/server_state.h"
#include "heatherlatch/placement/internal/wait_queue.h"

namespace heatherlatch {
namespace {

// Isolated requests occupy at most one of this many servers at a time, but may
// always occupy one.
constexpr int kServersPerIsolatedRequest = 4;

using Decisions = std::vector<SlotDecision>;

GroupOptions Clamped(GroupOptions options) {
  options.slots_per_server = std::max(options.slots_per_server, 1);
  options.cold_start_slots =
      std::clamp(options.cold_start_slots, 1, options.slots_per_server);
  return options;
}

TimePoint LeaseEnd(TimePoint deadline, Duration grace) {
  return deadline > TimePoint::max() - grace ? TimePoint::max()
                                             : deadline + grace;
}

WaiterId WaiterOf(const SlotDecision& decision) {
  return std::visit([](const auto& alternative) { return alternative.waiter; },
                    decision);
}

AcquireResult ToAcquireResult(const SlotDecision& decision) {
  return std::visit(
      [](const auto& alternative) { return AcquireResult(alternative); },
      decision);
}

}  // namespace

class GroupScheduler::State {
 public:
  State(const GroupOptions& options, TimePoint now)
      : options_(Clamped(options)),
        pool_(options_),
        queue_(options_.max_waiting, options_.slots_per_server),
        now_(now) {}

  Decisions SetServers(const std::vector<GroupServer>& servers, TimePoint now);
  AcquireResult Acquire(const SlotRequest& request, TimePoint now);
  void Cancel(WaiterId waiter);
  Decisions Release(GrantId grant, const CallReport& report, TimePoint now);
  Decisions ReportServer(const BackendServerName& server, bool accepts_work,
                         bool cold, std::optional<std::uint64_t> boot_id,
                         TimePoint now);
  Decisions Advance(TimePoint now);
  std::optional<TimePoint> NextDeadline() const;
  GroupLoad Load() const;
  std::vector<std::pair<BackendServerName, int>> Limits() const {
    return pool_.Limits();
  }

 private:
  // @return the decisions that have not been returned to the caller yet
  Decisions TakeDecisions() { return std::exchange(undelivered_, {}); }

  std::optional<NotRunReason> RefusalReason(const SlotRequest& request,
                                            TimePoint now) const;
  bool MeetsDeadline(const SlotRequest& request, TimePoint start) const;
  Duration ExpectedWait(const SlotRequest& request) const;
  AcquireResult Enqueue(const SlotRequest& request, TimePoint now);

  Grant MakeGrant(const SlotRequest& request, ServerState* server,
                  TimePoint now);
  void GrantWaiter(WaiterId waiter, ServerState* server, TimePoint now);
  void Refuse(WaiterId waiter, NotRunReason reason);
  void RefuseExpired(TimePoint now);
  void RefuseUnservable();

  void Dispatch(TimePoint now);
  bool ServeParked(TimePoint now);
  bool ServeFairQueue(TimePoint now);
  void ServeIsolated(TimePoint now);
  bool MayRunIsolated() const;
  void Reserve(ServerState* server);

  void ApplyReport(ServerState* server, const CallReport& report, bool trial,
                   TimePoint granted_at, TimePoint now);
  void UpdateBaseline(const ServerState& server, const CallReport& report,
                      TimePoint granted_at, TimePoint now);
  void ExpireLeases(TimePoint now);

  GroupOptions options_;
  ServerPool pool_;
  WaitQueue queue_;
  GrantTable grants_;
  // Server that gets no new grants until the first isolated request can run.
  std::optional<BackendServerName> reserved_;
  Decisions undelivered_;
  // Set when `Cancel` has made a reservation unnecessary.
  bool dispatch_due_ = false;
  TimePoint now_;  // Latest time passed to `Acquire` or `Dispatch`.
};

Decisions GroupScheduler::State::SetServers(
    const std::vector<GroupServer>& servers, TimePoint now) {
  pool_.SetServers(servers, now);
  Dispatch(now);
  return TakeDecisions();
}

// ---------------------------------------------------------------------------
// Requests

bool GroupScheduler::State::MeetsDeadline(const SlotRequest& request,
                                          TimePoint start) const {
  return start + pool_.baseline().mean_service_time() < request.deadline;
}

// The time in which the group, at its current service rate, serves the requests
// ahead of this one and one more.
Duration GroupScheduler::State::ExpectedWait(const SlotRequest& request) const {
  const std::size_t ahead =
      queue_.CountAhead(request.organisation, request.weight);
  const int slots = std::max(pool_.usable_slots(), 1);
  return pool_.baseline().mean_slot_time() * static_cast<int>(ahead + 1) /
         slots;
}

std::optional<NotRunReason> GroupScheduler::State::RefusalReason(
    const SlotRequest& request, TimePoint now) const {
  if (request.deadline <= now) return NotRunReason::kDeadlineTooShort;
  if (!pool_.CanServe(request.excluded)) return NotRunReason::kNoServer;
  return std::nullopt;
}

AcquireResult GroupScheduler::State::Acquire(const SlotRequest& request,
                                             TimePoint now) {
  if (queue_.Contains(request.waiter)) return SlotQueued{request.waiter};
  if (dispatch_due_) Dispatch(now);
  now_ = std::max(now_, now);
  if (const auto reason = RefusalReason(request, now)) {
    return SlotRefused{request.waiter, *reason};
  }
  if (!request.isolated) {
    ServerState* server = pool_.PickFree(request.excluded, now);
    if (server != nullptr) {
      return SlotGranted{request.waiter, MakeGrant(request, server, now)};
    }
  }
  return Enqueue(request, now);
}

AcquireResult GroupScheduler::State::Enqueue(const SlotRequest& request,
                                             TimePoint now) {
  if (!queue_.HasRoom(request.organisation)) {
    return SlotRefused{request.waiter, NotRunReason::kQueueFull};
  }
  if (!MeetsDeadline(request, now + ExpectedWait(request))) {
    return SlotRefused{request.waiter, NotRunReason::kDeadlineTooShort};
  }
  queue_.Add(request);
  if (!request.isolated) return SlotQueued{request.waiter};
  Dispatch(now);
  const auto decision =
      std::find_if(undelivered_.begin(), undelivered_.end(),
                   [&request](const SlotDecision& pending) {
                     return WaiterOf(pending) == request.waiter;
                   });
  if (decision == undelivered_.end()) return SlotQueued{request.waiter};
  AcquireResult result = ToAcquireResult(*decision);
  undelivered_.erase(decision);
  return result;
}

void GroupScheduler::State::Cancel(WaiterId waiter) {
  if (!queue_.Remove(waiter)) return;
  if (reserved_ && !queue_.IsolatedFront()) dispatch_due_ = true;
}

Grant GroupScheduler::State::MakeGrant(const SlotRequest& request,
                                       ServerState* server, TimePoint now) {
  const TimePoint lease_end = LeaseEnd(request.deadline, options_.lease_grace);
  const GrantId id =
      grants_.Add(RunningGrant{server, now, lease_end, request.isolated});
  server->Begin(id, request.isolated, now);
  pool_.Update(server);
  return Grant{id, server->name(), server->endpoint(), lease_end};
}

void GroupScheduler::State::GrantWaiter(WaiterId waiter, ServerState* server,
                                        TimePoint now) {
  const SlotRequest request = queue_.Take(waiter);
  undelivered_.push_back(SlotGranted{waiter, MakeGrant(request, server, now)});
}

void GroupScheduler::State::Refuse(WaiterId waiter, NotRunReason reason) {
  queue_.Remove(waiter);
  undelivered_.push_back(SlotRefused{waiter, reason});
}

void GroupScheduler::State::RefuseExpired(TimePoint now) {
  while (const auto first = queue_.FirstDeadline()) {
    if (first->first > now) return;
    Refuse(first->second, NotRunReason::kDeadlineTooShort);
  }
}

// Refuses requests that no server of the group can serve any longer, so that
// the requesting hosts can try another group.
void GroupScheduler::State::RefuseUnservable() {
  if (!pool_.TakeAnyUnavailable()) return;
  const std::vector<WaiterId> unservable =
      queue_.Select([this](const SlotRequest& request) {
        return !pool_.CanServe(request.excluded);
      });
  for (const WaiterId waiter : unservable) {
    Refuse(waiter, NotRunReason::kNoServer);
  }
}

// ---------------------------------------------------------------------------
// Dispatch

// Grants free slots to waiting requests until no waiting request can use one.
void GroupScheduler::State::Dispatch(TimePoint now) {
  now_ = std::max(now_, now);
  dispatch_due_ = false;
  RefuseExpired(now);
  RefuseUnservable();
  bool served = true;
  while (served) {
    ServeIsolated(now);
    served = ServeParked(now) || ServeFairQueue(now);
  }
}

bool GroupScheduler::State::ServeParked(TimePoint now) {
  if (!pool_.has_free_slot()) return false;
  const auto waiter =
      queue_.FindParked([this, now](const ExcludedServers& excluded) {
        return pool_.PickFree(excluded, now) != nullptr;
      });
  if (!waiter) return false;
  GrantWaiter(*waiter, pool_.PickFree(queue_.Get(*waiter).excluded, now), now);
  return true;
}

bool GroupScheduler::State::ServeFairQueue(TimePoint now) {
  const std::optional<WaiterId> waiter = queue_.FairFront();
  if (!waiter) return false;
  const SlotRequest& request = queue_.Get(*waiter);
  if (request.isolated) {
    queue_.MoveToIsolated(*waiter);
    return true;
  }
  if (!pool_.has_free_slot()) return false;
  if (!MeetsDeadline(request, now)) {
    Refuse(*waiter, NotRunReason::kDeadlineTooShort);
    return true;
  }
  ServerState* server = pool_.PickFree(request.excluded, now);
  if (server != nullptr) {
    GrantWaiter(*waiter, server, now);
    return true;
  }
  if (!pool_.has_free_slot()) return false;
  queue_.Park(*waiter);
  return true;
}

bool GroupScheduler::State::MayRunIsolated() const {
  const int max_isolated =
      std::max(1, pool_.accepting() / kServersPerIsolatedRequest);
  return grants_.running_isolated() < max_isolated;
}

void GroupScheduler::State::Reserve(ServerState* server) {
  ServerState* previous = reserved_ ? pool_.Find(*reserved_) : nullptr;
  if (previous == server) return;
  reserved_.reset();
  if (previous != nullptr) {
    previous->SetReserved(false);
    pool_.Update(previous);
  }
  if (server == nullptr) return;
  reserved_ = server->name();
  server->SetReserved(true);
  pool_.Update(server);
}

// Reserving a server does not starve ordinary requests: the fair queue charges
// an isolated request for all slots of a server.
void GroupScheduler::State::ServeIsolated(TimePoint now) {
  while (const std::optional<WaiterId> waiter = queue_.IsolatedFront()) {
    if (!MayRunIsolated()) break;
    Reserve(pool_.PickForIsolation(queue_.Get(*waiter).excluded));
    ServerState* server = reserved_ ? pool_.Find(*reserved_) : nullptr;
    if (server == nullptr || server->granted() > 0) return;
    Reserve(nullptr);
    GrantWaiter(*waiter, server, now);
  }
  Reserve(nullptr);
}

// ---------------------------------------------------------------------------
// Grants

void GroupScheduler::State::UpdateBaseline(const ServerState& s,
                                           const CallReport& call,
                                           TimePoint granted_at,
                                           TimePoint now) {
  if (s.EjectedAsSlow() || call.end != CallOutcome::kResponseReceived) return;
  pool_.baseline().AddServiceTime(call.service_time);
  pool_.baseline().AddSlotTime(now - granted_at);
}

void GroupScheduler::State::ApplyReport(ServerState* server,
                                        const CallReport& report, bool trial,
                                        TimePoint granted_at, TimePoint now) {
  server->OnReport(report, trial, granted_at, pool_.baseline(), now);
  UpdateBaseline(*server, report, granted_at, now);
  if (server->IsProvenSlow(now) && pool_.MayEjectSlowServer()) {
    server->EjectAsSlow(now);
  }
  pool_.Update(server);
}

Decisions GroupScheduler::State::Release(GrantId grant,
                                         const CallReport& report,
                                         TimePoint now) {
  if (const auto running = grants_.Find(grant)) {
    const bool trial = running->server->IsTrial(grant);
    grants_.End(grant);
    running->server->End(grant);
    ApplyReport(running->server, report, trial, running->granted_at, now);
  } else if (const auto expired = grants_.TakeExpired(grant)) {
    ServerState* server = pool_.Find(expired->server);
    if (server != nullptr) {
      ApplyReport(server, report, false, expired->granted_at, now);
    }
  }
  Dispatch(now);
  return TakeDecisions();
}

Decisions GroupScheduler::State::ReportServer(
    const BackendServerName& server, bool accepts_work, bool cold,
    std::optional<std::uint64_t> boot_id, TimePoint now) {
  ServerState* state = pool_.Find(server);
  if (state != nullptr) {
    state->OnReportedStatus(accepts_work, cold, boot_id, now);
    pool_.Update(state);
  }
  Dispatch(now);
  return TakeDecisions();
}

// ---------------------------------------------------------------------------
// Time

void GroupScheduler::State::ExpireLeases(TimePoint now) {
  while (const auto lease = grants_.FirstLease()) {
    if (lease->first > now) return;
    const GrantId id = lease->second;
    ServerState* server = grants_.Find(id)->server;
    const bool trial = server->IsTrial(id);
    grants_.Expire(id, now);
    server->End(id);
    server->OnLeaseEnd(trial, now);
    pool_.Update(server);
  }
}

Decisions GroupScheduler::State::Advance(TimePoint now) {
  pool_.Advance(now);
  ExpireLeases(now);
  grants_.DiscardExpired(now);
  Dispatch(now);
  return TakeDecisions();
}

std::optional<TimePoint> GroupScheduler::State::NextDeadline() const {
  if (dispatch_due_ || !undelivered_.empty()) return now_;
  std::optional<TimePoint> next = pool_.NextTrial();
  const auto keep_earliest = [&next](TimePoint time) {
    if (!next || time < *next) next = time;
  };
  if (const auto lease = grants_.FirstLease()) keep_earliest(lease->first);
  if (const auto first = queue_.FirstDeadline()) keep_earliest(first->first);
  return next;
}

GroupLoad GroupScheduler::State::Load() const {
  GroupLoad load;
  load.usable_slots = pool_.usable_slots();
  load.granted = grants_.running();
  load.waiting = static_cast<int>(queue_.size());
  load.mean_slot_time = pool_.baseline().mean_slot_time();
  return load;
}

// ---------------------------------------------------------------------------

GroupScheduler::GroupScheduler(GroupOptions options, TimePoint now)
    : state_(std::make_unique<State>(options, now)) {}
GroupScheduler::~GroupScheduler() = default;
GroupScheduler::GroupScheduler(GroupScheduler&&) noexcept = default;
GroupScheduler& GroupScheduler::operator=(GroupScheduler&&) noexcept = default;

std::vector<SlotDecision> GroupScheduler::SetServers(
    const std::vector<GroupServer>& servers, TimePoint now) {
  return state_->SetServers(servers, now);
}

AcquireResult GroupScheduler::Acquire(const SlotRequest& request,
                                      TimePoint now) {
  return state_->Acquire(request, now);
}

void GroupScheduler::Cancel(WaiterId waiter) { state_->Cancel(waiter); }

std::vector<SlotDecision> GroupScheduler::Release(GrantId grant,
                                                  const CallReport& report,
                                                  TimePoint now) {
  return state_->Release(grant, report, now);
}

std::vector<SlotDecision> GroupScheduler::ReportServer(
    const BackendServerName& server, bool accepts_work, bool cold,
    std::optional<std::uint64_t> boot_id, TimePoint now) {
  return state_->ReportServer(server, accepts_work, cold, boot_id, now);
}

std::vector<SlotDecision> GroupScheduler::Advance(TimePoint now) {
  return state_->Advance(now);
}

std::optional<TimePoint> GroupScheduler::NextDeadline() const {
  return state_->NextDeadline();
}

GroupLoad GroupScheduler::Load() const { return state_->Load(); }

std::vector<std::pair<BackendServerName, int>> GroupScheduler::Limits() const {
  return state_->Limits();
}

}  // namespace heatherlatch
