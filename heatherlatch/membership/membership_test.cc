#include "heatherlatch/membership/membership.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionName kRegion("r1");
const ZoneName kZone("r1-a");

HostDescription Host(int number, std::uint64_t nonce) {
  HostDescription host;
  host.incarnation = {HostName("host-" + std::to_string(number)), nonce};
  host.region = kRegion;
  host.zone = kZone;
  host.peer_endpoint = {"10.0.0." + std::to_string(number), 7001};
  return host;
}

ListedHost Listed(int number, const std::string& region,
                  const std::string& zone) {
  return {HostName("host-" + std::to_string(number)), RegionName(region),
          ZoneName(zone), Host(number, 0).peer_endpoint, false};
}

bool Contains(const std::vector<HostIncarnation>& hosts,
              const HostIncarnation& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

constexpr int kSelf = 0;
constexpr int kPeers = 3;

// Drives a membership with events in any order and tracks the expected state.
// Guards against views that lose a running host, keep an older incarnation
// after a link of a newer one, show a host that left as live, or suspect hosts
// because this process was paused.
class MembershipModel {
 public:
  MembershipModel()
      : options_(Options()), membership_(Host(kSelf, 1), options_, now_) {
    membership_.Advance(now_);
  }

  static MembershipOptions Options() {
    MembershipOptions options;
    options.departed_retention = std::chrono::hours(24);
    return options;
  }

  void Step() {
    switch (*rc::gen::weightedElement<int>({{8, 0},
                                            {4, 1},
                                            {3, 2},
                                            {2, 3},
                                            {1, 4},
                                            {1, 5},
                                            {8, 6},
                                            {1, 7},
                                            {1, 8}})) {
      case 0:
        return Heartbeat(RandomPeer(), /*any_incarnation=*/false);
      case 1:
        return Heartbeat(RandomPeer(), /*any_incarnation=*/true);
      case 2:
        return LinkUp(RandomPeer());
      case 3:
        return Restart(RandomPeer());
      case 4:
        return AnnounceDeparture(RandomPeer());
      case 5:
        return ChangeList();
      case 6:
        return Advance(milliseconds(*rc::gen::inRange(1, 600)));
      case 7:
        return Advance(milliseconds(*rc::gen::inRange(800, 20000)));
      default:
        return AdvanceWithoutPause(options_.remove_after);
    }
  }

  void Check() const {
    const auto view = membership_.View();
    RC_ASSERT(Contains(view->LiveInZone(kZone), Host(kSelf, 1).incarnation));
    CheckOnePerHostName(*view);
    for (int peer = 1; peer <= kPeers; ++peer) CheckPeer(*view, peer);
  }

 private:
  struct Peer {
    std::uint64_t newest = 1;  // Nonce of the running incarnation.
    std::uint64_t linked = 0;  // Nonce of the newest one that has linked up.
    std::set<std::uint64_t> left;  // Nonces of those that left.
    TimePoint last_contact;        // With `newest`.
    bool in_view = false;          // `newest` must be in the view.
  };

  static int RandomPeer() { return *rc::gen::inRange(1, kPeers + 1); }

  void Heartbeat(int number, bool any_incarnation) {
    Peer& peer = peers_[number];
    const std::uint64_t nonce =
        any_incarnation ? *rc::gen::inRange<std::uint64_t>(1, peer.newest + 1)
                        : peer.newest;
    membership_.OnHeartbeat(Host(number, nonce), 5, now_);
    const bool is_accepted = nonce == peer.newest && peer.linked == nonce &&
                             peer.left.count(nonce) == 0;
    if (!is_accepted) return;
    peer.in_view = true;
    peer.last_contact = now_;
  }

  void LinkUp(int number) {
    Peer& peer = peers_[number];
    membership_.OnLinkUp(Host(number, peer.newest), now_);
    peer.linked = peer.newest;
    peer.in_view = true;
    peer.last_contact = now_;
  }

  void Restart(int number) {
    Peer& peer = peers_[number];
    ++peer.newest;
    peer.in_view = false;
  }

  void AnnounceDeparture(int number) {
    Peer& peer = peers_[number];
    membership_.OnLeaving(Host(number, peer.newest).incarnation, now_);
    peer.left.insert(peer.newest);
  }

  void ChangeList() {
    std::vector<ListedHost> listed;
    for (int number = 0; number <= kPeers; ++number) {
      if (*rc::gen::arbitrary<bool>()) {
        listed.push_back(Listed(number, "r1", "r1-a"));
      }
    }
    membership_.SetListed(listed, now_);
  }

  void AdvanceWithoutPause(Duration duration) {
    const Duration step = options_.pause_threshold / 2;
    for (Duration spent{}; spent < duration; spent += step) Advance(step);
  }

  void Advance(Duration step) {
    const auto before = membership_.View();
    now_ += step;
    if (step > options_.pause_threshold) resumed_at_ = now_;
    membership_.Advance(now_);
    for (auto& [number, peer] : peers_) {
      if (TimeSinceContact(peer) >= options_.remove_after) peer.in_view = false;
    }
    CheckSuspectTimeout(*before);
  }

  // No host is suspected before `suspect_after` has passed since a pause.
  void CheckSuspectTimeout(const MemberView& before) const {
    if (now_ - options_.suspect_after >= resumed_at_) return;
    const auto after = membership_.View();
    for (const Member& member : before.members) {
      if (member.state != MemberState::kLive) continue;
      const Member* present = after->Find(member.description.incarnation);
      RC_ASSERT(present != nullptr);
      RC_ASSERT(present->state == MemberState::kLive);
    }
  }

  Duration TimeSinceContact(const Peer& peer) const {
    return now_ - std::max(peer.last_contact, resumed_at_);
  }

  static void CheckOnePerHostName(const MemberView& view) {
    std::set<HostName> names;
    for (const Member& member : view.members) {
      RC_ASSERT(names.insert(member.description.incarnation.host).second);
    }
  }

  void CheckPeer(const MemberView& view, int number) const {
    const auto found = peers_.find(number);
    if (found == peers_.end()) return;
    const Peer& peer = found->second;
    CheckNoOlderIncarnation(view, number, peer);
    if (peer.linked != peer.newest || peer.left.count(peer.newest) > 0) return;
    const Member* member = view.Find(Host(number, peer.newest).incarnation);
    RC_ASSERT((member != nullptr) == peer.in_view);
    const bool in_time = now_ - options_.suspect_after < peer.last_contact;
    if (in_time) RC_ASSERT(member->state == MemberState::kLive);
  }

  static void CheckNoOlderIncarnation(const MemberView& view, int number,
                                      const Peer& peer) {
    for (const Member& member : view.members) {
      const HostIncarnation& present = member.description.incarnation;
      if (present.host != Host(number, 0).incarnation.host) continue;
      RC_ASSERT(present.nonce >= peer.linked);
      if (peer.left.count(present.nonce) == 0) continue;
      RC_ASSERT(member.state == MemberState::kLeaving);
    }
  }

  MembershipOptions options_;
  TimePoint now_{seconds(1000)};
  TimePoint resumed_at_;
  Membership membership_;
  std::map<int, Peer> peers_;
};

TEST_CASE("the view matches the expected state in any order of events",
          "[promise-07][promise-09]") {
  rc::prop("any order of events", [] {
    MembershipModel model;
    const int steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
      model.Step();
      model.Check();
    }
  });
}

TEST_CASE("a host that leaves gets no new work and stays in the view",
          "[promise-09]") {
  TimePoint now{seconds(10)};
  Membership membership(Host(0, 1), {}, now);
  const HostIncarnation peer = Host(1, 1).incarnation;
  membership.OnLinkUp(Host(1, 1), now);
  CHECK(Contains(membership.View()->LiveInZone(kZone), peer));
  membership.OnLeaving(peer, now);
  CHECK(membership.Advance(now));
  CHECK_FALSE(Contains(membership.View()->LiveInZone(kZone), peer));
  CHECK_FALSE(Contains(membership.View()->KeyRingInRegion(kRegion), peer));
  for (int i = 0; i < 100; ++i) {
    now += milliseconds(500);
    membership.OnHeartbeat(Host(1, 1), 1, now);
    membership.Advance(now);
  }
  REQUIRE(membership.View()->Find(peer) != nullptr);
  CHECK(membership.View()->Find(peer)->state == MemberState::kLeaving);
  now += seconds(1);
  membership.Advance(now);
  for (int i = 0; i < 10; ++i) membership.Advance(now += milliseconds(500));
  CHECK(membership.View()->Find(peer) == nullptr);
}

TEST_CASE("this host is in its own view until it leaves", "[promise-09]") {
  Membership membership(Host(0, 1), {}, TimePoint{});
  CHECK(membership.View()->LiveInRegion(kRegion).size() == 1);
  membership.LeaveSelf();
  CHECK(membership.Advance(TimePoint{}));
  CHECK(membership.View()->self_leaving);
  CHECK(membership.View()->LiveInZone(kZone).empty());
  CHECK(membership.View()->KeyRingInRegion(kRegion).empty());
}

TEST_CASE("a suspected host keeps its place in the key ring", "[promise-07]") {
  TimePoint now{seconds(10)};
  Membership membership(Host(0, 1), {}, now);
  membership.OnLinkUp(Host(1, 1), now);
  for (int i = 0; i < 4; ++i) membership.Advance(now += milliseconds(500));
  const auto view = membership.View();
  CHECK(view->Find(Host(1, 1).incarnation)->state == MemberState::kSuspected);
  CHECK_FALSE(Contains(view->LiveInZone(kZone), Host(1, 1).incarnation));
  CHECK(Contains(view->KeyRingInRegion(kRegion), Host(1, 1).incarnation));
}

TEST_CASE("queries return members of their zone or region only") {
  TimePoint now{};
  Membership membership(Host(0, 1), {}, now);
  HostDescription other_zone = Host(1, 1);
  other_zone.zone = ZoneName("r1-b");
  HostDescription other_region = Host(2, 1);
  other_region.region = RegionName("r2");
  other_region.zone = ZoneName("r2-a");
  membership.OnLinkUp(other_zone, now);
  membership.OnLinkUp(other_region, now);
  const auto view = membership.View();
  CHECK(view->LiveInZone(kZone).size() == 1);
  CHECK(view->LiveInZone(other_zone.zone).size() == 1);
  CHECK(view->LiveInRegion(kRegion).size() == 2);
  CHECK(view->KeyRingInRegion(kRegion).size() == 2);
  CHECK(view->LiveInRegion(other_region.region).size() == 1);
}

TEST_CASE("a heartbeat reports the configuration revision in force",
          "[promise-10]") {
  TimePoint now{};
  Membership membership(Host(0, 1), {}, now);
  membership.OnLinkUp(Host(1, 1), now);
  membership.Advance(now);
  membership.OnHeartbeat(Host(1, 1), 7, now);
  CHECK(membership.Advance(now));
  CHECK(
      membership.View()->Find(Host(1, 1).incarnation)->configuration_revision ==
      7);
  membership.OnHeartbeat(Host(1, 1), 7, now);
  CHECK_FALSE(membership.Advance(now));
}

// A fleet of `regions` regions with two zones of `hosts_per_zone` hosts each.
std::vector<ListedHost> Fleet(int regions, int hosts_per_zone) {
  std::vector<ListedHost> listed;
  for (int region = 0; region < regions; ++region) {
    for (int zone = 0; zone < 2; ++zone) {
      const std::string region_name = "r" + std::to_string(region + 1);
      const std::string zone_name = region_name + (zone == 0 ? "-a" : "-b");
      for (int i = 0; i < hosts_per_zone; ++i) {
        listed.push_back(
            Listed(static_cast<int>(listed.size()), region_name, zone_name));
      }
    }
  }
  return listed;
}

std::size_t TargetsIn(int regions, int hosts_per_zone) {
  Membership membership(Host(kSelf, 1), {}, TimePoint{});
  membership.SetListed(Fleet(regions, hosts_per_zone), TimePoint{});
  return membership.LinkTargets().size();
}

TEST_CASE("the number of links grows with the own zone, not with the fleet") {
  CHECK(TargetsIn(3, 3) == 17);         // 18 hosts: every other host.
  CHECK(TargetsIn(3, 8) == 15 + 8);     // 48 hosts: the region, 2 in each zone.
  CHECK(TargetsIn(3, 50) == 49 + 10);   // 300 hosts: the zone, 2 in each zone.
  CHECK(TargetsIn(10, 50) == 49 + 38);  // 1000 hosts.
}

TEST_CASE(
    "links from other zones spread about evenly over the hosts of a zone") {
  const std::vector<ListedHost> fleet = Fleet(3, 12);
  std::map<Endpoint, int> inbound;
  for (const ListedHost& host : fleet) {
    HostDescription self = Host(0, 1);
    self.incarnation.host = host.name;
    self.region = host.region;
    self.zone = host.zone;
    self.peer_endpoint = host.peer_endpoint;
    Membership membership(self, {}, TimePoint{});
    membership.SetListed(fleet, TimePoint{});
    for (const Endpoint& target : membership.LinkTargets()) ++inbound[target];
  }
  CHECK(inbound.size() == fleet.size());
  // 23 from the own region; 2 * 48 / 12 on average from the others.
  for (const auto& [endpoint, count] : inbound) CHECK(count <= 23 + 3 * 8);
}

TEST_CASE("a requested endpoint is a link target until the request expires") {
  TimePoint now{};
  Membership membership(Host(kSelf, 1), {}, now);
  const Endpoint requested{"10.9.9.9", 7001};
  membership.RequestLink(requested, now);
  CHECK(membership.LinkTargets() == std::vector<Endpoint>{requested});
  membership.RequestLink(requested, now += seconds(50));
  membership.Advance(now += seconds(50));
  CHECK(membership.LinkTargets().size() == 1);
  membership.Advance(now += seconds(10));
  CHECK(membership.LinkTargets().empty());
  for (std::uint16_t port = 1; port <= 500; ++port) {
    membership.RequestLink({"10.9.9.9", port}, now);
  }
  CHECK(membership.LinkTargets().size() ==
        MembershipOptions().max_requested_links);
}

TEST_CASE("the list alone neither adds nor removes members") {
  TimePoint now{};
  Membership membership(Host(kSelf, 1), {}, now);
  membership.SetListed(Fleet(1, 2), now);
  CHECK(membership.View()->members.size() == 1);
  CHECK(membership.LinkTargets().size() == 3);
  membership.OnLinkUp(Host(1, 1), now);
  membership.SetListed({}, now);
  CHECK(membership.View()->LiveInZone(kZone).size() == 2);
  CHECK(membership.LinkTargets().size() == 1);
}

}  // namespace
}  // namespace heatherlatch
