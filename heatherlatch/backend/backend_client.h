// HTTP/1.1 client for backend servers, with pooled connections.
//
// The client alone classifies the outcome of a call:
//   - nothing was sent            -> BackendNotRun: connect failed, or
//                                    kDeadlineTooShort if the deadline passed
//                                    or the call was cancelled
//   - the server refused with status 503 and a known `X-Not-Run` value
//                                 -> BackendNotRun: kShed, kDraining,
//                                    kDeadlineTooShort
//   - a complete response         -> BackendResponded
//   - anything else               -> BackendUnknown
// A response is complete when its declared length or its final chunk has
// arrived. A connection whose exchange did not end with a complete response is
// closed and not reused. docs/INTERFACES.md specifies requests and responses.
//
// A request is sent at most once: if a reused connection ends before the first
// byte of the response, the outcome is BackendUnknown and the request is not
// sent again.
//
// Hop-by-hop headers are removed in both directions. Headers that the client
// generates itself are removed from the caller's request headers. A request
// header with an invalid name or with a line break in its value is not sent.
// Bytes that are not allowed in a request target are percent-encoded. A
// response in which the server refuses the request is not passed to the sink.
//
// The body is streamed: `on_head` is called once with status and headers, then
// `on_data` for each piece. If either returns false, the call is cancelled, the
// connection is closed, and the outcome is BackendUnknown.
//
// Example:
//   BackendResult result = client.Call(request, sink, deadline);
//
// Thread safety: every method may be called from any thread. `Call` blocks the
// calling thread until the call ends.
#ifndef HEATHERLATCH_BACKEND_BACKEND_CLIENT_H_
#define HEATHERLATCH_BACKEND_BACKEND_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

struct BackendRequest {
  Endpoint endpoint;
  std::string method;
  std::string target;  // Path and query.
  HeaderList headers;
  std::string_view body;    // Must outlive the call.
  std::string request_key;  // Sent as Idempotency-Key; empty for none.
  std::string request_id;   // Sent as X-Request-Id.
};

struct ResponseHead {
  int status = 0;
  HeaderList headers;  // Without hop-by-hop headers and Content-Length.
  std::optional<std::uint64_t> content_length;
};

// Callbacks that receive the response. Each may be empty.
struct ResponseSink {
  // Return false to cancel the call.
  std::function<bool(const ResponseHead& head)> on_head;
  std::function<bool(std::string_view data)> on_data;
  // Polled while the call runs; returns true if the caller has disconnected and
  // the call shall be cancelled.
  std::function<bool()> cancelled;
};

// State that a backend server reports in the headers of its responses and in
// its health document (docs/INTERFACES.md).
struct ServerStatus {
  std::optional<std::uint64_t> boot_id;  // Changes with each server restart.
  std::optional<int> in_flight;          // Requests running on the server.
  bool cold = false;
  bool draining = false;
};

// Why a request is known not to have run. `kDeadlineTooShort`: the deadline
// passed or the call was cancelled before anything was sent, or the server
// refused because of the deadline.
enum class BackendNotRunReason {
  kConnectFailed,
  kShed,
  kDraining,
  kDeadlineTooShort
};
enum class BackendUnknownReason {
  kTimedOut,
  kConnectionLost,  // Reset or closed before the response was complete.
  kIncompleteBody,
  kCancelled,
  kMalformedResponse,
};

// The server sent a complete response.
struct BackendResponded {
  int status = 0;
};
// The server is known not to have run the request.
struct BackendNotRun {
  BackendNotRunReason reason = BackendNotRunReason::kConnectFailed;
};
// The server may have run the request.
struct BackendUnknown {
  BackendUnknownReason reason = BackendUnknownReason::kConnectionLost;
  bool head_delivered = false;  // `on_head` was called.
};

struct BackendResult {
  std::variant<BackendResponded, BackendNotRun, BackendUnknown> outcome;
  ServerStatus server_status;
  Duration time_to_first_byte{};  // From the start of the call.
  Duration total{};               // From the start to the end of the call.
  std::uint64_t body_bytes = 0;
  bool new_connection = false;  // The call opened a connection.
};

// The result of a health probe of a server.
struct ProbeResult {
  bool reachable = false;  // A complete response arrived within the timeout.
  ServerStatus server_status;
  Duration round_trip{};
};

struct BackendClientOptions {
  Duration connect_timeout = std::chrono::milliseconds(500);
  // A connection that has been idle for this time is not reused.
  Duration idle_limit = std::chrono::seconds(30);
  std::size_t max_idle_per_server = 8;
};

class BackendClient {
 public:
  explicit BackendClient(BackendClientOptions options);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  // Sends one request and blocks until the call ends.
  // @param deadline  the time at which the call is aborted; it is also sent to
  //                  the server, as remaining milliseconds and as wall time
  // @return the outcome; failures are reported in `BackendResult::outcome`
  BackendResult Call(const BackendRequest& request, const ResponseSink& sink,
                     TimePoint deadline);

  // Requests the health document of a server.
  ProbeResult Probe(const Endpoint& endpoint, Duration timeout);

  // Closes the idle connections to a server, for use after its restart was
  // detected. Connections in use are closed when their exchange ends.
  void CloseConnections(const Endpoint& endpoint);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BACKEND_BACKEND_CLIENT_H_
