#include "heatherlatch/traffic/simple_http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <utility>

#include "heatherlatch/traffic/client_connection.h"

namespace heatherlatch {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Delay after a failed accept: a tenth of the interval at which the platform's
// balancer checks readiness.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

class SimpleHttpSession
    : public std::enable_shared_from_this<SimpleHttpSession> {
 public:
  SimpleHttpSession(asio::ip::tcp::socket socket,
                    const SimpleHttpServer::Handler* handler)
      : socket_(std::move(socket)), handler_(handler) {}

  void Read() {
    SetLivenessOptions(&socket_);
    request_ = {};
    http::async_read(
        socket_, buffer_, request_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          // The peer disconnected or sent no valid request: the session ends.
          if (!error) self->Handle();
        });
  }

 private:
  void Handle() {
    (*handler_)(request_.body(), [self = shared_from_this()](
                                     const SimpleHttpResponse& response) {
      self->WriteResponse(response);
    });
  }

  void WriteResponse(const SimpleHttpResponse& response) {
    response_ = {static_cast<http::status>(response.status),
                 request_.version()};
    response_.set(http::field::content_type, "text/plain; version=0.0.4");
    response_.keep_alive(request_.keep_alive());
    response_.body() = response.body;
    response_.prepare_payload();
    http::async_write(
        socket_, response_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (!error && self->response_.keep_alive()) self->Read();
        });
  }

  asio::ip::tcp::socket socket_;
  const SimpleHttpServer::Handler* handler_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

}  // namespace

Result<asio::ip::tcp::acceptor> Listen(asio::io_context* io,
                                       const Endpoint& endpoint) {
  asio::ip::tcp::acceptor acceptor(*io);
  error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  if (!error) acceptor.open(asio::ip::tcp::v4(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor.bind({address, endpoint.port}, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return Fail(ListenError{endpoint, error.message()});
  return acceptor;
}

SimpleHttpServer::SimpleHttpServer(asio::ip::tcp::acceptor acceptor,
                                   Handler handler)
    : acceptor_(std::move(acceptor)),
      timer_(acceptor_.get_executor()),
      handler_(std::move(handler)) {}

void SimpleHttpServer::Start() { Accept(); }

void SimpleHttpServer::Accept() {
  acceptor_.async_accept([this](const error_code& error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      RetryAcceptLater();
      return;
    }
    std::make_shared<SimpleHttpSession>(std::move(socket), &handler_)->Read();
    Accept();
  });
}

void SimpleHttpServer::RetryAcceptLater() {
  // Accept fails while no file descriptor is free. New connections stay in the
  // listen backlog meanwhile.
  timer_.expires_after(kAcceptRetryDelay);
  timer_.async_wait([this](const error_code& error) {
    if (!error) Accept();
  });
}

}  // namespace heatherlatch
