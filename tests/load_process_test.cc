// Tests the cost of load probes and the isolation of requests that crash
// servers.
#include <catch2/catch.hpp>
#include <thread>

#include "tests/harness/local_deployment.h"

namespace heatherlatch::testing {
namespace {

using standins::BackendFault;
using standins::BackendServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("probes stay within the budget of each server", "[promise-01]") {
  DeploymentOptions options;
  options.probe_cost = milliseconds(6);
  options.probe_budget = 0.01;
  LocalDeployment deployment(options);
  deployment.StartAll();
  std::uint64_t before = 0;
  deployment.ForServers("reads", [&](BackendServer& server) {
    before = std::max(before, server.Counts().probes);
  });
  std::this_thread::sleep_for(seconds(6));
  deployment.ForServers("reads", [&](BackendServer& server) {
    // 1% of 6 s is ten probes of 6 ms; one more may be left from the time
    // before. All hosts together keep to the budget, because only one host
    // probes each server.
    CHECK(server.Counts().probes <= before + 11);
    CHECK(server.Counts().probes >= 1);
  });
}

TEST_CASE("a request that crashes servers crashes at most two of them",
          "[promise-07]") {
  LocalDeployment deployment;
  deployment.StartAll();
  deployment.ForServers("reads", [](BackendServer& server) {
    BackendFault fault;
    fault.crash_marker = "poison";
    server.SetFault(fault);
  });
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    deployment.Read(i % 3, "/reads/poison");
    if (deployment.Read(i % 3).Outcome() == "ran") ++served;
    std::this_thread::sleep_for(milliseconds(50));
  }
  std::uint64_t crashes = 0;
  deployment.ForServers("reads", [&](BackendServer& server) {
    crashes += server.Counts().crashes;
  });
  CHECK(crashes <= 2);
  CHECK(served == 20);
  const HttpResponse refused = deployment.Read(0, "/reads/poison");
  CHECK(refused.status == 422);
  CHECK(refused.Outcome() == "not-run");
}

}  // namespace
}  // namespace heatherlatch::testing
