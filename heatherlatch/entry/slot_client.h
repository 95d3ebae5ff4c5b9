// Gets slots for calls: from a group of this host or from the peer that owns
// it.
//
// Example:
//   SlotResult result = client.Acquire(requirements);
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

// A granted slot. Its destructor returns the slot unused.
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

  // Returns the slot and reports how the call went.
  void Release(const CallReport& report);

 private:
  GroupId group_;
  RegionName region_;
  Grant grant_;
  ReleaseFunction release_;
};

// What a call needs a slot for.
struct SlotRequirements {
  const Service* service = nullptr;
  std::vector<RegionName> homes;
  OrganisationName organisation;
  int weight = 1;
  TimePoint deadline;
  std::vector<BackendServerName> excluded;
  bool isolated = false;
  std::function<bool()> cancelled;  // Whether the caller has gone.
};

using SlotResult = std::variant<SlotLease, NotRun>;

class SlotClient {
 public:
  // The pointers outlive the client.
  SlotClient(HostIncarnation self, const SnapshotCell* snapshots,
             GroupDirectory* directory, SlotService* service,
             PeerTransport* transport);

  // Waits for a slot in the best group, then in the next ones.
  SlotResult Acquire(const SlotRequirements& requirements);

  // Delivers answers of peers. An unwanted grant is returned to its owner.
  void OnGranted(const HostIncarnation& peer, const AcquireGranted& message);
  void OnRefused(const HostIncarnation& peer, const AcquireRefused& message);
  void OnLinkDown(const HostIncarnation& peer);

 private:
  using Response = std::variant<AcquireGranted, AcquireRefused>;
  // The group asked did not grant; `retry_later` where its owner is in doubt.
  struct NoSlot {
    NotRunReason reason = NotRunReason::kNoServer;
    bool retry_later = false;
  };
  using GroupSlotResult = std::variant<SlotLease, NoSlot>;

  GroupSlotResult AcquireFromGroup(const GroupRoute& route,
                                   const SlotRequirements& requirements,
                                   bool is_last);
  GroupSlotResult AcquireLocally(const GroupRoute& route,
                                 const SlotRequirements& requirements,
                                 TimePoint group_deadline);
  GroupSlotResult AcquireFromPeer(const GroupRoute& route,
                                  const SlotRequirements& requirements,
                                  TimePoint group_deadline);
  GroupSlotResult OnResponse(const GroupRoute& route, Response response);

  const HostIncarnation self_;
  const SnapshotCell* const snapshots_;
  GroupDirectory* const directory_;
  SlotService* const service_;
  PeerTransport* const transport_;
  PendingCalls<Response> calls_;
  PendingCalls<SlotAnswer> local_calls_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_SLOT_CLIENT_H_
