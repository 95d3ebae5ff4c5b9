#include "heatherlatch/organisations/organisation_directory.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

namespace heatherlatch {
namespace {

TrafficOrganisation Holding(const std::string& name,
                            std::vector<std::string> keys) {
  TrafficOrganisation organisation;
  organisation.name = OrganisationName(name);
  organisation.keys = std::move(keys);
  return organisation;
}

std::string OwnerName(const OrganisationDirectory& directory,
                      const std::string& key) {
  const KeyOwner owner = directory.FindOwner(key);
  const auto* held = std::get_if<HeldBy>(&owner);
  return held == nullptr ? "" : held->organisation->name.str();
}

TEST_CASE("a key identifies the organisation that holds it") {
  OrganisationDirectory directory;
  CHECK(directory.empty());
  directory.Add(Holding("shops", {"key-1", "key-2"}));
  directory.Add(Holding("auditors", {"key-3"}));
  CHECK(OwnerName(directory, "key-1") == "shops");
  CHECK(OwnerName(directory, "key-2") == "shops");
  CHECK(OwnerName(directory, "key-3") == "auditors");
  for (const char* other : {"", "key", "key-", "key-11", "KEY-1", "shops"}) {
    CHECK(std::holds_alternative<HeldByNone>(directory.FindOwner(other)));
  }
}

TEST_CASE("a key that two organisations hold identifies none of them") {
  OrganisationDirectory directory;
  directory.Add(Holding("shops", {"shared", "own"}));
  directory.Add(Holding("auditors", {"shared"}));
  CHECK(std::holds_alternative<HeldBySeveral>(directory.FindOwner("shared")));
  CHECK(OwnerName(directory, "own") == "shops");
  CHECK(directory.WithSharedKeys().size() == 2);
}

TEST_CASE("an organisation that lists a key twice holds it alone") {
  OrganisationDirectory directory;
  directory.Add(Holding("shops", {"key", "key"}));
  CHECK(OwnerName(directory, "key") == "shops");
  CHECK(directory.WithSharedKeys().empty());
}

TEST_CASE("each of ten thousand organisations is found by its key") {
  constexpr int kOrganisations = 10'000;
  OrganisationDirectory directory;
  for (int i = 0; i < kOrganisations; ++i) {
    directory.Add(Holding("o" + std::to_string(i), {"k" + std::to_string(i)}));
  }
  CHECK(directory.size() == kOrganisations);
  for (int i = 0; i < kOrganisations; i += 97) {
    CHECK(OwnerName(directory, "k" + std::to_string(i)) ==
          "o" + std::to_string(i));
  }
}

TEST_CASE("a key is found exactly where it was published") {
  rc::check([](const std::set<std::string>& keys, const std::string& other) {
    OrganisationDirectory directory;
    int number = 0;
    for (const std::string& key : keys) {
      directory.Add(Holding("o" + std::to_string(number++), {key}));
    }
    number = 0;
    for (const std::string& key : keys) {
      RC_ASSERT(OwnerName(directory, key) == "o" + std::to_string(number++));
    }
    RC_ASSERT(OwnerName(directory, other).empty() == (keys.count(other) == 0));
  });
}

TEST_CASE("the tag of a key does not contain it") {
  const std::string key = "f83fgfwrz56aw63is47q";
  CHECK(KeyTag(key).size() == 6);
  CHECK(KeyTag(key) == KeyTag(key));
  CHECK(KeyTag(key) != KeyTag("dqiqrh4jcda9rgy35iei"));
}

}  // namespace
}  // namespace heatherlatch
