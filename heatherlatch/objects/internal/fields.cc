#include "heatherlatch/objects/internal/fields.h"

#include "heatherlatch/objects/internal/labels.h"
#include "heatherlatch/yaml/units.h"

namespace heatherlatch::internal {
namespace {

std::string FormatBoolean(bool value) { return value ? "true" : "false"; }

std::string FormatRegions(const std::vector<RegionName>& regions) {
  return "[" + JoinNames(regions) + "]";
}

std::string FormatWorkClass(WorkClass work_class) {
  return work_class == WorkClass::kBulk ? "heavy" : "small";
}

}  // namespace

std::vector<Field> FieldsOf(const Region& /*region*/) { return {}; }

std::vector<Field> FieldsOf(const AvailabilityZone& zone) {
  return {{"region", zone.region.str()}};
}

std::vector<Field> FieldsOf(const Service& service) {
  return {
      {"work_class", FormatWorkClass(service.work_class)},
      {"slots_per_server", std::to_string(service.slots_per_server)},
      {"connections_per_server",
       std::to_string(service.connections_per_server)},
      {"cold_start_slots", std::to_string(service.cold_start_slots)},
      {"probe_interval", FormatDuration(service.probe_interval)},
      {"probe_cost", FormatDuration(service.probe_cost)},
      {"probe_budget", FormatNumber(service.probe_budget)},
  };
}

std::vector<Field> FieldsOf(const BackendServer& server) {
  return {
      {"service", server.service.str()},
      {"zone", server.zone.str()},
      {"endpoint", ToString(server.endpoint)},
  };
}

std::vector<Field> FieldsOf(const Route& route) {
  return {
      {"path_prefix", route.path_prefix},
      {"methods", "[" + JoinTexts(route.methods) + "]"},
      {"service", route.service.str()},
      {"idempotent", FormatBoolean(route.idempotent)},
      {"home_regions", FormatRegions(route.home_regions)},
      {"deadline", FormatDuration(route.deadline)},
      {"max_request_bytes", FormatSize(route.max_request_bytes)},
  };
}

std::vector<Field> FieldsOf(const Organisation& organisation) {
  return {
      {"home_regions", FormatRegions(organisation.home_regions)},
      {"weight", std::to_string(organisation.weight)},
  };
}

std::vector<Field> FieldsOf(const Limits& limits) {
  return {
      {"resend_window", FormatDuration(limits.resend_window)},
      {"retry_share", FormatNumber(limits.retry_share)},
      {"cross_region_megabits_per_second",
       FormatNumber(limits.cross_region_megabits_per_second)},
  };
}

}  // namespace heatherlatch::internal
