#include "heatherlatch/relay/source_choice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heatherlatch {
namespace {

constexpr int kMaxDoublings = 5;
// The same while the store responds, but has to confirm what it states: its
// responses of three seconds do.
constexpr int kMaxDoublingsUnconfirmed = 2;

// A single slow response does not make a source farther away than others: a
// longer round trip counts by this part.
constexpr double kWeightOfLongerRoundTrip = 0.125;

// How long a source that failed is ranked behind the others: as long as a
// requester counts as a source.
constexpr Duration kRecentFailurePeriod = kRequesterLifetime;

Duration StoreRetryDelay(int failures) {
  const int doublings = std::min(failures - 1, kMaxDoublings);
  return std::min(kMaxStoreRetryDelay, kMinStoreRetryDelay * (1 << doublings));
}

Duration Smooth(Duration known, Duration measured) {
  measured = std::max(measured, Duration(1));
  if (known == Duration::zero() || measured < known) return measured;
  return known + Scale(measured - known, kWeightOfLongerRoundTrip);
}

}  // namespace

std::string ToString(const FeedSource& source) {
  const auto* peer = std::get_if<PeerSource>(&source);
  return peer == nullptr ? "store" : ToString(peer->endpoint);
}

SourceChoice::SourceChoice(Endpoint self, const std::vector<Endpoint>& readers,
                           DeploymentStart start)
    : self_(std::move(self)),
      queries_store_first_(start == DeploymentStart::kRestart) {
  SetReaders(readers);
}

void SourceChoice::SetReaders(const std::vector<Endpoint>& readers) {
  is_reader_ =
      std::find(readers.begin(), readers.end(), self_) != readers.end();
  for (auto& [endpoint, peer] : peers_) peer.is_reader = false;
  for (const Endpoint& reader : readers) {
    if (reader != self_) peers_[reader].is_reader = true;
  }
}

bool SourceChoice::IsEligible(const Peer& peer, TimePoint now) {
  return !peer.backoff_until || now >= *peer.backoff_until;
}

Duration SourceChoice::TimeUntilEligible(TimePoint now) const {
  Duration delay_until_eligible =
      StoreRetryDelay(store_failures_) - (now - *store_failed_at_);
  for (const auto& [endpoint, peer] : peers_) {
    if (!IsEligible(peer, now)) {
      delay_until_eligible =
          std::min(delay_until_eligible, *peer.backoff_until - now);
    }
  }
  return delay_until_eligible;
}
std::optional<Endpoint> SourceChoice::BestPeer(bool readers_only,
                                               TimePoint now) const {
  // Peers that failed recently rank last, the one that failed longest ago
  // first, so that each is retried in turn. Of the others, the one with the
  // shortest round trip is best.
  using Rank = std::pair<TimePoint, Duration>;
  const Endpoint* best = nullptr;
  Rank best_rank;
  for (const auto& [endpoint, peer] : peers_) {
    const bool requested_recently =
        peer.last_request_at &&
        now - *peer.last_request_at < kRequesterLifetime;
    const bool is_candidate =
        peer.is_reader || (!readers_only && requested_recently);
    if (!is_candidate || !IsEligible(peer, now)) continue;
    if (readers_only && peer.failed_in_round) continue;
    const bool failed_recently =
        peer.failed_at && now - *peer.failed_at < kRecentFailurePeriod;
    const Rank rank(failed_recently ? *peer.failed_at : TimePoint::min(),
                    peer.round_trip);
    if (best != nullptr && best_rank <= rank) continue;
    best = &endpoint;
    best_rank = rank;
  }
  return best == nullptr ? std::nullopt : std::make_optional(*best);
}

std::optional<FeedStep> SourceChoice::StoreStep(TimePoint now) const {
  if (store_failures_ == 0) return FeedStep{StoreSource{}, Duration::zero()};
  const Duration since = now - *store_failed_at_;
  if (since >= StoreRetryDelay(store_failures_)) {
    return FeedStep{StoreSource{}, Duration::zero()};
  }
  return std::nullopt;
}

std::optional<FeedStep> SourceChoice::StartupStep(TimePoint now) const {
  if (is_reader_ || queries_store_first_ || has_response_) return std::nullopt;
  if (now >= *readers_only_until_) return std::nullopt;
  std::optional<FeedStep> first;
  for (const auto& [endpoint, peer] : peers_) {
    if (!peer.is_reader) continue;
    const Duration delay =
        peer.failed_at
            ? std::max(Duration::zero(),
                       *peer.failed_at + kReaderStartupRetryDelay - now)
            : Duration::zero();
    if (!first || delay < first->delay) {
      first = FeedStep{PeerSource{endpoint}, delay};
    }
  }
  return first;
}

void SourceChoice::BeginRound() {
  for (auto& [endpoint, peer] : peers_) peer.failed_in_round = false;
}

FeedStep SourceChoice::Next(TimePoint now) {
  if (!readers_only_until_) readers_only_until_ = now + kReaderStartupGrace;
  const auto first = StartupStep(now);
  if (first) return *first;
  if (!is_reader_ && !queries_store_first_) {
    const auto reader = BestPeer(true, now);
    if (reader) return {PeerSource{*reader}, Duration::zero()};
  }
  const auto store = StoreStep(now);
  if (store) {
    BeginRound();
    return *store;
  }
  const auto peer = BestPeer(false, now);
  if (peer) return {PeerSource{*peer}, Duration::zero()};
  return {StoreSource{}, TimeUntilEligible(now)};
}

void SourceChoice::OnResponse(const FeedSource& source, Duration round_trip,
                              TimePoint) {
  has_response_ = true;
  BeginRound();
  if (const auto* peer_source = std::get_if<PeerSource>(&source)) {
    Peer& peer = peers_[peer_source->endpoint];
    peer.failed_at.reset();
    peer.backoff_until.reset();
    peer.round_trip = Smooth(peer.round_trip, round_trip);
    return;
  }
  queries_store_first_ = false;
  store_failures_ = 0;
}

void SourceChoice::OnFailure(const FeedSource& source, TimePoint now) {
  if (const auto* peer_source = std::get_if<PeerSource>(&source)) {
    Peer& peer = peers_[peer_source->endpoint];
    peer.failed_at = now;
    peer.backoff_until = now + kFailureBackoff;
    peer.failed_in_round = true;
    return;
  }
  queries_store_first_ = false;
  ++store_failures_;
  store_failed_at_ = now;
}

void SourceChoice::OnUnconfirmed(TimePoint now) {
  OnFailure(StoreSource{}, now);
  store_failures_ = std::min(store_failures_, kMaxDoublingsUnconfirmed + 1);
}

void SourceChoice::OnStale(const FeedSource& source, TimePoint now) {
  OnFailure(source, now);
  if (const auto* peer_source = std::get_if<PeerSource>(&source)) {
    peers_[peer_source->endpoint].backoff_until = now + kStaleBackoff;
  }
}

void SourceChoice::OnRequestFrom(const Endpoint& peer, TimePoint now) {
  peers_[peer].last_request_at = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const Peer& entry = it->second;
    const bool expired = !entry.is_reader &&
                         (!entry.last_request_at ||
                          now - *entry.last_request_at >= kRequesterLifetime);
    it = expired ? peers_.erase(it) : std::next(it);
  }
}

}  // namespace heatherlatch
