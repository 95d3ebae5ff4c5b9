// HTTP listener on one ulfius instance, with a thread for each connection and a
// limit on the number of connections.
//
// Thread safety: `Start`, `StopListening` and `Stop` are called from one
// thread.
#ifndef HEATHERLATCH_ENTRY_INTERNAL_HTTP_LISTENER_H_
#define HEATHERLATCH_ENTRY_INTERNAL_HTTP_LISTENER_H_

#include <netinet/in.h>
#include <ulfius.h>

#include <chrono>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/result.h"

namespace heatherlatch {

struct HttpListenerOptions {
  Endpoint listen;
  int max_connections = 100;
  std::size_t max_body_bytes = 65536;  // Bytes beyond it are dropped.
  std::chrono::seconds idle_timeout{30};
};

class HttpListener {
 public:
  using Handler = int (*)(const _u_request* request, _u_response* response,
                          void* data);

  explicit HttpListener(HttpListenerOptions options);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Sets the handler of a method and path. Call before `Start`.
  // @param data  passed to the handler
  void Add(const char* method, const char* path, Handler handler, void* data);
  // Sets the handler of all other requests. Call before `Start`.
  void SetDefault(Handler handler, void* data);

  // Starts listening.
  // @return ServerError if the endpoint is malformed or cannot be bound
  Result<void> Start();
  // Stops accepting connections; open connections stay open.
  void StopListening();
  // Stops the listener; blocks until the requests in progress have ended.
  void Stop();

  // @return the socket of the connection that the calling thread serves; -1 if
  //         there is none
  static int SocketOfThisThread();

 private:
  const HttpListenerOptions options_;
  sockaddr_in address_{};
  _u_instance instance_{};
  bool initialised_ = false;
  bool running_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_INTERNAL_HTTP_LISTENER_H_
