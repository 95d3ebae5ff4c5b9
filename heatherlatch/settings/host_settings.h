// The settings of one entry host, read from a YAML file.
//
// The complete file is checked, and all findings are reported, of the same kind
// as for a set of objects (objects/check.h). The process does not start if
// there are findings. docs/CONFIGURATION.md lists every field.
//
// Thread safety: value types and pure functions.
#ifndef HEATHERLATCH_SETTINGS_HOST_SETTINGS_H_
#define HEATHERLATCH_SETTINGS_HOST_SETTINGS_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/objects/check.h"

namespace heatherlatch {

struct HostSettings {
  HostName name;
  RegionName region;
  ZoneName zone;
  Endpoint caller_listen;  // HTTP for callers.
  Endpoint admin_listen;   // HTTP for status and metrics.
  Endpoint peer_listen;    // WebSocket for other entry hosts.
  Endpoint platform;
  std::vector<std::string> peer_keys;  // Newest first; at least one.
  std::string log_path;                // Empty: standard error.
  std::string log_level = "info";
  int log_routine_lines_per_second = 200;
  int max_requests_in_progress = 512;  // Further requests are refused.
  Duration configuration_wait = std::chrono::seconds(30);
  Duration list_interval = std::chrono::seconds(1);
  Duration stop_wait = std::chrono::seconds(60);  // For requests in progress.
};

// @param yaml  the text of the file
// @return the settings, or all findings if there is any
std::variant<HostSettings, std::vector<Finding>> ReadHostSettings(
    std::string_view yaml);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_SETTINGS_HOST_SETTINGS_H_
