// Tests that a published configuration reaches every host within a bound and
// that no host returns to an older revision.
#include <catch2/catch.hpp>
#include <thread>

#include "tests/harness/local_deployment.h"

namespace heatherlatch::testing {
namespace {

using standins::PlatformFault;
using std::chrono::seconds;

std::uint64_t RevisionAt(const LocalDeployment& deployment, std::size_t host) {
  return deployment.Status(host).value("revision", std::uint64_t{0});
}

bool RevisionEverywhereWithin(const LocalDeployment& deployment,
                              std::uint64_t revision, seconds timeout) {
  return Eventually(
      [&] {
        for (std::size_t host = 0; host < deployment.host_count(); ++host) {
          if (RevisionAt(deployment, host) != revision) return false;
        }
        return true;
      },
      timeout);
}

// The documented bound for a change to be in force on every host.
constexpr seconds kInForceBound(9);

TEST_CASE("a published set is in force on every host within 9 s",
          "[promise-10]") {
  DeploymentOptions options;
  options.hosts.push_back({"entry-5", "north", "north-b", false});
  LocalDeployment deployment(options);
  deployment.StartAll();
  CHECK(RevisionEverywhereWithin(deployment, deployment.Publish({"south-a"}),
                                 kInForceBound));
}

TEST_CASE("two concurrent publications leave the same set on every host",
          "[promise-10]") {
  LocalDeployment deployment;
  deployment.StartAll();
  std::thread first([&] { deployment.Publish({"south-a"}); });
  std::thread second([&] { deployment.Publish({"south-b"}); });
  first.join();
  second.join();
  CHECK(RevisionEverywhereWithin(deployment, 3, kInForceBound));
  const auto zones = deployment.Status(0)["zones"];
  for (std::size_t host = 1; host < deployment.host_count(); ++host) {
    CHECK(deployment.Status(host)["zones"] == zones);
  }
}

TEST_CASE("an invalid set is rejected and the previous one stays in force",
          "[promise-10]") {
  LocalDeployment deployment;
  deployment.StartAll();
  deployment.PublishText("regions: [{name: north}]\nzones: nonsense\n");
  INFO(deployment.Log(0));
  REQUIRE(Eventually([&] {
    return deployment.Log(0).find("HL5002") != std::string::npos ||
           deployment.Log(1).find("HL5002") != std::string::npos;
  }));
  CHECK(deployment.Read(0).Outcome() == "ran");
  CHECK(RevisionAt(deployment, 0) == 1);
  // Each reader reads a rejected set once, not repeatedly.
  const auto reads = deployment.platform().Calls().configuration_reads;
  std::this_thread::sleep_for(seconds(2));
  CHECK(deployment.platform().Calls().configuration_reads <= reads + 4);
  const std::uint64_t repaired = deployment.Publish({"south-a"});
  CHECK(RevisionEverywhereWithin(deployment, repaired, kInForceBound));
}

TEST_CASE(
    "a host that restarts while the platform is stale or down keeps the "
    "newest revision",
    "[promise-10][promise-03]") {
  LocalDeployment deployment;
  deployment.StartAll();
  const std::uint64_t newest = deployment.Publish({"north-a"});
  REQUIRE(RevisionEverywhereWithin(deployment, newest, kInForceBound));
  PlatformFault fault;
  SECTION("stale") { fault.stale_revision = 1; }
  SECTION("down") { fault.down = true; }
  deployment.platform().SetFault(fault);
  deployment.Kill(2);
  deployment.StartHost(2);
  deployment.WaitUntilReady(2);
  CHECK(RevisionAt(deployment, 2) == newest);
  CHECK(deployment.Read(2).Outcome() == "ran");
  for (const standins::Run& run : deployment.AllRuns()) {
    CHECK(run.server != "reads-1");
    CHECK(run.server != "reads-2");
  }
}

TEST_CASE("hosts continue to serve while the platform is down",
          "[promise-10]") {
  LocalDeployment deployment;
  deployment.StartAll();
  PlatformFault fault;
  fault.down = true;
  deployment.platform().SetFault(fault);
  std::this_thread::sleep_for(seconds(8));
  for (std::size_t host = 0; host < deployment.host_count(); ++host) {
    CHECK(deployment.Read(host).Outcome() == "ran");
  }
}

}  // namespace
}  // namespace heatherlatch::testing
