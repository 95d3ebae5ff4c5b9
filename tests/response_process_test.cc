// Tests that responses are complete, that refusals report the truth about
// execution, and that requests are served in their home regions only.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "tests/harness/local_deployment.h"

namespace heatherlatch::testing {
namespace {

using standins::BackendFault;
using standins::BackendServer;

TEST_CASE("a response cut off by a backend server never looks complete",
          "[promise-05]") {
  LocalDeployment deployment;
  deployment.StartAll();
  BackendFault fault;
  fault.truncate_bodies = true;
  for (const char* service : {"reads", "writes", "downloads"}) {
    deployment.ForServers(
        service, [&](BackendServer& server) { server.SetFault(fault); });
  }
  const HttpResponse read = deployment.Read(0);
  CHECK(read.status == 502);
  CHECK(read.Outcome() == "unknown");
  const HttpResponse download = deployment.Download(0);
  CHECK((!download.complete || download.status != 200));
  const std::string ticket = deployment.IssueTicket(0);
  const HttpResponse write = deployment.WriteTicket(0, ticket);
  CHECK(write.Outcome() == "unknown");
  CHECK(deployment.RunsOf(ticket).size() == 1);
}

TEST_CASE("late responses are delivered to their own request only",
          "[promise-05]") {
  DeploymentOptions options;
  options.read_time = std::chrono::milliseconds(100);
  LocalDeployment deployment(options);
  deployment.StartAll();
  std::vector<std::thread> callers;
  std::atomic<int> mismatched{0};
  for (int caller = 0; caller < 12; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 10; ++i) {
        HttpCall call;
        call.target = "/reads/caller-" + std::to_string(caller);
        const std::string id =
            "id-" + std::to_string(caller) + "-" + std::to_string(i);
        call.headers = {"X-Request-Id: " + id};
        // Every third call times out early, so its response arrives late.
        if (i % 3 == 0) call.timeout = std::chrono::milliseconds(40);
        const HttpResponse response = deployment.Send(caller % 3, call);
        if (!response.complete || response.status != 200) continue;
        if (response.Header("x-request-id") != id) ++mismatched;
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(mismatched == 0);
}

TEST_CASE("no request refused as not-run has been executed", "[promise-06]") {
  LocalDeployment deployment;
  deployment.StartAll();

  SECTION("no server is reachable") {
    deployment.ForServers("writes",
                          [](BackendServer& server) { server.Stop(); });
    const std::string ticket = deployment.IssueTicket(0);
    const HttpResponse response = deployment.WriteTicket(0, ticket);
    CHECK(response.Outcome() == "not-run");
    CHECK(deployment.RunsOf(ticket).empty());
  }
  SECTION("every server is draining") {
    BackendFault draining;
    draining.draining = true;
    deployment.ForServers(
        "writes", [&](BackendServer& server) { server.SetFault(draining); });
    const std::string ticket = deployment.IssueTicket(0);
    const HttpResponse response = deployment.WriteTicket(0, ticket);
    CHECK(response.Outcome() == "not-run");
    CHECK(deployment.RunsOf(ticket).empty());
  }
  SECTION("a server accepts the request and sends no response") {
    BackendFault unresponsive;
    unresponsive.black_hole = true;
    deployment.ForServers("writes", [&](BackendServer& server) {
      server.SetFault(unresponsive);
    });
    const std::string ticket = deployment.IssueTicket(0);
    const HttpResponse response = deployment.WriteTicket(0, ticket);
    CHECK(response.Outcome() == "unknown");
  }
}

TEST_CASE("a refused retry does not hide an earlier execution",
          "[promise-06]") {
  LocalDeployment deployment;
  deployment.StartAll();
  BackendFault crash;
  crash.crash_marker = "crashing";
  deployment.server("reads-1").SetFault(crash);
  // The retry finds no server: only zone north-a stays in service, and its
  // other server is stopped.
  deployment.server("reads-2").Stop();
  const std::uint64_t revision =
      deployment.Publish({"north-b", "south-a", "south-b"});
  REQUIRE(Eventually([&] {
    return deployment.Status(0).value("revision", std::uint64_t{0}) == revision;
  }));
  HttpCall call;
  call.target = "/reads/crashing";
  call.headers = {"X-Request-Id: retried"};
  const HttpResponse response = deployment.Send(0, call);
  const auto runs = deployment.AllRuns();
  REQUIRE(std::any_of(runs.begin(), runs.end(), [](const standins::Run& run) {
    return run.request_id == "retried";
  }));
  CHECK(response.Outcome() == "unknown");
}

TEST_CASE("an unchecked refusal of a keyed request is not reported as not-run",
          "[promise-06]") {
  LocalDeployment deployment;
  deployment.StartAll();
  const std::string ticket = deployment.IssueTicket(0);
  REQUIRE(deployment.WriteTicket(0, ticket).Outcome() == "ran");
  // The host in region south must not serve the route and has no record of the
  // ticket.
  const HttpResponse elsewhere = deployment.WriteTicket(3, ticket);
  CHECK(elsewhere.status == 421);
  CHECK(elsewhere.Outcome() == "unknown");
}

TEST_CASE("bad input gets an error response and affects no other request") {
  LocalDeployment deployment;
  deployment.StartAll();
  HttpCall call;
  call.target = "/reads/x";
  SECTION("a request head that is too large") {
    call.headers = {"X-Filler: " + std::string(60000, 'x')};
    CHECK(deployment.Send(0, call).status == 431);
  }
  SECTION("a request body that is too large") {
    call.method = "POST";
    call.target = "/writes/x";
    call.headers = {"Idempotency-Key: large"};
    call.body = std::string(3000000, 'x');
    CHECK(deployment.Send(0, call).status == 413);
    CHECK(deployment.RunsOf("large").empty());
  }
  SECTION("a path with dot segments") {
    call.target = "/reads/%2e%2e/writes";
    const HttpResponse response = deployment.Send(0, call);
    CHECK(response.status == 400);
    CHECK(response.body.find("segment") != std::string::npos);
  }
  CHECK(deployment.Read(0).Outcome() == "ran");
}

TEST_CASE("a request is served in its home regions only", "[promise-04]") {
  LocalDeployment deployment;
  deployment.StartAll();

  SECTION("a host outside them refuses and names the home regions") {
    const HttpResponse response = deployment.WriteKey(3, "k");
    CHECK(response.status == 421);
    CHECK(response.Header("heatherlatch-home-regions") == "north");
    CHECK(deployment.RunsOf("k").empty());
    CHECK(deployment.Log(3).find("request-body") == std::string::npos);
  }
  SECTION("every zone of the home region is out of service") {
    deployment.Publish({"north-a", "north-b"});
    const std::string ticket = deployment.IssueTicket(0);
    REQUIRE(Eventually(
        [&] { return deployment.Status(0).value("revision", 0) == 2; }));
    const HttpResponse response = deployment.WriteTicket(0, ticket);
    CHECK(response.Outcome() == "not-run");
    CHECK(deployment.RunsOf(ticket).empty());
  }
}

}  // namespace
}  // namespace heatherlatch::testing
