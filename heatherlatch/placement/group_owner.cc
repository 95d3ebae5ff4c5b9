#include "heatherlatch/placement/group_owner.h"

#include <xxhash.h>

#include <string>

namespace heatherlatch {
namespace {

// Separates the parts of a group's key; names cannot contain it.
constexpr char kKeySeparator = '\n';

std::uint64_t Score(std::string_view key, const HostIncarnation& host) {
  const std::string& name = host.host.str();
  const XXH64_hash_t seed =
      XXH3_64bits_withSeed(name.data(), name.size(), host.nonce);
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

// Hosts of equal score are ordered by incarnation, so the result does not
// depend on the order of the list.
bool RanksHigher(std::uint64_t score, const HostIncarnation& host,
                 std::uint64_t best_score, const HostIncarnation& best) {
  return score != best_score ? score > best_score : best < host;
}

}  // namespace

std::optional<HostIncarnation> RendezvousOwner(
    std::string_view key, const std::vector<HostIncarnation>& hosts) {
  const HostIncarnation* best = nullptr;
  std::uint64_t best_score = 0;
  for (const HostIncarnation& host : hosts) {
    const std::uint64_t score = Score(key, host);
    if (best == nullptr || RanksHigher(score, host, best_score, *best)) {
      best = &host;
      best_score = score;
    }
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

std::optional<HostIncarnation> GroupOwner(
    const GroupId& group, const std::vector<HostIncarnation>& zone_hosts,
    const std::vector<HostIncarnation>& region_hosts) {
  const std::string key =
      group.service.str() + kKeySeparator + group.zone.str();
  return RendezvousOwner(key, zone_hosts.empty() ? region_hosts : zone_hosts);
}

}  // namespace heatherlatch
