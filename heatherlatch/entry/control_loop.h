// The control thread: membership, configuration, key ring and ownership.
//
// All control state belongs to this one thread. Other threads queue tasks for
// it with `Post` and read the resulting state from the published snapshot. Two
// further threads make the blocking reads of the platform and post their
// results.
//
// This host accepts new requests (`HostSnapshot::may_serve`) while all of this
// holds:
//   - An object set is in force, and linked peers were queried for a newer one.
//   - If the membership has other hosts or a peer is linked, a peer or the
//     platform has responded within `kMaxContactAge`. Without any response a
//     host cannot detect that a zone was taken out of service, so it refuses
//     requests.
//   - If such a host was paused, a linked peer has responded since; the
//     platform's response is enough only while no peer is linked.
//
// The response of a peer that reports a newer revision does not count.
//
// Thread safety: every public method may be called from any thread.
#ifndef HEATHERLATCH_ENTRY_CONTROL_LOOP_H_
#define HEATHERLATCH_ENTRY_CONTROL_LOOP_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "heatherlatch/configuration/configuration_state.h"
#include "heatherlatch/entry/cross_region_budgets.h"
#include "heatherlatch/entry/dispatcher.h"
#include "heatherlatch/entry/executor.h"
#include "heatherlatch/entry/group_directory.h"
#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/entry/slot_service.h"
#include "heatherlatch/membership/membership.h"
#include "heatherlatch/peer/transport.h"
#include "heatherlatch/platform/platform_client.h"
#include "heatherlatch/settings/host_settings.h"

namespace heatherlatch {

// Components that the control loop uses. All must outlive the loop.
struct ControlDependencies {
  SnapshotCell* snapshots = nullptr;
  GroupDirectory* directory = nullptr;
  SlotService* slots = nullptr;
  Executor* executor = nullptr;
  Dispatcher* dispatcher = nullptr;
  CrossRegionBudgets* budgets = nullptr;
  PeerTransport* transport = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
};

class ControlLoop {
 public:
  ControlLoop(HostSettings settings, HostDescription self,
              ControlDependencies deps);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start();
  // Stops and joins the threads.
  void Stop();

  // Announces to the peers that this host is leaving, releases its groups and
  // hands the records of callers' keys over to other hosts. Blocks.
  // @param deadline  latest time to wait for executions under callers' keys to
  //                  end and for the handover to be acknowledged
  void Leave(TimePoint deadline);

  // Queues `task` to run on the control thread.
  void Post(std::function<void()> task);

  // Handlers for events of the transport.
  void OnLinkUp(const HostDescription& peer);
  void OnLinkDown(const HostIncarnation& peer);
  // Handles a message that concerns control state.
  void OnMessage(const HostIncarnation& peer, PeerMessage message);

 private:
  class MessageVisitor;
  struct SentHeartbeat {
    std::uint64_t sequence = 0;
    TimePoint sent_at;
  };

  void Run();
  void RunTasks();
  void Tick(TimePoint now);
  void DetectPause(TimePoint now);
  void SendHeartbeats(TimePoint now);
  // @param requested_at  when the request for the list was sent
  void ApplyPlatformList(const PlatformList& list, TimePoint requested_at);
  void OnDocument(const ConfigurationDocument& document, TimePoint now);
  void OnPeerRevision(const HostIncarnation& peer, Revision revision);
  // @param requested_at  when the heartbeat that the peer acknowledged was sent
  void RecordPeerContact(TimePoint requested_at);
  void RecordPlatformContact(TimePoint requested_at);
  bool MayServe(TimePoint now);
  void ApplyLimits();
  void UpdateKeyRing(TimePoint now);
  void PublishSnapshot(TimePoint now);
  void ReportMetrics(TimePoint now);
  void HandOverKeys(TimePoint now);
  void SendKeys(const HostIncarnation& recipient);

  void WatchConfiguration();
  void ReadPlatformLists();
  // @return whether this host is one of the `kPlatformReadersPerZone` hosts
  //     that read the configuration for its zone
  bool IsConfigurationReader() const;
  void SleepUnlessStopping(Duration duration);

  const HostSettings settings_;
  const HostDescription self_;
  const ControlDependencies deps_;

  // Owned by the control thread.
  Membership membership_;
  ConfigurationState configuration_;
  std::set<BackendServerName> leaving_servers_;
  std::set<HostIncarnation> linked_;
  std::deque<SentHeartbeat> sent_heartbeats_;
  std::uint64_t next_sequence_ = 1;
  TimePoint next_heartbeat_;
  TimePoint next_handover_;
  TimePoint last_tick_;
  TimePoint last_contact_;
  TimePoint last_platform_read_;
  TimePoint resumed_at_;           // When the last pause was detected.
  bool awaiting_contact_ = false;  // No contact yet since `resumed_at_`.
  bool reconcile_needed_ = true;   // `SlotService::Reconcile` has to run.
  std::set<std::string> reported_groups_;

  // Shared by the threads; `mutex_` guards `tasks_`.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::function<void()>> tasks_;
  std::atomic<bool> stopping_{false};
  // Newest revision that was read, accepted or not, so that a rejected one is
  // not read repeatedly.
  std::atomic<Revision> newest_read_revision_{0};
  PlatformClient platform_;
  std::thread control_thread_;
  std::thread watch_thread_;
  std::thread list_thread_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_CONTROL_LOOP_H_
