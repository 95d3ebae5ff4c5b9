// Runs a complete profile: starts the workers, performs the timed actions and
// reports progress.
#ifndef PROGRAMS_LOAD_LOAD_RUN_H_
#define PROGRAMS_LOAD_LOAD_RUN_H_

#include <functional>

#include "programs/load/load_profile.h"
#include "programs/load/load_report.h"
#include "programs/load/load_worker.h"

namespace heatherlatch::load {

struct LoadResult {
  LoadReport report;
  Duration length{};
  int failed_actions = 0;
};

// @param progress     counters that other threads may read; setting
//                     `stopping` ends the run early
// @param on_progress  called about once a second while the run lasts
LoadResult RunLoad(const LoadProfile& profile, SharedProgress* progress,
                   const std::function<void()>& on_progress);

}  // namespace heatherlatch::load

#endif  // PROGRAMS_LOAD_LOAD_RUN_H_
