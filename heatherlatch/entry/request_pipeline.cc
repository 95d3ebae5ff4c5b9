#include "heatherlatch/entry/request_pipeline.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace heatherlatch {
namespace {

// Limit of a response of a service of class `small`, which is collected in
// memory. A larger one is not passed on; a service with larger responses has to
// be of class `heavy`.
constexpr std::size_t kMaxSmallResponseBytes = 4 * 1024 * 1024;
// Value of header Retry-After in an error response with status 503.
constexpr const char* kRetryAfterSeconds = "1";

int StatusOfReason(NotRunReason reason) {
  switch (reason) {
    case NotRunReason::kMalformedRequest:
    case NotRunReason::kUnknownOrganisation:
      return 400;
    case NotRunReason::kNoRoute:
      return 404;
    case NotRunReason::kTooLarge:
      return 413;
    case NotRunReason::kOutsideHomeRegions:
      return 421;
    case NotRunReason::kSuspectedOfCrashingServers:
      return 422;
    case NotRunReason::kKeyRequired:
      return 428;
    default:
      return 503;
  }
}

int StatusOfReason(UnknownReason reason) {
  switch (reason) {
    case UnknownReason::kStillRunning:
    case UnknownReason::kRecordExpired:
      return 409;
    case UnknownReason::kDeadlineExceeded:
      return 504;
    default:
      return 502;
  }
}

std::string ReasonOf(const Outcome& outcome) {
  if (const auto* not_run = std::get_if<NotRun>(&outcome)) {
    return std::string(ToString(not_run->reason));
  }
  if (const auto* unknown = std::get_if<Unknown>(&outcome)) {
    return std::string(ToString(unknown->reason));
  }
  return "";
}

bool IsStream(const RoutedRequest& routed) {
  return routed.route->idempotent &&
         routed.service->work_class == WorkClass::kBulk;
}

}  // namespace

int StatusOf(const Outcome& outcome) {
  if (const auto* not_run = std::get_if<NotRun>(&outcome)) {
    return StatusOfReason(not_run->reason);
  }
  if (const auto* unknown = std::get_if<Unknown>(&outcome)) {
    return StatusOfReason(unknown->reason);
  }
  return 200;
}

RequestPipeline::RequestPipeline(HostDescription self,
                                 const SnapshotCell* snapshots,
                                 Dispatcher* dispatcher, Executor* executor,
                                 EventLog* log, Metrics* metrics,
                                 int max_in_progress)
    : self_(std::move(self)),
      snapshots_(snapshots),
      dispatcher_(dispatcher),
      executor_(executor),
      log_(log),
      metrics_(metrics),
      max_in_progress_(max_in_progress) {}

RequestPipeline::StreamOrResponse RequestPipeline::Begin(
    const CallerRequest& request) {
  const ProgressGuard guard(&in_progress_);
  if (in_progress_.load() > max_in_progress_) {
    metrics_->RequestRefused(NotRunReason::kQueueFull);
    return RefuseUnchecked(NotRunReason::kQueueFull,
                           "this host serves as many requests as it may",
                           request);
  }
  RoutingVerdict verdict =
      RouteRequest(snapshots_->Get(), self_.region, request, NewRequestId());
  if (const auto* refusal = std::get_if<RoutingRefusal>(&verdict)) {
    return RefusalResponse(*refusal, request);
  }
  auto& routed = std::get<RoutedRequest>(verdict);
  if (IsStream(routed)) {
    // Downloads may use at most half of the requests in progress, so that the
    // other half is left for small requests.
    if (streams_in_progress_.load() < max_in_progress_ / 2) {
      return std::move(routed);
    }
    const Outcome outcome = NotRun{NotRunReason::kQueueFull};
    Record(routed, request, outcome, Duration());
    return ErrorResponse(outcome,
                         "this host serves as many downloads as it may");
  }
  if (routed.key) return ServeAtMostOnce(routed, request);
  return ServeBuffered(routed, request);
}

CallerResponse RequestPipeline::Refuse(const CallerRequest& request,
                                       NotRunReason reason,
                                       const std::string& explanation) {
  RoutingRefusal refusal;
  refusal.reason = reason;
  refusal.explanation = explanation;
  refusal.request_id = NewRequestId();
  return RefusalResponse(refusal, request);
}

CallerResponse RequestPipeline::ServeBuffered(const RoutedRequest& routed,
                                              const CallerRequest& request) {
  CallerResponse response;
  ResponseSink sink;
  sink.on_head = [&](const ResponseHead& head) {
    response.status = head.status;
    response.headers = head.headers;
    return head.content_length.value_or(0) <= kMaxSmallResponseBytes;
  };
  sink.on_data = [&](std::string_view data) {
    response.body.append(data);
    return response.body.size() <= kMaxSmallResponseBytes;
  };
  sink.cancelled = request.cancelled;
  const DispatchResult result =
      dispatcher_->Dispatch(DispatchOf(routed, request), sink);
  Record(routed, request, result.outcome, result.backend_time);
  if (!std::holds_alternative<Ran>(result.outcome)) {
    return ErrorResponse(result.outcome, "the request was not answered");
  }
  AddOutcomeHeaders(&response.headers, result.outcome);
  return response;
}

CallerResponse RequestPipeline::ServeAtMostOnce(const RoutedRequest& routed,
                                                const CallerRequest& request) {
  ExecutionRequest execution;
  execution.key = *routed.key;
  execution.dispatch = DispatchOf(routed, request);
  execution.body = request.body;
  execution.cancelled = request.cancelled;
  const ExecutionResult result = executor_->Execute(std::move(execution));
  Record(routed, request, result.outcome, result.backend_time);
  if (!std::holds_alternative<Ran>(result.outcome)) {
    CallerResponse response =
        ErrorResponse(result.outcome, "the request has no known answer");
    if (result.retry_after) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(*result.retry_after);
      response.headers.emplace_back(caller_header::kRetryAfter,
                                    std::to_string(seconds.count()));
    }
    return response;
  }
  CallerResponse response;
  response.status = result.response->status;
  response.headers = result.response->headers;
  response.body = result.response->body;
  if (result.replayed) {
    response.headers.emplace_back(caller_header::kReplayed, "true");
    log_->Write(EventId::kRequestReplayed, {{"request", routed.request_id}});
  }
  AddOutcomeHeaders(&response.headers, result.outcome);
  return response;
}

void RequestPipeline::Stream(const RoutedRequest& routed,
                             const CallerRequest& request, ResponsePipe* pipe) {
  const ProgressGuard guard(&in_progress_);
  const ProgressGuard stream_guard(&streams_in_progress_);
  ResponseSink sink;
  sink.on_head = [&](const ResponseHead& head) {
    StreamHead start{head.status, head.headers, head.content_length};
    AddOutcomeHeaders(&start.headers, Ran{});
    pipe->Start(std::move(start));
    return true;
  };
  sink.on_data = [&](std::string_view data) { return pipe->Write(data); };
  sink.cancelled = [&] {
    return pipe->ReaderClosed() || (request.cancelled && request.cancelled());
  };
  const DispatchResult result =
      dispatcher_->Dispatch(DispatchOf(routed, request), sink);
  Record(routed, request, result.outcome, result.backend_time);
  const bool complete = std::holds_alternative<Ran>(result.outcome);
  if (!complete) {
    // Has no effect if the head has already been set.
    pipe->Start(ErrorResponse(result.outcome, "the download was not started"));
  }
  pipe->End(complete);
}

ExecutionResult RequestPipeline::ServeForwarded(const ForwardRequest& message) {
  const ProgressGuard guard(&in_progress_);
  CallerRequest request;
  request.method = message.method;
  request.target = message.target;
  request.headers = message.headers;
  request.body = message.body;
  request.arrived = SteadyClock::now();
  request.headers.emplace_back(caller_header::kOrganisation,
                               message.organisation.str());
  if (const auto* ticket = std::get_if<Ticket>(&message.key)) {
    request.headers.emplace_back(caller_header::kTicket, ToString(*ticket));
  } else {
    request.headers.emplace_back(caller_header::kIdempotencyKey,
                                 std::get<CallerKey>(message.key).key);
  }
  RoutingVerdict verdict =
      RouteRequest(snapshots_->Get(), self_.region, request, NewRequestId());
  ExecutionResult result;
  if (const auto* refusal = std::get_if<RoutingRefusal>(&verdict)) {
    log_->Write(EventId::kCallerRequestRefused,
                {{"request", refusal->request_id},
                 {"reason", std::string(ToString(refusal->reason))},
                 {"detail", refusal->explanation}});
    result.outcome = Unknown{UnknownReason::kRefusedUnchecked};
    return result;
  }
  auto& routed = std::get<RoutedRequest>(verdict);
  routed.deadline =
      std::min(routed.deadline, request.arrived + message.time_left);
  ExecutionRequest execution;
  execution.key = message.key;
  execution.dispatch = DispatchOf(routed, request);
  execution.body = request.body;
  return executor_->ExecuteForwarded(std::move(execution));
}

DispatchRequest RequestPipeline::DispatchOf(
    const RoutedRequest& routed, const CallerRequest& request) const {
  DispatchRequest dispatch;
  dispatch.request_id = routed.request_id;
  dispatch.method = request.method;
  dispatch.target = request.target;
  dispatch.headers = ForwardedHeaders(request.headers);
  dispatch.body = request.body;
  dispatch.route = routed.route->name;
  dispatch.service = routed.service;
  dispatch.home_regions = routed.home_regions;
  dispatch.organisation = routed.organisation->name;
  dispatch.weight = routed.organisation->weight;
  dispatch.idempotent = routed.route->idempotent;
  dispatch.deadline = routed.deadline;
  return dispatch;
}

CallerResponse RequestPipeline::RefusalResponse(
    const RoutingRefusal& refusal, const CallerRequest& request) const {
  metrics_->RequestRefused(refusal.reason);
  log_->Write(EventId::kCallerRequestRefused,
              {{"request", refusal.request_id},
               {"reason", std::string(ToString(refusal.reason))},
               {"detail", refusal.explanation}});
  CallerResponse response =
      refusal.may_have_run_before
          ? RefuseUnchecked(refusal.reason, refusal.explanation, request)
          : ErrorResponse(NotRun{refusal.reason}, refusal.explanation);
  std::string home_regions;
  for (const RegionName& home : refusal.home_regions) {
    home_regions += (home_regions.empty() ? "" : ", ") + home.str();
  }
  if (!home_regions.empty()) {
    response.headers.emplace_back("Heatherlatch-Home-Regions", home_regions);
  }
  return response;
}

CallerResponse RequestPipeline::ErrorResponse(
    const Outcome& outcome, const std::string& explanation) const {
  return BuildErrorResponse(outcome, outcome, explanation);
}

CallerResponse RequestPipeline::RefuseUnchecked(
    NotRunReason reason, const std::string& explanation,
    const CallerRequest& request) const {
  const bool has_key =
      FindHeader(request.headers, caller_header::kTicket).has_value() ||
      FindHeader(request.headers, caller_header::kIdempotencyKey).has_value();
  const Outcome refusal = NotRun{reason};
  if (!has_key) return BuildErrorResponse(refusal, refusal, explanation);
  return BuildErrorResponse(Unknown{UnknownReason::kRefusedUnchecked}, refusal,
                            explanation);
}

CallerResponse RequestPipeline::BuildErrorResponse(
    const Outcome& outcome, const Outcome& cause,
    const std::string& explanation) const {
  CallerResponse response;
  response.status = StatusOf(cause);
  const std::string reason = ReasonOf(cause);
  const nlohmann::json body = {{"outcome", ToString(outcome)},
                               {"reason", reason},
                               {"explanation", explanation}};
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  response.headers.emplace_back("Content-Type", "application/json");
  response.headers.emplace_back(caller_header::kReason, reason);
  if (response.status == 503) {
    response.headers.emplace_back(caller_header::kRetryAfter,
                                  kRetryAfterSeconds);
  }
  AddOutcomeHeaders(&response.headers, outcome);
  return response;
}

void RequestPipeline::AddOutcomeHeaders(HeaderList* headers,
                                        const Outcome& outcome) const {
  headers->emplace_back(caller_header::kOutcome, ToString(outcome));
  headers->emplace_back(caller_header::kHost, self_.incarnation.host.str());
}

void RequestPipeline::Record(const RoutedRequest& routed,
                             const CallerRequest& request,
                             const Outcome& outcome, Duration backend_time) {
  const Duration total = SteadyClock::now() - request.arrived;
  metrics_->RequestEnded(routed.service->name, outcome, total,
                         total - backend_time);
  if (const auto* not_run = std::get_if<NotRun>(&outcome)) {
    metrics_->RequestRefused(not_run->reason);
    if (not_run->reason == NotRunReason::kCallerDisconnected) {
      log_->Write(EventId::kCallerGone, {{"request", routed.request_id}});
    }
  }
  if (!log_->ShouldWrite(EventId::kRequestEnded)) return;
  log_->Write(EventId::kRequestEnded,
              {{"request", routed.request_id},
               {"route", routed.route->name.str()},
               {"outcome", std::string(ToString(outcome))},
               {"reason", ReasonOf(outcome)},
               {"total_ms", std::to_string(ToMilliseconds(total))}});
}

std::string RequestPipeline::NewRequestId() {
  char text[40];
  std::snprintf(text, sizeof(text), "%08x-%llu",
                static_cast<unsigned>(self_.incarnation.nonce),
                static_cast<unsigned long long>(  // NOLINT(google-runtime-int)
                    next_request_.fetch_add(1)));
  return text;
}

}  // namespace heatherlatch
