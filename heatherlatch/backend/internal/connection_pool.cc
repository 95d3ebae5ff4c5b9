#include "heatherlatch/backend/internal/connection_pool.h"

#include <iterator>
#include <utility>

namespace heatherlatch::internal {
namespace {

constexpr std::chrono::seconds kSweepInterval(1);

}  // namespace

PooledConnection ConnectionPool::Acquire(const Endpoint& endpoint,
                                         const std::string& request_id,
                                         TimePoint now) {
  while (true) {
    PooledConnection pooled;
    TimePoint idle_since;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ServerConnections& server = servers_[endpoint];
      pooled.generation = server.generation;
      if (!server.idle.empty()) {
        pooled.connection = std::move(server.idle.back().connection);
        idle_since = server.idle.back().idle_since;
        server.idle.pop_back();
      }
    }
    if (pooled.connection == nullptr) {
      pooled.connection =
          std::make_unique<HttpConnection>(endpoint, options_.connect_timeout);
      return pooled;
    }
    const bool expired = now - idle_since >= options_.idle_limit;
    const bool is_fit = !expired && pooled.connection->IsIdleAndOpen() &&
                        !pooled.connection->HasRefused(request_id);
    if (is_fit) return pooled;
  }
}

void ConnectionPool::Release(PooledConnection pooled, TimePoint now) {
  std::vector<IdleConnection> expired;  // Closed after the lock is released.
  const std::lock_guard<std::mutex> lock(mutex_);
  ServerConnections& server = servers_[pooled.connection->endpoint()];
  const bool keep = pooled.generation == server.generation &&
                    server.idle.size() < options_.max_idle_per_server;
  if (keep) server.idle.push_back({std::move(pooled.connection), now});
  if (now - last_sweep_ >= kSweepInterval) {
    last_sweep_ = now;
    expired = RemoveExpired(now);
  }
}

void ConnectionPool::Invalidate(const Endpoint& endpoint) {
  std::vector<IdleConnection> closed;
  const std::lock_guard<std::mutex> lock(mutex_);
  ServerConnections& server = servers_[endpoint];
  ++server.generation;
  closed.swap(server.idle);
}

std::vector<ConnectionPool::IdleConnection> ConnectionPool::RemoveExpired(
    TimePoint now) {
  std::vector<IdleConnection> expired;
  for (auto& [endpoint, server] : servers_) {
    auto first_unexpired = server.idle.begin();
    while (first_unexpired != server.idle.end() &&
           now - first_unexpired->idle_since >= options_.idle_limit) {
      ++first_unexpired;
    }
    std::move(server.idle.begin(), first_unexpired,
              std::back_inserter(expired));
    server.idle.erase(server.idle.begin(), first_unexpired);
  }
  return expired;
}

}  // namespace heatherlatch::internal
