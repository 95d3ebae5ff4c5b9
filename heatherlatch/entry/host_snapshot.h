// What the control thread publishes to the traffic threads.
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

// The control thread publishes a snapshot at least every 50 ms. An older one
// means that this process was paused, and what it says may no longer hold.
inline constexpr auto kMaxSnapshotAge = std::chrono::seconds(1);

struct HostSnapshot {
  std::shared_ptr<const ObjectSet> objects;     // Null before the first set.
  std::shared_ptr<const MemberView> members;    // Never null.
  std::set<BackendServerName> leaving_servers;  // From the platform's list.
  bool may_serve = false;  // This host may take new requests.
  TimePoint published_at;
};

// Holds the newest snapshot.
class SnapshotCell {
 public:
  explicit SnapshotCell(std::shared_ptr<const HostSnapshot> first)
      : snapshot_(std::move(first)) {}

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
