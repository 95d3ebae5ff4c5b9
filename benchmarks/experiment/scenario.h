// Runs one policy under one load and scenario, and summarises the results.
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
  kSkewed,      // Four fifths of the callers connect to one zone.
  kBurst,       // Three times the load for two seconds; callers resend.
  kSlowServer,  // One server takes ten times as long.
  kZoneOut,     // One zone is out of service for two seconds.
  kOwnerMove,   // One group moves; hosts are updated over 0.5 s.
  kOwnerSplit,  // Two owners grant the slots of one group for two seconds.
  kColdSigned,  // One zone restarts and its servers report that they are cold.
  kColdSilent,  // One zone restarts and its servers do not report it.
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
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t overruns = 0;  // Calls that a server shed.
  std::uint64_t resends = 0;
  double slots_used = 0;  // Share of slot time that ran requests.
  double p50_ms = 0;      // Milliseconds, of completed requests.
  double p99_ms = 0;
  double p999_ms = 0;
  // Of scenarios with an event: calls to the affected servers after it, time
  // from the event to the last call before the first pause of such calls (-1 if
  // there is no pause), overruns of these servers.
  std::uint64_t affected_calls = 0;
  double left_after_ms = 0;
  std::uint64_t affected_overruns = 0;
  // Milliseconds after the event until the 90th percentile of 100 ms stays
  // below twice that from before the event; -1 if it never does.
  double recovery_ms = 0;
  // Share of the requests of the second before the last one that are completed
  // at their first send.
  double final_goodput = 0;
};

RunResult RunScenario(const RunOptions& options);

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_SCENARIO_H_
