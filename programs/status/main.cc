// heatherlatch-status: shows the state that every entry host reports.
#include <ulfius.h>

#include <CLI/CLI.hpp>
#include <iostream>

#include "programs/status/status_page.h"

namespace heatherlatch {
namespace {

enum ExitCode : int {
  kHealthy = 0,
  kNotHealthy = 1,
  kUsage = 3,
};

constexpr std::int64_t kTimeoutSeconds = 3;

constexpr const char* kFooter = R"(Example:
  heatherlatch-status 127.0.0.1:9101 127.0.0.1:9102

Exit codes:
  0  every host is healthy
  1  a host does not answer or has a problem
  3  wrong usage)";

// Requests the status of one host from its admin endpoint.
// @return the report; without a status if the request failed, the response was
//     not 200, or its body is not JSON
HostReport FetchStatus(const std::string& endpoint) {
  HostReport report;
  report.endpoint = endpoint;
  const std::string url = "http://" + endpoint + "/status";
  _u_request request;
  _u_response response;
  ulfius_init_request(&request);
  ulfius_init_response(&response);
  ulfius_set_request_properties(&request, U_OPT_HTTP_URL, url.c_str(),
                                U_OPT_TIMEOUT, kTimeoutSeconds, U_OPT_NONE);
  const bool succeeded =
      ulfius_send_http_request(&request, &response) == U_OK &&
      response.status == 200;
  if (succeeded) {
    const auto* body = static_cast<const char*>(response.binary_body);
    auto status =
        nlohmann::json::parse(body, body + response.binary_body_length, nullptr,
                              /*allow_exceptions=*/false);
    if (!status.is_discarded()) report.status = std::move(status);
  }
  ulfius_clean_request(&request);
  ulfius_clean_response(&response);
  return report;
}

int ShowStatus(const std::vector<std::string>& endpoints, bool as_json) {
  ulfius_global_init();
  std::vector<HostReport> reports;
  for (const std::string& endpoint : endpoints) {
    reports.push_back(FetchStatus(endpoint));
  }
  ulfius_global_close();
  const StatusPage page = BuildStatusPage(reports);
  if (as_json) {
    std::cout << page.json.dump(2) << "\n";
  } else {
    std::cout << page.text;
  }
  return page.problems.empty() ? kHealthy : kNotHealthy;
}

}  // namespace
}  // namespace heatherlatch

int main(int argc, char** argv) {
  CLI::App app("Shows the state of a deployment on one page.");
  app.set_version_flag("--version", HEATHERLATCH_VERSION);
  app.footer(heatherlatch::kFooter);
  std::vector<std::string> endpoints;
  std::string format = "text";
  app.add_option("endpoints", endpoints, "admin endpoints of the hosts")
      ->required();
  app.add_option("--format", format, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : heatherlatch::kUsage;
  }
  return heatherlatch::ShowStatus(endpoints, format == "json");
}
