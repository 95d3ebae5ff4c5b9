#include "heatherlatch/settings/host_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace heatherlatch {
namespace {

using Texts = std::vector<std::string>;
const Texts kNoFindings;

constexpr char kMinimalFile[] = R"(name: entry-1
region: north
zone: north-a
caller_listen: "127.0.0.1:7000"
admin_listen: "127.0.0.1:7001"
peer_listen: "127.0.0.1:7002"
platform: "127.0.0.1:7100"
peer_keys: ["0123456789abcdef"]
)";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  if (at == std::string::npos) throw std::logic_error("missing text: " + from);
  return text.replace(at, from.size(), to);
}

Texts FindingsOf(const std::string& yaml) {
  const auto result = ReadHostSettings(yaml);
  Texts texts;
  if (const auto* findings = std::get_if<std::vector<Finding>>(&result)) {
    for (const Finding& finding : *findings) {
      texts.push_back(ToString(finding));
    }
  }
  return texts;
}

TEST_CASE("the example settings file has no findings") {
  std::ifstream file(std::string(HEATHERLATCH_EXAMPLES) + "/entry-host.yaml");
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(FindingsOf(text.str()) == kNoFindings);
}

TEST_CASE("settings are read, and missing ones keep their defaults") {
  const auto result = ReadHostSettings(std::string(kMinimalFile) +
                                       "log_level: warning\nstop_wait: 2m\n");
  REQUIRE(std::holds_alternative<HostSettings>(result));
  const auto& settings = std::get<HostSettings>(result);
  CHECK(settings.name == HostName("entry-1"));
  CHECK(settings.zone == ZoneName("north-a"));
  CHECK(settings.platform == Endpoint{"127.0.0.1", 7100});
  CHECK(settings.peer_keys == Texts{"0123456789abcdef"});
  CHECK(settings.log_level == "warning");
  CHECK(settings.stop_wait == std::chrono::minutes(2));
  CHECK(settings.list_interval == HostSettings().list_interval);
  CHECK(settings.log_path.empty());
}

TEST_CASE("an invalid setting is reported with its line and field") {
  struct Mistake {
    std::string from;
    std::string to;
    std::string finding;
  };
  const std::vector<Mistake> mistakes = {
      {"platform", "log_levle: info\nplatform",
       "line 7: field log_levle: is not a known field (did you mean "
       "\"log_level\"?)"},
      {"region: north\n", "", "line 1: field region: is missing"},
      {"platform", "log_level: loud\nplatform",
       "line 7: field log_level: \"loud\" is not one of debug, info, warning, "
       "error"},
      {"127.0.0.1:7100", "127.0.0.1",
       "line 7: field platform: endpoint \"127.0.0.1\" has no port; write "
       "ADDRESS:PORT"},
      {"127.0.0.1:7002", "127.0.0.1:7000",
       "line 6: field peer_listen: has the same endpoint as caller_listen"},
      {"platform", "max_requests_in_progress: 0\nplatform",
       "line 7: field max_requests_in_progress: 0 is not between 1 and "
       "100000"},
      {"platform", "list_interval: 1ms\nplatform",
       "line 7: field list_interval: 1ms is not between 100ms and 1m"},
      {"[\"0123456789abcdef\"]", "[]",
       "line 8: field peer_keys: 0 keys are given; 1 to 4 are accepted"},
  };
  for (const Mistake& mistake : mistakes) {
    INFO(mistake.to);
    CHECK(FindingsOf(Replaced(kMinimalFile, mistake.from, mistake.to)) ==
          Texts{mistake.finding});
  }
}

TEST_CASE("all invalid settings are reported at once") {
  const Texts findings =
      FindingsOf(Replaced(kMinimalFile, "zone: north-a", "zon: north-a"));
  REQUIRE(findings.size() == 2);
  CHECK(findings[0] == "line 1: field zone: is missing");
  CHECK(findings[1] ==
        "line 3: field zon: is not a known field (did you mean \"zone\"?)");
}

TEST_CASE("a finding about a peer key does not contain the key") {
  const std::string file =
      Replaced(kMinimalFile, "[\"0123456789abcdef\"]", "[s3cret, s3cret]");
  const Texts findings = FindingsOf(file);
  REQUIRE(findings.size() == 3);
  CHECK(findings[0] ==
        "line 8: field peer_keys: key 1 is shorter than 16 bytes");
  CHECK(findings[2] == "line 8: field peer_keys: key 2 appears twice");
  for (const std::string& finding : findings) {
    CHECK(finding.find("s3cret") == std::string::npos);
  }
}

}  // namespace
}  // namespace heatherlatch
