#include "heatherlatch/organisations/caller_identity.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr KeyKnowledge kCertain{true, true};
constexpr KeyKnowledge kUnconfirmed{false, true};
constexpr KeyKnowledge kOutdated{false, false};

OrganisationDirectory Shops() {
  TrafficOrganisation shops;
  shops.name = OrganisationName("shops");
  shops.keys = {"key"};
  OrganisationDirectory directory;
  directory.Add(shops);
  return directory;
}

TEST_CASE("without published organisations keys mean nothing") {
  const OrganisationDirectory none;
  for (const CallerKey& key : {CallerKey(NoKey{}), CallerKey(PresentedKey{"x"}),
                               CallerKey(UnusableKey{})}) {
    CHECK(std::holds_alternative<Anonymous>(
        IdentifyCaller(none, key, false, kOutdated)));
  }
}

TEST_CASE("a known key counts while the configuration may be in force") {
  const OrganisationDirectory shops = Shops();
  const CallerKey key = PresentedKey{"key"};
  for (const KeyKnowledge& knowledge : {kCertain, kUnconfirmed}) {
    const CallerVerdict verdict = IdentifyCaller(shops, key, false, knowledge);
    REQUIRE(std::holds_alternative<OnBehalfOf>(verdict));
    CHECK(std::get<OnBehalfOf>(verdict).organisation->name ==
          OrganisationName("shops"));
  }
  CHECK(std::holds_alternative<KeyNotConfirmed>(
      IdentifyCaller(shops, key, false, kOutdated)));
}

TEST_CASE("a key is called unknown only by a confirmed configuration") {
  const OrganisationDirectory shops = Shops();
  for (const CallerKey& key :
       {CallerKey(NoKey{}), CallerKey(PresentedKey{"other"}),
        CallerKey(UnusableKey{})}) {
    CHECK(std::holds_alternative<UnknownKey>(
        IdentifyCaller(shops, key, false, kCertain)));
    for (const KeyKnowledge& knowledge : {kUnconfirmed, kOutdated}) {
      CHECK(std::holds_alternative<KeyNotConfirmed>(
          IdentifyCaller(shops, key, false, knowledge)));
    }
  }
}

TEST_CASE("a key may belong to an organisation that cannot be read") {
  OrganisationDirectory shops = Shops();
  shops.AddUnreadable(OrganisationName("auditors"));
  CHECK(std::holds_alternative<KeyNotConfirmed>(
      IdentifyCaller(shops, PresentedKey{"other"}, false, kCertain)));
  CHECK(std::holds_alternative<OnBehalfOf>(
      IdentifyCaller(shops, PresentedKey{"key"}, false, kCertain)));
}

TEST_CASE("a public route refuses nobody") {
  const OrganisationDirectory shops = Shops();
  for (const KeyKnowledge& knowledge : {kCertain, kUnconfirmed, kOutdated}) {
    CHECK(std::holds_alternative<Anonymous>(
        IdentifyCaller(shops, PresentedKey{"other"}, true, knowledge)));
  }
  CHECK(std::holds_alternative<OnBehalfOf>(
      IdentifyCaller(shops, PresentedKey{"key"}, true, kCertain)));
}

TEST_CASE("keys are not accepted once they may have been taken away") {
  // Whatever the pauses and suspensions of the host, a key that was taken away
  // right after the proof is refused within the bound.
  rc::check([] {
    const auto validity = milliseconds(*rc::gen::inRange(1000, 20000));
    const auto passed = milliseconds(*rc::gen::inRange(0, 30000));
    const auto slept = milliseconds(*rc::gen::inRange(0, 30000));
    const SuspendAwareTime held{TimePoint(seconds(50)), seconds(7)};
    const SuspendAwareTime now{held.at + passed, held.suspended + slept};
    const bool current = IsCurrent(held, validity, now);
    if (passed + slept > validity) RC_ASSERT(!current);
    if (passed + slept < validity * 9 / 10) RC_ASSERT(current);
    RC_ASSERT(!IsCurrent(std::nullopt, validity, now));
    RC_ASSERT(IsCurrent(std::nullopt, std::nullopt, now));
  });
}

TEST_CASE("the homes of the route and of the organisation both bind") {
  const RegionName north("north");
  const RegionName south("south");
  TrafficOrganisation organisation;
  CHECK(IsHome(north, {}, nullptr));
  CHECK(IsHome(north, {}, &organisation));
  CHECK(IsHome(north, {north}, &organisation));
  CHECK_FALSE(IsHome(south, {north}, nullptr));
  organisation.home_regions = {south};
  CHECK_FALSE(IsHome(north, {}, &organisation));
  CHECK_FALSE(IsHome(north, {north}, &organisation));
  CHECK_FALSE(IsHome(south, {north}, &organisation));
  CHECK(IsHome(south, {north, south}, &organisation));
}

TEST_CASE("the priority of an organisation comes before that of the route") {
  TrafficOrganisation high;
  high.priority = 0;
  TrafficOrganisation low;
  low.priority = 1;
  CHECK(RankOf(9, &high) < RankOf(0, &low));
  CHECK(RankOf(0, &low) < RankOf(1, &low));
  CHECK(RankOf(1, nullptr) < RankOf(2, nullptr));
  const TrafficOrganisation unranked;
  CHECK(RankOf(1, &unranked) == RankOf(1, nullptr));
}

}  // namespace
}  // namespace heatherlatch
