// The state that the control thread publishes to the traffic threads.
//
// Thread safety: `HostSnapshot` is immutable. `SnapshotCell` may be used from
// any thread.
#ifndef HEATHERLATCH_ENTRY_HOST_SNAPSHOT_H_
#define HEATHERLATCH_ENTRY_HOST_SNAPSHOT_H_

#include <memory>
#include <set>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/membership/membership.h"
#include "heatherlatch/objects/object_set.h"

namespace heatherlatch {

// The control thread publishes a snapshot at least every 50 ms. A snapshot
// older than this means that the process was paused, and its content may be
// stale.
inline constexpr auto kMaxSnapshotAge = std::chrono::seconds(1);

struct HostSnapshot {
  std::shared_ptr<const ObjectSet> objects;     // Null until one is in force.
  std::shared_ptr<const MemberView> members;    // Never null.
  std::set<BackendServerName> leaving_servers;  // In the platform's list.
  bool may_serve = false;  // This host may accept new requests.
  TimePoint published_at;
};

// Holds the most recently published snapshot.
class SnapshotCell {
 public:
  explicit SnapshotCell(std::shared_ptr<const HostSnapshot> initial)
      : snapshot_(std::move(initial)) {}

  // @return the newest snapshot; never null
  std::shared_ptr<const HostSnapshot> Get() const {
    return std::atomic_load(&snapshot_);
  }

  void Publish(std::shared_ptr<const HostSnapshot> snapshot) {
    std::atomic_store(&snapshot_, std::move(snapshot));
  }

 private:
  std::shared_ptr<const HostSnapshot> snapshot_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_HOST_SNAPSHOT_H_
