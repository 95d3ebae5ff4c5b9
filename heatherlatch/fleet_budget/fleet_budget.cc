#include "heatherlatch/fleet_budget/fleet_budget.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace heatherlatch {
namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool operator<(const BudgetKey& a, const BudgetKey& b) {
  return std::tie(a.kind, a.subject) < std::tie(b.kind, b.subject);
}

bool operator==(const BudgetKey& a, const BudgetKey& b) {
  return std::tie(a.kind, a.subject) == std::tie(b.kind, b.subject);
}

BudgetTerms PartOf(const BudgetTerms& terms, std::size_t issuers) {
  const double parts = static_cast<double>(std::max<std::size_t>(issuers, 1));
  return {terms.per_second / parts, terms.burst / parts, terms.token_lifetime};
}

Duration LongestTokenLifetime(double per_second, double allowance) {
  if (per_second <= 0) return Duration::max();
  const double seconds = std::max(0.0, allowance / per_second);
  constexpr double kLongestSeconds = 3600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kLongestSeconds)));
}

BudgetTerms TermsWithin(double per_second, double burst, Duration window,
                        double allowance, std::size_t issuers) {
  constexpr Duration kShortestLifetime = std::chrono::milliseconds(100);
  constexpr Duration kLongestLifetime = std::chrono::seconds(2);
  constexpr double kLifetimeShare = 0.25;
  constexpr double kRateShare = 0.5;  // Of the rest.
  BudgetTerms terms;
  terms.token_lifetime =
      std::clamp(LongestTokenLifetime(per_second, kLifetimeShare * allowance),
                 kShortestLifetime, kLongestLifetime);
  const double span = ToSeconds(window + terms.token_lifetime);
  // The bucket of an issuer holds one token at least.
  const double for_whole_tokens = static_cast<double>(issuers);
  const double for_lifetime = per_second * ToSeconds(terms.token_lifetime);
  const double rest = allowance - for_lifetime - for_whole_tokens;
  const double for_rate = std::max(0.0, kRateShare * rest);
  terms.per_second = per_second + for_rate / span;
  terms.burst = std::max(1.0, burst + rest - for_rate);
  return terms;
}

double BudgetIssuer::AvailableAt(const BudgetKey& key, const BudgetTerms& part,
                                 TimePoint now) const {
  // A bucket holds one token at least, so that small parts grant any.
  const double burst = std::max(part.burst, 1.0);
  const auto found = buckets_.find(key);
  if (found == buckets_.end()) {
    const double since_start = ToSeconds(now - started_at_) * part.per_second;
    return std::clamp(since_start, 0.0, burst);
  }
  const Bucket& bucket = found->second;
  const double gained = std::max(0.0, ToSeconds(now - bucket.refilled_at)) *
                        bucket.part.per_second;
  return std::min(bucket.available + gained, burst);
}

int BudgetIssuer::Issue(const BudgetKey& key, const BudgetTerms& part,
                        int wanted, TimePoint now) {
  const double available = AvailableAt(key, part, now);
  const int granted =
      std::max(0, std::min(wanted, static_cast<int>(std::floor(available))));
  buckets_[key] = {part, available - granted, now};
  return granted;
}

Duration BudgetIssuer::UntilNext(const BudgetKey& key, const BudgetTerms& part,
                                 TimePoint now) const {
  const double missing = 1 - AvailableAt(key, part, now);
  if (missing <= 0) return Duration::zero();
  if (part.per_second <= 0) return Duration::max();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / part.per_second));
}

void BudgetIssuer::RemoveFull(TimePoint now) {
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    const BudgetTerms& part = it->second.part;
    const bool full =
        AvailableAt(it->first, part, now) >= std::max(part.burst, 1.0);
    // Without the bucket, the time since the start has to fill it as well.
    const bool full_since_start =
        ToSeconds(now - started_at_) * part.per_second >=
        std::max(part.burst, 1.0);
    it = full && full_since_start ? buckets_.erase(it) : std::next(it);
  }
}

void BudgetHolder::Receive(const BudgetKey& key, int tokens, TimePoint asked_at,
                           Duration lifetime) {
  if (tokens <= 0) return;
  std::deque<TimePoint>& expiries = expiries_[key];
  const auto position =
      std::upper_bound(expiries.begin(), expiries.end(), asked_at + lifetime);
  expiries.insert(position, static_cast<std::size_t>(tokens),
                  asked_at + lifetime);
}

std::optional<TimePoint> BudgetHolder::Take(const BudgetKey& key,
                                            TimePoint now) {
  const auto found = expiries_.find(key);
  if (found == expiries_.end()) return std::nullopt;
  std::deque<TimePoint>& expiries = found->second;
  const auto usable = std::upper_bound(expiries.begin(), expiries.end(), now);
  if (usable == expiries.end()) return std::nullopt;
  const TimePoint expires_at = *usable;
  expiries.erase(usable);
  return expires_at;
}

int BudgetHolder::Available(const BudgetKey& key, TimePoint now) const {
  const auto found = expiries_.find(key);
  if (found == expiries_.end()) return 0;
  const std::deque<TimePoint>& expiries = found->second;
  return static_cast<int>(
      expiries.end() - std::upper_bound(expiries.begin(), expiries.end(), now));
}

std::map<BudgetKind, std::size_t> BudgetHolder::RemoveExpired(TimePoint now) {
  std::map<BudgetKind, std::size_t> removed;
  for (auto it = expiries_.begin(); it != expiries_.end();) {
    std::deque<TimePoint>& expiries = it->second;
    while (!expiries.empty() && expiries.front() <= now) {
      expiries.pop_front();
      ++removed[it->first.kind];
    }
    it = expiries.empty() ? expiries_.erase(it) : std::next(it);
  }
  return removed;
}

}  // namespace heatherlatch
