// Cost and latency of BackendClient, compared with a reused libcurl handle
// without the client. The server is a stand-in in the same process; the column
// "CPU" counts only the calling thread.
#include <benchmark/benchmark.h>
#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "heatherlatch/backend/backend_client.h"
#include "standins/backend/backend_fleet.h"
#include "standins/common/free_port.h"

namespace heatherlatch {
namespace {

using standins::BackendFleet;
using standins::BackendFleetOptions;
using standins::BackendServerOptions;

constexpr std::uint64_t kSmallResponseBytes = 128;
constexpr std::uint64_t kLargeResponseBytes = 1 << 20;

// A server that responds without delay.
class InstantServer {
 public:
  explicit InstantServer(std::uint64_t response_bytes) {
    BackendServerOptions options;
    options.name = "instant-1";
    options.slots = 1000;
    options.service_mean = Duration::zero();
    options.connect_time = Duration::zero();
    options.response_bytes = response_bytes;
    do {
      options.listen = standins::FreeEndpoint();
      fleet_ = std::make_unique<BackendFleet>(
          BackendFleetOptions{standins::FreeEndpoint(), {options}});
    } while (fleet_->Start());
    endpoint_ = options.listen;
  }

  const Endpoint& endpoint() const { return endpoint_; }

 private:
  std::unique_ptr<BackendFleet> fleet_;
  Endpoint endpoint_;
};

const Endpoint& SmallServer() {
  static const InstantServer server(kSmallResponseBytes);
  return server.endpoint();
}

const Endpoint& LargeServer() {
  static const InstantServer server(kLargeResponseBytes);
  return server.endpoint();
}

// Collects the latency of each call and reports percentiles.
class Latencies {
 public:
  template <typename Call>
  void Time(const Call& call) {
    const TimePoint start = SteadyClock::now();
    call();
    values_.push_back(SteadyClock::now() - start);
  }

  void Report(benchmark::State* state) {
    std::sort(values_.begin(), values_.end());
    const auto percentile_us = [this](double share) {
      const auto index = static_cast<std::size_t>(
          share * static_cast<double>(values_.size() - 1));
      return std::chrono::duration<double, std::micro>(values_[index]).count();
    };
    using benchmark::Counter;
    state->counters["p50_us"] =
        Counter(percentile_us(0.5), Counter::kAvgThreads);
    state->counters["p99_us"] =
        Counter(percentile_us(0.99), Counter::kAvgThreads);
  }

 private:
  std::vector<Duration> values_;
};

std::size_t DiscardBody(char* /*data*/, std::size_t size, std::size_t count,
                        void* /*user*/) {
  return size * count;
}

void RunBareHandle(benchmark::State& state, const Endpoint& endpoint) {
  CURL* easy = curl_easy_init();
  const std::string url = "http://" + ToString(endpoint) + "/tally/shop-7";
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &DiscardBody);
  Latencies latencies;
  for (auto _ : state) {
    latencies.Time([easy] { curl_easy_perform(easy); });
  }
  latencies.Report(&state);
  curl_easy_cleanup(easy);
}

void RunBackendClient(benchmark::State& state, const Endpoint& endpoint) {
  static BackendClient client({});
  BackendRequest request;
  request.endpoint = endpoint;
  request.method = "GET";
  request.target = "/tally/shop-7";
  request.request_id = "a-request-id-of-usual-length";
  request.headers = {{"Host", "tally.example"},
                     {"Accept", "*/*"},
                     {"Heatherlatch-Organisation", "kedai-runcit"}};
  std::uint64_t received = 0;
  ResponseSink sink;
  sink.on_head = [](const ResponseHead&) { return true; };
  sink.on_data = [&received](std::string_view data) {
    received += data.size();
    return true;
  };
  sink.cancelled = [] { return false; };
  Latencies latencies;
  for (auto _ : state) {
    latencies.Time([&] {
      const auto deadline = SteadyClock::now() + std::chrono::seconds(5);
      const BackendResult result = client.Call(request, sink, deadline);
      if (!std::holds_alternative<BackendResponded>(result.outcome)) {
        state.SkipWithError("the call returned no complete response");
      }
    });
  }
  latencies.Report(&state);
}

void BareHandleSmall(benchmark::State& state) {
  RunBareHandle(state, SmallServer());
}
void BackendClientSmall(benchmark::State& state) {
  RunBackendClient(state, SmallServer());
}
void BareHandleLarge(benchmark::State& state) {
  RunBareHandle(state, LargeServer());
}
void BackendClientLarge(benchmark::State& state) {
  RunBackendClient(state, LargeServer());
}

BENCHMARK(BareHandleSmall)->Threads(1)->Threads(4)->UseRealTime();
BENCHMARK(BackendClientSmall)->Threads(1)->Threads(4)->UseRealTime();
BENCHMARK(BareHandleLarge)->Threads(1)->UseRealTime();
BENCHMARK(BackendClientLarge)->Threads(1)->UseRealTime();

}  // namespace
}  // namespace heatherlatch

BENCHMARK_MAIN();
