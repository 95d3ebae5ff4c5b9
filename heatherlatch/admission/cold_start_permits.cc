#include "heatherlatch/admission/cold_start_permits.h"

#include <algorithm>
#include <iterator>

namespace heatherlatch {
namespace {

// How long a reader leaves a permit to other hosts after one asked in vain:
// somewhat longer than a host waits before it asks again.
constexpr Duration kTurnOfOthers = std::chrono::seconds(2);

// Of a server 15 ms away, the requests on their way alone may use up the bound.
constexpr Duration kMaxFirstDelay = std::chrono::seconds(1);
constexpr Duration kRoundTripOfMaxFirstDelay = std::chrono::milliseconds(30);

}  // namespace

Duration DelayOfFirstPermit(Duration round_trip) {
  if (round_trip <= Duration::zero()) return kMaxFirstDelay;
  return std::min(kMaxFirstDelay,
                  round_trip * (kMaxFirstDelay / kRoundTripOfMaxFirstDelay));
}

bool ColdStartPermits::TryIssue(const BackendServerName& server,
                                double per_second, Duration first_delay,
                                PermitRequester requester, TimePoint now) {
  if (per_second <= 0) return false;
  Issue& issue =
      issues_.try_emplace(server, Issue{now, now + first_delay}).first->second;
  const bool is_turn_of_others =
      issue.other_denied_at && now - *issue.other_denied_at < kTurnOfOthers;
  const bool is_for_other = requester == PermitRequester::kOtherHost;
  issue.interval = FromMilliseconds(1000 / per_second);
  if (now < issue.not_before || now - issue.last_at < issue.interval ||
      (is_turn_of_others && !is_for_other)) {
    if (is_for_other) issue.other_denied_at = now;
    return false;
  }
  issue.last_at = now;
  if (is_for_other) issue.other_denied_at.reset();
  return true;
}

void ColdStartPermits::Receive(const BackendServerName& server,
                               TimePoint asked_at) {
  valid_until_[server] = asked_at + kColdStartPermitLifetime;
}

bool ColdStartPermits::Has(const BackendServerName& server,
                           TimePoint now) const {
  const auto found = valid_until_.find(server);
  return found != valid_until_.end() && now < found->second;
}

void ColdStartPermits::RemoveStale(Duration age, TimePoint now) {
  for (auto it = issues_.begin(); it != issues_.end();) {
    const Issue& issue = it->second;
    it = now - issue.last_at > issue.interval + age ? issues_.erase(it)
                                                    : std::next(it);
  }
  for (auto it = valid_until_.begin(); it != valid_until_.end();) {
    it = it->second <= now ? valid_until_.erase(it) : std::next(it);
  }
}

}  // namespace heatherlatch
