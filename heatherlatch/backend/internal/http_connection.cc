#include "heatherlatch/backend/internal/http_connection.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "heatherlatch/backend/internal/request_lines.h"

namespace heatherlatch::internal {
namespace {

constexpr std::uint64_t kMaxTrailerBytes = 65536;
constexpr long kReceiveBufferBytes = 65536;  // NOLINT(google-runtime-int)

// Refused requests that a connection remembers.
constexpr std::size_t kMaxRefusedRequests = 128;

// Prefix of the debug message that libcurl writes when it discards bytes after
// the final chunk of a body. libcurl reports this in no other way.
constexpr std::string_view kLeftoversText = "Leftovers after chunking";

// Initialises libcurl once for the process.
void InitialiseCurl() {
  static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(result);
}

std::chrono::milliseconds PollTimeout(TimePoint now, TimePoint deadline) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
  return std::clamp(left, std::chrono::milliseconds(0),
                    kCancellationPollInterval);
}

// @return the number of bytes that the connection has received since it was
//     opened, or std::nullopt if the kernel does not report it
std::optional<std::uint64_t> BytesReceived(curl_socket_t socket) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return info.tcpi_bytes_received;
}

bool IsComplete(BodyEnd body_end, const ResponseHead& head,
                std::uint64_t body_bytes) {
  switch (body_end) {
    case BodyEnd::kNone:
      return body_bytes == 0;
    case BodyEnd::kLength:
      return body_bytes == head.content_length;
    case BodyEnd::kFinalChunk:
      return true;  // libcurl fails the exchange if the final chunk is missing.
    case BodyEnd::kConnectionClose:
      return false;
  }
  return false;
}

ExchangeFailure FailureOf(CURLcode code, bool sent, bool head_complete) {
  switch (code) {
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:  // Response without a status line.
    case CURLE_BAD_CONTENT_ENCODING:
      return ExchangeFailure::kMalformedResponse;
    case CURLE_PARTIAL_FILE:
      return head_complete ? ExchangeFailure::kIncompleteBody
                           : ExchangeFailure::kConnectionLost;
    default:
      return sent ? ExchangeFailure::kConnectionLost
                  : ExchangeFailure::kConnectFailed;
  }
}

}  // namespace

// State of one exchange, updated by the libcurl callbacks.
struct HttpConnection::Exchange {
  Exchange(const HttpRequest& request, const ResponseSink& response_sink)
      : sink(response_sink),
        request_id(request.request_id),
        parser(request.method == "HEAD"),
        start(SteadyClock::now()) {}

  bool HandleHeadLine(std::string_view line);
  bool HandleCompleteHead();
  bool HandleBody(std::string_view data);
  bool Fail(ExchangeFailure failure) {
    end.failure = failure;
    return false;
  }

  const ResponseSink& sink;
  const std::string& request_id;
  ResponseHeadParser parser;
  bool on_kept_connection = false;
  bool head_complete = false;
  bool has_leftovers = false;  // Bytes arrived after the final chunk.
  std::uint64_t head_bytes = 0;
  std::uint64_t trailer_bytes = 0;  // Part of `head_bytes`.
  TimePoint start;
  ExchangeResult end;
};

bool HttpConnection::Exchange::HandleHeadLine(std::string_view line) {
  if (end.time_to_first_byte == Duration::zero()) {
    end.time_to_first_byte = SteadyClock::now() - start;
  }
  head_bytes += line.size();
  if (head_complete) {  // A trailer.
    trailer_bytes += line.size();
    return trailer_bytes <= kMaxTrailerBytes ||
           Fail(ExchangeFailure::kMalformedResponse);
  }
  switch (parser.ParseLine(line)) {
    case HeadProgress::kIncomplete:
      return true;
    case HeadProgress::kMalformed:
      return Fail(ExchangeFailure::kMalformedResponse);
    case HeadProgress::kComplete:
      return HandleCompleteHead();
  }
  return false;
}

bool HttpConnection::Exchange::HandleCompleteHead() {
  const std::string& response_id = parser.request_id();
  const bool comparable = !response_id.empty() && !request_id.empty();
  if (comparable && response_id != request_id) {
    return Fail(ExchangeFailure::kMalformedResponse);
  }
  const bool may_be_repeated = on_kept_connection && !comparable;
  if (parser.refusal() && may_be_repeated && !request_id.empty()) {
    return Fail(ExchangeFailure::kMalformedResponse);
  }
  head_complete = true;
  end.status = parser.head().status;
  end.server_status = parser.server_status();
  end.refusal = parser.refusal();
  if (end.refusal || !sink.on_head) return true;
  end.head_delivered = true;
  return sink.on_head(parser.head()) || Fail(ExchangeFailure::kCancelled);
}

bool HttpConnection::Exchange::HandleBody(std::string_view data) {
  if (!head_complete) return Fail(ExchangeFailure::kMalformedResponse);
  end.body_bytes += data.size();
  if (end.refusal || !sink.on_data) return true;
  return sink.on_data(data) || Fail(ExchangeFailure::kCancelled);
}

HttpConnection::HttpConnection(Endpoint endpoint, Duration connect_timeout)
    : endpoint_(std::move(endpoint)) {
  InitialiseCurl();
  multi_ = curl_multi_init();
  easy_ = curl_easy_init();
  SetConstantOptions(connect_timeout);
}

HttpConnection::~HttpConnection() {
  curl_multi_remove_handle(multi_, easy_);
  curl_easy_cleanup(easy_);
  curl_multi_cleanup(multi_);
}

void HttpConnection::SetConstantOptions(Duration connect_timeout) {
  const auto connect_milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(connect_timeout).count();
  const std::string url = "http://" + ToString(endpoint_) + "/";
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 1L);
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION,
                   static_cast<std::int64_t>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy_, CURLOPT_HTTP09_ALLOWED, 0L);
  curl_easy_setopt(easy_, CURLOPT_HTTP_CONTENT_DECODING, 0L);
  curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<std::int64_t>(connect_milliseconds));
  curl_easy_setopt(easy_, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
  curl_easy_setopt(easy_, CURLOPT_DEBUGFUNCTION, &OnDebug);
  curl_easy_setopt(easy_, CURLOPT_DEBUGDATA, this);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, this);
}

void HttpConnection::SetMethod(const HttpRequest& request) {
  const std::string method = MethodToken(request.method);
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, nullptr);
  curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);  // Also clears NOBODY.
  if (method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    return;
  }
  const bool sends_length = !request.body.empty() || method == "POST" ||
                            method == "PUT" || method == "PATCH";
  if (sends_length) {
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS,
                     request.body.empty() ? "" : request.body.data());
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
  if (method != (sends_length ? "POST" : "GET")) {
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, method.c_str());
  }
}

ExchangeResult HttpConnection::Run(const HttpRequest& request,
                                   const ResponseSink& sink,
                                   TimePoint deadline) {
  Exchange exchange(request, sink);
  exchange.on_kept_connection = idle_socket_ != CURL_SOCKET_BAD;
  HeaderLines header_lines(request.headers);
  SetMethod(request);
  curl_easy_setopt(easy_, CURLOPT_VERBOSE, 0L);
  curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET,
                   EncodeTarget(request.target).c_str());
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_lines.get());

  exchange_ = &exchange;
  curl_multi_add_handle(multi_, easy_);
  const std::optional<CURLcode> code =
      PerformTransfer(&exchange, sink, deadline);
  ExchangeResult& end = exchange.end;
  if (!end.failure && code && *code != CURLE_OK) {
    end.failure = FailureOf(*code, end.sent, exchange.head_complete);
  }
  const bool complete = exchange.head_complete &&
                        IsComplete(exchange.parser.body_end(),
                                   exchange.parser.head(), end.body_bytes);
  if (!end.failure && !complete) {
    end.failure = exchange.head_complete ? ExchangeFailure::kIncompleteBody
                                         : ExchangeFailure::kConnectionLost;
  }
  // NOLINTNEXTLINE(google-runtime-int)
  long new_connections = 0;
  curl_easy_getinfo(easy_, CURLINFO_NUM_CONNECTS, &new_connections);
  end.new_connection = new_connections > 0;
  // libcurl returns the socket only while the handle belongs to `multi_`.
  curl_easy_getinfo(easy_, CURLINFO_ACTIVESOCKET, &idle_socket_);
  curl_multi_remove_handle(multi_, easy_);
  if (end.refusal && !request.request_id.empty()) {
    refused_requests_.insert(request.request_id);
  }
  end.reusable = !end.failure && ReceivedOnlyResponse(exchange) &&
                 refused_requests_.size() <= kMaxRefusedRequests;
  exchange_ = nullptr;
  end.total = SteadyClock::now() - exchange.start;
  return end;
}

std::optional<CURLcode> HttpConnection::PerformTransfer(
    Exchange* exchange, const ResponseSink& sink, TimePoint deadline) {
  while (true) {
    int running = 0;
    curl_multi_perform(multi_, &running);
    if (running == 0) break;
    const TimePoint now = SteadyClock::now();
    if (now >= deadline) {
      exchange->Fail(ExchangeFailure::kTimedOut);
      return std::nullopt;
    }
    if (sink.cancelled && sink.cancelled()) {
      exchange->Fail(ExchangeFailure::kCancelled);
      return std::nullopt;
    }
    const auto wait = static_cast<int>(PollTimeout(now, deadline).count());
    curl_multi_poll(multi_, nullptr, 0, wait, nullptr);
  }
  int left = 0;
  const CURLMsg* message = curl_multi_info_read(multi_, &left);
  if (message == nullptr) return CURLE_FAILED_INIT;
  return message->data.result;
}

bool HttpConnection::ReceivedOnlyResponse(const Exchange& exchange) {
  if (idle_socket_ == CURL_SOCKET_BAD || exchange.has_leftovers) return false;
  const std::optional<std::uint64_t> received = BytesReceived(idle_socket_);
  if (!received) return false;
  const std::uint64_t received_before =
      exchange.end.new_connection ? 0 : bytes_received_;
  bytes_received_ = *received;
  // The size of a chunked body on the wire is not known here.
  if (exchange.parser.body_end() == BodyEnd::kFinalChunk) return true;
  return *received - received_before ==
         exchange.head_bytes + exchange.end.body_bytes;
}

bool HttpConnection::IsIdleAndOpen() const {
  if (idle_socket_ == CURL_SOCKET_BAD) return false;
  char byte = 0;
  const ssize_t received =
      recv(idle_socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::size_t HttpConnection::OnHeaderLine(char* data, std::size_t size,
                                         std::size_t count, void* connection) {
  auto* self = static_cast<HttpConnection*>(connection);
  const std::size_t bytes = size * count;
  Exchange* exchange = self->exchange_;
  if (!exchange->HandleHeadLine(std::string_view(data, bytes))) return 0;
  if (exchange->parser.body_end() == BodyEnd::kFinalChunk) {
    curl_easy_setopt(self->easy_, CURLOPT_VERBOSE, 1L);
  }
  return bytes;
}

std::size_t HttpConnection::OnBody(char* data, std::size_t size,
                                   std::size_t count, void* connection) {
  const std::size_t bytes = size * count;
  const bool accepted =
      static_cast<HttpConnection*>(connection)
          ->exchange_->HandleBody(std::string_view(data, bytes));
  return accepted ? bytes : 0;
}

int HttpConnection::OnDebug(CURL* /*easy*/, curl_infotype type, char* data,
                            std::size_t size, void* connection) {
  Exchange* exchange = static_cast<HttpConnection*>(connection)->exchange_;
  if (type != CURLINFO_TEXT || exchange == nullptr) return 0;
  const std::string_view text(data, size);
  if (text.substr(0, kLeftoversText.size()) == kLeftoversText) {
    exchange->has_leftovers = true;
  }
  return 0;
}

int HttpConnection::OnBeforeSend(void* connection, char* /*remote_ip*/,
                                 char* /*local_ip*/, int /*remote_port*/,
                                 int /*local_port*/) {
  ExchangeResult& end =
      static_cast<HttpConnection*>(connection)->exchange_->end;
  if (end.sent) return CURL_PREREQFUNC_ABORT;
  end.sent = true;
  return CURL_PREREQFUNC_OK;
}

curl_socket_t HttpConnection::OnOpenSocket(void* connection,
                                           curlsocktype /*purpose*/,
                                           curl_sockaddr* address) {
  Exchange& exchange = *static_cast<HttpConnection*>(connection)->exchange_;
  if (exchange.end.sent) return CURL_SOCKET_BAD;
  exchange.on_kept_connection = false;
  return socket(address->family, address->socktype | SOCK_CLOEXEC,
                address->protocol);
}

}  // namespace heatherlatch::internal
