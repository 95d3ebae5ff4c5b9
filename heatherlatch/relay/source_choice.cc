#include "heatherlatch/relay/source_choice.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heatherlatch {
namespace {

constexpr int kMaxDoublings = 5;

// How long a source that failed stays behind the others. Source: as long as one
// that asked counts as a source.
constexpr Duration kFailureRemembered = kAskerMemory;

Duration StoreRetry(int failures) {
  const int doublings = std::min(failures - 1, kMaxDoublings);
  return std::min(kLongestStoreRetry, kFirstStoreRetry * (1 << doublings));
}

}  // namespace

SourceChoice::SourceChoice(Endpoint self, const std::vector<Endpoint>& readers,
                           DeploymentStart start)
    : self_(std::move(self)),
      asks_store_first_(start == DeploymentStart::kRestart) {
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

bool SourceChoice::MayAsk(const Peer& peer, TimePoint now) {
  return !peer.passed_over_until || now >= *peer.passed_over_until;
}

Duration SourceChoice::Pause(TimePoint now) const {
  Duration pause = StoreRetry(store_failures_) - (now - *store_failed_at_);
  for (const auto& [endpoint, peer] : peers_) {
    if (!MayAsk(peer, now)) {
      pause = std::min(pause, *peer.passed_over_until - now);
    }
  }
  return pause;
}
std::optional<Endpoint> SourceChoice::BestPeer(bool readers_only,
                                               TimePoint now) const {
  // Those that failed lately come last, the longest ago first, so that each
  // gets its turn; of the others the nearest is best.
  using Rank = std::pair<TimePoint, Duration>;
  const Endpoint* best = nullptr;
  Rank best_rank;
  for (const auto& [endpoint, peer] : peers_) {
    const bool asked_lately =
        peer.asked_us_at && now - *peer.asked_us_at < kAskerMemory;
    const bool fits = peer.is_reader || (!readers_only && asked_lately);
    if (!fits || !MayAsk(peer, now)) continue;
    const bool failed_lately =
        peer.failed_at && now - *peer.failed_at < kFailureRemembered;
    const Rank rank(failed_lately ? *peer.failed_at : TimePoint::min(),
                    peer.round_trip);
    if (best != nullptr && best_rank <= rank) continue;
    best = &endpoint;
    best_rank = rank;
  }
  return best == nullptr ? std::nullopt : std::make_optional(*best);
}

std::optional<Step> SourceChoice::StoreStep(TimePoint now) const {
  if (store_failures_ == 0) return Step{StoreSource{}, Duration::zero()};
  const Duration since = now - *store_failed_at_;
  if (since >= StoreRetry(store_failures_)) {
    return Step{StoreSource{}, Duration::zero()};
  }
  return std::nullopt;
}

std::optional<Step> SourceChoice::FirstStep(TimePoint now) const {
  if (is_reader_ || asks_store_first_ || was_answered_) return std::nullopt;
  if (now >= *readers_only_until_) return std::nullopt;
  std::optional<Step> first;
  for (const auto& [endpoint, peer] : peers_) {
    if (!peer.is_reader) continue;
    const Duration delay =
        peer.failed_at ? std::max(Duration::zero(),
                                  *peer.failed_at + kFirstReaderRetry - now)
                       : Duration::zero();
    if (!first || delay < first->delay) {
      first = Step{PeerSource{endpoint}, delay};
    }
  }
  return first;
}

Step SourceChoice::Next(TimePoint now) {
  if (!readers_only_until_) readers_only_until_ = now + kReadersStart;
  const auto first = FirstStep(now);
  if (first) return *first;
  if (!is_reader_ && !asks_store_first_) {
    const auto reader = BestPeer(true, now);
    if (reader) return {PeerSource{*reader}, Duration::zero()};
  }
  const auto store = StoreStep(now);
  if (store) return *store;
  const auto peer = BestPeer(false, now);
  if (peer) return {PeerSource{*peer}, Duration::zero()};
  return {StoreSource{}, Pause(now)};
}

void SourceChoice::OnAnswer(const Source& source, Duration round_trip,
                            TimePoint) {
  was_answered_ = true;
  if (const auto* asked = std::get_if<PeerSource>(&source)) {
    Peer& peer = peers_[asked->endpoint];
    peer.failed_at.reset();
    peer.passed_over_until.reset();
    peer.round_trip = round_trip;
    return;
  }
  asks_store_first_ = false;
  store_failures_ = 0;
}

void SourceChoice::OnFailure(const Source& source, TimePoint now) {
  if (const auto* asked = std::get_if<PeerSource>(&source)) {
    Peer& peer = peers_[asked->endpoint];
    peer.failed_at = now;
    peer.passed_over_until = now + kPassedOver;
    return;
  }
  asks_store_first_ = false;
  ++store_failures_;
  store_failed_at_ = now;
}

void SourceChoice::OnOutOfTouch(const Source& source, TimePoint now) {
  OnFailure(source, now);
  if (const auto* asked = std::get_if<PeerSource>(&source)) {
    peers_[asked->endpoint].passed_over_until = now + kOutOfTouchPassedOver;
  }
}

void SourceChoice::OnAskedBy(const Endpoint& peer, TimePoint now) {
  peers_[peer].asked_us_at = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const Peer& known = it->second;
    const bool forgotten =
        !known.is_reader &&
        (!known.asked_us_at || now - *known.asked_us_at >= kAskerMemory);
    it = forgotten ? peers_.erase(it) : std::next(it);
  }
}

}  // namespace heatherlatch
