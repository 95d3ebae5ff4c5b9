#include "standins/backend/backend_fleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "heatherlatch/backend/backend_client.h"
#include "standins/common/free_port.h"

namespace heatherlatch::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kTimeout(20);

// A running fleet of one server, and a client.
struct RunningFleet {
  explicit RunningFleet(BackendServerOptions server) {
    std::optional<ListenProblem> problem;
    server.name = "tally-1";
    do {
      server.listen = FreeEndpoint();
      control = FreeEndpoint();
      fleet = std::make_unique<BackendFleet>(
          BackendFleetOptions{control, {server}});
      problem = fleet->Start();
    } while (problem);
    endpoint = server.listen;
  }

  BackendServer& server() { return *fleet->Find("tally-1"); }

  BackendResult Call(const std::string& target, Duration time = kTimeout,
                     const std::function<bool()>& cancelled = nullptr) {
    BackendRequest request;
    request.endpoint = endpoint;
    request.method = "GET";
    request.target = target;
    request.request_id = "request-1";
    request.request_key = "key-1";
    ResponseSink sink;
    sink.cancelled = cancelled;
    return client.Call(request, sink, SteadyClock::now() + time);
  }

  // Posts a fault to the control port.
  // @return the HTTP status of the response
  int Control(const std::string& body) {
    BackendRequest request;
    request.endpoint = control;
    request.method = "POST";
    request.target = "/standin/fault";
    request.body = body;
    const BackendResult result =
        client.Call(request, {}, SteadyClock::now() + kTimeout);
    return std::get<BackendResponded>(result.outcome).status;
  }

  Endpoint control;
  Endpoint endpoint;
  std::unique_ptr<BackendFleet> fleet;
  BackendClient client{{}};
};

BackendServerOptions FastServerOptions() {
  BackendServerOptions options;
  options.service_mean = milliseconds(1);
  options.connect_time = Duration::zero();
  return options;
}

BackendServerOptions SlowServerOptions() {
  BackendServerOptions options = FastServerOptions();
  options.service_mean = kTimeout * 4;
  return options;
}

template <typename Condition>
bool Eventually(const Condition& condition) {
  const TimePoint end = SteadyClock::now() + kTimeout;
  while (SteadyClock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(1));
  }
  return false;
}

std::optional<BackendNotRunReason> NotRunReasonOf(const BackendResult& result) {
  const auto* not_run = std::get_if<BackendNotRun>(&result.outcome);
  if (not_run == nullptr) return std::nullopt;
  return not_run->reason;
}

TEST_CASE("a run is logged and its response has the status headers") {
  RunningFleet running(FastServerOptions());
  const BackendResult result = running.Call("/tally/1");
  CHECK(std::get<BackendResponded>(result.outcome).status == 200);
  CHECK(result.body_bytes == running.server().options().response_bytes);
  CHECK(result.server_status.boot_id == running.server().Counts().boot_id);
  const std::vector<Run> runs = running.fleet->runs().RunsFrom(0);
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].key == "key-1");
  CHECK(runs[0].request_id == "request-1");
  CHECK(runs[0].end == RunEnd::kCompleted);
  CHECK(running.fleet->runs().RepeatedKeys().empty());
  running.Call("/tally/1");
  CHECK(running.fleet->runs().RepeatedKeys() ==
        std::vector<std::string>{"key-1"});
}

TEST_CASE("a full server sheds, and a closed connection frees its slot") {
  BackendServerOptions options = SlowServerOptions();
  options.slots = 1;
  RunningFleet running(options);
  std::atomic<bool> cancel_first{false};
  std::thread first_caller([&] {
    running.Call("/hold", kTimeout,
                 [&cancel_first] { return cancel_first.load(); });
  });
  REQUIRE(Eventually([&] { return running.server().Counts().in_flight == 1; }));
  CHECK(NotRunReasonOf(running.Call("/more")) == BackendNotRunReason::kShed);
  CHECK(running.server().Counts().overruns == 1);
  cancel_first = true;
  first_caller.join();
  CHECK(Eventually([&] { return running.server().Counts().in_flight == 0; }));
  CHECK(running.server().Counts().cancelled == 1);
}

TEST_CASE("a draining server refuses requests as draining") {
  RunningFleet running(FastServerOptions());
  CHECK(running.Control(R"({"server": "tally-*", "drain": true})") == 200);
  CHECK(NotRunReasonOf(running.Call("/a")) == BackendNotRunReason::kDraining);
  const ProbeResult probe = running.client.Probe(running.endpoint, kTimeout);
  CHECK(probe.server_status.draining);
  CHECK(running.Control(R"({"lie": true})") == 200);
  CHECK_FALSE(
      running.client.Probe(running.endpoint, kTimeout).server_status.draining);
  CHECK(running.Control(R"({"server": "x"})") == 404);
  CHECK(running.Control("[]") == 400);
}

TEST_CASE("an overloaded cold server crashes and restarts") {
  BackendServerOptions options = SlowServerOptions();
  options.cold_time = kTimeout * 4;
  options.restart_time = milliseconds(50);
  RunningFleet running(options);
  const std::uint64_t boot = running.server().Counts().boot_id;
  std::thread first_caller([&] { running.Call("/hold"); });
  REQUIRE(Eventually([&] { return running.server().Counts().in_flight == 1; }));
  const BackendResult second = running.Call("/more");
  CHECK(std::holds_alternative<BackendUnknown>(second.outcome));
  first_caller.join();
  CHECK(running.server().Counts().cold_overruns == 1);
  CHECK(Eventually([&] {
    const ProbeResult probe = running.client.Probe(running.endpoint, kTimeout);
    return probe.reachable && probe.server_status.boot_id != boot &&
           probe.server_status.cold;
  }));
  CHECK(running.fleet->runs().RunsFrom(0).at(0).end == RunEnd::kCrashed);
}

TEST_CASE("a request with the crash marker crashes its server") {
  BackendServerOptions options = FastServerOptions();
  options.restart_time = milliseconds(50);
  RunningFleet running(options);
  CHECK(running.Control(R"({"crash_on": "poison"})") == 200);
  CHECK(
      std::holds_alternative<BackendUnknown>(running.Call("/poison").outcome));
  CHECK(Eventually([&] {
    return std::holds_alternative<BackendResponded>(
        running.Call("/ok").outcome);
  }));
  CHECK(running.server().Counts().crashes == 1);
}

TEST_CASE("a truncated body or a missing response is unknown") {
  RunningFleet running(FastServerOptions());
  CHECK(running.Control(R"({"half_bodies": true})") == 200);
  CHECK(std::holds_alternative<BackendUnknown>(running.Call("/a").outcome));
  CHECK(running.Control(R"({"clear": true, "black_hole": true})") == 200);
  CHECK(std::holds_alternative<BackendUnknown>(
      running.Call("/b", milliseconds(100)).outcome));
  CHECK(running.Control(R"({"clear": true})") == 200);
  CHECK(std::holds_alternative<BackendResponded>(running.Call("/c").outcome));
}

TEST_CASE("a rate-limited response is complete") {
  BackendServerOptions options = FastServerOptions();
  options.response_bytes = 100000;
  options.bytes_per_second = 10000000;
  RunningFleet running(options);
  const BackendResult result = running.Call("/download");
  CHECK(std::holds_alternative<BackendResponded>(result.outcome));
  CHECK(result.body_bytes == options.response_bytes);
  CHECK(result.total >= milliseconds(10));
}

TEST_CASE("a fleet is parsed from YAML") {
  const auto fleet = ReadFleet(
      "control_port: 9100\n"
      "groups:\n"
      "  - {name: tally, count: 2, first_port: 9101, overload: queue,\n"
      "     service_mean_ms: 2.5}\n");
  const auto& options = std::get<BackendFleetOptions>(fleet);
  REQUIRE(options.servers.size() == 2);
  CHECK(options.servers[1].name == "tally-2");
  CHECK(options.servers[1].listen == Endpoint{"127.0.0.1", 9102});
  CHECK(options.servers[1].overload == OverloadPolicy::kQueue);
  CHECK(options.servers[1].service_mean == std::chrono::microseconds(2500));
  CHECK(std::holds_alternative<FleetProblem>(ReadFleet("groups: []")));
  CHECK(std::holds_alternative<FleetProblem>(
      ReadFleet("control_port: 1\ngroups: [{name: a, first_port: 2, "
                "overload: drop}]")));
}

}  // namespace
}  // namespace heatherlatch::standins
