#include "heatherlatch/steering/probe_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(1000)};
constexpr double kPerServerSecond = 40;
constexpr std::size_t kServers = 100;

// Sum of the rates of hosts that hold one request each on average.
double SumOfRates(int hosts) {
  const double mean = static_cast<double>(hosts) / kServers;
  double sum = 0;
  for (int i = 0; i < hosts; ++i) {
    ProbeBudget budget(kPerServerSecond, kStart);
    budget.SetServers(kServers, mean);
    budget.OnSent(kStart);
    budget.Take(0, false, kStart + std::chrono::seconds(20));
    sum += budget.RatePerSecond();
  }
  return sum;
}

TEST_CASE("the shares of all hosts add up to the bound, however many hosts") {
  for (const int hosts : {30, 300, 1000}) {
    const double sum = SumOfRates(hosts);
    CHECK(sum >= 0.9 * kPerServerSecond * kServers);
    // Each may send a few probes a second in any case.
    CHECK(sum <= kPerServerSecond * kServers + 3 * hosts);
  }
}

TEST_CASE("a host alone may use the whole bound and no more") {
  ProbeBudget budget(kPerServerSecond, kStart);
  budget.SetServers(10, 0.0);
  for (int i = 0; i < 1000; ++i) budget.OnSent(kStart);
  budget.Take(0, false, kStart + std::chrono::seconds(20));
  CHECK(budget.RatePerSecond() == Approx(10 * kPerServerSecond));
}

TEST_CASE("what is taken over a long time follows the rate") {
  ProbeBudget budget(kPerServerSecond, kStart);
  budget.SetServers(kServers, 1.0);
  budget.OnSent(kStart);
  double taken = 0;
  for (int ms = 0; ms < 60'000; ms += 5) {
    taken +=
        static_cast<double>(budget.Take(6, true, kStart + milliseconds(ms)));
  }
  // 40 a second, and what the budget held at first.
  CHECK(taken >= 60 * kPerServerSecond * 0.95);
  CHECK(taken <= 60 * kPerServerSecond + 60);
}

TEST_CASE("the fewer probes are left the fewer a request gets") {
  ProbeBudget budget(kPerServerSecond, kStart);
  budget.SetServers(kServers, 1.0);
  std::vector<std::size_t> taken;
  for (int i = 0; i < 100; ++i) taken.push_back(budget.Take(6, false, kStart));
  CHECK(taken.front() == 6);
  CHECK(std::is_sorted(taken.rbegin(), taken.rend()));
  CHECK(taken.back() == 0);
}

TEST_CASE("a host without requests may still probe now and then") {
  ProbeBudget budget(kPerServerSecond, kStart);
  budget.SetServers(kServers, 3.0);
  while (budget.Take(6, true, kStart) > 0) {
  }
  CHECK(budget.Take(6, true, kStart + std::chrono::seconds(2)) > 0);
}

}  // namespace
}  // namespace heatherlatch
