#include "standins/backend/run_log.h"

#include <map>
#include <utility>

namespace heatherlatch::standins {

RunId RunLog::Begin(Run run) {
  run.start = std::chrono::system_clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

void RunLog::End(RunId id, RunEnd end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Run& run = runs_[id];
  if (run.end != RunEnd::kRunning) return;
  run.end = end;
  run.end_time = std::chrono::system_clock::now();
}

std::vector<Run> RunLog::RunsFrom(RunId first) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (first >= runs_.size()) return {};
  return {runs_.begin() + static_cast<std::ptrdiff_t>(first), runs_.end()};
}

std::vector<std::string> RunLog::RepeatedKeys() const {
  std::map<std::string, int> counts;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Run& run : runs_) {
      if (!run.key.empty()) ++counts[run.key];
    }
  }
  std::vector<std::string> repeated;
  for (const auto& [key, count] : counts) {
    if (count > 1) repeated.push_back(key);
  }
  return repeated;
}

const char* ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kRunning:
      return "running";
    case RunEnd::kCompleted:
      return "completed";
    case RunEnd::kCancelled:
      return "cancelled";
    case RunEnd::kCrashed:
      return "crashed";
  }
  return "unknown";
}

}  // namespace heatherlatch::standins
