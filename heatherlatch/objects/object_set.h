// The configuration that operators publish: regions, availability zones,
// services with their backend servers, routes, organisations and limits, as one
// immutable set.
//
// Objects refer to one another by name. A set that `ReadObjectSet` (see
// check.h) has accepted has no broken reference: each object that is referred
// to by name can be found in it.
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

// The revision that the configuration service assigned to a published set. A
// set with a higher revision replaces one with a lower revision.
using Revision = std::uint64_t;

struct Region {
  RegionName name;
};

struct AvailabilityZone {
  ZoneName name;
  RegionName region;
  bool in_service = true;  // False: its servers get no new requests.
};

// Size of the responses of a service: small responses, or downloads that take
// long to transfer.
enum class WorkClass { kSmall, kBulk };

struct BackendServer {
  BackendServerName name;
  ServiceName service;
  ZoneName zone;
  Endpoint endpoint;
};

struct Service {
  ServiceName name;
  WorkClass work_class = WorkClass::kSmall;
  int slots_per_server = 1;        // Concurrent requests on one server.
  int connections_per_server = 1;  // Connections one server accepts.
  int cold_start_slots = 1;        // Slots used on a cold server.
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_cost = std::chrono::milliseconds(1);  // Server time per probe.
  double probe_budget = 0.01;  // Maximum share of server time for probes.
  std::vector<BackendServer> servers;
};

struct Route {
  RouteName name;
  std::string path_prefix;           // Matches complete path segments.
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
  int weight = 1;                        // Relative share of contended slots.
};

// Limits that hold for the whole deployment.
struct Limits {
  // How long after the first transmission of a request a caller may resend it
  // with the same idempotency key.
  Duration resend_window = std::chrono::seconds(20);
  double retry_share = 0.1;  // Retries allowed per successful request.
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

  // Each returns the object of this name, or nullptr if there is none.
  const Region* FindRegion(const RegionName& name) const;
  const AvailabilityZone* FindZone(const ZoneName& name) const;
  const Service* FindService(const ServiceName& name) const;
  const Organisation* FindOrganisation(const OrganisationName& name) const;

  // Finds the route for the method that has the longest prefix of the path. A
  // prefix matches complete segments only: "/tally" matches "/tally/7" but not
  // "/tallying". A path with a "." or ".." segment, plain or percent-encoded,
  // matches no route, because a backend server might resolve it to a path that
  // belongs to another route.
  // @param method  an HTTP method in upper case
  // @param path    the path of the request, without its query
  // @return the route, or nullptr if none matches
  const Route* FindRoute(std::string_view method, std::string_view path) const;

  // @return the regions in which a request of the organisation to the route may
  //     run: those that both allow, in the order of the route (of the
  //     organisation if the route allows any region); all regions of the set if
  //     neither restricts them; empty if the two have none in common
  std::vector<RegionName> HomeRegions(const Route& route,
                                      const Organisation& organisation) const;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_OBJECTS_OBJECT_SET_H_
