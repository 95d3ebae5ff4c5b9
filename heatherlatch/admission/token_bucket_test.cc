#include "heatherlatch/admission/token_bucket.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <tuple>
#include <vector>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

constexpr double kRounding = 1e-6;

TEST_CASE("a token bucket never exceeds its rate and burst", "[promise-01]") {
  CHECK(rc::check("spent <= rate * time + burst", [] {
    const double rate = *rc::gen::inRange(0, 1000);
    const double burst = *rc::gen::inRange(0, 500);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(-50, 2000), rc::gen::inRange(0, 300)));
    const TimePoint start{};
    TokenBucket bucket(rate, burst, start);
    TimePoint now = start;
    TimePoint latest = start;
    double spent = 0;
    for (const auto& [wait_ms, amount] : steps) {
      now += milliseconds(wait_ms);
      latest = std::max(latest, now);
      if (bucket.TrySpend(amount, now)) spent += amount;
      const std::chrono::duration<double> elapsed = latest - start;
      RC_ASSERT(spent <= rate * elapsed.count() + burst + kRounding);
    }
  }));
}

TEST_CASE("a negative balance refills to zero before the next spend",
          "[promise-01]") {
  const TimePoint start{};
  TokenBucket bucket(10, 5, start);
  bucket.Spend(25, start);
  CHECK_FALSE(bucket.HasTokens(start + milliseconds(2000)));
  CHECK(bucket.HasTokens(start + milliseconds(2001)));
  CHECK_FALSE(bucket.TrySpend(5, start + milliseconds(2499)));
  CHECK(bucket.TrySpend(5, start + milliseconds(2500)));
}

TEST_CASE("setting a lower burst drops the excess that was available") {
  const TimePoint start{};
  TokenBucket bucket(100, 100, start);
  bucket.SetRate(1, 2, start);
  CHECK_FALSE(bucket.TrySpend(3, start));
  CHECK(bucket.TrySpend(2, start));
}

TEST_CASE("retries stay within the reserve and their share of successes",
          "[promise-01]") {
  CHECK(rc::check("retries <= reserve + share * successes", [] {
    const double share = *rc::gen::inRange(0, 100) / 100.0;
    const double reserve = *rc::gen::inRange(0, 20);
    RetryBudget budget(share, reserve);
    double successes = 0;
    double retries = 0;
    for (const bool success : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (success) {
        budget.OnSuccess();
        ++successes;
      } else if (budget.TryRetry()) {
        ++retries;
      }
      RC_ASSERT(retries <= reserve + share * successes + kRounding);
    }
  }));
}

}  // namespace
}  // namespace heatherlatch
