// Counters and latency histograms of a traffic host in Prometheus text format.
//
// prometheus-cpp is not used here: its headers cannot be installed alongside
// those of ulfius, and the platform's build may neither download nor unpack
// anything (docs/ARCHITECTURE.md).
//
// The number of series is bounded: labels are outcomes, never names of callers
// or requests. Responses are labelled by origin and status.
//
// Example:
//   metrics.Count("requests", "answered");
//   metrics.request_time.Observe(duration);
//   std::string page = metrics.Text();
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_TRAFFIC_METRICS_H_
#define HEATHERLATCH_TRAFFIC_TRAFFIC_METRICS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

class LatencyHistogram {
 public:
  void Observe(Duration duration);
  // Appends the series of the histogram, in seconds.
  // @param name  metric name without prefix, such as "request_seconds"
  void AppendTo(std::string_view name, std::string* out) const;

 private:
  // Upper bounds of the buckets, in milliseconds.
  static constexpr std::array<double, 12> kBounds = {
      1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000};
  std::array<std::uint64_t, kBounds.size() + 1> counts_{};
  double sum_milliseconds_ = 0;
};

// Who made a response to a caller.
enum class ResponseOrigin { kHost, kServer };

class TrafficMetrics {
 public:
  // Counts events of a family, such as ("requests", "answered").
  // @param number  how many, or how much of what the family measures
  void Count(std::string_view family, std::string_view outcome,
             std::uint64_t number = 1);

  // Counts one response to a caller.
  // @param status  the HTTP status
  void CountResponse(ResponseOrigin origin, unsigned status);

  // Sets a value that can rise and fall, such as "held_bytes".
  void SetGauge(std::string_view name, double value);

  // @return all series in Prometheus text format
  std::string Text() const;

  LatencyHistogram request_time;  // From a complete request to its response.
  LatencyHistogram
      placement_time;            // From a complete request to its first send.
  LatencyHistogram server_time;  // From a send to its response.
  // From a complete request to the end of its wait for a server, if it waited.
  LatencyHistogram queue_time;

 private:
  std::map<std::string, double, std::less<>> gauges_;
  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>,
           std::less<>>
      families_;
  std::map<std::pair<ResponseOrigin, unsigned>, std::uint64_t> responses_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_TRAFFIC_METRICS_H_
