// Calls backend servers over HTTP with pooled connections.
//
// The client is the only place that decides what is known about a call:
//   - nothing was sent            -> BackendNotRun (connect failed, deadline;
//                                    kNoTime also where it was cancelled)
//   - the server refused with its "not run" sign -> BackendNotRun (shed, drain)
//   - a whole answer              -> BackendAnswered
//   - anything else               -> BackendUnknown
// A connection whose exchange did not end with a whole answer is closed and
// never used again. An answer is whole when its declared length or its final
// chunk has arrived. docs/INTERFACES.md gives the requests and answers.
//
// A request is sent at most once: where a kept connection ends before the
// answer begins, the outcome is BackendUnknown and nothing is sent again.
//
// Headers that concern one connection are left out in both directions, and
// those that the client writes itself are left out of a request. A request
// header that holds a line break is not sent. Bytes that a request target must
// not hold are percent-encoded. A refusal of the server does not reach the
// sink.
//
// The body is streamed: `on_head` is called once with status and headers, then
// `on_data` for each piece. When either returns false the call is cancelled,
// the connection is closed, and the outcome is BackendUnknown.
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

struct AnswerHead {
  int status = 0;
  HeaderList headers;  // Without hop-by-hop headers and the length.
  std::optional<std::uint64_t> content_length;
};

struct AnswerSink {
  // Return false to cancel the call.
  std::function<bool(const AnswerHead& head)> on_head;
  std::function<bool(std::string_view data)> on_data;
  // Polled while the call runs; returns true when the caller has gone.
  std::function<bool()> cancelled;
};

// Signs that a backend server attaches to its answers (docs/INTERFACES.md).
struct ServerSigns {
  std::optional<std::uint64_t> boot_id;
  std::optional<int> in_flight;
  bool cold = false;
  bool draining = false;
};

enum class BackendNotRunReason { kConnectFailed, kShed, kDraining, kNoTime };
enum class BackendUnknownReason {
  kTimedOut,
  kConnectionLost,  // Reset or closed before the answer was whole.
  kIncompleteBody,
  kCancelled,
  kMalformedAnswer,
};

struct BackendAnswered {
  int status = 0;
};
struct BackendNotRun {
  BackendNotRunReason reason = BackendNotRunReason::kConnectFailed;
};
struct BackendUnknown {
  BackendUnknownReason reason = BackendUnknownReason::kConnectionLost;
  bool head_delivered = false;  // `on_head` was called.
};

struct BackendResult {
  std::variant<BackendAnswered, BackendNotRun, BackendUnknown> end;
  ServerSigns signs;
  Duration first_byte{};  // From the start of the call to the first byte.
  Duration total{};
  std::uint64_t body_bytes = 0;
  bool new_connection = false;
};

// What a health probe of a server says.
struct ProbeResult {
  bool reachable = false;
  ServerSigns signs;
  Duration round_trip{};
};

struct BackendClientOptions {
  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration idle_lifetime = std::chrono::seconds(30);
  std::size_t max_idle_for_each_server = 8;
};

class BackendClient {
 public:
  explicit BackendClient(BackendClientOptions options);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  // Runs one request.
  // @param deadline  the time at which the call is given up; it is also passed
  //                  to the server, as milliseconds left and as a wall time
  BackendResult Call(const BackendRequest& request, const AnswerSink& sink,
                     TimePoint deadline);

  // Asks for the health of a server.
  ProbeResult Probe(const Endpoint& endpoint, Duration timeout);

  // Closes idle connections to a server, because it was seen to restart.
  void ForgetConnections(const Endpoint& endpoint);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BACKEND_BACKEND_CLIENT_H_
