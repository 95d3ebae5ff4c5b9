#include "heatherlatch/placement/internal/fair_queue.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// Virtual time charged for one slot at weight 1.
constexpr std::uint64_t kVirtualTimePerSlot = 1 << 20;

}  // namespace

void FairQueue::Activate(const OrganisationName& organisation, Flow* flow) {
  idle_.erase({flow->start, organisation});
  flow->start = std::max(flow->start, virtual_time_);
  active_.emplace(flow->start, organisation);
  active_weight_ += flow->weight;
}

void FairQueue::Deactivate(Flows::iterator flow) {
  active_weight_ -= flow->second.weight;
  idle_.emplace(flow->second.start, flow->first);
  DiscardIdle();
}

// An idle organisation is kept only while its virtual time is ahead of the
// queue's; discarding it earlier would let the organisation exceed its share.
void FairQueue::DiscardIdle() {
  while (!idle_.empty() &&
         (active_.empty() || idle_.begin()->first <= virtual_time_)) {
    flows_.erase(idle_.begin()->second);
    idle_.erase(idle_.begin());
  }
  if (active_.empty()) virtual_time_ = 0;
}

FairQueue::Position FairQueue::Push(const OrganisationName& organisation,
                                    int weight, WaiterId waiter) {
  Flow& flow = flows_[organisation];
  const int new_weight = std::max(weight, 1);
  if (flow.waiters.empty()) {
    flow.weight = new_weight;
    Activate(organisation, &flow);
  } else {
    active_weight_ += new_weight - flow.weight;
    flow.weight = new_weight;
  }
  ++size_;
  return {organisation, flow.waiters.insert(flow.waiters.end(), waiter)};
}

std::optional<WaiterId> FairQueue::Front() const {
  if (active_.empty()) return std::nullopt;
  return flows_.at(active_.begin()->second).waiters.front();
}

void FairQueue::Pop(int cost) {
  const auto first = active_.begin();
  const auto flow = flows_.find(first->second);
  virtual_time_ = first->first;
  active_.erase(first);
  --size_;
  flow->second.waiters.pop_front();
  flow->second.start += kVirtualTimePerSlot * cost / flow->second.weight;
  if (flow->second.waiters.empty()) {
    Deactivate(flow);
    return;
  }
  active_.emplace(flow->second.start, flow->first);
  DiscardIdle();
}

void FairQueue::Remove(const Position& position) {
  const auto flow = flows_.find(position.organisation);
  flow->second.waiters.erase(position.element);
  --size_;
  if (!flow->second.waiters.empty()) return;
  active_.erase({flow->second.start, flow->first});
  Deactivate(flow);
}

std::size_t FairQueue::SizeOf(const OrganisationName& organisation) const {
  const auto flow = flows_.find(organisation);
  return flow == flows_.end() ? 0 : flow->second.waiters.size();
}

std::size_t FairQueue::CountAhead(const OrganisationName& organisation,
                                  int weight) const {
  const std::size_t own = SizeOf(organisation);
  const int own_weight = std::max(weight, 1);
  const std::int64_t total_weight =
      active_weight_ + (own == 0 ? own_weight : 0);
  const std::size_t by_share = (own + 1) * total_weight / own_weight;
  return std::min(size_, by_share);
}

}  // namespace heatherlatch
