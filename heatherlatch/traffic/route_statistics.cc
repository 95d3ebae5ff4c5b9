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

}  // namespace

void RouteStatistics::OnAnswer(const RouteName& route, Duration service_time,
                               double slowness, std::size_t bytes) {
  Means& means = means_[route];
  ++means.count;
  const double weight = std::max(kNewWeight, 1.0 / means.count);
  const double milliseconds = ToMilliseconds(service_time) / slowness;
  means.service_milliseconds +=
      weight * (milliseconds - means.service_milliseconds);
  means.bytes += weight * (static_cast<double>(bytes) - means.bytes);
}

ExpectedWork RouteStatistics::Expect(const TrafficRoute& route) const {
  ExpectedWork work;
  work.latency_target = route.latency_target;
  const auto found = means_.find(route.name);
  if (found == means_.end()) {
    work.service_time = std::chrono::duration_cast<Duration>(
        route.latency_target * kShareOfTarget);
    work.answer_bytes = route.heavy ? kUsualDownloadBytes : 0;
    return work;
  }
  // A heavy route's answers may all have failed so far.
  work.service_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          found->second.service_milliseconds));
  work.answer_bytes = found->second.bytes;
  return work;
}

}  // namespace heatherlatch
