// Measures the codec, the round trip of a slot request over loopback and the
// cost of the links of one host in fleets of several sizes.
#include <benchmark/benchmark.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "heatherlatch/membership/membership.h"
#include "heatherlatch/peer/messages.h"
#include "heatherlatch/peer/transport.h"

namespace heatherlatch {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kZonesPerRegion = 2;
constexpr int kRegions = 3;

AcquireSlot SampleAcquire() {
  AcquireSlot acquire;
  acquire.call = 123456789;
  acquire.group = {ServiceName("tally-reads"), ZoneName("semenanjung-utara-a")};
  acquire.organisation = OrganisationName("kedai-runcit-bersatu");
  acquire.time_left = milliseconds(1500);
  return acquire;
}

AcquireGranted SampleGranted(CallId call) {
  AcquireGranted granted;
  granted.call = call;
  granted.grant = 987654321;
  granted.server = BackendServerName("tally-17");
  granted.endpoint = {"10.20.30.40", 8080};
  granted.lease_left = milliseconds(2000);
  granted.load = {60, 41, 7, microseconds(8200)};
  return granted;
}

HostDescription SampleHost(int number) {
  HostDescription host;
  host.incarnation = {HostName("entry-" + std::to_string(number)),
                      0x9e3779b97f4a7c15ULL * (number + 1)};
  const int zone = number % (kRegions * kZonesPerRegion);
  host.region = RegionName("region-" + std::to_string(zone / kZonesPerRegion));
  host.zone = ZoneName(host.region.str() + '-' + "ab"[zone % kZonesPerRegion]);
  host.caller_endpoint = {"10.20.30.40", 8080};
  host.peer_endpoint = {"127.0.0.1", 0};
  return host;
}

Heartbeat SampleHeartbeat(int groups) {
  Heartbeat heartbeat;
  heartbeat.from = SampleHost(3);
  heartbeat.sequence = 123456;
  heartbeat.revision = 412;
  for (int i = 0; i < groups; ++i) {
    heartbeat.groups.push_back({{ServiceName("service-" + std::to_string(i)),
                                 ZoneName("semenanjung-utara-a")},
                                {60, 41, 7, microseconds(8200)}});
  }
  return heartbeat;
}

void MeasureEncode(benchmark::State& state, const PeerMessage& message) {
  for (auto _ : state) benchmark::DoNotOptimize(EncodeFrame(message));
  state.counters["bytes"] = static_cast<double>(EncodeFrame(message).size());
}

void MeasureDecode(benchmark::State& state, const PeerMessage& message) {
  const std::string bytes = EncodeFrame(message);
  for (auto _ : state) {
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(decoded, DecodeFrame(bytes));
          benchmark::DoNotOptimize(decoded);
          return {};
        },
        [&] { state.SkipWithError("DecodeFrame failed"); });
  }
}

void EncodeAcquire(benchmark::State& state) {
  MeasureEncode(state, SampleAcquire());
}
void DecodeAcquire(benchmark::State& state) {
  MeasureDecode(state, SampleAcquire());
}
void EncodeGranted(benchmark::State& state) {
  MeasureEncode(state, SampleGranted(1));
}
void DecodeGranted(benchmark::State& state) {
  MeasureDecode(state, SampleGranted(1));
}
void EncodeHeartbeat(benchmark::State& state) {
  MeasureEncode(state, SampleHeartbeat(static_cast<int>(state.range(0))));
}
void DecodeHeartbeat(benchmark::State& state) {
  MeasureDecode(state, SampleHeartbeat(static_cast<int>(state.range(0))));
}
void DecodeForwardedBody(benchmark::State& state) {
  ForwardRequest forward;
  forward.key = CallerKey{OrganisationName("o"), "k"};
  forward.body = std::string(static_cast<std::size_t>(state.range(0)), 'x');
  MeasureDecode(state, forward);
}
BENCHMARK(EncodeAcquire);
BENCHMARK(DecodeAcquire);
BENCHMARK(EncodeGranted);
BENCHMARK(DecodeGranted);
BENCHMARK(EncodeHeartbeat)->Arg(0)->Arg(10)->Arg(93);
BENCHMARK(DecodeHeartbeat)->Arg(0)->Arg(10)->Arg(93);
BENCHMARK(DecodeForwardedBody)->Arg(1 << 20);

// One host on loopback.
class Host {
 public:
  explicit Host(int number) : self_(SampleHost(number)) {
    TransportOptions options;
    options.listen = {"127.0.0.1", 0};
    options.keys = {"benchmark"};
    TransportHandlers handlers;
    handlers.on_message = [this](const HostIncarnation& peer,
                                 PeerMessage message) {
      OnMessage(peer, message);
    };
    transport_ = std::make_unique<PeerTransport>(self_, options, handlers);
    boost::leaf::try_handle_all([&] { return transport_->Start(); },
                                [] { std::abort(); });
    self_.peer_endpoint = transport_->ListenEndpoint();
  }

  const HostDescription& self() const { return self_; }
  PeerTransport& transport() { return *transport_; }

  void WaitForLinks(std::size_t links) const {
    while (transport_->LinkedPeers().size() < links) {
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

  // Sends a slot request and waits for the response.
  void RequestSlot(const HostIncarnation& owner) {
    AcquireSlot acquire = SampleAcquire();
    std::unique_lock<std::mutex> lock(mutex_);
    acquire.call = ++call_;
    lock.unlock();
    transport_->Send(owner, acquire);
    lock.lock();
    response_received_.wait(lock,
                            [&] { return last_response_ >= acquire.call; });
  }

  void SendHeartbeats(int groups) {
    Heartbeat heartbeat = SampleHeartbeat(groups);
    heartbeat.from = self_;
    heartbeat.sequence = ++sequence_;
    for (const HostIncarnation& peer : transport_->LinkedPeers()) {
      transport_->Send(peer, heartbeat);
    }
  }

 private:
  void OnMessage(const HostIncarnation& peer, const PeerMessage& message) {
    if (const auto* acquire = std::get_if<AcquireSlot>(&message)) {
      transport_->Send(peer, SampleGranted(acquire->call));
    } else if (const auto* granted = std::get_if<AcquireGranted>(&message)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      last_response_ = std::max(last_response_, granted->call);
      response_received_.notify_all();
    } else if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
      transport_->Send(peer, HeartbeatAck{heartbeat->sequence, 412, 77});
    }
  }

  HostDescription self_;
  std::unique_ptr<PeerTransport> transport_;
  std::mutex mutex_;
  std::condition_variable response_received_;
  CallId call_ = 0;
  CallId last_response_ = 0;
  std::uint64_t sequence_ = 0;
};

double Percentile(std::vector<Duration>* samples, double share) {
  const auto index = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(samples->size() - 1));
  const auto position = samples->begin() + index;
  std::nth_element(samples->begin(), position, samples->end());
  return std::chrono::duration<double, std::micro>(*position).count();
}

void RoundTrip(benchmark::State& state) {
  Host requester(0);
  Host owner(1);
  requester.transport().SetTargets({owner.self().peer_endpoint});
  requester.WaitForLinks(1);
  owner.WaitForLinks(1);
  const HostIncarnation peer = owner.self().incarnation;
  std::vector<Duration> times;
  for (auto _ : state) {
    const TimePoint begin = SteadyClock::now();
    requester.RequestSlot(peer);
    times.push_back(SteadyClock::now() - begin);
  }
  state.counters["p50_us"] = Percentile(&times, 0.50);
  state.counters["p99_us"] = Percentile(&times, 0.99);
}
BENCHMARK(RoundTrip)->UseRealTime()->Iterations(20000);

double ProcessCpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto total = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
  };
  return total(usage.ru_utime) + total(usage.ru_stime);
}

class Fleet {
 public:
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) hosts_.push_back(std::make_unique<Host>(i));
    std::vector<ListedHost> listed;
    for (const auto& member : hosts_) {
      const HostDescription& host = member->self();
      listed.push_back({host.incarnation.host, host.region, host.zone,
                        host.peer_endpoint, false});
    }
    for (const auto& member : hosts_) Connect(member.get(), listed);
    for (const auto& member : hosts_) member->WaitForLinks(1);
    std::this_thread::sleep_for(seconds(1));
  }

  void SendAllHeartbeats(int groups) {
    for (const auto& member : hosts_) member->SendHeartbeats(groups);
  }
  double LinksPerHost() const {
    double links = 0;
    for (const auto& member : hosts_) {
      links += static_cast<double>(member->transport().LinkedPeers().size());
    }
    return links / static_cast<double>(hosts_.size());
  }
  double BytesSentPerHost() const {
    double bytes = 0;
    for (const auto& member : hosts_) {
      bytes += static_cast<double>(member->transport().Counters().bytes_sent);
    }
    return bytes / static_cast<double>(hosts_.size());
  }

 private:
  static void Connect(Host* member, const std::vector<ListedHost>& listed) {
    Membership membership(member->self(), {}, TimePoint{});
    membership.SetListed(listed, TimePoint{});
    member->transport().SetTargets(membership.LinkTargets());
  }

  std::vector<std::unique_ptr<Host>> hosts_;
};

// Bandwidth and CPU time of one host for heartbeats twice a second that report
// the groups it owns, in a fleet of range(0) hosts.
void FleetCost(benchmark::State& state) {
  constexpr int kHeartbeatRounds = 12;
  constexpr int kGroups = 18;  // Three services in six zones.
  constexpr Duration kInterval = milliseconds(500);
  const int size = static_cast<int>(state.range(0));
  Fleet fleet(size);
  for (auto _ : state) {
    const double cpu = ProcessCpuSeconds();
    const double bytes = fleet.BytesSentPerHost();
    const TimePoint begin = SteadyClock::now();
    for (int round = 1; round <= kHeartbeatRounds; ++round) {
      fleet.SendAllHeartbeats((kGroups + size - 1) / size);
      std::this_thread::sleep_until(begin + round * kInterval);
    }
    const double elapsed_s =
        std::chrono::duration<double>(SteadyClock::now() - begin).count();
    state.counters["links"] = fleet.LinksPerHost();
    state.counters["sent_bytes_per_s"] =
        (fleet.BytesSentPerHost() - bytes) / elapsed_s;
    state.counters["cpu_percent"] =
        100 * (ProcessCpuSeconds() - cpu) / elapsed_s / size;
  }
}
BENCHMARK(FleetCost)->Arg(6)->Arg(18)->Arg(48)->Iterations(1)->UseRealTime();

}  // namespace
}  // namespace heatherlatch

BENCHMARK_MAIN();
