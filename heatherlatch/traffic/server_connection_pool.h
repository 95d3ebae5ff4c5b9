// Kept connections to backend servers.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_SERVER_CONNECTION_POOL_H_
#define HEATHERLATCH_TRAFFIC_SERVER_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "heatherlatch/traffic/client_connection.h"

namespace heatherlatch {

// How long an idle connection is kept where its server does not say.
// Source: the users' workers close theirs after ten seconds.
inline constexpr Duration kIdleLimit = std::chrono::seconds(8);

// How long an idle connection is fit for a request that must not run twice: one
// that a server closes as the request crosses leaves its outcome unknown.
// Source: half of the shortest whole second that a server may name.
inline constexpr Duration kNonIdempotentIdleLimit =
    std::chrono::milliseconds(500);

class ServerConnectionPool {
 public:
  explicit ServerConnectionPool(boost::asio::io_context* io) : io_(io) {}

  // @param fresh_only  whether a connection that was idle for long is unfit
  // @return a kept connection, or a new one
  std::shared_ptr<ClientConnection> Acquire(const Endpoint& endpoint,
                                            bool fresh_only, TimePoint now);

  // @return whether a kept connection is fit for a call
  bool HasIdle(const Endpoint& endpoint, TimePoint now) const;

  // Keeps a connection for the next call, if it is fit for one.
  void Release(const Endpoint& endpoint,
               std::shared_ptr<ClientConnection> connection);

  // Closes what was idle for too long.
  void CloseIdle(TimePoint now);

 private:
  boost::asio::io_context* io_;
  std::map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> idle_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_SERVER_CONNECTION_POOL_H_
