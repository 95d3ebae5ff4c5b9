// heatherlatch-load: sends an open-loop load to entry hosts or servers.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "heatherlatch/base/read_file.h"
#include "programs/load/load_run.h"

namespace {

using heatherlatch::load::LoadProfile;
using heatherlatch::load::LoadResult;
using heatherlatch::load::ProfileError;
using heatherlatch::load::SharedProgress;

constexpr int kExitBadProfile = 1;
constexpr int kExitNoSuccess = 2;
constexpr int kExitStopped = 3;
constexpr int kExitActionFailed = 4;
constexpr const char* kDescription =
    "Sends an open-loop load: a request starts when it is due, whether or not "
    "earlier\nones have been answered, and its latency counts from then.\n"
    "Example: heatherlatch-load --profile opening-rush.yaml --target "
    "127.0.0.1:8080\n"
    "docs/LOAD.md describes profiles. Only loopback targets are allowed.\n"
    "Exit codes: 0 done, 1 bad profile, 2 no request succeeded, 3 stopped by a "
    "signal,\n4 a timed action failed, others for wrong options.";

SharedProgress shared_progress;

void OnStopSignal(int /*signal*/) { shared_progress.stopping = true; }

std::string FolderOf(const std::string& path) {
  const auto slash = path.rfind('/');
  return slash == std::string::npos ? "" : path.substr(0, slash + 1);
}

void PrintProgress() {
  std::cerr << "\rstarted " << shared_progress.started << ", ended "
            << shared_progress.ended << ", good " << shared_progress.good
            << std::flush;
}

}  // namespace

int main(int argc, char** argv) {
  std::string profile_path;
  std::vector<std::string> targets;
  bool json = false;
  CLI::App app(kDescription, "heatherlatch-load");
  app.set_version_flag("--version", HEATHERLATCH_VERSION);
  app.add_option("--profile", profile_path, "YAML file of the load")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--target", targets,
                 "ADDRESS:PORT instead of the targets of the profile; may be "
                 "given several times");
  app.add_flag("--json", json, "Print the summary as JSON");
  CLI11_PARSE(app, argc, argv);

  auto parsed = heatherlatch::load::ReadProfile(
      heatherlatch::ReadFile(profile_path).value_or(""), FolderOf(profile_path),
      targets);
  if (const auto* error = std::get_if<ProfileError>(&parsed)) {
    std::cerr << profile_path << ": " << error->message << std::endl;
    return kExitBadProfile;
  }
  std::signal(SIGINT, &OnStopSignal);
  std::signal(SIGTERM, &OnStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  const bool is_terminal = isatty(STDERR_FILENO) == 1;
  const LoadResult result = heatherlatch::load::RunLoad(
      std::get<LoadProfile>(parsed), &shared_progress, [is_terminal] {
        if (is_terminal) PrintProgress();
      });
  if (is_terminal) std::cerr << "\n";
  if (json) {
    result.report.PrintJson(std::cout, result.length);
  } else {
    result.report.PrintTable(std::cout, result.length);
  }
  if (shared_progress.stopping) return kExitStopped;
  if (result.report.good() == 0) return kExitNoSuccess;
  if (result.failed_actions > 0) {
    std::cerr << result.failed_actions << " timed actions failed" << std::endl;
    return kExitActionFailed;
  }
  return 0;
}
