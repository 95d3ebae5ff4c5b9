#include "heatherlatch/objects/internal/cross_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "heatherlatch/objects/check.h"
#include "heatherlatch/objects/internal/labels.h"
#include "heatherlatch/yaml/closest_name.h"
#include "heatherlatch/yaml/units.h"

namespace heatherlatch::internal {
namespace {

template <typename Object>
std::vector<std::string> NamesOf(const std::vector<Object>& objects) {
  std::vector<std::string> names;
  for (const Object& object : objects) names.push_back(object.name.str());
  return names;
}

class CrossCheck {
 public:
  CrossCheck(const ObjectSet& set, ReadContext* context)
      : set_(set),
        context_(context),
        region_names_(NamesOf(set.regions)),
        zone_names_(NamesOf(set.zones)),
        service_names_(NamesOf(set.services)) {
    for (const AvailabilityZone& zone : set.zones) {
      if (set.FindRegion(zone.region)) {
        region_of_zone_.emplace(zone.name, zone.region);
      }
    }
    for (const Service& service : set.services) {
      service_regions_.emplace(service.name, ServiceRegionsOf(service));
    }
  }

  void Run() {
    CheckNames();
    CheckReferences();
    CheckZonesInService();
    CheckServices();
    CheckEndpoints();
    CheckRoutePaths();
    CheckRoutes();
    CheckOrganisations();
  }

 private:
  struct ServiceRegions {
    const Service* service = nullptr;
    std::set<RegionName> regions;  // The regions of its servers.
    bool all_regions_known = true;
  };

  ServiceRegions ServiceRegionsOf(const Service& service) const {
    ServiceRegions service_regions;
    service_regions.service = &service;
    for (const BackendServer& server : service.servers) {
      const auto region = region_of_zone_.find(server.zone);
      if (region == region_of_zone_.end()) {
        service_regions.all_regions_known = false;
      } else {
        service_regions.regions.insert(region->second);
      }
    }
    return service_regions;
  }

  const ServiceRegions* FindServiceRegions(const ServiceName& name) const {
    const auto found = service_regions_.find(name);
    return found == service_regions_.end() ? nullptr : &found->second;
  }

  void Report(FindingKind kind, const std::string& object,
              const std::string& field, std::string problem,
              std::string remedy = "") {
    context_->findings.push_back(
        {kind, context_->lines.FieldLine(object, field), object, field,
         std::move(problem), std::move(remedy)});
  }

  template <typename Object>
  void CheckNamesOf(const std::vector<Object>& objects, std::string_view kind) {
    std::map<std::string, std::size_t> seen;
    for (const Object& object : objects) {
      const std::size_t earlier = seen[object.name.str()]++;
      if (earlier == 0 || object.name.empty()) continue;
      ReportDuplicateName(ObjectLabel(kind, object.name.str()), kind, earlier);
    }
  }

  void ReportDuplicateName(const std::string& label, std::string_view kind,
                           std::size_t earlier) {
    const std::vector<int> lines = context_->lines.ObjectLines(label);
    context_->findings.push_back(
        {FindingKind::kDuplicateName, lines[earlier], label, "name",
         "the " + std::string(kind) + " in line " + std::to_string(lines[0]) +
             " has the same name",
         "give each its own name"});
  }

  void CheckNames() {
    CheckNamesOf(set_.regions, "region");
    CheckNamesOf(set_.zones, "zone");
    CheckNamesOf(set_.services, "service");
    std::vector<BackendServer> servers;
    for (const Service& service : set_.services) {
      servers.insert(servers.end(), service.servers.begin(),
                     service.servers.end());
    }
    CheckNamesOf(servers, "server");
    CheckNamesOf(set_.routes, "route");
    CheckNamesOf(set_.organisations, "organisation");
  }

  // Reports a reference to an object that does not exist. An empty name has
  // already been reported where it was read.
  void CheckReference(const std::string& object, const std::string& field,
                      std::string_view kind, const std::string& name,
                      const std::vector<std::string>& existing) {
    if (name.empty()) return;
    if (std::find(existing.begin(), existing.end(), name) != existing.end()) {
      return;
    }
    Report(FindingKind::kBrokenReference, object, field,
           ObjectLabel(kind, name) + " does not exist",
           DidYouMean(name, existing));
  }

  void CheckHomeRegions(const std::string& object,
                        const std::vector<RegionName>& regions) {
    std::set<RegionName> seen;
    for (const RegionName& region : regions) {
      CheckReference(object, "home_regions", "region", region.str(),
                     region_names_);
      if (seen.insert(region).second) continue;
      Report(FindingKind::kDuplicateName, object, "home_regions",
             ObjectLabel("region", region.str()) + " stands twice",
             "keep one of the two entries");
    }
  }

  void CheckReferences() {
    for (const AvailabilityZone& zone : set_.zones) {
      CheckReference(LabelOf(zone), "region", "region", zone.region.str(),
                     region_names_);
    }
    for (const Service& service : set_.services) {
      for (const BackendServer& server : service.servers) {
        CheckReference(LabelOf(server), "zone", "zone", server.zone.str(),
                       zone_names_);
      }
    }
    for (const Route& route : set_.routes) {
      CheckReference(LabelOf(route), "service", "service", route.service.str(),
                     service_names_);
      CheckHomeRegions(LabelOf(route), route.home_regions);
    }
    for (const Organisation& organisation : set_.organisations) {
      CheckHomeRegions(LabelOf(organisation), organisation.home_regions);
    }
  }

  void CheckZonesInService() {
    if (set_.zones.empty()) return;
    const bool any = std::any_of(
        set_.zones.begin(), set_.zones.end(),
        [](const AvailabilityZone& zone) { return zone.in_service; });
    if (any) return;
    Report(FindingKind::kContradiction, "", "zones", "no zone is in service",
           "set in_service to true for at least one zone");
  }

  void CheckServices() {
    for (const Service& service : set_.services) {
      CheckSlotCounts(service);
      CheckProbeBudget(service);
    }
  }

  void CheckSlotCounts(const Service& service) {
    if (service.cold_start_slots > service.slots_per_server) {
      Report(FindingKind::kContradiction, LabelOf(service), "cold_start_slots",
             std::to_string(service.cold_start_slots) +
                 " is more than slots_per_server, " +
                 std::to_string(service.slots_per_server));
    }
    if (service.slots_per_server > service.connections_per_server) {
      Report(FindingKind::kContradiction, LabelOf(service), "slots_per_server",
             std::to_string(service.slots_per_server) +
                 " is more than connections_per_server, " +
                 std::to_string(service.connections_per_server));
    }
  }

  void CheckProbeBudget(const Service& service) {
    const double share = ToMilliseconds(service.probe_cost) /
                         ToMilliseconds(service.probe_interval);
    if (share <= service.probe_budget) return;
    Report(FindingKind::kContradiction, LabelOf(service), "probe_interval",
           "a probe of " + FormatDuration(service.probe_cost) + " every " +
               FormatDuration(service.probe_interval) +
               " takes more of a server than probe_budget allows",
           "make the interval longer");
  }

  void CheckEndpoints() {
    std::map<Endpoint, const BackendServer*> owners;
    for (const Service& service : set_.services) {
      for (const BackendServer& server : service.servers) {
        if (server.endpoint.port == 0) continue;
        const auto [owner, added] = owners.emplace(server.endpoint, &server);
        if (added || owner->second->name == server.name) continue;
        Report(FindingKind::kContradiction, LabelOf(server), "endpoint",
               LabelOf(*owner->second) + " has the same endpoint " +
                   ToString(server.endpoint));
      }
    }
  }

  void CheckRoutePaths() {
    std::map<std::pair<std::string, std::string>, const Route*> owners;
    for (const Route& route : set_.routes) {
      if (route.path_prefix.empty()) continue;
      for (const std::string& method : route.methods) {
        const auto [owner, added] =
            owners.emplace(std::make_pair(route.path_prefix, method), &route);
        if (added) continue;
        if (owner->second->name == route.name) continue;
        Report(FindingKind::kContradiction, LabelOf(route), "path_prefix",
               LabelOf(*owner->second) + " has the same path_prefix for " +
                   method);
      }
    }
  }

  void CheckRoutes() {
    for (const Route& route : set_.routes) {
      CheckKeyLifetime(route);
      const ServiceRegions* service = FindServiceRegions(route.service);
      if (!service) continue;
      if (service->service->servers.empty()) {
        Report(FindingKind::kContradiction, LabelOf(route), "service",
               LabelOf(*service->service) + " has no server");
        continue;
      }
      CheckServerInRegions(route, *service);
    }
  }

  void CheckKeyLifetime(const Route& route) {
    if (route.idempotent) return;
    if (set_.limits.resend_window + route.deadline <= kMaxKeyLifetime) return;
    Report(FindingKind::kContradiction, LabelOf(route), "deadline",
           FormatDuration(route.deadline) + " and the resend_window of " +
               FormatDuration(set_.limits.resend_window) +
               " are together more than " + FormatDuration(kMaxKeyLifetime) +
               ", the most for a route that is not idempotent");
  }

  // @return whether the service has a server in one of the regions; also true
  //     if the region of a server is unknown, because that has a finding of its
  //     own
  static bool HasServerIn(const ServiceRegions& service,
                          const std::vector<RegionName>& regions) {
    if (!service.all_regions_known) return true;
    return std::any_of(regions.begin(), regions.end(),
                       [&](const RegionName& region) {
                         return service.regions.count(region) > 0;
                       });
  }

  void CheckServerInRegions(const Route& route, const ServiceRegions& service) {
    if (route.home_regions.empty()) return;
    if (HasServerIn(service, route.home_regions)) return;
    Report(FindingKind::kContradiction, LabelOf(route), "home_regions",
           LabelOf(*service.service) + " has no server in " +
               JoinNames(route.home_regions));
  }

  void CheckOrganisations() {
    for (const Organisation& organisation : set_.organisations) {
      if (organisation.home_regions.empty()) continue;
      for (const Route& route : set_.routes) {
        CheckOrganisationOnRoute(organisation, route);
      }
    }
  }

  void CheckOrganisationOnRoute(const Organisation& organisation,
                                const Route& route) {
    const auto regions = set_.HomeRegions(route, organisation);
    if (regions.empty()) {
      Report(FindingKind::kContradiction, LabelOf(organisation), "home_regions",
             "none of " + JoinNames(organisation.home_regions) +
                 " is a home region of " + LabelOf(route));
      return;
    }
    const ServiceRegions* service = FindServiceRegions(route.service);
    if (!service || service->service->servers.empty()) return;
    if (HasServerIn(*service, regions)) return;
    // `CheckRoutes` has reported a route without a server in its home regions.
    if (!route.home_regions.empty() &&
        !HasServerIn(*service, route.home_regions)) {
      return;
    }
    Report(FindingKind::kContradiction, LabelOf(organisation), "home_regions",
           LabelOf(*service->service) + " of " + LabelOf(route) +
               " has no server in " + JoinNames(regions));
  }

  const ObjectSet& set_;
  ReadContext* context_;
  std::vector<std::string> region_names_;
  std::vector<std::string> zone_names_;
  std::vector<std::string> service_names_;
  std::map<ZoneName, RegionName> region_of_zone_;
  std::map<ServiceName, ServiceRegions> service_regions_;
};

}  // namespace

void CheckAcrossObjects(const ObjectSet& set, ReadContext* context) {
  CrossCheck(set, context).Run();
}

}  // namespace heatherlatch::internal
