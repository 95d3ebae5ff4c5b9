#include "heatherlatch/membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "heatherlatch/membership/internal/link_targets.h"

namespace heatherlatch {
namespace {

using membership_internal::ChooseLinkTargets;
using membership_internal::LinkCandidate;

bool SharesNameOrEndpoint(const HostDescription& a, const HostDescription& b) {
  return a.incarnation.host == b.incarnation.host ||
         a.peer_endpoint == b.peer_endpoint;
}

template <typename Predicate>
std::vector<HostIncarnation> Select(const MemberView& view,
                                    Predicate predicate) {
  std::vector<HostIncarnation> selected;
  for (const Member& member : view.members) {
    if (predicate(member)) selected.push_back(member.description.incarnation);
  }
  return selected;
}

}  // namespace

std::vector<HostIncarnation> MemberView::LiveInZone(
    const ZoneName& zone) const {
  return Select(*this, [&](const Member& member) {
    return member.state == MemberState::kLive &&
           member.description.zone == zone;
  });
}

std::vector<HostIncarnation> MemberView::LiveInRegion(
    const RegionName& region) const {
  return Select(*this, [&](const Member& member) {
    return member.state == MemberState::kLive &&
           member.description.region == region;
  });
}

std::vector<HostIncarnation> MemberView::KeyRingInRegion(
    const RegionName& region) const {
  return Select(*this, [&](const Member& member) {
    return member.state != MemberState::kLeaving &&
           member.description.region == region;
  });
}

const Member* MemberView::Find(const HostIncarnation& incarnation) const {
  for (const Member& member : members) {
    if (member.description.incarnation == incarnation) return &member;
  }
  return nullptr;
}

class Membership::State {
 public:
  State(HostDescription self, MembershipOptions options, TimePoint now)
      : self_(std::move(self)), options_(options), advanced_at_(now) {}

  void SetListed(const std::vector<ListedHost>& listed) { listed_ = listed; }

  void OnLinkUp(const HostDescription& peer, TimePoint now) {
    if (SharesNameOrEndpoint(peer, self_)) return;
    RemoveReplaced(peer);
    newest_linked_.erase(
        std::remove_if(newest_linked_.begin(), newest_linked_.end(),
                       [&](const LinkedPeer& other) {
                         return SharesNameOrEndpoint(other.description, peer);
                       }),
        newest_linked_.end());
    newest_linked_.push_back({peer, now});
    Record(peer, now);
  }

  void OnHeartbeat(const HostDescription& from, std::uint64_t revision,
                   TimePoint now) {
    if (SharesNameOrEndpoint(from, self_) || ConflictsWithMember(from)) return;
    if (ConflictsWithLinked(from)) return;
    if (HasDeparted(from.incarnation)) {
      RefreshLeaving(from.incarnation, now);
      return;
    }
    Member& member = Record(from, now);
    if (member.configuration_revision != revision) changed_ = true;
    member.configuration_revision = revision;
  }

  void OnLeaving(const HostIncarnation& from, TimePoint now) {
    departed_[from] = now;
    const auto found = peers_.find(from);
    if (found == peers_.end()) return;
    SetState(MemberState::kLeaving, &found->second);
  }

  void LeaveSelf() {
    changed_ = changed_ || !self_leaving_;
    self_leaving_ = true;
  }

  bool Advance(TimePoint now) {
    if (now - advanced_at_ > options_.pause_threshold) resumed_at_ = now;
    advanced_at_ = std::max(advanced_at_, now);
    ApplyTimeouts(now);
    ExpireLinked(now);
    ExpireDeparted(now);
    ExpireRequestedLinks(now);
    return std::exchange(changed_, false);
  }

  std::shared_ptr<const MemberView> View() const {
    auto view = std::make_shared<MemberView>();
    view->self = self_;
    view->self_leaving = self_leaving_;
    view->members.reserve(peers_.size() + 1);
    view->members.push_back(SelfAsMember());
    for (const auto& [incarnation, member] : peers_) {
      view->members.push_back(member);
    }
    return view;
  }

  void RequestLink(const Endpoint& endpoint, TimePoint now) {
    if (endpoint == self_.peer_endpoint) return;
    requested_links_[endpoint] = now;
    if (requested_links_.size() <= options_.max_requested_links) return;
    requested_links_.erase(std::min_element(
        requested_links_.begin(), requested_links_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }

  std::vector<Endpoint> LinkTargets() const {
    const std::vector<Endpoint> chosen =
        ChooseLinkTargets(self_, Candidates(), options_);
    std::set<Endpoint> links(chosen.begin(), chosen.end());
    for (const auto& [endpoint, at] : requested_links_) links.insert(endpoint);
    return {links.begin(), links.end()};
  }

 private:
  // An incarnation that a link has shown to be the newest one with its host
  // name and peer endpoint.
  struct LinkedPeer {
    HostDescription description;
    TimePoint last_present;
  };

  bool HasDeparted(const HostIncarnation& incarnation) const {
    return departed_.count(incarnation) > 0;
  }

  bool ConflictsWithMember(const HostDescription& from) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
      return peer.first != from.incarnation &&
             SharesNameOrEndpoint(peer.second.description, from);
    });
  }

  bool ConflictsWithLinked(const HostDescription& from) const {
    return std::any_of(newest_linked_.begin(), newest_linked_.end(),
                       [&](const LinkedPeer& peer) {
                         return peer.description.incarnation !=
                                    from.incarnation &&
                                SharesNameOrEndpoint(peer.description, from);
                       });
  }

  // Keeps a host that is leaving but still sends heartbeats in the view.
  void RefreshLeaving(const HostIncarnation& incarnation, TimePoint now) {
    const auto found = peers_.find(incarnation);
    if (found == peers_.end()) return;
    found->second.last_seen_at = std::max(found->second.last_seen_at, now);
    departed_[incarnation] = now;
  }

  void RemoveReplaced(const HostDescription& peer) {
    for (auto it = peers_.begin(); it != peers_.end();) {
      const bool replaced = it->first != peer.incarnation &&
                            SharesNameOrEndpoint(it->second.description, peer);
      if (!replaced) {
        ++it;
        continue;
      }
      it = peers_.erase(it);
      changed_ = true;
    }
  }

  Member& Record(const HostDescription& peer, TimePoint now) {
    const auto [found, added] = peers_.try_emplace(peer.incarnation);
    Member& member = found->second;
    if (added) {
      changed_ = true;
      member.description = peer;
      member.last_seen_at = now;
      if (HasDeparted(peer.incarnation)) member.state = MemberState::kLeaving;
    }
    member.last_seen_at = std::max(member.last_seen_at, now);
    if (member.state == MemberState::kSuspected) {
      SetState(MemberState::kLive, &member);
    }
    return member;
  }

  void SetState(MemberState state, Member* member) {
    if (member->state == state) return;
    member->state = state;
    changed_ = true;
  }

  // @return the time since the last contact with the peer, or since this
  //     process resumed after a pause if that is later
  Duration TimeSinceContact(const Member& member, TimePoint now) const {
    return now - std::max(member.last_seen_at, resumed_at_);
  }

  void ApplyTimeouts(TimePoint now) {
    for (auto it = peers_.begin(); it != peers_.end();) {
      const Duration since_contact = TimeSinceContact(it->second, now);
      if (since_contact >= options_.remove_after) {
        it = peers_.erase(it);
        changed_ = true;
        continue;
      }
      const bool live = it->second.state == MemberState::kLive;
      if (live && since_contact >= options_.suspect_after) {
        SetState(MemberState::kSuspected, &it->second);
      }
      ++it;
    }
  }

  void ExpireLinked(TimePoint now) {
    for (auto it = newest_linked_.begin(); it != newest_linked_.end();) {
      if (peers_.count(it->description.incarnation) > 0) {
        it->last_present = now;
      }
      const bool expired =
          now - it->last_present >= options_.departed_retention;
      it = expired ? newest_linked_.erase(it) : std::next(it);
    }
  }

  void ExpireDeparted(TimePoint now) {
    for (auto it = departed_.begin(); it != departed_.end();) {
      const bool expired = now - it->second >= options_.departed_retention;
      it = expired ? departed_.erase(it) : std::next(it);
    }
  }

  void ExpireRequestedLinks(TimePoint now) {
    for (auto it = requested_links_.begin(); it != requested_links_.end();) {
      const bool expired = now - it->second >= options_.requested_link_lifetime;
      it = expired ? requested_links_.erase(it) : std::next(it);
    }
  }

  Member SelfAsMember() const {
    Member member;
    member.description = self_;
    member.state = self_leaving_ ? MemberState::kLeaving : MemberState::kLive;
    member.last_seen_at = advanced_at_;
    return member;
  }

  // @return the listed hosts and the current members that are not leaving, one
  //     entry per host; a member's own description takes precedence over the
  //     list
  std::vector<LinkCandidate> Candidates() const {
    std::map<HostName, LinkCandidate> candidates;
    for (const ListedHost& host : listed_) {
      if (host.leaving) continue;
      candidates[host.name] = {host.name, host.region, host.zone,
                               host.peer_endpoint};
    }
    for (const auto& [incarnation, member] : peers_) {
      if (member.state == MemberState::kLeaving) continue;
      const HostDescription& peer = member.description;
      candidates[incarnation.host] = {incarnation.host, peer.region, peer.zone,
                                      peer.peer_endpoint};
    }
    std::vector<LinkCandidate> others;
    for (const auto& [name, candidate] : candidates) {
      const bool self = candidate.endpoint == self_.peer_endpoint ||
                        name == self_.incarnation.host;
      if (!self) others.push_back(candidate);
    }
    return others;
  }

  HostDescription self_;
  MembershipOptions options_;
  bool self_leaving_ = false;
  bool changed_ = true;
  TimePoint advanced_at_;
  // When this process last resumed after a pause.
  TimePoint resumed_at_ = TimePoint::min();
  std::vector<ListedHost> listed_;
  std::map<HostIncarnation, Member> peers_;
  std::vector<LinkedPeer> newest_linked_;
  // Incarnations that announced their departure, and when each was last known
  // to run.
  std::map<HostIncarnation, TimePoint> departed_;
  std::map<Endpoint, TimePoint> requested_links_;
};

Membership::Membership(HostDescription self, MembershipOptions options,
                       TimePoint now)
    : state_(std::make_unique<State>(std::move(self), options, now)) {}

Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

void Membership::SetListed(const std::vector<ListedHost>& listed, TimePoint) {
  state_->SetListed(listed);
}

void Membership::OnLinkUp(const HostDescription& peer, TimePoint now) {
  state_->OnLinkUp(peer, now);
}

void Membership::OnHeartbeat(const HostDescription& from,
                             std::uint64_t configuration_revision,
                             TimePoint now) {
  state_->OnHeartbeat(from, configuration_revision, now);
}

void Membership::OnLeaving(const HostIncarnation& from, TimePoint now) {
  state_->OnLeaving(from, now);
}

void Membership::LeaveSelf() { state_->LeaveSelf(); }

bool Membership::Advance(TimePoint now) { return state_->Advance(now); }

std::shared_ptr<const MemberView> Membership::View() const {
  return state_->View();
}

void Membership::RequestLink(const Endpoint& endpoint, TimePoint now) {
  state_->RequestLink(endpoint, now);
}

std::vector<Endpoint> Membership::LinkTargets() const {
  return state_->LinkTargets();
}

}  // namespace heatherlatch
