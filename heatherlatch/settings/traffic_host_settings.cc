#include "heatherlatch/settings/traffic_host_settings.h"

#include <utility>

#include "heatherlatch/yaml/document.h"
#include "heatherlatch/yaml/mapping_reader.h"

namespace heatherlatch {
namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

constexpr Range<Duration> kStopWaitRange{std::chrono::seconds(1),
                                         std::chrono::hours(2)};
constexpr Range<Duration> kFirstWaitRange{Duration::zero(),
                                          std::chrono::minutes(1)};
constexpr Range<Duration> kKeyValidityRange{std::chrono::seconds(1),
                                            std::chrono::hours(24)};
constexpr Range<Duration> kAllotmentWindowRange{std::chrono::milliseconds(100),
                                                std::chrono::hours(1)};
constexpr Range<double> kAllotmentOvershootRange{0, 10};
constexpr Range<double> kAllotmentSlackRange{0, 1'000'000};
constexpr Range<double> kRetryShareRange{0, 1};
constexpr Range<double> kProbesRange{1, 10'000};
constexpr Range<double> kMemoryLimitRange{32, 1'000'000};
// A host draws up to six servers for a request.
constexpr Range<double> kServerSubsetRange{6, 10'000};
constexpr double kBytesPerMegabyte = 1'000'000;
constexpr double kBytesPerGigabyte = 1e9;
constexpr Range<double> kPriceRange{0, 1e12};
// A missed target that costs nothing is no reason to leave a zone.
constexpr Range<double> kMissPriceRange{1e-12, 1e12};

void ReadMemoryLimit(MappingReader* reader, TrafficHostSettings* settings) {
  const std::optional<double> megabytes =
      reader->Number("memory_limit_mb", kOptional, kMemoryLimitRange);
  if (!megabytes) return;
  settings->memory_limit_bytes =
      static_cast<std::uint64_t>(*megabytes * kBytesPerMegabyte);
}

void ReadServerSubset(MappingReader* reader, TrafficHostSettings* settings) {
  const std::optional<double> servers =
      reader->Number("server_subset", kOptional, kServerSubsetRange);
  if (servers) settings->server_subset = static_cast<std::size_t>(*servers);
}

void ReadZones(MappingReader* reader, TrafficHostSettings* settings) {
  const std::optional<YAML::Node> zones = reader->Mapping("zones", kRequired);
  if (!zones) return;
  for (const auto& zone : *zones) {
    if (!zone.first.IsScalar() || !zone.second.IsScalar()) {
      reader->Report(FindingKind::kWrongType, "zones",
                     "an entry does not map a zone name to a region name");
      continue;
    }
    settings->zones[ZoneName(zone.first.Scalar())] =
        RegionName(zone.second.Scalar());
  }
}

void ReadZoneOverflow(MappingReader* parent, ReadContext* context,
                      TrafficHostSettings* settings) {
  const std::optional<YAML::Node> node =
      parent->Mapping("zone_overflow", kOptional);
  if (!node) return;
  MappingReader reader(*node, "zone_overflow", context);
  const auto zones =
      reader.Number("price_per_gigabyte_between_zones", kRequired, kPriceRange);
  const auto regions = reader.Number("price_per_gigabyte_between_regions",
                                     kRequired, kPriceRange);
  const auto missed =
      reader.Number("price_per_missed_target", kRequired, kMissPriceRange);
  reader.Finish();
  if (!zones || !regions || !missed) return;
  settings->zone_overflow = OverflowPrices{
      *zones / kBytesPerGigabyte, *regions / kBytesPerGigabyte, *missed};
}

}  // namespace

std::variant<TrafficHostSettings, std::vector<Finding>> ReadTrafficHostSettings(
    std::string_view yaml) {
  ReadContext context;
  const std::optional<YAML::Node> root = LoadDocument(yaml, &context.findings);
  if (!root) return std::move(context.findings);
  MappingReader reader(*root, "settings", &context);
  TrafficHostSettings settings;
  AssignIfPresent(reader.Text("host", kRequired), &settings.name);
  AssignIfPresent(reader.Text("region", kRequired), &settings.region);
  AssignIfPresent(reader.Text("zone", kRequired), &settings.zone);
  AssignIfPresent(reader.Address("caller_listen", kRequired),
                  &settings.caller_listen);
  AssignIfPresent(reader.Address("readiness_listen", kRequired),
                  &settings.readiness_listen);
  AssignIfPresent(reader.Address("peer_listen", kOptional),
                  &settings.peer_listen);
  AssignIfPresent(reader.Address("metrics_listen", kOptional),
                  &settings.metrics_listen);
  AssignIfPresent(reader.Address("platform", kRequired), &settings.platform);
  AssignIfPresent(reader.Boolean("first_start", kOptional),
                  &settings.first_start);
  AssignIfPresent(reader.AddressList("seeds", kOptional), &settings.seeds);
  ReadZones(&reader, &settings);
  AssignIfPresent(reader.Time("stop_wait", kOptional, kStopWaitRange),
                  &settings.stop_wait);
  AssignIfPresent(reader.Time("first_wait", kOptional, kFirstWaitRange),
                  &settings.first_wait);
  AssignIfPresent(reader.Number("retry_share", kOptional, kRetryShareRange),
                  &settings.retry_share);
  AssignIfPresent(reader.Number("probes_per_second", kOptional, kProbesRange),
                  &settings.probes_per_second);
  ReadServerSubset(&reader, &settings);
  settings.key_validity =
      reader.Time("key_validity", kOptional, kKeyValidityRange);
  AssignIfPresent(
      reader.Time("allotment_window", kOptional, kAllotmentWindowRange),
      &settings.allotment_window);
  AssignIfPresent(
      reader.Number("allotment_overshoot", kOptional, kAllotmentOvershootRange),
      &settings.allotment_overshoot);
  AssignIfPresent(
      reader.Number("allotment_slack", kOptional, kAllotmentSlackRange),
      &settings.allotment_slack);
  ReadMemoryLimit(&reader, &settings);
  ReadZoneOverflow(&reader, &context, &settings);
  reader.Finish();
  if (!context.findings.empty()) return std::move(context.findings);
  return settings;
}

}  // namespace heatherlatch
