// What this host knows about the other entry hosts.
//
// The platform's list seeds the membership and is never taken as proof of life:
// a host is live while its heartbeats arrive. A host that is silent for
// `suspect_after` is suspected: it is given no new work, and it keeps its place
// until `remove_after`, so a short pause moves nothing. A host that announces
// that it is leaving is taken out at once.
//
// A place is a host name or a peer endpoint; it is held by one incarnation.
// Nonces are random, so they do not tell which incarnation is newer. A link
// does: it is admitted only after the peer has answered a fresh challenge, so
// the incarnation whose link came up last is the newest at its place
// (`OnLinkUp`). A heartbeat keeps an incarnation live, but never displaces a
// holder, and it takes a place only while no link has shown another incarnation
// there within `departed_retention`. An incarnation that has left does not
// return.
//
// After this process was itself paused for longer than `pause_threshold`
// (`Advance` is called late), every peer gets a fresh allowance before it is
// suspected, because the silence was this host's own.
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

// What a host says of itself.
struct HostDescription {
  HostIncarnation incarnation;
  RegionName region;
  ZoneName zone;
  Endpoint caller_endpoint;  // HTTP, for callers.
  Endpoint peer_endpoint;    // websocket, for other entry hosts.
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
  TimePoint last_heard;
};

// An immutable picture of the membership. Includes this host.
struct MemberView {
  HostDescription self;
  std::vector<Member> members;
  bool self_leaving = false;

  // @return live members of the zone, this host included while it is not
  //     leaving
  std::vector<HostIncarnation> LiveInZone(const ZoneName& zone) const;
  std::vector<HostIncarnation> LiveInRegion(const RegionName& region) const;
  // @return live and suspected members of the region: the key ring
  std::vector<HostIncarnation> RingOf(const RegionName& region) const;
  const Member* Find(const HostIncarnation& incarnation) const;
};

struct MembershipOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  Duration suspect_after = std::chrono::milliseconds(1500);
  Duration remove_after = std::chrono::seconds(5);
  Duration pause_threshold = std::chrono::milliseconds(750);
  // How long it is remembered which incarnations have left, and which one a
  // link last showed at a place.
  Duration departed_retention = std::chrono::minutes(2);
  // Every host links to every other one up to this many hosts in the fleet,
  // and to every host of its region up to this many hosts in the region.
  std::size_t full_mesh_hosts = 24;
  // Links to each zone that is outside the full mesh.
  std::size_t links_per_zone = 2;
  // How long a link stays wanted after the last `RequestLink` for its endpoint.
  Duration requested_link_lifetime = std::chrono::minutes(1);
  std::size_t max_requested_links = 64;
};

class Membership {
 public:
  Membership(HostDescription self, MembershipOptions options, TimePoint now);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  // Takes the platform's list as places to connect to.
  void SetListed(const std::vector<ListedHost>& listed, TimePoint now);

  // Records that a link to a peer was admitted: proof that this incarnation is
  // alive now. It takes the place of any other incarnation with its host name
  // or peer endpoint.
  void OnLinkUp(const HostDescription& peer, TimePoint now);

  // Records a heartbeat of a peer.
  void OnHeartbeat(const HostDescription& from,
                   std::uint64_t configuration_revision, TimePoint now);

  // Records that a peer has announced its departure.
  void OnLeaving(const HostIncarnation& from, TimePoint now);

  // Marks this host as leaving.
  void LeaveSelf();

  // Applies timeouts.
  // @return whether the view has changed since the last call
  bool Advance(TimePoint now);

  // @return a snapshot of the present view
  std::shared_ptr<const MemberView> View() const;

  // Asks for a link to a host outside the regular targets, such as the issuer
  // of a ticket or a slot owner, for `requested_link_lifetime`.
  void RequestLink(const Endpoint& endpoint, TimePoint now);

  // @return the endpoints that this host should hold a link to, sorted: every
  //     host of the own zone, the hosts of the full mesh, in each other zone
  //     the `links_per_zone` hosts that come first in rendezvous order for this
  //     host, and what is wanted
  std::vector<Endpoint> LinkTargets() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_MEMBERSHIP_MEMBERSHIP_H_
