#include "heatherlatch/at_most_once/key_ring.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CallerKey kKey{OrganisationName("shop"), "key"};

// Key rings of named hosts that exchange support reports without loss or delay.
class Hosts {
 public:
  using Names = std::set<std::string>;

  void Start(const Names& names) {
    for (const std::string& name : names) {
      rings_.emplace(name, KeyRing(Host(name), KeyRingOptions(), now_));
    }
  }

  static HostIncarnation Host(const std::string& name) {
    return {HostName(name), 1};
  }

  static std::vector<HostIncarnation> Named(const Names& names) {
    std::vector<HostIncarnation> hosts;
    for (const std::string& name : names) hosts.push_back(Host(name));
    return hosts;
  }

  // Runs one side of a network partition for `duration`. Hosts of
  // `list_readers` read `listed` as the platform's list.
  void Run(const Names& partition, const Names& list_readers,
           const Names& listed, Duration duration) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(500)) {
      for (const std::string& name : partition) {
        rings_.at(name).SetMembers(Named(partition), now_);
        if (list_readers.count(name) > 0) {
          rings_.at(name).OnHostList(Named(listed), now_);
        }
      }
      ExchangeSupport(partition);
    }
  }

  void ExchangeSupport(const Names& partition) {
    for (const std::string& from : partition) {
      const std::uint64_t ring = rings_.at(from).SupportedRing(now_);
      for (const std::string& to : partition) {
        if (to != from) rings_.at(to).OnSupport(Host(from), ring, now_);
      }
    }
  }

  bool AnyMajority(const Names& names) {
    bool any = false;
    for (const std::string& name : names) {
      any = any || rings_.at(name).HasMajority(now_);
    }
    return any;
  }

  KeyRing& ring(const std::string& name) { return rings_.at(name); }
  TimePoint now() const { return now_; }

 private:
  TimePoint now_{seconds(1000)};
  std::map<std::string, KeyRing> rings_;
};

TEST_CASE("the grace period covers the default resend window", "[promise-07]") {
  CHECK(LongestKeyDeadline(KeyRingOptions(), seconds(20)) == seconds(20));
  CHECK(LongestKeyDeadline(KeyRingOptions(), seconds(41)) < Duration::zero());
}

const Hosts::Names kAbc{"a", "b", "c"};

Hosts SteadyAbc() {
  Hosts hosts;
  hosts.Start(kAbc);
  hosts.Run(kAbc, kAbc, kAbc, seconds(70));
  REQUIRE(hosts.AnyMajority(kAbc));
  return hosts;
}

TEST_CASE("KeyOwner and the key ring choose the same owner of a key",
          "[promise-07]") {
  const Hosts::Names names = {"a", "b", "c", "d", "e"};
  KeyRing ring(Hosts::Host("a"), KeyRingOptions(), TimePoint());
  ring.SetMembers(Hosts::Named(names), TimePoint());
  for (int i = 0; i < 100; ++i) {
    const CallerKey key{OrganisationName("shop"), std::to_string(i)};
    const auto owner = KeyOwner(key, Hosts::Named(names));
    const KeyOwnership verdict = ring.CheckOwnership(key, TimePoint());
    const auto* forward = std::get_if<ForwardTo>(&verdict);
    const HostIncarnation ring_owner =
        forward == nullptr ? Hosts::Host("a") : forward->owner;
    REQUIRE(owner);
    CHECK(*owner == ring_owner);
  }
}

TEST_CASE("joiners on one side of a partition do not outvote the other side",
          "[promise-07]") {
  Hosts hosts = SteadyAbc();
  hosts.Start({"x", "y"});
  // a and b cannot read the list, so x and y do not enter their electorates.
  hosts.Run({"c", "x", "y"}, {"c", "x", "y"}, {"a", "b", "c", "x", "y"},
            seconds(200));
  CHECK_FALSE(hosts.AnyMajority({"c", "x", "y"}));
  hosts.Run({"a", "b"}, {}, {}, seconds(10));
  CHECK(hosts.AnyMajority({"a", "b"}));
}

TEST_CASE("a host without a list has no majority", "[promise-07]") {
  Hosts hosts = SteadyAbc();
  hosts.Start({"x"});
  hosts.Run({"b", "c", "x"}, {}, {}, seconds(100));
  const std::uint64_t supported = hosts.ring("b").SupportedRing(hosts.now());
  CHECK(supported != 0);
  CHECK(supported == hosts.ring("c").SupportedRing(hosts.now()));
  CHECK_FALSE(hosts.ring("x").HasMajority(hosts.now()));
}

TEST_CASE("unresponsive hosts stay in the electorate until the list drops them",
          "[promise-07]") {
  Hosts hosts = SteadyAbc();
  hosts.Run({"a"}, {}, {}, seconds(200));
  CHECK_FALSE(hosts.AnyMajority({"a"}));
  hosts.Run({"a"}, {"a"}, {"a"}, seconds(1));
  CHECK(hosts.AnyMajority({"a"}));
  const KeyOwnership verdict =
      hosts.ring("a").CheckOwnership(kKey, hosts.now());
  CHECK(std::holds_alternative<NotProven>(verdict));
}

TEST_CASE("a new host only observes until every host reports the same ring",
          "[promise-07]") {
  Hosts hosts = SteadyAbc();
  hosts.Start({"x"});
  KeyRing& joiner = hosts.ring("x");
  const Hosts::Names all{"a", "b", "c", "x"};
  // The joiner has all others in its ring, and they do not have it in theirs.
  joiner.SetMembers(Hosts::Named(all), hosts.now());
  joiner.OnHostList(Hosts::Named(all), hosts.now());
  hosts.Run(kAbc, kAbc, kAbc, seconds(3));
  const std::uint64_t observed = joiner.SupportedRing(hosts.now());
  REQUIRE(observed != 0);
  for (int i = 0; i < 60; ++i) {
    joiner.OnHostList(Hosts::Named(all), hosts.now());
    hosts.ExchangeSupport(all);
    REQUIRE(joiner.SupportedRing(hosts.now()) == observed);
    hosts.Run(kAbc, kAbc, kAbc, seconds(1));
  }
  hosts.Run(all, all, all, seconds(4));
  CHECK(joiner.SupportedRing(hosts.now()) != observed);
}

TEST_CASE("a host never supports two rings within a support lifetime",
          "[promise-07]") {
  CHECK(rc::check("supports of one host", [] {
    Hosts hosts = SteadyAbc();
    KeyRing& ring = hosts.ring("a");
    const std::vector<Hosts::Names> choices{kAbc, {"a", "b"}, {"a", "c"}};
    TimePoint now = hosts.now();
    std::uint64_t last_ring = 0;
    TimePoint last_at{};
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1500)));
    for (const auto& [choice, wait_ms] : steps) {
      now += milliseconds(wait_ms);
      // Half of the steps only read the supported ring.
      if (choice < 3) ring.SetMembers(Hosts::Named(choices[choice]), now);
      const std::uint64_t supported = ring.SupportedRing(now);
      if (supported == 0) continue;
      const bool apart = now - last_at >= KeyRingOptions().support_lifetime;
      RC_ASSERT(supported == last_ring || apart);
      last_ring = supported;
      last_at = now;
    }
  }));
}

TEST_CASE("a handover counts only where both hosts have the same ring",
          "[promise-07]") {
  Hosts hosts = SteadyAbc();
  hosts.Start({"x"});
  KeyRing& owner = hosts.ring("a");
  KeyRing& joiner = hosts.ring("x");
  const std::vector<HostIncarnation> due{Hosts::Host("x")};
  owner.SetMembers(Hosts::Named({"a", "b", "c", "x"}), hosts.now());
  joiner.SetMembers(Hosts::Named({"a", "b", "x"}), hosts.now());
  CHECK(owner.PendingHandovers() == due);
  const TimePoint later = hosts.now() + seconds(3);
  joiner.OnSupport(Hosts::Host("a"), owner.SupportedRing(later), later);
  CHECK_FALSE(joiner.OnHandover(Hosts::Host("a"), later));
  SECTION("both hosts have the same ring") {
    joiner.SetMembers(Hosts::Named({"a", "b", "c", "x"}), later);
    CHECK(joiner.OnHandover(Hosts::Host("a"), later));
    owner.OnHandoverAcked(Hosts::Host("x"));
    CHECK(owner.PendingHandovers().empty());
  }
  SECTION("a third host drops out of the ring during the handover") {
    owner.SetMembers(Hosts::Named({"a", "b", "x"}), later);
    CHECK(owner.PendingHandovers().empty());
  }
}

TEST_CASE("a host that leaves runs nothing and hands over to all others",
          "[promise-07]") {
  Hosts hosts = SteadyAbc();
  for (const std::string& name : kAbc) {
    KeyRing& ring = hosts.ring(name);
    ring.Leave(hosts.now());
    CHECK(ring.PendingHandovers().size() == 2);
    CHECK(ring.SupportedRing(hosts.now()) == 0);
    const KeyOwnership verdict = ring.CheckOwnership(kKey, hosts.now());
    CHECK(std::holds_alternative<ForwardTo>(verdict));
  }
}

}  // namespace
}  // namespace heatherlatch
