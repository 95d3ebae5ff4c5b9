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

void ServiceQueue::Join(const WaitingRequest& request, Waiter waiter) {
  waiters_[request.id] = std::move(waiter);
  Refuse(waiting_.Add(request, SteadyClock::now()));
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

void ServiceQueue::Refuse(const std::vector<std::uint64_t>& ids) {
  for (const std::uint64_t id : ids) {
    const auto found = waiters_.find(id);
    if (found == waiters_.end()) continue;
    const Waiter waiter = std::move(found->second);
    Leave(id);
    waiter.refuse();
  }
}

Duration ServiceQueue::RetryAfter(Duration time_left, TimePoint now) {
  const Duration until_room =
      std::max(kRetryAfter, waiting_.DrainTime(now).value_or(kRetryAfter));
  const double sample =
      std::uniform_real_distribution<double>(0, 1)(context_->rng);
  return RetryAfterRoom(until_room, time_left, sample);
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
  Refuse(waiting_.TakeOverdue(now));
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
