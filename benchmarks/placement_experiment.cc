// Compares ways to place work on backend servers, in virtual time with fake
// servers, and prints a Markdown table. See docs/measurements/placement.md.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "benchmarks/experiment/scenario.h"

namespace {

using heatherlatch::experiment::PolicyKind;
using heatherlatch::experiment::RunOptions;
using heatherlatch::experiment::RunResult;
using heatherlatch::experiment::RunScenario;
using heatherlatch::experiment::ScenarioKind;
using heatherlatch::experiment::ServiceConfig;

const std::map<std::string, PolicyKind> kPolicies = {
    {"random", PolicyKind::kRandom},
    {"two-choices", PolicyKind::kTwoChoices},
    {"least-outstanding", PolicyKind::kLeastOutstanding},
    {"owner-per-server", PolicyKind::kOwnerPerServer},
    {"owner-per-group", PolicyKind::kOwnerPerGroup},
    {"owner-local-first", PolicyKind::kOwnerLocalFirst},
    {"owner-queue-cost", PolicyKind::kOwnerQueueCost},
    {"owner-unbounded", PolicyKind::kOwnerUnbounded},
    {"central", PolicyKind::kCentral},
};

const std::map<std::string, ScenarioKind> kScenarios = {
    {"steady", ScenarioKind::kSteady},
    {"skewed", ScenarioKind::kSkewed},
    {"burst", ScenarioKind::kBurst},
    {"slow-server", ScenarioKind::kSlowServer},
    {"zone-out", ScenarioKind::kZoneOut},
    {"owner-move", ScenarioKind::kOwnerMove},
    {"owner-split", ScenarioKind::kOwnerSplit},
    {"cold-signed", ScenarioKind::kColdSigned},
    {"cold-silent", ScenarioKind::kColdSilent},
};

const std::map<std::string, ServiceConfig> kServices = {
    {"tally", {"tally", 20, 3, 1, 18}},
    {"signing", {"signing", 12, 2, 1, 18}},
};

template <typename Value>
std::vector<std::string> NamesOf(const std::map<std::string, Value>& map) {
  std::vector<std::string> names;
  for (const auto& [name, value] : map) names.push_back(name);
  return names;
}

void PrintHeader(bool with_event) {
  std::printf(
      "| service | scenario | load | policy | p50 ms | p99 ms | p99.9 ms | "
      "slots used | overruns | requests | refused | failed | timed out |");
  if (with_event) {
    std::printf(
        " affected calls | left after ms | affected overruns | "
        "recovery ms | resends | final goodput |");
  }
  std::printf("\n|");
  for (int i = 0; i < (with_event ? 19 : 13); ++i) std::printf("---|");
  std::printf("\n");
}

void PrintRow(const std::string& service, const std::string& scenario,
              double load, const std::string& policy, const RunResult& r,
              bool with_event) {
  std::printf(
      "| %s | %s | %.2f | %s | %.1f | %.1f | %.1f | %.1f%% | %llu | %llu | "
      "%llu | %llu | %llu |",
      service.c_str(), scenario.c_str(), load, policy.c_str(), r.p50_ms,
      r.p99_ms, r.p999_ms, r.slots_used * 100,
      static_cast<unsigned long long>(r.overruns),
      static_cast<unsigned long long>(r.requests),
      static_cast<unsigned long long>(r.refused),
      static_cast<unsigned long long>(r.failed),
      static_cast<unsigned long long>(r.timed_out));
  if (with_event) {
    std::printf(
        " %llu | %.1f | %llu | %.0f | %llu | %.1f%% |",
        static_cast<unsigned long long>(r.affected_calls), r.left_after_ms,
        static_cast<unsigned long long>(r.affected_overruns), r.recovery_ms,
        static_cast<unsigned long long>(r.resends), r.final_goodput * 100);
  }
  std::printf("\n");
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> policies = {
      "random",           "two-choices",     "least-outstanding",
      "owner-per-server", "owner-per-group", "central"};
  std::vector<std::string> scenarios = {"steady"};
  std::vector<std::string> services = {"tally"};
  std::vector<double> loads = {0.5, 0.8, 0.95, 1.2};
  RunOptions options;
  int run_seconds = 10;

  CLI::App app{"Compares ways to place work on backend servers."};
  app.add_option("--policy", policies, "Policies to run")
      ->check(CLI::IsMember(NamesOf(kPolicies)));
  app.add_option("--scenario", scenarios, "Scenarios to run")
      ->check(CLI::IsMember(NamesOf(kScenarios)));
  app.add_option("--service", services, "Services to run")
      ->check(CLI::IsMember(NamesOf(kServices)));
  app.add_option("--load", loads, "Loads, as shares of the capacity");
  app.add_option("--seed", options.seed, "Seed of arrivals and service times");
  app.add_option("--seconds", run_seconds, "Virtual seconds of each run")
      ->check(CLI::Range(7, 600));
  CLI11_PARSE(app, argc, argv);

  options.length = std::chrono::seconds(run_seconds);
  const bool with_event = scenarios != std::vector<std::string>{"steady"};
  PrintHeader(with_event);
  for (const std::string& service : services) {
    for (const std::string& scenario : scenarios) {
      for (const double load : loads) {
        for (const std::string& policy : policies) {
          options.service = kServices.at(service);
          options.scenario = kScenarios.at(scenario);
          options.policy = kPolicies.at(policy);
          options.load = load;
          PrintRow(service, scenario, load, policy, RunScenario(options),
                   with_event);
        }
      }
    }
  }
  return 0;
}
