#include "heatherlatch/entry/executor.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "heatherlatch/admission/content_digest.h"
#include "heatherlatch/entry/internal/region_list.h"

namespace heatherlatch {
namespace {

// Limit of the response body of a request that must not run twice: the response
// is held in memory and stored. A larger one is not passed on.
constexpr std::size_t kMaxResponseBytes = 2 * 1024 * 1024;
// Interval at which a repeated request checks whether the run in progress on
// this host has ended.
constexpr auto kRunningPollInterval = std::chrono::milliseconds(5);
// Interval at which a request under a key checks again whether it may run.
constexpr auto kProofPollInterval = std::chrono::milliseconds(25);
// Interval at which `StopKeyedRuns` checks whether the runs have ended.
constexpr auto kStopPollInterval = std::chrono::milliseconds(10);

// How long a heartbeat acknowledgement counts as support: two heartbeats may be
// lost. Keys also wait this long after each change of the ring.
constexpr auto kSupportLifetime = std::chrono::milliseconds(1200);
// Retry-After while the owner of a key cannot be determined, such as before the
// key ring has been configured.
constexpr auto kKeysNotConfiguredRetry = std::chrono::seconds(5);

// @return the idempotency key that is sent to the backend server
std::string KeyForServer(const RequestKey& key) {
  if (const auto* caller_key = std::get_if<CallerKey>(&key)) {
    return caller_key->key;
  }
  return ToString(std::get<Ticket>(key));
}

ExecutionResult UnknownResult(UnknownReason reason) {
  ExecutionResult result;
  result.outcome = Unknown{reason};
  return result;
}

ExecutionResult NotRunResult(NotRunReason reason) {
  ExecutionResult result;
  result.outcome = NotRun{reason};
  return result;
}

// Collects the complete response of a backend server.
class ResponseCollector {
 public:
  ResponseSink Sink() {
    ResponseSink sink;
    sink.on_head = [this](const ResponseHead& head) {
      response_->status = head.status;
      response_->headers = head.headers;
      return head.content_length.value_or(0) <= kMaxResponseBytes;
    };
    sink.on_data = [this](std::string_view data) {
      response_->body.append(data);
      return response_->body.size() <= kMaxResponseBytes;
    };
    // `cancelled` stays empty: a run that must not be repeated is finished even
    // if its caller has disconnected, so that a repeat gets its response.
    return sink;
  }

  std::shared_ptr<StoredResponse> response() const { return response_; }

 private:
  std::shared_ptr<StoredResponse> response_ =
      std::make_shared<StoredResponse>();
};

}  // namespace

Executor::Executor(HostDescription self, const SnapshotCell* snapshots,
                   GroupDirectory* directory, Dispatcher* dispatcher,
                   PeerTransport* transport, EventLog* log, Metrics* metrics)
    : self_(std::move(self)),
      snapshots_(snapshots),
      directory_(directory),
      dispatcher_(dispatcher),
      transport_(transport),
      log_(log),
      metrics_(metrics),
      executions_(self_.incarnation, ExecutionLogOptions{}) {}

ExecutionResult Executor::Execute(ExecutionRequest request) {
  return ExecuteOrForward(std::move(request), /*may_forward=*/true);
}

ExecutionResult Executor::ExecuteForwarded(ExecutionRequest request) {
  return ExecuteOrForward(std::move(request), /*may_forward=*/false);
}

ExecutionResult Executor::ExecuteOrForward(ExecutionRequest request,
                                           bool may_forward) {
  request.dispatch.request_key = KeyForServer(request.key);
  request.dispatch.body = request.body;
  const ContentDigest digest =
      DigestOf(request.dispatch.method, request.dispatch.target, request.body);
  Attempt attempt = TryOnce(request, digest, may_forward);
  while (attempt.retry_in) {
    const TimePoint retry_at = SteadyClock::now() + *attempt.retry_in;
    const bool disconnected = request.cancelled && request.cancelled();
    // The proof or the response may still come within the deadline.
    if (disconnected || retry_at >= request.dispatch.deadline) break;
    std::this_thread::sleep_until(retry_at);
    attempt = TryOnce(request, digest, may_forward);
  }
  if (std::holds_alternative<Unknown>(attempt.result.outcome)) {
    LogUnknown(request, attempt.result);
  }
  return std::move(attempt.result);
}

Executor::Attempt Executor::TryOnce(const ExecutionRequest& request,
                                    ContentDigest digest, bool may_forward) {
  const Decision decision = TryBegin(request, digest);
  if (const auto* forward = std::get_if<ForwardTo>(&decision)) {
    if (may_forward) return Attempt{Forward(forward->owner, request), {}};
    return Attempt{UnknownResult(UnknownReason::kOwnershipNotProven),
                   kProofPollInterval};
  }
  if (const auto* unproven = std::get_if<NotProven>(&decision)) {
    ExecutionResult result = UnknownResult(UnknownReason::kOwnershipNotProven);
    result.retry_after = unproven->retry_after;
    return Attempt{std::move(result), kProofPollInterval};
  }
  const auto& begun = std::get<BeginResult>(decision);
  if (std::holds_alternative<StartRun>(begun)) return Attempt{Run(request), {}};
  if (std::holds_alternative<Running>(begun)) {
    return Attempt{ResultOf(begun), kRunningPollInterval};
  }
  return Attempt{ResultOf(begun), {}};
}

Executor::Decision Executor::TryBegin(const ExecutionRequest& request,
                                      ContentDigest digest) {
  const TimePoint now = SteadyClock::now();
  std::lock_guard lock(mutex_);
  const auto* key = std::get_if<CallerKey>(&request.key);
  if (key == nullptr) {
    const Ticket& ticket = std::get<Ticket>(request.key);
    if (ticket.issuer != self_.incarnation) return ForwardTo{ticket.issuer};
    return executions_.Begin(request.key, digest, now);
  }
  const KeyOwnership verdict =
      CheckKeyOwner(*key, request.dispatch.home_regions);
  if (const auto* forward = std::get_if<ForwardTo>(&verdict)) return *forward;
  if (const auto* unproven = std::get_if<NotProven>(&verdict)) {
    return *unproven;
  }
  BeginResult begun = executions_.Begin(request.key, digest, now);
  if (std::holds_alternative<StartRun>(begun)) ++key_runs_in_progress_;
  return begun;
}

KeyOwnership Executor::CheckKeyOwner(
    const CallerKey& key, const std::vector<RegionName>& home_regions) {
  // Only the key ring of one region may run a key, so every host has to choose
  // the same region: the first home region.
  const RegionName& region = home_regions.front();
  if (region == self_.region && !keys_stopped_) {
    if (!ring_) return NotProven{kKeysNotConfiguredRetry};
    return ring_->CheckOwnership(key, SteadyClock::now());
  }
  const auto snapshot = snapshots_->Get();
  const auto owner = KeyOwner(key, snapshot->members->LiveInRegion(region));
  if (!owner || *owner == self_.incarnation) {
    return NotProven{kKeysNotConfiguredRetry};
  }
  return ForwardTo{*owner};
}

ExecutionResult Executor::Run(const ExecutionRequest& request) {
  ResponseCollector collector;
  const DispatchResult dispatched =
      dispatcher_->Dispatch(request.dispatch, collector.Sink());
  ExecutionResult result;
  result.outcome = dispatched.outcome;
  result.backend_time = dispatched.backend_time;
  if (std::holds_alternative<Ran>(dispatched.outcome)) {
    result.response = collector.response();
  }
  std::lock_guard lock(mutex_);
  executions_.Finish(request.key, result.outcome, result.response,
                     SteadyClock::now());
  if (std::holds_alternative<CallerKey>(request.key)) --key_runs_in_progress_;
  return result;
}

ExecutionResult Executor::ResultOf(const BeginResult& begun) const {
  struct Visitor {
    ExecutionResult operator()(const StartRun&) const {
      return UnknownResult(UnknownReason::kStillRunning);
    }
    ExecutionResult operator()(const Running&) const {
      return UnknownResult(UnknownReason::kStillRunning);
    }
    ExecutionResult operator()(const Replay& replay) const {
      ExecutionResult result;
      if (replay.response == nullptr) {
        return UnknownResult(UnknownReason::kRecordExpired);
      }
      result.outcome = Ran{};
      result.response = replay.response;
      result.replayed = true;
      return result;
    }
    ExecutionResult operator()(const EndedUnknown& ended) const {
      return UnknownResult(ended.reason);
    }
    ExecutionResult operator()(const RecordExpired&) const {
      return UnknownResult(UnknownReason::kRecordExpired);
    }
    ExecutionResult operator()(const LogFull&) const {
      return NotRunResult(NotRunReason::kQueueFull);
    }
    ExecutionResult operator()(const ContentMismatch&) const {
      return NotRunResult(NotRunReason::kMalformedRequest);
    }
    ExecutionResult operator()(const NotIssuedHere&) const {
      return UnknownResult(UnknownReason::kExecutorGone);
    }
  };
  return std::visit(Visitor{}, begun);
}

ExecutionResult Executor::Forward(const HostIncarnation& executor,
                                  const ExecutionRequest& request) {
  const auto snapshot = snapshots_->Get();
  const Member* member = snapshot->members->Find(executor);
  const bool outside_homes =
      member != nullptr &&
      !Contains(request.dispatch.home_regions, member->description.region);
  if (outside_homes) return UnknownResult(UnknownReason::kRefusedUnchecked);
  const auto call = calls_.Open(executor);
  ForwardRequest message;
  message.call = call->id();
  message.key = request.key;
  message.organisation = request.dispatch.organisation;
  message.method = request.dispatch.method;
  message.target = request.dispatch.target;
  message.headers = request.dispatch.headers;
  message.headers.emplace_back("X-Request-Id", request.dispatch.request_id);
  message.body = request.body;
  message.time_left = request.dispatch.deadline - SteadyClock::now();
  // The executor may have run an earlier send of this request even if it cannot
  // be reached now, so the outcome is not `NotRun`.
  if (transport_->Send(executor, message) != SendResult::kQueued) {
    const bool executor_left = member == nullptr;
    return UnknownResult(executor_left ? UnknownReason::kExecutorGone
                                       : UnknownReason::kExecutorUnreachable);
  }
  metrics_->RequestForwarded();
  log_->Write(EventId::kRequestForwarded,
              {{"request", request.dispatch.request_id},
               {"executor", ToString(executor)}});
  const WaitEnd end = call->Wait(request.dispatch.deadline, request.cancelled);
  if (end == WaitEnd::kTimedOut) {
    return UnknownResult(UnknownReason::kDeadlineExceeded);
  }
  if (end != WaitEnd::kReceived) {
    return UnknownResult(UnknownReason::kResponseLost);
  }
  ForwardResponse reply = call->Take();
  ExecutionResult result;
  result.outcome = reply.outcome;
  result.response = std::move(reply.response);
  const bool has_no_response = result.response == nullptr;
  if (std::holds_alternative<Ran>(result.outcome) && has_no_response) {
    return UnknownResult(UnknownReason::kRecordExpired);
  }
  return result;
}

std::vector<Ticket> Executor::IssueTickets(int count) {
  std::vector<Ticket> tickets;
  const TimePoint now = SteadyClock::now();
  std::lock_guard lock(mutex_);
  for (int i = 0; i < count; ++i) {
    tickets.push_back(executions_.IssueTicket(now));
  }
  return tickets;
}

void Executor::OnForwardResponse(const HostIncarnation& peer,
                                 ForwardResponse reply) {
  const CallId call = reply.call;
  calls_.Deliver(peer, call, std::move(reply));
}

void Executor::OnLinkDown(const HostIncarnation& peer) {
  calls_.FailCallsTo(peer);
}

void Executor::ConfigureKeyRing(Duration grace_period, TimePoint now) {
  std::lock_guard lock(mutex_);
  if (ring_ && grace_period == grace_period_) return;
  grace_period_ = grace_period;
  KeyRingOptions options;
  options.support_lifetime = kSupportLifetime;
  options.grace_period = grace_period;
  ring_.emplace(self_.incarnation, options, now);
  ring_->SetMembers(ring_members_, now);
  if (!listed_.empty()) ring_->OnHostList(listed_, listed_at_);
}

void Executor::SetRingMembers(const std::vector<HostIncarnation>& members,
                              TimePoint now) {
  std::lock_guard lock(mutex_);
  ring_members_ = members;
  if (ring_) ring_->SetMembers(members, now);
}

void Executor::OnHostList(const std::vector<HostIncarnation>& listed,
                          TimePoint requested_at) {
  std::lock_guard lock(mutex_);
  listed_ = listed;
  listed_at_ = requested_at;
  if (ring_) ring_->OnHostList(listed, requested_at);
}

void Executor::OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                         TimePoint requested_at) {
  std::lock_guard lock(mutex_);
  if (ring_) ring_->OnSupport(peer, ring, requested_at);
}

std::uint64_t Executor::SupportedRing(TimePoint now) const {
  std::lock_guard lock(mutex_);
  return ring_ ? ring_->SupportedRing(now) : 0;
}

bool Executor::HasMajority(TimePoint now) {
  std::lock_guard lock(mutex_);
  return ring_ && ring_->HasMajority(now);
}

void Executor::Expire(TimePoint now) {
  std::lock_guard lock(mutex_);
  executions_.Expire(now);
}

void Executor::StopKeyedRuns(TimePoint deadline) {
  {
    std::lock_guard lock(mutex_);
    keys_stopped_ = true;
    if (ring_) ring_->Leave(SteadyClock::now());
  }
  while (SteadyClock::now() < deadline) {
    {
      std::lock_guard lock(mutex_);
      if (key_runs_in_progress_ == 0) return;
    }
    std::this_thread::sleep_for(kStopPollInterval);
  }
}

std::vector<HostIncarnation> Executor::PendingHandovers() const {
  std::lock_guard lock(mutex_);
  return ring_ ? ring_->PendingHandovers() : std::vector<HostIncarnation>();
}

std::vector<KeyRecord> Executor::ExportKeys(TimePoint now) const {
  std::lock_guard lock(mutex_);
  return executions_.ExportKeys(now);
}

void Executor::OnHandoverAcked(const HostIncarnation& peer) {
  std::lock_guard lock(mutex_);
  if (ring_) ring_->OnHandoverAcked(peer);
}

bool Executor::OnHandover(const KeyHandover& message, TimePoint now) {
  std::lock_guard lock(mutex_);
  if (!executions_.ImportKeys(message.records, now)) {
    failed_imports_.insert(message.from);
  }
  if (!message.last) return false;
  const bool complete = failed_imports_.erase(message.from) == 0;
  return complete && ring_ && ring_->OnHandover(message.from, now);
}

void Executor::LogUnknown(const ExecutionRequest& request,
                          const ExecutionResult& result) const {
  const auto& unknown = std::get<Unknown>(result.outcome);
  log_->Write(EventId::kRequestUnknown,
              {{"request", request.dispatch.request_id},
               {"reason", std::string(ToString(unknown.reason))}});
}

}  // namespace heatherlatch
