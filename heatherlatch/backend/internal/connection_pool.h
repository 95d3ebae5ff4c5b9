// Pool of idle connections to backend servers.
//
// The most recently used connection is reused first, so surplus connections
// stay idle. A connection that has been idle for `idle_limit` is not reused; it
// is closed by the next `Acquire` that finds it or by a later `Release`.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_BACKEND_INTERNAL_CONNECTION_POOL_H_
#define HEATHERLATCH_BACKEND_INTERNAL_CONNECTION_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/backend/internal/http_connection.h"

namespace heatherlatch::internal {

// A connection that was acquired from the pool, and the generation of its
// server's connections at that time.
struct PooledConnection {
  std::unique_ptr<HttpConnection> connection;
  std::uint64_t generation = 0;
};

class ConnectionPool {
 public:
  explicit ConnectionPool(BackendClientOptions options) : options_(options) {}

  // @param request_id  the request that the connection is to carry; empty for
  //                    one without ID
  // @return an open idle connection on which the request was not refused
  //     before, or a new one that connects on first use
  PooledConnection Acquire(const Endpoint& endpoint,
                           const std::string& request_id, TimePoint now);

  // Returns a connection whose exchange ended with a complete response. It is
  // closed if the connections to the server have been invalidated since, or if
  // the server already has the maximum number of idle connections.
  void Release(PooledConnection pooled, TimePoint now);

  // Closes the idle connections to a server; those in use are closed when they
  // are released.
  void Invalidate(const Endpoint& endpoint);

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    TimePoint idle_since;
  };
  struct ServerConnections {
    std::vector<IdleConnection> idle;  // Oldest first.
    std::uint64_t generation = 0;      // Incremented by `Invalidate`.
  };

  std::vector<IdleConnection> RemoveExpired(TimePoint now);

  const BackendClientOptions options_;
  std::mutex mutex_;
  std::map<Endpoint, ServerConnections> servers_;
  TimePoint last_sweep_{};
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_BACKEND_INTERNAL_CONNECTION_POOL_H_
