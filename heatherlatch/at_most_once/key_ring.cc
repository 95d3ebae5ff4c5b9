#include "heatherlatch/at_most_once/key_ring.h"

#include <algorithm>
#include <set>

#include "heatherlatch/at_most_once/internal/electorate.h"
#include "heatherlatch/at_most_once/internal/rendezvous.h"
#include "heatherlatch/at_most_once/internal/support_table.h"

namespace heatherlatch {
namespace {

// Hash seeds that distinguish a supported ring from one that is only observed.
constexpr std::uint64_t kSupportSeed = 1;
constexpr std::uint64_t kObserveSeed = 2;

using Ring = std::set<HostIncarnation>;

std::uint64_t RingHash(const Ring& ring, std::uint64_t seed) {
  std::string text;
  for (const HostIncarnation& member : ring) text += ToString(member) + "\n";
  const std::uint64_t hash = HashOf(text, seed);
  return hash == 0 ? 1 : hash;  // 0 stands for no ring.
}

std::uint64_t KeyHash(const CallerKey& key) {
  return HashOf(ToString(RequestKey(key)));
}

}  // namespace

std::optional<HostIncarnation> KeyOwner(
    const CallerKey& key, const std::vector<HostIncarnation>& hosts) {
  const std::uint64_t key_hash = KeyHash(key);
  const auto lower_score = [key_hash](const auto& a, const auto& b) {
    return ScoreOf(key_hash, a) < ScoreOf(key_hash, b);
  };
  const auto owner = std::max_element(hosts.begin(), hosts.end(), lower_score);
  if (owner == hosts.end()) return std::nullopt;
  return *owner;
}

class KeyRing::State {
 public:
  State(HostIncarnation self, KeyRingOptions options, TimePoint now);

  void SetMembers(const std::vector<HostIncarnation>& members, TimePoint now);
  void OnHostList(const std::vector<HostIncarnation>& listed,
                  TimePoint requested_at);
  std::uint64_t SupportedRing(TimePoint now);
  void OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                 TimePoint requested_at);
  bool OnHandover(const HostIncarnation& former_owner, TimePoint now);
  void Leave(TimePoint now);
  std::vector<HostIncarnation> PendingHandovers() const;
  void OnHandoverAcked(const HostIncarnation& peer);
  KeyOwnership CheckOwnership(const CallerKey& key, TimePoint now);
  bool HasMajority(TimePoint now);

 private:
  struct HostListReading {
    std::vector<HostIncarnation> listed;
    TimePoint requested_at;
  };

  // Proof of ownership: the last time that this host had the right to run keys,
  // and the hosts that could have owned some of them since.
  struct Proof {
    // Last time that a majority supported the ring of this host.
    TimePoint confirmed_at;
    // The ring in which the proof was gained.
    Ring ring;
    // Members of that ring and of every later one.
    Ring possible_owners;
    // Hosts that left and handed over.
    Ring departed;
    // Whether this host took keys over as a joiner, instead of keeping its ring
    // for the grace period; then only keys of `former_owners` are proven.
    bool by_handover = false;
    // Members of `ring` that handed over to this host.
    Ring former_owners;
  };

  // Updates support, electorate, vote, majority and proof, in this order.
  void Refresh(TimePoint now);
  void AdoptRing(Ring ring, TimePoint now);
  // Lets the support of this host count from `now` if it has read a full list
  // and every host of the electorate reports the ring of this host.
  void GainVote(TimePoint now);
  // @return whether this host neither supports nor observes a ring
  bool WithholdsSupport(TimePoint now) const;
  // @return since when a majority has supported this ring and no other;
  //     nullopt where no majority supports it now
  std::optional<TimePoint> MajoritySince(TimePoint now) const;
  // @return since when a peer, or this host, has supported this ring; nullopt
  //     where it does not support it now
  std::optional<TimePoint> VoteSince(const HostIncarnation& member,
                                     TimePoint now) const;
  void UpdateElectorate(TimePoint now);
  // @return whether a peer supports or observes the ring of this host
  bool ReportsSameRing(const HostIncarnation& peer, TimePoint now) const;
  // @return the member of the ring with this name, if exactly one has it
  const HostIncarnation* MemberNamed(const HostName& host) const;
  // Renews the proof, or gains it after a grace period. Called only while a
  // majority supports the ring.
  void ConfirmProof(TimePoint now);
  // @return whether the proof is so recent that no other host can have gained
  //     the keys since by keeping its ring
  bool ProofIsFresh(TimePoint now) const;
  bool ProofCoversAllKeys(TimePoint now) const;
  bool ProofCoversKey(std::uint64_t key_hash) const;
  // Accepts a handover from a host that is a member of the ring.
  bool AcceptFromMember(const HostIncarnation& former_owner, TimePoint now);
  HostIncarnation OwnerIn(const Ring& ring, std::uint64_t key_hash) const;

  HostIncarnation self_;
  KeyRingOptions options_;
  Ring ring_;
  std::uint64_t support_hash_ = 0;
  std::uint64_t observe_hash_ = 0;
  TimePoint started_at_;
  TimePoint ring_changed_at_;
  // Whether this host has read a list that contains every host older than it.
  bool has_full_list_ = false;
  // Since when the support of this host counts; nullopt while it observes.
  std::optional<TimePoint> vote_since_;
  bool leaving_ = false;
  Electorate electorate_;
  SupportTable peer_support_;
  std::optional<HostListReading> pending_list_;
  // Since when a majority has supported the present ring and no other; nullopt
  // where no majority supports it now.
  std::optional<TimePoint> majority_since_;
  // The earliest time from which the present electorate may be counted.
  TimePoint electorate_since_;
  std::optional<Proof> proof_;
  Ring pending_handovers_;
};

KeyRing::State::State(HostIncarnation self, KeyRingOptions options,
                      TimePoint now)
    : self_(std::move(self)),
      options_(options),
      started_at_(now),
      electorate_(options.grace_period, options.support_lifetime),
      peer_support_(options.support_lifetime) {
  AdoptRing({self_}, now);
}

void KeyRing::State::SetMembers(const std::vector<HostIncarnation>& members,
                                TimePoint now) {
  Refresh(now);
  Ring ring(members.begin(), members.end());
  ring.insert(self_);
  if (leaving_) ring.erase(self_);
  if (ring == ring_) return;
  const bool may_hand_over = ProofCoversAllKeys(now);
  for (const HostIncarnation& member : ring) {
    const bool joined = ring_.count(member) == 0;
    if (joined && may_hand_over && !leaving_) pending_handovers_.insert(member);
  }
  AdoptRing(std::move(ring), now);
  if (!leaving_ && !ProofCoversAllKeys(now)) pending_handovers_.clear();
}

void KeyRing::State::AdoptRing(Ring ring, TimePoint now) {
  ring_ = std::move(ring);
  support_hash_ = RingHash(ring_, kSupportSeed);
  observe_hash_ = RingHash(ring_, kObserveSeed);
  ring_changed_at_ = now;
  majority_since_.reset();
  electorate_.SetRing({ring_.begin(), ring_.end()}, now);
  if (proof_) proof_->possible_owners.insert(ring_.begin(), ring_.end());
  for (auto it = pending_handovers_.begin(); it != pending_handovers_.end();) {
    it = ring_.count(*it) > 0 ? std::next(it) : pending_handovers_.erase(it);
  }
}

void KeyRing::State::OnHostList(const std::vector<HostIncarnation>& listed,
                                TimePoint requested_at) {
  pending_list_ = HostListReading{listed, requested_at};
}

bool KeyRing::State::WithholdsSupport(TimePoint now) const {
  return leaving_ || now < ring_changed_at_ + options_.support_lifetime;
}

std::uint64_t KeyRing::State::SupportedRing(TimePoint now) {
  Refresh(now);
  if (WithholdsSupport(now) || !electorate_.has_list()) return 0;
  return vote_since_ ? support_hash_ : observe_hash_;
}

void KeyRing::State::OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                               TimePoint requested_at) {
  peer_support_.RecordReport(peer, ring, requested_at);
}

void KeyRing::State::Refresh(TimePoint now) {
  peer_support_.KeepOnly(
      [this](const HostIncarnation& peer) { return ring_.count(peer) > 0; });
  peer_support_.ApplyReports(now);
  UpdateElectorate(now);
  GainVote(now);
  majority_since_ = MajoritySince(now);
  if (majority_since_) ConfirmProof(now);
}

void KeyRing::State::UpdateElectorate(TimePoint now) {
  const std::size_t size_before = electorate_.last_seen().size();
  const std::optional<TimePoint> since_before = MajoritySince(now);
  electorate_.RemoveDeparted(now);
  if (pending_list_) {
    const TimePoint requested = pending_list_->requested_at;
    electorate_.ApplyHostList(pending_list_->listed, requested);
    if (requested - started_at_ >= options_.max_list_lag) has_full_list_ = true;
    pending_list_.reset();
  }
  // A majority of a smaller electorate counts from now only: before, a majority
  // needed more names.
  if (electorate_.last_seen().size() >= size_before) return;
  electorate_since_ = std::max(electorate_since_, since_before.value_or(now));
}

void KeyRing::State::GainVote(TimePoint now) {
  if (vote_since_ || WithholdsSupport(now) || !has_full_list_) return;
  for (const auto& [host, last_seen_at] : electorate_.last_seen()) {
    const HostIncarnation* member = MemberNamed(host);
    if (member == nullptr) return;
    if (*member != self_ && !ReportsSameRing(*member, now)) return;
  }
  vote_since_ = now;
}

bool KeyRing::State::ReportsSameRing(const HostIncarnation& peer,
                                     TimePoint now) const {
  return peer_support_.Supports(peer, support_hash_, now) ||
         peer_support_.Supports(peer, observe_hash_, now);
}

const HostIncarnation* KeyRing::State::MemberNamed(const HostName& host) const {
  const auto first = ring_.lower_bound(HostIncarnation{host, 0});
  if (first == ring_.end() || first->host != host) return nullptr;
  const auto second = std::next(first);
  const bool ambiguous = second != ring_.end() && second->host == host;
  return ambiguous ? nullptr : &*first;
}

std::optional<TimePoint> KeyRing::State::VoteSince(
    const HostIncarnation& member, TimePoint now) const {
  if (member != self_) {
    return peer_support_.SupportedSince(member, support_hash_, now);
  }
  if (!vote_since_ || WithholdsSupport(now)) return std::nullopt;
  return std::max(*vote_since_, ring_changed_at_ + options_.support_lifetime);
}

std::optional<TimePoint> KeyRing::State::MajoritySince(TimePoint now) const {
  if (!has_full_list_) return std::nullopt;
  std::vector<TimePoint> votes;
  for (const auto& [host, last_seen_at] : electorate_.last_seen()) {
    const HostIncarnation* member = MemberNamed(host);
    if (member == nullptr) continue;
    if (const auto since = VoteSince(*member, now)) votes.push_back(*since);
  }
  const std::size_t majority = electorate_.last_seen().size() / 2 + 1;
  if (votes.size() < majority) return std::nullopt;
  std::sort(votes.begin(), votes.end());
  return std::max(electorate_since_, votes[majority - 1]);
}

void KeyRing::State::ConfirmProof(TimePoint now) {
  if (proof_ && !ProofIsFresh(now)) proof_.reset();
  if (proof_) proof_->confirmed_at = now;
  if (now - *majority_since_ < options_.grace_period) return;
  proof_ = Proof{now, ring_, ring_, {}, false, {}};
}

bool KeyRing::State::ProofIsFresh(TimePoint now) const {
  // A host that gains the keys by keeping its ring needs a complete grace
  // period in which no other ring has a majority, which cannot fit into this
  // gap.
  const Duration longest_gap =
      options_.grace_period - 2 * options_.support_lifetime;
  return proof_ && now - proof_->confirmed_at < longest_gap;
}

bool KeyRing::State::ProofCoversAllKeys(TimePoint now) const {
  if (!ProofIsFresh(now)) return false;
  for (const HostIncarnation& host : proof_->possible_owners) {
    const bool accounted_for =
        ring_.count(host) > 0 || proof_->departed.count(host) > 0;
    if (!accounted_for && host != self_) return false;
  }
  if (!proof_->by_handover) return true;
  return proof_->former_owners.size() + 1 == proof_->ring.size();
}

bool KeyRing::State::ProofCoversKey(std::uint64_t key_hash) const {
  const OwnerScore own = ScoreOf(key_hash, self_);
  for (const HostIncarnation& host : proof_->possible_owners) {
    const bool accounted_for =
        ring_.count(host) > 0 || proof_->departed.count(host) > 0;
    if (!accounted_for && own < ScoreOf(key_hash, host)) return false;
  }
  if (!proof_->by_handover) return true;
  Ring others = proof_->ring;
  others.erase(self_);
  return proof_->former_owners.count(OwnerIn(others, key_hash)) > 0;
}

bool KeyRing::State::OnHandover(const HostIncarnation& former_owner,
                                TimePoint now) {
  Refresh(now);
  if (ring_.count(former_owner) > 0) {
    return AcceptFromMember(former_owner, now);
  }
  if (proof_) proof_->departed.insert(former_owner);
  electorate_.MarkDeparted(former_owner.host, now);
  return true;
}

bool KeyRing::State::AcceptFromMember(const HostIncarnation& former_owner,
                                      TimePoint now) {
  // The peer reported this ring on the same link before it sent its records, so
  // the message is recent and both hosts agree on which keys changed owner.
  if (!ReportsSameRing(former_owner, now)) return false;
  if (ProofIsFresh(now) && !proof_->by_handover) return true;
  if (!ProofIsFresh(now) || proof_->ring != ring_) {
    proof_ = Proof{now, ring_, ring_, {}, true, {}};
  }
  proof_->former_owners.insert(former_owner);
  return true;
}

void KeyRing::State::Leave(TimePoint now) {
  if (leaving_) return;
  Refresh(now);
  const bool may_hand_over = ProofCoversAllKeys(now);
  leaving_ = true;
  Ring others = ring_;
  others.erase(self_);
  if (may_hand_over) pending_handovers_ = others;
  AdoptRing(std::move(others), now);
}

std::vector<HostIncarnation> KeyRing::State::PendingHandovers() const {
  return {pending_handovers_.begin(), pending_handovers_.end()};
}

void KeyRing::State::OnHandoverAcked(const HostIncarnation& peer) {
  pending_handovers_.erase(peer);
}

HostIncarnation KeyRing::State::OwnerIn(const Ring& ring,
                                        std::uint64_t key_hash) const {
  const auto lower_score = [key_hash](const auto& a, const auto& b) {
    return ScoreOf(key_hash, a) < ScoreOf(key_hash, b);
  };
  const auto owner = std::max_element(ring.begin(), ring.end(), lower_score);
  return owner == ring.end() ? self_ : *owner;
}

KeyOwnership KeyRing::State::CheckOwnership(const CallerKey& key,
                                            TimePoint now) {
  Refresh(now);
  const std::uint64_t key_hash = KeyHash(key);
  const HostIncarnation owner = OwnerIn(ring_, key_hash);
  if (owner != self_) return ForwardTo{owner};
  if (leaving_) return NotProven{options_.grace_period};
  const bool proven = ProofIsFresh(now) && ProofCoversKey(key_hash);
  if (proven && majority_since_) return RunHere{};
  // A majority supports the ring again after the support lifetime for which
  // every host supports no ring when its ring has changed.
  if (proven) return NotProven{options_.support_lifetime};
  return NotProven{options_.grace_period -
                   (now - majority_since_.value_or(now))};
}

bool KeyRing::State::HasMajority(TimePoint now) {
  Refresh(now);
  return majority_since_.has_value();
}

KeyRing::KeyRing(HostIncarnation self, KeyRingOptions options, TimePoint now)
    : state_(std::make_unique<State>(std::move(self), options, now)) {}
KeyRing::~KeyRing() = default;
KeyRing::KeyRing(KeyRing&&) noexcept = default;
KeyRing& KeyRing::operator=(KeyRing&&) noexcept = default;

void KeyRing::SetMembers(const std::vector<HostIncarnation>& members,
                         TimePoint now) {
  state_->SetMembers(members, now);
}

void KeyRing::OnHostList(const std::vector<HostIncarnation>& listed,
                         TimePoint requested_at) {
  state_->OnHostList(listed, requested_at);
}

std::uint64_t KeyRing::SupportedRing(TimePoint now) const {
  return state_->SupportedRing(now);
}

void KeyRing::OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                        TimePoint requested_at) {
  state_->OnSupport(peer, ring, requested_at);
}

bool KeyRing::OnHandover(const HostIncarnation& former_owner, TimePoint now) {
  return state_->OnHandover(former_owner, now);
}

void KeyRing::Leave(TimePoint now) { state_->Leave(now); }

std::vector<HostIncarnation> KeyRing::PendingHandovers() const {
  return state_->PendingHandovers();
}

void KeyRing::OnHandoverAcked(const HostIncarnation& peer) {
  state_->OnHandoverAcked(peer);
}

KeyOwnership KeyRing::CheckOwnership(const CallerKey& key, TimePoint now) {
  return state_->CheckOwnership(key, now);
}

bool KeyRing::HasMajority(TimePoint now) const {
  return state_->HasMajority(now);
}

}  // namespace heatherlatch
