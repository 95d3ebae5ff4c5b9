#include "heatherlatch/settings/traffic_host_settings.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

constexpr char kFile[] = R"(host: "host-1"
zone: "zone-a"
region: "north"
zones: {"zone-a":"north","zone-s":"south"}
caller_listen: "10.0.0.1:8548"
readiness_listen: "10.0.0.1:8542"
peer_listen: "10.0.0.1:8544"
metrics_listen: "10.0.0.1:9464"
platform: "10.200.1.7:8541"
first_start: true
seeds: ["10.0.0.1:8544","10.2.0.1:8544"]
stop_wait: 6s
first_wait: 250ms
retry_share: 0.2
probes_per_second: 45
memory_limit_mb: 260
)";

std::vector<Finding> FindingsOf(const std::string& yaml) {
  const auto result = ReadTrafficHostSettings(yaml);
  const auto* findings = std::get_if<std::vector<Finding>>(&result);
  return findings == nullptr ? std::vector<Finding>() : *findings;
}

TEST_CASE("the settings of a traffic host are read") {
  const auto result = ReadTrafficHostSettings(kFile);
  REQUIRE(std::holds_alternative<TrafficHostSettings>(result));
  const auto& settings = std::get<TrafficHostSettings>(result);
  CHECK(settings.name == HostName("host-1"));
  CHECK(settings.zones.at(ZoneName("zone-s")) == RegionName("south"));
  CHECK(settings.platform == Endpoint{"10.200.1.7", 8541});
  CHECK(settings.seeds.size() == 2);
  CHECK(settings.first_start);
  CHECK(settings.stop_wait == std::chrono::seconds(6));
  CHECK(settings.first_wait == std::chrono::milliseconds(250));
  CHECK(settings.retry_share == 0.2);
  CHECK(settings.probes_per_second == 45);
  CHECK(settings.memory_limit_bytes == 260'000'000);
  CHECK_FALSE(settings.server_subset.has_value());
}

TEST_CASE("prices of leaving the zone are read, and are off by default") {
  const auto without = ReadTrafficHostSettings(kFile);
  CHECK_FALSE(std::get<TrafficHostSettings>(without).zone_overflow);
  const std::string prices =
      "zone_overflow:\n  price_per_gigabyte_between_zones: 10\n"
      "  price_per_gigabyte_between_regions: 30\n"
      "  price_per_missed_target: ";
  const auto with = ReadTrafficHostSettings(kFile + prices + "0.001\n");
  REQUIRE(std::holds_alternative<TrafficHostSettings>(with));
  const auto& overflow = std::get<TrafficHostSettings>(with).zone_overflow;
  REQUIRE(overflow);
  CHECK(overflow->byte_between_zones == Approx(10e-9));
  CHECK(overflow->byte_between_regions == Approx(30e-9));
  CHECK(overflow->missed_target == 0.001);
  CHECK_FALSE(FindingsOf(kFile + prices + "0\n").empty());
  CHECK_FALSE(FindingsOf(std::string(kFile) + "zone_overflow: {}\n").empty());
}

TEST_CASE("a memory limit that the platform leaves empty has its default") {
  std::string text = kFile;
  text.replace(text.find(": 260"), 5, ":");
  const auto result = ReadTrafficHostSettings(text);
  REQUIRE(std::holds_alternative<TrafficHostSettings>(result));
  CHECK(std::get<TrafficHostSettings>(result).memory_limit_bytes ==
        TrafficHostSettings().memory_limit_bytes);
}

TEST_CASE("the size of the subset of servers is read, and at least six") {
  const std::string text = kFile;
  const auto result = ReadTrafficHostSettings(text + "server_subset: 9\n");
  REQUIRE(std::holds_alternative<TrafficHostSettings>(result));
  CHECK(std::get<TrafficHostSettings>(result).server_subset == std::size_t{9});
  CHECK(FindingsOf(text + "server_subset: 5\n").size() == 1);
}

TEST_CASE("a memory limit that is no number or too small is reported") {
  for (const char* value : {": MB", ": 3"}) {
    std::string text = kFile;
    text.replace(text.find(": 260"), 5, value);
    const auto findings = FindingsOf(text);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].field == "memory_limit_mb");
  }
}

TEST_CASE("a rate of probes that is no number or not positive is reported") {
  for (const char* value : {": many", ": 0", ": -1"}) {
    std::string text = kFile;
    text.replace(text.find(": 45"), 4, value);
    const auto findings = FindingsOf(text);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].field == "probes_per_second");
  }
}

TEST_CASE("each invalid setting of a traffic host is reported with its line") {
  std::string text = kFile;
  text.replace(text.find("10.0.0.1:8548"), 13, "nowhere");
  text.replace(text.find("10.2.0.1:8544"), 13, "10.2.0.1");
  text += "stop_wiat: 5s\n";
  const auto findings = FindingsOf(text);
  REQUIRE(findings.size() == 3);
  CHECK(findings[0].field == "caller_listen");
  CHECK(findings[0].line == 5);
  CHECK(findings[1].field == "seeds");
  CHECK(findings[2].kind == FindingKind::kUnknownKey);
  CHECK(findings[2].line == 17);
  CHECK(FindingsOf("host: a\n").size() == 6);
}

}  // namespace
}  // namespace heatherlatch
