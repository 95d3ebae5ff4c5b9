#include "heatherlatch/entry/peer_slots.h"

#include <vector>

namespace heatherlatch {

PeerSlots::PeerSlots(SlotService* service, PeerTransport* transport)
    : service_(service), transport_(transport) {}

void PeerSlots::OnAcquire(const HostIncarnation& peer,
                          const AcquireSlot& message) {
  const CallKey key(peer, message.call);
  {
    std::lock_guard lock(mutex_);
    open_[key] = OpenCall{message.group, 0, std::nullopt};
  }
  SlotRequest request;
  request.organisation = message.organisation;
  request.weight = message.weight;
  request.deadline = SteadyClock::now() + message.time_left;
  request.excluded = message.excluded;
  request.isolated = message.isolated;
  const WaiterId waiter = service_->Acquire(
      message.group, std::move(request),
      [this, key](const SlotAnswer& answer) { Answer(key, answer); });
  if (waiter == 0) return;
  std::lock_guard lock(mutex_);
  const auto found = open_.find(key);
  if (found != open_.end()) found->second.waiter = waiter;
}

void PeerSlots::Answer(const CallKey& key, const SlotAnswer& answer) {
  const auto* grant = std::get_if<Grant>(&answer.decision);
  if (grant == nullptr) {
    Forget(key);
    transport_->Send(
        key.first,
        AcquireRefused{key.second, std::get<NotRunReason>(answer.decision),
                       answer.not_owner, answer.load});
    return;
  }
  GroupId group;
  bool wanted = false;
  {
    std::lock_guard lock(mutex_);
    const auto found = open_.find(key);
    if (found != open_.end()) {
      wanted = true;
      group = found->second.group;
      found->second.grant = grant->id;
      calls_of_grants_[GrantKey(group, grant->id)] = key;
    }
  }
  if (!wanted) return;
  const Duration lease_left = grant->lease_end - SteadyClock::now();
  const SendResult sent = transport_->Send(
      key.first, AcquireGranted{key.second, grant->id, grant->server,
                                grant->endpoint, lease_left, answer.load});
  if (sent != SendResult::kSent) OnCancel(key.first, CancelAcquire{key.second});
}

void PeerSlots::OnCancel(const HostIncarnation& peer,
                         const CancelAcquire& message) {
  const CallKey key(peer, message.call);
  OpenCall call;
  {
    std::lock_guard lock(mutex_);
    const auto found = open_.find(key);
    if (found == open_.end()) return;
    call = found->second;
    if (call.grant) calls_of_grants_.erase(GrantKey(call.group, *call.grant));
    open_.erase(found);
  }
  if (call.grant) {
    CallReport unused;
    unused.end = CallEnd::kNotUsed;
    service_->Release(call.group, *call.grant, unused);
    return;
  }
  service_->Cancel(call.group, call.waiter);
}

void PeerSlots::OnRelease(const HostIncarnation&, const ReleaseSlot& message) {
  {
    std::lock_guard lock(mutex_);
    const auto found =
        calls_of_grants_.find(GrantKey(message.group, message.grant));
    if (found != calls_of_grants_.end()) {
      open_.erase(found->second);
      calls_of_grants_.erase(found);
    }
  }
  service_->Release(message.group, message.grant, message.report);
}

void PeerSlots::OnLinkDown(const HostIncarnation& peer) {
  std::vector<OpenCall> lost;
  {
    std::lock_guard lock(mutex_);
    auto call = open_.lower_bound(CallKey(peer, 0));
    while (call != open_.end() && call->first.first == peer) {
      const OpenCall& open = call->second;
      if (open.grant) {
        calls_of_grants_.erase(GrantKey(open.group, *open.grant));
      } else {
        lost.push_back(open);
      }
      call = open_.erase(call);
    }
  }
  for (const OpenCall& call : lost) service_->Cancel(call.group, call.waiter);
}

void PeerSlots::Forget(const CallKey& key) {
  std::lock_guard lock(mutex_);
  open_.erase(key);
}

}  // namespace heatherlatch
