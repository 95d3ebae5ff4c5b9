#include "heatherlatch/membership/internal/link_targets.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace heatherlatch::membership_internal {
namespace {

using ZoneKey = std::pair<RegionName, ZoneName>;

// Scores a pair of hosts for rendezvous hashing. The score is the same from
// both ends, so two hosts tend to choose each other and share one link.
std::uint64_t PairScore(const HostName& a, const HostName& b) {
  const auto [first, second] = std::minmax(a.str(), b.str());
  const std::string text = first + '\n' + second;
  return XXH3_64bits(text.data(), text.size());
}

// Sorts the candidates by descending score and keeps the first `count`.
void KeepHighestRanked(const HostName& self, std::size_t count,
                       std::vector<LinkCandidate>* hosts) {
  std::sort(hosts->begin(), hosts->end(),
            [&](const LinkCandidate& a, const LinkCandidate& b) {
              return PairScore(self, a.name) > PairScore(self, b.name);
            });
  if (hosts->size() > count) hosts->resize(count);
}

std::map<ZoneKey, std::vector<LinkCandidate>> GroupByZone(
    const std::vector<LinkCandidate>& candidates) {
  std::map<ZoneKey, std::vector<LinkCandidate>> zones;
  for (const LinkCandidate& candidate : candidates) {
    zones[{candidate.region, candidate.zone}].push_back(candidate);
  }
  return zones;
}

std::size_t CountInRegion(const RegionName& region,
                          const std::vector<LinkCandidate>& candidates) {
  return std::count_if(
      candidates.begin(), candidates.end(),
      [&](const LinkCandidate& host) { return host.region == region; });
}

}  // namespace

std::vector<Endpoint> ChooseLinkTargets(
    const HostDescription& self, const std::vector<LinkCandidate>& candidates,
    const MembershipOptions& options) {
  // This host is not among the candidates but counts as part of the mesh.
  const bool mesh_fleet = candidates.size() + 1 <= options.full_mesh_hosts;
  const bool mesh_region =
      CountInRegion(self.region, candidates) + 1 <= options.full_mesh_hosts;
  std::vector<Endpoint> chosen;
  for (auto& [key, hosts] : GroupByZone(candidates)) {
    const bool own_region = key.first == self.region;
    const bool own_zone = own_region && key.second == self.zone;
    const bool all = own_zone || mesh_fleet || (own_region && mesh_region);
    if (!all) {
      KeepHighestRanked(self.incarnation.host, options.links_per_zone, &hosts);
    }
    for (const LinkCandidate& host : hosts) chosen.push_back(host.endpoint);
  }
  return chosen;
}

}  // namespace heatherlatch::membership_internal
