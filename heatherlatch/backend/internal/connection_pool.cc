#include "heatherlatch/backend/internal/connection_pool.h"

#include <iterator>
#include <utility>

namespace heatherlatch::internal {
namespace {

constexpr std::chrono::seconds kSweepInterval(1);

}  // namespace

PooledConnection ConnectionPool::Take(const Endpoint& endpoint, TimePoint now) {
  while (true) {
    PooledConnection pooled;
    TimePoint since;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      Server& server = servers_[endpoint];
      pooled.generation = server.generation;
      if (!server.idle.empty()) {
        pooled.connection = std::move(server.idle.back().connection);
        since = server.idle.back().since;
        server.idle.pop_back();
      }
    }
    if (pooled.connection == nullptr) {
      pooled.connection =
          std::make_unique<HttpConnection>(endpoint, options_.connect_timeout);
      return pooled;
    }
    const bool expired = now - since >= options_.idle_lifetime;
    if (!expired && pooled.connection->IsIdleAndOpen()) return pooled;
  }
}

void ConnectionPool::Put(PooledConnection pooled, TimePoint now) {
  std::vector<IdleConnection> expired;  // Closed after the lock is released.
  const std::lock_guard<std::mutex> lock(mutex_);
  Server& server = servers_[pooled.connection->endpoint()];
  const bool wanted = pooled.generation == server.generation &&
                      server.idle.size() < options_.max_idle_for_each_server;
  if (wanted) server.idle.push_back({std::move(pooled.connection), now});
  if (now - last_sweep_ >= kSweepInterval) {
    last_sweep_ = now;
    expired = RemoveExpired(now);
  }
}

void ConnectionPool::Forget(const Endpoint& endpoint) {
  std::vector<IdleConnection> closed;
  const std::lock_guard<std::mutex> lock(mutex_);
  Server& server = servers_[endpoint];
  ++server.generation;
  closed.swap(server.idle);
}

std::vector<ConnectionPool::IdleConnection> ConnectionPool::RemoveExpired(
    TimePoint now) {
  std::vector<IdleConnection> expired;
  for (auto& [endpoint, server] : servers_) {
    auto first_fresh = server.idle.begin();
    while (first_fresh != server.idle.end() &&
           now - first_fresh->since >= options_.idle_lifetime) {
      ++first_fresh;
    }
    std::move(server.idle.begin(), first_fresh, std::back_inserter(expired));
    server.idle.erase(server.idle.begin(), first_fresh);
  }
  return expired;
}

}  // namespace heatherlatch::internal
