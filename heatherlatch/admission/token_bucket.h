// Token buckets that limit the rate of probes, retries and bytes.
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ADMISSION_TOKEN_BUCKET_H_
#define HEATHERLATCH_ADMISSION_TOKEN_BUCKET_H_

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// A token bucket: an amount that refills at a fixed rate, up to a capacity.
//
// Example:
//   TokenBucket bytes(50e6, 5e6, now);   // 50 MB/s, bursts of 5 MB
//   if (bytes.TrySpend(response_size, now)) ...
class TokenBucket {
 public:
  // @param per_second  refill rate, in units per second
  // @param burst       capacity, in units; full at the start
  TokenBucket(double per_second, double burst, TimePoint now);

  // Takes `amount` if at least that much is available.
  // @return whether it was taken
  bool TrySpend(double amount, TimePoint now);

  // Takes `amount` even if the balance becomes negative. For a cost that is
  // known only after it was incurred.
  void Spend(double amount, TimePoint now);

  // @return whether the balance is above zero
  bool HasTokens(TimePoint now);

  // Changes the refill rate and the capacity; what is available above the new
  // capacity is dropped.
  void SetRate(double per_second, double burst, TimePoint now);

 private:
  void Refill(TimePoint now);

  double per_second_;
  double burst_;
  double available_;
  TimePoint refilled_at_;
};

// Limits retries to a share of the requests that succeed, so that retries
// cannot multiply the load on a failing service.
class RetryBudget {
 public:
  // @param share    retries added by each success, such as 0.1
  // @param reserve  retries available before any success; the capacity is the
  //                 larger of this and 1
  RetryBudget(double share, double reserve);

  void OnSuccess();
  // Takes one retry from the budget.
  // @return whether a retry may be sent
  bool TryRetry();

 private:
  double share_;
  double reserve_;
  double available_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ADMISSION_TOKEN_BUCKET_H_
