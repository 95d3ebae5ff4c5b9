// The published objects that operators write, as one immutable set.
//
// Objects refer to one another by name. A set that `ReadObjectSet` (see
// check.h) has accepted has no broken reference, so code that looks an object
// up in an accepted set may rely on finding it.
//
// Example:
//   const Route* route = set.FindRoute("GET", "/tally/shop-7");
//   std::vector<RegionName> homes = set.HomeRegions(*route, *organisation);
//
// Thread safety: immutable after it is built; share it as
// `std::shared_ptr<const ObjectSet>`.
#ifndef HEATHERLATCH_OBJECTS_OBJECT_SET_H_
#define HEATHERLATCH_OBJECTS_OBJECT_SET_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// The revision that the configuration service gave to a published set. A
// higher revision replaces a lower one.
using Revision = std::uint64_t;

struct Region {
  RegionName name;
};

struct AvailabilityZone {
  ZoneName name;
  RegionName region;
  bool in_service = true;  // False: no backend server here gets new work.
};

// Whether answers of a service are small or long downloads.
enum class WorkClass { kSmall, kHeavy };

struct BackendServer {
  BackendServerName name;
  ServiceName service;
  ZoneName zone;
  Endpoint endpoint;
};

struct Service {
  ServiceName name;
  WorkClass work_class = WorkClass::kSmall;
  int slots_per_server = 1;        // Requests that one server runs at a time.
  int connections_per_server = 1;  // Connections that one server accepts.
  int cold_start_slots = 1;        // Slots used of a server that turned cold.
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_cost = std::chrono::milliseconds(1);  // Server time per probe.
  double probe_budget = 0.01;  // Share of a server's time spent on probes.
  std::vector<BackendServer> servers;
};

struct Route {
  RouteName name;
  std::string path_prefix;           // Matches whole path segments.
  std::vector<std::string> methods;  // Upper case, such as "GET".
  ServiceName service;
  bool idempotent = false;
  std::vector<RegionName> home_regions;  // Empty: any region.
  Duration deadline = std::chrono::seconds(2);
  std::uint64_t max_request_bytes = 65536;
};

struct Organisation {
  OrganisationName name;
  std::vector<RegionName> home_regions;  // Empty: any region.
  int weight = 1;                        // Share of a busy server group.
};

// Limits that hold for the whole deployment.
struct Limits {
  // How long after its first send a caller may still repeat a request under
  // the same key.
  Duration resend_window = std::chrono::seconds(20);
  double retry_share = 0.1;  // Retries allowed for each successful request.
  double cross_region_megabits_per_second = 400;  // For each pair of regions.
};

class ObjectSet {
 public:
  Revision revision = 0;
  std::vector<Region> regions;
  std::vector<AvailabilityZone> zones;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<Organisation> organisations;
  Limits limits;

  // Each returns the named object, or nullptr.
  const Region* FindRegion(const RegionName& name) const;
  const AvailabilityZone* FindZone(const ZoneName& name) const;
  const Service* FindService(const ServiceName& name) const;
  const Organisation* FindOrganisation(const OrganisationName& name) const;

  // Finds the route with the longest prefix that matches whole segments of the
  // path. A path with a "." or ".." segment, plain or percent-encoded, matches
  // no route, because a backend server might resolve it to another route's
  // path.
  // @param method  an HTTP method in upper case
  // @param path    the path of the request, without its query
  // @return the route, or nullptr
  const Route* FindRoute(std::string_view method, std::string_view path) const;

  // @return the regions that both objects allow, in the order of the route
  //     (of the organisation where the route allows any); every region of the
  //     set where neither names one; empty where the two exclude each other
  std::vector<RegionName> HomeRegions(const Route& route,
                                      const Organisation& organisation) const;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_OBJECTS_OBJECT_SET_H_
