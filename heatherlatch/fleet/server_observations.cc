#include "heatherlatch/fleet/server_observations.h"

#include <iterator>

namespace heatherlatch {

void ServerObservations::OnReading(const BackendServerName& server,
                                   const LoadReading& reading, TimePoint now) {
  Observed& observed = Touch(server, now);
  observed.reading = reading;
  observed.read_at = now;
  observed.sent_since_reading = 0;
}

void ServerObservations::OnColdRemaining(const BackendServerName& server,
                                         Duration remaining, TimePoint now) {
  Touch(server, now).cold_until = now + remaining;
}

void ServerObservations::OnSent(const BackendServerName& server, bool cold,
                                TimePoint now) {
  Observed& observed = Touch(server, now);
  ++observed.sent_since_reading;
  if (cold) observed.cold_send_at = now;
}

void ServerObservations::OnFailure(const BackendServerName& server,
                                   TimePoint now) {
  Touch(server, now).failed_at = now;
}

std::optional<LoadReading> ServerObservations::Reading(
    const BackendServerName& server, Duration max_age, TimePoint now) const {
  const Observed* observed = Find(server);
  if (observed == nullptr || !observed->read_at ||
      now - *observed->read_at > max_age) {
    return std::nullopt;
  }
  return observed->reading;
}

int ServerObservations::SentSinceReading(
    const BackendServerName& server) const {
  const Observed* observed = Find(server);
  return observed == nullptr ? 0 : observed->sent_since_reading;
}

bool ServerObservations::FailedLately(const BackendServerName& server,
                                      TimePoint now) const {
  const Observed* observed = Find(server);
  return observed != nullptr && observed->failed_at &&
         now - *observed->failed_at < kFailureMemory;
}

bool ServerObservations::IsCold(const BackendServerName& server,
                                TimePoint now) const {
  const Observed* observed = Find(server);
  return observed != nullptr && now < observed->cold_until;
}

bool ServerObservations::MaySendCold(const BackendServerName& server,
                                     TimePoint now) const {
  const Observed* observed = Find(server);
  return observed == nullptr || !observed->cold_send_at ||
         now - *observed->cold_send_at >= kColdSendInterval;
}

void ServerObservations::Forget(Duration age, TimePoint now) {
  for (auto it = observed_.begin(); it != observed_.end();) {
    it =
        now - it->second.touched_at > age ? observed_.erase(it) : std::next(it);
  }
}

const ServerObservations::Observed* ServerObservations::Find(
    const BackendServerName& server) const {
  const auto found = observed_.find(server);
  return found == observed_.end() ? nullptr : &found->second;
}

ServerObservations::Observed& ServerObservations::Touch(
    const BackendServerName& server, TimePoint now) {
  Observed& observed = observed_[server];
  observed.touched_at = now;
  return observed;
}

}  // namespace heatherlatch
