// Permits to send one request to a backend server in cold start.
//
// Such a server bears few requests a second, summed over all hosts, and hosts
// know neither each other nor their number. So the few hosts that all hosts
// know, the readers of the store, share the rate of each server in equal parts
// and issue permits; any other host sends a request only with a permit. The
// bound holds by counting: within one second, at most one request for each
// reader arrives, and the rate times one second and the lifetime of a permit.
// A reader has no permit to issue when it first hears of a server, so that
// restarts add none. If the server turned cold while it was in use, hosts that
// have not learnt it send requests for about a round trip more. Then the first
// permit follows later, by `DelayOfFirstPermit`, so that these requests and
// permits do not add up within one second.
//
// Example:
//   permits.TryIssue(server, rate / readers, first_delay, requester, now);
//   permits.Receive(server, asked_at);              // At the host that asked.
//   if (permits.Has(server, now)) permits.Use(server);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ADMISSION_COLD_START_PERMITS_H_
#define HEATHERLATCH_ADMISSION_COLD_START_PERMITS_H_

#include <map>
#include <optional>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// How long after the question a permit is valid. The users' rules allow half of
// the rate and some requests beyond the rate in each second.
inline constexpr Duration kColdStartPermitLifetime =
    std::chrono::milliseconds(400);

// @param round_trip  to the server; zero: not known
// @return how long a reader issues no permit for a server that turned cold: up
//     to the second within which the users' rules count, in proportion to the
//     requests that are on their way meanwhile
Duration DelayOfFirstPermit(Duration round_trip);

// Who asks a reader for a permit.
enum class PermitRequester { kSelf, kOtherHost };

class ColdStartPermits {
 public:
  // Issues a permit for one request, as a reader. Its own requests and those of
  // other hosts take turns.
  // @param per_second   this reader's part of the server's rate
  // @param first_delay  after the first call for a cold start, in which no
  //                     permit is issued; zero for a server that started cold
  // @return whether the rate, and the turn, allow it
  bool TryIssue(const BackendServerName& server, double per_second,
                Duration first_delay, PermitRequester requester, TimePoint now);
  // Notes that the server stated that it is in no cold start.
  // @return whether permits were issued, or asked for, since the last such
  //     statement
  bool EndColdStart(const BackendServerName& server) {
    return issues_.erase(server) > 0;
  }

  // Stores a permit that was issued to this host.
  // @param asked_at  when this host asked for it
  void Receive(const BackendServerName& server, TimePoint asked_at);
  // @return whether this host may send a request to the server now
  bool Has(const BackendServerName& server, TimePoint now) const;
  // Uses a permit. Does nothing without a valid one.
  void Use(const BackendServerName& server) { valid_until_.erase(server); }

  // Forgets the servers for which nothing was issued or stored for `age` beyond
  // the interval of their permits.
  void RemoveStale(Duration age, TimePoint now);

 private:
  struct Issue {
    TimePoint last_at;  // When the last permit was issued, or first asked for.
    TimePoint not_before;
    Duration interval{};  // Between two permits.
    // When another host asked in vain, unless one got a permit since.
    std::optional<TimePoint> other_denied_at;
  };

  std::map<BackendServerName, Issue> issues_;
  std::map<BackendServerName, TimePoint> valid_until_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_COLD_START_PERMITS_H_
