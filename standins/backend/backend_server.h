// A stand-in for one backend server.
//
// It runs requests for a drawn service time in a number of slots, and shows the
// behaviour that docs/INTERFACES.md expects of backend servers: it sheds load,
// drains, starts cold, refuses late requests, and cancels the run of a client
// that closes its connection. Faults change this while it runs. A cold server
// that is given more than its cold slots falls over: it cuts its connections,
// refuses new ones for a while and restarts under a new boot id.
//
// Example:
//   RunLog log;
//   BackendServer server(options, &log, [](BackendServer*) {});
//   if (!server.Start()) return 1;
//
// Thread safety: every method but `Start` and `Restart` may be called from any
// thread; those two only from one thread at a time.
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

// What a server does with a request that finds every slot taken.
enum class OverloadPolicy {
  kShed,      // Refuses it with X-Not-Run.
  kQueue,     // Makes it wait for a slot.
  kSlowDown,  // Runs it; all runs that start then take longer.
};

struct BackendServerOptions {
  std::string name;
  Endpoint listen;
  int slots = 3;
  int max_connections = 260;
  Duration connect_time = std::chrono::milliseconds(1);
  Duration service_mean = std::chrono::milliseconds(8);
  double tail_share = 0.02;  // Share of runs that take `tail_factor` as long.
  double tail_factor = 8;
  std::uint64_t seed = 1;
  std::uint64_t answer_bytes = 128;
  std::uint64_t bytes_per_second = 0;  // Of each answer; 0: no limit.
  OverloadPolicy overload = OverloadPolicy::kShed;
  Duration cold_time{};  // After each start.
  int cold_slots = 1;    // Runs at once that a cold server survives.
  double cold_factor = 3;
  Duration restart_time = std::chrono::seconds(1);
  Duration health_time = std::chrono::milliseconds(1);
  Duration health_lag{};  // Age of what /health says.
};

// What a server does wrong, or is told to do, at the moment.
struct BackendFault {
  double slow_factor = 1;
  bool draining = false;
  bool black_hole = false;           // Takes requests and never answers.
  bool report_idle = false;          // Says that it is ready and idle, always.
  bool truncate_bodies = false;      // Cuts each answer half way.
  bool omit_status_headers = false;  // Sends none of the X- headers.
  std::string crash_marker;          // Crashes on a request that contains it.
};

struct BackendServerCounts {
  std::uint64_t requests = 0;
  std::uint64_t probes = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t shed = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t refused_deadline = 0;
  std::uint64_t overruns = 0;       // Arrivals that found every slot taken.
  std::uint64_t cold_overruns = 0;  // The same while cold, by cold slots.
  std::uint64_t crashes = 0;
  int in_flight = 0;
  int most_in_flight = 0;
  int connections = 0;
  std::uint64_t boot_id = 0;
};

class BackendServer {
 public:
  // @param log         outlives the server
  // @param on_crashed  called once after each crash, from any thread; has
  //                    another thread call `Restart`
  BackendServer(BackendServerOptions options, RunLog* log,
                std::function<void(BackendServer*)> on_crashed);

  const BackendServerOptions& options() const { return options_; }

  // @return whether the server listens now
  bool Start();

  // Stops listening. Its runs count as crashed.
  void Stop();

  // Starts again after a crash, under a new boot id.
  // @return whether the server listens now
  bool Restart();

  void SetFault(const BackendFault& fault);
  BackendFault Fault() const;

  // Makes the server cold from now on, without a restart.
  void TurnCold(Duration cold_time);

  // Cuts every connection; `on_crashed` arranges the restart.
  // @param down  how long the server stays down
  void Crash(Duration down);

  // @return when a crashed server is due to start again
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
  // What /health says.
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
  HttpResponse WithStatusHeaders(HttpResponse answer) const;
  std::string StateText(TimePoint now) const;
  // Keeps a request while the server is a black hole.
  // @return whether its client still waits afterwards
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
  HttpServer server_;  // Last, so that it stops before the state goes.
};

}  // namespace heatherlatch::standins

#endif  // STANDINS_BACKEND_BACKEND_SERVER_H_
