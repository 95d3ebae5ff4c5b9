// A process started by a test.
//
// Thread safety: none.
#ifndef TESTS_HARNESS_CHILD_PROCESS_H_
#define TESTS_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace heatherlatch::testing {

class ChildProcess {
 public:
  // Starts a program. Throws std::runtime_error if that fails.
  // @param arguments  path of the program, then its arguments
  // @param output     file to which stdout and stderr are appended
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& output);
  // Kills the process with SIGKILL if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;
  pid_t pid() const { return pid_; }

  // Waits until the process ends.
  // @return its exit code, or the negated number of the signal that ended it;
  //     std::nullopt if it is still running after `timeout`
  std::optional<int> WaitForEnd(std::chrono::seconds timeout);

 private:
  pid_t pid_ = -1;
  std::optional<int> end_;
};

}  // namespace heatherlatch::testing

#endif  // TESTS_HARNESS_CHILD_PROCESS_H_
