#include "heatherlatch/organisations/caller_identity.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// Allows for clocks of hosts and store that run at slightly different speeds.
constexpr Duration kValidityMargin = std::chrono::milliseconds(100);

// Routes differ in fewer priorities than this, so that the priority of an
// organisation outweighs them.
constexpr int kRouteRanks = 1000;

KeyOwner OwnerOf(const OrganisationDirectory& directory, const CallerKey& key) {
  const auto* presented = std::get_if<PresentedKey>(&key);
  return presented == nullptr ? KeyOwner(HeldByNone{})
                              : directory.FindOwner(presented->key);
}

bool Contains(const std::vector<RegionName>& regions,
              const RegionName& region) {
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

CallerVerdict IdentifyCaller(const OrganisationDirectory& directory,
                             const CallerKey& key, bool route_is_public,
                             const KeyKnowledge& knowledge) {
  if (directory.empty()) return Anonymous{};
  const KeyOwner owner = OwnerOf(directory, key);
  const auto* held = std::get_if<HeldBy>(&owner);
  if (held != nullptr && knowledge.is_current) {
    return OnBehalfOf{held->organisation};
  }
  if (route_is_public) return Anonymous{};
  if (!knowledge.is_current) return KeyNotConfirmed{"not-current"};
  if (std::holds_alternative<HeldBySeveral>(owner)) {
    return KeyNotConfirmed{"held-by-several"};
  }
  if (!directory.unreadable().empty()) {
    return KeyNotConfirmed{"organisation-unreadable"};
  }
  if (!knowledge.is_confirmed) return KeyNotConfirmed{"not-confirmed"};
  return UnknownKey{};
}

Duration TimeBetween(const SuspendAwareTime& a, const SuspendAwareTime& b) {
  return (b.at - a.at) + (b.suspended - a.suspended);
}

bool IsCurrent(const std::optional<SuspendAwareTime>& held_at,
               std::optional<Duration> validity, const SuspendAwareTime& now) {
  if (!validity) return true;
  return held_at && TimeBetween(*held_at, now) <= *validity - kValidityMargin;
}

bool IsHome(const RegionName& region,
            const std::vector<RegionName>& route_homes,
            const TrafficOrganisation* organisation) {
  return Contains(route_homes, region) &&
         (organisation == nullptr ||
          Contains(organisation->home_regions, region));
}

int RankOf(int route_priority, const TrafficOrganisation* organisation) {
  const int route_rank = std::clamp(route_priority, 0, kRouteRanks - 1);
  if (organisation == nullptr || !organisation->priority) {
    return route_rank * kRouteRanks + route_rank;
  }
  constexpr int kHighest = kRouteRanks - 1;
  return std::clamp(*organisation->priority, 0, kHighest) * kRouteRanks +
         route_rank;
}

}  // namespace heatherlatch
