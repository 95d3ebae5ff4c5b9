// Runs one policy under one load and scenario, and sums up what was seen.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_SCENARIO_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "benchmarks/experiment/fleet.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch::experiment {

enum class PolicyKind {
  kRandom,
  kTwoChoices,
  kLeastOutstanding,
  kOwnerPerServer,
  kOwnerPerGroup,
  kOwnerLocalFirst,
  kOwnerQueueCost,
  kOwnerUnbounded,
  kCentral,
};

enum class ScenarioKind {
  kSteady,
  kSkewed,      // Four fifths of the callers come to hosts of one zone.
  kBurst,       // Three times the load for two seconds; callers send again.
  kSlowServer,  // One server becomes ten times as slow.
  kZoneOut,     // One zone leaves for two seconds and comes back.
  kOwnerMove,   // One group moves; hosts learn of it over half a second.
  kOwnerSplit,  // Two owners grant the slots of one group for two seconds.
  kColdSigned,  // One zone restarts and its servers say that they are cold.
  kColdSilent,  // One zone restarts and its servers do not say so.
};

struct RunOptions {
  PolicyKind policy = PolicyKind::kOwnerPerGroup;
  ScenarioKind scenario = ScenarioKind::kSteady;
  ServiceConfig service;
  double load = 0.8;  // Share of the capacity of all slots.
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(10);
};

// Figures of the measured time, which begins after the warm-up.
struct RunResult {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t overruns = 0;  // Calls that a server shed.
  std::uint64_t resends = 0;
  double slots_used = 0;  // Share of slot time that ran requests.
  double p50_ms = 0;      // Milliseconds, of answered requests.
  double p99_ms = 0;
  double p999_ms = 0;
  // Of scenarios with an event: calls to the affected servers after it, time
  // of the last one before a pause in milliseconds, overruns of these servers.
  std::uint64_t affected_calls = 0;
  double left_after_ms = 0;
  std::uint64_t affected_overruns = 0;
  // Milliseconds after the event until the 90th percentile of 100 ms stays
  // below twice the former; -1 if it never does.
  double recovery_ms = 0;
  // Share of requests answered in the last second.
  double final_goodput = 0;
};

RunResult RunScenario(const RunOptions& options);

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_SCENARIO_H_
