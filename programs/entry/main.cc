// heatherlatch-entry: runs one entry host until it is stopped by a signal.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "heatherlatch/base/read_file.h"
#include "heatherlatch/entry/caller_server.h"
#include "heatherlatch/entry/entry_host.h"
#include "heatherlatch/peer/transport.h"
#include "heatherlatch/settings/host_settings.h"

namespace heatherlatch {
namespace {

enum ExitCode : int {
  kStoppedGracefully = 0,
  kSettingsRefused = 1,
  kCannotListen = 2,
  kUsage = 3,
};

constexpr const char* kFooter = R"(Example:
  heatherlatch-entry --settings /etc/heatherlatch/entry-1.yaml

SIGTERM or SIGINT stops the host gracefully.

Exit codes:
  0  stopped gracefully
  1  the settings have findings
  2  an endpoint cannot be listened on
  3  wrong usage, or the settings cannot be read)";

// Blocks the stop signals in this thread and in every thread that it starts, so
// that only `sigwait` receives them. Ignores SIGPIPE.
// @return the stop signals
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int RunHost(const HostSettings& settings) {
  const sigset_t signals = BlockStopSignals();
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        EntryHost host(settings);
        BOOST_LEAF_CHECK(host.Start());
        int received = 0;
        sigwait(&signals, &received);
        host.Stop();
        return kStoppedGracefully;
      },
      [](const ServerError& error) -> int {
        std::cerr << "heatherlatch-entry: " << ToString(error) << "\n";
        return kCannotListen;
      },
      [](const TransportError& error) -> int {
        std::cerr << "heatherlatch-entry: endpoint " << error.endpoint
                  << " cannot be listened on: " << error.detail << "\n";
        return kCannotListen;
      },
      []() -> int {
        std::cerr << "heatherlatch-entry: the host could not be started\n";
        return kCannotListen;
      });
}

int RunWithSettings(const std::string& path) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    std::cerr << "heatherlatch-entry: settings file \"" << path
              << "\" cannot be read\n";
    return kUsage;
  }
  const auto read = ReadHostSettings(*text);
  if (const auto* settings = std::get_if<HostSettings>(&read)) {
    return RunHost(*settings);
  }
  for (const Finding& finding : std::get<std::vector<Finding>>(read)) {
    std::cerr << path << ": " << ToString(finding) << "\n";
  }
  return kSettingsRefused;
}

}  // namespace
}  // namespace heatherlatch

int main(int argc, char** argv) {
  CLI::App app("Serves callers on one entry host.");
  app.set_version_flag("--version", HEATHERLATCH_VERSION);
  app.footer(heatherlatch::kFooter);
  std::string settings;
  app.add_option("--settings", settings, "YAML file with the host's settings")
      ->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : heatherlatch::kUsage;
  }
  return heatherlatch::RunWithSettings(settings);
}
