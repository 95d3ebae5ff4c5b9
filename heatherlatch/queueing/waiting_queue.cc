#include "heatherlatch/queueing/waiting_queue.h"

#include <algorithm>
#include <tuple>

namespace heatherlatch {
namespace {

// How much longer than expected a request may have to wait. A request is only
// refused for its expected wait if it would be too late by this factor.
constexpr double kRateTolerance = 0.75;

// Every so many sends, one goes to the request that has waited for the longest
// time, however many others arrive.
constexpr double kLeastShareOfSends =
    1.0 / (WaitingQueue::kSendsBetweenLongestWaiting + 1);

// What is assumed of rates that few requests tell, in standard deviations: a
// request is refused if its turn comes too late in the better case, and
// promised a place if there is room in the worse one.
constexpr double kToRefuse = 1;
constexpr double kToPromise = -1;

// An organisation comes after the others with what it has waiting and has sent
// lately beyond this many times the average, and beyond a few requests.
constexpr double kFairShareFactor = 1.5;
constexpr double kFairShareMinRequests = 2;

auto SendRank(const WaitingRequest& request, TimePoint now,
              bool beyond_fair_share = false) {
  const bool late = request.send_by < now;
  return std::make_tuple(late, request.priority, beyond_fair_share,
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
  pace_.OnWaiting(now);
  std::vector<std::uint64_t> refused;
  if (size() <= limits_.max_requests && bytes_ <= limits_.max_bytes) {
    return refused;
  }
  std::vector<std::uint64_t> order = Order(now);
  while (size() > limits_.max_requests || bytes_ > limits_.max_bytes) {
    // To refuse a request without a body would free no bytes.
    const bool needs_bytes = size() <= limits_.max_requests;
    const auto last =
        std::find_if(order.rbegin(), order.rend(), [&](std::uint64_t id) {
          return !needs_bytes || entries_.at(id).request.bytes > 0;
        });
    refused.push_back(*last);
    Remove(*last);
    order.erase(std::next(last).base());
  }
  return refused;
}

void WaitingQueue::Remove(std::uint64_t id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  bytes_ -= found->second.request.bytes;
  entries_.erase(found);
  if (entries_.empty()) pace_.OnNoneWaiting();
}

void WaitingQueue::OnSent(TimePoint now, const OrganisationName& organisation) {
  pace_.OnSent(now);
  usage_.OnSent(organisation, now);
  if (++sends_since_longest_waiting_ > kSendsBetweenLongestWaiting) {
    sends_since_longest_waiting_ = 0;
  }
}

std::set<std::uint64_t> WaitingQueue::BeyondFairShare(TimePoint now) const {
  std::map<OrganisationName, std::vector<const Entry*>> waiting;
  for (const auto& [id, entry] : entries_) {
    waiting[entry.request.organisation].push_back(&entry);
  }
  std::set<std::uint64_t> beyond;
  if (waiting.size() < 2) return beyond;
  double total = 0;
  for (const auto& [organisation, entries] : waiting) {
    total += usage_.Of(organisation, now) + static_cast<double>(entries.size());
  }
  const double allowed =
      std::max(kFairShareMinRequests,
               kFairShareFactor * total / static_cast<double>(waiting.size()));
  for (auto& [organisation, entries] : waiting) {
    double used = usage_.Of(organisation, now);
    if (used + static_cast<double>(entries.size()) <= allowed) continue;
    // Of its own requests, the most urgent ones count first.
    std::sort(entries.begin(), entries.end(),
              [now](const Entry* a, const Entry* b) {
                return std::make_pair(SendRank(a->request, now), a->arrival) <
                       std::make_pair(SendRank(b->request, now), b->arrival);
              });
    for (const Entry* entry : entries) {
      if (++used > allowed) beyond.insert(entry->request.id);
    }
  }
  return beyond;
}

std::vector<std::uint64_t> WaitingQueue::Order(TimePoint now) const {
  std::vector<const Entry*> sorted;
  sorted.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) sorted.push_back(&entry);
  const std::set<std::uint64_t> beyond = BeyondFairShare(now);
  const auto rank = [&](const Entry* entry) {
    const bool is_beyond = beyond.count(entry->request.id) > 0;
    return std::make_pair(SendRank(entry->request, now, is_beyond),
                          entry->arrival);
  };
  std::sort(sorted.begin(), sorted.end(),
            [&](const Entry* a, const Entry* b) { return rank(a) < rank(b); });
  if (sends_since_longest_waiting_ == kSendsBetweenLongestWaiting) {
    // A late one does not go before those that can still be in time.
    const auto is_late = [now](const Entry* entry) {
      return entry->request.send_by < now;
    };
    const auto longest_waiting = std::min_element(
        sorted.begin(), sorted.end(), [&](const Entry* a, const Entry* b) {
          return std::make_pair(is_late(a), a->arrival) <
                 std::make_pair(is_late(b), b->arrival);
        });
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
  std::vector<std::uint64_t> overdue;
  double ahead = 0;
  for (const std::uint64_t id : Order(now)) {
    const WaitingRequest& request = entries_.at(id).request;
    if (request.give_up_at <= ExpectedTurn(request, ahead, now)) {
      overdue.push_back(id);
    } else {
      ++ahead;
    }
  }
  for (const std::uint64_t id : overdue) Remove(id);
  return overdue;
}

TimePoint WaitingQueue::ExpectedTurn(const WaitingRequest& request,
                                     double ahead, TimePoint now) const {
  const std::optional<double> sends = pace_.SendsPerSecond(now);
  if (!sends) return now;
  const auto turn_at = [&](double sends_per_second) {
    const double rate = std::max(sends_per_second, *sends * kLeastShareOfSends);
    return now + FromMilliseconds(1000 * kRateTolerance * ahead / rate);
  };
  if (request.has_place) return turn_at(*sends);
  const TimePoint turn =
      turn_at(*pace_.SendsLeft(request.priority, kToRefuse, now));
  if (turn <= request.send_by) return turn;
  return turn_at(*pace_.SendsLeft(std::nullopt, kToRefuse, now));
}

std::optional<Duration> WaitingQueue::DrainTime(TimePoint now) const {
  const std::optional<double> rate = pace_.SendsPerSecond(now);
  if (!rate) return std::nullopt;
  return FromMilliseconds(1000 * static_cast<double>(size()) / *rate);
}

std::optional<ExpectedRoom> WaitingQueue::Room(TimePoint now) const {
  const std::optional<double> left =
      pace_.SendsLeft(std::nullopt, kToPromise, now);
  const std::optional<Duration> drain_time = DrainTime(now);
  if (!left || !drain_time) return std::nullopt;
  return ExpectedRoom{*drain_time, *left};
}

Duration RetryAfterRoom(Duration until_room, Duration time_left,
                        double sample) {
  return std::min(Scale(until_room, 1 + sample / 2),
                  LongestRetryAfter(time_left));
}

}  // namespace heatherlatch
