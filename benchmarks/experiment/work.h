// One request as a policy sees it, and how it ended.
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

enum class WorkEnd { kAnswered, kRefused, kFailed };
using Done = std::function<void(WorkEnd)>;

// @return how a request ended whose call ended so
inline WorkEnd EndOf(const CallReport& report) {
  return report.end == CallOutcome::kResponseReceived ? WorkEnd::kAnswered
                                                      : WorkEnd::kFailed;
}

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_WORK_H_
