// What this host itself has seen of each backend server.
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_FLEET_SERVER_OBSERVATIONS_H_
#define HEATHERLATCH_FLEET_SERVER_OBSERVATIONS_H_

#include <map>
#include <optional>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/fleet/load_reading.h"

namespace heatherlatch {

// How long a failure keeps a server behind the others.
// Source: the users' servers fail in spells of seconds.
inline constexpr Duration kRecentFailureWindow = std::chrono::seconds(1);

// The least time between two requests of one host to a server in cold start.
// Source: a cold server bears 2.6 requests a second and 1.5 times that plus 5,
// of all hosts together.
inline constexpr Duration kColdSendInterval = std::chrono::milliseconds(700);

// Example:
//   observations.OnReading(server, reading, cold_remaining, now);
//   if (!observations.FailedLately(server, now)) ...
class ServerObservations {
 public:
  void OnReading(const BackendServerName& server, const LoadReading& reading,
                 TimePoint now);
  void OnColdRemaining(const BackendServerName& server, Duration remaining,
                       TimePoint now);
  void OnSent(const BackendServerName& server, bool cold, TimePoint now);
  void OnFailure(const BackendServerName& server, TimePoint now);

  // @return the last reading if it is not older than `max_age`
  std::optional<LoadReading> Reading(const BackendServerName& server,
                                     Duration max_age, TimePoint now) const;
  int SentSinceReading(const BackendServerName& server) const;
  bool FailedLately(const BackendServerName& server, TimePoint now) const;
  bool IsCold(const BackendServerName& server, TimePoint now) const;
  // @return whether a server in cold start may get a request of this host
  bool MaySendCold(const BackendServerName& server, TimePoint now) const;

  // Forgets what has not been observed for `age`.
  void Forget(Duration age, TimePoint now);

 private:
  struct Observation {
    LoadReading reading;
    std::optional<TimePoint> read_at;
    std::optional<TimePoint> failed_at;
    std::optional<TimePoint> cold_send_at;
    TimePoint cold_until;
    int sent_since_reading = 0;
    TimePoint last_observed_at;
  };

  const Observation* Find(const BackendServerName& server) const;
  Observation& Touch(const BackendServerName& server, TimePoint now);

  std::map<BackendServerName, Observation> observations_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_FLEET_SERVER_OBSERVATIONS_H_
