#include "heatherlatch/traffic/traffic_metrics.h"

#include <sstream>

namespace heatherlatch {
namespace {

constexpr char kMetricPrefix[] = "heatherlatch_";
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

void LatencyHistogram::Observe(Duration duration) {
  const double milliseconds = ToMilliseconds(duration);
  std::size_t bucket = 0;
  while (bucket < kBounds.size() && milliseconds > kBounds[bucket]) ++bucket;
  ++counts_[bucket];
  sum_milliseconds_ += milliseconds;
}

void LatencyHistogram::AppendTo(std::string_view name, std::string* out) const {
  std::ostringstream text;
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    total += counts_[i];
    text << kMetricPrefix << name << "_bucket{le=\"";
    if (i < kBounds.size()) {
      text << kBounds[i] / kMillisecondsPerSecond;
    } else {
      text << "+Inf";
    }
    text << "\"} " << total << "\n";
  }
  text << kMetricPrefix << name << "_sum "
       << sum_milliseconds_ / kMillisecondsPerSecond << "\n"
       << kMetricPrefix << name << "_count " << total << "\n";
  *out += text.str();
}

void TrafficMetrics::Count(std::string_view family, std::string_view outcome,
                           std::uint64_t number) {
  auto found = families_.find(family);
  if (found == families_.end()) {
    found = families_.try_emplace(std::string(family)).first;
  }
  auto& outcomes = found->second;
  auto counter = outcomes.find(outcome);
  if (counter == outcomes.end()) {
    counter = outcomes.try_emplace(std::string(outcome), 0).first;
  }
  counter->second += number;
}

void TrafficMetrics::CountResponse(ResponseOrigin origin, unsigned status) {
  ++responses_[{origin, status}];
}

void TrafficMetrics::SetGauge(std::string_view name, double value) {
  const auto found = gauges_.find(name);
  if (found != gauges_.end()) {
    found->second = value;
  } else {
    gauges_.emplace(name, value);
  }
}

std::string TrafficMetrics::Text() const {
  std::string out;
  for (const auto& [name, value] : gauges_) {
    out += kMetricPrefix + name + " " +
           std::to_string(static_cast<std::int64_t>(value)) + "\n";
  }
  for (const auto& [family, outcomes] : families_) {
    for (const auto& [outcome, count] : outcomes) {
      out += kMetricPrefix + family + "_total{outcome=\"" + outcome + "\"} " +
             std::to_string(count) + "\n";
    }
  }
  for (const auto& [labels, count] : responses_) {
    const auto& [origin, status] = labels;
    out += std::string(kMetricPrefix) + "responses_total{origin=\"" +
           (origin == ResponseOrigin::kHost ? "host" : "server") +
           "\",status=\"" + std::to_string(status) + "\"} " +
           std::to_string(count) + "\n";
  }
  request_time.AppendTo("request_seconds", &out);
  placement_time.AppendTo("placing_seconds", &out);
  server_time.AppendTo("server_seconds", &out);
  queue_time.AppendTo("queue_seconds", &out);
  return out;
}

}  // namespace heatherlatch
