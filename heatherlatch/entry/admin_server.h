// The HTTP server for operators. Serves `/status` (JSON) and `/metrics`
// (Prometheus text format).
//
// Thread safety: `Start` and `Stop` are called from one thread.
#ifndef HEATHERLATCH_ENTRY_ADMIN_SERVER_H_
#define HEATHERLATCH_ENTRY_ADMIN_SERVER_H_

#include <functional>
#include <string>

#include "heatherlatch/entry/internal/http_listener.h"
#include "heatherlatch/telemetry/metrics.h"

namespace heatherlatch {

class AdminServer {
 public:
  // @param listen   the endpoint to listen on
  // @param status   returns the status document as JSON; called from any thread
  // @param metrics  must outlive the server
  AdminServer(Endpoint listen, std::function<std::string()> status,
              const Metrics* metrics);

  // @return ServerError if the endpoint cannot be listened on
  Result<void> Start() { return listener_.Start(); }
  void Stop() { listener_.Stop(); }

 private:
  static int OnStatus(const _u_request* request, _u_response* response,
                      void* data);
  static int OnMetrics(const _u_request* request, _u_response* response,
                       void* data);

  const std::function<std::string()> status_;
  const Metrics* const metrics_;
  HttpListener listener_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_ADMIN_SERVER_H_
