#include "heatherlatch/fleet_budget/fleet_budget.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BudgetKey kKey{BudgetKind::kAllotment, "member-shops"};
const TimePoint kStart = TimePoint(seconds(100));

TEST_CASE("an issuer that just started has nothing to grant") {
  BudgetIssuer issuer(kStart);
  const BudgetTerms part{10, 20, seconds(1)};
  CHECK(issuer.Issue(kKey, part, 5, kStart) == 0);
  CHECK(issuer.UntilNext(kKey, part, kStart) == milliseconds(100));
  CHECK(issuer.Issue(kKey, part, 5, kStart + milliseconds(350)) == 3);
}

TEST_CASE("a bucket that was not asked for fills up to its burst") {
  BudgetIssuer issuer(kStart);
  CHECK(issuer.Issue(kKey, {10, 20, seconds(1)}, 100, kStart + seconds(60)) ==
        20);
}

TEST_CASE("a token can be used once, and only in its lifetime") {
  BudgetHolder holder;
  holder.Receive(kKey, 2, kStart, seconds(1));
  CHECK(holder.Available(kKey, kStart) == 2);
  CHECK(holder.TryTake(kKey, kStart + milliseconds(999)));
  CHECK_FALSE(holder.TryTake(kKey, kStart + seconds(1)));
  CHECK(holder.RemoveExpired(kStart + seconds(1)) ==
        std::map<BudgetKind, std::size_t>{{BudgetKind::kAllotment, 1}});
  CHECK_FALSE(holder.TryTake(kKey, kStart));
}

TEST_CASE("the sum over issuers and hosts stays within the bound") {
  rc::prop("over any window, delays, losses and restarts of issuers", [] {
    constexpr std::size_t kIssuers = 3;
    constexpr int kSteps = 400;
    const double rate = *rc::gen::inRange(1, 100);
    const double burst = *rc::gen::inRange(0, 100);
    const double window_s = 5;
    const double allowance = 0.25 * (rate * window_s + burst) + 20;
    BudgetTerms terms{rate, burst, {}};
    terms.token_lifetime = LongestTokenLifetime(rate, allowance);
    // Each issuer holds one token at least, and rounds in favour of callers.
    const double granted_beyond = kIssuers;
    std::vector<BudgetIssuer> issuers(kIssuers, BudgetIssuer(kStart));
    std::vector<BudgetHolder> hosts(
        static_cast<std::size_t>(*rc::gen::inRange(1, 40)));
    std::vector<TimePoint> used;
    TimePoint now = kStart;
    for (int step = 0; step < kSteps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 60));
      BudgetHolder& host =
          hosts[*rc::gen::inRange<std::size_t>(0, hosts.size())];
      const auto chosen = *rc::gen::inRange<std::size_t>(0, kIssuers);
      if (*rc::gen::inRange(0, 100) == 0) issuers[chosen] = BudgetIssuer(now);
      const int granted = issuers[chosen].Issue(kKey, PartOf(terms, kIssuers),
                                                *rc::gen::inRange(0, 30), now);
      if (*rc::gen::inRange(0, 10) > 0) {  // Otherwise the answer is lost.
        const auto delay = milliseconds(*rc::gen::inRange(0, 500));
        host.Receive(kKey, granted, now - delay, terms.token_lifetime);
      }
      for (int i = *rc::gen::inRange(0, 10); i > 0; --i) {
        if (host.TryTake(kKey, now)) used.push_back(now);
      }
    }
    std::size_t first = 0;
    for (std::size_t last = 0; last < used.size(); ++last) {
      while (used[last] - used[first] > seconds(5)) ++first;
      RC_ASSERT(static_cast<double>(last - first + 1) <=
                rate * window_s + burst + allowance + granted_beyond);
    }
  });
}

}  // namespace
}  // namespace heatherlatch
