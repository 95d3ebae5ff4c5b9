// One connection to one HTTP/1.1 server, driven by libcurl.
//
// A request is sent at most once. By default libcurl sends a request again, on
// a new connection, if a reused connection ends before the first byte of a
// response; the server may have run the request by then. A
// CURLOPT_PREREQFUNCTION callback, which libcurl calls before each send, aborts
// the repeated send, and a CURLOPT_OPENSOCKETFUNCTION callback rejects the new
// connection.
//
// Thread safety: not thread-safe; one exchange at a time.
#ifndef HEATHERLATCH_BACKEND_INTERNAL_HTTP_CONNECTION_H_
#define HEATHERLATCH_BACKEND_INTERNAL_HTTP_CONNECTION_H_

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/backend/internal/response_head_parser.h"

namespace heatherlatch::internal {

// How often a running exchange polls `ResponseSink::cancelled`.
constexpr std::chrono::milliseconds kCancellationPollInterval(10);

struct HttpRequest {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string_view body;
  // If this is not empty, a response is rejected as malformed if it has an
  // `X-Request-Id` that differs, or if it is a refusal without one and earlier
  // responses were received on the connection: it may repeat one of them.
  std::string request_id;
};

enum class ExchangeFailure {
  kConnectFailed,
  kTimedOut,
  kCancelled,
  kConnectionLost,
  kIncompleteBody,
  kMalformedResponse,
};

struct ExchangeResult {
  std::optional<ExchangeFailure> failure;  // Empty: the response is complete.
  bool sent = false;            // Bytes of the request may have been sent.
  bool head_delivered = false;  // `on_head` was called.
  int status = 0;               // 0 until a head has arrived.
  std::optional<BackendNotRunReason> refusal;
  ServerStatus server_status;
  Duration time_to_first_byte{};
  Duration total{};
  std::uint64_t body_bytes = 0;
  bool new_connection = false;
  bool reusable = false;  // The connection may carry another exchange.
};

class HttpConnection {
 public:
  HttpConnection(Endpoint endpoint, Duration connect_timeout);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }

  // Sends one request and receives its response. A response in which the server
  // refuses the request is not passed to the sink.
  ExchangeResult Run(const HttpRequest& request, const ResponseSink& sink,
                     TimePoint deadline);

  // @return whether the server refused a request of this ID on this connection,
  //     so that a copy of the refusal could be taken for the next response
  bool HasRefused(const std::string& request_id) const {
    return refused_requests_.count(request_id) > 0;
  }

  // @return whether the idle connection is open and has no unread bytes
  bool IsIdleAndOpen() const;

 private:
  struct Exchange;

  void SetConstantOptions(Duration connect_timeout);
  void SetMethod(const HttpRequest& request);
  std::optional<CURLcode> PerformTransfer(Exchange* exchange,
                                          const ResponseSink& sink,
                                          TimePoint deadline);
  // Updates the count of received bytes.
  // @return whether the connection received no bytes after the response
  bool ReceivedOnlyResponse(const Exchange& exchange);

  static std::size_t OnHeaderLine(char* data, std::size_t size,
                                  std::size_t count, void* connection);
  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* connection);
  static int OnDebug(CURL* easy, curl_infotype type, char* data,
                     std::size_t size, void* connection);
  static int OnBeforeSend(void* connection, char* remote_ip, char* local_ip,
                          int remote_port, int local_port);
  static curl_socket_t OnOpenSocket(void* connection, curlsocktype purpose,
                                    curl_sockaddr* address);

  Endpoint endpoint_;
  CURLM* multi_;
  CURL* easy_;
  Exchange* exchange_ = nullptr;      // Set during `Run`.
  std::uint64_t bytes_received_ = 0;  // At the end of the last exchange.
  curl_socket_t idle_socket_ = CURL_SOCKET_BAD;  // Open between exchanges.
  std::set<std::string> refused_requests_;       // IDs.
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_BACKEND_INTERNAL_HTTP_CONNECTION_H_
