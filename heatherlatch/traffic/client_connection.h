// One HTTP/1.1 connection to a backend server or to the platform's store.
//
// A connection carries one call at a time. It is closed if the peer sends bytes
// while no call is in progress, or after a complete response: such bytes belong
// to no request.
//
// Example:
//   auto connection = ClientConnection::Open(io, endpoint);
//   connection->Call(request, /*is_head=*/false,
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

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

namespace http = boost::beast::http;

// No byte of the request was sent.
struct NotSent {
  std::string problem;
  bool refused = false;  // The endpoint refused the connection.
};
// Bytes of the request were sent, and no complete response was received.
struct NoResponse {
  std::string problem;
};
// A complete response.
struct ServerResponse {
  http::response<http::string_body> message;
};
using CallResult = std::variant<NotSent, NoResponse, ServerResponse>;
using CallDone = std::function<void(CallResult)>;

// The largest response body that is held in memory. Twice the longest specified
// download is 1.1 MB; the bound leaves room for larger ones.
inline constexpr std::uint64_t kMaxResponseBytes = 8u << 20;

// The interim responses (status 1xx) to one request that are read.
inline constexpr int kMaxInterimResponses = 16;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // Starts to connect. `Call` may be used before the connection is established.
  static std::shared_ptr<ClientConnection> Open(boost::asio::io_context* io,
                                                const Endpoint& endpoint);

  // Sends a request. Must not be called while a call is in progress.
  // @param request  the complete request: head and body
  // @param is_head  whether the method is HEAD, so that the response has no
  //                 body
  // @param done     called once with the result, unless the call is cancelled
  void Call(std::string request, bool is_head, CallDone done);

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

  ClientConnection(boost::asio::io_context* io, const Endpoint& endpoint)
      : socket_(*io), endpoint_(endpoint) {}

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void NewParser(bool is_head);
  void WriteRequest();
  void ReadSome();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void ParseResponse();
  void Abort(const std::string& problem);
  void FinishResponse();
  void Finish(CallResult result);
  void Close();

  boost::asio::ip::tcp::socket socket_;
  Endpoint endpoint_;
  bool open_ = true;
  bool connected_ = false;
  bool request_started_ = false;
  bool writing_ = false;
  int interim_responses_ = 0;  // To the call in progress.
  std::string request_;
  CallDone done_;
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
