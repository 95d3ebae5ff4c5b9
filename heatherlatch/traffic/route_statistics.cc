#include "heatherlatch/traffic/route_statistics.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// The weight of a new response in the means, so that about the last twenty
// responses determine them.
constexpr double kNewSampleWeight = 0.05;
// Estimates before the first response: the service time as a share of the
// latency target, and the response size of a bulk route. Both are the specified
// usual values.
constexpr double kDefaultShareOfTarget = 0.4;
constexpr double kDefaultBulkResponseBytes = 90'000;
// How much longer requests take on a nearly full server: the estimate until
// there are enough responses, and the upper bound. Specified are 1 and 1.7.
constexpr double kDefaultNearlyFullFactor = 1.2;
constexpr double kMaxNearlyFullFactor = 2;
// Responses of nearly full servers, and of others, that are each needed to
// estimate the factor.
constexpr int kMinResponsesForFactor = 8;

// How long after the last response the service time is trusted if it is longer
// than the usual value.
constexpr Duration kTrustedAfterResponse = std::chrono::seconds(5);

}  // namespace

std::optional<Duration> CertainServiceTime(Duration measured, Duration doubt,
                                           Duration expected) {
  if (doubt <= expected) return measured;
  const Duration certain = measured - doubt;
  if (certain > expected) return certain;
  return std::nullopt;
}

void RouteStatistics::MovingMean::Add(double added) {
  ++count;
  const double weight = std::max(kNewSampleWeight, 1.0 / count);
  value += weight * (added - value);
}

void RouteStatistics::RecordResponse(const RouteName& route,
                                     Duration service_time, double slowdown,
                                     Occupancy occupancy, std::size_t bytes,
                                     TimePoint now) {
  RouteMeans& means = means_[route];
  means.recorded_at = now;
  means.bytes.Add(static_cast<double>(bytes));
  const double milliseconds = ToMilliseconds(service_time) / slowdown;
  if (occupancy == Occupancy::kAvailable) means.milliseconds.Add(milliseconds);
  if (occupancy == Occupancy::kNearlyFull) {
    means.nearly_full_milliseconds.Add(milliseconds);
  }
}

ExpectedWork RouteStatistics::Expect(const TrafficRoute& route,
                                     TimePoint now) const {
  ExpectedWork work;
  work.latency_target = route.latency_target;
  work.nearly_full_factor = kDefaultNearlyFullFactor;
  work.service_time = Scale(route.latency_target, kDefaultShareOfTarget);
  work.response_bytes = route.bulk ? kDefaultBulkResponseBytes : 0;
  const auto found = means_.find(route.name);
  if (found == means_.end()) return work;
  const RouteMeans& means = found->second;
  work.response_bytes = means.bytes.value;
  if (means.milliseconds.count > 0) {
    const Duration mean = FromMilliseconds(means.milliseconds.value);
    const bool is_trusted = now - means.recorded_at < kTrustedAfterResponse;
    work.service_time = is_trusted ? mean : std::min(mean, work.service_time);
  }
  if (std::min(means.milliseconds.count,
               means.nearly_full_milliseconds.count) >=
      kMinResponsesForFactor) {
    const double factor =
        means.nearly_full_milliseconds.value / means.milliseconds.value;
    work.nearly_full_factor = std::clamp(factor, 1.0, kMaxNearlyFullFactor);
  }
  return work;
}

}  // namespace heatherlatch
