// Fake backend servers in availability zones, for the experiment.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_FLEET_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_FLEET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/testing/event_loop.h"

namespace heatherlatch::experiment {

// One-way network delays.
inline constexpr Duration kDelayInZone = std::chrono::microseconds(100);
inline constexpr Duration kDelayBetweenZones = std::chrono::milliseconds(1);
inline constexpr int kZones = 2;

// Sizes of one service; `slots_per_server` applies to a warm server.
struct ServiceConfig {
  std::string name;
  int servers = 20;
  int slots_per_server = 3;
  int cold_slots_per_server = 1;
  int hosts = 18;
};

// A backend server that sheds requests when all its slots are in use.
class FakeServer {
 public:
  using ResponseCallback = std::function<void(const CallReport&)>;

  FakeServer(EventLoop* loop, const ServiceConfig& service, int index);

  const BackendServerName& name() const { return name_; }
  int zone() const { return zone_; }
  int in_flight() const { return in_flight_; }
  GroupServer ToGroupServer(bool accepts_work) const;

  // Runs a request for `service_time`, or sheds it immediately.
  void Call(Duration service_time, const ResponseCallback& on_response);

  // Makes requests that start from now on take `factor` times as long.
  void SetSlowdown(double factor) { slowdown_ = factor; }

  // Restarts the server. It has only its cold slots for `cold_duration`.
  // Running requests fail.
  // @param reports_cold  whether its responses report that it is cold
  void Restart(Duration cold_duration, bool reports_cold);

  std::uint64_t calls() const { return calls_; }
  std::uint64_t overruns() const { return overruns_; }
  Duration busy_time() const { return busy_time_; }
  TimePoint last_call() const { return last_call_; }

 private:
  bool cold() const { return loop_->Now() < cold_until_; }
  CallReport Report(CallOutcome end) const;

  EventLoop* loop_;
  BackendServerName name_;
  int zone_;
  int slots_;
  int cold_slots_;
  double slowdown_ = 1;
  std::uint64_t boot_id_ = 1;
  bool reports_cold_ = true;
  TimePoint cold_until_;
  int in_flight_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t overruns_ = 0;
  Duration busy_time_{};
  TimePoint last_call_;
};

struct Fleet {
  Fleet(EventLoop* loop, const ServiceConfig& service);

  // @return one-way network delay between two availability zones
  static Duration OneWayDelay(int zone_a, int zone_b) {
    return zone_a == zone_b ? kDelayInZone : kDelayBetweenZones;
  }
  int ZoneOfHost(int host) const { return host % kZones; }

  ServiceConfig service;
  std::vector<std::unique_ptr<FakeServer>> servers;
};

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_FLEET_H_
