#include "heatherlatch/queueing/waiting_queue.h"

#include <algorithm>
#include <tuple>

namespace heatherlatch {
namespace {

// The sends that determine the rate at which the queue drains: those of the
// last two seconds, if there are enough of them.
constexpr Duration kRateWindow = std::chrono::seconds(2);
constexpr std::size_t kMinSendsForRate = 8;
constexpr std::size_t kMaxSendsKept = 256;

// How much longer than expected a request may have to wait. A request is only
// refused for its expected wait if it would be too late by this factor.
constexpr double kRateTolerance = 0.75;

// Callers follow a Retry-After of up to this share of their time left.
constexpr double kMaxShareOfTimeLeft = 1.0 / 3;

auto SendRank(const WaitingRequest& request, TimePoint now) {
  const bool late = request.send_by < now;
  return std::make_tuple(late, request.priority,
                         late ? request.give_up_at : request.send_by);
}

}  // namespace

std::vector<std::uint64_t> WaitingQueue::Add(const WaitingRequest& request,
                                             TimePoint now) {
  const auto [position, is_new] = entries_.try_emplace(request.id);
  Entry& entry = position->second;
  if (is_new) entry.arrival = next_arrival_++;
  bytes_ = bytes_ - entry.request.bytes + request.bytes;
  entry.request = request;
  std::vector<std::uint64_t> refused;
  if (size() <= limits_.max_requests && bytes_ <= limits_.max_bytes) {
    return refused;
  }
  std::vector<std::uint64_t> order = Order(now);
  while (size() > limits_.max_requests || bytes_ > limits_.max_bytes) {
    refused.push_back(order.back());
    Remove(order.back());
    order.pop_back();
  }
  return refused;
}

void WaitingQueue::Remove(std::uint64_t id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  bytes_ -= found->second.request.bytes;
  entries_.erase(found);
}

void WaitingQueue::OnSent(TimePoint now) {
  sent_at_.push_back(now);
  if (sent_at_.size() > kMaxSendsKept) sent_at_.pop_front();
  if (++sends_since_longest_waiting_ > kSendsBetweenLongestWaiting) {
    sends_since_longest_waiting_ = 0;
  }
}

std::vector<std::uint64_t> WaitingQueue::Order(TimePoint now) const {
  std::vector<const Entry*> sorted;
  sorted.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) sorted.push_back(&entry);
  std::sort(sorted.begin(), sorted.end(),
            [now](const Entry* a, const Entry* b) {
              return std::make_pair(SendRank(a->request, now), a->arrival) <
                     std::make_pair(SendRank(b->request, now), b->arrival);
            });
  if (sends_since_longest_waiting_ == kSendsBetweenLongestWaiting) {
    const auto longest_waiting = std::min_element(
        sorted.begin(), sorted.end(),
        [](const Entry* a, const Entry* b) { return a->arrival < b->arrival; });
    if (longest_waiting != sorted.end()) {
      std::rotate(sorted.begin(), longest_waiting, longest_waiting + 1);
    }
  }
  std::vector<std::uint64_t> order;
  order.reserve(sorted.size());
  for (const Entry* entry : sorted) order.push_back(entry->request.id);
  return order;
}

std::vector<std::uint64_t> WaitingQueue::TakeOverdue(TimePoint now) {
  const std::optional<double> rate = SendRate(now);
  std::vector<std::uint64_t> overdue;
  double ahead = 0;
  for (const std::uint64_t id : Order(now)) {
    const TimePoint give_up_at = entries_.at(id).request.give_up_at;
    const Duration wait =
        rate ? FromMilliseconds(1000 * kRateTolerance * ahead / *rate)
             : Duration::zero();
    if (give_up_at <= now + wait) {
      overdue.push_back(id);
    } else {
      ++ahead;
    }
  }
  for (const std::uint64_t id : overdue) Remove(id);
  return overdue;
}

std::optional<double> WaitingQueue::SendRate(TimePoint now) const {
  const auto first =
      std::lower_bound(sent_at_.begin(), sent_at_.end(), now - kRateWindow);
  const auto count = static_cast<std::size_t>(sent_at_.end() - first);
  if (count < kMinSendsForRate) return std::nullopt;
  // A full record may cover less than the window.
  const Duration span = sent_at_.size() == kMaxSendsKept
                            ? std::min(kRateWindow, now - sent_at_.front())
                            : kRateWindow;
  const double seconds = std::max(ToMilliseconds(span), 1.0) / 1000;
  return static_cast<double>(count) / seconds;
}

std::optional<Duration> WaitingQueue::DrainTime(TimePoint now) const {
  const std::optional<double> rate = SendRate(now);
  if (!rate) return std::nullopt;
  return FromMilliseconds(1000 * static_cast<double>(size()) / *rate);
}

Duration RetryAfterRoom(Duration until_room, Duration time_left,
                        double sample) {
  const Duration longest =
      std::max(Duration::zero(), Scale(time_left, kMaxShareOfTimeLeft));
  return std::min(Scale(until_room, 1 + sample / 2), longest);
}

}  // namespace heatherlatch
