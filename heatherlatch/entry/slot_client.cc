#include "heatherlatch/entry/slot_client.h"

#include <thread>
#include <utility>

namespace heatherlatch {
namespace {

// How long one group is waited for while another one may be free.
constexpr auto kGroupPatience = std::chrono::milliseconds(250);
// How long to wait before asking again when the owners are in doubt.
constexpr auto kOwnerRetryDelay = std::chrono::milliseconds(20);

SlotRequest RequestOf(const SlotNeed& need) {
  SlotRequest request;
  request.organisation = need.organisation;
  request.weight = need.weight;
  request.deadline = need.deadline;
  request.excluded = need.excluded;
  request.isolated = need.isolated;
  return request;
}

bool CallerGone(const SlotNeed& need) {
  return need.cancelled && need.cancelled();
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
  unused.end = CallEnd::kNotUsed;
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

SlotResult SlotClient::Acquire(const SlotNeed& need) {
  NotRunReason reason = NotRunReason::kNoServer;
  while (true) {
    const auto snapshot = snapshots_->Get();
    const TimePoint now = SteadyClock::now();
    if (now >= need.deadline) return NotRun{reason};
    if (CallerGone(need)) return NotRun{NotRunReason::kCallerGone};
    const std::vector<GroupRoute> routes =
        directory_->Routes(*snapshot, *need.service, need.homes, now);
    bool retry_later = routes.empty();
    for (std::size_t i = 0; i < routes.size(); ++i) {
      AskResult asked = Ask(routes[i], need, i + 1 == routes.size());
      if (auto* lease = std::get_if<SlotLease>(&asked)) {
        return std::move(*lease);
      }
      const NoSlot& no_slot = std::get<NoSlot>(asked);
      reason = no_slot.reason;
      if (reason == NotRunReason::kCallerGone) return NotRun{reason};
      retry_later = retry_later || no_slot.retry_later;
    }
    if (!retry_later) return NotRun{reason};
    std::this_thread::sleep_for(kOwnerRetryDelay);
  }
}

SlotClient::AskResult SlotClient::Ask(const GroupRoute& route,
                                      const SlotNeed& need, bool is_last) {
  const TimePoint patience_end =
      is_last ? need.deadline
              : std::min(need.deadline, SteadyClock::now() + kGroupPatience);
  directory_->OnAsked(route.candidate.group);
  if (route.owner == self_) return AskSelf(route, need, patience_end);
  return AskPeer(route, need, patience_end);
}

SlotClient::AskResult SlotClient::AskSelf(const GroupRoute& route,
                                          const SlotNeed& need,
                                          TimePoint patience_end) {
  const GroupId group = route.candidate.group;
  const auto call = own_calls_.Open(self_);
  const std::uint64_t call_id = call->id();
  const auto release = [this, group](GrantId grant, const CallReport& report) {
    service_->Release(group, grant, report);
  };
  const WaiterId waiter = service_->Acquire(
      group, RequestOf(need),
      [this, call_id, release](const SlotAnswer& answer) {
        if (own_calls_.Deliver(self_, call_id, answer)) return;
        const auto* grant = std::get_if<Grant>(&answer.decision);
        if (grant == nullptr) return;
        CallReport unused;
        unused.end = CallEnd::kNotUsed;
        release(grant->id, unused);
      });
  const WaitEnd end = call->Wait(patience_end, need.cancelled);
  if (end != WaitEnd::kAnswered) {
    service_->Cancel(group, waiter);
    if (call->Wait(TimePoint(), nullptr) != WaitEnd::kAnswered) {
      const bool gone = end == WaitEnd::kCancelled;
      return NoSlot{gone ? NotRunReason::kCallerGone : NotRunReason::kQueueFull,
                    false};
    }
  }
  const SlotAnswer answer = call->Take();
  directory_->OnLoad(group, answer.load, SteadyClock::now());
  if (const auto* grant = std::get_if<Grant>(&answer.decision)) {
    const GrantId id = grant->id;
    return SlotLease(
        group, route.region, *grant,
        [release, id](const CallReport& report) { release(id, report); });
  }
  return NoSlot{std::get<NotRunReason>(answer.decision), answer.not_owner};
}

SlotClient::AskResult SlotClient::AskPeer(const GroupRoute& route,
                                          const SlotNeed& need,
                                          TimePoint patience_end) {
  const auto call = calls_.Open(route.owner);
  AcquireSlot message;
  message.call = call->id();
  message.group = route.candidate.group;
  message.organisation = need.organisation;
  message.weight = need.weight;
  message.time_left = need.deadline - SteadyClock::now();
  message.excluded = need.excluded;
  message.isolated = need.isolated;
  if (transport_->Send(route.owner, message) != SendResult::kSent) {
    return NoSlot{NotRunReason::kNoServer, true};
  }
  const WaitEnd end = call->Wait(patience_end, need.cancelled);
  if (end == WaitEnd::kAnswered) return OnReply(route, call->Take());
  if (end == WaitEnd::kPeerLost) return NoSlot{NotRunReason::kNoServer, true};
  transport_->Send(route.owner, CancelAcquire{call->id()});
  if (end == WaitEnd::kCancelled) {
    return NoSlot{NotRunReason::kCallerGone, false};
  }
  directory_->OnUnresponsive(route.owner, SteadyClock::now());
  return NoSlot{NotRunReason::kQueueFull, true};
}

SlotClient::AskResult SlotClient::OnReply(const GroupRoute& route,
                                          Reply reply) {
  const TimePoint now = SteadyClock::now();
  const GroupId& group = route.candidate.group;
  if (const auto* refused = std::get_if<AcquireRefused>(&reply)) {
    if (!refused->not_owner) directory_->OnLoad(group, refused->load, now);
    return NoSlot{refused->reason, refused->not_owner};
  }
  const auto& granted = std::get<AcquireGranted>(reply);
  directory_->OnLoad(group, granted.load, now);
  const Grant grant{granted.grant, granted.server, granted.endpoint,
                    now + granted.lease_left};
  const HostIncarnation owner = route.owner;
  return SlotLease(
      group, route.region, grant,
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
  calls_.LosePeer(peer);
}

}  // namespace heatherlatch
