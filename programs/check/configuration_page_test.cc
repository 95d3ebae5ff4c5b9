// Compares docs/CONFIGURATION.md with the fields, ranges and defaults that the
// readers of object sets and settings accept.
#include <catch2/catch.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "heatherlatch/objects/check.h"
#include "heatherlatch/objects/diff.h"
#include "heatherlatch/settings/host_settings.h"
#include "heatherlatch/yaml/units.h"

namespace heatherlatch {
namespace {

// A set and settings without optional fields.
constexpr char kMinimalSet[] = R"(
regions: [{name: r}]
zones: [{name: z, region: r}]
services:
  - {name: s, servers: [{name: b, zone: z, endpoint: "127.0.0.1:1"}]}
routes: [{name: t, path_prefix: /t, methods: [GET], service: s}]
organisations: [{name: o}]
limits: {}
)";
constexpr char kMinimalSettings[] = R"({name: h, region: r, zone: z,
  caller_listen: "127.0.0.1:1", admin_listen: "127.0.0.1:2",
  peer_listen: "127.0.0.1:3", platform: "127.0.0.1:4",
  peer_keys: [0123456789abcdef]})";

// By section of the page, the text after which a field is inserted.
const std::map<std::string, std::string> kInsertionPoints = {
    {"Regions", "{name: r"},  {"Zones", "{name: z"},
    {"Services", "{name: s"}, {"Servers", "{name: b"},
    {"Routes", "{name: t"},   {"Organisations", "{name: o"},
    {"Limits", "limits: {"},  {"Host settings", "{name: h"},
};

struct Row {
  std::string field;
  std::string type;
  std::string default_value;
  std::string limit;
};

using Rows = std::vector<Row>;

std::vector<std::string> CellsOf(const std::string& line) {
  std::vector<std::string> cells;
  std::istringstream input(line.substr(2));
  for (std::string cell; std::getline(input, cell, '|');) {
    const auto first = cell.find_first_not_of(' ');
    const auto last = cell.find_last_not_of(' ');
    const bool blank = first == std::string::npos;
    cells.push_back(blank ? "" : cell.substr(first, last - first + 1));
  }
  return cells;
}

// @return the rows of the page by the heading of their section
std::map<std::string, Rows> ReadPage() {
  std::ifstream file(std::string(HEATHERLATCH_DOCS) + "/CONFIGURATION.md");
  std::map<std::string, Rows> sections;
  std::string heading;
  for (std::string line; std::getline(file, line);) {
    if (line.compare(0, 3, "## ") == 0) heading = line.substr(3);
    if (line.compare(0, 3, "| `") != 0) continue;
    const auto cells = CellsOf(line);
    const std::string field = cells[0].substr(1, cells[0].size() - 2);
    sections[heading].push_back({field, cells[1], cells[2], cells[3]});
  }
  return sections;
}

// @return the minimal set or settings with one more field
std::string WithField(const std::string& section, const std::string& field,
                      const std::string& value) {
  const std::string& place = kInsertionPoints.at(section);
  std::string text =
      section == "Host settings" ? kMinimalSettings : kMinimalSet;
  const auto at = text.find(place) + place.size();
  const std::string separator = place.back() == '{' ? "" : ", ";
  return text.insert(at, separator + field + ": " + value);
}

std::vector<Finding> FindingsOf(const std::string& section,
                                const std::string& text) {
  if (section == "Host settings") {
    auto result = ReadHostSettings(text);
    auto* findings = std::get_if<std::vector<Finding>>(&result);
    return findings ? *findings : std::vector<Finding>();
  }
  auto result = ReadObjectSet(text, 1);
  auto* findings = std::get_if<std::vector<Finding>>(&result);
  return findings ? *findings : std::vector<Finding>();
}

// @return the remedy of the finding for an unknown field, which lists the known
//     fields
std::string KnownFields(const std::string& section) {
  for (const Finding& finding : FindingsOf(
           section, WithField(section, "unknown-and-far-from-any", "1"))) {
    if (finding.kind == FindingKind::kUnknownKey) return finding.remedy;
  }
  return "";
}

// @return "A to B" if the reader reports that a value is not between A and B,
//     otherwise ""
std::string RangeOf(const std::string& section, const std::string& field) {
  for (const char* value : {"-1", "1000000000", "99999h", "99999MB"}) {
    for (const Finding& finding :
         FindingsOf(section, WithField(section, field, value))) {
      const std::string marker = " is not between ";
      const auto at = finding.problem.find(marker);
      if (finding.field != field || at == std::string::npos) continue;
      std::string range = finding.problem.substr(at + marker.size());
      return range.replace(range.find(" and "), 5, " to ");
    }
  }
  return "";
}

TEST_CASE("docs/CONFIGURATION.md lists every field and its limit") {
  const auto sections = ReadPage();
  for (const auto& [section, place] : kInsertionPoints) {
    INFO(section);
    REQUIRE(sections.count(section) == 1);
    std::string fields;
    for (const Row& row : sections.at(section)) {
      fields += (fields.empty() ? "the fields are " : ", ") + row.field;
      const std::string range = RangeOf(section, row.field);
      INFO(row.field);
      if (!range.empty()) CHECK(row.limit == range);
      if (range.empty()) CHECK(row.type.find("number") == std::string::npos);
    }
    CHECK(fields == KnownFields(section));
  }
}

TEST_CASE("docs/CONFIGURATION.md gives the defaults of an object set") {
  const auto minimal = std::get<0>(ReadObjectSet(kMinimalSet, 1));
  for (const auto& [section, rows] : ReadPage()) {
    if (section == "Host settings") continue;
    for (const Row& row : rows) {
      if (row.default_value == "required") continue;
      INFO(section << " " << row.field);
      const auto result =
          ReadObjectSet(WithField(section, row.field, row.default_value), 1);
      REQUIRE(std::holds_alternative<std::shared_ptr<const ObjectSet>>(result));
      CHECK(DescribeChange(*minimal, *std::get<0>(result)).empty());
    }
  }
}

TEST_CASE("docs/CONFIGURATION.md gives the defaults of the host settings") {
  const HostSettings defaults;
  const std::map<std::string, std::string> expected = {
      {"log_path", "standard error"},
      {"log_level", defaults.log_level},
      {"log_routine_lines_per_second",
       std::to_string(defaults.log_routine_lines_per_second)},
      {"max_requests_in_progress",
       std::to_string(defaults.max_requests_in_progress)},
      {"configuration_wait", FormatDuration(defaults.configuration_wait)},
      {"list_interval", FormatDuration(defaults.list_interval)},
      {"stop_wait", FormatDuration(defaults.stop_wait)},
  };
  std::size_t optional = 0;
  const auto page = ReadPage();
  for (const Row& row : page.at("Host settings")) {
    if (row.default_value == "required") continue;
    INFO(row.field);
    ++optional;
    REQUIRE(expected.count(row.field) == 1);
    CHECK(row.default_value == expected.at(row.field));
  }
  CHECK(optional == expected.size());
}

}  // namespace
}  // namespace heatherlatch
