// One HTTP/1.1 connection to a backend server or to the platform's store.
//
// A connection carries one call at a time. It is closed if the peer sends bytes
// while no call is in progress, or after a complete response: such bytes belong
// to no request.
//
// A response is cut, and its connection closed, once its head, one line of its
// framing, its interim responses or its body exceed their bounds. The bytes of
// a body are taken from the budget of the host before they are stored.
//
// Example:
//   auto connection = ClientConnection::Open(io, endpoint, budget);
//   connection->Call({request}, ResponseBounds(),
//                    [](CallResult result) { ... });
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_CLIENT_CONNECTION_H_
#define HEATHERLATCH_TRAFFIC_CLIENT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherlatch/admission/byte_budget.h"
#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

namespace http = boost::beast::http;

// No byte of the request was sent.
struct NotSent {
  std::string problem;
  bool refused = false;  // The endpoint refused the connection.
};
// Which bound a response exceeded.
enum class ResponseBound {
  kHead,     // `kMaxResponseHeadBytes`.
  kInterim,  // `kMaxInterimResponses`.
  kBody,     // `ResponseBounds::max_body_bytes`.
  kBudget,   // What the budget of the host allowed at the time.
};

// @return "head", "interim", "body" or "budget"
std::string_view ToString(ResponseBound bound);

// Bytes of the request were sent, and no complete response was received.
struct NoResponse {
  std::string problem;
  // The bound at which the response was cut; absent if it ended otherwise.
  std::optional<ResponseBound> exceeded = std::nullopt;
};
// A complete response.
struct ServerResponse {
  http::response<http::string_body> message;
  ByteReservation held;  // For the body; to be kept as long as it.
};
using CallResult = std::variant<NotSent, NoResponse, ServerResponse>;
using CallDone = std::function<void(CallResult)>;

// The largest response body that is held in memory. Twice the longest specified
// download is 1.1 MB; the bound leaves room for larger ones.
inline constexpr std::uint64_t kMaxResponseBytes = 8u << 20;

// The most bytes of a head, of one line of the framing of a chunked body, or of
// its trailers.
inline constexpr std::uint32_t kMaxResponseHeadBytes = 8u << 10;

// The most responses with status 1xx before a response.
inline constexpr int kMaxInterimResponses = 8;

// The most bytes of a body, as a share of what is left of the budget of the
// host. A body without a length may grow without end, so it gets less.
inline constexpr double kBodyShareWithLength = 1.0 / 8;
inline constexpr double kBodyShareWithoutLength = 1.0 / 16;

// One request to a server, a peer or the store.
struct OutgoingRequest {
  std::string head;  // With the body, if that is not shared.
  // The body, if several calls send it; null otherwise.
  std::shared_ptr<const std::string> body = nullptr;
};

// What a caller accepts of the response to one call.
struct ResponseBounds {
  bool is_head = false;  // The method is HEAD: the response has no body.
  std::uint64_t max_body_bytes = kMaxResponseBytes;
  // Whether the body is held even beyond the budget of the host.
  bool is_essential = false;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // Starts to connect. `Call` may be used before the connection is established.
  // @param budget  from which the bodies of responses are taken
  static std::shared_ptr<ClientConnection> Open(
      boost::asio::io_context* io, const Endpoint& endpoint,
      std::shared_ptr<ByteBudget> budget);

  // Sends a request. Must not be called while a call is in progress.
  // @param done  called once with the result, unless the call is cancelled
  void Call(OutgoingRequest request, const ResponseBounds& bounds,
            CallDone done);

  // Cancels the call in progress without calling its `done`, and closes the
  // connection.
  void Cancel();

  // Records that the server refused or failed a request, which may be sent to
  // it again: a copy of that response may still follow on this connection. The
  // connection is closed once it would have to remember too many.
  void RecordFailedRequest(std::string_view request_id);
  // @return whether a copy of an earlier response on this connection could be
  //     taken for the response to the request
  bool MayRepeatResponseTo(std::string_view request_id) const;

  // When the bytes of one response were received.
  struct Transfer {
    TimePoint began_at;  // Of the first byte.
    TimePoint last_at;   // Of the last bytes so far.
    std::uint64_t bytes = 0;
  };
  // @return the transfer of the response to the call in progress or, when none
  //     is, to the last one; absent while no byte of it was received
  const std::optional<Transfer>& transfer() const { return transfer_; }

  // @return whether another call may be made
  bool IsReusable() const { return open_ && !done_; }
  TimePoint idle_since() const { return idle_since_; }
  // How long the connection may be idle and still be reused. Absent: the pool's
  // default limit applies.
  std::optional<Duration> idle_limit;

 private:
  using Parser = http::response_parser<http::string_body>;

  ClientConnection(boost::asio::io_context* io, const Endpoint& endpoint,
                   std::shared_ptr<ByteBudget> budget)
      : socket_(*io), endpoint_(endpoint), budget_(std::move(budget)) {}

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void NewParser();
  void WriteRequest();
  void ReadSome();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void ParseResponse();
  // Parses the received bytes of a head, or of a body.
  // @return whether the parser can use more of them
  bool ParseSome();
  // Ends an interim response, or prepares for the body.
  // @return whether the response is within its bounds
  bool OnHead();
  // Takes the bytes that the body has with those received from the budget.
  // @return whether the budget allowed it
  bool HoldBody();
  bool Hold(std::uint64_t bytes, double share);
  void OnParseError(const boost::system::error_code& error);
  void Cut(ResponseBound bound);
  void Abort(const std::string& problem,
             std::optional<ResponseBound> exceeded = std::nullopt);
  void FinishResponse();
  void Finish(CallResult result);
  void Close();

  boost::asio::ip::tcp::socket socket_;
  Endpoint endpoint_;
  bool open_ = true;
  bool connected_ = false;
  bool request_started_ = false;
  bool writing_ = false;
  OutgoingRequest request_;
  CallDone done_;
  std::shared_ptr<ByteBudget> budget_;
  ResponseBounds bounds_;
  ByteReservation held_;  // For the body of the response.
  int interim_responses_ = 0;
  std::unique_ptr<Parser> parser_;
  boost::beast::flat_buffer buffer_;
  TimePoint idle_since_;
  std::vector<std::size_t> failed_requests_;  // Hashes of their IDs.
  std::optional<Transfer> transfer_;
};

// Sets TCP keep-alive and the user timeout, so that a dead path is detected
// within seconds. A peer that is partitioned or without power sends neither FIN
// nor RST, and the connection would otherwise stay open indefinitely.
void SetLivenessOptions(boost::asio::ip::tcp::socket* socket);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_CLIENT_CONNECTION_H_
