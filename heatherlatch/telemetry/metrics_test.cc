#include "heatherlatch/telemetry/metrics.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>
#include <vector>

namespace heatherlatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Calls every method that updates a metric, so that every metric has a value.
void UpdateEveryMetric(Metrics* metrics) {
  metrics->RequestEnded(ServiceName("tally"), Ran{}, milliseconds(8),
                        microseconds(400));
  metrics->RequestEnded(ServiceName("tally"),
                        Unknown{UnknownReason::kResponseLost}, seconds(2),
                        milliseconds(1));
  metrics->RequestRefused(NotRunReason::kQueueFull);
  metrics->RequestForwarded();
  metrics->RequestRetried();
  metrics->ProbeSent(milliseconds(6));
  metrics->SetSlots("tally/north-a", 6, 2, 1);
  metrics->SetConfiguration(7, seconds(3));
  metrics->SetPeers(5, 4);
  metrics->SetKeyRingMajority(true);
  metrics->SetPeerTraffic(100, 50);
  metrics->SetPeerTraffic(120, 50);
  metrics->AddCrossRegionBytes("north", "south", 1000);
}

bool HasLine(const std::string& text, const std::string& line) {
  std::istringstream input("\n" + text);
  for (std::string found; std::getline(input, found);) {
    if (found == line) return true;
  }
  return false;
}

TEST_CASE("every metric is serialized with its value") {
  Metrics metrics;
  UpdateEveryMetric(&metrics);
  const std::string text = metrics.Serialize();
  const std::vector<std::string> lines = {
      R"(heatherlatch_requests_total{outcome="ran",service="tally"} 1)",
      R"(heatherlatch_requests_total{outcome="not-run",service="tally"} 0)",
      R"(heatherlatch_requests_unknown_total{reason="answer-lost"} 1)",
      R"(heatherlatch_requests_refused_total{reason="queue-full"} 1)",
      R"(heatherlatch_request_seconds_count{service="tally"} 2)",
      R"(heatherlatch_request_added_seconds_bucket{service="tally",le="0.0005"} 1)",
      "heatherlatch_requests_forwarded_total 1",
      "heatherlatch_retries_total 1",
      "heatherlatch_probes_total 1",
      "heatherlatch_probe_server_seconds_total 0.006",
      R"(heatherlatch_group_slots_usable{group="tally/north-a"} 6)",
      R"(heatherlatch_group_slots_granted{group="tally/north-a"} 2)",
      R"(heatherlatch_group_requests_waiting{group="tally/north-a"} 1)",
      "heatherlatch_configuration_revision 7",
      "heatherlatch_configuration_read_age_seconds 3",
      "heatherlatch_peers_linked 5",
      "heatherlatch_peers_live 4",
      "heatherlatch_key_ring_majority 1",
      R"(heatherlatch_peer_bytes_total{direction="sent"} 120)",
      R"(heatherlatch_peer_bytes_total{direction="received"} 50)",
      R"(heatherlatch_cross_region_bytes_total{from="north",to="south"} 1000)",
  };
  for (const std::string& line : lines) {
    INFO(line << "\nin\n" << text);
    CHECK(HasLine(text, line));
  }
}

TEST_CASE("probes are counted with the server time that they take",
          "[promise-01]") {
  Metrics metrics;
  for (int i = 0; i < 4; ++i) metrics.ProbeSent(milliseconds(250));
  const std::string text = metrics.Serialize();
  CHECK(HasLine(text, "heatherlatch_probes_total 4"));
  CHECK(HasLine(text, "heatherlatch_probe_server_seconds_total 1"));
}

TEST_CASE("concurrent updates from several threads are all counted") {
  constexpr int kThreads = 4;
  constexpr int kRequests = 1000;
  Metrics metrics;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int request = 0; request < kRequests; ++request) {
        metrics.RequestEnded(ServiceName("tally"), Ran{}, milliseconds(1),
                             microseconds(1));
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const std::string text = metrics.Serialize();
  CHECK(HasLine(
      text,
      R"(heatherlatch_requests_total{outcome="ran",service="tally"} 4000)"));
  CHECK(HasLine(text,
                R"(heatherlatch_request_seconds_count{service="tally"} 4000)"));
}

// @param text  metrics in the text format
// @return by the name of each metric, the start of its row in docs/METRICS.md:
//     name, type and help text
std::map<std::string, std::string> RowPrefixes(const std::string& text) {
  std::map<std::string, std::string> help;
  std::map<std::string, std::string> rows;
  std::istringstream input(text);
  for (std::string line; std::getline(input, line);) {
    std::istringstream words(line);
    std::string hash;
    std::string keyword;
    std::string name;
    words >> hash >> keyword >> name >> std::ws;
    std::string rest;
    std::getline(words, rest);
    if (hash == "#" && keyword == "HELP") help[name] = rest;
    if (hash == "#" && keyword == "TYPE") {
      rows[name] = "| `" + name + "` | " + rest + " | " + help[name] + " |";
    }
  }
  return rows;
}

TEST_CASE("docs/METRICS.md lists exactly the metrics that are serialized") {
  Metrics metrics;
  UpdateEveryMetric(&metrics);
  auto expected = RowPrefixes(metrics.Serialize());
  std::ifstream page(std::string(HEATHERLATCH_DOCS) + "/METRICS.md");
  for (std::string line; std::getline(page, line);) {
    if (line.compare(0, 16, "| `heatherlatch_") != 0) continue;
    const std::string name = line.substr(3, line.find('`', 3) - 3);
    INFO(line);
    REQUIRE(expected.count(name) == 1);
    CHECK(line.compare(0, expected[name].size(), expected[name]) == 0);
    expected.erase(name);
  }
  for (const auto& [name, row] : expected) FAIL_CHECK("no row " << row);
}

}  // namespace
}  // namespace heatherlatch
