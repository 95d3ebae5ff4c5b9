// standin-backend: a set of stand-in backend servers in one process.
#include <CLI/CLI.hpp>
#include <iostream>
#include <string>
#include <utility>

#include "heatherlatch/base/read_file.h"
#include "standins/backend/backend_fleet.h"
#include "standins/common/stop_signal.h"

namespace {

using heatherlatch::standins::BackendFleet;
using heatherlatch::standins::BackendFleetOptions;
using heatherlatch::standins::FleetProblem;

constexpr int kExitBadFleet = 1;
constexpr int kExitCannotListen = 2;
constexpr const char* kDescription =
    "Stands in for backend servers: one port each, in one process.\n"
    "Example: standin-backend --fleet fleet.yaml\n"
    "with fleet.yaml:\n"
    "  control_port: 9100\n"
    "  groups:\n"
    "    - {name: tally, count: 20, first_port: 9101, slots: 3}\n"
    "docs/STAND-INS.md lists every field and the control calls.\n"
    "Exit codes: 0 after SIGTERM, 1 for a bad fleet file, 2 when a port cannot "
    "be used, others for wrong options.";

}  // namespace

int main(int argc, char** argv) {
  heatherlatch::standins::BlockStopSignals();
  std::string fleet_path;
  CLI::App app(kDescription, "standin-backend");
  app.set_version_flag("--version", HEATHERLATCH_VERSION);
  app.add_option("--fleet", fleet_path, "YAML file of the servers")
      ->required()
      ->check(CLI::ExistingFile);
  CLI11_PARSE(app, argc, argv);

  auto read = heatherlatch::standins::ReadFleet(
      heatherlatch::ReadFile(fleet_path).value_or(""));
  if (const auto* problem = std::get_if<FleetProblem>(&read)) {
    std::cerr << fleet_path << ": " << problem->text << std::endl;
    return kExitBadFleet;
  }
  auto& options = std::get<BackendFleetOptions>(read);
  const auto control = options.control;
  const std::size_t servers = options.servers.size();
  BackendFleet fleet(std::move(options));
  if (const auto problem = fleet.Start()) {
    std::cerr << "cannot listen on " << problem->endpoint << std::endl;
    return kExitCannotListen;
  }
  std::cout << "listening on " << control << " for control, " << servers
            << " servers" << std::endl;
  heatherlatch::standins::WaitForStopSignal();
  return 0;
}
