// A bound on what all hosts together may do, kept by counting.
//
// Hosts know neither each other nor their number. A few hosts that all of them
// know, the readers of the store, are the issuers: each owns an equal part of
// the terms of every bound and grants tokens out of it. A host may act only
// with a token that it was granted. Whatever the number of hosts, the delays
// and the losses, the events in any window are at most the tokens granted in
// that window and one lifetime of a token before it.
//
// An issuer that restarts does not know what it granted before, so its buckets
// start empty. A token that is lost, or not used within its lifetime, is not
// granted again.
//
// Example:
//   const BudgetKey key{BudgetKind::kAllotment, "member-shops"};
//   BudgetIssuer issuer(now);                       // At a reader.
//   const int granted = issuer.Issue(key, PartOf(terms, readers), 4, now);
//   BudgetHolder holder;                            // At the host that asked.
//   holder.Receive(key, granted, asked_at, terms.token_lifetime);
//   if (holder.TryTake(key, now)) ... act ...
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_FLEET_BUDGET_FLEET_BUDGET_H_
#define HEATHERLATCH_FLEET_BUDGET_FLEET_BUDGET_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// What is bounded.
enum class BudgetKind {
  kColdStart,  // Requests to a server in cold start, by server.
  kRetry,      // First retries of hosts that just started, by service.
  kAllotment,  // Requests of an organisation, by organisation.
};

struct BudgetKey {
  BudgetKind kind = BudgetKind::kAllotment;
  std::string subject;  // Name of the server, service or organisation.
};
bool operator<(const BudgetKey& a, const BudgetKey& b);
bool operator==(const BudgetKey& a, const BudgetKey& b);

// The terms of a bound over all hosts, or of the part of one issuer.
struct BudgetTerms {
  double per_second = 0;
  double burst = 1;  // Tokens that may be granted at once.
  // How long after the question a token may be used.
  Duration token_lifetime{};
};

// @param issuers  how many issuers share the bound; at least 1
// @return the part of one issuer
BudgetTerms PartOf(const BudgetTerms& terms, std::size_t issuers);

// @param per_second  the rate of the bound
// @param allowance   events that a window may hold beyond the rate and burst
// @return the longest lifetime of a token with which the events of any window
//     stay within the terms and the allowance
Duration LongestTokenLifetime(double per_second, double allowance);

// Spends an allowance: a quarter on the lifetime of tokens, and what is left
// half on the burst and half on the rate. A bucket with the bare rate
// would refuse callers that use rate and burst in each window evenly. The
// events in any window are at most per_second * window + burst + allowance,
// over all issuers.
// @param window     over which the events are counted; above zero
// @param allowance  events that a window may hold beyond the rate and burst; if
//     it is below a tenth of a second of the rate and a token for each issuer,
//     the burst gives way, down to one token
// @param issuers    how many issuers share the bound
// @return the terms over all issuers
BudgetTerms TermsWithin(double per_second, double burst, Duration window,
                        double allowance, std::size_t issuers);

// Grants tokens, as one of the issuers.
class BudgetIssuer {
 public:
  // @param started_at  since when this issuer keeps its buckets. What they hold
  //                    is bounded by the time since then
  explicit BudgetIssuer(TimePoint started_at) : started_at_(started_at) {}

  // @param part    the terms of this issuer
  // @param wanted  the most tokens to grant
  // @return the tokens granted, 0 to `wanted`
  int Issue(const BudgetKey& key, const BudgetTerms& part, int wanted,
            TimePoint now);

  // @return when one token will be available, if none is; otherwise zero
  Duration UntilNext(const BudgetKey& key, const BudgetTerms& part,
                     TimePoint now) const;

  // Forgets the buckets that are full again.
  void RemoveFull(TimePoint now);

  std::size_t size() const { return buckets_.size(); }

 private:
  struct Bucket {
    BudgetTerms part;
    double available = 0;
    TimePoint refilled_at;
  };

  // @return the tokens that are available at `now`
  double AvailableAt(const BudgetKey& key, const BudgetTerms& part,
                     TimePoint now) const;

  TimePoint started_at_;
  std::map<BudgetKey, Bucket> buckets_;
};

// Keeps the tokens that a host was granted until it uses them.
class BudgetHolder {
 public:
  // @param asked_at  when this host asked, from which the lifetime counts
  void Receive(const BudgetKey& key, int tokens, TimePoint asked_at,
               Duration lifetime);

  // Takes a token, the one that expires first.
  // @return whether there was one
  bool TryTake(const BudgetKey& key, TimePoint now) {
    return Take(key, now).has_value();
  }

  // Takes a token, as `TryTake` does.
  // @return when it expires
  std::optional<TimePoint> Take(const BudgetKey& key, TimePoint now);

  // @return tokens that can still be used
  int Available(const BudgetKey& key, TimePoint now) const;

  // Removes expired tokens.
  // @return how many were removed, by kind
  std::map<BudgetKind, std::size_t> RemoveExpired(TimePoint now);

 private:
  std::map<BudgetKey, std::deque<TimePoint>> expiries_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_FLEET_BUDGET_FLEET_BUDGET_H_
