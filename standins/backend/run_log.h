// The log of every run of every stand-in backend server in a process.
//
// A test reads it to see whether a request ran twice, where it ran, and
// whether a server was pushed past its slots.
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

// One request that a server began to run.
struct Run {
  std::string key;         // Idempotency-Key; empty if none.
  std::string request_id;  // X-Request-Id; empty if none.
  std::string server;
  std::uint64_t boot_id = 0;
  WallTime start;
  WallTime end_time;
  RunEnd end = RunEnd::kRunning;
  int in_flight = 0;  // Runs of the server at the start, this one included.
};

using RunId = std::size_t;

class RunLog {
 public:
  // @return the number of the run, for `End`
  RunId Begin(Run run);

  // Records the end of a run; a later end of the same run is ignored.
  void End(RunId id, RunEnd end);

  // @return every run from number `first` on
  std::vector<Run> RunsFrom(RunId first) const;

  // @return the keys that more than one run carries
  std::vector<std::string> RepeatedKeys() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

// @return "running", "completed", "cancelled" or "crashed"
const char* ToString(RunEnd end);

}  // namespace heatherlatch::standins

#endif  // STANDINS_BACKEND_RUN_LOG_H_
