#include "heatherlatch/routing/route_table.h"

#include <boost/algorithm/string/predicate.hpp>

namespace heatherlatch {
namespace {

bool IsSameAuthority(std::string_view requested, std::string_view configured) {
  if (boost::algorithm::iequals(requested, configured)) return true;
  const std::size_t colon = requested.rfind(':');
  return colon != std::string_view::npos &&
         boost::algorithm::iequals(requested.substr(0, colon), configured);
}

}  // namespace

const TrafficRoute* RouteTable::Find(std::string_view authority,
                                     std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const TrafficRoute* best = nullptr;
  for (const TrafficRoute& route : routes) {
    if (path.substr(0, route.path_prefix.size()) != route.path_prefix) continue;
    if (best != nullptr &&
        best->path_prefix.size() >= route.path_prefix.size()) {
      continue;
    }
    if (IsSameAuthority(authority, route.authority)) best = &route;
  }
  return best;
}

const WeightedService* ChooseService(const TrafficRoute& route, double sample) {
  double sum = 0;
  for (const WeightedService& svc : route.weighted_services) sum += svc.weight;
  double remaining = sample * sum;
  const WeightedService* last = nullptr;
  for (const WeightedService& service : route.weighted_services) {
    if (service.weight <= 0) continue;
    last = &service;
    remaining -= service.weight;
    if (remaining < 0) break;
  }
  return last;
}

}  // namespace heatherlatch
