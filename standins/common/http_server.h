// A small HTTP server for stand-ins, on ulfius, with control over connections.
//
// A stand-in must be able to inject faults: close a connection at once or in
// the middle of a body, hold a request without a response, and detect that its
// client has disconnected. This needs the socket of a request, which ulfius
// does not expose. libmicrohttpd, on which ulfius is built, notifies the server
// of each connection, so the server finds the socket by the port of the client.
//
// Each connection has its own thread; `max_connections` limits their number.
//
// Example:
//   HttpServer server({endpoint, 100}, [](const HttpRequest& request) {
//     return HttpResponse{200, {}, "hello", nullptr};
//   });
//   if (!server.Start()) return 1;
//
// Thread safety: `CloseConnections` and `OpenConnections` may be called from
// any thread, `Start` and `Stop` from one. The handler is called from the
// threads of the connections, concurrently.
#ifndef STANDINS_COMMON_HTTP_SERVER_H_
#define STANDINS_COMMON_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch::standins {

// The connection on which a request arrived.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}

  // Waits for `wait`, or until the client closes the connection.
  // @return whether it is still open after the wait
  bool WaitWhileOpen(Duration wait) const;

  // Shuts the connection down. A request in progress gets no response.
  void Close() const;

  // @return true for the first call, then false
  bool TakeFirstUse();

 private:
  int socket_;
  bool used_ = false;
};

struct HttpRequest {
  std::string method;
  std::string path;
  std::string_view body;
  std::shared_ptr<Connection> connection;

  // @return the value of a header or of a query parameter; empty if absent
  std::string Header(const char* name) const;
  std::string Query(const char* name) const;

  const void* source = nullptr;  // The request object of ulfius.
};

// Writes the next bytes of a body.
// @param out       buffer to write to
// @param capacity  size of `out` in bytes
// @return the number of bytes written; 0 ends the body; std::nullopt aborts the
//     response
using BodyWriter =
    std::function<std::optional<std::size_t>(char* out, std::size_t capacity)>;

// A body that is written in blocks, with a declared length.
struct StreamedBody {
  std::uint64_t length = 0;
  BodyWriter write;
  std::function<void()> finished;  // Called once, also after an abort.
};

struct HttpResponse {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::shared_ptr<StreamedBody> stream;  // If set, used instead of `body`.
};

struct HttpServerOptions {
  Endpoint listen;
  int max_connections = 256;
};

class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  HttpServer(HttpServerOptions options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // @return whether the server listens now
  bool Start();

  // Closes every connection, stops listening and waits for running handlers.
  void Stop();

  // Closes every connection; the server keeps listening.
  void CloseConnections();

  // @return the number of open connections
  int OpenConnections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch::standins

#endif  // STANDINS_COMMON_HTTP_SERVER_H_
