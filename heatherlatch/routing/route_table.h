// The routes and organisations that operators publish, and the matching of
// requests to routes.
//
// Example:
//   const TrafficRoute* route = table.Find("shop.example", "/tally/7?day=2");
//   if (route == nullptr) RespondNotFound();
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
#include "heatherlatch/organisations/organisation_directory.h"

namespace heatherlatch {

// One of the services among which a route splits its requests.
struct WeightedService {
  ServiceName service;
  double weight = 1;  // Share of the requests, relative to the others.
};

struct TrafficRoute {
  RouteName name;
  std::string authority;    // Host name, as in the Host field.
  std::string path_prefix;  // Begins and ends with a slash.
  bool idempotent = false;
  bool bulk = false;                // Responses are large downloads.
  std::optional<Duration> timeout;  // Maximum time to a response, if limited.
  Duration latency_target{};
  int max_attempts = 1;  // Backend servers that one request may be sent to.
  int priority = 0;      // 0 is the highest priority.
  // Empty: the route cannot be read, and its requests are refused as not run.
  std::vector<WeightedService> weighted_services;
  std::vector<RegionName> home_regions;  // Empty: any region.
  // Whether requests need no key of an organisation.
  bool is_public = false;
};

// Settings that operators publish for a service, apart from its servers.
struct ServiceSettings {
  std::string health_path;
  int connections_per_server = 0;
  double cold_requests_per_second = 0;  // Limit of a server in cold start.
};

// Limits on the size of a caller's request and on the time it may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct RouteTable {
  std::uint64_t version = 0;
  std::vector<TrafficRoute> routes;
  std::vector<RouteName> unreadable_routes;  // In `routes` too.
  std::map<ServiceName, ServiceSettings> services;
  // Empty: requests carry no keys.
  OrganisationDirectory organisations;
  CallerLimits limits;
  // Whether the configuration states `limits`. False: the times are built-in
  // ones, and the sizes are not known.
  bool states_limits = false;

  // Finds the route of the authority whose path prefix is the longest match.
  // @param authority  the Host field, with or without a port; letter case is
  //                   ignored
  // @param target     the request target; its query is ignored
  // @return the route, or nullptr where none matches
  const TrafficRoute* Find(std::string_view authority,
                           std::string_view target) const;
};

// Chooses a service of a route. The share of requests that each service
// receives is proportional to its weight.
// @param sample  uniformly distributed in [0, 1)
// @return the service, or nullptr where no service has a weight above zero
const WeightedService* ChooseService(const TrafficRoute& route, double sample);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ROUTING_ROUTE_TABLE_H_
