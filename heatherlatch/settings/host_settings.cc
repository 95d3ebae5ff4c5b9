#include "heatherlatch/settings/host_settings.h"

#include <set>
#include <utility>

#include "heatherlatch/yaml/document.h"
#include "heatherlatch/yaml/mapping_reader.h"

namespace heatherlatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

constexpr std::size_t kMinPeerKeyBytes = 16;
constexpr std::size_t kMaxPeerKeys = 4;
constexpr Range<int> kRoutineLinesRange{0, 100000};
constexpr Range<int> kRequestsInProgressRange{1, 100000};
constexpr Range<Duration> kConfigurationWaitRange{seconds(1), minutes(5)};
constexpr Range<Duration> kListIntervalRange{milliseconds(100), minutes(1)};
constexpr Range<Duration> kStopWaitRange{seconds(0), hours(2)};

const std::vector<std::string>& LogLevels() {
  static const std::vector<std::string> levels = {"debug", "info", "warning",
                                                  "error"};
  return levels;
}

// Peer keys are secrets: a finding names a key by its number, not its text.
void CheckPeerKeys(const std::vector<std::string>& keys,
                   MappingReader* reader) {
  if (keys.empty() || keys.size() > kMaxPeerKeys) {
    reader->Report(FindingKind::kOutOfRange, "peer_keys",
                   std::to_string(keys.size()) + " keys are given; 1 to " +
                       std::to_string(kMaxPeerKeys) + " are accepted");
  }
  std::set<std::string> seen;
  int number = 0;
  for (const std::string& key : keys) {
    const std::string label = "key " + std::to_string(++number);
    if (key.size() < kMinPeerKeyBytes) {
      reader->Report(FindingKind::kOutOfRange, "peer_keys",
                     label + " is shorter than " +
                         std::to_string(kMinPeerKeyBytes) + " bytes");
    }
    if (!seen.insert(key).second) {
      reader->Report(FindingKind::kDuplicateName, "peer_keys",
                     label + " appears twice");
    }
  }
}

struct NamedEndpoint {
  std::string field;
  const Endpoint* endpoint;
};

void CheckEndpointsDiffer(const HostSettings& settings, MappingReader* reader) {
  const std::vector<NamedEndpoint> endpoints = {
      {"caller_listen", &settings.caller_listen},
      {"admin_listen", &settings.admin_listen},
      {"peer_listen", &settings.peer_listen},
      {"platform", &settings.platform}};
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (endpoints[i].endpoint->port == 0) continue;
    for (std::size_t j = 0; j < i; ++j) {
      if (*endpoints[i].endpoint != *endpoints[j].endpoint) continue;
      reader->Report(FindingKind::kContradiction, endpoints[i].field,
                     "has the same endpoint as " + endpoints[j].field);
    }
  }
}

void ReadIdentity(MappingReader* reader, HostSettings* settings) {
  AssignIfPresent(reader->ObjectName("name", kRequired), &settings->name);
  AssignIfPresent(reader->ObjectName("region", kRequired), &settings->region);
  AssignIfPresent(reader->ObjectName("zone", kRequired), &settings->zone);
}

void ReadEndpoints(MappingReader* reader, HostSettings* settings) {
  AssignIfPresent(reader->Address("caller_listen", kRequired),
                  &settings->caller_listen);
  AssignIfPresent(reader->Address("admin_listen", kRequired),
                  &settings->admin_listen);
  AssignIfPresent(reader->Address("peer_listen", kRequired),
                  &settings->peer_listen);
  AssignIfPresent(reader->Address("platform", kRequired), &settings->platform);
  CheckEndpointsDiffer(*settings, reader);
}

void ReadPeerKeys(MappingReader* reader, HostSettings* settings) {
  const auto keys = reader->TextList("peer_keys", kRequired);
  if (!keys) return;
  CheckPeerKeys(*keys, reader);
  settings->peer_keys = *keys;
}

void ReadLog(MappingReader* reader, HostSettings* settings) {
  AssignIfPresent(reader->Text("log_path", kOptional), &settings->log_path);
  const auto level = reader->Choice("log_level", kOptional, LogLevels());
  if (level) settings->log_level = LogLevels()[*level];
  AssignIfPresent(reader->Integer("log_routine_lines_per_second", kOptional,
                                  kRoutineLinesRange),
                  &settings->log_routine_lines_per_second);
}

void ReadBounds(MappingReader* reader, HostSettings* settings) {
  AssignIfPresent(reader->Integer("max_requests_in_progress", kOptional,
                                  kRequestsInProgressRange),
                  &settings->max_requests_in_progress);
  AssignIfPresent(
      reader->Time("configuration_wait", kOptional, kConfigurationWaitRange),
      &settings->configuration_wait);
  AssignIfPresent(reader->Time("list_interval", kOptional, kListIntervalRange),
                  &settings->list_interval);
  AssignIfPresent(reader->Time("stop_wait", kOptional, kStopWaitRange),
                  &settings->stop_wait);
}

}  // namespace

std::variant<HostSettings, std::vector<Finding>> ReadHostSettings(
    std::string_view yaml) {
  ReadContext context;
  HostSettings settings;
  const auto root = LoadDocument(yaml, &context.findings);
  if (root) {
    MappingReader reader(*root, "", &context);
    ReadIdentity(&reader, &settings);
    ReadEndpoints(&reader, &settings);
    ReadPeerKeys(&reader, &settings);
    ReadLog(&reader, &settings);
    ReadBounds(&reader, &settings);
    reader.Finish();
  }
  if (context.findings.empty()) return settings;
  return std::move(context.findings);
}

}  // namespace heatherlatch
