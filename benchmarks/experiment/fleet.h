// The fakes of the experiment: backend servers in availability zones.
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

inline constexpr Duration kHopInZone = std::chrono::microseconds(100);
inline constexpr Duration kHopBetweenZones = std::chrono::milliseconds(1);
inline constexpr int kZones = 2;

// Sizes of one service.
struct ServiceShape {
  std::string name;
  int servers = 20;
  int slots = 3;
  int cold_slots = 1;
  int hosts = 18;
};

// A backend server that sheds what is above its slots.
class FakeServer {
 public:
  using Answer = std::function<void(const CallReport&)>;

  FakeServer(EventLoop* loop, const ServiceShape& shape, int index);

  const BackendServerName& name() const { return name_; }
  int zone() const { return zone_; }
  int in_flight() const { return in_flight_; }
  GroupServer Described(bool accepts_work) const;

  // Runs a request of this service time, or sheds it at once.
  void Call(Duration service_time, const Answer& answer);

  // Makes requests that start from now on take `factor` times as long.
  void SetSlowFactor(double factor) { slow_factor_ = factor; }

  // Restarts the server; it bears its cold slots only for a while. Requests
  // that run are lost.
  // @param signs  the server says in its answers that it is cold
  void Restart(Duration cold_for, bool signs);

  std::uint64_t calls() const { return calls_; }
  std::uint64_t overruns() const { return overruns_; }
  Duration busy() const { return busy_; }
  TimePoint last_call() const { return last_call_; }

 private:
  bool cold() const { return loop_->Now() < cold_until_; }
  CallReport Report(CallOutcome end) const;

  EventLoop* loop_;
  BackendServerName name_;
  int zone_;
  int slots_;
  int cold_slots_;
  double slow_factor_ = 1;
  std::uint64_t boot_id_ = 1;
  bool signs_ = true;
  TimePoint cold_until_;
  int in_flight_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t overruns_ = 0;
  Duration busy_{};
  TimePoint last_call_;
};

struct Fleet {
  Fleet(EventLoop* loop, const ServiceShape& shape);

  // @return one way time between two zones
  static Duration Hop(int zone_a, int zone_b) {
    return zone_a == zone_b ? kHopInZone : kHopBetweenZones;
  }
  int ZoneOfHost(int host) const { return host % kZones; }

  ServiceShape shape;
  std::vector<std::unique_ptr<FakeServer>> servers;
};

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_FLEET_H_
