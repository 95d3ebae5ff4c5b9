#include "heatherlatch/objects/object_set.h"

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

Route MakeRoute(std::string name, std::string prefix, std::string method) {
  Route route;
  route.name = RouteName(std::move(name));
  route.path_prefix = std::move(prefix);
  route.methods = {std::move(method)};
  return route;
}

std::string NameOf(const Route* route) {
  return route ? route->name.str() : "";
}

TEST_CASE("a route matches complete segments and the longest prefix wins") {
  ObjectSet set;
  set.routes = {MakeRoute("tally", "/tally", "GET"),
                MakeRoute("shop", "/tally/shop", "GET"),
                MakeRoute("post", "/tally/shop", "POST")};
  CHECK(NameOf(set.FindRoute("GET", "/tally")) == "tally");
  CHECK(NameOf(set.FindRoute("GET", "/tally/")) == "tally");
  CHECK(NameOf(set.FindRoute("GET", "/tally/shops")) == "tally");
  CHECK(NameOf(set.FindRoute("GET", "/tally/shop/7")) == "shop");
  CHECK(NameOf(set.FindRoute("POST", "/tally/shop/7")) == "post");
  CHECK(NameOf(set.FindRoute("GET", "/tallying")).empty());
  CHECK(NameOf(set.FindRoute("PUT", "/tally")).empty());
  CHECK(NameOf(set.FindRoute("GET", "")).empty());
}

TEST_CASE("the root prefix matches every path", "[promise-04]") {
  ObjectSet set;
  set.routes = {MakeRoute("all", "/", "GET")};
  CHECK(NameOf(set.FindRoute("GET", "/")) == "all");
  CHECK(NameOf(set.FindRoute("GET", "/a/b")) == "all");
  SECTION("except with dot segments, which may resolve to another route") {
    CHECK(NameOf(set.FindRoute("GET", "/a/../b")).empty());
    CHECK(NameOf(set.FindRoute("GET", "/a/.")).empty());
    CHECK(NameOf(set.FindRoute("GET", "/a/%2E%2e/b")).empty());
    CHECK(NameOf(set.FindRoute("GET", "/a/.%2e")).empty());
    CHECK(NameOf(set.FindRoute("GET", "/a/...")) == "all");
    CHECK(NameOf(set.FindRoute("GET", "/a/.well-known")) == "all");
  }
}

}  // namespace
}  // namespace heatherlatch
