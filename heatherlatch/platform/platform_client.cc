#include "heatherlatch/platform/platform_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/backend/internal/http_connection.h"
#include "heatherlatch/backend/internal/response_head_parser.h"

namespace heatherlatch {
namespace {

using internal::ExchangeFailure;
using internal::ExchangeResult;
using internal::HttpRequest;
using Json = nlohmann::json;

constexpr std::chrono::seconds kConnectTimeout(2);
// Time for the response to arrive after the wait of the service is over.
constexpr std::chrono::seconds kResponseGrace(2);
constexpr std::size_t kMaxDocumentBytes = 1 << 20;
constexpr std::size_t kMaxListBytes = 8 << 20;
constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;

// A complete response of the platform.
struct PlatformResponse {
  int status = 0;
  HeaderList headers;
  std::string body;
};

PlatformProblem ProblemOf(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kTimedOut:
      return PlatformProblem::kTimedOut;
    case ExchangeFailure::kIncompleteBody:
    case ExchangeFailure::kMalformedResponse:
      return PlatformProblem::kMalformed;
    case ExchangeFailure::kConnectFailed:
    case ExchangeFailure::kConnectionLost:
    case ExchangeFailure::kCancelled:
      return PlatformProblem::kUnreachable;
  }
  return PlatformProblem::kUnreachable;
}

std::string DetailOf(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kTimedOut:
      return "no complete response before the deadline";
    case ExchangeFailure::kIncompleteBody:
      return "the response ended before its declared length";
    case ExchangeFailure::kMalformedResponse:
      return "the response is not valid HTTP";
    case ExchangeFailure::kConnectFailed:
      return "the connection could not be established";
    case ExchangeFailure::kConnectionLost:
      return "the connection was lost during the call";
    case ExchangeFailure::kCancelled:
      return "the call was cancelled";
  }
  return "the call failed";
}

Result<PlatformResponse> Get(const Endpoint& endpoint,
                             const std::string& target, std::size_t max_bytes,
                             Duration timeout,
                             const std::function<bool()>& cancelled) {
  HttpRequest request;
  request.method = "GET";
  request.target = target;
  PlatformResponse response;
  bool too_large = false;
  ResponseSink sink;
  sink.on_head = [&response](const ResponseHead& head) {
    response.status = head.status;
    response.headers = head.headers;
    return true;
  };
  sink.on_data = [&](std::string_view data) {
    too_large = response.body.size() + data.size() > max_bytes;
    if (!too_large) response.body += data;
    return !too_large;
  };
  sink.cancelled = cancelled;
  internal::HttpConnection connection(endpoint, kConnectTimeout);
  const ExchangeResult end =
      connection.Run(request, sink, SteadyClock::now() + timeout);
  const std::string call = "GET " + target;
  if (too_large) {
    return Fail(PlatformError{
        PlatformProblem::kMalformed, call,
        "the response is larger than " + std::to_string(max_bytes) + " bytes"});
  }
  if (end.failure) {
    return Fail(
        PlatformError{ProblemOf(*end.failure), call, DetailOf(*end.failure)});
  }
  return response;
}

PlatformError RefusedError(const std::string& call, int status) {
  return {PlatformProblem::kRefused, call,
          "the response has status " + std::to_string(status)};
}

std::optional<Revision> RevisionOf(const HeaderList& headers) {
  for (const auto& [name, value] : headers) {
    if (!internal::EqualsIgnoringCase(name, "x-revision")) continue;
    Revision revision = 0;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, revision);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
    return revision;
  }
  return std::nullopt;
}

// Reads the fields of one list; records the first problem.
class ListReader {
 public:
  PlatformList Read(const Json& document) {
    PlatformList list;
    if (!document.is_object()) {
      problem_ = "the list is not a JSON object";
      return list;
    }
    for (const Json& item : ReadArray(document, "hosts")) {
      list.hosts.push_back(ReadHost(item));
    }
    for (const Json& item : ReadArray(document, "servers")) {
      list.servers.push_back(ReadServer(item));
    }
    return list;
  }

  const std::string& problem() const { return problem_; }

 private:
  ListedHost ReadHost(const Json& item) {
    ListedHost host;
    host.name = HostName(ReadText(item, "name"));
    host.region = RegionName(ReadText(item, "region"));
    host.zone = ZoneName(ReadText(item, "zone"));
    host.peer_endpoint = ReadEndpoint(ReadText(item, "peer_endpoint"));
    host.leaving = ReadLeaving(item);
    return host;
  }

  ListedServer ReadServer(const Json& item) {
    return {BackendServerName(ReadText(item, "name")), ReadLeaving(item)};
  }

  Json ReadArray(const Json& document, const char* field) {
    const auto found = document.find(field);
    if (found == document.end() || !found->is_array()) {
      RecordProblem(std::string("field \"") + field +
                    "\" is missing or not a list");
      return Json::array();
    }
    return *found;
  }

  std::string ReadText(const Json& item, const char* field) {
    const auto found = item.find(field);
    if (found == item.end() || !found->is_string()) {
      RecordProblem(std::string("field \"") + field +
                    "\" of an entry is missing or not a text");
      return "";
    }
    return found->get<std::string>();
  }

  bool ReadLeaving(const Json& item) {
    const std::string state = ReadText(item, "state");
    if (state != "live" && state != "leaving") {
      RecordProblem("state \"" + state +
                    "\" is neither \"live\" nor \"leaving\"");
    }
    return state == "leaving";
  }

  Endpoint ReadEndpoint(const std::string& text) {
    return boost::leaf::try_handle_all(
        [&]() -> Result<Endpoint> { return ParseEndpoint(text); },
        [&](const EndpointError& error) {
          RecordProblem(ToString(error));
          return Endpoint();
        },
        [&] {
          RecordProblem("peer_endpoint is not valid");
          return Endpoint();
        });
  }

  void RecordProblem(std::string problem) {
    if (problem_.empty()) problem_ = std::move(problem);
  }

  std::string problem_;
};

std::string_view ToText(PlatformProblem problem) {
  switch (problem) {
    case PlatformProblem::kUnreachable:
      return "unreachable";
    case PlatformProblem::kTimedOut:
      return "timed out";
    case PlatformProblem::kRefused:
      return "refused";
    case PlatformProblem::kMalformed:
      return "malformed response";
  }
  return "failed";
}

}  // namespace

PlatformClient::PlatformClient(Endpoint endpoint,
                               std::function<bool()> stopping)
    : endpoint_(std::move(endpoint)), stopping_(std::move(stopping)) {}

Result<std::optional<ConfigurationDocument>> PlatformClient::WatchConfiguration(
    Revision after, Duration wait) {
  const auto wait_milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string target =
      "/v1/configuration?after=" + std::to_string(after) +
      "&wait_ms=" + std::to_string(wait_milliseconds);
  BOOST_LEAF_AUTO(response, Get(endpoint_, target, kMaxDocumentBytes,
                                wait + kResponseGrace, stopping_));
  const std::string call = "GET " + target;
  if (response.status == kStatusNoContent) return std::nullopt;
  if (response.status != kStatusOk) {
    return Fail(RefusedError(call, response.status));
  }
  const std::optional<Revision> revision = RevisionOf(response.headers);
  if (!revision) {
    return Fail(PlatformError{PlatformProblem::kMalformed, call,
                              "header X-Revision is missing or not a number"});
  }
  if (*revision <= after) return std::nullopt;
  return ConfigurationDocument{*revision, std::move(response.body)};
}

Result<PlatformList> PlatformClient::ReadList(Duration timeout) {
  const std::string target = "/v1/hosts";
  BOOST_LEAF_AUTO(response,
                  Get(endpoint_, target, kMaxListBytes, timeout, stopping_));
  const std::string call = "GET " + target;
  if (response.status != kStatusOk) {
    return Fail(RefusedError(call, response.status));
  }
  ListReader reader;
  PlatformList list = reader.Read(Json::parse(response.body, nullptr, false));
  if (!reader.problem().empty()) {
    return Fail(
        PlatformError{PlatformProblem::kMalformed, call, reader.problem()});
  }
  return list;
}

std::string ToString(const PlatformError& error) {
  return error.call + ": " + std::string(ToText(error.problem)) + ": " +
         error.detail;
}

}  // namespace heatherlatch
