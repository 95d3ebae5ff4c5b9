#include "heatherlatch/fleet/server_observations.h"

#include <iterator>

namespace heatherlatch {
namespace {

// The part of the difference to a longer probe that the shortest duration takes
// over, so that it follows a network that became slower.
constexpr int kProbeDurationPart = 8;

}  // namespace

void ServerObservations::OnReading(const BackendServerName& server,
                                   const LoadReading& reading, TimePoint now) {
  Observation& observation = Touch(server, now);
  observation.reading = reading;
  observation.read_at = now;
  observation.sent_since_reading = 0;
}

void ServerObservations::OnColdRemaining(const BackendServerName& server,
                                         Duration remaining, TimePoint now) {
  Observation& observation = Touch(server, now);
  observation.cold_until = now + remaining;
  observation.cold_state_read_at = now;
  observation.was_warm |= remaining <= Duration::zero();
}

void ServerObservations::OnProbeDuration(const BackendServerName& server,
                                         Duration duration, TimePoint now) {
  std::optional<Duration>& known = Touch(server, now).probe_duration;
  if (!known || duration < *known) {
    known = duration;
  } else {
    *known += (duration - *known) / kProbeDurationPart;
  }
}

void ServerObservations::OnSent(const BackendServerName& server,
                                TimePoint now) {
  ++Touch(server, now).sent_since_reading;
}

void ServerObservations::OnFailure(const BackendServerName& server,
                                   TimePoint now) {
  Touch(server, now).failed_at = now;
}

std::optional<LoadReading> ServerObservations::Reading(
    const BackendServerName& server, Duration max_age, TimePoint now) const {
  const Observation* observation = Find(server);
  if (observation == nullptr || !observation->read_at ||
      now - *observation->read_at > max_age) {
    return std::nullopt;
  }
  return observation->reading;
}

Duration ServerObservations::ProbeDuration(
    const BackendServerName& server) const {
  const Observation* observation = Find(server);
  return observation == nullptr
             ? Duration::zero()
             : observation->probe_duration.value_or(Duration::zero());
}

int ServerObservations::SentSinceReading(
    const BackendServerName& server) const {
  const Observation* observation = Find(server);
  return observation == nullptr ? 0 : observation->sent_since_reading;
}

bool ServerObservations::FailedRecently(const BackendServerName& server,
                                        TimePoint now) const {
  const Observation* observation = Find(server);
  return observation != nullptr && observation->failed_at &&
         now - *observation->failed_at < kRecentFailureWindow;
}

bool ServerObservations::IsCold(const BackendServerName& server,
                                TimePoint now) const {
  const Observation* observation = Find(server);
  return observation != nullptr && now < observation->cold_until;
}

bool ServerObservations::IsKnownToBeWarm(const BackendServerName& server,
                                         TimePoint now) const {
  const Observation* observation = Find(server);
  return observation != nullptr && observation->cold_state_read_at &&
         now - *observation->cold_state_read_at <= kWarmStateMaxAge &&
         now >= observation->cold_until;
}

bool ServerObservations::WasWarm(const BackendServerName& server) const {
  const Observation* observation = Find(server);
  return observation != nullptr && observation->was_warm;
}

std::optional<Duration> ServerObservations::ColdStatementAge(
    const BackendServerName& server, TimePoint now) const {
  const Observation* observation = Find(server);
  if (observation == nullptr || !observation->cold_state_read_at) {
    return std::nullopt;
  }
  return now - *observation->cold_state_read_at;
}

void ServerObservations::RemoveStale(Duration age, TimePoint now) {
  for (auto it = observations_.begin(); it != observations_.end();) {
    it = now - it->second.last_observed_at > age ? observations_.erase(it)
                                                 : std::next(it);
  }
}

const ServerObservations::Observation* ServerObservations::Find(
    const BackendServerName& server) const {
  const auto found = observations_.find(server);
  return found == observations_.end() ? nullptr : &found->second;
}

ServerObservations::Observation& ServerObservations::Touch(
    const BackendServerName& server, TimePoint now) {
  Observation& observation = observations_[server];
  observation.last_observed_at = now;
  return observation;
}

}  // namespace heatherlatch
