#include "heatherlatch/traffic/route_statistics.h"

#include <algorithm>

namespace heatherlatch {
namespace {

// The weight of a new answer in the mean: about the last twenty count.
constexpr double kNewWeight = 0.05;
// The usual time of a request as a share of its latency target, and the bytes
// of a download. Source: the users' sheets.
constexpr double kShareOfTarget = 0.4;
constexpr double kUsualDownloadBytes = 90'000;
// How much slower a nearly full server is until answers tell, and at most.
// Source: the users' sheets, where it is 1 or 1.7.
constexpr double kUsualNearlyFullFactor = 1.2;
constexpr double kLargestNearlyFullFactor = 2;
// Answers of either kind from which the factor is taken.
constexpr int kEnoughAnswers = 8;

}  // namespace

void RouteStatistics::Mean::Add(double added) {
  ++count;
  const double weight = std::max(kNewWeight, 1.0 / count);
  value += weight * (added - value);
}

void RouteStatistics::OnAnswer(const RouteName& route, Duration service_time,
                               double slowness, Occupancy occupancy,
                               std::size_t bytes) {
  Means& means = means_[route];
  means.bytes.Add(static_cast<double>(bytes));
  const double milliseconds = ToMilliseconds(service_time) / slowness;
  if (occupancy == Occupancy::kRoomy) means.milliseconds.Add(milliseconds);
  if (occupancy == Occupancy::kNearlyFull) {
    means.nearly_full_milliseconds.Add(milliseconds);
  }
}

ExpectedWork RouteStatistics::Expect(const TrafficRoute& route) const {
  ExpectedWork work;
  work.latency_target = route.latency_target;
  work.nearly_full_factor = kUsualNearlyFullFactor;
  work.service_time = Scale(route.latency_target, kShareOfTarget);
  work.answer_bytes = route.heavy ? kUsualDownloadBytes : 0;
  const auto found = means_.find(route.name);
  if (found == means_.end()) return work;
  const Means& means = found->second;
  work.answer_bytes = means.bytes.value;
  if (means.milliseconds.count > 0) {
    work.service_time = FromMilliseconds(means.milliseconds.value);
  }
  if (std::min(means.milliseconds.count,
               means.nearly_full_milliseconds.count) >= kEnoughAnswers) {
    const double factor =
        means.nearly_full_milliseconds.value / means.milliseconds.value;
    work.nearly_full_factor = std::clamp(factor, 1.0, kLargestNearlyFullFactor);
  }
  return work;
}

}  // namespace heatherlatch
