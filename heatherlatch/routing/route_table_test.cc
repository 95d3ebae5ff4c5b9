#include "heatherlatch/routing/route_table.h"

#include <catch2/catch.hpp>
#include <map>

namespace heatherlatch {
namespace {

TrafficRoute MakeRoute(const std::string& name, const std::string& authority,
                       const std::string& prefix) {
  TrafficRoute route;
  route.name = RouteName(name);
  route.authority = authority;
  route.path_prefix = prefix;
  route.weighted_services = {{ServiceName("tally"), 1}};
  return route;
}

RouteTable MakeTable() {
  RouteTable table;
  table.routes = {MakeRoute("short", "shop.example", "/a/"),
                  MakeRoute("long", "shop.example", "/a/b/"),
                  MakeRoute("other", "kiosk.example", "/a/b/c/")};
  return table;
}

std::string FoundName(const RouteTable& table, const std::string& authority,
                      const std::string& target) {
  const TrafficRoute* route = table.Find(authority, target);
  return route == nullptr ? "none" : route->name.str();
}

TEST_CASE(
    "the route with the longest matching prefix of the authority is found") {
  const RouteTable table = MakeTable();
  CHECK(FoundName(table, "shop.example", "/a/x") == "short");
  CHECK(FoundName(table, "shop.example", "/a/b/x") == "long");
  CHECK(FoundName(table, "shop.example", "/a/b/c/x") == "long");
  CHECK(FoundName(table, "kiosk.example", "/a/b/c/x") == "other");
}

TEST_CASE("a path outside every prefix, or another authority, has no route") {
  const RouteTable table = MakeTable();
  CHECK(FoundName(table, "shop.example", "/b/") == "none");
  CHECK(FoundName(table, "shop.example", "/a") == "none");
  CHECK(FoundName(table, "nobody.example", "/a/") == "none");
  CHECK(FoundName(table, "kiosk.example", "/a/b/") == "none");
}

TEST_CASE("the query is ignored and an authority may have a port") {
  const RouteTable table = MakeTable();
  CHECK(FoundName(table, "shop.example", "/a/?to=/a/b/") == "short");
  CHECK(FoundName(table, "Shop.Example:8080", "/a/b/") == "long");
  CHECK(FoundName(table, "shop.example", "/x?/a/b/") == "none");
}

TEST_CASE("services receive requests in proportion to their weights") {
  TrafficRoute route = MakeRoute("split", "shop.example", "/");
  route.weighted_services = {{ServiceName("a"), 90},
                             {ServiceName("unused"), 0},
                             {ServiceName("b"), 10}};
  std::map<std::string, int> counts;
  constexpr int kSamples = 1000;
  for (int i = 0; i < kSamples; ++i) {
    const WeightedService* chosen = ChooseService(route, i / double{kSamples});
    REQUIRE(chosen != nullptr);
    ++counts[chosen->service.str()];
  }
  CHECK(counts["a"] == 900);
  CHECK(counts["b"] == 100);
  CHECK(counts["unused"] == 0);
}

TEST_CASE("no service is chosen where no weight is above zero") {
  TrafficRoute route = MakeRoute("none", "shop.example", "/");
  route.weighted_services = {{ServiceName("a"), 0}};
  CHECK(ChooseService(route, 0.5) == nullptr);
}

}  // namespace
}  // namespace heatherlatch
