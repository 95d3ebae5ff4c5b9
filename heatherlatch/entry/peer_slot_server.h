// Serves requests from peers for slots of groups that this host owns.
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_ENTRY_PEER_SLOT_SERVER_H_
#define HEATHERLATCH_ENTRY_PEER_SLOT_SERVER_H_

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "heatherlatch/base/host_incarnation.h"
#include "heatherlatch/entry/slot_service.h"
#include "heatherlatch/peer/transport.h"

namespace heatherlatch {

class PeerSlotServer {
 public:
  // Both pointers must outlive the object.
  PeerSlotServer(SlotService* service, PeerTransport* transport);

  void OnAcquire(const HostIncarnation& peer, const AcquireSlot& message);

  // Withdraws a request. If it has already been granted, returns the slot
  // unused.
  void OnCancel(const HostIncarnation& peer, const CancelAcquire& message);

  void OnRelease(const HostIncarnation& peer, const ReleaseSlot& message);

  // Withdraws the waiting requests of a peer. Its grants stay until their lease
  // ends, because the calls to the backend servers may still be executing.
  void OnLinkDown(const HostIncarnation& peer);

 private:
  using CallKey = std::pair<HostIncarnation, CallId>;
  struct OpenCall {
    GroupId group;
    WaiterId waiter = 0;
    std::optional<GrantId> grant;
  };
  using GrantKey = std::pair<GroupId, GrantId>;

  void SendResponse(const CallKey& id, const SlotResponse& response);
  void RemoveCall(const CallKey& key);

  SlotService* const service_;
  PeerTransport* const transport_;
  std::mutex mutex_;
  std::map<CallKey, OpenCall> open_calls_;
  std::map<GrantKey, CallKey> calls_of_grants_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_PEER_SLOT_SERVER_H_
