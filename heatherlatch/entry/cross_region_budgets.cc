#include "heatherlatch/entry/cross_region_budgets.h"

#include <utility>

#include "heatherlatch/base/time.h"

namespace heatherlatch {
namespace {

// Rate of each budget before the first configuration is in force: 10 Mbit/s.
constexpr double kInitialBytesPerSecond = 1.25e6;
// Unused budget accumulates up to the bytes of this time.
constexpr double kBurstSeconds = 1.0;

}  // namespace

CrossRegionBudgets::CrossRegionBudgets(RegionName own_region, Metrics* metrics)
    : own_region_(std::move(own_region)),
      metrics_(metrics),
      bytes_per_second_(kInitialBytesPerSecond) {}

void CrossRegionBudgets::SetBudget(double bytes_per_second) {
  const TimePoint now = SteadyClock::now();
  std::lock_guard lock(mutex_);
  if (bytes_per_second == bytes_per_second_) return;
  bytes_per_second_ = bytes_per_second;
  for (auto& [region, budget] : budgets_) {
    budget.SetRate(bytes_per_second, bytes_per_second * kBurstSeconds, now);
  }
}

void CrossRegionBudgets::RecordBytes(const RegionName& region,
                                     std::uint64_t bytes) {
  if (region == own_region_) return;
  metrics_->AddCrossRegionBytes(own_region_.str(), region.str(), bytes);
  std::lock_guard lock(mutex_);
  BudgetFor(region)->Spend(static_cast<double>(bytes), SteadyClock::now());
}

bool CrossRegionBudgets::Allows(const RegionName& region) {
  if (region == own_region_) return true;
  std::lock_guard lock(mutex_);
  return BudgetFor(region)->HasTokens(SteadyClock::now());
}

TokenBucket* CrossRegionBudgets::BudgetFor(const RegionName& region) {
  const auto found = budgets_.find(region);
  if (found != budgets_.end()) return &found->second;
  const TokenBucket budget(bytes_per_second_, bytes_per_second_ * kBurstSeconds,
                           SteadyClock::now());
  return &budgets_.emplace(region, budget).first->second;
}

}  // namespace heatherlatch
