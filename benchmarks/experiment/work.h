// One request that a policy places, and its result.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_WORK_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_WORK_H_

#include <functional>

#include "benchmarks/experiment/fleet.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch::experiment {

struct Work {
  int host = 0;  // The host that the caller connected to.
  TimePoint deadline;
  Duration service_time{};
};

enum class WorkResult { kCompleted, kRefused, kFailed };
using DoneCallback = std::function<void(WorkResult)>;

// @return the result of a request whose last call ended with `report`
inline WorkResult ResultOf(const CallReport& report) {
  return report.end == CallOutcome::kResponseReceived ? WorkResult::kCompleted
                                                      : WorkResult::kFailed;
}

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_WORK_H_
