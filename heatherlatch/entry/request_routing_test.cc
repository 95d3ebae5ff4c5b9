#include "heatherlatch/entry/request_routing.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

const RegionName kNorth("north");
const RegionName kSouth("south");

std::shared_ptr<const HostSnapshot> SnapshotOf(ObjectSet objects,
                                               TimePoint now) {
  auto snapshot = std::make_shared<HostSnapshot>();
  snapshot->objects = std::make_shared<ObjectSet>(std::move(objects));
  snapshot->members = std::make_shared<MemberView>();
  snapshot->may_serve = true;
  snapshot->published_at = now;
  return snapshot;
}

ObjectSet SampleObjects() {
  ObjectSet objects;
  objects.regions = {{kNorth}, {kSouth}};
  Service service;
  service.name = ServiceName("ledger");
  objects.services = {service};
  Route read;
  read.name = RouteName("tally");
  read.path_prefix = "/tally";
  read.methods = {"GET"};
  read.service = service.name;
  read.idempotent = true;
  Route write;
  write.name = RouteName("adjustments");
  write.path_prefix = "/adjustments";
  write.methods = {"POST"};
  write.service = service.name;
  write.home_regions = {kNorth};
  objects.routes = {read, write};
  Organisation shops;
  shops.name = OrganisationName("shops");
  objects.organisations = {shops};
  return objects;
}

CallerRequest Request(std::string method, std::string target, TimePoint now) {
  CallerRequest request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.arrived = now;
  request.headers = {{"heatherlatch-organisation", "shops"}};
  return request;
}

RoutingVerdict Decide(const CallerRequest& request,
                      const RegionName& region = kNorth) {
  return RouteRequest(SnapshotOf(SampleObjects(), request.arrived), region,
                      request, "id-1");
}

NotRunReason ReasonOf(const RoutingVerdict& verdict) {
  REQUIRE(std::holds_alternative<RoutingRefusal>(verdict));
  return std::get<RoutingRefusal>(verdict).reason;
}

TEST_CASE("a read is routed with the deadline of its route") {
  const TimePoint now = SteadyClock::now();
  const RoutingVerdict verdict = Decide(Request("GET", "/tally/7?x=1", now));
  REQUIRE(std::holds_alternative<RoutedRequest>(verdict));
  const auto& routed = std::get<RoutedRequest>(verdict);
  CHECK(routed.route->name == RouteName("tally"));
  CHECK(routed.deadline == now + routed.route->deadline);
  CHECK_FALSE(routed.key);
}

TEST_CASE("a refusal has the reason and an explanation") {
  const TimePoint now = SteadyClock::now();
  CHECK(ReasonOf(Decide(Request("GET", "/nowhere", now))) ==
        NotRunReason::kNoRoute);
  CHECK(ReasonOf(Decide(Request("DELETE", "/tally/7", now))) ==
        NotRunReason::kNoRoute);
  CHECK(ReasonOf(Decide(Request("POST", "/adjustments/7", now))) ==
        NotRunReason::kKeyRequired);
  CallerRequest unknown_caller = Request("GET", "/tally/7", now);
  unknown_caller.headers = {{"Heatherlatch-Organisation", "nobody"}};
  const RoutingVerdict verdict = Decide(unknown_caller);
  CHECK(ReasonOf(verdict) == NotRunReason::kUnknownOrganisation);
  CHECK(std::get<RoutingRefusal>(verdict).explanation ==
        "organisation \"nobody\" does not exist");
}

TEST_CASE("a path that a server could resolve to another one is refused",
          "[promise-04]") {
  const TimePoint now = SteadyClock::now();
  for (const char* target :
       {"/tally/../adjustments/7", "/tally/%2e%2e/adjustments", "/tally//7",
        "/tally/%2Fadjustments", "/tally/..", "tally/7"}) {
    CHECK(ReasonOf(Decide(Request("GET", target, now))) ==
          NotRunReason::kMalformedRequest);
  }
}

TEST_CASE("an invalid deadline or ticket is refused as malformed") {
  const TimePoint now = SteadyClock::now();
  for (const char* deadline : {"0", "-5", "soon", "", "1e3"}) {
    CallerRequest request = Request("GET", "/tally/7", now);
    request.headers.emplace_back("Heatherlatch-Deadline-Ms", deadline);
    CHECK(ReasonOf(Decide(request)) == NotRunReason::kMalformedRequest);
  }
  CallerRequest request = Request("POST", "/adjustments/7", now);
  request.headers.emplace_back("Heatherlatch-Ticket", "not a ticket");
  CHECK(ReasonOf(Decide(request)) == NotRunReason::kMalformedRequest);
}

TEST_CASE("a request is refused while the snapshot is stale", "[promise-03]") {
  const TimePoint now = SteadyClock::now();
  const CallerRequest request = Request("GET", "/tally/7", now);
  const RoutingVerdict verdict =
      RouteRequest(SnapshotOf(SampleObjects(), now - 2 * kMaxSnapshotAge),
                   kNorth, request, "id-1");
  CHECK(ReasonOf(verdict) == NotRunReason::kConfigurationUnavailable);
}

TEST_CASE("a request is never routed outside its home regions",
          "[promise-04]") {
  rc::prop("for any home regions of the route and the organisation", [] {
    const std::vector<RegionName> regions = {kNorth, kSouth,
                                             RegionName("west")};
    const auto some_regions = [&] {
      std::vector<RegionName> some;
      for (const RegionName& region : regions) {
        if (*rc::gen::arbitrary<bool>()) some.push_back(region);
      }
      return some;
    };
    ObjectSet objects = SampleObjects();
    objects.regions = {{regions[0]}, {regions[1]}, {regions[2]}};
    objects.routes[0].home_regions = some_regions();
    objects.organisations[0].home_regions = some_regions();
    const Route route = objects.routes[0];
    const Organisation shops = objects.organisations[0];
    const RegionName own = *rc::gen::elementOf(regions);
    const TimePoint now = SteadyClock::now();
    const RoutingVerdict verdict =
        RouteRequest(SnapshotOf(std::move(objects), now), own,
                     Request("GET", "/tally/7", now), "id-1");
    const auto allows = [](const std::vector<RegionName>& home_regions,
                           const RegionName& region) {
      return home_regions.empty() ||
             std::find(home_regions.begin(), home_regions.end(), region) !=
                 home_regions.end();
    };
    const bool allowed =
        allows(route.home_regions, own) && allows(shops.home_regions, own);
    RC_ASSERT(std::holds_alternative<RoutedRequest>(verdict) == allowed);
    if (!allowed) return;
    for (const RegionName& home :
         std::get<RoutedRequest>(verdict).home_regions) {
      RC_ASSERT(allows(route.home_regions, home));
      RC_ASSERT(allows(shops.home_regions, home));
    }
  });
}

}  // namespace
}  // namespace heatherlatch
