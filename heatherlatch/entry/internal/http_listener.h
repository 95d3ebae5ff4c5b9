// One ulfius instance with bounded connections and a thread for each.
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
  std::size_t max_body_bytes = 65536;  // What is beyond it is dropped.
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

  // Sets the handler of a path. Call before `Start`.
  void Add(const char* method, const char* path, Handler handler, void* data);
  // Sets the handler of every other request. Call before `Start`.
  void SetDefault(Handler handler, void* data);

  // @return ServerError where the endpoint cannot be listened on
  Result<void> Start();
  void StopListening();
  void Stop();

  // @return the socket of the connection that this thread serves, or -1
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
