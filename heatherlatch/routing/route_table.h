// The routes that operators publish, and how a request finds its route.
//
// Example:
//   const TrafficRoute* route = table.Find("shop.example", "/tally/7?day=2");
//   if (route == nullptr) AnswerNotFound();
//
// Thread safety: immutable once built.
#ifndef HEATHERLATCH_ROUTING_ROUTE_TABLE_H_
#define HEATHERLATCH_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// One of the services that share a route's requests.
struct RoutePart {
  ServiceName service;
  double weight = 1;
};

struct TrafficRoute {
  RouteName name;
  std::string authority;    // The host name that callers ask for.
  std::string path_prefix;  // Begins and ends with a slash.
  bool idempotent = false;
  bool heavy = false;               // Answers are long downloads.
  std::optional<Duration> timeout;  // Longest time to an answer, if limited.
  Duration latency_target{};
  int max_attempts = 1;  // Backend servers that one request may reach.
  int priority = 0;      // 0 is the most urgent.
  std::vector<RoutePart> parts;
  std::vector<RegionName> home_regions;  // Empty: any region.
};

// What operators publish about a service besides its servers.
struct ServiceTraits {
  std::string health_path;
  int connections_per_server = 0;
  double cold_requests_per_second = 0;  // Borne by a server in cold start.
};

// Bounds on what a caller may send and how long it may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct RouteTable {
  std::uint64_t version = 0;
  std::vector<TrafficRoute> routes;
  std::map<ServiceName, ServiceTraits> services;
  CallerLimits limits;

  // Finds the route of the authority with the longest prefix of the path.
  // @param authority  the Host field, with or without a port
  // @param target     the request target; its query is ignored
  // @return the route, or nullptr
  const TrafficRoute* Find(std::string_view authority,
                           std::string_view target) const;
};

// Chooses a part of a route, so that the parts get requests as their weights
// are.
// @param sample  evenly distributed in [0, 1)
// @return the part, or nullptr where no part has a weight above zero
const RoutePart* ChoosePart(const TrafficRoute& route, double sample);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ROUTING_ROUTE_TABLE_H_
