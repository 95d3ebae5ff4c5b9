#include "benchmarks/experiment/owner_process.h"

#include <utility>

namespace heatherlatch::experiment {

OwnerProcess::OwnerProcess(EventLoop* loop, const GroupOptions& options,
                           const std::vector<GroupServer>& servers)
    : loop_(loop), scheduler_(options, loop->Now()) {
  SetServers(servers);
}

void OwnerProcess::SetServers(const std::vector<GroupServer>& servers) {
  Deliver(scheduler_.SetServers(servers, loop_->Now()));
}

void OwnerProcess::Acquire(SlotRequest request,
                           const DecisionCallback& on_decision) {
  request.waiter = next_waiter_++;
  const AcquireResult result = scheduler_.Acquire(request, loop_->Now());
  if (const auto* granted = std::get_if<SlotGranted>(&result)) {
    on_decision(SlotDecision(*granted));
  } else if (const auto* refused = std::get_if<SlotRefused>(&result)) {
    on_decision(SlotDecision(*refused));
  } else {
    waiting_.emplace(request.waiter, on_decision);
  }
  SetTimer();
}

void OwnerProcess::Release(GrantId grant, const CallReport& report) {
  Deliver(scheduler_.Release(grant, report, loop_->Now()));
}

void OwnerProcess::Deliver(const std::vector<SlotDecision>& decisions) {
  for (const SlotDecision& decision : decisions) {
    const WaiterId waiter =
        std::visit([](const auto& d) { return d.waiter; }, decision);
    const auto found = waiting_.find(waiter);
    const DecisionCallback on_decision = found->second;
    waiting_.erase(found);
    on_decision(decision);
  }
  SetTimer();
}

void OwnerProcess::SetTimer() {
  const auto next = scheduler_.NextDeadline();
  if (!next || *next >= timer_at_) return;
  timer_at_ = *next;
  loop_->At(timer_at_, [this] {
    timer_at_ = TimePoint::max();
    Deliver(scheduler_.Advance(loop_->Now()));
  });
}

}  // namespace heatherlatch::experiment
