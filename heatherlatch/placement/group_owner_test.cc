#include "heatherlatch/placement/group_owner.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace heatherlatch {
namespace {

std::vector<HostIncarnation> Hosts(int count) {
  std::vector<HostIncarnation> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.push_back({HostName("entry-" + std::to_string(i)),
                     static_cast<std::uint64_t>(1000 + i)});
  }
  return hosts;
}

TEST_CASE("without a live host there is no owner") {
  CHECK(!RendezvousOwner("key", {}));
  CHECK(!GroupOwner({ServiceName("s"), ZoneName("z")}, {}, {}));
}

TEST_CASE("a zone without hosts is owned by a host of its region") {
  const GroupId group{ServiceName("s"), ZoneName("z")};
  const auto region = Hosts(4);
  CHECK(GroupOwner(group, {}, region) == GroupOwner(group, region, {}));
  CHECK(GroupOwner(group, {region[2]}, region) == region[2]);
}

TEST_CASE("keys are distributed evenly over hosts") {
  constexpr int kKeys = 18000;
  std::map<HostIncarnation, int> owned;
  for (int i = 0; i < kKeys; ++i) {
    ++owned[*RendezvousOwner("key-" + std::to_string(i), Hosts(18))];
  }
  CHECK(owned.size() == 18);
  for (const auto& [host, keys] : owned) {
    CHECK(keys > 850);
    CHECK(keys < 1150);
  }
}

TEST_CASE(
    "the owner does not depend on the order of hosts, and only the keys of a "
    "removed host move") {
  rc::prop("rendezvous", [](const std::string& key) {
    const int count = *rc::gen::inRange(1, 18);
    auto hosts = Hosts(count);
    const auto owner = RendezvousOwner(key, hosts);
    std::reverse(hosts.begin(), hosts.end());
    RC_ASSERT(RendezvousOwner(key, hosts) == owner);
    const auto removed = *rc::gen::elementOf(hosts);
    hosts.erase(std::find(hosts.begin(), hosts.end(), removed));
    if (removed != owner) RC_ASSERT(RendezvousOwner(key, hosts) == owner);
  });
}

}  // namespace
}  // namespace heatherlatch
