// Simulates servers that shed a part of their requests though they have free
// slots, in virtual time.
//
// Guards against callers that miss their latency target because the retry wait
// of a refused request suits full servers.
#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <random>

#include "heatherlatch/admission/token_bucket.h"
#include "heatherlatch/steering/placement_decision.h"
#include "heatherlatch/testing/event_loop.h"
#include "heatherlatch/testing/random_load.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 20261204;

// Read requests of the users' co-operative while every server sheds a part of
// them, as in the disruption "srv_grey" of its site file.
constexpr int kRequests = 4000;
constexpr double kRequestsPerSecond = 100;
constexpr double kRefusedShare = 0.42;
constexpr double kMeanServiceMs = 120;
constexpr double kServiceTimeSpread = 0.3;
constexpr milliseconds kLatencyTarget{300};
constexpr int kMaxAttempts = 2;
constexpr int kCallerRetries = 2;
constexpr double kRetryShare = 0.16;

struct Outcomes {
  int in_target = 0;
  int served = 0;
  double ShareInTarget() const {
    return in_target / static_cast<double>(kRequests);
  }
  double ShareServed() const { return served / static_cast<double>(kRequests); }
};

class SheddingService {
 public:
  explicit SheddingService(Duration retry_after) : retry_after_(retry_after) {}

  Outcomes Simulate() {
    TimePoint at = loop_.Now();
    for (int i = 0; i < kRequests; ++i) {
      loop_.At(at, [this] { Arrive(loop_.Now(), 0); });
      at += DrawInterarrivalTime(kRequestsPerSecond, &rng_);
    }
    loop_.RunUntil(at + milliseconds(60'000));
    return outcomes_;
  }

 private:
  // A request of a caller, or one of its retries, arrives at the host.
  void Arrive(TimePoint first, int tries) {
    retry_budget_.OnSuccess();
    for (int sends = 1;; ++sends) {
      if (!std::bernoulli_distribution(kRefusedShare)(rng_)) {
        Run(first);
        return;
      }
      if (sends >= kMaxAttempts || !retry_budget_.TryRetry()) break;
    }
    if (tries == kCallerRetries) return;
    // One round trip for the response, and one for a new connection.
    loop_.After(retry_after_ + 2 * kCallerRoundTrip,
                [this, first, tries] { Arrive(first, tries + 1); });
  }

  void Run(TimePoint first) {
    const Duration total =
        loop_.Now() - first + kCallerRoundTrip + kRoundTripInRegion +
        DrawServiceTime(kMeanServiceMs, kServiceTimeSpread, &rng_);
    ++outcomes_.served;
    if (total <= kLatencyTarget) ++outcomes_.in_target;
  }

  const Duration retry_after_;
  std::mt19937_64 rng_{kSeed};
  EventLoop loop_;
  RetryBudget retry_budget_{kRetryShare, 1};
  Outcomes outcomes_;
};

Outcomes Simulate(const char* name, Duration retry_after) {
  const Outcomes outcomes = SheddingService(retry_after).Simulate();
  std::cout << name << ": in target " << outcomes.ShareInTarget() << ", served "
            << outcomes.ShareServed() << "\n";
  return outcomes;
}

// The bound excludes requests that are refused each time, and one request in
// twenty, as on a calm day.
TEST_CASE(
    "callers refused by servers with free slots retry within their target") {
  std::cout << "seed " << kSeed << "\n";
  const Outcomes at_once = Simulate("retry at once", RetryAfterShed(true));
  const Outcomes later = Simulate("retry later", kRetryAfter);
  const double refused_each_time = std::pow(kRefusedShare, kCallerRetries + 1);
  CHECK(at_once.ShareInTarget() >= 1 - refused_each_time - 0.05);
  CHECK(at_once.ShareInTarget() > later.ShareInTarget());
  CHECK(at_once.ShareServed() >= 1 - refused_each_time);
}

TEST_CASE("callers refused by full servers retry after the usual wait") {
  CHECK(RetryAfterShed(false) == kRetryAfter);
}

}  // namespace
}  // namespace heatherlatch
