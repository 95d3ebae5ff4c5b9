#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>

#include "heatherlatch/backend/testing/raw_server.h"
#include "programs/load/arrivals.h"
#include "programs/load/load_profile.h"
#include "programs/load/load_report.h"
#include "programs/load/load_run.h"

namespace heatherlatch::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kProfile =
    "targets: [127.0.0.1:8080]\n"
    "steps: [{seconds: 0.5, rate_per_second: 10}]\n"
    "kinds: [{name: tally, path: /tally}]\n";

std::string ErrorOf(const std::string& yaml) {
  const auto parsed = ReadProfile(yaml, "", {});
  const auto* error = std::get_if<ProfileError>(&parsed);
  return error == nullptr ? "" : error->message;
}

LoadProfile ProfileFor(const Endpoint& target) {
  return std::get<LoadProfile>(ReadProfile(kProfile, "", {ToString(target)}));
}

std::string HeaderValueOf(const std::string& head, const std::string& name) {
  const auto at = head.find(name + ": ");
  if (at == std::string::npos) return "";
  const auto begin = at + name.size() + 2;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

TEST_CASE("an invalid profile is rejected") {
  CHECK(ErrorOf(kProfile).empty());
  CHECK(ErrorOf("kinds: []") == "targets: none is given");
  const std::string profile = kProfile;
  const auto error_with = [&](const std::string& from, const std::string& to) {
    std::string changed = profile;
    changed.replace(changed.find(from), from.size(), to);
    return ErrorOf(changed);
  };
  CHECK(error_with("127.0.0.1:8080", "10.0.0.1:8080") ==
        "target 10.0.0.1:8080 is not a loopback address");
  CHECK(error_with("rate_per_second: 10", "rate_per_second: 50001") ==
        "rate_per_second: must be from 0 to 50000");
  CHECK(error_with("seconds: 0.5", "seconds: 601") ==
        "steps: total length above 600 seconds");
  CHECK_FALSE(
      error_with("path: /tally", "identity: both, path: /tally").empty());
  CHECK_FALSE(error_with("127.0.0.1:8080", "localhost:8080").empty());
  CHECK_FALSE(error_with("name: tally, ", "").empty());
}

TEST_CASE("arrivals are in order and within the steps") {
  rc::prop("in order", [] {
    const auto rates =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500));
    std::vector<RateStep> steps;
    for (const int rate : rates) {
      steps.push_back({milliseconds(100), static_cast<double>(rate)});
    }
    Arrivals arrivals(steps, 1, *rc::gen::arbitrary<std::uint64_t>());
    Duration last{};
    while (const auto next = arrivals.Next()) {
      RC_ASSERT(*next >= last);
      const auto step = static_cast<std::size_t>(*next / milliseconds(100));
      RC_ASSERT(step < steps.size());
      RC_ASSERT(steps[step].rate_per_second > 0);
      last = *next;
    }
  });
}

TEST_CASE("arrival counts match the rate of each step times the share") {
  Arrivals arrivals({{seconds(100), 200}, {seconds(100), 400}}, 0.5, 1);
  int first = 0;
  int second = 0;
  while (const auto next = arrivals.Next()) {
    ++(*next < seconds(100) ? first : second);
  }
  CHECK(first == Approx(10000).epsilon(0.05));
  CHECK(second == Approx(20000).epsilon(0.05));
}

TEST_CASE("percentiles are values of the sample") {
  std::vector<Duration> values;
  for (int value = 1; value <= 1000; ++value) values.emplace_back(value);
  CHECK(Percentile(values, 0.5) == Duration(500));
  CHECK(Percentile(values, 0.99) == Duration(990));
  CHECK(Percentile(values, 0.999) == Duration(999));
  CHECK(Percentile(values, 1) == Duration(1000));
  CHECK(Percentile({}, 0.5) == Duration::zero());
}

TEST_CASE("requests are sent when due without waiting for responses") {
  // The server responds only after all requests have been started.
  constexpr std::uint64_t kRequests = 20;
  SharedProgress progress;
  std::atomic<bool> all_arrived{true};
  RawServer server([&](RawConnection& connection) {
    connection.ReadRequest();
    const TimePoint end = SteadyClock::now() + seconds(20);
    while (progress.started < kRequests && SteadyClock::now() < end) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    if (progress.started < kRequests) all_arrived = false;
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  LoadProfile profile = ProfileFor(server.endpoint());
  profile.steps = {{seconds(1), 100}};
  profile.max_requests = kRequests;
  profile.timeout = seconds(30);
  const LoadResult result = RunLoad(profile, &progress, nullptr);
  CHECK(result.report.total() == kRequests);
  CHECK(result.report.good() == kRequests);
  CHECK(all_arrived);
}

TEST_CASE("a request without a response is resent with the same key") {
  std::mutex mutex;
  std::multiset<std::string> keys;
  RawServer server([&](RawConnection& connection) {
    const std::string key =
        HeaderValueOf(connection.ReadRequest(), "Idempotency-Key");
    const std::lock_guard<std::mutex> lock(mutex);
    keys.insert(key);
    if (keys.count(key) == 1) return;
    connection.Send(
        "HTTP/1.1 200 OK\r\nHeatherlatch-Outcome: ran\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n");
  });
  LoadProfile profile = ProfileFor(server.endpoint());
  profile.kinds.front().identity = Identity::kKey;
  profile.steps = {{seconds(1), 50}};
  profile.max_requests = 10;
  profile.resends = 1;
  profile.timeout = seconds(30);
  SharedProgress progress;
  const LoadResult result = RunLoad(profile, &progress, nullptr);
  CHECK(result.report.good() == 10);
  const std::vector<LatencyRow> rows = result.report.Rows();
  REQUIRE(rows.size() == 1);
  CHECK(rows[0].outcome == "ran");
  CHECK(keys.size() == 20);
}

TEST_CASE("tickets are fetched before the requests that need them") {
  RawServer server([](RawConnection& connection) {
    while (true) {
      const std::string head = connection.ReadRequest();
      if (head.empty()) return;
      const bool is_ticket_request =
          head.rfind("POST /heatherlatch/v1/tickets", 0) == 0;
      const std::string body = R"({"tickets": ["a", "b", "c", "d", "e"]})";
      const bool has_ticket =
          !HeaderValueOf(head, "Heatherlatch-Ticket").empty();
      const std::string response_body = is_ticket_request ? body : "";
      connection.Send(
          std::string("HTTP/1.1 ") +
          (is_ticket_request || has_ticket ? "200 OK" : "428 No") +
          "\r\nContent-Length: " + std::to_string(response_body.size()) +
          "\r\n\r\n" + response_body);
    }
  });
  LoadProfile profile = ProfileFor(server.endpoint());
  profile.kinds.front().identity = Identity::kTicket;
  profile.steps = {{seconds(1), 50}};
  profile.max_requests = 10;
  profile.timeout = seconds(30);
  SharedProgress progress;
  CHECK(RunLoad(profile, &progress, nullptr).report.good() == 10);
}

TEST_CASE("a report counts requests by outcome and by second") {
  LoadReport report;
  report.Add({"tally", "ran", milliseconds(3), milliseconds(100), true});
  LoadReport other;
  other.Add({"tally", "not-run queue-full", milliseconds(1), milliseconds(1100),
             false});
  report.Merge(std::move(other));
  CHECK(report.total() == 2);
  CHECK(report.good() == 1);
  REQUIRE(report.Seconds().size() == 2);
  CHECK(report.Seconds()[0].good == 1);
  CHECK(report.Seconds()[1].other == 1);
  std::ostringstream json;
  report.PrintJson(json, seconds(2));
  CHECK(json.str().find("\"outcome\": \"not-run queue-full\"") !=
        std::string::npos);
}

TEST_CASE("the profiles that come with the program are valid") {
  const std::string name =
      GENERATE("opening-rush.yaml", "zone-leaves-and-returns.yaml");
  std::ifstream file(std::string(HEATHERLATCH_LOAD_PROFILES) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  CAPTURE(name);
  CHECK(ErrorOf(text.str()).empty());
}

}  // namespace
}  // namespace heatherlatch::load
