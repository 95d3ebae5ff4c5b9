// The state of the other entry hosts, as this host sees it.
//
// The platform's list gives the endpoints to connect to. It is no evidence that
// a host is live: a host is live while its heartbeats arrive. A host without a
// heartbeat for `suspect_after` is suspected: it is given no new work, but
// stays in the key ring until `remove_after`, so a short pause does not change
// the ring. A host that announces that it is leaving gets no new work and
// leaves the key ring at once.
//
// A host name and a peer endpoint each belong to one incarnation at a time.
// Nonces are random, so they do not show which incarnation is newer. A link
// does: it is admitted only after the peer has responded to a fresh challenge,
// so the incarnation whose link came up last is the newest one with its host
// name and peer endpoint (`OnLinkUp`). A heartbeat keeps an incarnation live,
// but never replaces another member with the same name or endpoint. It adds an
// incarnation only while no link has shown another one with that name or
// endpoint within `departed_retention`. An incarnation that has left does not
// become live again.
//
// After this process was itself paused for longer than `pause_threshold`
// (`Advance` is called late), the timeouts of every peer start again, because
// the process could not receive heartbeats during the pause.
//
// Thread safety: none; the control thread owns it and publishes `MemberView`
// snapshots. Reads no clock.
#ifndef HEATHERLATCH_MEMBERSHIP_MEMBERSHIP_H_
#define HEATHERLATCH_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// The description that a host sends of itself.
struct HostDescription {
  HostIncarnation incarnation;
  RegionName region;
  ZoneName zone;
  Endpoint caller_endpoint;  // HTTP, for callers.
  Endpoint peer_endpoint;    // WebSocket, for other entry hosts.
};

// One entry host in the platform's list.
struct ListedHost {
  HostName name;
  RegionName region;
  ZoneName zone;
  Endpoint peer_endpoint;
  bool leaving = false;
};

enum class MemberState { kLive, kSuspected, kLeaving };

struct Member {
  HostDescription description;
  MemberState state = MemberState::kLive;
  std::uint64_t configuration_revision = 0;
  TimePoint last_seen_at;
};

// An immutable snapshot of the membership, including this host.
struct MemberView {
  HostDescription self;
  std::vector<Member> members;
  bool self_leaving = false;

  // @return live members of the zone, this host included while it is not
  //     leaving
  std::vector<HostIncarnation> LiveInZone(const ZoneName& zone) const;
  std::vector<HostIncarnation> LiveInRegion(const RegionName& region) const;
  // @return the live and suspected members of the region, which form its key
  //     ring
  std::vector<HostIncarnation> KeyRingInRegion(const RegionName& region) const;
  const Member* Find(const HostIncarnation& incarnation) const;
};

struct MembershipOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // Time without contact after which a live host is suspected, and after which
  // a host is removed.
  Duration suspect_after = std::chrono::milliseconds(1500);
  Duration remove_after = std::chrono::seconds(5);
  // A longer interval between two `Advance` calls counts as a pause of this
  // process.
  Duration pause_threshold = std::chrono::milliseconds(750);
  // How long the records are kept of incarnations that have left, and of the
  // incarnation that a link last showed for a host name and peer endpoint.
  Duration departed_retention = std::chrono::minutes(2);
  // Every host links to every other one up to this many hosts in the fleet,
  // and to every host of its region up to this many hosts in the region.
  std::size_t full_mesh_hosts = 24;
  // Links to each zone outside the full mesh.
  std::size_t links_per_zone = 2;
  // How long a requested link stays a target after the last `RequestLink` for
  // its endpoint.
  Duration requested_link_lifetime = std::chrono::minutes(1);
  std::size_t max_requested_links = 64;
};

class Membership {
 public:
  Membership(HostDescription self, MembershipOptions options, TimePoint now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  // Replaces the platform's list, which gives the endpoints to connect to.
  void SetListed(const std::vector<ListedHost>& listed, TimePoint now);

  // Records that a link to a peer was admitted, which proves that this
  // incarnation is running now. It replaces any other incarnation with its host
  // name or peer endpoint.
  void OnLinkUp(const HostDescription& peer, TimePoint now);

  // Records a heartbeat of a peer.
  void OnHeartbeat(const HostDescription& from,
                   std::uint64_t configuration_revision, TimePoint now);

  // Records that a peer has announced its departure.
  void OnLeaving(const HostIncarnation& from, TimePoint now);

  // Marks this host as leaving.
  void LeaveSelf();

  // Applies the timeouts. To be called more often than `pause_threshold`.
  // @return whether the view has changed since the last call
  bool Advance(TimePoint now);

  // @return a snapshot of the current view
  std::shared_ptr<const MemberView> View() const;

  // Requests a link to a host outside the regular targets, such as the issuer
  // of a ticket or a slot owner, for `requested_link_lifetime`.
  void RequestLink(const Endpoint& endpoint, TimePoint now);

  // @return the endpoints that this host should hold a link to, sorted: every
  //     host of the own zone, the hosts of the full mesh, in each other zone
  //     the `links_per_zone` hosts that come first in rendezvous order for this
  //     host, and the requested endpoints
  std::vector<Endpoint> LinkTargets() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_MEMBERSHIP_MEMBERSHIP_H_
