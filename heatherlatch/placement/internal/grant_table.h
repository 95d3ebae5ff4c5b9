// The running grants of a group with their leases, and the grants whose lease
// expired recently. The latter are kept for a limited time, because a late
// report on one still counts as evidence about its server.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_GRANT_TABLE_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_GRANT_TABLE_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/placement/internal/server_state.h"

namespace heatherlatch {

struct RunningGrant {
  ServerState* server = nullptr;
  TimePoint granted_at;
  TimePoint lease_end;
  bool isolated = false;
};

// A grant whose lease expired.
struct ExpiredGrant {
  BackendServerName server;
  TimePoint granted_at;
  TimePoint discard_at;
};

class GrantTable {
 public:
  // @return the ID of the new grant
  GrantId Add(const RunningGrant& grant);

  // @return the grant, if it is running
  std::optional<RunningGrant> Find(GrantId id) const;

  // Removes a running grant; it must exist.
  void End(GrantId id);

  // Moves a running grant, which must exist, to the expired grants.
  void Expire(GrantId id, TimePoint now);

  // Removes an expired grant.
  // @return the grant; none if it is unknown or has been discarded
  std::optional<ExpiredGrant> TakeExpired(GrantId id);

  // Discards the expired grants that have been kept long enough.
  void DiscardExpired(TimePoint now);

  // @return end and grant of the lease that ends first; none without grants
  std::optional<std::pair<TimePoint, GrantId>> FirstLease() const;

  int running() const { return static_cast<int>(grants_.size()); }
  int running_isolated() const { return running_isolated_; }

 private:
  using IdsByTime = std::set<std::pair<TimePoint, GrantId>>;

  std::unordered_map<GrantId, RunningGrant> grants_;
  IdsByTime leases_;
  std::unordered_map<GrantId, ExpiredGrant> expired_;
  IdsByTime expired_discard_times_;
  GrantId next_id_ = 1;
  int running_isolated_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_GRANT_TABLE_H_
