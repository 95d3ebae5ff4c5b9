// A small HTTP server for stand-ins, on ulfius, with control over connections.
//
// Besides answering, a stand-in has to misbehave: cut a connection at once or
// half way through a body, hold a request without an answer, notice that its
// client has gone. libmicrohttpd, below ulfius, tells of each connection, so
// the server can find the socket of a request by the port of its client.
//
// Each connection has a thread; `max_connections` bounds them.
//
// Example:
//   HttpServer server({endpoint, 100}, [](const HttpRequest& request) {
//     return HttpResponse{200, {}, "hello", nullptr};
//   });
//   if (!server.Start()) return 1;
//
// Thread safety: `CloseConnections` may be called from any thread, `Start` and
// `Stop` from one. The handler is called from many threads.
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

// The connection that a request came on.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}

  // Waits while the connection stays open.
  // @return whether it is still open after the wait
  bool WaitWhileOpen(Duration wait) const;

  // Closes the connection, without an answer to a request in progress.
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

  const void* source = nullptr;  // The library's own request.
};

// Writes the next bytes of a body.
// @return the number written, or nothing to cut the body short
using BodyWriter =
    std::function<std::optional<std::size_t>(char* out, std::size_t capacity)>;

// A body that is written piece by piece, with a declared length.
struct StreamedBody {
  std::uint64_t length = 0;
  BodyWriter write;
  std::function<void()> finished;  // Called once, however the body ended.
};

struct HttpResponse {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::shared_ptr<StreamedBody> stream;  // In place of `body`, where set.
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

  // Cuts every connection, stops listening and waits for the handlers.
  void Stop();

  // Cuts every connection; the server goes on listening.
  void CloseConnections();

  // @return the number of open connections
  int OpenConnections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch::standins

#endif  // STANDINS_COMMON_HTTP_SERVER_H_
