#include "heatherlatch/traffic/service_queue.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/range/algorithm_ext/erase.hpp>
#include <utility>

#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {
namespace {

// How many requests in a row may decline a free slot before it is offered to no
// more of them. Those that follow in the order differ little.
constexpr int kMaxDeclines = 8;

// Age up to which a reading is offered: it came with the response that was
// just handled.
constexpr Duration kOfferedReadingMaxAge = std::chrono::milliseconds(5);

}  // namespace

ServiceQueue::ServiceQueue(TrafficContext* context, ServiceName service)
    : context_(context), service_(std::move(service)), timer_(*context->io) {}

ArrivalKind ServiceQueue::OnArrival(int priority, bool may_return,
                                    TimePoint now) {
  const ArrivalKind kind = returns_.OnArrival(may_return, now);
  CountReturns();
  if (kind == ArrivalKind::kNew) waiting_.OnArrival(priority, now);
  if (kind == ArrivalKind::kReturning) {
    context_->metrics.Count("returns", "came-without-place");
  }
  return kind;
}

void ServiceQueue::Join(const WaitingRequest& request, Waiter waiter) {
  const TimePoint now = SteadyClock::now();
  const bool is_new = !waiting_.Contains(request.id);
  waiters_[request.id] = std::move(waiter);
  Refuse(waiting_.Add(request, now), is_new ? request.id : 0);
  if (is_new) Refuse(waiting_.TakeOverdue(now), request.id);
  ArmTimer();
}

void ServiceQueue::Leave(std::uint64_t id) {
  waiting_.Remove(id);
  waiters_.erase(id);
  searched_.erase(id);
  beyond_zone_.erase(id);
  if (searcher_ == id) searcher_ = 0;
}

void ServiceQueue::OnReading(const BackendServerName& server, TimePoint now) {
  if (waiting_.empty()) return;
  std::optional<Candidate> candidate = context_->CandidateFor(server, now);
  if (!candidate) return;
  candidate->reading =
      context_->observations.Reading(server, kOfferedReadingMaxAge, now);
  if (!candidate->reading || !HasFreeSlot(*candidate->reading) ||
      candidate->failed_recently || candidate->cold ||
      !context_->observations.IsKnownToBeWarm(server, now)) {
    return;
  }
  Offer({{*candidate}, false}, 0);
}

void ServiceQueue::SearchBeyondZone(std::uint64_t id) {
  const auto position = waiters_.find(id);
  if (position == waiters_.end() || id == searcher_) return;
  beyond_zone_.insert(id);
  // A copy: the request may leave the queue while it searches.
  const Waiter waiter = position->second;
  waiter.search([this, id](const FoundServers& found) {
    if (beyond_zone_.erase(id) > 0) Offer(found, id, 1);
  });
}

void ServiceQueue::Offer(const FoundServers& found, std::uint64_t searcher,
                         std::size_t most) {
  int declines = 0;
  std::size_t sent = 0;
  for (const std::uint64_t id : waiting_.Order(SteadyClock::now())) {
    const auto position = waiters_.find(id);
    if (position == waiters_.end()) continue;
    if (declines >= kMaxDeclines && id != searcher) continue;
    const Waiter waiter = position->second;
    const bool placed = waiter.place(found, id == searcher);
    declines = placed ? 0 : declines + 1;
    if (placed && ++sent >= most) return;
  }
}

void ServiceQueue::Refuse(const std::vector<std::uint64_t>& ids,
                          std::uint64_t arriving) {
  for (const std::uint64_t id : ids) {
    const auto found = waiters_.find(id);
    if (found == waiters_.end()) continue;
    const Waiter waiter = std::move(found->second);
    Leave(id);
    const bool at_arrival = id == arriving;
    context_->metrics.Count(
        "waits", at_arrival ? "refused-at-arrival" : "refused-after-wait");
    waiter.refuse(at_arrival);
  }
}

Duration ServiceQueue::RetryAfter(Duration time_left, TimePoint now) {
  const double sample =
      std::uniform_real_distribution<double>(0, 1)(context_->rng);
  std::optional<ExpectedRoom> room = waiting_.Room(now);
  // Without waiting requests, it was not refused for want of room.
  if (waiting_.empty() || !room) {
    return RetryAfterRoom(kRetryAfter, time_left, sample);
  }
  room->from = std::max(kRetryAfter, room->from);
  const Return back = returns_.Grant(*room, time_left, sample, now);
  CountReturns();
  context_->metrics.Count(
      "returns", back.has_place ? "told-with-place" : "told-without-place");
  return back.after;
}

void ServiceQueue::CountReturns() {
  const ReturnCounts& counts = returns_.counts();
  for (; counted_returns_.used < counts.used; ++counted_returns_.used) {
    context_->metrics.Count("returns", "place-used");
  }
  for (; counted_returns_.expired < counts.expired;
       ++counted_returns_.expired) {
    context_->metrics.Count("returns", "place-expired");
  }
}

void ServiceQueue::ArmTimer() {
  if (timer_armed_ || waiting_.empty()) return;
  timer_armed_ = true;
  timer_.expires_after(kProbeAgainInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    timer_armed_ = false;
    if (!error) OnTimer();
  });
}

void ServiceQueue::OnTimer() {
  const TimePoint now = SteadyClock::now();
  context_->OnDue(timer_.expiry(), now);
  Refuse(waiting_.TakeOverdue(now), 0);
  Search();
  ArmTimer();
}

void ServiceQueue::Search() {
  if (searcher_ != 0 || waiting_.empty()) return;
  std::vector<std::uint64_t> order = waiting_.Order(SteadyClock::now());
  boost::remove_erase_if(
      order, [this](std::uint64_t id) { return beyond_zone_.count(id) > 0; });
  if (order.empty()) return;
  auto next = std::find_if(
      order.begin(), order.end(),
      [this](std::uint64_t id) { return searched_.count(id) == 0; });
  if (next == order.end()) {
    searched_.clear();
    next = order.begin();
  }
  searcher_ = *next;
  // A copy: the request may leave the queue while it searches.
  const Waiter waiter = waiters_.at(searcher_);
  waiter.search([this, id = searcher_](const FoundServers& found) {
    OnFound(id, found);
  });
}

void ServiceQueue::OnFound(std::uint64_t searcher, const FoundServers& found) {
  if (searcher_ != searcher) return;
  searcher_ = 0;
  const std::size_t waiting = waiting_.size();
  Offer(found, searcher);
  if (waiting_.size() < waiting) {
    searched_.clear();
    // Not from here, since a search may end before it returns.
    boost::asio::post(*context_->io, [this] { Search(); });
  } else if (waiting_.Contains(searcher)) {
    searched_.insert(searcher);
  }
}

}  // namespace heatherlatch
