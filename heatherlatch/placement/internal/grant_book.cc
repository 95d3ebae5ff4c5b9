#include "heatherlatch/placement/internal/grant_book.h"

namespace heatherlatch {
namespace {

// How long a late report on a grant that ended by its lease still counts.
constexpr Duration kLateReportMemory = std::chrono::seconds(30);

}  // namespace

GrantId GrantBook::Add(const RunningGrant& grant) {
  const GrantId id = next_id_++;
  grants_.emplace(id, grant);
  leases_.emplace(grant.lease_end, id);
  running_isolated_ += grant.isolated ? 1 : 0;
  return id;
}

std::optional<RunningGrant> GrantBook::Find(GrantId id) const {
  const auto found = grants_.find(id);
  if (found == grants_.end()) return std::nullopt;
  return found->second;
}

void GrantBook::End(GrantId id) {
  const auto found = grants_.find(id);
  leases_.erase({found->second.lease_end, id});
  running_isolated_ -= found->second.isolated ? 1 : 0;
  grants_.erase(found);
}

void GrantBook::Lose(GrantId id, TimePoint now) {
  const RunningGrant& grant = grants_.at(id);
  const TimePoint forget_at = now + kLateReportMemory;
  lost_.emplace(id,
                LostGrant{grant.server->name(), grant.granted_at, forget_at});
  lost_until_.emplace(forget_at, id);
  End(id);
}

std::optional<LostGrant> GrantBook::TakeLost(GrantId id) {
  const auto found = lost_.find(id);
  if (found == lost_.end()) return std::nullopt;
  LostGrant grant = std::move(found->second);
  lost_until_.erase({grant.forget_at, id});
  lost_.erase(found);
  return grant;
}

void GrantBook::Forget(TimePoint now) {
  while (!lost_until_.empty() && lost_until_.begin()->first <= now) {
    lost_.erase(lost_until_.begin()->second);
    lost_until_.erase(lost_until_.begin());
  }
}

std::optional<std::pair<TimePoint, GrantId>> GrantBook::FirstLease() const {
  if (leases_.empty()) return std::nullopt;
  return *leases_.begin();
}

}  // namespace heatherlatch
