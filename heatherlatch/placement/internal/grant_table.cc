#include "heatherlatch/placement/internal/grant_table.h"

namespace heatherlatch {
namespace {

// How long after the end of the lease a report on a grant still counts.
constexpr Duration kLateReportWindow = std::chrono::seconds(30);

}  // namespace

GrantId GrantTable::Add(const RunningGrant& grant) {
  const GrantId id = next_id_++;
  grants_.emplace(id, grant);
  leases_.emplace(grant.lease_end, id);
  running_isolated_ += grant.isolated ? 1 : 0;
  return id;
}

std::optional<RunningGrant> GrantTable::Find(GrantId id) const {
  const auto found = grants_.find(id);
  if (found == grants_.end()) return std::nullopt;
  return found->second;
}

void GrantTable::End(GrantId id) {
  const auto found = grants_.find(id);
  leases_.erase({found->second.lease_end, id});
  running_isolated_ -= found->second.isolated ? 1 : 0;
  grants_.erase(found);
}

void GrantTable::Expire(GrantId id, TimePoint now) {
  const RunningGrant& grant = grants_.at(id);
  const TimePoint discard_at = now + kLateReportWindow;
  expired_.emplace(
      id, ExpiredGrant{grant.server->name(), grant.granted_at, discard_at});
  expired_discard_times_.emplace(discard_at, id);
  End(id);
}

std::optional<ExpiredGrant> GrantTable::TakeExpired(GrantId id) {
  const auto found = expired_.find(id);
  if (found == expired_.end()) return std::nullopt;
  ExpiredGrant grant = std::move(found->second);
  expired_discard_times_.erase({grant.discard_at, id});
  expired_.erase(found);
  return grant;
}

void GrantTable::DiscardExpired(TimePoint now) {
  while (!expired_discard_times_.empty() &&
         expired_discard_times_.begin()->first <= now) {
    expired_.erase(expired_discard_times_.begin()->second);
    expired_discard_times_.erase(expired_discard_times_.begin());
  }
}

std::optional<std::pair<TimePoint, GrantId>> GrantTable::FirstLease() const {
  if (leases_.empty()) return std::nullopt;
  return *leases_.begin();
}

}  // namespace heatherlatch
