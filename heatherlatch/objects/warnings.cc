#include <algorithm>
#include <utility>

#include "heatherlatch/objects/diff.h"
#include "heatherlatch/objects/internal/capacity.h"
#include "heatherlatch/objects/internal/labels.h"
#include "heatherlatch/objects/internal/pairs.h"

namespace heatherlatch {
namespace {

using internal::Capacity;
using internal::JoinNames;
using internal::LabelOf;
using internal::PairByName;

class WarningCollector {
 public:
  WarningCollector(const ObjectSet& before, const ObjectSet& after)
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
      WarnIfWithoutServer(after, nullptr);
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
        WarnIfWithoutServer(route, pair.after);
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

  // Warns if the change leaves the route without a server in service in its
  // home regions or, where `organisation` is not nullptr, in those of them that
  // the organisation allows.
  void WarnIfWithoutServer(const Route& route,
                           const Organisation* organisation) {
    if (!IsWithoutServer(after_, capacity_after_, route, organisation)) return;
    if (organisation &&
        IsWithoutServer(after_, capacity_after_, route, nullptr)) {
      return;  // The warning of the route covers all organisations.
    }
    if (WasWithoutServer(route.name, organisation)) return;
    const auto regions = HomeRegionsOf(after_, route, organisation);
    std::string text = LabelOf(route);
    if (organisation) text += " for " + LabelOf(*organisation);
    text += " has no server in service";
    if (!regions.empty()) text += " in " + JoinNames(regions);
    Add(WarningKind::kHomeRegionsWithoutServer, LabelOf(route),
        std::move(text));
  }

  bool WasWithoutServer(const RouteName& name,
                        const Organisation* organisation) const {
    const auto route = std::find_if(
        before_.routes.begin(), before_.routes.end(),
        [&](const Route& candidate) { return candidate.name == name; });
    if (route == before_.routes.end()) return false;
    const Organisation* before =
        organisation ? before_.FindOrganisation(organisation->name) : nullptr;
    if (organisation && !before) return false;
    return IsWithoutServer(before_, capacity_before_, *route, before);
  }

  static bool IsWithoutServer(const ObjectSet& set, const Capacity& capacity,
                              const Route& route,
                              const Organisation* organisation) {
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

std::vector<ChangeWarning> WarnAboutChange(const ObjectSet& before,
                                           const ObjectSet& after) {
  return WarningCollector(before, after).Run();
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
