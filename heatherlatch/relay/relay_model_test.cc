// A model of hosts that follow the store directly or over one another, in
// virtual time, while the store refuses some of them. Guards against hosts that
// miss the bound on following a change because they query refused or stale
// sources.
#include <catch2/catch.hpp>
#include <iostream>
#include <random>

#include "heatherlatch/relay/peer_messages.h"
#include "heatherlatch/relay/source_choice.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kFirstSeed = 20261204;
constexpr int kSeeds = 200;
constexpr int kHosts = 16;
constexpr int kReaders = 3;
constexpr TimePoint kStart{};
constexpr milliseconds kStep{10};

// How long the store, or a followed peer, holds a request while nothing has
// changed.
constexpr milliseconds kStoreLongPoll{1000};
constexpr milliseconds kPeerLongPoll{600};

// Delay after a change from the store, so that the next request fetches several
// changes together.
constexpr milliseconds kBatchInterval{400};

// The bound promised to users within which each host follows a change.
constexpr milliseconds kPropagationBound{2500};
constexpr seconds kRefusalPeriod{9};

struct Host {
  explicit Host(SourceChoice sources) : choice(std::move(sources)) {}

  SourceChoice choice;
  int revision = 0;
  TimePoint confirmed_at;
  int hops = 0;
  bool stale = false;
  int failures = 0;
  // The source of the request in progress; none until `next_at`.
  std::optional<FeedSource> pending_source;
  TimePoint requested_at;
  TimePoint next_at;
  // The peer that responded last; it holds the next request until a change.
  std::optional<Endpoint> followed_peer;
};

Endpoint EndpointOf(int host) { return {"10.0.0." + std::to_string(host), 1}; }

class Deployment {
 public:
  explicit Deployment(std::uint64_t seed) : rng_(seed) {
    std::vector<Endpoint> readers;
    for (int i = 0; i < kReaders; ++i) readers.push_back(EndpointOf(i));
    for (int i = 0; i < kHosts; ++i) {
      hosts_.emplace_back(
          SourceChoice(EndpointOf(i), readers, DeploymentStart::kFirst));
    }
  }

  // @return the greatest age of a host's confirmation by the store while no
  // host
  //     is refused and the store changes now and then
  Duration GreatestConfirmationAge() {
    Run(seconds(4));
    Duration greatest{};
    const TimePoint until = now_ + kRefusalPeriod;
    while (now_ < until) {
      ++store_revision_;
      const int steps = std::uniform_int_distribution<int>(1, 150)(rng_);
      for (int step = 0; step < steps; ++step) {
        Run(kStep);
        for (const Host& host : hosts_) {
          greatest = std::max(greatest, now_ - host.confirmed_at);
        }
      }
    }
    return greatest;
  }

  // @return how long a change took to reach the slowest host, over several
  //     changes while the store refuses each host with this probability
  Duration SlowestPropagation(double refusal_probability) {
    Run(seconds(4));
    Duration slowest{};
    std::bernoulli_distribution chance(refusal_probability);
    refused_by_store_.assign(kHosts, false);
    // The last host always reaches the store.
    for (int i = 0; i + 1 < kHosts; ++i) refused_by_store_[i] = chance(rng_);
    const TimePoint until = now_ + kRefusalPeriod;
    while (now_ < until) {
      ++store_revision_;
      const TimePoint changed_at = now_;
      while (!AllHaveRevision(store_revision_) &&
             now_ < changed_at + 4 * kPropagationBound) {
        Run(kStep);
      }
      slowest = std::max(slowest, now_ - changed_at);
      Run(milliseconds(std::uniform_int_distribution<int>(0, 900)(rng_)));
    }
    return slowest;
  }

 private:
  bool AllHaveRevision(int revision) const {
    for (const Host& host : hosts_) {
      if (host.revision < revision) return false;
    }
    return true;
  }

  void Run(Duration duration) {
    const TimePoint until = now_ + duration;
    while (now_ < until) {
      now_ += kStep;
      for (int i = 0; i < kHosts; ++i) Advance(i);
    }
  }

  void Advance(int index) {
    Host& host = hosts_[index];
    if (!host.pending_source) {
      if (now_ < host.next_at) return;
      const FeedStep step = host.choice.Next(now_);
      if (step.delay > Duration::zero()) {
        host.next_at = now_ + step.delay;
        return;
      }
      host.pending_source = step.source;
      host.requested_at = now_;
      return;
    }
    if (const auto* peer = std::get_if<PeerSource>(&*host.pending_source)) {
      AdvancePeerRequest(index, peer->endpoint);
    } else {
      AdvanceStoreRequest(index);
    }
  }

  void AdvanceStoreRequest(int index) {
    Host& host = hosts_[index];
    host.followed_peer.reset();
    if (refused_by_store_[index]) {
      Fail(&host);
      return;
    }
    const bool has_changes = store_revision_ > host.revision;
    if (!has_changes && now_ < host.requested_at + kStoreLongPoll) return;
    host.revision = store_revision_;
    host.hops = 0;
    Succeed(&host, now_, has_changes ? kBatchInterval : milliseconds(0));
  }

  void AdvancePeerRequest(int index, const Endpoint& endpoint) {
    Host& host = hosts_[index];
    Host& peer = hosts_[std::stoi(endpoint.address.substr(7))];
    peer.choice.OnRequestFrom(EndpointOf(index), host.requested_at);
    const milliseconds wait =
        host.followed_peer == endpoint ? kPeerLongPoll : milliseconds(0);
    const bool has_changes = peer.revision > host.revision;
    if (!has_changes && !peer.stale && now_ < host.requested_at + wait) return;
    FeedResponse response;
    response.age =
        peer.stale
            ? std::chrono::duration_cast<milliseconds>(std::chrono::hours(1))
            : std::chrono::duration_cast<milliseconds>(now_ -
                                                       peer.confirmed_at);
    response.hops = peer.hops;
    host.revision = std::max(host.revision, peer.revision);
    if (!IsUpToDate(response)) {
      host.followed_peer.reset();
      host.choice.OnStale(*host.pending_source, now_);
      EndFailedRequest(&host);
      return;
    }
    host.followed_peer = endpoint;
    host.hops = response.hops + 1;
    Succeed(&host, now_ - response.age, milliseconds(0));
  }

  void Succeed(Host* host, TimePoint confirmed_at, Duration pause) {
    host->choice.OnResponse(*host->pending_source, now_ - host->requested_at,
                            now_);
    host->confirmed_at = std::max(host->confirmed_at, confirmed_at);
    host->failures = 0;
    host->stale = false;
    host->pending_source.reset();
    host->next_at = now_ + pause;
  }

  void Fail(Host* host) {
    host->choice.OnFailure(*host->pending_source, now_);
    EndFailedRequest(host);
  }

  void EndFailedRequest(Host* h) {
    if (++h->failures > 1 && h->choice.IsRefusedByStore()) h->stale = true;
    h->pending_source.reset();
    h->next_at = now_;
  }

  std::mt19937_64 rng_;
  std::vector<Host> hosts_;
  std::vector<bool> refused_by_store_ = std::vector<bool>(kHosts, false);
  int store_revision_ = 0;
  TimePoint now_ = kStart;
};

TEST_CASE("a host that reaches an up-to-date source follows within the bound",
          "[promise-10]") {
  std::cout << "seeds from " << kFirstSeed << "\n";
  for (const double chance : {0.0, 0.35, 0.6}) {
    Duration slowest{};
    std::uint64_t slowest_seed = 0;
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
      const Duration propagation_delay =
          Deployment(seed).SlowestPropagation(chance);
      if (propagation_delay > slowest) slowest_seed = seed;
      slowest = std::max(slowest, propagation_delay);
    }
    std::cout << "refused with probability " << chance << ": slowest "
              << ToMilliseconds(slowest) << " ms, seed " << slowest_seed
              << "\n";
    CHECK(slowest <= kPropagationBound);
  }
}

TEST_CASE("a host that follows a reader is never without a confirmation",
          "[promise-10]") {
  Duration greatest{};
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    greatest = std::max(greatest, Deployment(seed).GreatestConfirmationAge());
  }
  std::cout << "greatest age of a confirmation: " << ToMilliseconds(greatest)
            << " ms\n";
  CHECK(greatest <= kMaxConfirmationAge);
}

}  // namespace
}  // namespace heatherlatch
