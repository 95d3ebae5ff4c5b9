// Idle connections to backend servers, ready for another request.
//
// The most recently used connection is taken first, so surplus ones age and
// are closed after their idle lifetime.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_BACKEND_INTERNAL_CONNECTION_POOL_H_
#define HEATHERLATCH_BACKEND_INTERNAL_CONNECTION_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/backend/internal/http_connection.h"

namespace heatherlatch::internal {

// A connection out of the pool, and the generation that it belongs to.
struct PooledConnection {
  std::unique_ptr<HttpConnection> connection;
  std::uint64_t generation = 0;
};

class ConnectionPool {
 public:
  explicit ConnectionPool(BackendClientOptions options) : options_(options) {}

  // @return an open idle connection, or a new one that connects when it is used
  PooledConnection Take(const Endpoint& endpoint, TimePoint now);

  // Returns a connection whose exchange ended with a whole answer. It is closed
  // if the server has been forgotten since, or holds enough idle connections.
  void Put(PooledConnection pooled, TimePoint now);

  // Closes the idle connections to a server; those in use are closed when they
  // come back.
  void Forget(const Endpoint& endpoint);

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    TimePoint since;
  };
  struct Server {
    std::vector<IdleConnection> idle;  // Oldest first.
    std::uint64_t generation = 0;
  };

  std::vector<IdleConnection> RemoveExpired(TimePoint now);

  const BackendClientOptions options_;
  std::mutex mutex_;
  std::map<Endpoint, Server> servers_;
  TimePoint last_sweep_{};
};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_BACKEND_INTERNAL_CONNECTION_POOL_H_
