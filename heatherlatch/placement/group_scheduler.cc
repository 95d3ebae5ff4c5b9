#include "heatherlatch/placement/group_scheduler.h"

#include <algorithm>
#include <utility>

#include "heatherlatch/placement/internal/grant_book.h"
#include "heatherlatch/placement/internal/server_pool.h"
#include "heatherlatch/placement/internal/server_record.h"
#include "heatherlatch/placement/internal/waiting_line.h"

namespace heatherlatch {
namespace {

// Isolated requests occupy at most one of this many servers at a time.
constexpr int kServersForEachIsolatedOne = 4;

using Decisions = std::vector<SlotDecision>;

GroupOptions Checked(GroupOptions options) {
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
  return std::visit([](const auto& answer) { return answer.waiter; }, decision);
}

AcquireResult ToAcquireResult(const SlotDecision& decision) {
  return std::visit([](const auto& answer) { return AcquireResult(answer); },
                    decision);
}

}  // namespace

class GroupScheduler::State {
 public:
  State(const GroupOptions& options, TimePoint now)
      : options_(Checked(options)),
        pool_(options_),
        line_(options_.max_waiting, options_.slots_per_server),
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
  // @return the decisions made since the last call that could return any
  Decisions TakeDecisions() { return std::exchange(undelivered_, {}); }

  std::optional<NotRunReason> RefusalOf(const SlotRequest& request,
                                        TimePoint now) const;
  bool MeetsDeadline(const SlotRequest& request, TimePoint start) const;
  Duration ExpectedWait(const SlotRequest& request) const;
  AcquireResult Enqueue(const SlotRequest& request, TimePoint now);

  Grant MakeGrant(const SlotRequest& request, ServerRecord* server,
                  TimePoint now);
  void GrantWaiter(WaiterId waiter, ServerRecord* server, TimePoint now);
  void Refuse(WaiterId waiter, NotRunReason reason);
  void RefuseExpired(TimePoint now);
  void RefuseUnservable();

  void Dispatch(TimePoint now);
  bool ServeParked(TimePoint now);
  bool ServeFair(TimePoint now);
  void ServeIsolated(TimePoint now);
  bool MayRunIsolated() const;
  void Reserve(ServerRecord* server);

  void TakeReport(ServerRecord* server, const CallReport& report, bool trial,
                  TimePoint granted_at, TimePoint now);
  void LearnUsual(const ServerRecord& server, const CallReport& report,
                  TimePoint granted_at, TimePoint now);
  void EndLeases(TimePoint now);

  GroupOptions options_;
  ServerPool pool_;
  WaitingLine line_;
  GrantBook grants_;
  // Server that is kept free for the first isolated request.
  std::optional<BackendServerName> reserved_;
  Decisions undelivered_;
  bool dispatch_due_ = false;  // `Cancel` has freed a server.
  TimePoint now_;              // Latest time seen.
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
  return start + pool_.usual().mean_service_time() < request.deadline;
}

// The time in which the group, at its present rate, serves what is ahead of the
// request.
Duration GroupScheduler::State::ExpectedWait(const SlotRequest& request) const {
  const std::size_t ahead = line_.AheadOf(request.organisation, request.weight);
  const int slots = std::max(pool_.usable_slots(), 1);
  return pool_.usual().mean_held() * static_cast<int>(ahead + 1) / slots;
}

std::optional<NotRunReason> GroupScheduler::State::RefusalOf(
    const SlotRequest& request, TimePoint now) const {
  if (request.deadline <= now) return NotRunReason::kDeadlineTooShort;
  if (!pool_.CanServe(request.excluded)) return NotRunReason::kNoServer;
  return std::nullopt;
}

AcquireResult GroupScheduler::State::Acquire(const SlotRequest& request,
                                             TimePoint now) {
  if (line_.Contains(request.waiter)) return SlotQueued{request.waiter};
  if (dispatch_due_) Dispatch(now);
  now_ = std::max(now_, now);
  if (const auto reason = RefusalOf(request, now)) {
    return SlotRefused{request.waiter, *reason};
  }
  if (!request.isolated) {
    ServerRecord* server = pool_.PickFree(request.excluded, now);
    if (server != nullptr) {
      return SlotGranted{request.waiter, MakeGrant(request, server, now)};
    }
  }
  return Enqueue(request, now);
}

AcquireResult GroupScheduler::State::Enqueue(const SlotRequest& request,
                                             TimePoint now) {
  if (!line_.HasRoom(request.organisation)) {
    return SlotRefused{request.waiter, NotRunReason::kQueueFull};
  }
  if (!MeetsDeadline(request, now + ExpectedWait(request))) {
    return SlotRefused{request.waiter, NotRunReason::kDeadlineTooShort};
  }
  line_.Add(request);
  if (!request.isolated) return SlotQueued{request.waiter};
  Dispatch(now);
  const auto answer = std::find_if(undelivered_.begin(), undelivered_.end(),
                                   [&request](const SlotDecision& d) {
                                     return WaiterOf(d) == request.waiter;
                                   });
  if (answer == undelivered_.end()) return SlotQueued{request.waiter};
  AcquireResult result = ToAcquireResult(*answer);
  undelivered_.erase(answer);
  return result;
}

void GroupScheduler::State::Cancel(WaiterId waiter) {
  if (!line_.Remove(waiter)) return;
  if (reserved_ && !line_.IsolatedFront()) dispatch_due_ = true;
}

Grant GroupScheduler::State::MakeGrant(const SlotRequest& request,
                                       ServerRecord* server, TimePoint now) {
  const TimePoint lease_end = LeaseEnd(request.deadline, options_.lease_grace);
  const GrantId id =
      grants_.Add(RunningGrant{server, now, lease_end, request.isolated});
  server->Begin(id, request.isolated, now);
  pool_.Update(server);
  return Grant{id, server->name(), server->endpoint(), lease_end};
}

void GroupScheduler::State::GrantWaiter(WaiterId waiter, ServerRecord* server,
                                        TimePoint now) {
  const SlotRequest request = line_.Take(waiter);
  undelivered_.push_back(SlotGranted{waiter, MakeGrant(request, server, now)});
}

void GroupScheduler::State::Refuse(WaiterId waiter, NotRunReason reason) {
  line_.Remove(waiter);
  undelivered_.push_back(SlotRefused{waiter, reason});
}

void GroupScheduler::State::RefuseExpired(TimePoint now) {
  while (const auto first = line_.FirstDeadline()) {
    if (first->first > now) return;
    Refuse(first->second, NotRunReason::kDeadlineTooShort);
  }
}

// Refuses requests that no server of the group can serve any more, so that
// their holders can ask another group.
void GroupScheduler::State::RefuseUnservable() {
  if (!pool_.TakeLostServer()) return;
  const std::vector<WaiterId> unservable =
      line_.Select([this](const SlotRequest& request) {
        return !pool_.CanServe(request.excluded);
      });
  for (const WaiterId waiter : unservable) {
    Refuse(waiter, NotRunReason::kNoServer);
  }
}

// ---------------------------------------------------------------------------
// Dispatch

// Grants free slots until none is left that a waiting request can use.
void GroupScheduler::State::Dispatch(TimePoint now) {
  now_ = std::max(now_, now);
  dispatch_due_ = false;
  RefuseExpired(now);
  RefuseUnservable();
  bool served = true;
  while (served) {
    ServeIsolated(now);
    served = ServeParked(now) || ServeFair(now);
  }
}

bool GroupScheduler::State::ServeParked(TimePoint now) {
  if (!pool_.has_free_slot()) return false;
  const auto waiter =
      line_.FindParked([this, now](const ExcludedServers& excluded) {
        return pool_.PickFree(excluded, now) != nullptr;
      });
  if (!waiter) return false;
  GrantWaiter(*waiter, pool_.PickFree(line_.Get(*waiter).excluded, now), now);
  return true;
}

bool GroupScheduler::State::ServeFair(TimePoint now) {
  const std::optional<WaiterId> waiter = line_.FairFront();
  if (!waiter) return false;
  const SlotRequest& request = line_.Get(*waiter);
  if (request.isolated) {
    line_.AwaitIsolation(*waiter);
    return true;
  }
  if (!pool_.has_free_slot()) return false;
  if (!MeetsDeadline(request, now)) {
    Refuse(*waiter, NotRunReason::kDeadlineTooShort);
    return true;
  }
  ServerRecord* server = pool_.PickFree(request.excluded, now);
  if (server != nullptr) {
    GrantWaiter(*waiter, server, now);
    return true;
  }
  if (!pool_.has_free_slot()) return false;
  line_.Park(*waiter);
  return true;
}

bool GroupScheduler::State::MayRunIsolated() const {
  const int most = std::max(1, pool_.accepting() / kServersForEachIsolatedOne);
  return grants_.running_isolated() < most;
}

void GroupScheduler::State::Reserve(ServerRecord* server) {
  ServerRecord* former = reserved_ ? pool_.Find(*reserved_) : nullptr;
  if (former == server) return;
  reserved_.reset();
  if (former != nullptr) {
    former->SetReserved(false);
    pool_.Update(former);
  }
  if (server == nullptr) return;
  reserved_ = server->name();
  server->SetReserved(true);
  pool_.Update(server);
}

// An isolated request has paid for a whole server in the fair queue, so this
// does not starve ordinary ones.
void GroupScheduler::State::ServeIsolated(TimePoint now) {
  while (const std::optional<WaiterId> waiter = line_.IsolatedFront()) {
    if (!MayRunIsolated()) break;
    Reserve(pool_.PickForIsolation(line_.Get(*waiter).excluded));
    ServerRecord* server = reserved_ ? pool_.Find(*reserved_) : nullptr;
    if (server == nullptr || server->granted() > 0) return;
    Reserve(nullptr);
    GrantWaiter(*waiter, server, now);
  }
  Reserve(nullptr);
}

// ---------------------------------------------------------------------------
// Grants

void GroupScheduler::State::LearnUsual(const ServerRecord& server,
                                       const CallReport& report,
                                       TimePoint granted_at, TimePoint now) {
  if (server.LeftAsSlow() || report.end != CallEnd::kAnswered) return;
  pool_.usual().AddAnswer(report.service_time);
  pool_.usual().AddHeld(now - granted_at);
}

void GroupScheduler::State::TakeReport(ServerRecord* server,
                                       const CallReport& report, bool trial,
                                       TimePoint granted_at, TimePoint now) {
  server->OnReport(report, trial, granted_at, pool_.usual(), now);
  LearnUsual(*server, report, granted_at, now);
  if (server->ProvenSlow(now) && pool_.MayLeaveSlowServer()) {
    server->LeaveAsSlow(now);
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
    TakeReport(running->server, report, trial, running->granted_at, now);
  } else if (const auto lost = grants_.TakeLost(grant)) {
    ServerRecord* server = pool_.Find(lost->server);
    if (server != nullptr) {
      TakeReport(server, report, false, lost->granted_at, now);
    }
  }
  Dispatch(now);
  return TakeDecisions();
}

Decisions GroupScheduler::State::ReportServer(
    const BackendServerName& server, bool accepts_work, bool cold,
    std::optional<std::uint64_t> boot_id, TimePoint now) {
  ServerRecord* record = pool_.Find(server);
  if (record != nullptr) {
    record->OnSigns(accepts_work, cold, boot_id, now);
    pool_.Update(record);
  }
  Dispatch(now);
  return TakeDecisions();
}

// ---------------------------------------------------------------------------
// Time

void GroupScheduler::State::EndLeases(TimePoint now) {
  while (const auto lease = grants_.FirstLease()) {
    if (lease->first > now) return;
    const GrantId id = lease->second;
    ServerRecord* server = grants_.Find(id)->server;
    const bool trial = server->IsTrial(id);
    grants_.Lose(id, now);
    server->End(id);
    server->OnLeaseEnd(trial, now);
    pool_.Update(server);
  }
}

Decisions GroupScheduler::State::Advance(TimePoint now) {
  pool_.Advance(now);
  EndLeases(now);
  grants_.Forget(now);
  Dispatch(now);
  return TakeDecisions();
}

std::optional<TimePoint> GroupScheduler::State::NextDeadline() const {
  if (dispatch_due_ || !undelivered_.empty()) return now_;
  std::optional<TimePoint> next = pool_.NextTrial();
  const auto take = [&next](TimePoint time) {
    if (!next || time < *next) next = time;
  };
  if (const auto lease = grants_.FirstLease()) take(lease->first);
  if (const auto first = line_.FirstDeadline()) take(first->first);
  return next;
}

GroupLoad GroupScheduler::State::Load() const {
  GroupLoad load;
  load.usable_slots = pool_.usable_slots();
  load.granted = grants_.running();
  load.waiting = static_cast<int>(line_.size());
  load.mean_service_time = pool_.usual().mean_held();
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
