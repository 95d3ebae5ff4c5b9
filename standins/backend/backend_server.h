// A stand-in for one backend server.
//
// It runs each request for a random service time in one of a fixed number of
// slots, and implements what docs/INTERFACES.md expects of backend servers: it
// sheds load, drains, starts cold, refuses requests past their deadline, and
// cancels the run of a client that closes its connection. `SetFault` changes
// this behaviour at run time. A cold server that receives a request while all
// its cold slots are taken crashes: it closes its connections, refuses new ones
// until `restart_time` has passed, and restarts with a new boot id.
//
// Example:
//   RunLog log;
//   BackendServer server(options, &log, [](BackendServer*) {});
//   if (!server.Start()) return 1;
//
// Thread safety: every method may be called from any thread, but `Start` and
// `Restart` only from one thread at a time.
#ifndef STANDINS_BACKEND_BACKEND_SERVER_H_
#define STANDINS_BACKEND_BACKEND_SERVER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"
#include "standins/backend/run_log.h"
#include "standins/common/http_server.h"

namespace heatherlatch::standins {

// What a server does with a request that arrives while every slot is taken.
enum class OverloadPolicy {
  kShed,      // Refuses it with X-Not-Run.
  kQueue,     // Queues it until a slot is free.
  kSlowDown,  // Runs it; runs that start beyond the slots take longer.
};

struct BackendServerOptions {
  std::string name;
  Endpoint listen;
  int slots = 3;
  int max_connections = 260;
  Duration connect_time = std::chrono::milliseconds(1);
  Duration service_mean = std::chrono::milliseconds(8);
  double tail_share = 0.02;  // Share of runs slowed down by `tail_factor`.
  double tail_factor = 8;
  std::uint64_t seed = 1;
  std::uint64_t response_bytes = 128;
  std::uint64_t bytes_per_second = 0;  // Of each response; 0: no limit.
  OverloadPolicy overload = OverloadPolicy::kShed;
  Duration cold_time{};  // After each start.
  int cold_slots = 1;    // Concurrent runs beyond which a cold server crashes.
  double cold_factor = 3;  // Slowdown of runs while the server is cold.
  Duration restart_time = std::chrono::seconds(1);
  Duration health_time = std::chrono::milliseconds(1);
  Duration health_lag{};  // Age at which the status in /health is renewed.
};

// Injected faults of one server. Draining is no fault, but set the same way.
struct BackendFault {
  double slow_factor = 1;  // Multiplies the service time.
  bool draining = false;
  bool black_hole = false;       // Accepts requests, sends no response.
  bool report_idle = false;      // Always reports itself ready and idle.
  bool truncate_bodies = false;  // Cuts off each response body half way.
  // Omits X-Boot-Id, X-In-Flight and X-Server-State from responses.
  bool omit_status_headers = false;
  // Crashes on a request whose path or body contains it; empty: never.
  std::string crash_marker;
};

struct BackendServerCounts {
  std::uint64_t requests = 0;
  std::uint64_t probes = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t refused_deadline = 0;
  std::uint64_t overruns = 0;       // Arrivals while every slot was taken.
  std::uint64_t cold_overruns = 0;  // The same for cold slots, while cold.
  std::uint64_t crashes = 0;
  int in_flight = 0;
  int most_in_flight = 0;
  int connections = 0;
  std::uint64_t boot_id = 0;
};

class BackendServer {
 public:
  // @param log         must outlive the server
  // @param on_crashed  called once after each crash, from any thread. It
  //                    arranges that another thread calls `Stop`, and
  //                    `Restart` at `RestartAt`
  BackendServer(BackendServerOptions options, RunLog* log,
                std::function<void(BackendServer*)> on_crashed);

  const BackendServerOptions& options() const { return options_; }

  // @return whether the server listens now
  bool Start();

  // Stops listening. Runs that this cancels are recorded as crashed.
  void Stop();

  // Starts again after a crash, under a new boot id.
  // @return whether the server listens now
  bool Restart();

  void SetFault(const BackendFault& fault);
  BackendFault Fault() const;

  // Makes the server cold for `cold_time`, without a restart.
  void TurnCold(Duration cold_time);

  // Closes every connection and calls `on_crashed`, which arranges the restart.
  // @param down  time until the restart
  void Crash(Duration down);

  // @return the time at which a crashed server is due to restart
  TimePoint RestartAt() const;

  BackendServerCounts Counts() const;

 private:
  struct Admission {
    bool admitted = false;
    int in_flight = 0;
    Duration service_time{};
    RunId run = 0;
    std::string not_run_reason;  // Value of X-Not-Run.
    bool crash = false;
  };
  // The status that /health reports.
  struct HealthStatus {
    std::string state = "ready";
    int in_flight = 0;
    TimePoint sampled_at{};
  };

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandleHealth(const HttpRequest& request);
  HttpResponse RunAdmitted(const HttpRequest& request,
                           const Admission& admission,
                           const BackendFault& fault);
  HttpResponse StreamResponse(const HttpRequest& request, RunId run,
                              const BackendFault& fault);
  HttpResponse Refuse(const HttpRequest& request,
                      const std::string& reason) const;
  Admission Admit(const HttpRequest& request);
  bool WaitForSlot(std::unique_lock<std::mutex>* lock,
                   const HttpRequest& request);
  Duration DrawServiceTime(int in_flight, TimePoint now);
  void EndRun(RunId run, RunEnd end);
  HttpResponse WithStatusHeaders(HttpResponse response) const;
  std::string StateText(TimePoint now) const;
  // Holds a request without a response while the black-hole fault is set.
  // @return whether the connection of the client is still open afterwards
  bool HoldWhileBlackHole(const HttpRequest& request) const;

  const BackendServerOptions options_;
  RunLog* const log_;
  const std::function<void(BackendServer*)> on_crashed_;
  mutable std::mutex mutex_;
  std::condition_variable slot_free_;
  std::mt19937_64 random_;
  BackendFault fault_;
  BackendServerCounts counts_;
  HealthStatus health_;
  TimePoint cold_until_{};
  TimePoint restart_at_{};
  bool crashed_ = false;
  HttpServer server_;  // Last: it stops before other members are destroyed.
};

}  // namespace heatherlatch::standins

#endif  // STANDINS_BACKEND_BACKEND_SERVER_H_
