// Limits and counts the bytes that calls transfer between regions.
//
// This host has a budget for each other region: the published rate of a pair of
// regions divided by the number of live hosts of the own region. While a budget
// is exhausted, no call that may be served elsewhere is sent to that region.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_ENTRY_CROSS_REGION_BUDGETS_H_
#define HEATHERLATCH_ENTRY_CROSS_REGION_BUDGETS_H_

#include <map>
#include <mutex>

#include "heatherlatch/admission/token_bucket.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/telemetry/metrics.h"

namespace heatherlatch {

class CrossRegionBudgets {
 public:
  // @param own_region  the region of this host
  // @param metrics     must outlive the budgets
  CrossRegionBudgets(RegionName own_region, Metrics* metrics);

  // Sets this host's budget for each other region.
  // @param bytes_per_second  the rate of each budget
  void SetBudget(double bytes_per_second);

  // Records the bytes of a call to a server in `region`; calls within the own
  // region are not counted.
  void RecordBytes(const RegionName& region, std::uint64_t bytes);

  // @return whether the budget allows a call to `region` now; always true for
  //         the own region
  bool Allows(const RegionName& region);

 private:
  TokenBucket* BudgetFor(const RegionName& region);

  const RegionName own_region_;
  Metrics* const metrics_;
  std::mutex mutex_;
  double bytes_per_second_;
  std::map<RegionName, TokenBucket> budgets_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_CROSS_REGION_BUDGETS_H_
