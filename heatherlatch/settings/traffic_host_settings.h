// The settings of one traffic host, read from a YAML file.
//
// The file is checked whole, with the same kind of findings as a set of objects
// (objects/check.h). docs/TRAFFIC-HOST.md lists every field.
//
// Thread safety: value types and pure functions.
#ifndef HEATHERLATCH_SETTINGS_TRAFFIC_HOST_SETTINGS_H_
#define HEATHERLATCH_SETTINGS_TRAFFIC_HOST_SETTINGS_H_

#include <map>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/objects/check.h"

namespace heatherlatch {

struct TrafficHostSettings {
  HostName name;
  RegionName region;
  ZoneName zone;
  Endpoint caller_listen;       // HTTP for callers.
  Endpoint readiness_listen;    // HTTP for the platform's balancer.
  Endpoint peer_listen;         // HTTP for other hosts.
  Endpoint metrics_listen;      // HTTP for metrics.
  Endpoint platform;            // The platform's store.
  std::vector<Endpoint> seeds;  // Other hosts; some may be down.
  // Whether the whole deployment starts for the first time.
  bool first_start = false;
  std::map<ZoneName, RegionName> zones;
  // Until the process is killed after it was asked to stop.
  Duration stop_wait = std::chrono::seconds(6);
  // How long after its start the host keeps requests until it knows its first
  // configuration. Source: twice the way to the store and back between regions,
  // and the time that the list takes on the slowest link of the users' sheets.
  Duration first_wait = std::chrono::milliseconds(400);
  // Share of requests that may be sent once more.
  double retry_share = 0.2;
};

// @param yaml  the text of the file
// @return the settings, or every finding
std::variant<TrafficHostSettings, std::vector<Finding>> ReadTrafficHostSettings(
    std::string_view yaml);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_SETTINGS_TRAFFIC_HOST_SETTINGS_H_
