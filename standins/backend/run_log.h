// The log of every run of every stand-in backend server in a process.
//
// Tests use it to check whether a request ran twice, where it ran, and whether
// a server ran more requests at once than it has slots.
//
// Thread safety: every method may be called from any thread.
#ifndef STANDINS_BACKEND_RUN_LOG_H_
#define STANDINS_BACKEND_RUN_LOG_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "heatherlatch/base/time.h"

namespace heatherlatch::standins {

enum class RunEnd { kRunning, kCompleted, kCancelled, kCrashed };

// One request that a server started to run.
struct Run {
  std::string key;         // Idempotency-Key; empty if none.
  std::string request_id;  // X-Request-Id; empty if none.
  std::string server;
  std::uint64_t boot_id = 0;
  WallTime start;
  WallTime end_time;
  RunEnd end = RunEnd::kRunning;
  int in_flight = 0;  // Runs of the server at `start`, including this one.
};

using RunId = std::size_t;

class RunLog {
 public:
  // Records the start of a run, now.
  // @return the number of the run, to be passed to `End`
  RunId Begin(Run run);

  // Records the end of a run, now. Only the first call for a run has an effect.
  void End(RunId id, RunEnd end);

  // @return the runs numbered `first` and above, in order
  std::vector<Run> RunsFrom(RunId first) const;

  // @return the idempotency keys that more than one run has
  std::vector<std::string> RepeatedKeys() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

// @return "running", "completed", "cancelled" or "crashed"
const char* ToString(RunEnd end);

}  // namespace heatherlatch::standins

#endif  // STANDINS_BACKEND_RUN_LOG_H_
