#include "heatherlatch/placement/internal/wait_queue.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// An organisation may have at most this many times as many requests in the fair
// queue as there are free places (dynamic threshold, Choudhury and Hahne 1998).
constexpr std::size_t kFreePlacesFactor = 4;

}  // namespace

bool WaitQueue::HasRoom(const OrganisationName& organisation) const {
  if (waiters_.size() >= max_waiting_) return false;
  const std::size_t left = max_waiting_ - waiters_.size();
  return fair_.SizeOf(organisation) < left * kFreePlacesFactor;
}

void WaitQueue::Add(const SlotRequest& request) {
  deadlines_.emplace(request.deadline, request.waiter);
  FairQueue::Position position =
      fair_.Push(request.organisation, request.weight, request.waiter);
  waiters_.emplace(request.waiter, Entry{request, std::move(position)});
}

const SlotRequest& WaitQueue::Get(WaiterId waiter) const {
  return waiters_.at(waiter).request;
}

void WaitQueue::RemoveFrom(const FairQueue::Position& position) {
  fair_.Remove(position);
}

void WaitQueue::RemoveFrom(const ParkedLocation& location) {
  const auto queue = parked_.find(location.excluded);
  queue->second.erase(location.sequence);
  if (queue->second.empty()) parked_.erase(queue);
}

void WaitQueue::RemoveFrom(const IsolatedLocation& location) {
  isolated_.erase(location.sequence);
}

SlotRequest WaitQueue::Erase(WaiterId waiter) {
  const auto found = waiters_.find(waiter);
  SlotRequest request = std::move(found->second.request);
  deadlines_.erase({request.deadline, waiter});
  waiters_.erase(found);
  return request;
}

SlotRequest WaitQueue::Take(WaiterId waiter) {
  if (fair_.Front() == waiter) {
    fair_.Pop(1);
    return Erase(waiter);
  }
  return *Remove(waiter);
}

std::optional<SlotRequest> WaitQueue::Remove(WaiterId waiter) {
  const auto found = waiters_.find(waiter);
  if (found == waiters_.end()) return std::nullopt;
  std::visit([this](const auto& location) { RemoveFrom(location); },
             found->second.location);
  return Erase(waiter);
}

void WaitQueue::Park(WaiterId waiter) {
  Entry& entry = waiters_.at(waiter);
  fair_.Pop(1);
  ExcludedServers excluded = entry.request.excluded;
  std::sort(excluded.begin(), excluded.end());
  parked_[excluded].emplace(next_sequence_, waiter);
  entry.location = ParkedLocation{std::move(excluded), next_sequence_};
  ++next_sequence_;
}

void WaitQueue::MoveToIsolated(WaiterId waiter) {
  fair_.Pop(isolated_cost_);
  isolated_.emplace(next_sequence_, waiter);
  waiters_.at(waiter).location = IsolatedLocation{next_sequence_};
  ++next_sequence_;
}

std::optional<WaiterId> WaitQueue::IsolatedFront() const {
  if (isolated_.empty()) return std::nullopt;
  return isolated_.begin()->second;
}

std::optional<std::pair<TimePoint, WaiterId>> WaitQueue::FirstDeadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return *deadlines_.begin();
}

std::size_t WaitQueue::CountAhead(const OrganisationName& organisation,
                                  int weight) const {
  const std::size_t outside_fair = waiters_.size() - fair_.size();
  return outside_fair + fair_.CountAhead(organisation, weight);
}

}  // namespace heatherlatch
