#include "heatherlatch/entry/caller_server.h"

#include <microhttpd.h>
#include <sys/socket.h>
#include <ulfius.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "heatherlatch/entry/internal/http_listener.h"

namespace heatherlatch {
namespace {

constexpr const char* kTicketsPath = "/heatherlatch/v1/tickets";
constexpr const char* kReadyPath = "/heatherlatch/v1/ready";
constexpr int kMaxTicketsPerRequest = 1000;
constexpr std::size_t kStreamBlockBytes = 64 * 1024;

// @return whether the caller has closed its connection
bool IsClosedByCaller(int socket) {
  if (socket < 0) return false;
  char byte = 0;
  const ssize_t peeked = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (peeked == 0) return true;
  const bool no_data = errno == EAGAIN || errno == EWOULDBLOCK;
  return peeked < 0 && !no_data;
}

HeaderList HeadersOf(const _u_request* request) {
  HeaderList headers;
  const char** keys = u_map_enum_keys(request->map_header);
  for (int i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
    const char* value = u_map_get(request->map_header, keys[i]);
    headers.emplace_back(keys[i], value == nullptr ? "" : value);
  }
  return headers;
}

CallerRequest RequestOf(const _u_request* request) {
  CallerRequest converted;
  converted.method = request->http_verb;
  converted.target = request->http_url;
  converted.headers = HeadersOf(request);
  if (request->binary_body != nullptr) {
    converted.body.assign(static_cast<const char*>(request->binary_body),
                          request->binary_body_length);
  }
  converted.arrived = SteadyClock::now();
  const int socket = HttpListener::SocketOfThisThread();
  converted.cancelled = [socket] { return IsClosedByCaller(socket); };
  return converted;
}

// @return whether the body does not have the length that header Content-Length
//         declares, or the header is not a number; false if it is absent
bool HasWrongBodyLength(const CallerRequest& request) {
  const auto declared = FindHeader(request.headers, "Content-Length");
  if (!declared) return false;
  std::uint64_t length = 0;
  const char* end = declared->data() + declared->size();
  const auto parsed = std::from_chars(declared->data(), end, length);
  return parsed.ec != std::errc() || length != request.body.size();
}

// @return whether the HTTP server sets this header itself
bool IsSetByServer(std::string_view name) {
  return SameHeaderName(name, "Content-Length") ||
         SameHeaderName(name, "Transfer-Encoding") ||
         SameHeaderName(name, "Connection") || SameHeaderName(name, "Date");
}

void SetHeaders(const HeaderList& headers, _u_response* response) {
  for (const auto& [name, value] : headers) {
    if (IsSetByServer(name)) continue;
    u_map_put(response->map_header, name.c_str(), value.c_str());
  }
}

int SetResponse(const CallerResponse& source, _u_response* response) {
  SetHeaders(source.headers, response);
  ulfius_set_binary_body_response(response,
                                  static_cast<unsigned int>(source.status),
                                  source.body.data(), source.body.size());
  return U_CALLBACK_COMPLETE;
}

CallerResponse JsonResponse(int status, const nlohmann::json& body) {
  return CallerResponse{
      status, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

// A download in progress. Its own thread runs `RequestPipeline::Stream`, which
// writes the response to the pipe; the thread of the connection reads the pipe.
class Download {
 public:
  Download(RequestPipeline* pipeline, RoutedRequest routed,
           CallerRequest request)
      : routed_(std::move(routed)), request_(std::move(request)) {
    stream_thread_ = std::thread(
        [this, pipeline] { pipeline->Stream(routed_, request_, &pipe_); });
  }
  ~Download() {
    pipe_.Close();
    stream_thread_.join();
  }
  Download(const Download&) = delete;
  Download& operator=(const Download&) = delete;

  ResponsePipe* pipe() { return &pipe_; }

 private:
  RoutedRequest routed_;
  CallerRequest request_;
  ResponsePipe pipe_;
  std::thread stream_thread_;
};

ssize_t ReadDownload(void* data, std::uint64_t, char* out, std::size_t size) {
  auto* download = static_cast<Download*>(data);
  std::size_t read = 0;
  switch (download->pipe()->Read(out, size, &read)) {
    case ReadStatus::kData:
      return static_cast<ssize_t>(read);
    case ReadStatus::kEnd:
      return U_STREAM_END;
    case ReadStatus::kTruncated:
      return U_STREAM_ERROR;
  }
  return U_STREAM_ERROR;
}

void FreeDownload(void* data) { delete static_cast<Download*>(data); }

int StartDownload(RequestPipeline* pipeline, RoutedRequest routed,
                  CallerRequest request, _u_response* response) {
  auto download = std::make_unique<Download>(pipeline, std::move(routed),
                                             std::move(request));
  const StreamStart start = download->pipe()->WaitForStart();
  if (const auto* caller_response = std::get_if<CallerResponse>(&start)) {
    return SetResponse(*caller_response, response);
  }
  const auto& head = std::get<StreamHead>(start);
  SetHeaders(head.headers, response);
  ulfius_set_stream_response(
      response, static_cast<unsigned int>(head.status), &ReadDownload,
      &FreeDownload, head.content_length.value_or(U_STREAM_SIZE_UNKNOWN),
      kStreamBlockBytes, download.release());
  return U_CALLBACK_COMPLETE;
}

// @return the number of tickets requested, 1 by default; 0 if it is not valid
int TicketCount(const _u_request* request) {
  const char* text = u_map_get(request->map_url, "count");
  if (text == nullptr) return 1;
  int count = 0;
  const char* end = text + std::string_view(text).size();
  const auto parsed = std::from_chars(text, end, count);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end;
  return valid && count >= 1 && count <= kMaxTicketsPerRequest ? count : 0;
}

}  // namespace

class CallerServer::Impl {
 public:
  Impl(CallerServerOptions options, RequestPipeline* pipeline,
       Executor* executor, std::function<bool()> ready)
      : options_(std::move(options)),
        pipeline_(pipeline),
        executor_(executor),
        ready_(std::move(ready)),
        listener_(ListenerOptions()) {
    listener_.Add("POST", kTicketsPath, &OnTickets, this);
    listener_.Add("GET", kReadyPath, &OnReady, this);
    listener_.SetDefault(&OnRequest, this);
  }

  HttpListener* listener() { return &listener_; }

 private:
  HttpListenerOptions ListenerOptions() const {
    HttpListenerOptions options;
    options.listen = options_.listen;
    options.max_connections = options_.max_connections;
    // The listener drops bytes beyond its limit. With a limit one byte above
    // the allowed size, a body that is too large still exceeds that size.
    options.max_body_bytes = options_.max_body_bytes + 1;
    options.idle_timeout = options_.idle_timeout;
    return options;
  }

  static int OnRequest(const _u_request* request, _u_response* response,
                       void* data) {
    auto* self = static_cast<Impl*>(data);
    CallerRequest converted = RequestOf(request);
    if (converted.body.size() > self->options_.max_body_bytes) {
      return SetResponse(
          self->pipeline_->Refuse(converted, NotRunReason::kTooLarge,
                                  "the body is larger than this host "
                                  "takes"),
          response);
    }
    if (HasWrongBodyLength(converted)) {
      return SetResponse(
          self->pipeline_->Refuse(
              converted, NotRunReason::kMalformedRequest,
              "the body is not as long as header Content-Length says"),
          response);
    }
    RequestPipeline::StreamOrResponse start = self->pipeline_->Begin(converted);
    if (const auto* caller_response = std::get_if<CallerResponse>(&start)) {
      return SetResponse(*caller_response, response);
    }
    return StartDownload(self->pipeline_,
                         std::get<RoutedRequest>(std::move(start)),
                         std::move(converted), response);
  }

  static int OnTickets(const _u_request* request, _u_response* response,
                       void* data) {
    auto* self = static_cast<Impl*>(data);
    const int count = TicketCount(request);
    if (count == 0) {
      return SetResponse(
          JsonResponse(400,
                       {{"explanation",
                         "parameter count is not a number from 1 to 1000"}}),
          response);
    }
    if (!self->ready_()) {
      return SetResponse(
          JsonResponse(503, {{"explanation", "this host is stopping"}}),
          response);
    }
    nlohmann::json tickets = nlohmann::json::array();
    for (const Ticket& ticket : self->executor_->IssueTickets(count)) {
      tickets.push_back(ToString(ticket));
    }
    return SetResponse(JsonResponse(200, {{"tickets", tickets}}), response);
  }

  static int OnReady(const _u_request*, _u_response* response, void* data) {
    auto* self = static_cast<Impl*>(data);
    const bool ready = self->ready_();
    return SetResponse(JsonResponse(ready ? 200 : 503, {{"ready", ready}}),
                       response);
  }

  const CallerServerOptions options_;
  RequestPipeline* const pipeline_;
  Executor* const executor_;
  const std::function<bool()> ready_;
  HttpListener listener_;
};

CallerServer::CallerServer(CallerServerOptions options,
                           RequestPipeline* pipeline, Executor* executor,
                           std::function<bool()> ready)
    : impl_(std::make_unique<Impl>(std::move(options), pipeline, executor,
                                   std::move(ready))) {}

CallerServer::~CallerServer() { Stop(); }

Result<void> CallerServer::Start() { return impl_->listener()->Start(); }

void CallerServer::StopListening() { impl_->listener()->StopListening(); }

void CallerServer::Stop() { impl_->listener()->Stop(); }

std::string ToString(const ServerError& error) {
  const std::string subject = "endpoint " + ToString(error.endpoint) + " ";
  switch (error.problem) {
    case ServerProblem::kBadAddress:
      return subject + "is not a numeric IPv4 address and port";
    case ServerProblem::kListenFailed:
      return subject + "cannot be listened on; another program may use it";
  }
  return subject + "cannot be used";
}

}  // namespace heatherlatch
