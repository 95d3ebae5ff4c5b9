#include "tests/harness/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

namespace heatherlatch::testing {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(10);

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& output) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A connection that the test closes would stay open as long as the program
  // holds its socket too.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int failed =
      posix_spawn(&pid_, argv.front(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start program " + arguments.front());
  }
}

ChildProcess::~ChildProcess() {
  if (end_) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::Signal(int signal) const {
  if (!end_) kill(pid_, signal);
}

std::optional<int> ChildProcess::WaitForEnd(std::chrono::seconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!end_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      end_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    } else {
      break;
    }
  }
  return end_;
}

}  // namespace heatherlatch::testing
