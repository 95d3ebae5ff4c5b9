#include "programs/status/status_page.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using Json = nlohmann::json;

HostReport Healthy(const std::string& host, int revision) {
  HostReport report;
  report.endpoint = "127.0.0.1:9101";
  report.status = Json{
      {"host", host},
      {"zone", "north-a"},
      {"revision", revision},
      {"may_serve", true},
      {"key_ring_majority", true},
      {"zones",
       {{{"zone", "north-a"}, {"region", "north"}, {"in_service", false}}}}};
  return report;
}

TEST_CASE("a deployment without problems is healthy") {
  const StatusPage page =
      BuildStatusPage({Healthy("entry-1", 3), Healthy("entry-2", 3)});
  CHECK(page.problems.empty());
  CHECK(page.text.find("Healthy: 2 hosts serve configuration 3") == 0);
  CHECK(page.text.find("north-a (north): OUT OF SERVICE") != std::string::npos);
  CHECK(page.json["healthy"] == true);
}

TEST_CASE("each problem is reported in one sentence") {
  HostReport unreachable;
  unreachable.endpoint = "127.0.0.1:9109";
  HostReport without_majority = Healthy("entry-3", 3);
  (*without_majority.status)["key_ring_majority"] = false;
  const StatusPage page =
      BuildStatusPage({Healthy("entry-1", 3), Healthy("entry-2", 2),
                       unreachable, without_majority});
  REQUIRE(page.problems.size() == 3);
  CHECK(page.problems[0] ==
        "Host entry-2 has configuration 2; the newest is 3.");
  CHECK(page.problems[1] ==
        "The host at 127.0.0.1:9109 does not answer. Check that its process "
        "runs.");
  CHECK(page.text.find("NOT HEALTHY") == 0);
}

TEST_CASE("a report without fields is a problem of its host") {
  HostReport empty_status;
  empty_status.endpoint = "127.0.0.1:9101";
  empty_status.status = Json::object();
  CHECK_FALSE(BuildStatusPage({empty_status}).problems.empty());
}

}  // namespace
}  // namespace heatherlatch
