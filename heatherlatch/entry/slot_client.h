// Acquires slots for calls to backend servers: from a group that this host
// owns, or from the peer that owns the group.
//
// Example:
//   SlotResult result = client.Acquire(required);
//   if (auto* lease = std::get_if<SlotLease>(&result)) {
//     BackendResult call = backend.Call(..., lease->grant().endpoint, ...);
//     lease->Release(ReportOf(call));
//   }
//
// Thread safety: `SlotClient` may be used from any thread; a `SlotLease`
// belongs to one thread at a time.
#ifndef HEATHERLATCH_ENTRY_SLOT_CLIENT_H_
#define HEATHERLATCH_ENTRY_SLOT_CLIENT_H_

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "heatherlatch/base/outcome.h"
#include "heatherlatch/entry/group_directory.h"
#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/entry/pending_calls.h"
#include "heatherlatch/entry/slot_service.h"
#include "heatherlatch/peer/transport.h"

namespace heatherlatch {

// A granted slot. The destructor releases the slot as unused if `Release` was
// not called.
class SlotLease {
 public:
  using ReleaseFunction = std::function<void(const CallReport&)>;

  SlotLease(GroupId group, RegionName region, Grant grant,
            ReleaseFunction release);
  ~SlotLease();
  SlotLease(SlotLease&& other) noexcept;
  SlotLease& operator=(SlotLease&&) = delete;

  const GroupId& group() const { return group_; }
  const RegionName& region() const { return region_; }
  const Grant& grant() const { return grant_; }

  // Releases the slot and reports the result of the call to the group's owner.
  // Calls after the first have no effect.
  void Release(const CallReport& report);

 private:
  GroupId group_;
  RegionName region_;
  Grant grant_;
  ReleaseFunction release_;
};

// Requirements of a call that needs a slot.
struct SlotRequirements {
  const Service* service = nullptr;
  std::vector<RegionName> home_regions;
  OrganisationName organisation;
  int weight = 1;
  TimePoint deadline;
  std::vector<BackendServerName> excluded;
  bool isolated = false;
  std::function<bool()> cancelled;  // True once the caller disconnects.
};

using SlotResult = std::variant<SlotLease, NotRun>;

class SlotClient {
 public:
  // The pointers must outlive the client.
  SlotClient(HostIncarnation self, const SnapshotCell* snapshots,
             GroupDirectory* directory, SlotService* service,
             PeerTransport* transport);

  // Blocks until a slot is granted: requests one from the best group, then from
  // the next ones. Requests again while an owner is unknown or unreachable.
  // @return the lease; `NotRun` if no group granted a slot, the deadline has
  //         passed or the caller has disconnected
  SlotResult Acquire(const SlotRequirements& required);

  // Deliver responses of peers. A grant that no call waits for any more is
  // cancelled at its owner.
  void OnGranted(const HostIncarnation& peer, const AcquireGranted& message);
  void OnRefused(const HostIncarnation& peer, const AcquireRefused& message);
  // Ends the wait of every request that was sent to the peer.
  void OnLinkDown(const HostIncarnation& peer);

 private:
  using Response = std::variant<AcquireGranted, AcquireRefused>;
  // The group did not grant a slot. `retry_later` is set if its owner is not
  // known for certain, could not be reached or did not respond in time.
  struct NoSlot {
    NotRunReason reason = NotRunReason::kNoServer;
    bool retry_later = false;
  };
  using GroupSlotResult = std::variant<SlotLease, NoSlot>;

  // Requests a slot from one group.
  // @param is_last  whether no other group is left; the wait then ends at the
  //                 deadline of the call instead of after `kGroupTimeout`
  GroupSlotResult AcquireFromGroup(const GroupTarget& target,
                                   const SlotRequirements& required,
                                   bool is_last);
  // @param wait_end  when to stop waiting for this group
  GroupSlotResult AcquireLocal(const GroupTarget& target,
                               const SlotRequirements& required,
                               TimePoint wait_end);
  GroupSlotResult AcquireFromPeer(const GroupTarget& target,
                                  const SlotRequirements& required,
                                  TimePoint wait_end);
  GroupSlotResult OnResponse(const GroupTarget& target, Response response);

  const HostIncarnation self_;
  const SnapshotCell* const snapshots_;
  GroupDirectory* const directory_;
  SlotService* const service_;
  PeerTransport* const transport_;
  PendingCalls<Response> calls_;
  PendingCalls<SlotResponse> local_calls_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_SLOT_CLIENT_H_
