// Measures reading an object set, which each host does once per configuration
// change, and finding a route, which it does once per request.
#include <benchmark/benchmark.h>

#include <sstream>

#include "heatherlatch/objects/check.h"
#include "heatherlatch/objects/diff.h"

namespace heatherlatch {
namespace {

constexpr int kRegions = 3;
constexpr int kZonesPerRegion = 2;
constexpr int kServersPerService = 9;
constexpr int kFirstPort = 1024;

// @return a document with two routes and two organisations for each service
std::string DocumentWith(int services) {
  std::ostringstream yaml;
  yaml << "regions:\n";
  for (int r = 0; r < kRegions; ++r) yaml << "  - name: region-" << r << "\n";
  yaml << "zones:\n";
  for (int z = 0; z < kRegions * kZonesPerRegion; ++z) {
    yaml << "  - {name: zone-" << z << ", region: region-" << z % kRegions
         << "}\n";
  }
  yaml << "services:\n";
  for (int s = 0; s < services; ++s) {
    yaml << "  - name: service-" << s << "\n    slots_per_server: 3\n"
         << "    connections_per_server: 260\n    servers:\n";
    for (int i = 0; i < kServersPerService; ++i) {
      const int number = s * kServersPerService + i;
      yaml << "      - {name: server-" << number << ", zone: zone-"
           << i % (kRegions * kZonesPerRegion)
           << ", endpoint: \"127.0.0.1:" << kFirstPort + number << "\"}\n";
    }
  }
  yaml << "routes:\n";
  for (int s = 0; s < services; ++s) {
    for (const char* kind : {"read", "write"}) {
      yaml << "  - {name: " << kind << "-" << s << ", path_prefix: /" << kind
           << "/service-" << s << ", methods: [POST], service: service-" << s
           << ", home_regions: [region-0, region-1]}\n";
    }
  }
  yaml << "organisations:\n";
  for (int s = 0; s < 2 * services; ++s) {
    yaml << "  - {name: organisation-" << s << ", home_regions: [region-"
         << s % 2 << "]}\n";
  }
  return yaml.str();
}

std::shared_ptr<const ObjectSet> SetWith(int services) {
  return std::get<std::shared_ptr<const ObjectSet>>(
      ReadObjectSet(DocumentWith(services), 1));
}

void ReadSet(benchmark::State& state) {
  const std::string yaml = DocumentWith(static_cast<int>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(ReadObjectSet(yaml, 1));
  state.counters["servers"] =
      static_cast<double>(state.range(0) * kServersPerService);
  state.counters["bytes"] = static_cast<double>(yaml.size());
}
BENCHMARK(ReadSet)->Arg(5)->Arg(31)->Arg(93)->Unit(benchmark::kMillisecond);

void FindLastRoute(benchmark::State& state) {
  const int services = static_cast<int>(state.range(0));
  const auto set = SetWith(services);
  const std::string path =
      "/write/service-" + std::to_string(services - 1) + "/shop/7";
  for (auto _ : state) {
    benchmark::DoNotOptimize(set->FindRoute("POST", path));
  }
}
BENCHMARK(FindLastRoute)->Arg(5)->Arg(31)->Arg(93);

void FindHomeRegions(benchmark::State& state) {
  const auto set = SetWith(5);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        set->HomeRegions(set->routes[0], set->organisations[0]));
  }
}
BENCHMARK(FindHomeRegions);

void Compare(benchmark::State& state) {
  const auto set = SetWith(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(DescribeChange(*set, *set));
    benchmark::DoNotOptimize(WarnAboutChange(*set, *set));
  }
}
BENCHMARK(Compare)->Arg(5)->Arg(31)->Arg(93)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace heatherlatch

BENCHMARK_MAIN();
