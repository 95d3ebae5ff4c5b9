// The grants of a group: those that run, with their leases, and for a while
// those that ended by their lease, because a late report on one still counts.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_GRANT_BOOK_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_GRANT_BOOK_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/placement/internal/server_record.h"

namespace heatherlatch {

struct RunningGrant {
  ServerRecord* server = nullptr;
  TimePoint granted_at;
  TimePoint lease_end;
  bool isolated = false;
};

// A grant that ended by its lease.
struct LostGrant {
  BackendServerName server;
  TimePoint granted_at;
  TimePoint forget_at;
};

class GrantBook {
 public:
  // @return the ID of the new grant
  GrantId Add(const RunningGrant& grant);

  // @return the grant, if it runs
  std::optional<RunningGrant> Find(GrantId id) const;

  // Takes out a grant that runs.
  void End(GrantId id);

  // Takes out a grant whose lease is over, and remembers it.
  void Lose(GrantId id, TimePoint now);

  // Takes out a grant that ended by its lease, if it is remembered.
  std::optional<LostGrant> TakeLost(GrantId id);

  // Forgets grants that ended by their lease long ago.
  void Forget(TimePoint now);

  // @return the lease that ends first, if any grant runs
  std::optional<std::pair<TimePoint, GrantId>> FirstLease() const;

  int running() const { return static_cast<int>(grants_.size()); }
  int running_isolated() const { return running_isolated_; }

 private:
  using IdsByTime = std::set<std::pair<TimePoint, GrantId>>;

  std::unordered_map<GrantId, RunningGrant> grants_;
  IdsByTime leases_;
  std::unordered_map<GrantId, LostGrant> lost_;
  IdsByTime lost_until_;
  GrantId next_id_ = 1;
  int running_isolated_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_GRANT_BOOK_H_
