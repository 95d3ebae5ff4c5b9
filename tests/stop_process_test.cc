// Tests that planned stops under load interrupt no request.
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "tests/harness/local_deployment.h"

namespace heatherlatch::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a planned stop interrupts no request in flight",
          "[promise-09][known-red]") {
  DeploymentOptions options;
  options.write_time = milliseconds(1500);
  // Service times are random; the longest could exceed the usual deadline of 2
  // s.
  options.write_deadline = seconds(20);
  options.download_bytes = 4000000;
  options.download_bytes_per_second = 500000;
  LocalDeployment deployment(options);
  deployment.StartAll();
  const std::string ticket = deployment.IssueTicket(0);
  HttpResponse download;
  HttpResponse write;
  std::thread downloader([&] { download = deployment.Download(0); });
  std::thread writer([&] { write = deployment.WriteTicket(0, ticket); });
  REQUIRE(Eventually([&] { return deployment.AllRuns().size() >= 2; }));
  deployment.BeginStop(0);
  const HttpResponse late = deployment.Read(0);
  CHECK(late.Outcome() == "ran");
  downloader.join();
  writer.join();
  CHECK(deployment.WaitForStop(0) == 0);
  INFO(write.Reason());
  CHECK(write.Outcome() == "ran");
  CHECK(download.complete);
  CHECK(download.body.size() == options.download_bytes);
}

TEST_CASE("restarting every host in turn interrupts no request",
          "[promise-09]") {
  LocalDeployment deployment;
  deployment.StartAll();
  std::atomic<int> stopping{-1};
  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::string> problems;
  std::mutex mutex;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = caller; !stop; ++i) {
        // Skips a stopping host, as the platform's balancer does.
        const int host = i % 3;
        if (host == stopping) continue;
        const HttpResponse response = deployment.Read(host);
        if (response.complete && response.Outcome() == "ran") {
          ++served;
          continue;
        }
        ++failed;
        std::lock_guard lock(mutex);
        problems.push_back(response.Reason() + " at " + std::to_string(host));
      }
    });
  }
  for (int host = 0; host < 3; ++host) {
    std::this_thread::sleep_for(milliseconds(500));
    deployment.BeginStop(host);
    // The balancer keeps sending to the host for a while.
    std::this_thread::sleep_for(seconds(1));
    stopping = host;
    CHECK(deployment.WaitForStop(host) == 0);
    deployment.StartHost(host);
    deployment.WaitUntilReady(host);
    stopping = -1;
  }
  stop = true;
  for (std::thread& caller : callers) caller.join();
  for (const std::string& problem : problems) UNSCOPED_INFO(problem);
  CHECK(failed == 0);
  CHECK(served > 100);
}

}  // namespace
}  // namespace heatherlatch::testing
