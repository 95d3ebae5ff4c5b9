// Builds the status page of a deployment from what its hosts report.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_PROGRAMS_STATUS_STATUS_PAGE_H_
#define HEATHERLATCH_PROGRAMS_STATUS_STATUS_PAGE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace heatherlatch {

// What one host reported at its admin endpoint.
struct HostReport {
  std::string endpoint;
  std::optional<nlohmann::json> status;  // None where it did not answer.
};

struct StatusPage {
  std::vector<std::string> problems;  // One sentence each; empty if healthy.
  std::string text;                   // The page for a person.
  nlohmann::json json;                // The same for a program.
};

// @param reports  one for each host that was asked
// @return the page; the deployment is healthy where it has no problems
StatusPage BuildStatusPage(const std::vector<HostReport>& reports);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PROGRAMS_STATUS_STATUS_PAGE_H_
