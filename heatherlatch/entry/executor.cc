#include "heatherlatch/entry/executor.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "heatherlatch/entry/content_digest.h"
#include "heatherlatch/placement/group_owner.h"

namespace heatherlatch {
namespace {

// A larger answer of a request that must not run twice is not passed on.
constexpr std::size_t kMaxAnswerBytes = 2 * 1024 * 1024;
// A run here is waited for by a repeat of the same request this often.
constexpr auto kRunningPollInterval = std::chrono::milliseconds(5);
// How often a request under a key asks again whether it may run.
constexpr auto kProofPollInterval = std::chrono::milliseconds(25);
// How often `StopKeys` looks whether the runs have ended.
constexpr auto kStopPollInterval = std::chrono::milliseconds(10);

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

// Collects the whole answer of a backend server.
class AnswerCollector {
 public:
  AnswerSink Sink() {
    AnswerSink sink;
    sink.on_head = [this](const AnswerHead& head) {
      answer_->status = head.status;
      answer_->headers = head.headers;
      return head.content_length.value_or(0) <= kMaxAnswerBytes;
    };
    sink.on_data = [this](std::string_view data) {
      answer_->body.append(data);
      return answer_->body.size() <= kMaxAnswerBytes;
    };
    // A run that must not be repeated is finished even if its caller has gone,
    // so that a repeat gets its answer.
    return sink;
  }

  std::shared_ptr<StoredAnswer> answer() const { return answer_; }

 private:
  std::shared_ptr<StoredAnswer> answer_ = std::make_shared<StoredAnswer>();
};

bool Contains(const std::vector<RegionName>& regions,
              const RegionName& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

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
      executions_(self_.incarnation, ExecutionLogOptions{}),
      ring_(self_.incarnation, KeyRingOptions{}, SteadyClock::now()) {}

ExecutionResult Executor::Execute(ExecutionRequest request) {
  ExecutionResult result;
  if (const auto* ticket = std::get_if<Ticket>(&request.key)) {
    const HostIncarnation issuer = ticket->issuer;
    const bool is_own = issuer == self_.incarnation;
    result = is_own ? ExecuteHere(request) : Forward(issuer, request);
  } else {
    result = ExecuteKey(request);
  }
  if (std::holds_alternative<Unknown>(result.outcome)) {
    LogUnknown(request, result);
  }
  return result;
}

ExecutionResult Executor::ExecuteKey(const ExecutionRequest& request) {
  const auto& key = std::get<CallerKey>(request.key);
  while (true) {
    const auto snapshot = snapshots_->Get();
    const KeyVerdict verdict = JudgeKey(key, request.dispatch.homes, *snapshot);
    if (std::holds_alternative<RunHere>(verdict)) return ExecuteHere(request);
    if (const auto* forward = std::get_if<ForwardTo>(&verdict)) {
      return Forward(forward->owner, request);
    }
    const Duration retry_after = std::get<NotProven>(verdict).retry_after;
    const TimePoint retry_at = SteadyClock::now() + kProofPollInterval;
    const bool gone = request.cancelled && request.cancelled();
    const bool too_late =
        SteadyClock::now() + retry_after >= request.dispatch.deadline ||
        retry_at >= request.dispatch.deadline;
    if (gone || too_late) {
      ExecutionResult result = UnknownResult(UnknownReason::kOwnershipNotProven);
      result.retry_after = retry_after;
      log_->Write(EventId::kKeyNotProven,
                  {{"request", request.dispatch.request_id}});
      return result;
    }
    // A proof that comes within the deadline is worth the wait.
    std::this_thread::sleep_until(retry_at);
  }
}

ExecutionResult Executor::ExecuteForwarded(ExecutionRequest request) {
  if (const auto* ticket = std::get_if<Ticket>(&request.key)) {
    if (ticket->issuer != self_.incarnation) {
      return UnknownResult(UnknownReason::kExecutorGone);
    }
    return ExecuteHere(std::move(request));
  }
  const auto snapshot = snapshots_->Get();
  const KeyVerdict verdict = JudgeKey(std::get<CallerKey>(request.key),
                                      request.dispatch.homes, *snapshot);
  if (std::holds_alternative<RunHere>(verdict)) {
    return ExecuteHere(std::move(request));
  }
  ExecutionResult result = UnknownResult(UnknownReason::kOwnershipNotProven);
  if (const auto* unproven = std::get_if<NotProven>(&verdict)) {
    result.retry_after = unproven->retry_after;
  }
  return result;
}

KeyVerdict Executor::JudgeKey(const CallerKey& key,
                              const std::vector<RegionName>& homes,
                              const HostSnapshot& snapshot) {
  // Only the ring of one region may run a key, so the same region is chosen at
  // every host: the first home region.
  const RegionName& region = homes.front();
  bool stopped = false;
  {
    std::lock_guard lock(mutex_);
    stopped = keys_stopped_;
  }
  if (region != self_.region || stopped) {
    const auto guess = RendezvousOwner(ToString(RequestKey(key)),
                                       snapshot.members->LiveInRegion(region));
    if (!guess) return NotProven{};
    return ForwardTo{*guess};
  }
  std::lock_guard lock(mutex_);
  return ring_.Judge(key, SteadyClock::now());
}

ExecutionResult Executor::ExecuteHere(ExecutionRequest request) {
  request.dispatch.request_key = ToString(request.key);
  if (const auto* key = std::get_if<CallerKey>(&request.key)) {
    request.dispatch.request_key = key->key;
  }
  request.dispatch.body = request.body;
  const ContentDigest digest =
      DigestOf(request.dispatch.method, request.dispatch.target, request.body);
  const bool is_key = std::holds_alternative<CallerKey>(request.key);
  while (true) {
    BeginResult begun = LogFull{};
    {
      std::lock_guard lock(mutex_);
      if (is_key && keys_stopped_) {
        return UnknownResult(UnknownReason::kOwnershipNotProven);
      }
      begun = executions_.Begin(request.key, digest, SteadyClock::now());
      if (is_key && std::holds_alternative<StartRun>(begun)) ++key_runs_;
    }
    if (std::holds_alternative<StartRun>(begun)) return Run(request);
    if (!std::holds_alternative<Running>(begun)) return AnswerOf(begun);
    const bool gone = request.cancelled && request.cancelled();
    if (gone || SteadyClock::now() >= request.dispatch.deadline) {
      return UnknownResult(UnknownReason::kStillRunning);
    }
    std::this_thread::sleep_for(kRunningPollInterval);
  }
}

ExecutionResult Executor::Run(const ExecutionRequest& request) {
  AnswerCollector collector;
  const DispatchResult dispatched =
      dispatcher_->Dispatch(request.dispatch, collector.Sink());
  ExecutionResult result;
  result.outcome = dispatched.outcome;
  result.backend_time = dispatched.backend_time;
  if (std::holds_alternative<Ran>(dispatched.outcome)) {
    collector.answer()->headers.emplace_back("Heatherlatch-Server",
                                             dispatched.server.str());
    collector.answer()->headers.emplace_back("Heatherlatch-Zone",
                                             dispatched.zone.str());
    result.answer = collector.answer();
  }
  std::lock_guard lock(mutex_);
  executions_.Finish(request.key, result.outcome, result.answer,
                     SteadyClock::now());
  if (std::holds_alternative<CallerKey>(request.key)) --key_runs_;
  return result;
}

ExecutionResult Executor::AnswerOf(const BeginResult& begun) const {
  struct Visitor {
    ExecutionResult operator()(const StartRun&) const {
      return UnknownResult(UnknownReason::kStillRunning);
    }
    ExecutionResult operator()(const Running&) const {
      return UnknownResult(UnknownReason::kStillRunning);
    }
    ExecutionResult operator()(const Replay& replay) const {
      ExecutionResult result;
      if (replay.answer == nullptr) {
        return UnknownResult(UnknownReason::kRecordExpired);
      }
      result.outcome = Ran{};
      result.answer = replay.answer;
      result.replayed = true;
      return result;
    }
    ExecutionResult operator()(const EndedUnknown& ended) const {
      return UnknownResult(ended.reason);
    }
    ExecutionResult operator()(const Forgotten&) const {
      return UnknownResult(UnknownReason::kRecordExpired);
    }
    ExecutionResult operator()(const LogFull&) const {
      return NotRunResult(NotRunReason::kQueueFull);
    }
    ExecutionResult operator()(const OtherContent&) const {
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
      !Contains(request.dispatch.homes, member->description.region);
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
  // A host that this one cannot reach may have run an earlier send.
  if (transport_->Send(executor, message) != SendResult::kSent) {
    const bool gone = member == nullptr;
    return UnknownResult(gone ? UnknownReason::kExecutorGone
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
  if (end != WaitEnd::kAnswered) {
    return UnknownResult(UnknownReason::kAnswerLost);
  }
  ForwardReply reply = call->Take();
  ExecutionResult result;
  result.outcome = reply.outcome;
  result.answer = std::move(reply.answer);
  const bool has_no_answer = result.answer == nullptr;
  if (std::holds_alternative<Ran>(result.outcome) && has_no_answer) {
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

void Executor::OnForwardReply(const HostIncarnation& peer, ForwardReply reply) {
  const CallId call = reply.call;
  calls_.Deliver(peer, call, std::move(reply));
}

void Executor::OnLinkDown(const HostIncarnation& peer) {
  calls_.LosePeer(peer);
}

void Executor::SetRing(const std::vector<HostIncarnation>& members,
                       const std::vector<HostIncarnation>& listed,
                       TimePoint now) {
  std::lock_guard lock(mutex_);
  ring_.SetMembers(members, now);
  ring_.NoteListed(listed, now);
}

void Executor::OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                         TimePoint asked_at) {
  std::lock_guard lock(mutex_);
  ring_.OnSupport(peer, ring, asked_at);
}

std::uint64_t Executor::SupportedRing(TimePoint now) const {
  std::lock_guard lock(mutex_);
  return keys_stopped_ ? 0 : ring_.SupportedRing(now);
}

bool Executor::HasMajority(TimePoint now) const {
  std::lock_guard lock(mutex_);
  return ring_.HasMajority(now);
}

void Executor::Expire(TimePoint now) {
  std::lock_guard lock(mutex_);
  executions_.Expire(now);
}

void Executor::StopKeys(TimePoint deadline) {
  while (true) {
    {
      std::lock_guard lock(mutex_);
      keys_stopped_ = true;
      if (key_runs_ == 0) return;
    }
    if (SteadyClock::now() >= deadline) return;
    std::this_thread::sleep_for(kStopPollInterval);
  }
}

std::vector<KeyRecord> Executor::ExportKeys(TimePoint now) const {
  std::lock_guard lock(mutex_);
  return executions_.ExportKeys(now);
}

void Executor::OnHandOver(const KeyHandOver& message, TimePoint now) {
  std::lock_guard lock(mutex_);
  executions_.ImportKeys(message.records, now);
  if (message.last) ring_.OnHandOver(message.from, now);
}

void Executor::LogUnknown(const ExecutionRequest& request,
                          const ExecutionResult& result) const {
  const auto& unknown = std::get<Unknown>(result.outcome);
  log_->Write(EventId::kRequestUnknown,
              {{"request", request.dispatch.request_id},
               {"reason", std::string(ToString(unknown.reason))}});
}

}  // namespace heatherlatch
