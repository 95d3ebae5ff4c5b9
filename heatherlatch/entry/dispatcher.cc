#include "heatherlatch/entry/dispatcher.h"

#include <optional>
#include <thread>
#include <utility>

#include "heatherlatch/admission/content_digest.h"
#include "heatherlatch/entry/caller_request.h"

namespace heatherlatch {
namespace {

constexpr int kMaxAttempts = 4;
// Retries per successful request until the published limits set the share.
constexpr double kDefaultRetryShare = 0.1;
// Retries available before any success.
constexpr double kRetryReserve = 20;
// Interval at which a request checks whether another run of the same suspected
// content has ended.
constexpr auto kSuspectPollInterval = std::chrono::milliseconds(10);

CallOutcome CallOutcomeOf(const BackendNotRun& end) {
  switch (end.reason) {
    case BackendNotRunReason::kConnectFailed:
      return CallOutcome::kConnectFailed;
    case BackendNotRunReason::kShed:
      return CallOutcome::kShed;
    case BackendNotRunReason::kDraining:
      return CallOutcome::kDraining;
    case BackendNotRunReason::kDeadlineTooShort:
      return CallOutcome::kNotUsed;
  }
  return CallOutcome::kNotUsed;
}

struct CallOutcomeVisitor {
  CallOutcome operator()(const BackendResponded&) const {
    return CallOutcome::kResponseReceived;
  }
  CallOutcome operator()(const BackendNotRun& end) const {
    return CallOutcomeOf(end);
  }
  CallOutcome operator()(const BackendUnknown& end) const {
    switch (end.reason) {
      case BackendUnknownReason::kTimedOut:
        return CallOutcome::kTimedOut;
      case BackendUnknownReason::kCancelled:
        return CallOutcome::kNotUsed;
      default:
        return CallOutcome::kFailed;
    }
  }
};

struct OutcomeVisitor {
  Outcome operator()(const BackendResponded&) const { return Ran{}; }
  Outcome operator()(const BackendNotRun& end) const {
    switch (end.reason) {
      case BackendNotRunReason::kConnectFailed:
        return NotRun{NotRunReason::kConnectFailed};
      case BackendNotRunReason::kShed:
        return NotRun{NotRunReason::kShedByServer};
      case BackendNotRunReason::kDraining:
        return NotRun{NotRunReason::kServerDraining};
      case BackendNotRunReason::kDeadlineTooShort:
        return NotRun{NotRunReason::kDeadlineTooShort};
    }
    return NotRun{NotRunReason::kConnectFailed};
  }
  Outcome operator()(const BackendUnknown& end) const {
    switch (end.reason) {
      case BackendUnknownReason::kTimedOut:
        return Unknown{UnknownReason::kDeadlineExceeded};
      case BackendUnknownReason::kIncompleteBody:
      case BackendUnknownReason::kMalformedResponse:
        return Unknown{UnknownReason::kResponseIncomplete};
      case BackendUnknownReason::kConnectionLost:
      case BackendUnknownReason::kCancelled:
        return Unknown{UnknownReason::kResponseLost};
    }
    return Unknown{UnknownReason::kResponseLost};
  }
};

CallReport ReportOf(const BackendResult& call) {
  CallReport report;
  report.end = std::visit(CallOutcomeVisitor{}, call.outcome);
  report.service_time = call.time_to_first_byte;
  report.boot_id = call.server_status.boot_id;
  report.reported_in_flight = call.server_status.in_flight;
  report.cold = call.server_status.cold;
  return report;
}

bool IsServerLost(const BackendResult& call) {
  const auto* unknown = std::get_if<BackendUnknown>(&call.outcome);
  if (unknown == nullptr) return false;
  return unknown->reason == BackendUnknownReason::kConnectionLost ||
         unknown->reason == BackendUnknownReason::kIncompleteBody;
}

// @return a sink that adds headers with the backend server and its zone to the
//         response and passes it to `sink`, which must outlive it
ResponseSink WithServerHeaders(const ResponseSink& sink,
                               const SlotLease& lease) {
  ResponseSink with_headers = sink;
  with_headers.on_head = [&sink, &lease](const ResponseHead& head) {
    ResponseHead extended = head;
    extended.headers.emplace_back(caller_header::kServer,
                                  lease.grant().server.str());
    extended.headers.emplace_back(caller_header::kZone,
                                  lease.group().zone.str());
    return sink.on_head(extended);
  };
  return with_headers;
}

bool MayRetry(const DispatchRequest& request, const BackendResult& call) {
  if (std::holds_alternative<BackendNotRun>(call.outcome)) return true;
  const auto* unknown = std::get_if<BackendUnknown>(&call.outcome);
  if (unknown == nullptr || unknown->head_delivered) return false;
  if (unknown->reason == BackendUnknownReason::kCancelled) return false;
  return request.idempotent;
}

}  // namespace

Dispatcher::Dispatcher(const SnapshotCell* snapshots, SlotClient* slots,
                       BackendClient* backend, CrossRegionBudgets* budgets,
                       EventLog* log, Metrics* metrics,
                       ShareSuspect share_suspect)
    : snapshots_(snapshots),
      slots_(slots),
      backend_(backend),
      budgets_(budgets),
      log_(log),
      metrics_(metrics),
      share_suspect_(std::move(share_suspect)),
      suspects_(CrashSuspectsOptions{}),
      retries_(kDefaultRetryShare, kRetryReserve) {}

DispatchResult Dispatcher::Dispatch(const DispatchRequest& request,
                                    const ResponseSink& sink) {
  const ContentDigest digest = DigestWithin(request.route.str(), request.method,
                                            request.target, request.body);
  DispatchResult result;
  std::vector<BackendServerName> excluded;
  std::optional<Unknown> earlier_unknown;
  while (result.attempts < kMaxAttempts) {
    bool isolated = false;
    const auto refused = WaitForAdmission(request, digest, sink, &isolated);
    if (refused) {
      result.outcome = NotRun{*refused};
      LogRefusal(request, *refused);
      break;
    }
    ++result.attempts;
    const Attempt attempt =
        RunAttempt(request, digest, sink, isolated, &excluded, &result);
    result.outcome = attempt.outcome;
    if (const auto* unknown = std::get_if<Unknown>(&attempt.outcome)) {
      earlier_unknown = *unknown;
    }
    if (!attempt.may_retry || !SpendRetry()) break;
    metrics_->RequestRetried();
  }
  // The last attempt did not run, but an earlier attempt may have run.
  const bool not_run = std::holds_alternative<NotRun>(result.outcome);
  if (not_run && earlier_unknown) result.outcome = *earlier_unknown;
  return result;
}

void Dispatcher::OnSuspectNotice(const SuspectNotice& notice) {
  std::lock_guard lock(mutex_);
  suspects_.Merge(notice, SteadyClock::now());
}

void Dispatcher::SetRetryShare(double share) {
  std::lock_guard lock(mutex_);
  retries_ = RetryBudget(share, kRetryReserve);
}

void Dispatcher::Expire(TimePoint now) {
  std::lock_guard lock(mutex_);
  suspects_.Expire(now);
}

std::optional<NotRunReason> Dispatcher::WaitForAdmission(
    const DispatchRequest& request, ContentDigest digest, const ResponseSink& s,
    bool* isolated) {
  while (true) {
    SuspectVerdict verdict;
    {
      std::lock_guard lock(mutex_);
      verdict = suspects_.Admit(digest, SteadyClock::now());
    }
    *isolated = verdict == SuspectVerdict::kIsolate;
    if (verdict == SuspectVerdict::kRefuse) {
      return NotRunReason::kSuspectedOfCrashingServers;
    }
    if (verdict != SuspectVerdict::kWait) return std::nullopt;
    if (SteadyClock::now() >= request.deadline) {
      return NotRunReason::kQueueFull;
    }
    if (s.cancelled && s.cancelled()) return NotRunReason::kCallerDisconnected;
    std::this_thread::sleep_for(kSuspectPollInterval);
  }
}

Dispatcher::Attempt Dispatcher::RunAttempt(
    const DispatchRequest& request, ContentDigest digest,
    const ResponseSink& sink, bool isolated,
    std::vector<BackendServerName>* excluded, DispatchResult* result) {
  SlotRequirements requirements;
  requirements.service = request.service;
  requirements.home_regions = request.home_regions;
  requirements.organisation = request.organisation;
  requirements.weight = request.weight;
  requirements.deadline = request.deadline;
  requirements.excluded = *excluded;
  requirements.isolated = isolated;
  requirements.cancelled = sink.cancelled;
  SlotResult slot = slots_->Acquire(requirements);
  if (const auto* not_run = std::get_if<NotRun>(&slot)) {
    RecordEndWithoutResponse(request, digest);
    LogRefusal(request, not_run->reason);
    return Attempt{*not_run, false};
  }
  auto& lease = std::get<SlotLease>(slot);
  log_->Write(EventId::kPlaced, {{"request", request.request_id},
                                 {"route", request.route.str()},
                                 {"organisation", request.organisation.str()},
                                 {"zone", lease.group().zone.str()},
                                 {"server", lease.grant().server.str()},
                                 {"attempt", std::to_string(result->attempts)},
                                 {"isolated", isolated ? "yes" : "no"}});
  const BackendResult call =
      CallServer(request, WithServerHeaders(sink, lease), lease);
  lease.Release(ReportOf(call));
  result->backend_time += call.total;
  budgets_->RecordBytes(lease.region(), request.body.size() + call.body_bytes);
  const bool server_lost = IsServerLost(call);
  const bool has_response =
      std::holds_alternative<BackendResponded>(call.outcome);
  if (server_lost || has_response) {
    RecordRunEnd(request, digest, server_lost);
  } else {
    RecordEndWithoutResponse(request, digest);
  }
  if (server_lost) backend_->CloseConnections(lease.grant().endpoint);
  excluded->push_back(lease.grant().server);
  if (has_response) {
    result->status = std::get<BackendResponded>(call.outcome).status;
    std::lock_guard lock(mutex_);
    retries_.OnSuccess();
  }
  const Outcome outcome = std::visit(OutcomeVisitor{}, call.outcome);
  const bool may_retry = MayRetry(request, call);
  if (may_retry) {
    log_->Write(EventId::kPlacementRetried,
                {{"request", request.request_id},
                 {"server", lease.grant().server.str()},
                 {"outcome", std::string(ToString(outcome))}});
  }
  return Attempt{outcome, may_retry};
}

BackendResult Dispatcher::CallServer(const DispatchRequest& request,
                                     const ResponseSink& sink,
                                     const SlotLease& lease) {
  BackendRequest call;
  call.endpoint = lease.grant().endpoint;
  call.method = request.method;
  call.target = request.target;
  call.headers = request.headers;
  call.body = request.body;
  call.request_key = request.request_key;
  call.request_id = request.request_id;
  if (!MayStillCall(lease)) {
    BackendResult not_called;
    not_called.outcome = BackendNotRun{BackendNotRunReason::kDeadlineTooShort};
    return not_called;
  }
  return backend_->Call(call, sink, request.deadline);
}

bool Dispatcher::MayStillCall(const SlotLease& lease) const {
  const TimePoint now = SteadyClock::now();
  if (now >= lease.grant().lease_end) return false;
  const auto snapshot = snapshots_->Get();
  if (now - snapshot->published_at > kMaxSnapshotAge) return false;
  const AvailabilityZone* zone =
      snapshot->objects->FindZone(lease.group().zone);
  return zone != nullptr && zone->in_service;
}

void Dispatcher::RecordRunEnd(const DispatchRequest& request,
                              ContentDigest digest, bool server_lost) {
  SuspectNotice notice;
  {
    std::lock_guard lock(mutex_);
    notice = suspects_.OnEnd(request.service->name, digest, server_lost,
                             SteadyClock::now());
  }
  if (notice.crashes == 0) return;
  log_->Write(EventId::kSuspectFound,
              {{"request", request.request_id},
               {"service", request.service->name.str()},
               {"crashes", std::to_string(notice.crashes)}});
  share_suspect_(notice, request.home_regions);
}

void Dispatcher::RecordEndWithoutResponse(const DispatchRequest& request,
                                          ContentDigest digest) {
  std::lock_guard lock(mutex_);
  suspects_.OnInconclusiveEnd(digest);
}

bool Dispatcher::SpendRetry() {
  std::lock_guard lock(mutex_);
  return retries_.TryRetry();
}

void Dispatcher::LogRefusal(const DispatchRequest& request,
                            NotRunReason reason) {
  const EventId event = reason == NotRunReason::kSuspectedOfCrashingServers
                            ? EventId::kSuspectRefused
                            : EventId::kPlacementRefused;
  log_->Write(event, {{"request", request.request_id},
                      {"route", request.route.str()},
                      {"organisation", request.organisation.str()},
                      {"reason", std::string(ToString(reason))}});
}

}  // namespace heatherlatch
