#include "heatherlatch/entry/slot_client.h"

#include <thread>
#include <utility>

namespace heatherlatch {
namespace {

// Timeout of one group while there is another group that may have a free slot.
constexpr auto kGroupTimeout = std::chrono::milliseconds(250);
// Delay before the next round of requests if an owner is not known for certain
// or could not be reached.
constexpr auto kOwnerRetryDelay = std::chrono::milliseconds(20);

SlotRequest RequestOf(const SlotRequirements& required) {
  SlotRequest request;
  request.organisation = required.organisation;
  request.weight = required.weight;
  request.deadline = required.deadline;
  request.excluded = required.excluded;
  request.isolated = required.isolated;
  return request;
}

bool IsCancelled(const SlotRequirements& required) {
  return required.cancelled && required.cancelled();
}

}  // namespace

SlotLease::SlotLease(GroupId group, RegionName region, Grant grant,
                     ReleaseFunction release)
    : group_(std::move(group)),
      region_(std::move(region)),
      grant_(std::move(grant)),
      release_(std::move(release)) {}

SlotLease::SlotLease(SlotLease&& other) noexcept
    : group_(std::move(other.group_)),
      region_(std::move(other.region_)),
      grant_(std::move(other.grant_)),
      release_(std::exchange(other.release_, nullptr)) {}

SlotLease::~SlotLease() {
  CallReport unused;
  unused.end = CallOutcome::kNotUsed;
  Release(unused);
}

void SlotLease::Release(const CallReport& report) {
  const ReleaseFunction release = std::exchange(release_, nullptr);
  if (release) release(report);
}

SlotClient::SlotClient(HostIncarnation self, const SnapshotCell* snapshots,
                       GroupDirectory* directory, SlotService* service,
                       PeerTransport* transport)
    : self_(std::move(self)),
      snapshots_(snapshots),
      directory_(directory),
      service_(service),
      transport_(transport) {}

SlotResult SlotClient::Acquire(const SlotRequirements& required) {
  NotRunReason reason = NotRunReason::kNoServer;
  while (true) {
    const auto snapshot = snapshots_->Get();
    const TimePoint now = SteadyClock::now();
    if (now >= required.deadline) return NotRun{reason};
    if (IsCancelled(required)) return NotRun{NotRunReason::kCallerDisconnected};
    const std::vector<GroupTarget> targets = directory_->FindGroups(
        *snapshot, *required.service, required.home_regions, now);
    bool retry_later = targets.empty();
    for (std::size_t i = 0; i < targets.size(); ++i) {
      GroupSlotResult result =
          AcquireFromGroup(targets[i], required, i + 1 == targets.size());
      if (auto* lease = std::get_if<SlotLease>(&result)) {
        return std::move(*lease);
      }
      const NoSlot& no_slot = std::get<NoSlot>(result);
      reason = no_slot.reason;
      if (reason == NotRunReason::kCallerDisconnected) return NotRun{reason};
      retry_later = retry_later || no_slot.retry_later;
    }
    if (!retry_later) return NotRun{reason};
    std::this_thread::sleep_for(kOwnerRetryDelay);
  }
}

SlotClient::GroupSlotResult SlotClient::AcquireFromGroup(
    const GroupTarget& target, const SlotRequirements& required, bool is_last) {
  const TimePoint wait_end =
      is_last ? required.deadline
              : std::min(required.deadline, SteadyClock::now() + kGroupTimeout);
  directory_->OnSlotRequested(target.candidate.group);
  if (target.owner == self_) return AcquireLocal(target, required, wait_end);
  return AcquireFromPeer(target, required, wait_end);
}

SlotClient::GroupSlotResult SlotClient::AcquireLocal(
    const GroupTarget& target, const SlotRequirements& required,
    TimePoint wait_end) {
  const GroupId group = target.candidate.group;
  const auto call = local_calls_.Open(self_);
  const std::uint64_t call_id = call->id();
  const auto release = [this, group](GrantId grant, const CallReport& report) {
    service_->Release(group, grant, report);
  };
  const WaiterId waiter = service_->Acquire(
      group, RequestOf(required),
      [this, call_id, release](const SlotResponse& slot_response) {
        if (local_calls_.Deliver(self_, call_id, slot_response)) return;
        const auto* grant = std::get_if<Grant>(&slot_response.decision);
        if (grant == nullptr) return;
        CallReport unused;
        unused.end = CallOutcome::kNotUsed;
        release(grant->id, unused);
      });
  const WaitEnd end = call->Wait(wait_end, required.cancelled);
  if (end != WaitEnd::kReceived) {
    service_->Cancel(group, waiter);
    if (call->Wait(TimePoint(), nullptr) != WaitEnd::kReceived) {
      const bool caller_disconnected = end == WaitEnd::kCancelled;
      return NoSlot{caller_disconnected ? NotRunReason::kCallerDisconnected
                                        : NotRunReason::kQueueFull,
                    false};
    }
  }
  const SlotResponse slot_response = call->Take();
  directory_->OnLoad(group, slot_response.load, SteadyClock::now());
  if (const auto* grant = std::get_if<Grant>(&slot_response.decision)) {
    const GrantId id = grant->id;
    return SlotLease(
        group, target.region, *grant,
        [release, id](const CallReport& report) { release(id, report); });
  }
  return NoSlot{std::get<NotRunReason>(slot_response.decision),
                slot_response.not_owner};
}

SlotClient::GroupSlotResult SlotClient::AcquireFromPeer(
    const GroupTarget& target, const SlotRequirements& required,
    TimePoint wait_end) {
  const auto call = calls_.Open(target.owner);
  AcquireSlot message;
  message.call = call->id();
  message.group = target.candidate.group;
  message.organisation = required.organisation;
  message.weight = required.weight;
  message.time_left = required.deadline - SteadyClock::now();
  message.excluded = required.excluded;
  message.isolated = required.isolated;
  if (transport_->Send(target.owner, message) != SendResult::kQueued) {
    return NoSlot{NotRunReason::kNoServer, true};
  }
  const WaitEnd end = call->Wait(wait_end, required.cancelled);
  if (end == WaitEnd::kReceived) return OnResponse(target, call->Take());
  if (end == WaitEnd::kLinkDown) return NoSlot{NotRunReason::kNoServer, true};
  transport_->Send(target.owner, CancelAcquire{call->id()});
  if (end == WaitEnd::kCancelled) {
    return NoSlot{NotRunReason::kCallerDisconnected, false};
  }
  directory_->OnUnresponsive(target.owner, SteadyClock::now());
  return NoSlot{NotRunReason::kQueueFull, true};
}

SlotClient::GroupSlotResult SlotClient::OnResponse(const GroupTarget& target,
                                                   Response response) {
  const TimePoint now = SteadyClock::now();
  const GroupId& group = target.candidate.group;
  if (const auto* refused = std::get_if<AcquireRefused>(&response)) {
    if (!refused->not_owner) directory_->OnLoad(group, refused->load, now);
    return NoSlot{refused->reason, refused->not_owner};
  }
  const auto& granted = std::get<AcquireGranted>(response);
  directory_->OnLoad(group, granted.load, now);
  const Grant grant{granted.grant, granted.server, granted.endpoint,
                    now + granted.lease_left};
  const HostIncarnation owner = target.owner;
  return SlotLease(
      group, target.region, grant,
      [this, owner, group, id = grant.id](const CallReport& report) {
        transport_->Send(owner, ReleaseSlot{group, id, report});
      });
}

void SlotClient::OnGranted(const HostIncarnation& peer,
                           const AcquireGranted& message) {
  if (calls_.Deliver(peer, message.call, message)) return;
  transport_->Send(peer, CancelAcquire{message.call});
}

void SlotClient::OnRefused(const HostIncarnation& peer,
                           const AcquireRefused& message) {
  calls_.Deliver(peer, message.call, message);
}

void SlotClient::OnLinkDown(const HostIncarnation& peer) {
  calls_.FailCallsTo(peer);
}

}  // namespace heatherlatch
