#include "heatherlatch/entry/peer_slot_server.h"

#include <vector>

namespace heatherlatch {

PeerSlotServer::PeerSlotServer(SlotService* service, PeerTransport* transport)
    : service_(service), transport_(transport) {}

void PeerSlotServer::OnAcquire(const HostIncarnation& peer,
                               const AcquireSlot& message) {
  const CallKey key(peer, message.call);
  {
    std::lock_guard lock(mutex_);
    open_calls_[key] = OpenCall{message.group, 0, std::nullopt};
  }
  SlotRequest request;
  request.organisation = message.organisation;
  request.weight = message.weight;
  request.deadline = SteadyClock::now() + message.time_left;
  request.excluded = message.excluded;
  request.isolated = message.isolated;
  const WaiterId waiter =
      service_->Acquire(message.group, std::move(request),
                        [this, key](const SlotResponse& response) {
                          SendResponse(key, response);
                        });
  if (waiter == 0) return;
  std::lock_guard lock(mutex_);
  const auto found = open_calls_.find(key);
  if (found != open_calls_.end()) found->second.waiter = waiter;
}

void PeerSlotServer::SendResponse(const CallKey& id,
                                  const SlotResponse& response) {
  const auto* grant = std::get_if<Grant>(&response.decision);
  if (grant == nullptr) {
    RemoveCall(id);
    transport_->Send(
        id.first,
        AcquireRefused{id.second, std::get<NotRunReason>(response.decision),
                       response.not_owner, response.load});
    return;
  }
  GroupId group;
  bool still_open = false;
  {
    std::lock_guard lock(mutex_);
    const auto found = open_calls_.find(id);
    if (found != open_calls_.end()) {
      still_open = true;
      group = found->second.group;
      found->second.grant = grant->id;
      calls_of_grants_[GrantKey(group, grant->id)] = id;
    }
  }
  if (!still_open) return;
  const Duration lease_left = grant->lease_end - SteadyClock::now();
  const SendResult sent = transport_->Send(
      id.first, AcquireGranted{id.second, grant->id, grant->server,
                               grant->endpoint, lease_left, response.load});
  if (sent != SendResult::kQueued) OnCancel(id.first, CancelAcquire{id.second});
}

void PeerSlotServer::OnCancel(const HostIncarnation& peer,
                              const CancelAcquire& message) {
  const CallKey key(peer, message.call);
  OpenCall call;
  {
    std::lock_guard lock(mutex_);
    const auto found = open_calls_.find(key);
    if (found == open_calls_.end()) return;
    call = found->second;
    if (call.grant) calls_of_grants_.erase(GrantKey(call.group, *call.grant));
    open_calls_.erase(found);
  }
  if (call.grant) {
    CallReport unused;
    unused.end = CallOutcome::kNotUsed;
    service_->Release(call.group, *call.grant, unused);
    return;
  }
  service_->Cancel(call.group, call.waiter);
}

void PeerSlotServer::OnRelease(const HostIncarnation&,
                               const ReleaseSlot& message) {
  {
    std::lock_guard lock(mutex_);
    const auto found =
        calls_of_grants_.find(GrantKey(message.group, message.grant));
    if (found != calls_of_grants_.end()) {
      open_calls_.erase(found->second);
      calls_of_grants_.erase(found);
    }
  }
  service_->Release(message.group, message.grant, message.report);
}

void PeerSlotServer::OnLinkDown(const HostIncarnation& peer) {
  std::vector<OpenCall> queued;
  {
    std::lock_guard lock(mutex_);
    auto call = open_calls_.lower_bound(CallKey(peer, 0));
    while (call != open_calls_.end() && call->first.first == peer) {
      const OpenCall& open = call->second;
      if (open.grant) {
        calls_of_grants_.erase(GrantKey(open.group, *open.grant));
      } else {
        queued.push_back(open);
      }
      call = open_calls_.erase(call);
    }
  }
  for (const OpenCall& call : queued) service_->Cancel(call.group, call.waiter);
}

void PeerSlotServer::RemoveCall(const CallKey& key) {
  std::lock_guard lock(mutex_);
  open_calls_.erase(key);
}

}  // namespace heatherlatch
