// Builds the status page of a deployment from the reports of its hosts.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_PROGRAMS_STATUS_STATUS_PAGE_H_
#define HEATHERLATCH_PROGRAMS_STATUS_STATUS_PAGE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace heatherlatch {

// The report of one host, read from its admin endpoint.
struct HostReport {
  std::string endpoint;
  std::optional<nlohmann::json> status;  // None if no valid response came.
};

struct StatusPage {
  std::vector<std::string> problems;  // One sentence each; empty if healthy.
  std::string text;                   // The page as text for operators.
  nlohmann::json json;                // The page as JSON for programs.
};

// @param reports  one for each queried host
// @return the page; the deployment is healthy if it has no problems
StatusPage BuildStatusPage(const std::vector<HostReport>& reports);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PROGRAMS_STATUS_STATUS_PAGE_H_
