// The HTTP server for callers, built on ulfius.
//
// Each connection has its own thread, and the number of connections is bounded.
// A request is handed over only after its whole body has arrived; a body that
// is larger than the bound, or shorter than its declared length, is refused.
//
// Thread safety: `Start` and `Stop` are called from one thread.
#ifndef HEATHERLATCH_ENTRY_CALLER_SERVER_H_
#define HEATHERLATCH_ENTRY_CALLER_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/result.h"
#include "heatherlatch/entry/request_pipeline.h"

namespace heatherlatch {

enum class ServerProblem { kBadAddress, kListenFailed };
struct ServerError {
  ServerProblem problem = ServerProblem::kListenFailed;
  Endpoint endpoint;
};

// @return one sentence that names the endpoint and what is wrong
std::string ToString(const ServerError& error);

struct CallerServerOptions {
  Endpoint listen;
  int max_connections = 1000;
  std::size_t max_body_bytes = 1024 * 1024;
  // A caller that sends or takes nothing for this long is disconnected.
  std::chrono::seconds idle_timeout{60};
};

class CallerServer {
 public:
  // The pointers outlive the server.
  // @param ready  whether the host takes requests, for the ready check
  CallerServer(CallerServerOptions options, RequestPipeline* pipeline,
               Executor* executor, std::function<bool()> ready);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // @return ServerError where the endpoint cannot be listened on
  Result<void> Start();

  // Takes no new connections; those that are open go on.
  void StopListening();

  // Ends the server after the requests in progress have ended.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_CALLER_SERVER_H_
