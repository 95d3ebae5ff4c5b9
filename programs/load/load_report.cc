#include "programs/load/load_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace heatherlatch::load {
namespace {

constexpr double kP50 = 0.5;
constexpr double kP99 = 0.99;
constexpr double kP999 = 0.999;

int SecondOf(Duration due) {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::seconds>(due).count());
}

double RatePerSecond(std::size_t count, Duration length) {
  return static_cast<double>(count) /
         std::chrono::duration<double>(length).count();
}

}  // namespace

Duration Percentile(std::vector<Duration> values, double fraction) {
  if (values.empty()) return Duration::zero();
  const auto rank = static_cast<std::size_t>(
      std::ceil(fraction * static_cast<double>(values.size())));
  const std::size_t index = std::max<std::size_t>(rank, 1) - 1;
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

void LoadReport::Add(const RequestResult& result) {
  rows_[{result.kind, result.outcome}].push_back(result.latency);
  Second& second = seconds_[SecondOf(result.due)];
  if (result.good) {
    second.good.push_back(result.latency);
  } else {
    ++second.other;
  }
}

void LoadReport::Merge(LoadReport other) {
  for (auto& [key, latencies] : other.rows_) {
    auto& own = rows_[key];
    own.insert(own.end(), latencies.begin(), latencies.end());
  }
  for (auto& [second, added] : other.seconds_) {
    Second& own = seconds_[second];
    own.good.insert(own.good.end(), added.good.begin(), added.good.end());
    own.other += added.other;
  }
  lateness_.insert(lateness_.end(), other.lateness_.begin(),
                   other.lateness_.end());
  resends_ += other.resends_;
  replays_ += other.replays_;
  not_sent_ += other.not_sent_;
}

std::vector<LatencyRow> LoadReport::Rows() const {
  std::vector<LatencyRow> rows;
  for (const auto& [key, latencies] : rows_) {
    rows.push_back({key.first, key.second, latencies.size(),
                    Percentile(latencies, kP50), Percentile(latencies, kP99),
                    Percentile(latencies, kP999), Percentile(latencies, 1)});
  }
  return rows;
}

std::vector<SecondRow> LoadReport::Seconds() const {
  std::vector<SecondRow> rows;
  for (const auto& [second, collected] : seconds_) {
    rows.push_back({second, collected.good.size(), collected.other,
                    Percentile(collected.good, kP99)});
  }
  return rows;
}

std::size_t LoadReport::total() const {
  std::size_t count = 0;
  for (const auto& [key, latencies] : rows_) count += latencies.size();
  return count;
}

std::size_t LoadReport::good() const {
  std::size_t count = 0;
  for (const auto& [number, second] : seconds_) count += second.good.size();
  return count;
}

void LoadReport::PrintTable(std::ostream& out, Duration length) const {
  char line[160];
  std::snprintf(line, sizeof(line), "%-16s %-36s %9s %9s %9s %9s %9s\n", "kind",
                "outcome", "count", "p50 ms", "p99 ms", "p99.9 ms", "max ms");
  out << line;
  for (const LatencyRow& row : Rows()) {
    std::snprintf(line, sizeof(line),
                  "%-16s %-36s %9zu %9.3f %9.3f %9.3f %9.3f\n",
                  row.kind.c_str(), row.outcome.c_str(), row.count,
                  ToMilliseconds(row.p50), ToMilliseconds(row.p99),
                  ToMilliseconds(row.p999), ToMilliseconds(row.max));
    out << line;
  }
  std::snprintf(line, sizeof(line),
                "%zu requests, %.0f/s; %llu resends, %llu replays, %llu not "
                "sent; sent late by p99 %.3f ms\n",
                total(), RatePerSecond(total(), length),
                static_cast<unsigned long long>(resends_),   // NOLINT
                static_cast<unsigned long long>(replays_),   // NOLINT
                static_cast<unsigned long long>(not_sent_),  // NOLINT
                ToMilliseconds(Percentile(lateness_, kP99)));
  out << line;
}

void LoadReport::PrintJson(std::ostream& out, Duration length) const {
  nlohmann::json rows = nlohmann::json::array();
  for (const LatencyRow& row : Rows()) {
    rows.push_back({{"kind", row.kind},
                    {"outcome", row.outcome},
                    {"count", row.count},
                    {"p50_ms", ToMilliseconds(row.p50)},
                    {"p99_ms", ToMilliseconds(row.p99)},
                    {"p999_ms", ToMilliseconds(row.p999)},
                    {"max_ms", ToMilliseconds(row.max)}});
  }
  nlohmann::json seconds = nlohmann::json::array();
  for (const SecondRow& row : Seconds()) {
    seconds.push_back({{"second", row.second},
                       {"good", row.good},
                       {"other", row.other},
                       {"p99_ms", ToMilliseconds(row.p99)}});
  }
  const nlohmann::json report = {
      {"rows", rows},
      {"seconds", seconds},
      {"total", total()},
      {"good", good()},
      {"rate_per_second", RatePerSecond(total(), length)},
      {"resends", resends_},
      {"replays", replays_},
      {"not_sent", not_sent_},
      {"late_p99_ms", ToMilliseconds(Percentile(lateness_, kP99))}};
  out << report.dump(2) << "\n";
}

}  // namespace heatherlatch::load
