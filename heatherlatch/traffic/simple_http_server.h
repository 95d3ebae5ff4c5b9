// A minimal HTTP/1.1 server for readiness, metrics and queries of other hosts.
//
// Passes the body of each request to one handler; method and path are ignored.
//
// Example:
//   SimpleHttpServer server(std::move(acceptor),
//                           [](const std::string& body, auto respond) {
//                             respond({kOk, "ok"});
//                           });
//   server.Start();
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_SIMPLE_HTTP_SERVER_H_
#define HEATHERLATCH_TRAFFIC_SIMPLE_HTTP_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/result.h"

namespace heatherlatch {

// Listening on an endpoint failed.
struct ListenError {
  Endpoint endpoint;
  std::string detail;
};

// Listens on an IPv4 endpoint.
// @return the acceptor, or ListenError
Result<boost::asio::ip::tcp::acceptor> Listen(boost::asio::io_context* io,
                                              const Endpoint& endpoint);

struct SimpleHttpResponse {
  unsigned status = 200;
  std::string body;
};

class SimpleHttpServer {
 public:
  using Respond = std::function<void(SimpleHttpResponse)>;
  // Handles a request. May respond later.
  // @param body     the request body
  // @param respond  sends the response; to be called once
  using Handler = std::function<void(const std::string& body, Respond respond)>;

  SimpleHttpServer(boost::asio::ip::tcp::acceptor acceptor, Handler handler);

  void Start();

 private:
  void Accept();
  void RetryAcceptLater();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  Handler handler_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_SIMPLE_HTTP_SERVER_H_
