#include "heatherlatch/placement/internal/waiting_line.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// An organisation may have at most this many times as many waiting requests as
// there are places left (dynamic threshold, Choudhury and Hahne 1998).
constexpr std::size_t kShareOfPlacesLeft = 4;

}  // namespace

bool WaitingLine::HasRoom(const OrganisationName& organisation) const {
  if (waiters_.size() >= max_waiting_) return false;
  const std::size_t left = max_waiting_ - waiters_.size();
  return fair_.SizeOf(organisation) < left * kShareOfPlacesLeft;
}

void WaitingLine::Add(const SlotRequest& request) {
  deadlines_.emplace(request.deadline, request.waiter);
  FairQueue::Position position =
      fair_.Push(request.organisation, request.weight, request.waiter);
  waiters_.emplace(request.waiter, Entry{request, std::move(position)});
}

const SlotRequest& WaitingLine::Get(WaiterId waiter) const {
  return waiters_.at(waiter).request;
}

void WaitingLine::Leave(const FairQueue::Position& position) {
  fair_.Remove(position);
}

void WaitingLine::Leave(const ParkedAt& place) {
  const auto queue = parked_.find(place.excluded);
  queue->second.erase(place.sequence);
  if (queue->second.empty()) parked_.erase(queue);
}

void WaitingLine::Leave(const IsolatedAt& place) {
  isolated_.erase(place.sequence);
}

SlotRequest WaitingLine::Erase(WaiterId waiter) {
  const auto found = waiters_.find(waiter);
  SlotRequest request = std::move(found->second.request);
  deadlines_.erase({request.deadline, waiter});
  waiters_.erase(found);
  return request;
}

SlotRequest WaitingLine::Take(WaiterId waiter) {
  if (fair_.Front() == waiter) {
    fair_.Pop(1);
    return Erase(waiter);
  }
  return *Remove(waiter);
}

std::optional<SlotRequest> WaitingLine::Remove(WaiterId waiter) {
  const auto found = waiters_.find(waiter);
  if (found == waiters_.end()) return std::nullopt;
  std::visit([this](const auto& place) { Leave(place); }, found->second.place);
  return Erase(waiter);
}

void WaitingLine::Park(WaiterId waiter) {
  Entry& entry = waiters_.at(waiter);
  fair_.Pop(1);
  ExcludedServers excluded = entry.request.excluded;
  std::sort(excluded.begin(), excluded.end());
  parked_[excluded].emplace(next_sequence_, waiter);
  entry.place = ParkedAt{std::move(excluded), next_sequence_};
  ++next_sequence_;
}

void WaitingLine::AwaitIsolation(WaiterId waiter) {
  fair_.Pop(isolated_cost_);
  isolated_.emplace(next_sequence_, waiter);
  waiters_.at(waiter).place = IsolatedAt{next_sequence_};
  ++next_sequence_;
}

std::optional<WaiterId> WaitingLine::IsolatedFront() const {
  if (isolated_.empty()) return std::nullopt;
  return isolated_.begin()->second;
}

std::optional<std::pair<TimePoint, WaiterId>> WaitingLine::FirstDeadline()
    const {
  if (deadlines_.empty()) return std::nullopt;
  return *deadlines_.begin();
}

std::size_t WaitingLine::AheadOf(const OrganisationName& organisation,
                                 int weight) const {
  const std::size_t outside_fair = waiters_.size() - fair_.size();
  return outside_fair + fair_.AheadOf(organisation, weight);
}

}  // namespace heatherlatch
