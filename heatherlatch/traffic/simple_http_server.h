// Answers small requests, such as for readiness, metrics and other hosts.
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

// Why an endpoint cannot be listened on.
struct ListenError {
  Endpoint endpoint;
  std::string detail;
};

// @return an acceptor that listens on the endpoint, or ListenError
Result<boost::asio::ip::tcp::acceptor> Listen(boost::asio::io_context* io,
                                              const Endpoint& endpoint);

struct SimpleHttpResponse {
  unsigned status = 200;
  std::string body;
};

class SimpleHttpServer {
 public:
  using Respond = std::function<void(SimpleHttpResponse)>;
  // Answers a request, at once or later.
  // @param body     of the request
  // @param respond  to be called once
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
