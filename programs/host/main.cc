// The program heatherlatch-host: runs one traffic host on one event loop.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <random>
#include <string>

#include "heatherlatch/base/read_file.h"
#include "heatherlatch/settings/traffic_host_settings.h"
#include "heatherlatch/traffic/traffic_host.h"

namespace heatherlatch {
namespace {

enum ExitCode : int {
  kStoppedGracefully = 0,
  kInvalidSettings = 1,
  kCannotListen = 2,
  kUsageError = 3,
};

constexpr const char* kFooter = R"(Example:
  heatherlatch-host --settings /etc/heatherlatch/host.yaml

SIGTERM or SIGINT stops the host gracefully; SIGHUP reads its settings again.

Exit codes:
  0  stopped gracefully
  1  the settings have findings
  2  an endpoint cannot be listened on
  3  wrong usage, or the settings cannot be read)";

// The settings file, which the platform may replace at any time.
class SettingsFile {
 public:
  explicit SettingsFile(std::string path) : path_(std::move(path)) {}

  // Reads the file and prints every finding to standard error.
  // @return the settings, or the exit code if they cannot be used
  std::variant<TrafficHostSettings, ExitCode> Load() {
    std::optional<std::string> text = ReadFile(path_);
    if (!text) {
      std::cerr << "heatherlatch-host: settings file \"" << path_
                << "\" cannot be read\n";
      return kUsageError;
    }
    return Check(std::move(*text));
  }

  // @return the settings, if the file has changed since it was last read and
  //     is valid
  std::optional<TrafficHostSettings> LoadIfChanged() {
    std::optional<std::string> text = ReadFile(path_);
    // A file that is being replaced may be missing for a moment.
    if (!text || *text == text_) return std::nullopt;
    auto checked = Check(std::move(*text));
    auto* settings = std::get_if<TrafficHostSettings>(&checked);
    if (settings == nullptr) return std::nullopt;
    return std::move(*settings);
  }

 private:
  std::variant<TrafficHostSettings, ExitCode> Check(std::string text) {
    text_ = std::move(text);
    auto read = ReadTrafficHostSettings(text_);
    if (auto* settings = std::get_if<TrafficHostSettings>(&read)) {
      return std::move(*settings);
    }
    for (const Finding& finding : std::get<std::vector<Finding>>(read)) {
      std::cerr << path_ << ": " << ToString(finding) << "\n";
    }
    return kInvalidSettings;
  }

  std::string path_;
  std::string text_;  // The content that was last read.
};

int RunHost(const std::string& path) {
  SettingsFile file(path);
  const auto loaded = file.Load();
  if (const auto* code = std::get_if<ExitCode>(&loaded)) return *code;
  const auto reload = [&file] { return file.LoadIfChanged(); };
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        boost::asio::io_context io(1);
        TrafficHost host(&io, std::get<TrafficHostSettings>(loaded), reload,
                         STDOUT_FILENO, std::random_device{}());
        BOOST_LEAF_CHECK(host.Start());
        io.run();
        return kStoppedGracefully;
      },
      [](const ListenError& error) -> int {
        std::cerr << "heatherlatch-host: endpoint " << error.endpoint
                  << " cannot be listened on: " << error.detail << "\n";
        return kCannotListen;
      },
      []() -> int {
        std::cerr << "heatherlatch-host: the host could not be started\n";
        return kCannotListen;
      });
}

}  // namespace
}  // namespace heatherlatch

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("Serves callers on one host of the platform.");
  app.set_version_flag("--version", HEATHERLATCH_VERSION);
  app.footer(heatherlatch::kFooter);
  std::string settings;
  app.add_option("--settings", settings, "YAML file with the host's settings")
      ->envname("HEATHERLATCH_NODE_FILE")
      ->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : heatherlatch::kUsageError;
  }
  return heatherlatch::RunHost(settings);
}
