// A budget that refills at a fixed rate, for probes, retries and bytes.
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ADMISSION_TOKEN_BUDGET_H_
#define HEATHERLATCH_ADMISSION_TOKEN_BUDGET_H_

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// Example:
//   TokenBudget bytes(50e6, 5e6, now);   // 50 MB/s, bursts of 5 MB
//   if (bytes.TrySpend(answer_size, now)) ...
class TokenBudget {
 public:
  // @param per_second  refill rate, in the unit of the budget
  // @param burst       the most that can be saved up
  TokenBudget(double per_second, double burst, TimePoint now);

  // Takes `amount` if that much is there.
  // @return whether it was taken
  bool TrySpend(double amount, TimePoint now);

  // Takes `amount` even if the budget goes below zero, for a cost that is known
  // only afterwards.
  void Spend(double amount, TimePoint now);

  // @return whether the budget is above zero
  bool HasRoom(TimePoint now);

  void SetRate(double per_second, double burst, TimePoint now);

 private:
  void Refill(TimePoint now);

  double per_second_;
  double burst_;
  double available_;
  TimePoint refilled_at_;
};

// Allows retries as a share of the requests that succeed, so that retries
// cannot multiply the load of a service that fails.
class RetryBudget {
 public:
  // @param share    retries earned by each success, such as 0.1
  // @param reserve  retries available before any success
  RetryBudget(double share, double reserve);

  void OnSuccess();
  // @return whether a retry may be sent; it is counted
  bool TryRetry();

 private:
  double share_;
  double reserve_;
  double available_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_TOKEN_BUDGET_H_
