#include "heatherlatch/backend/backend_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "heatherlatch/backend/internal/connection_pool.h"
#include "heatherlatch/backend/internal/http_connection.h"
#include "heatherlatch/backend/internal/response_head_parser.h"

namespace heatherlatch {
namespace {

using internal::EqualsIgnoringCase;
using internal::ExchangeFailure;
using internal::ExchangeResult;
using internal::HttpRequest;
using internal::IsHopByHopHeader;
using internal::PooledConnection;
using internal::SplitList;

constexpr std::size_t kMaxHealthBytes = 4096;

// Headers that the client generates itself.
constexpr std::string_view kOwnHeaders[] = {"content-length",  "expect",
                                            "idempotency-key", "x-request-id",
                                            "x-deadline-at",   "x-deadline-ms"};

bool IsOwnHeader(std::string_view name) {
  return std::any_of(
      std::begin(kOwnHeaders), std::end(kOwnHeaders),
      [name](auto header) { return EqualsIgnoringCase(header, name); });
}

std::vector<std::string> ConnectionOptions(const HeaderList& headers) {
  std::vector<std::string> options;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoringCase(name, "connection")) continue;
    for (std::string& option : SplitList(value)) {
      options.push_back(std::move(option));
    }
  }
  return options;
}

HeaderList ForwardedHeaders(const HeaderList& headers) {
  constexpr std::size_t kAddedHeaders = 4;
  const std::vector<std::string> options = ConnectionOptions(headers);
  HeaderList forwarded;
  forwarded.reserve(headers.size() + kAddedHeaders);
  for (const auto& header : headers) {
    const std::string& name = header.first;
    const bool is_option = std::any_of(
        options.begin(), options.end(), [&name](const auto& option) {
          return EqualsIgnoringCase(option, name);
        });
    if (is_option || IsHopByHopHeader(name) || IsOwnHeader(name)) continue;
    forwarded.push_back(header);
  }
  return forwarded;
}

void AddDeadline(HeaderList* headers, Duration time_left) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto wall_deadline =
      std::chrono::system_clock::now().time_since_epoch() + time_left;
  const auto milliseconds_left = duration_cast<milliseconds>(time_left).count();
  const auto deadline_milliseconds =
      duration_cast<milliseconds>(wall_deadline).count();
  headers->emplace_back("X-Deadline-Ms", std::to_string(milliseconds_left));
  headers->emplace_back("X-Deadline-At", std::to_string(deadline_milliseconds));
}

HttpRequest ToHttpRequest(const BackendRequest& request, Duration time_left) {
  HttpRequest http;
  http.method = request.method;
  http.target = request.target;
  http.headers = ForwardedHeaders(request.headers);
  http.body = request.body;
  http.request_id = request.request_id;
  if (!request.request_id.empty()) {
    http.headers.emplace_back("X-Request-Id", request.request_id);
  }
  if (!request.request_key.empty()) {
    http.headers.emplace_back("Idempotency-Key", request.request_key);
  }
  AddDeadline(&http.headers, time_left);
  return http;
}

BackendUnknownReason UnknownReasonOf(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kTimedOut:
      return BackendUnknownReason::kTimedOut;
    case ExchangeFailure::kCancelled:
      return BackendUnknownReason::kCancelled;
    case ExchangeFailure::kIncompleteBody:
      return BackendUnknownReason::kIncompleteBody;
    case ExchangeFailure::kMalformedResponse:
      return BackendUnknownReason::kMalformedResponse;
    case ExchangeFailure::kConnectFailed:
    case ExchangeFailure::kConnectionLost:
      return BackendUnknownReason::kConnectionLost;
  }
  return BackendUnknownReason::kConnectionLost;
}

decltype(BackendResult::outcome) OutcomeOf(const ExchangeResult& exchange) {
  if (exchange.refusal) return BackendNotRun{*exchange.refusal};
  if (!exchange.failure) return BackendResponded{exchange.status};
  if (exchange.sent) {
    return BackendUnknown{UnknownReasonOf(*exchange.failure),
                          exchange.head_delivered};
  }
  if (*exchange.failure == ExchangeFailure::kConnectFailed) {
    return BackendNotRun{BackendNotRunReason::kConnectFailed};
  }
  return BackendNotRun{BackendNotRunReason::kDeadlineTooShort};
}

BackendResult ToBackendResult(const ExchangeResult& exchange) {
  BackendResult result;
  result.outcome = OutcomeOf(exchange);
  result.server_status = exchange.server_status;
  result.time_to_first_byte = exchange.time_to_first_byte;
  result.total = exchange.total;
  result.body_bytes = exchange.body_bytes;
  result.new_connection = exchange.new_connection;
  return result;
}

// Parses the health document in `body` and overwrites the values that were read
// from the response headers.
void ParseHealth(const std::string& body, ServerStatus* server_status) {
  const auto health = nlohmann::json::parse(body, nullptr, false);
  if (!health.is_object()) return;
  const auto boot_id = health.find("boot_id");
  if (boot_id != health.end() && boot_id->is_number_unsigned()) {
    server_status->boot_id = boot_id->get<std::uint64_t>();
  }
  const auto in_flight = health.find("in_flight");
  if (in_flight != health.end() && in_flight->is_number_integer()) {
    server_status->in_flight = in_flight->get<int>();
  }
  const auto state = health.find("state");
  if (state != health.end() && state->is_string()) {
    server_status->cold = *state == "cold";
    server_status->draining = *state == "draining";
  }
}

}  // namespace

class BackendClient::Impl {
 public:
  explicit Impl(BackendClientOptions options) : pool_(options) {}

  ExchangeResult Run(const Endpoint& endpoint, const HttpRequest& request,
                     const ResponseSink& sink, TimePoint deadline) {
    PooledConnection pooled =
        pool_.Acquire(endpoint, request.request_id, SteadyClock::now());
    const ExchangeResult end = pooled.connection->Run(request, sink, deadline);
    if (end.reusable) pool_.Release(std::move(pooled), SteadyClock::now());
    return end;
  }

  void Invalidate(const Endpoint& endpoint) { pool_.Invalidate(endpoint); }

 private:
  internal::ConnectionPool pool_;
};

BackendClient::BackendClient(BackendClientOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

BackendClient::~BackendClient() = default;

BackendResult BackendClient::Call(const BackendRequest& request,
                                  const ResponseSink& sink,
                                  TimePoint deadline) {
  const Duration time_left = deadline - SteadyClock::now();
  if (time_left < std::chrono::milliseconds(1)) {
    BackendResult result;
    result.outcome = BackendNotRun{BackendNotRunReason::kDeadlineTooShort};
    return result;
  }
  const HttpRequest http = ToHttpRequest(request, time_left);
  return ToBackendResult(impl_->Run(request.endpoint, http, sink, deadline));
}

ProbeResult BackendClient::Probe(const Endpoint& endpoint, Duration timeout) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/health";
  std::string body;
  ResponseSink sink;
  sink.on_data = [&body](std::string_view data) {
    body += data;
    return body.size() <= kMaxHealthBytes;
  };
  const ExchangeResult end =
      impl_->Run(endpoint, request, sink, SteadyClock::now() + timeout);
  ProbeResult result;
  result.reachable = !end.failure;
  result.server_status = end.server_status;
  result.round_trip = end.total;
  if (result.reachable) ParseHealth(body, &result.server_status);
  return result;
}

void BackendClient::CloseConnections(const Endpoint& endpoint) {
  impl_->Invalidate(endpoint);
}

}  // namespace heatherlatch
