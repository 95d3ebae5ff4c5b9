#include "heatherlatch/objects/diff.h"

#include <algorithm>
#include <utility>

#include "heatherlatch/objects/internal/capacity.h"
#include "heatherlatch/objects/internal/fields.h"
#include "heatherlatch/objects/internal/labels.h"
#include "heatherlatch/objects/internal/pairs.h"

namespace heatherlatch {
namespace {

using internal::Capacity;
using internal::Field;
using internal::FieldsOf;
using internal::LabelOf;
using internal::PairByName;

std::vector<BackendServer> ServersOf(const ObjectSet& set) {
  std::vector<BackendServer> servers;
  for (const Service& service : set.services) {
    servers.insert(servers.end(), service.servers.begin(),
                   service.servers.end());
  }
  return servers;
}

class ChangeDescriber {
 public:
  ChangeDescriber(const ObjectSet& before, const ObjectSet& after)
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
        Add(ChangeKind::kAdded, label,
            "adds " + label + LocationSuffix(*pair.after));
      } else if (!pair.after) {
        const std::string label = LabelOf(*pair.before);
        Add(ChangeKind::kRemoved, label,
            "removes " + label + LocationSuffix(*pair.before));
      } else {
        DescribeFields(LabelOf(*pair.after), FieldsOf(*pair.before),
                       FieldsOf(*pair.after));
      }
    }
  }

  template <typename Object>
  static std::string LocationSuffix(const Object& /*object*/) {
    return "";
  }
  static std::string LocationSuffix(const BackendServer& server) {
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

}  // namespace

std::vector<Change> DescribeChange(const ObjectSet& before,
                                   const ObjectSet& after) {
  return ChangeDescriber(before, after).Run();
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

}  // namespace heatherlatch
