#include "heatherlatch/platform/platform_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "heatherlatch/backend/testing/raw_server.h"
#include "standins/common/free_port.h"
#include "standins/platform/platform_service.h"

namespace heatherlatch {
namespace {

using standins::PlatformFault;
using standins::PlatformService;
using standins::PlatformServiceOptions;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kLongWait(20);
constexpr const char* kList =
    R"({"hosts": [{"name": "entry-1", "region": "r1", "zone": "r1-a",
        "peer_endpoint": "127.0.0.1:7001", "state": "live"},
       {"name": "entry-2", "region": "r1", "zone": "r1-b",
        "peer_endpoint": "127.0.0.1:7002", "state": "leaving"}],
       "servers": [{"name": "tally-1", "state": "leaving"}]})";

bool NeverStopping() { return false; }

// A stand-in of the platform that listens on a free port.
struct RunningPlatform {
  explicit RunningPlatform(int reads_per_second = 2000) {
    do {
      options.listen = standins::FreeEndpoint();
      options.reads_per_second = reads_per_second;
      service = std::make_unique<PlatformService>(options);
    } while (!service->Start());
  }
  PlatformServiceOptions options;
  std::unique_ptr<PlatformService> service;
};

// @return the error of a failed call; std::nullopt if it did not fail
template <typename T>
std::optional<PlatformError> ErrorOf(const std::function<Result<T>()>& call) {
  std::optional<PlatformError> error;
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_CHECK(call());
        return {};
      },
      [&](const PlatformError& failure) { error = failure; },
      [&] { error = PlatformError{}; });
  return error;
}

std::optional<PlatformError> WatchError(PlatformClient* client, Duration wait) {
  return ErrorOf<std::optional<ConfigurationDocument>>(
      [&] { return client->WatchConfiguration(0, wait); });
}

std::optional<PlatformError> ListError(PlatformClient* client) {
  return ErrorOf<PlatformList>([&] { return client->ReadList(kLongWait); });
}

TEST_CASE("a watch returns the newest document") {
  RunningPlatform platform;
  PlatformClient client(platform.options.listen, &NeverStopping);
  platform.service->Publish("first");
  platform.service->Publish("second");
  const auto document = client.WatchConfiguration(0, kLongWait).value();
  REQUIRE(document.has_value());
  CHECK(document->revision == 2);
  CHECK(document->yaml == "second");
  CHECK_FALSE(client.WatchConfiguration(2, milliseconds(30)).value());
}

TEST_CASE("a watch waits for a newer document") {
  RunningPlatform platform;
  PlatformClient client(platform.options.listen, &NeverStopping);
  platform.service->Publish("first");
  std::thread publisher([&] {
    while (platform.service->Calls().waiting == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    platform.service->Publish("second");
  });
  const auto document = client.WatchConfiguration(1, kLongWait).value();
  publisher.join();
  REQUIRE(document.has_value());
  CHECK(document->revision == 2);
  CHECK(platform.service->Calls().configuration_reads == 1);
}

TEST_CASE("a watch ends when its process is stopping") {
  RunningPlatform platform;
  std::atomic<bool> stopping{false};
  PlatformClient client(platform.options.listen,
                        [&] { return stopping.load(); });
  std::thread stopper([&] {
    while (platform.service->Calls().waiting == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    stopping = true;
  });
  const TimePoint start = SteadyClock::now();
  CHECK(WatchError(&client, kLongWait).has_value());
  CHECK(SteadyClock::now() - start < kLongWait / 2);
  stopper.join();
}

TEST_CASE("a watch returns the older document of a stale service") {
  RunningPlatform platform;
  PlatformClient client(platform.options.listen, &NeverStopping);
  platform.service->Publish("first");
  platform.service->Publish("second");
  PlatformFault fault;
  fault.stale_revision = 1;
  platform.service->SetFault(fault);
  CHECK(client.WatchConfiguration(0, kLongWait).value()->revision == 1);
}

TEST_CASE("the stand-in takes a zone out of service") {
  RunningPlatform platform;
  PlatformClient client(platform.options.listen, &NeverStopping);
  CHECK_FALSE(platform.service->PublishZone("r1-a", false).has_value());
  platform.service->Publish("zones: [{name: r1-a, region: r1}]");
  CHECK_FALSE(platform.service->PublishZone("r1-b", false).has_value());
  CHECK(platform.service->PublishZone("r1-a", false) == 2u);
  const auto document = client.WatchConfiguration(1, kLongWait).value();
  CHECK(document->yaml ==
        "zones: [{name: r1-a, region: r1, in_service: false}]");
}

TEST_CASE("the hosts and backend servers of the list are read") {
  RunningPlatform platform;
  PlatformClient client(platform.options.listen, &NeverStopping);
  platform.service->SetHostList(kList);
  const PlatformList list = client.ReadList(kLongWait).value();
  REQUIRE(list.hosts.size() == 2);
  CHECK(list.hosts[0].name == HostName("entry-1"));
  CHECK(list.hosts[0].peer_endpoint == Endpoint{"127.0.0.1", 7001});
  CHECK_FALSE(list.hosts[0].leaving);
  CHECK(list.hosts[1].leaving);
  REQUIRE(list.servers.size() == 1);
  CHECK(list.servers[0].name == BackendServerName("tally-1"));
  CHECK(list.servers[0].leaving);
  SECTION("list that lags") {
    PlatformFault fault;
    fault.list_lag = kLongWait;
    platform.service->SetFault(fault);
    CHECK(client.ReadList(kLongWait).value().hosts.empty());
  }
}

TEST_CASE("a list with an invalid field is refused as a whole") {
  const std::string list =
      GENERATE("[]", "nonsense", R"({"hosts": []})",
               R"({"hosts": [], "servers": [{"name": "a", "state": "gone"}]})",
               R"({"hosts": [{"name": "a", "region": "r", "zone": "z",
          "peer_endpoint": "host:1", "state": "live"}], "servers": []})");
  RawServer server([&](RawConnection& connection) {
    connection.ReadRequest();
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(list.size()) + "\r\n\r\n" + list);
  });
  PlatformClient client(server.endpoint(), &NeverStopping);
  REQUIRE(ListError(&client).has_value());
  CHECK(ListError(&client)->problem == PlatformProblem::kMalformed);
}

TEST_CASE("each failure is reported as its own problem") {
  SECTION("down") {
    RunningPlatform platform;
    PlatformFault fault;
    fault.down = true;
    platform.service->SetFault(fault);
    PlatformClient client(platform.options.listen, &NeverStopping);
    CHECK(WatchError(&client, kLongWait)->problem ==
          PlatformProblem::kUnreachable);
  }
  SECTION("nothing listens") {
    PlatformClient client(standins::FreeEndpoint(), &NeverStopping);
    CHECK(ListError(&client)->problem == PlatformProblem::kUnreachable);
  }
  SECTION("above the read rate") {
    RunningPlatform platform(1);
    PlatformClient client(platform.options.listen, &NeverStopping);
    CHECK_FALSE(ListError(&client).has_value());
    const auto error = ListError(&client);
    REQUIRE(error.has_value());
    CHECK(error->problem == PlatformProblem::kRefused);
    CHECK(ToString(*error) ==
          "GET /v1/hosts: refused: the response has status 429");
    CHECK(platform.service->Calls().refused == 1);
  }
  SECTION("no response in time") {
    RunningPlatform platform;
    PlatformFault fault;
    fault.black_hole = true;
    platform.service->SetFault(fault);
    PlatformClient client(platform.options.listen, &NeverStopping);
    const auto error = ErrorOf<PlatformList>(
        [&] { return client.ReadList(milliseconds(100)); });
    CHECK(error->problem == PlatformProblem::kTimedOut);
  }
  SECTION("truncated document") {
    RawServer server([](RawConnection& connection) {
      connection.ReadRequest();
      connection.Send(
          "HTTP/1.1 200 OK\r\nX-Revision: 3\r\nContent-Length: 9\r\n\r\nhalf");
    });
    PlatformClient client(server.endpoint(), &NeverStopping);
    CHECK(WatchError(&client, kLongWait)->problem ==
          PlatformProblem::kMalformed);
  }
  SECTION("no revision") {
    RawServer server([](RawConnection& connection) {
      connection.ReadRequest();
      connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    });
    PlatformClient client(server.endpoint(), &NeverStopping);
    CHECK(WatchError(&client, kLongWait)->problem ==
          PlatformProblem::kMalformed);
  }
}

}  // namespace
}  // namespace heatherlatch
