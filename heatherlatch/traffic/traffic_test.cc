#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "heatherlatch/traffic/configuration_basis.h"
#include "heatherlatch/traffic/decision_log.h"
#include "heatherlatch/traffic/exchange.h"
#include "heatherlatch/traffic/peer_requests.h"
#include "heatherlatch/traffic/route_statistics.h"
#include "heatherlatch/traffic/traffic_metrics.h"

namespace heatherlatch {
namespace {

const TimePoint kNow{std::chrono::seconds(1000)};

using std::chrono::milliseconds;

struct Pipe {
  Pipe() { REQUIRE(::pipe(ends) == 0); }
  ~Pipe() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  std::string ReadSome() const {
    std::string bytes(1 << 20, '\0');
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t size = ::read(ends[0], bytes.data(), bytes.size());
    bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return bytes;
  }
  int ends[2];
};

TEST_CASE(
    "a log line is one JSON object, whatever characters its fields contain") {
  Pipe pipe;
  DecisionLog log(pipe.ends[1], 100'000);
  log.Write("placed", {{"request", "a\"b\\c\n\x01"}, {"waited_ms", 1.5}});
  log.Flush();
  const std::string line = pipe.ReadSome();
  CHECK(line.find('\n') == line.size() - 1);
  const auto read = nlohmann::json::parse(line);
  CHECK(read.at("event") == "placed");
  CHECK(read.at("request") == "a\"b\\c\n\x01");
  CHECK(read.at("waited_ms") == 1.5);
}

TEST_CASE("a refusal is logged with a bounded, printable target") {
  RouteTable table;
  table.version = 7;
  TableConfirmation confirmation;
  const TimePoint now{milliseconds(5000)};
  const std::string target = "/\xff" + std::string(1000, 'x');
  const ConfigurationBasis never("h", target, &table, confirmation, now);
  CHECK(std::get<std::string_view>(never.target()).size() ==
        kMaxLoggedNameBytes);
  CHECK(std::get<std::string_view>(never.target()).substr(0, 3) == "/?x");
  CHECK(std::get<double>(never.version()) == 7);
  CHECK(std::holds_alternative<std::monostate>(never.age_ms()));
  CHECK(std::holds_alternative<std::monostate>(never.source()));
  CHECK(std::holds_alternative<std::monostate>(never.hops()));
  confirmation.confirmed_at = now - milliseconds(300);
  confirmation.origin = {PeerSource{{"10.0.0.1", 80}}, 1};
  const ConfigurationBasis basis("h", "/", nullptr, confirmation, now);
  CHECK(std::get<double>(basis.version()) == 0);
  CHECK(std::get<double>(basis.age_ms()) == Approx(300));
  CHECK(std::get<std::string_view>(basis.source()) == "10.0.0.1:80");
  CHECK(std::get<double>(basis.hops()) == 1);
}

TEST_CASE("a full log buffer drops lines and reports how many") {
  Pipe pipe;
  constexpr std::size_t kMaxBufferedBytes = 20'000;
  DecisionLog log(pipe.ends[1], kMaxBufferedBytes);
  constexpr int kLines = 20'000;
  for (int i = 0; i < kLines; ++i) {
    log.Write("line", {{"number", static_cast<double>(i)}});
  }
  CHECK(log.dropped_lines() > 0);
  std::string read;
  for (int i = 0; i < 20; ++i) {
    read += pipe.ReadSome();
    log.Flush();
  }
  log.Write("last", {});
  log.Flush();
  read += pipe.ReadSome();
  std::uint64_t reported = 0;
  std::uint64_t lines = 0;
  std::istringstream text(read);
  for (std::string line; std::getline(text, line);) {
    const auto parsed = nlohmann::json::parse(line);
    if (parsed.at("event") == "line") ++lines;
    if (parsed.at("event") == "lines-left-out") {
      reported += parsed.at("count").get<std::uint64_t>();
    }
  }
  CHECK(reported == log.dropped_lines());
  CHECK(lines + reported == kLines);
}

TEST_CASE(
    "the expected service time of a route is that of a server without "
    "slowdown") {
  RouteStatistics statistics;
  TrafficRoute route;
  route.name = RouteName("r");
  route.latency_target = milliseconds(300);
  CHECK(statistics.Expect(route, kNow).service_time > milliseconds(0));
  CHECK(statistics.Expect(route, kNow).service_time < milliseconds(300));
  for (int i = 0; i < 200; ++i) {
    statistics.RecordResponse(route.name, milliseconds(700), 7,
                              Occupancy::kAvailable, 5000, kNow);
  }
  CHECK(ToMilliseconds(statistics.Expect(route, kNow).service_time) ==
        Approx(100).margin(1));
  CHECK(statistics.Expect(route, kNow).response_bytes == Approx(5000));
}

TEST_CASE("a service time is recorded as far as it is certain") {
  using std::chrono::milliseconds;
  const milliseconds expected(20);
  CHECK(CertainServiceTime(milliseconds(300), milliseconds(20), expected) ==
        milliseconds(300));
  CHECK(CertainServiceTime(milliseconds(300), milliseconds(60), expected) ==
        milliseconds(240));
  CHECK_FALSE(CertainServiceTime(milliseconds(75), milliseconds(60), expected));
}

// Guards against a mean that refuses each request, so that nothing corrects it.
TEST_CASE("a long service time is not trusted without responses") {
  RouteStatistics statistics;
  TrafficRoute route;
  route.name = RouteName("r");
  route.latency_target = milliseconds(300);
  const Duration usual = statistics.Expect(route, kNow).service_time;
  const auto record = [&](Duration time) {
    statistics.RecordResponse(route.name, time, 1, Occupancy::kAvailable, 0,
                              kNow);
    return statistics.Expect(route, kNow + std::chrono::seconds(5))
        .service_time;
  };
  CHECK(record(milliseconds(3000)) == usual);
  CHECK(statistics.Expect(route, kNow).service_time == milliseconds(3000));
  statistics = RouteStatistics();
  CHECK(record(milliseconds(10)) == milliseconds(10));
}

TEST_CASE("the factor of nearly full servers is estimated from responses") {
  RouteStatistics statistics;
  TrafficRoute route;
  route.name = RouteName("r");
  for (int i = 0; i < 200; ++i) {
    statistics.RecordResponse(route.name, milliseconds(100), 1,
                              Occupancy::kAvailable, 0, kNow);
    statistics.RecordResponse(route.name, milliseconds(170), 1,
                              Occupancy::kNearlyFull, 0, kNow);
    statistics.RecordResponse(route.name, milliseconds(900), 1,
                              Occupancy::kQueued, 0, kNow);
  }
  CHECK(statistics.Expect(route, kNow).nearly_full_factor == Approx(1.7));
  CHECK(ToMilliseconds(statistics.Expect(route, kNow).service_time) ==
        Approx(100));
}
TEST_CASE(
    "a bulk route has large expected responses before its first response") {
  RouteStatistics statistics;
  TrafficRoute route;
  route.name = RouteName("r");
  route.bulk = true;
  CHECK(statistics.Expect(route, kNow).response_bytes > 50'000);
}

TEST_CASE("metrics are written in Prometheus text format") {
  TrafficMetrics metrics;
  metrics.Count("requests", "answered");
  metrics.Count("requests", "answered");
  metrics.CountResponse(ResponseOrigin::kHost, 404);
  metrics.CountResponse(ResponseOrigin::kServer, 404);
  metrics.CountResponse(ResponseOrigin::kServer, 404);
  metrics.request_time.Observe(milliseconds(30));
  metrics.SetGauge("held_bytes", 7);
  metrics.SetGauge("held_bytes", 62255104);
  const std::string text = metrics.Text();
  CHECK(text.find("heatherlatch_responses_total{origin=\"host\",status=\"404\"}"
                  " 1\n") != std::string::npos);
  CHECK(text.find("heatherlatch_responses_total{origin=\"server\",status="
                  "\"404\"} 2\n") != std::string::npos);
  CHECK(text.find("heatherlatch_held_bytes 62255104\n") != std::string::npos);
  CHECK(text.find("heatherlatch_requests_total{outcome=\"answered\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("heatherlatch_request_seconds_bucket{le=\"0.025\"} 0\n") !=
        std::string::npos);
  CHECK(text.find("heatherlatch_request_seconds_bucket{le=\"0.05\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("heatherlatch_request_seconds_count 1\n") !=
        std::string::npos);
}

// @return the response of a host with this memory limit to a request, if it
//     refuses the request at once
std::optional<CallerResponse> RespondAtOnce(std::uint64_t held_bytes) {
  Pipe pipe;
  boost::asio::io_context io(1);
  TrafficContext context(&io, {}, pipe.ends[1], 1);
  LoadProber prober(&context);
  ByteReservation held(context.held_bytes);
  held.GrowTo(held_bytes);
  std::optional<CallerResponse> response;
  context.routes = std::make_shared<const RouteTable>();
  const auto exchange = std::make_shared<Exchange>(
      &context, &prober, CallerRequest{},
      [&](CallerResponse done) { response = std::move(done); });
  exchange->Start();
  return response;
}

TEST_CASE(
    "a request is refused with 503 if the host cannot hold its response") {
  const std::uint64_t budget = TrafficHostSettings().memory_limit_bytes / 2;
  const auto refused = RespondAtOnce(budget - 1'000'000);
  REQUIRE(refused);
  CHECK(refused->status == 503);
  CHECK(refused->body == "out-of-memory\n");
  const auto routed = RespondAtOnce(budget - 2'000'000);
  REQUIRE(routed);
  CHECK(routed->body != "out-of-memory\n");
}

TEST_CASE("an answer of another host with a status other than 200 is none") {
  FeedResponse answer;
  answer.permitted_servers = {BackendServerName("i-1")};
  for (unsigned status = 0; status < 1000; ++status) {
    CAPTURE(status);
    ServerResponse response;
    response.message.result(status);
    response.message.body() = Encode(answer);
    const bool is_read = boost::leaf::try_handle_all(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(read, ReadPeerResponse(std::move(response)));
          return read.permitted_servers == answer.permitted_servers;
        },
        [] { return false; });
    CHECK(is_read == (status == 200));
  }
}

}  // namespace
}  // namespace heatherlatch
