// The HTTP server for callers, built on ulfius.
//
// Each connection has its own thread, and the number of connections is limited.
// A request is passed to the pipeline only after its complete body has arrived.
// A body that exceeds the size limit, or whose length differs from the declared
// Content-Length, is refused.
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

// @return one sentence with the endpoint and the error
std::string ToString(const ServerError& error);

struct CallerServerOptions {
  Endpoint listen;
  int max_connections = 1000;
  std::size_t max_body_bytes = 1024 * 1024;
  // A connection without traffic in either direction for this long is closed.
  std::chrono::seconds idle_timeout{60};
};

class CallerServer {
 public:
  // The pointers must outlive the server.
  // @param ready  returns whether the host accepts requests; used for the
  //               readiness check and for issuing tickets
  CallerServer(CallerServerOptions options, RequestPipeline* pipeline,
               Executor* executor, std::function<bool()> ready);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Starts listening.
  // @return ServerError if the endpoint is malformed or cannot be bound
  Result<void> Start();

  // Stops accepting connections; open connections stay open.
  void StopListening();

  // Stops the server; blocks until the requests in progress have ended.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_CALLER_SERVER_H_
