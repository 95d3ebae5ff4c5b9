#include "heatherlatch/objects/object_set.h"

#include <algorithm>

namespace heatherlatch {
namespace {

template <typename Object, typename Name>
const Object* FindByName(const std::vector<Object>& objects, const Name& name) {
  const auto found =
      std::find_if(objects.begin(), objects.end(),
                   [&](const Object& object) { return object.name == name; });
  return found == objects.end() ? nullptr : &*found;
}

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

// @return whether the first segment of `path` is "." or "..", with each dot
//     plain or percent-encoded ("%2e")
bool StartsWithDotSegment(std::string_view path) {
  int dots = 0;
  while (!path.empty() && path.front() != '/') {
    if (path.front() == '.') {
      path.remove_prefix(1);
    } else if (path.substr(0, 3) == "%2e" || path.substr(0, 3) == "%2E") {
      path.remove_prefix(3);
    } else {
      return false;
    }
    ++dots;
  }
  return dots == 1 || dots == 2;
}

bool HasDotSegment(std::string_view path) {
  for (auto slash = path.find('/'); slash != std::string_view::npos;
       slash = path.find('/', slash + 1)) {
    if (StartsWithDotSegment(path.substr(slash + 1))) return true;
  }
  return false;
}

bool MatchesSegments(std::string_view prefix, std::string_view path) {
  if (path.substr(0, prefix.size()) != prefix) return false;
  if (prefix.empty() || prefix.back() == '/') return true;
  return path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool AllowsMethod(const Route& route, std::string_view method) {
  return std::find(route.methods.begin(), route.methods.end(), method) !=
         route.methods.end();
}

}  // namespace

const Region* ObjectSet::FindRegion(const RegionName& name) const {
  return FindByName(regions, name);
}

const AvailabilityZone* ObjectSet::FindZone(const ZoneName& name) const {
  return FindByName(zones, name);
}

const Service* ObjectSet::FindService(const ServiceName& name) const {
  return FindByName(services, name);
}

const Organisation* ObjectSet::FindOrganisation(
    const OrganisationName& name) const {
  return FindByName(organisations, name);
}

const Route* ObjectSet::FindRoute(std::string_view method,
                                  std::string_view path) const {
  const Route* best = nullptr;
  for (const Route& route : routes) {
    const bool longer =
        !best || route.path_prefix.size() > best->path_prefix.size();
    if (!longer || !MatchesSegments(route.path_prefix, path)) continue;
    if (AllowsMethod(route, method)) best = &route;
  }
  if (best && HasDotSegment(path)) return nullptr;
  return best;
}

std::vector<RegionName> ObjectSet::HomeRegions(
    const Route& route, const Organisation& organisation) const {
  if (!route.home_regions.empty() && !organisation.home_regions.empty()) {
    std::vector<RegionName> both;
    for (const RegionName& region : route.home_regions) {
      if (Contains(organisation.home_regions, region)) both.push_back(region);
    }
    return both;
  }
  if (!route.home_regions.empty()) return route.home_regions;
  if (!organisation.home_regions.empty()) return organisation.home_regions;
  std::vector<RegionName> all;
  for (const Region& region : regions) all.push_back(region.name);
  return all;
}

}  // namespace heatherlatch
