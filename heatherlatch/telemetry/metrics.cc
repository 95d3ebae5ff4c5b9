#include "heatherlatch/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace heatherlatch {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;
using prometheus::Registry;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Upper bounds of the histogram buckets, in seconds.
const Histogram::BucketBoundaries& TotalBuckets() {
  static const auto* const buckets = new Histogram::BucketBoundaries{
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60};
  return *buckets;
}
const Histogram::BucketBoundaries& AddedBuckets() {
  static const auto* const buckets = new Histogram::BucketBoundaries{
      0.0001, 0.0002, 0.0003, 0.0005, 0.00068, 0.001, 0.002, 0.005,
      0.01,   0.02,   0.05,   0.1,    0.2,     0.5,   1,     5};
  return *buckets;
}

Family<Counter>& CounterFamily(Registry* registry, const char* name,
                               const char* help) {
  return BuildCounter().Name(name).Help(help).Register(*registry);
}
Family<Gauge>& GaugeFamily(Registry* registry, const char* name,
                           const char* help) {
  return BuildGauge().Name(name).Help(help).Register(*registry);
}
Family<Histogram>& HistogramFamily(Registry* registry, const char* name,
                                   const char* help) {
  return BuildHistogram().Name(name).Help(help).Register(*registry);
}

// Maps keys to values that are made on first use. Values are never removed, so
// a returned reference stays valid. Thread safe.
template <typename Key, typename Value>
class Cache {
 public:
  template <typename Make>
  Value& Get(const Key& key, Make make) {
    {
      const std::shared_lock<std::shared_mutex> lock(mutex_);
      const auto found = values_.find(key);
      if (found != values_.end()) return found->second;
    }
    const std::unique_lock<std::shared_mutex> lock(mutex_);
    const auto found = values_.find(key);
    if (found != values_.end()) return found->second;
    return values_.emplace(key, make()).first->second;
  }

 private:
  std::shared_mutex mutex_;
  std::map<Key, Value> values_;
};

struct ServiceMetrics {
  std::array<Counter*, std::variant_size_v<Outcome>> by_outcome;
  Histogram* total;
  Histogram* added;
};

struct GroupMetrics {
  Gauge* usable;
  Gauge* granted;
  Gauge* waiting;
};

// Raises a counter to a running total that another module keeps.
class RunningTotal {
 public:
  explicit RunningTotal(Counter& counter) : counter_(counter) {}

  void RaiseTo(std::uint64_t total) {
    if (total <= last_total_) return;
    counter_.Increment(static_cast<double>(total - last_total_));
    last_total_ = total;
  }

 private:
  Counter& counter_;
  std::uint64_t last_total_ = 0;
};

}  // namespace

Counter& HostCounter(Registry* registry, const char* name, const char* help) {
  return CounterFamily(registry, name, help).Add({});
}
Gauge& HostGauge(Registry* registry, const char* name, const char* help) {
  return GaugeFamily(registry, name, help).Add({});
}

// The metrics without labels: one time series each for the host.
struct HostMetrics {
  explicit HostMetrics(Registry* registry)
      : forwarded(
            HostCounter(registry, "heatherlatch_requests_forwarded_total",
                        "Requests passed to the host that may run them.")),
        retries(HostCounter(registry, "heatherlatch_retries_total",
                            "Requests placed again after a server did not run "
                            "them.")),
        probes(HostCounter(registry, "heatherlatch_probes_total",
                           "Health probes sent to backend servers.")),
        probe_time(
            HostCounter(registry, "heatherlatch_probe_server_seconds_total",
                        "Time of backend servers that health probes took.")),
        revision(
            HostGauge(registry, "heatherlatch_configuration_revision",
                      "Revision of the set of objects in force; 0 if none.")),
        read_age(
            HostGauge(registry, "heatherlatch_configuration_read_age_seconds",
                      "Time since the configuration service was last read.")),
        peers_linked(HostGauge(registry, "heatherlatch_peers_linked",
                               "Entry hosts to which a link is up.")),
        peers_live(HostGauge(registry, "heatherlatch_peers_live",
                             "Other entry hosts whose heartbeats arrive.")),
        key_ring_majority(
            HostGauge(registry, "heatherlatch_key_ring_majority",
                      "1 while a majority supports the key ring, else "
                      "0.")) {}

  Counter& forwarded;
  Counter& retries;
  Counter& probes;
  Counter& probe_time;
  Gauge& revision;
  Gauge& read_age;
  Gauge& peers_linked;
  Gauge& peers_live;
  Gauge& key_ring_majority;
};

class Metrics::Impl {
 public:
  HostMetrics& Host() { return host_; }

  ServiceMetrics& ForService(const ServiceName& service) {
    return services_.Get(service, [&] { return MakeService(service.str()); });
  }

  GroupMetrics& ForGroup(const std::string& group) {
    return groups_.Get(group, [&] { return MakeGroup(group); });
  }

  Counter& RefusedCounter(NotRunReason reason) {
    return *refused_by_reason_.Get(
        reason, [&] { return &refused_.Add(ReasonLabel(reason)); });
  }

  Counter& UnknownCounter(UnknownReason reason) {
    return *unknown_by_reason_.Get(
        reason, [&] { return &unknown_.Add(ReasonLabel(reason)); });
  }

  Counter& CrossRegionCounter(std::string from, std::string to) {
    const std::pair<std::string, std::string> region_pair(std::move(from),
                                                          std::move(to));
    return *cross_region_by_pair_.Get(region_pair, [&] {
      return &cross_region_.Add(
          {{"from", region_pair.first}, {"to", region_pair.second}});
    });
  }

  void SetPeerTraffic(std::uint64_t sent, std::uint64_t received) {
    const std::lock_guard<std::mutex> lock(peer_traffic_mutex_);
    peer_sent_.RaiseTo(sent);
    peer_received_.RaiseTo(received);
  }

  std::string Serialize() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
  }

 private:
  template <typename Reason>
  static prometheus::Labels ReasonLabel(Reason reason) {
    return {{"reason", std::string(ToString(reason))}};
  }

  ServiceMetrics MakeService(const std::string& service) {
    ServiceMetrics metrics{};
    const std::array<Outcome, 3> outcomes = {NotRun{}, Ran{}, Unknown{}};
    for (const Outcome& outcome : outcomes) {
      metrics.by_outcome[outcome.index()] = &requests_.Add(
          {{"service", service}, {"outcome", std::string(ToString(outcome))}});
    }
    metrics.total = &total_.Add({{"service", service}}, TotalBuckets());
    metrics.added = &added_.Add({{"service", service}}, AddedBuckets());
    return metrics;
  }

  GroupMetrics MakeGroup(const std::string& group) {
    return {&usable_.Add({{"group", group}}), &granted_.Add({{"group", group}}),
            &waiting_.Add({{"group", group}})};
  }

  Registry registry_;
  HostMetrics host_{&registry_};
  Family<Counter>& requests_ =
      CounterFamily(&registry_, "heatherlatch_requests_total",
                    "Requests of callers that ended, by service and outcome.");
  Family<Counter>& unknown_ = CounterFamily(
      &registry_, "heatherlatch_requests_unknown_total",
      "Requests of which it is not known whether they ran, by reason.");
  Family<Counter>& refused_ =
      CounterFamily(&registry_, "heatherlatch_requests_refused_total",
                    "Requests that were refused without running, by reason.");
  Family<Histogram>& total_ = HistogramFamily(
      &registry_, "heatherlatch_request_seconds",
      "Time from the arrival of a request to the end of its answer.");
  Family<Histogram>& added_ = HistogramFamily(
      &registry_, "heatherlatch_request_added_seconds",
      "Part of the request time not spent waiting for the backend server.");
  Family<Gauge>& usable_ =
      GaugeFamily(&registry_, "heatherlatch_group_slots_usable",
                  "Slots that a server group can bear now.");
  Family<Gauge>& granted_ =
      GaugeFamily(&registry_, "heatherlatch_group_slots_granted",
                  "Slots of a server group that are in use.");
  Family<Gauge>& waiting_ =
      GaugeFamily(&registry_, "heatherlatch_group_requests_waiting",
                  "Requests that wait for a slot of a server group.");
  Family<Counter>& cross_region_ =
      CounterFamily(&registry_, "heatherlatch_cross_region_bytes_total",
                    "Bytes sent from one region to another.");
  Family<Counter>& peer_bytes_ =
      CounterFamily(&registry_, "heatherlatch_peer_bytes_total",
                    "Bytes exchanged with other entry hosts, by direction.");

  Cache<ServiceName, ServiceMetrics> services_;
  Cache<std::string, GroupMetrics> groups_;
  Cache<NotRunReason, Counter*> refused_by_reason_;
  Cache<UnknownReason, Counter*> unknown_by_reason_;
  Cache<std::pair<std::string, std::string>, Counter*> cross_region_by_pair_;
  std::mutex peer_traffic_mutex_;
  RunningTotal peer_sent_{peer_bytes_.Add({{"direction", "sent"}})};
  RunningTotal peer_received_{peer_bytes_.Add({{"direction", "received"}})};
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::RequestEnded(const ServiceName& service, const Outcome& outcome,
                           Duration total, Duration added) {
  const ServiceMetrics& metrics = impl_->ForService(service);
  metrics.by_outcome[outcome.index()]->Increment();
  metrics.total->Observe(ToSeconds(total));
  metrics.added->Observe(ToSeconds(added));
  if (const auto* unknown = std::get_if<Unknown>(&outcome)) {
    impl_->UnknownCounter(unknown->reason).Increment();
  }
}

void Metrics::RequestRefused(NotRunReason reason) {
  impl_->RefusedCounter(reason).Increment();
}

void Metrics::RequestForwarded() { impl_->Host().forwarded.Increment(); }

void Metrics::RequestRetried() { impl_->Host().retries.Increment(); }

void Metrics::ProbeSent(Duration server_time) {
  impl_->Host().probes.Increment();
  impl_->Host().probe_time.Increment(ToSeconds(server_time));
}

void Metrics::SetSlots(std::string_view group, int usable, int granted,
                       int waiting) {
  const GroupMetrics& metrics = impl_->ForGroup(std::string(group));
  metrics.usable->Set(usable);
  metrics.granted->Set(granted);
  metrics.waiting->Set(waiting);
}

void Metrics::SetConfiguration(std::uint64_t revision,
                               Duration since_last_read) {
  impl_->Host().revision.Set(static_cast<double>(revision));
  impl_->Host().read_age.Set(ToSeconds(since_last_read));
}

void Metrics::SetPeers(int linked, int live) {
  impl_->Host().peers_linked.Set(linked);
  impl_->Host().peers_live.Set(live);
}

void Metrics::SetKeyRingMajority(bool held) {
  impl_->Host().key_ring_majority.Set(held ? 1 : 0);
}

void Metrics::SetPeerTraffic(std::uint64_t bytes_sent,
                             std::uint64_t bytes_received) {
  impl_->SetPeerTraffic(bytes_sent, bytes_received);
}

void Metrics::AddCrossRegionBytes(std::string_view from, std::string_view to,
                                  std::uint64_t bytes) {
  impl_->CrossRegionCounter(std::string(from), std::string(to))
      .Increment(static_cast<double>(bytes));
}

std::string Metrics::Serialize() const { return impl_->Serialize(); }

}  // namespace heatherlatch
