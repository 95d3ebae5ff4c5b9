// The settings of one traffic host, read from a YAML file.
//
// The complete file is checked, and all findings are reported, of the same kind
// as for a set of objects (objects/check.h). docs/TRAFFIC-HOST.md lists every
// field.
//
// Thread safety: value types and pure functions.
#ifndef HEATHERLATCH_SETTINGS_TRAFFIC_HOST_SETTINGS_H_
#define HEATHERLATCH_SETTINGS_TRAFFIC_HOST_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/objects/check.h"
#include "heatherlatch/zone_room/zone_overflow.h"

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
  std::vector<Endpoint> seeds;  // Peers; some may be down.
  // Whether the complete deployment starts for the first time.
  bool first_start = false;
  std::map<ZoneName, RegionName> zones;  // All zones, with their regions.
  // Time from the stop signal until the process is killed.
  Duration stop_wait = std::chrono::seconds(6);
  // How long after its start the host lets requests wait for its first
  // configuration. The default covers two round trips to the store between
  // regions, and the transfer of the list over the slowest link in the users'
  // sheets.
  Duration first_wait = std::chrono::milliseconds(400);
  // Memory above which the platform ends the process. The default is that of
  // the smallest host in the users' sheets.
  std::uint64_t memory_limit_bytes = 160'000'000;
  // Retry budget: the share of requests that may be sent a second time, 0 to 1.
  double retry_share = 0.2;
  // Health and load probes that one server may receive a second from all hosts
  // together.
  double probes_per_second = 60;
  // Servers of a service that the host uses at each distance while they have
  // room (steering/server_subset.h). Absent: all.
  std::optional<std::size_t> server_subset;
  // How long after an operator took a key of an organisation away hosts may
  // still accept it, whatever they are cut off from. Absent: until they learn
  // of it.
  std::optional<Duration> key_validity;
  // Allotments of organisations: in any window, all hosts together may run
  // (rate * window + burst) * (1 + overshoot) + slack requests.
  Duration allotment_window = std::chrono::seconds(5);
  double allotment_overshoot = 0.1;
  double allotment_slack = 0;  // Requests.
  // Prices by which the host decides which share of its requests leaves its
  // zone. Absent: no share does, and only requests without a server in time
  // look for one farther away.
  std::optional<OverflowPrices> zone_overflow;
};

// @param yaml  the text of the file
// @return the settings, or all findings if there is any
std::variant<TrafficHostSettings, std::vector<Finding>> ReadTrafficHostSettings(
    std::string_view yaml);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_SETTINGS_TRAFFIC_HOST_SETTINGS_H_
