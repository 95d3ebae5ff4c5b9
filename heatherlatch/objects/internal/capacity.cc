#include "heatherlatch/objects/internal/capacity.h"

#include <algorithm>

namespace heatherlatch::internal {
namespace {

bool Allows(const std::vector<RegionName>& regions, const RegionName& region) {
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace

Capacity::Capacity(const ObjectSet& set) {
  for (const AvailabilityZone& zone : set.zones) {
    zones_.emplace(zone.name, &zone);
  }
}

int Capacity::ServersInService(const Service& service) const {
  int servers = 0;
  for (const BackendServer& server : service.servers) {
    const auto zone = zones_.find(server.zone);
    if (zone != zones_.end() && zone->second->in_service) ++servers;
  }
  return servers;
}

int Capacity::SlotsInService(const Service& service) const {
  return ServersInService(service) * service.slots_per_server;
}

bool Capacity::HasServerIn(const Service& service,
                           const std::vector<RegionName>& regions) const {
  const auto is_usable = [&](const BackendServer& server) {
    const auto zone = zones_.find(server.zone);
    if (zone == zones_.end()) return false;
    return zone->second->in_service && Allows(regions, zone->second->region);
  };
  return std::any_of(service.servers.begin(), service.servers.end(), is_usable);
}

int Capacity::ZonesInService(const RegionName& region) const {
  return static_cast<int>(
      std::count_if(zones_.begin(), zones_.end(), [&](const auto& entry) {
        return entry.second->region == region && entry.second->in_service;
      }));
}

}  // namespace heatherlatch::internal
