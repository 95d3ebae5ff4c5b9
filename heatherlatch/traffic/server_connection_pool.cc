#include "heatherlatch/traffic/server_connection_pool.h"

#include <algorithm>
#include <utility>

namespace heatherlatch {
namespace {

bool IsFit(const ClientConnection& connection, Duration limit, TimePoint now) {
  const Duration idle_limit = connection.idle_limit.value_or(kIdleLimit);
  return connection.IsReusable() &&
         now - connection.idle_since() < std::min(limit, idle_limit);
}

}  // namespace

std::shared_ptr<ClientConnection> ServerConnectionPool::Acquire(
    const Endpoint& endpoint, bool fresh_only, std::string_view request_id,
    TimePoint now) {
  const Duration limit = fresh_only ? kNonIdempotentIdleLimit : kIdleLimit;
  auto& kept = idle_[endpoint];
  // The connection released last has been idle for the shortest time.
  for (std::size_t i = kept.size(); i > 0; --i) {
    const auto position = kept.begin() + static_cast<std::ptrdiff_t>(i - 1);
    std::shared_ptr<ClientConnection> connection = *position;
    if (!connection->IsReusable()) {
      kept.erase(position);
      continue;
    }
    if (!IsFit(*connection, limit, now)) break;
    if (connection->MayRepeatResponseTo(request_id)) continue;
    kept.erase(position);
    metrics_->Count("server_connections", "kept");
    return connection;
  }
  metrics_->Count("server_connections", "opened");
  return Open(endpoint);
}

bool ServerConnectionPool::HasIdle(const Endpoint& endpoint,
                                   TimePoint now) const {
  const auto kept = idle_.find(endpoint);
  return kept != idle_.end() && !kept->second.empty() &&
         IsFit(*kept->second.back(), kIdleLimit, now);
}

void ServerConnectionPool::Release(
    const Endpoint& endpoint, std::shared_ptr<ClientConnection> connection) {
  if (connection->IsReusable()) {
    idle_[endpoint].push_back(std::move(connection));
  }
}

void ServerConnectionPool::CloseIdle(TimePoint now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& kept = it->second;
    const auto unfit = [now](const std::shared_ptr<ClientConnection>& one) {
      if (IsFit(*one, kIdleLimit, now)) return false;
      one->Cancel();
      return true;
    };
    kept.erase(std::remove_if(kept.begin(), kept.end(), unfit), kept.end());
    it = kept.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace heatherlatch
