// Measures the telemetry calls made for each request: writing an event and
// updating the metrics.
#include <benchmark/benchmark.h>

#include "heatherlatch/telemetry/event_log.h"
#include "heatherlatch/telemetry/metrics.h"

namespace heatherlatch {
namespace {

constexpr int kUnlimitedLines = 2000000000;

EventLog& LogWith(int routine_lines_per_second) {
  static EventLog unlimited({"/dev/null", EventLevel::kInfo, kUnlimitedLines});
  static EventLog limited({"/dev/null", EventLevel::kInfo, 0});
  return routine_lines_per_second > 0 ? unlimited : limited;
}

std::vector<EventField> Fields() {
  return {{"request", "0b5a1f6e-1e4c-4a4e-9d60-1c2f8f1f7a55"},
          {"service", "tally-reads"},
          {"server", "tally-12"},
          {"zone", "semenanjung-utara-a"},
          {"wait_ms", "0.412"}};
}

void WriteRoutineLine(benchmark::State& state) {
  EventLog& log = LogWith(kUnlimitedLines);
  for (auto _ : state) log.Write(EventId::kPlaced, Fields());
}
BENCHMARK(WriteRoutineLine)->ThreadRange(1, 4)->UseRealTime();

void WriteAboveRateLimit(benchmark::State& state) {
  EventLog& log = LogWith(0);
  const auto fields = Fields();
  for (auto _ : state) log.Write(EventId::kPlaced, fields);
}
BENCHMARK(WriteAboveRateLimit)->ThreadRange(1, 4)->UseRealTime();

void EnabledAboveRateLimit(benchmark::State& s) {
  const EventLog& log = LogWith(0);
  for (auto _ : s) benchmark::DoNotOptimize(log.ShouldWrite(EventId::kPlaced));
}
BENCHMARK(EnabledAboveRateLimit)->ThreadRange(1, 4)->UseRealTime();

void EnabledBelowLevel(benchmark::State& s) {
  static const EventLog log({"/dev/null", EventLevel::kError, 0});
  for (auto _ : s) benchmark::DoNotOptimize(log.ShouldWrite(EventId::kPlaced));
}
BENCHMARK(EnabledBelowLevel);

void RequestEnded(benchmark::State& state) {
  static Metrics metrics;
  const ServiceName service("tally-reads");
  for (auto _ : state) {
    metrics.RequestEnded(service, Ran{}, std::chrono::milliseconds(8),
                         std::chrono::microseconds(400));
  }
}
BENCHMARK(RequestEnded)->ThreadRange(1, 4)->UseRealTime();

}  // namespace
}  // namespace heatherlatch

BENCHMARK_MAIN();
