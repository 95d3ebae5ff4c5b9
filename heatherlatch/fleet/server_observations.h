// What this host has observed of each backend server: load readings, requests
// sent, failures and cold start.
//
// Example:
//   observations.OnReading(server, reading, now);
//   if (!observations.FailedRecently(server, now)) ...
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

// How long a statement of a server that it is in no cold start holds. In that
// time all hosts together send it fewer requests than it tolerates.
inline constexpr Duration kWarmStateMaxAge = std::chrono::milliseconds(250);

// How long after a failure a server is ranked behind the others. Failures of a
// server come in periods of seconds.
inline constexpr Duration kRecentFailureWindow = std::chrono::seconds(1);

class ServerObservations {
 public:
  void OnReading(const BackendServerName& server, const LoadReading& reading,
                 TimePoint now);
  void OnColdRemaining(const BackendServerName& server, Duration remaining,
                       TimePoint now);
  // @param duration  from the send of a probe to its response
  void OnProbeDuration(const BackendServerName& server, Duration duration,
                       TimePoint now);
  void OnSent(const BackendServerName& server, TimePoint now);
  void OnFailure(const BackendServerName& server, TimePoint now);

  // @return the last reading if it is at most `max_age` old
  std::optional<LoadReading> Reading(const BackendServerName& server,
                                     Duration max_age, TimePoint now) const;
  // @return about the shortest time in which a probe was answered lately; zero:
  //     none was
  Duration ProbeDuration(const BackendServerName& server) const;
  int SentSinceReading(const BackendServerName& server) const;
  bool FailedRecently(const BackendServerName& server, TimePoint now) const;
  bool IsCold(const BackendServerName& server, TimePoint now) const;
  // A server may enter a cold start at any time, and only its response to a
  // probe tells so. A request that is sent without a probe just before needs a
  // server of which this is known.
  // @return whether the server stated lately that it is in no cold start
  bool IsKnownToBeWarm(const BackendServerName& server, TimePoint now) const;

  // @return whether the server ever stated that it is in no cold start
  bool WasWarm(const BackendServerName& server) const;
  // @return the age of the server's last statement on its cold start, from when
  //     it was received; nothing without one
  std::optional<Duration> ColdStatementAge(const BackendServerName& server,
                                           TimePoint now) const;

  // Removes the servers without an observation for longer than `age`.
  void RemoveStale(Duration age, TimePoint now);

 private:
  struct Observation {
    LoadReading reading;
    std::optional<TimePoint> read_at;
    std::optional<TimePoint> failed_at;
    TimePoint cold_until;
    bool was_warm = false;
    std::optional<TimePoint> cold_state_read_at;
    std::optional<Duration> probe_duration;
    int sent_since_reading = 0;
    TimePoint last_observed_at;
  };

  const Observation* Find(const BackendServerName& server) const;
  // @return the observation of the server, added if absent, with its time set
  Observation& Touch(const BackendServerName& server, TimePoint now);

  std::map<BackendServerName, Observation> observations_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_FLEET_SERVER_OBSERVATIONS_H_
