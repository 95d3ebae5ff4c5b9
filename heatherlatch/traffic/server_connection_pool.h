// A pool of idle keep-alive connections to backend servers.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_SERVER_CONNECTION_POOL_H_
#define HEATHERLATCH_TRAFFIC_SERVER_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "heatherlatch/traffic/client_connection.h"
#include "heatherlatch/traffic/traffic_metrics.h"

namespace heatherlatch {

// How long an idle connection is kept if its server states no idle timeout.
// Less than the ten seconds after which backend servers close theirs.
inline constexpr Duration kIdleLimit = std::chrono::seconds(8);

// How long a connection may be idle before it carries a request that must not
// run twice. If the server closes the connection while the request is in
// flight, the outcome is unknown. Half of one second, the shortest idle timeout
// that a server can state.
inline constexpr Duration kNonIdempotentIdleLimit =
    std::chrono::milliseconds(500);

class ServerConnectionPool {
 public:
  // @param budget   from which the bodies of responses are taken
  // @param metrics  counts what `Acquire` returns
  ServerConnectionPool(boost::asio::io_context* io,
                       std::shared_ptr<ByteBudget> budget,
                       TrafficMetrics* metrics)
      : io_(io), budget_(std::move(budget)), metrics_(metrics) {}

  // @param fresh_only  whether to apply `kNonIdempotentIdleLimit`
  // @param request_id  the request that the connection is to carry; empty for
  //                    one without ID
  // @return a kept connection, other than one on which the same request failed
  //     before, or a new one
  std::shared_ptr<ClientConnection> Acquire(const Endpoint& endpoint,
                                            bool fresh_only,
                                            std::string_view request_id,
                                            TimePoint now);

  // @return a new connection
  std::shared_ptr<ClientConnection> Open(const Endpoint& endpoint) const {
    return ClientConnection::Open(io_, endpoint, budget_);
  }

  // @return whether a kept connection is fit for a call
  bool HasIdle(const Endpoint& endpoint, TimePoint now) const;

  // Keeps a connection for the next call, if it is fit for one.
  void Release(const Endpoint& endpoint,
               std::shared_ptr<ClientConnection> connection);

  // Closes the connections that were idle for too long.
  void CloseIdle(TimePoint now);

 private:
  boost::asio::io_context* io_;
  std::shared_ptr<ByteBudget> budget_;
  TrafficMetrics* metrics_;
  std::map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> idle_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_SERVER_CONNECTION_POOL_H_
