// Counts the bytes that calls move between regions.
//
// Each pair of regions has a budget for this host: the published rate divided
// by the live hosts of the own region. While a budget is used up, no call that
// may be served elsewhere is sent over that pair.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_ENTRY_TRAFFIC_ACCOUNTS_H_
#define HEATHERLATCH_ENTRY_TRAFFIC_ACCOUNTS_H_

#include <map>
#include <mutex>

#include "heatherlatch/admission/token_budget.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/telemetry/metrics.h"

namespace heatherlatch {

class TrafficAccounts {
 public:
  // @param own_region      the region of this host
  // @param metrics  outlives the accounts
  TrafficAccounts(RegionName own_region, Metrics* metrics);

  // Sets this host's budget for each pair, in bytes a second.
  void SetBudget(double bytes_per_second);

  // Records bytes of a call to a server in `region`.
  void RecordBytes(const RegionName& region, std::uint64_t bytes);

  // @return whether a call to `region` may be sent now
  bool Allows(const RegionName& region);

 private:
  TokenBudget* BudgetFor(const RegionName& region);

  const RegionName own_region_;
  Metrics* const metrics_;
  std::mutex mutex_;
  double bytes_per_second_;
  std::map<RegionName, TokenBudget> budgets_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_TRAFFIC_ACCOUNTS_H_
