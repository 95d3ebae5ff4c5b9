// One HTTP/1.1 connection to a backend server or to the platform's store.
//
// A connection carries one call at a time. Whatever the other side sends while
// no call is under way, and whatever follows an answer, ends the connection:
// such bytes belong to no request.
//
// Example:
//   auto connection = ClientConnection::Open(io, endpoint);
//   connection->Call(request, [](CallResult result) { ... });
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
#include <variant>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

namespace http = boost::beast::http;

// The request has not left this host.
struct NotSent {
  std::string problem;
  bool refused = false;  // Nothing listens at the endpoint.
};
// The request left, and no whole answer came.
struct NoResponse {
  std::string problem;
};
// A whole answer.
struct ServerResponse {
  http::response<http::string_body> message;
};
using CallResult = std::variant<NotSent, NoResponse, ServerResponse>;
using CallDone = std::function<void(CallResult)>;

// The longest answer that is held in memory. Source: twice the longest download
// on the users' sheets is 1.1 MB; the rest is room.
inline constexpr std::uint64_t kMaxResponseBytes = 8u << 20;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // Starts to connect. Calls may be made at once.
  static std::shared_ptr<ClientConnection> Open(boost::asio::io_context* io,
                                                const Endpoint& endpoint);

  // Sends a request. Must not be called while another call is under way.
  // @param request  the whole request
  // @param is_head  whether the answer has no body
  // @param done     called once, unless the call is cancelled
  void Call(std::string request, bool is_head, CallDone done);

  // Drops the call under way and closes the connection; its `done` is not
  // called.
  void Cancel();

  // @return whether another call may be made
  bool IsReusable() const { return open_ && !done_; }
  TimePoint idle_since() const { return idle_since_; }
  // When this host gives the connection up though it is idle.
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
  std::string request_;
  CallDone done_;
  std::unique_ptr<Parser> parser_;
  boost::beast::flat_buffer buffer_;
  TimePoint idle_since_;
};

// Makes a dead path show itself within seconds: a peer that is cut off or
// without power does not answer, and a connection may go silent for good.
void SetLivenessOptions(boost::asio::ip::tcp::socket* socket);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_CLIENT_CONNECTION_H_
