// One thread of a load run: sends requests when they are due, whether or not
// earlier ones have received a response, with libcurl's multi interface.
//
// Thread safety: `Run` is called once, in the thread of the worker.
#ifndef PROGRAMS_LOAD_LOAD_WORKER_H_
#define PROGRAMS_LOAD_LOAD_WORKER_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "heatherlatch/base/time.h"
#include "programs/load/load_profile.h"
#include "programs/load/load_report.h"

namespace heatherlatch::load {

// Counters and stop flag that the workers of a run share.
struct SharedProgress {
  std::atomic<std::uint64_t> started{0};
  std::atomic<std::uint64_t> ended{0};
  std::atomic<std::uint64_t> good{0};
  std::atomic<bool> stopping{false};
};

class LoadWorker {
 public:
  // @param worker_index  from 0; each worker sends an equal part of the rate
  LoadWorker(const LoadProfile& profile, int worker_index, TimePoint start,
             SharedProgress* progress);
  ~LoadWorker();

  // Sends until the last step is over, then waits for the transfers in
  // progress.
  void Run();

  // @return the results that `Run` has collected
  LoadReport TakeReport();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch::load

#endif  // PROGRAMS_LOAD_LOAD_WORKER_H_
