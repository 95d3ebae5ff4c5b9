#include "heatherlatch/queueing/service_pace.h"

#include <algorithm>
#include <cmath>

namespace heatherlatch {
namespace {

// The sends that determine the rate: those of the last two seconds, if there
// are enough of them.
constexpr Duration kWindow = std::chrono::seconds(2);
constexpr std::size_t kMinSends = 8;
constexpr std::size_t kMaxKept = 256;

// With fewer sends, requests must have waited for so long, and the sends of up
// to so long count.
constexpr Duration kMinWaiting = std::chrono::milliseconds(250);
constexpr Duration kMaxWaiting = std::chrono::seconds(4);

// After a longer break, requests begin to be sent, or to wait, anew.
constexpr Duration kMaxBreak = std::chrono::milliseconds(500);

// @return the seconds of the window, or those since `since` if these are fewer
double SecondsOfWindow(TimePoint since, TimePoint now) {
  return std::max(ToMilliseconds(std::min(kWindow, now - since)), 1.0) / 1000;
}

// A full record may cover less than the window.
template <typename Record, typename TimeOf>
double CoveredSeconds(const std::deque<Record>& records, TimePoint now,
                      const TimeOf& time_of) {
  const TimePoint since =
      records.size() == kMaxKept ? time_of(records.front()) : now - kWindow;
  return SecondsOfWindow(since, now);
}

std::size_t CountSince(const std::deque<TimePoint>& times, TimePoint since) {
  return static_cast<std::size_t>(
      times.end() - std::lower_bound(times.begin(), times.end(), since));
}

}  // namespace

void ServicePace::OnSent(TimePoint now) {
  EndQuietTime(now);
  sent_at_.push_back(now);
  if (sent_at_.size() > kMaxKept) sent_at_.pop_front();
}

void ServicePace::OnArrival(int rank, TimePoint now) {
  arrivals_.push_back({now, rank});
  while (arrivals_.size() > kMaxKept || arrivals_.front().at < now - kWindow) {
    arrivals_.pop_front();
  }
}

void ServicePace::OnWaiting(TimePoint now) {
  EndQuietTime(now);
  if (!waiting_since_ || (none_waits_ && now - last_waiting_at_ > kMaxBreak)) {
    waiting_since_ = now;
  }
  none_waits_ = false;
  last_waiting_at_ = now;
}

void ServicePace::EndQuietTime(TimePoint now) {
  const TimePoint last = sent_at_.empty()
                             ? last_waiting_at_
                             : std::max(sent_at_.back(), last_waiting_at_);
  // Without a send while requests wait, it is the servers that are slow.
  if (none_waits_ && now - last > kMaxBreak) busy_since_ = now;
}

std::optional<double> ServicePace::SendsPerSecond(TimePoint now) const {
  TimePoint counted_since = std::max(busy_since_, now - kWindow);
  if (sent_at_.size() == kMaxKept) {
    counted_since = std::max(counted_since, sent_at_.front());
  }
  const std::size_t count = CountSince(sent_at_, counted_since);
  if (count >= kMinSends) {
    return static_cast<double>(count) / SecondsOfWindow(counted_since, now);
  }
  if (none_waits_ || now - *waiting_since_ < kMinWaiting) {
    return std::nullopt;
  }
  const TimePoint since = std::max(*waiting_since_, now - kMaxWaiting);
  // The next send may be due now.
  const auto sends = static_cast<double>(CountSince(sent_at_, since) + 1);
  return sends * 1000 / ToMilliseconds(now - since);
}

double ServicePace::ArrivalsCounted(std::optional<int> rank,
                                    TimePoint now) const {
  return static_cast<double>(std::count_if(
      arrivals_.begin(), arrivals_.end(), [&](const Arrival& arrival) {
        return (!rank || arrival.rank < *rank) && arrival.at >= now - kWindow;
      }));
}

std::optional<double> ServicePace::SendsLeft(std::optional<int> rank,
                                             double deviations,
                                             TimePoint now) const {
  const std::optional<double> sends = SendsPerSecond(now);
  if (!sends) return std::nullopt;
  const double counted = ArrivalsCounted(rank, now);
  const auto time_of = [](const Arrival& arrival) { return arrival.at; };
  const double seconds = CoveredSeconds(arrivals_, now, time_of);
  const double arrivals = counted / seconds;
  // The counts vary by their square roots.
  const double deviation = std::sqrt(counted + *sends * seconds) / seconds;
  return std::clamp(*sends - arrivals + deviations * deviation, 0.0, *sends);
}

}  // namespace heatherlatch
