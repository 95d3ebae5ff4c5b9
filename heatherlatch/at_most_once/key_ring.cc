#include "heatherlatch/at_most_once/key_ring.h"

#include <algorithm>
#include <set>

#include "heatherlatch/at_most_once/internal/electorate.h"
#include "heatherlatch/at_most_once/internal/rendezvous.h"
#include "heatherlatch/at_most_once/internal/support_table.h"

namespace heatherlatch {
namespace {

// Seeds that tell a supported ring from one that is only observed.
constexpr std::uint64_t kSupportSeed = 1;
constexpr std::uint64_t kObserveSeed = 2;

using Ring = std::set<HostIncarnation>;

std::uint64_t RingHash(const Ring& ring, std::uint64_t seed) {
  std::string text;
  for (const HostIncarnation& member : ring) text += ToString(member) + "\n";
  const std::uint64_t hash = HashOf(text, seed);
  return hash == 0 ? 1 : hash;  // 0 stands for no ring.
}

std::uint64_t HashOfKey(const CallerKey& key) {
  return HashOf(ToString(RequestKey(key)));
}

}  // namespace

std::optional<HostIncarnation> KeyOwner(
    const CallerKey& key, const std::vector<HostIncarnation>& hosts) {
  const std::uint64_t key_hash = HashOfKey(key);
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
  void NoteListed(const std::vector<HostIncarnation>& listed,
                  TimePoint asked_at);
  std::uint64_t SupportedRing(TimePoint now);
  void OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                 TimePoint asked_at);
  bool OnHandOver(const HostIncarnation& former_owner, TimePoint now);
  void Leave(TimePoint now);
  std::vector<HostIncarnation> HandOverDue() const;
  void OnHandOverAcked(const HostIncarnation& peer);
  KeyVerdict Judge(const CallerKey& key, TimePoint now);
  bool HasMajority(TimePoint now);

 private:
  struct ListReading {
    std::vector<HostIncarnation> listed;
    TimePoint asked_at;
  };

  // The last time that this host had the right to run keys, and who could have
  // owned some of them since.
  struct Proof {
    // Last time that a majority supported the ring of this host.
    TimePoint confirmed_at;
    // The ring in which the proof was gained.
    Ring ring;
    // Members of that ring and of every later one.
    Ring seen;
    // Those that left and handed over.
    Ring left;
    // Whether this host took keys over as a joiner, instead of holding its ring
    // for the quiet period; then only keys of `predecessors` are proven.
    bool as_joiner = false;
    Ring predecessors;
  };

  void Observe(TimePoint now);
  void Adopt(Ring ring, TimePoint now);
  void GainVote(TimePoint now);
  bool Silent(TimePoint now) const;
  // @return since when a majority has supported this ring and no other, where
  //     it does so now
  std::optional<TimePoint> CommittedSince(TimePoint now) const;
  // @return since when a peer, or this host, has supported this ring
  std::optional<TimePoint> VoteSince(const HostIncarnation& member,
                                     TimePoint now) const;
  void UpdateElectorate(TimePoint now);
  // @return whether a peer reports the ring of this host, with a vote or not
  bool SeesSameRing(const HostIncarnation& peer, TimePoint now) const;
  // @return the member of the ring with this name, if exactly one has it
  const HostIncarnation* MemberNamed(const HostName& host) const;
  void ConfirmProof(TimePoint now);
  bool ProofIsFresh(TimePoint now) const;
  bool ProofCoversEverything(TimePoint now) const;
  bool ProofCovers(std::uint64_t key_hash) const;
  bool AcceptFromJoinedRing(const HostIncarnation& former_owner, TimePoint now);
  HostIncarnation OwnerIn(const Ring& ring, std::uint64_t key_hash) const;

  HostIncarnation self_;
  KeyRingOptions options_;
  Ring ring_;
  std::uint64_t support_hash_ = 0;
  std::uint64_t observe_hash_ = 0;
  TimePoint started_at_;
  TimePoint ring_changed_at_;
  // Whether a list was read that names every host older than this one.
  bool has_full_list_ = false;
  std::optional<TimePoint> vote_since_;
  bool leaving_ = false;
  Electorate electorate_;
  SupportTable supports_;
  std::optional<ListReading> unread_list_;
  // Since when a majority has supported the present ring and no other, where
  // it supports it now.
  std::optional<TimePoint> majority_since_;
  // The earliest time from which the present electorate may be counted.
  TimePoint electorate_since_;
  std::optional<Proof> proof_;
  Ring hand_over_due_;
};

KeyRing::State::State(HostIncarnation self, KeyRingOptions options,
                      TimePoint now)
    : self_(std::move(self)),
      options_(options),
      started_at_(now),
      electorate_(options.quiet_period, options.support_lifetime),
      supports_(options.support_lifetime) {
  Adopt({self_}, now);
}

void KeyRing::State::SetMembers(const std::vector<HostIncarnation>& members,
                                TimePoint now) {
  Observe(now);
  Ring ring(members.begin(), members.end());
  ring.insert(self_);
  if (leaving_) ring.erase(self_);
  if (ring == ring_) return;
  const bool may_hand_over = ProofCoversEverything(now);
  for (const HostIncarnation& member : ring) {
    const bool joined = ring_.count(member) == 0;
    if (joined && may_hand_over && !leaving_) hand_over_due_.insert(member);
  }
  Adopt(std::move(ring), now);
  if (!leaving_ && !ProofCoversEverything(now)) hand_over_due_.clear();
}

void KeyRing::State::Adopt(Ring ring, TimePoint now) {
  ring_ = std::move(ring);
  support_hash_ = RingHash(ring_, kSupportSeed);
  observe_hash_ = RingHash(ring_, kObserveSeed);
  ring_changed_at_ = now;
  majority_since_.reset();
  electorate_.NoteRing({ring_.begin(), ring_.end()}, now);
  if (proof_) proof_->seen.insert(ring_.begin(), ring_.end());
  for (auto it = hand_over_due_.begin(); it != hand_over_due_.end();) {
    it = ring_.count(*it) > 0 ? std::next(it) : hand_over_due_.erase(it);
  }
}

void KeyRing::State::NoteListed(const std::vector<HostIncarnation>& listed,
                                TimePoint asked_at) {
  unread_list_ = ListReading{listed, asked_at};
}

bool KeyRing::State::Silent(TimePoint now) const {
  return leaving_ || now < ring_changed_at_ + options_.support_lifetime;
}

std::uint64_t KeyRing::State::SupportedRing(TimePoint now) {
  Observe(now);
  if (Silent(now) || !electorate_.has_list()) return 0;
  return vote_since_ ? support_hash_ : observe_hash_;
}

void KeyRing::State::OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                               TimePoint asked_at) {
  supports_.Report(peer, ring, asked_at);
}

void KeyRing::State::Observe(TimePoint now) {
  supports_.KeepOnly(
      [this](const HostIncarnation& peer) { return ring_.count(peer) > 0; });
  supports_.Fold(now);
  UpdateElectorate(now);
  GainVote(now);
  majority_since_ = CommittedSince(now);
  if (majority_since_) ConfirmProof(now);
}

void KeyRing::State::UpdateElectorate(TimePoint now) {
  const std::size_t size_before = electorate_.last_named().size();
  const std::optional<TimePoint> since_before = CommittedSince(now);
  electorate_.Advance(now);
  if (unread_list_) {
    const TimePoint asked_at = unread_list_->asked_at;
    electorate_.NoteListed(unread_list_->listed, asked_at);
    if (asked_at - started_at_ >= options_.max_list_lag) has_full_list_ = true;
    unread_list_.reset();
  }
  // A majority of fewer names counts from now; before, it took more.
  if (electorate_.last_named().size() >= size_before) return;
  electorate_since_ = std::max(electorate_since_, since_before.value_or(now));
}

void KeyRing::State::GainVote(TimePoint now) {
  if (vote_since_ || Silent(now) || !has_full_list_) return;
  for (const auto& [host, named_at] : electorate_.last_named()) {
    const HostIncarnation* member = MemberNamed(host);
    if (member == nullptr) return;
    if (*member != self_ && !SeesSameRing(*member, now)) return;
  }
  vote_since_ = now;
}

bool KeyRing::State::SeesSameRing(const HostIncarnation& peer,
                                  TimePoint now) const {
  return supports_.Supports(peer, support_hash_, now) ||
         supports_.Supports(peer, observe_hash_, now);
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
    return supports_.SupportedSince(member, support_hash_, now);
  }
  if (!vote_since_ || Silent(now)) return std::nullopt;
  return std::max(*vote_since_, ring_changed_at_ + options_.support_lifetime);
}

std::optional<TimePoint> KeyRing::State::CommittedSince(TimePoint now) const {
  if (!has_full_list_) return std::nullopt;
  std::vector<TimePoint> votes;
  for (const auto& [host, named_at] : electorate_.last_named()) {
    const HostIncarnation* member = MemberNamed(host);
    if (member == nullptr) continue;
    if (const auto since = VoteSince(*member, now)) votes.push_back(*since);
  }
  const std::size_t majority = electorate_.last_named().size() / 2 + 1;
  if (votes.size() < majority) return std::nullopt;
  std::sort(votes.begin(), votes.end());
  return std::max(electorate_since_, votes[majority - 1]);
}

void KeyRing::State::ConfirmProof(TimePoint now) {
  if (proof_ && !ProofIsFresh(now)) proof_.reset();
  if (proof_) proof_->confirmed_at = now;
  if (now - *majority_since_ < options_.quiet_period) return;
  proof_ = Proof{now, ring_, ring_, {}, false, {}};
}

bool KeyRing::State::ProofIsFresh(TimePoint now) const {
  // A host that gains the keys by holding its ring needs a whole quiet period
  // in which nobody else has a majority, so it cannot fit into this gap.
  const Duration longest_gap =
      options_.quiet_period - 2 * options_.support_lifetime;
  return proof_ && now - proof_->confirmed_at < longest_gap;
}

bool KeyRing::State::ProofCoversEverything(TimePoint now) const {
  if (!ProofIsFresh(now)) return false;
  for (const HostIncarnation& host : proof_->seen) {
    const bool accounted =
        ring_.count(host) > 0 || proof_->left.count(host) > 0;
    if (!accounted && host != self_) return false;
  }
  if (!proof_->as_joiner) return true;
  return proof_->predecessors.size() + 1 == proof_->ring.size();
}

bool KeyRing::State::ProofCovers(std::uint64_t key_hash) const {
  const OwnerScore own = ScoreOf(key_hash, self_);
  for (const HostIncarnation& host : proof_->seen) {
    const bool accounted =
        ring_.count(host) > 0 || proof_->left.count(host) > 0;
    if (!accounted && own < ScoreOf(key_hash, host)) return false;
  }
  if (!proof_->as_joiner) return true;
  Ring others = proof_->ring;
  others.erase(self_);
  return proof_->predecessors.count(OwnerIn(others, key_hash)) > 0;
}

bool KeyRing::State::OnHandOver(const HostIncarnation& former_owner,
                                TimePoint now) {
  Observe(now);
  if (ring_.count(former_owner) > 0) {
    return AcceptFromJoinedRing(former_owner, now);
  }
  if (proof_) proof_->left.insert(former_owner);
  electorate_.NoteDeparted(former_owner.host, now);
  return true;
}

bool KeyRing::State::AcceptFromJoinedRing(const HostIncarnation& former_owner,
                                          TimePoint now) {
  // The peer reported this ring on the same link before it sent its records,
  // so the message is recent and both hosts agree on which keys moved.
  if (!SeesSameRing(former_owner, now)) return false;
  if (ProofIsFresh(now) && !proof_->as_joiner) return true;
  if (!ProofIsFresh(now) || proof_->ring != ring_) {
    proof_ = Proof{now, ring_, ring_, {}, true, {}};
  }
  proof_->predecessors.insert(former_owner);
  return true;
}

void KeyRing::State::Leave(TimePoint now) {
  if (leaving_) return;
  Observe(now);
  const bool may_hand_over = ProofCoversEverything(now);
  leaving_ = true;
  Ring others = ring_;
  others.erase(self_);
  if (may_hand_over) hand_over_due_ = others;
  Adopt(std::move(others), now);
}

std::vector<HostIncarnation> KeyRing::State::HandOverDue() const {
  return {hand_over_due_.begin(), hand_over_due_.end()};
}

void KeyRing::State::OnHandOverAcked(const HostIncarnation& peer) {
  hand_over_due_.erase(peer);
}

HostIncarnation KeyRing::State::OwnerIn(const Ring& ring,
                                        std::uint64_t key_hash) const {
  const auto lower_score = [key_hash](const auto& a, const auto& b) {
    return ScoreOf(key_hash, a) < ScoreOf(key_hash, b);
  };
  const auto owner = std::max_element(ring.begin(), ring.end(), lower_score);
  return owner == ring.end() ? self_ : *owner;
}

KeyVerdict KeyRing::State::Judge(const CallerKey& key, TimePoint now) {
  Observe(now);
  const std::uint64_t key_hash = HashOfKey(key);
  const HostIncarnation owner = OwnerIn(ring_, key_hash);
  if (owner != self_) return ForwardTo{owner};
  if (leaving_) return NotProven{options_.quiet_period};
  const bool proven = ProofIsFresh(now) && ProofCovers(key_hash);
  if (proven && majority_since_) return RunHere{};
  // A majority returns after the silence that follows a change of the ring.
  if (proven) return NotProven{options_.support_lifetime};
  return NotProven{options_.quiet_period -
                   (now - majority_since_.value_or(now))};
}

bool KeyRing::State::HasMajority(TimePoint now) {
  Observe(now);
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

void KeyRing::NoteListed(const std::vector<HostIncarnation>& listed,
                         TimePoint asked_at) {
  state_->NoteListed(listed, asked_at);
}

std::uint64_t KeyRing::SupportedRing(TimePoint now) const {
  return state_->SupportedRing(now);
}

void KeyRing::OnSupport(const HostIncarnation& peer, std::uint64_t ring,
                        TimePoint asked_at) {
  state_->OnSupport(peer, ring, asked_at);
}

bool KeyRing::OnHandOver(const HostIncarnation& former_owner, TimePoint now) {
  return state_->OnHandOver(former_owner, now);
}

void KeyRing::Leave(TimePoint now) { state_->Leave(now); }

std::vector<HostIncarnation> KeyRing::HandOverDue() const {
  return state_->HandOverDue();
}

void KeyRing::OnHandOverAcked(const HostIncarnation& peer) {
  state_->OnHandOverAcked(peer);
}

KeyVerdict KeyRing::Judge(const CallerKey& key, TimePoint now) {
  return state_->Judge(key, now);
}

bool KeyRing::HasMajority(TimePoint now) const {
  return state_->HasMajority(now);
}

}  // namespace heatherlatch
