// Tests that zones and servers taken out of service get no new work, and that
// no server is overloaded, cold or warm.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "tests/harness/local_deployment.h"

namespace heatherlatch::testing {
namespace {

using standins::BackendFault;
using standins::BackendServer;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Callers that send reads through the given hosts until `Stop`.
class ReadLoad {
 public:
  ReadLoad(const LocalDeployment& deployment, std::vector<std::size_t> hosts,
           int callers) {
    for (int i = 0; i < callers; ++i) {
      const std::size_t host = hosts[i % hosts.size()];
      threads_.emplace_back([this, &deployment, host] {
        while (!stop_) {
          const HttpResponse response = deployment.Read(host);
          ++(response.complete && response.Outcome() == "ran" ? served_
                                                              : not_served_);
        }
      });
    }
  }
  ~ReadLoad() { Stop(); }
  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }
  int served() const { return served_; }
  int not_served() const { return not_served_; }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<int> served_{0};
  std::atomic<int> not_served_{0};
  std::vector<std::thread> threads_;
};

// @return the number of runs that started at these servers after `time`
int RunsAfter(const LocalDeployment& deployment,
              const std::set<std::string>& servers, WallTime time) {
  int count = 0;
  for (const standins::Run& run : deployment.AllRuns()) {
    if (servers.count(run.server) > 0 && run.start > time) ++count;
  }
  return count;
}

const std::set<std::string> kNorthAReads = {"reads-1", "reads-2"};

TEST_CASE("a zone taken out of service gets no new work after 3 s",
          "[promise-03]") {
  DeploymentOptions options;
  options.hosts = {{"entry-1", "north", "north-a"},
                   {"entry-2", "north", "north-a", false},
                   {"entry-3", "north", "north-b"}};
  LocalDeployment deployment(options);
  deployment.StartAll();
  ReadLoad load(deployment, {0, 1, 2}, 6);
  REQUIRE(Eventually(
      [&] { return RunsAfter(deployment, kNorthAReads, WallTime()) > 50; }));
  // The second host has no connection to the platform; it receives the change
  // from its peers.
  deployment.Publish({"north-a"});
  std::this_thread::sleep_for(seconds(3));
  const WallTime bound = std::chrono::system_clock::now();
  std::this_thread::sleep_for(seconds(2));
  load.Stop();
  CHECK(RunsAfter(deployment, kNorthAReads, bound) == 0);
  CHECK(load.served() > 100);
}

TEST_CASE("a host paused during the change sends nothing to the zone",
          "[promise-03]") {
  LocalDeployment deployment;
  deployment.StartAll();
  deployment.Pause(0);
  deployment.Publish({"north-a"});
  std::this_thread::sleep_for(seconds(4));
  const WallTime bound = std::chrono::system_clock::now();
  std::vector<std::thread> callers;
  // The requests are queued in the sockets of the host when it resumes.
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back([&] { deployment.Read(0); });
  }
  std::this_thread::sleep_for(milliseconds(500));
  deployment.Resume(0);
  for (std::thread& caller : callers) caller.join();
  REQUIRE(Eventually([&] { return deployment.Read(0).Outcome() == "ran"; }));
  CHECK(RunsAfter(deployment, kNorthAReads, bound) == 0);
}

TEST_CASE("a leaving server gets no new work after 3 s", "[promise-08]") {
  LocalDeployment deployment;
  deployment.StartAll();
  ReadLoad load(deployment, {0, 1, 2}, 6);
  REQUIRE(Eventually(
      [&] { return RunsAfter(deployment, {"reads-1"}, WallTime()) > 20; }));
  SECTION("as listed by the platform") {
    deployment.SetLeavingServers({"reads-1"});
  }
  SECTION("as reported by the server itself") {
    BackendFault draining;
    draining.draining = true;
    deployment.server("reads-1").SetFault(draining);
  }
  std::this_thread::sleep_for(seconds(3));
  const WallTime bound = std::chrono::system_clock::now();
  const auto refused = deployment.server("reads-1").Counts().refused_draining;
  std::this_thread::sleep_for(seconds(2));
  load.Stop();
  CHECK(RunsAfter(deployment, {"reads-1"}, bound) == 0);
  CHECK(deployment.server("reads-1").Counts().refused_draining == refused);
  CHECK(load.not_served() == 0);
}

TEST_CASE("a server in cold start is not overloaded", "[promise-02]") {
  DeploymentOptions options;
  options.cold_time = seconds(3);
  LocalDeployment deployment(options);
  deployment.StartAll();
  ReadLoad load(deployment, {0, 1, 2}, 24);
  std::this_thread::sleep_for(seconds(5));
  SECTION("after an unannounced crash") {
    deployment.server("reads-1").Crash(milliseconds(200));
  }
  SECTION("without a restart") {
    deployment.server("reads-1").TurnCold(seconds(3));
  }
  std::this_thread::sleep_for(seconds(6));
  load.Stop();
  const auto counts = deployment.server("reads-1").Counts();
  // A second crash would be caused by overload.
  CHECK(counts.crashes <= 1);
  CHECK(deployment.Read(0).Outcome() == "ran");
}

TEST_CASE("no server gets more requests than slots in steady state",
          "[promise-02]") {
  LocalDeployment deployment;
  deployment.StartAll();
  ReadLoad load(deployment, {0, 1, 2}, 40);
  std::this_thread::sleep_for(seconds(5));
  load.Stop();
  deployment.ForServers("reads", [](BackendServer& server) {
    CHECK(server.Counts().overruns == 0);
    CHECK(server.Counts().most_in_flight <= server.options().slots);
  });
  CHECK(load.served() > 500);
}

}  // namespace
}  // namespace heatherlatch::testing
