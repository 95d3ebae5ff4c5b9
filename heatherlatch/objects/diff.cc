#include "heatherlatch/objects/diff.h"

#include <algorithm>
#include <map>
#include <utility>

#include "heatherlatch/objects/internal/capacity.h"
#include "heatherlatch/objects/internal/fields.h"
#include "heatherlatch/objects/internal/labels.h"

namespace heatherlatch {
namespace {

using internal::Capacity;
using internal::Field;
using internal::FieldsOf;
using internal::JoinNames;
using internal::LabelOf;

// An object as it was before and after; one of the two may be absent.
template <typename Object>
struct Pair {
  const Object* before = nullptr;
  const Object* after = nullptr;
};

// @return the objects of both lists by name
template <typename Object>
auto PairByName(const std::vector<Object>& before,
                const std::vector<Object>& after) {
  std::map<decltype(Object::name), Pair<Object>> pairs;
  for (const Object& object : before) pairs[object.name].before = &object;
  for (const Object& object : after) pairs[object.name].after = &object;
  return pairs;
}

std::vector<BackendServer> ServersOf(const ObjectSet& set) {
  std::vector<BackendServer> servers;
  for (const Service& service : set.services) {
    servers.insert(servers.end(), service.servers.begin(),
                   service.servers.end());
  }
  return servers;
}

class Describer {
 public:
  Describer(const ObjectSet& before, const ObjectSet& after)
      : before_(before), after_(after), capacity_(after) {}

  std::vector<Change> Run() {
    DescribeObjects(before_.regions, after_.regions);
    DescribeObjects(before_.zones, after_.zones);
    DescribeZonesInService();
    DescribeObjects(before_.services, after_.services);
    DescribeObjects(ServersOf(before_), ServersOf(after_));
    DescribeObjects(before_.routes, after_.routes);
    DescribeObjects(before_.organisations, after_.organisations);
    DescribeFields("limits", FieldsOf(before_.limits), FieldsOf(after_.limits));
    return std::move(changes_);
  }

 private:
  void Add(ChangeKind kind, const std::string& object, std::string text) {
    changes_.push_back({kind, object, std::move(text)});
  }

  template <typename Object>
  void DescribeObjects(const std::vector<Object>& before,
                       const std::vector<Object>& after) {
    for (const auto& [name, pair] : PairByName(before, after)) {
      if (!pair.before) {
        const std::string label = LabelOf(*pair.after);
        Add(ChangeKind::kAdded, label, "adds " + label + Place(*pair.after));
      } else if (!pair.after) {
        const std::string label = LabelOf(*pair.before);
        Add(ChangeKind::kRemoved, label,
            "removes " + label + Place(*pair.before));
      } else {
        DescribeFields(LabelOf(*pair.after), FieldsOf(*pair.before),
                       FieldsOf(*pair.after));
      }
    }
  }

  template <typename Object>
  static std::string Place(const Object& /*object*/) {
    return "";
  }
  static std::string Place(const BackendServer& server) {
    return " of service \"" + server.service.str() + "\" in zone " +
           server.zone.str();
  }

  void DescribeFields(const std::string& label,
                      const std::vector<Field>& before,
                      const std::vector<Field>& after) {
    for (std::size_t i = 0; i < after.size(); ++i) {
      if (before[i].value == after[i].value) continue;
      Add(ChangeKind::kChanged, label,
          "changes " + after[i].name + " of " + label + " from " +
              before[i].value + " to " + after[i].value);
    }
  }

  void DescribeZonesInService() {
    for (const auto& [name, pair] : PairByName(before_.zones, after_.zones)) {
      if (!pair.after) continue;
      const bool was_in_service = !pair.before || pair.before->in_service;
      if (pair.after->in_service == was_in_service) continue;
      DescribeZoneInService(*pair.after);
    }
  }

  void DescribeZoneInService(const AvailabilityZone& zone) {
    std::string text =
        zone.in_service ? "brings zone " + zone.name.str() + " into service"
                        : "takes zone " + zone.name.str() + " out of service";
    for (const Service& service : after_.services) {
      if (HasServerInZone(service, zone.name)) text += Remaining(service, zone);
    }
    Add(zone.in_service ? ChangeKind::kBroughtIntoService
                        : ChangeKind::kTakenOutOfService,
        LabelOf(zone), std::move(text));
  }

  static bool HasServerInZone(const Service& service, const ZoneName& zone) {
    return std::any_of(
        service.servers.begin(), service.servers.end(),
        [&](const BackendServer& server) { return server.zone == zone; });
  }

  std::string Remaining(const Service& service,
                        const AvailabilityZone& zone) const {
    return "; " + std::to_string(capacity_.ServersInService(service)) + " of " +
           std::to_string(service.servers.size()) + " servers of " +
           LabelOf(service) + (zone.in_service ? " are in service" : " remain");
  }

  const ObjectSet& before_;
  const ObjectSet& after_;
  Capacity capacity_;
  std::vector<Change> changes_;
};

class Warner {
 public:
  Warner(const ObjectSet& before, const ObjectSet& after)
      : before_(before),
        after_(after),
        capacity_before_(before),
        capacity_after_(after) {}

  std::vector<ChangeWarning> Run() {
    WarnAboutRegions();
    WarnAboutServices();
    WarnAboutRoutes();
    WarnAboutOrganisations();
    WarnAboutResendWindow();
    return std::move(warnings_);
  }

 private:
  void Add(WarningKind kind, std::string object, std::string text) {
    warnings_.push_back({kind, std::move(object), std::move(text)});
  }

  void WarnAboutRegions() {
    for (const Region& region : after_.regions) {
      if (capacity_before_.ZonesInService(region.name) == 0) continue;
      if (capacity_after_.ZonesInService(region.name) > 0) continue;
      Add(WarningKind::kLastZoneOfRegionOut, LabelOf(region),
          "region " + region.name.str() + " has no zone in service any more");
    }
  }

  void WarnAboutServices() {
    for (const auto& [name, pair] :
         PairByName(before_.services, after_.services)) {
      if (!pair.before || !pair.after) continue;
      WarnAboutService(*pair.before, *pair.after);
    }
  }

  void WarnAboutService(const Service& before, const Service& after) {
    const int slots_before = capacity_before_.SlotsInService(before);
    const int slots_after = capacity_after_.SlotsInService(after);
    const int all = std::max(AllSlots(before), AllSlots(after));
    if (slots_after >= slots_before) return;
    if (slots_after >= all * kMinCapacityShare) return;
    Add(WarningKind::kTooLittleCapacity, LabelOf(after),
        LabelOf(after) + " keeps " + std::to_string(slots_after) + " of " +
            std::to_string(all) + " slots in service, less than half");
  }

  static int AllSlots(const Service& service) {
    return static_cast<int>(service.servers.size()) * service.slots_per_server;
  }

  void WarnAboutRoutes() {
    for (const auto& [name, pair] : PairByName(before_.routes, after_.routes)) {
      if (!pair.after) continue;
      const Route& after = *pair.after;
      WarnIfUnserved(after, nullptr);
      if (!pair.before) continue;
      WarnIfHomeRegionsChanged(*pair.before, after);
      if (!pair.before->idempotent && after.idempotent) {
        Add(WarningKind::kBecomesIdempotent, LabelOf(after),
            LabelOf(after) +
                " becomes idempotent; its requests may run more than once");
      }
    }
  }

  void WarnAboutOrganisations() {
    for (const auto& [name, pair] :
         PairByName(before_.organisations, after_.organisations)) {
      if (!pair.after) continue;
      if (pair.before) WarnIfHomeRegionsChanged(*pair.before, *pair.after);
      if (pair.after->home_regions.empty()) continue;
      for (const Route& route : after_.routes) {
        WarnIfUnserved(route, pair.after);
      }
    }
  }

  template <typename Object>
  void WarnIfHomeRegionsChanged(const Object& before, const Object& after) {
    if (before.home_regions == after.home_regions) return;
    Add(WarningKind::kHomeRegionsChanged, LabelOf(after),
        LabelOf(after) + " changes its home regions from [" +
            JoinNames(before.home_regions) + "] to [" +
            JoinNames(after.home_regions) + "]");
  }

  // Warns where the route, for the organisation if there is one, has lost its
  // last server in service.
  void WarnIfUnserved(const Route& route, const Organisation* organisation) {
    if (!IsUnserved(after_, capacity_after_, route, organisation)) return;
    if (organisation && IsUnserved(after_, capacity_after_, route, nullptr)) {
      return;  // Reported for the route itself.
    }
    if (WasUnserved(route.name, organisation)) return;
    const auto regions = HomeRegionsOf(after_, route, organisation);
    std::string text = LabelOf(route);
    if (organisation) text += " for " + LabelOf(*organisation);
    text += " has no server in service";
    if (!regions.empty()) text += " in " + JoinNames(regions);
    Add(WarningKind::kHomeRegionsWithoutServer, LabelOf(route),
        std::move(text));
  }

  bool WasUnserved(const RouteName& name,
                   const Organisation* organisation) const {
    const auto route = std::find_if(
        before_.routes.begin(), before_.routes.end(),
        [&](const Route& candidate) { return candidate.name == name; });
    if (route == before_.routes.end()) return false;
    const Organisation* before =
        organisation ? before_.FindOrganisation(organisation->name) : nullptr;
    if (organisation && !before) return false;
    return IsUnserved(before_, capacity_before_, *route, before);
  }

  static bool IsUnserved(const ObjectSet& set, const Capacity& capacity,
                         const Route& route, const Organisation* organisation) {
    const Service* service = set.FindService(route.service);
    if (!service) return true;
    return !capacity.HasServerIn(*service,
                                 HomeRegionsOf(set, route, organisation));
  }

  static std::vector<RegionName> HomeRegionsOf(
      const ObjectSet& set, const Route& route,
      const Organisation* organisation) {
    if (!organisation) return route.home_regions;
    return set.HomeRegions(route, *organisation);
  }

  void WarnAboutResendWindow() {
    if (after_.limits.resend_window >= before_.limits.resend_window) return;
    Add(WarningKind::kResendWindowShortened, "limits",
        "the resend window becomes shorter; callers that still repeat a "
        "request after it are answered that the outcome is unknown");
  }

  const ObjectSet& before_;
  const ObjectSet& after_;
  Capacity capacity_before_;
  Capacity capacity_after_;
  std::vector<ChangeWarning> warnings_;
};

}  // namespace

std::vector<Change> DescribeChange(const ObjectSet& before,
                                   const ObjectSet& after) {
  return Describer(before, after).Run();
}

std::vector<ChangeWarning> WarnAboutChange(const ObjectSet& before,
                                           const ObjectSet& after) {
  return Warner(before, after).Run();
}

std::string_view ToString(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
    case ChangeKind::kTakenOutOfService:
      return "taken-out-of-service";
    case ChangeKind::kBroughtIntoService:
      return "brought-into-service";
  }
  return "changed";
}

std::string_view ToString(WarningKind kind) {
  switch (kind) {
    case WarningKind::kTooLittleCapacity:
      return "too-little-capacity";
    case WarningKind::kHomeRegionsWithoutServer:
      return "home-regions-without-server";
    case WarningKind::kLastZoneOfRegionOut:
      return "last-zone-of-region-out";
    case WarningKind::kHomeRegionsChanged:
      return "home-regions-changed";
    case WarningKind::kBecomesIdempotent:
      return "becomes-idempotent";
    case WarningKind::kResendWindowShortened:
      return "resend-window-shortened";
  }
  return "too-little-capacity";
}

}  // namespace heatherlatch
