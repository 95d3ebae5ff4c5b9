// Sends health probes to backend servers, within a budget.
//
// Only the owner of a group probes its servers, so each server is probed by one
// host of the fleet. A server that has responded to a request within the last
// probe interval is not probed, because the response shows its state. The
// probes of a server never take more of its time than the `probe_budget` of its
// service allows.
//
// Thread safety: `Start` and `Stop` are called from one thread.
#ifndef HEATHERLATCH_ENTRY_PROBE_RUNNER_H_
#define HEATHERLATCH_ENTRY_PROBE_RUNNER_H_

#include <atomic>
#include <map>
#include <optional>
#include <thread>
#include <vector>

#include "heatherlatch/admission/token_bucket.h"
#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/entry/slot_service.h"
#include "heatherlatch/telemetry/metrics.h"

namespace heatherlatch {

class ProbeRunner {
 public:
  // All pointers must outlive the runner.
  ProbeRunner(const SnapshotCell* snapshots, SlotService* slots,
              BackendClient* backend, Metrics* metrics, EventLog* log);
  ~ProbeRunner();
  ProbeRunner(const ProbeRunner&) = delete;
  ProbeRunner& operator=(const ProbeRunner&) = delete;

  void Start();
  void Stop();

 private:
  struct ServerRecord {
    TokenBucket budget;
    TimePoint next_probe;
    bool accepted_work = true;  // According to the last successful probe.
    bool cold = false;
    std::optional<std::uint64_t> boot_id;
  };

  void Run();
  void ProbeDue(const HostSnapshot& snapshot, TimePoint now);
  void Probe(const GroupId& group, const Service& service,
             const BackendServer& server, ServerRecord* record);
  ServerRecord* RecordFor(const Service& service,
                          const BackendServerName& server, TimePoint now);

  const SnapshotCell* const snapshots_;
  SlotService* const slots_;
  BackendClient* const backend_;
  Metrics* const metrics_;
  EventLog* const log_;
  std::map<BackendServerName, ServerRecord> records_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_PROBE_RUNNER_H_
