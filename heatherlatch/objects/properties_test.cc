#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <regex>
#include <sstream>

#include "heatherlatch/objects/check.h"
#include "heatherlatch/objects/diff.h"
#include "heatherlatch/objects/test_documents.h"

namespace heatherlatch {
namespace {

using Regions = std::vector<RegionName>;

bool IsIn(const RegionName& region, const Regions& regions) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

std::vector<std::string> LinesOf(const std::string& text) {
  std::istringstream input(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(input, line);) lines.push_back(line);
  return lines;
}

// Replaces a random word of the line, such as a name, by another word, which is
// not the name of any object.
void ReplaceWord(std::string* line) {
  static const std::regex word("[A-Za-z0-9_-]+");
  const std::vector<std::smatch> words(
      std::sregex_iterator(line->begin(), line->end(), word), {});
  if (words.empty()) return;
  const std::smatch chosen = *rc::gen::elementOf(words);
  const std::string other = *rc::gen::element<std::string>("x", "\"\"", "7");
  line->replace(chosen.position(), chosen.length(), other);
}

// Clears, truncates, duplicates or swaps random lines, or changes a word or a
// character of a line.
void Mutate(std::vector<std::string>* lines) {
  const auto at = *rc::gen::inRange<std::size_t>(0, lines->size());
  const auto other = *rc::gen::inRange<std::size_t>(0, lines->size());
  std::string& line = (*lines)[at];
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      line.clear();
      break;
    case 1:
      line += "\n" + (*lines)[other];
      break;
    case 2:
      std::swap(line, (*lines)[other]);
      break;
    case 3:
      if (line.empty()) break;
      line[*rc::gen::inRange<std::size_t>(0, line.size())] =
          *rc::gen::elementOf(std::string("abz019-:[]{},&*!|>\"' \t\x01\xff"));
      break;
    case 4:
      ReplaceWord(&line);
      break;
    default:
      line.resize(*rc::gen::inRange<std::size_t>(0, line.size() + 1));
  }
}

std::string MutatedDocument() {
  static const std::vector<std::string> documents = {
      kSmallDocument, ReadExample("cooperative.yaml"),
      ReadExample("qalaa.yaml")};
  auto lines = LinesOf(*rc::gen::elementOf(documents));
  const int mutations = *rc::gen::inRange(1, 4);
  for (int i = 0; i < mutations; ++i) Mutate(&lines);
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

bool AllExist(const ObjectSet& set, const Regions& regions) {
  return std::all_of(
      regions.begin(), regions.end(),
      [&](const RegionName& region) { return set.FindRegion(region); });
}

bool AllReferencesResolve(const ObjectSet& set) {
  for (const AvailabilityZone& zone : set.zones) {
    if (!set.FindRegion(zone.region)) return false;
  }
  for (const Service& service : set.services) {
    for (const BackendServer& server : service.servers) {
      if (!set.FindZone(server.zone)) return false;
      if (server.service != service.name) return false;
    }
  }
  for (const Route& route : set.routes) {
    if (!set.FindService(route.service)) return false;
    if (!AllExist(set, route.home_regions)) return false;
  }
  for (const Organisation& organisation : set.organisations) {
    if (!AllExist(set, organisation.home_regions)) return false;
  }
  return true;
}

TEST_CASE("an accepted document has no broken reference") {
  rc::prop("mutated documents", [] {
    const std::string document = MutatedDocument();
    const auto result = ReadObjectSet(document, 1);
    if (const auto* findings = std::get_if<std::vector<Finding>>(&result)) {
      RC_TAG("refused");
      RC_ASSERT_FALSE(findings->empty());
      return;
    }
    RC_TAG("accepted");
    const auto& set = *std::get<std::shared_ptr<const ObjectSet>>(result);
    RC_ASSERT(AllReferencesResolve(set));
    for (const Route& route : set.routes) {
      for (const Organisation& organisation : set.organisations) {
        RC_ASSERT_FALSE(set.HomeRegions(route, organisation).empty());
      }
    }
  });
}

rc::Gen<std::string> GenPath() {
  const auto segment =
      rc::gen::element<std::string>("a", "b", "ab", "", "..", ".", "%2e", "a.");
  return rc::gen::map(
      rc::gen::resize(5, rc::gen::container<std::vector<std::string>>(segment)),
      [](const std::vector<std::string>& segments) {
        std::string path;
        for (const std::string& text : segments) path += "/" + text;
        return path;
      });
}

rc::Gen<Route> GenRoute() {
  return rc::gen::exec([] {
    Route route;
    route.path_prefix = *rc::gen::element<std::string>("/", "/a", "/a/b", "/ab",
                                                       "/b", "/a/a", "/b/a/b");
    route.methods = {*rc::gen::element<std::string>("GET", "POST")};
    if (*rc::gen::arbitrary<bool>()) route.methods.emplace_back("PUT");
    return route;
  });
}

std::vector<std::string> SegmentsOf(const std::string& path) {
  std::vector<std::string> segments(1);
  for (const char c : path.substr(1)) {
    if (c == '/') {
      segments.emplace_back();
    } else {
      segments.back() += c;
    }
  }
  return segments;
}

// Reference implementation of route matching: compares segment by segment.
bool ReferenceMatches(const Route& route, const std::string& method,
                      const std::string& path) {
  const auto& methods = route.methods;
  if (std::find(methods.begin(), methods.end(), method) == methods.end()) {
    return false;
  }
  if (path.empty()) return false;
  if (route.path_prefix == "/") return true;
  const auto prefix = SegmentsOf(route.path_prefix);
  const auto segments = SegmentsOf(path);
  return segments.size() >= prefix.size() &&
         std::equal(prefix.begin(), prefix.end(), segments.begin());
}

bool ReferenceHasDotSegment(const std::string& path) {
  if (path.empty()) return false;
  const auto segments = SegmentsOf(path);
  return std::any_of(
      segments.begin(), segments.end(), [](const std::string& segment) {
        return segment == "." || segment == ".." || segment == "%2e";
      });
}

TEST_CASE("FindRoute agrees with the reference implementation",
          "[promise-04]") {
  rc::prop("routes and paths", [] {
    ObjectSet set;
    set.routes = *rc::gen::container<std::vector<Route>>(GenRoute());
    const std::string path = *GenPath();
    const std::string method = *rc::gen::element<std::string>("GET", "PUT");
    std::size_t longest = 0;
    for (const Route& route : set.routes) {
      if (!ReferenceMatches(route, method, path)) continue;
      longest = std::max(longest, route.path_prefix.size());
    }
    const Route* found = set.FindRoute(method, path);
    if (longest == 0 || ReferenceHasDotSegment(path)) {
      RC_ASSERT(found == nullptr);
      return;
    }
    RC_ASSERT(found != nullptr);
    RC_ASSERT(ReferenceMatches(*found, method, path));
    RC_ASSERT(found->path_prefix.size() == longest);
  });
}

// @return a random subset of the regions, in the same order
Regions RandomSubsetOf(const std::vector<Region>& regions) {
  Regions subset;
  for (const Region& region : regions) {
    if (*rc::gen::arbitrary<bool>()) subset.push_back(region.name);
  }
  return subset;
}

TEST_CASE("home regions are those that route and organisation allow",
          "[promise-04]") {
  rc::prop("routes and organisations", [] {
    ObjectSet set;
    set.regions = {{RegionName("r1")}, {RegionName("r2")}, {RegionName("r3")}};
    Route route;
    Organisation organisation;
    route.home_regions = RandomSubsetOf(set.regions);
    organisation.home_regions = RandomSubsetOf(set.regions);
    const auto homes = set.HomeRegions(route, organisation);
    for (const Region& region : set.regions) {
      const bool route_allows =
          route.home_regions.empty() || IsIn(region.name, route.home_regions);
      const bool organisation_allows =
          organisation.home_regions.empty() ||
          IsIn(region.name, organisation.home_regions);
      RC_ASSERT(IsIn(region.name, homes) ==
                (route_allows && organisation_allows));
    }
  });
}

template <typename T>
void Shuffle(std::vector<T>* values) {
  for (std::size_t i = 1; i < values->size(); ++i) {
    std::swap((*values)[i],
              (*values)[*rc::gen::inRange<std::size_t>(0, i + 1)]);
  }
}

TEST_CASE("reordering objects is not reported as a change") {
  const auto before = MustRead(ReadExample("qalaa.yaml"));
  rc::prop("shuffled sets", [&] {
    ObjectSet after = *before;
    after.revision = before->revision + 1;
    Shuffle(&after.zones);
    Shuffle(&after.services);
    Shuffle(&after.routes);
    Shuffle(&after.organisations);
    for (Service& service : after.services) Shuffle(&service.servers);
    RC_ASSERT(DescribeChange(*before, after).empty());
    RC_ASSERT(WarnAboutChange(*before, after).empty());
  });
}

}  // namespace
}  // namespace heatherlatch
