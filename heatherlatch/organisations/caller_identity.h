// Decides on whose behalf a request is sent, and whether its key may be used.
//
// Keys are taken away by a new configuration. A host that has not heard of it
// must stop accepting them within the published bound, also if it is cut off
// from the store, was paused, or hears of it through other hosts. So a key is
// accepted only while the host can prove that the store held the configuration
// within that bound. It can prove neither that a key is unknown unless its
// configuration is the newest one; otherwise another host may know the key.
//
// Example:
//   const CallerVerdict verdict =
//       IdentifyCaller(directory, request.key, route.is_public, knowledge);
//   if (std::holds_alternative<UnknownKey>(verdict)) RespondUnauthorized();
//
// Thread safety: pure functions. Reads no clock.
#ifndef HEATHERLATCH_ORGANISATIONS_CALLER_IDENTITY_H_
#define HEATHERLATCH_ORGANISATIONS_CALLER_IDENTITY_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heatherlatch/base/time.h"
#include "heatherlatch/organisations/organisation_directory.h"

namespace heatherlatch {

// What a request states about its caller.
struct NoKey {};
struct PresentedKey {
  std::string key;
};
// Several statements, or one that is no key. They identify nobody.
struct UnusableKey {};
using CallerKey = std::variant<NoKey, PresentedKey, UnusableKey>;

// The request is sent on behalf of no organisation.
struct Anonymous {};
struct OnBehalfOf {
  const TrafficOrganisation* organisation;
};
// No organisation holds the key. The caller must not send the request again.
struct UnknownKey {};
// The host cannot tell. The request was not run, and the caller may send it to
// another host.
struct KeyNotConfirmed {
  std::string_view reason;  // For the log.
};
using CallerVerdict =
    std::variant<Anonymous, OnBehalfOf, UnknownKey, KeyNotConfirmed>;

// What the host knows of its configuration.
struct KeyKnowledge {
  // Whether it is the newest one, and was confirmed lately.
  bool is_confirmed = false;
  // Whether the store held it within the bound on keys that are taken away.
  bool is_current = false;
};

CallerVerdict IdentifyCaller(const OrganisationDirectory& directory,
                             const CallerKey& key, bool route_is_public,
                             const KeyKnowledge& knowledge);

// A time together with the time for which the machine had been suspended, which
// the steady clock does not count.
struct SuspendAwareTime {
  TimePoint at;
  Duration suspended{};  // Since the machine started.
};

// @return the time from `a` to `b`, including suspensions
Duration TimeBetween(const SuspendAwareTime& a, const SuspendAwareTime& b);

// @param held_at   when the store is known to have held the configuration, or
//                  earlier; absent: not known
// @param validity  how long a key that was taken away may still be used;
//                  absent: unlimited
// @return whether keys may be used at `now`
bool IsCurrent(const std::optional<SuspendAwareTime>& held_at,
               std::optional<Duration> validity, const SuspendAwareTime& now);

// @return whether a backend server in `region` may receive a request with these
//     home regions: both lists bind; an empty one allows any region
bool IsHome(const RegionName& region,
            const std::vector<RegionName>& route_homes,
            const TrafficOrganisation* organisation);

// @return the rank of a request in a queue, the lowest first: by the priority
//     of its organisation, if it has one, and then by that of its route
int RankOf(int route_priority, const TrafficOrganisation* organisation);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ORGANISATIONS_CALLER_IDENTITY_H_
