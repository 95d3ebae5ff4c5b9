// A program that a test has started.
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
  // Starts a program.
  // @param arguments  the program's path and its arguments
  // @param output     file that receives what it prints
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& output);
  // Kills the program if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;

  // Waits for the end of the program.
  // @return its exit code, or minus the signal that ended it; none where it
  //     still runs after `timeout`
  std::optional<int> WaitForEnd(std::chrono::seconds timeout);

 private:
  pid_t pid_ = -1;
  std::optional<int> end_;
};

}  // namespace heatherlatch::testing

#endif  // TESTS_HARNESS_CHILD_PROCESS_H_
