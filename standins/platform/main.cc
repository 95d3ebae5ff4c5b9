// standin-platform: a stand-in for the platform, for tests and trials.
#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "heatherlatch/base/read_file.h"
#include "standins/common/stop_signal.h"
#include "standins/platform/platform_service.h"

namespace {

using heatherlatch::standins::PlatformService;
using heatherlatch::standins::PlatformServiceOptions;

constexpr int kExitCannotListen = 2;
constexpr const char* kDescription =
    "Stands in for the platform: serves a configuration and a list of hosts.\n"
    "Example: standin-platform --port 9000 --configuration set.yaml "
    "--hosts hosts.json\n"
    "Exit codes: 0 after SIGTERM, 2 when the port cannot be used, others for "
    "wrong options.";

}  // namespace

int main(int argc, char** argv) {
  heatherlatch::standins::BlockStopSignals();
  PlatformServiceOptions options;
  options.listen.address = "127.0.0.1";
  std::string configuration_path;
  std::string list_path;
  CLI::App app(kDescription, "standin-platform");
  app.set_version_flag("--version", HEATHERLATCH_VERSION);
  app.add_option("--address", options.listen.address, "IPv4 address")
      ->capture_default_str();
  app.add_option("--port", options.listen.port, "Port")->required();
  app.add_option("--configuration", configuration_path, "YAML file to publish")
      ->check(CLI::ExistingFile);
  app.add_option("--hosts", list_path, "JSON file that GET /v1/hosts returns")
      ->check(CLI::ExistingFile);
  app.add_option("--revision", options.first_revision, "First revision")
      ->capture_default_str();
  app.add_option("--reads-per-second", options.reads_per_second,
                 "Reads above this rate are refused with status 429")
      ->capture_default_str();
  app.add_option("--max-connections", options.max_connections, "Connections")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);

  PlatformService service(options);
  if (!configuration_path.empty()) {
    service.Publish(heatherlatch::ReadFile(configuration_path).value_or(""));
  }
  if (!list_path.empty()) {
    service.SetHostList(heatherlatch::ReadFile(list_path).value_or(""));
  }
  if (!service.Start()) {
    std::cerr << "cannot listen on " << options.listen << std::endl;
    return kExitCannotListen;
  }
  std::cout << "listening on " << options.listen << std::endl;
  heatherlatch::standins::WaitForStopSignal();
  return 0;
}
