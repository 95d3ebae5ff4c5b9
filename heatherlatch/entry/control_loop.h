// The control thread: membership, configuration, key ring and ownership.
//
// All control state belongs to this one thread. Other threads hand it work with
// `Post`, and read what it decided from the published snapshot. Two more
// threads wait for the platform and post what they read.
//
// Rules for taking new requests (`HostSnapshot::may_serve`):
//   - A set of objects is in force, and linked peers were asked for a newer
//   one.
//   - After a pause of this process, a peer or the platform has been heard
//   since.
//   - A host that knows of peers has heard one of them, or the platform, within
//     `kIsolationLimit`. A host that hears from nobody cannot learn that a zone
//     was taken out of service, so it refuses instead.
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

#include "heatherlatch/configuration/configuration_keeper.h"
#include "heatherlatch/entry/dispatcher.h"
#include "heatherlatch/entry/executor.h"
#include "heatherlatch/entry/group_directory.h"
#include "heatherlatch/entry/host_snapshot.h"
#include "heatherlatch/entry/slot_service.h"
#include "heatherlatch/entry/traffic_accounts.h"
#include "heatherlatch/membership/membership.h"
#include "heatherlatch/peer/transport.h"
#include "heatherlatch/platform/platform_client.h"
#include "heatherlatch/settings/host_settings.h"

namespace heatherlatch {

// What the control thread works with. The pointers outlive the loop.
struct ControlParts {
  SnapshotCell* snapshots = nullptr;
  GroupDirectory* directory = nullptr;
  SlotService* slots = nullptr;
  Executor* executor = nullptr;
  Dispatcher* dispatcher = nullptr;
  TrafficAccounts* accounts = nullptr;
  PeerTransport* transport = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
};

class ControlLoop {
 public:
  ControlLoop(HostSettings settings, HostDescription self, ControlParts parts);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start();
  // Ends the threads.
  void Stop();

  // Announces that this host stops, gives its groups up and hands the records
  // of callers' keys over.
  // @param deadline  the longest time to wait for runs under callers' keys
  void Leave(TimePoint deadline);

  // Runs `task` on the control thread.
  void Post(std::function<void()> task);

  // Handlers of the transport.
  void OnLinkUp(const HostDescription& peer);
  void OnLinkDown(const HostIncarnation& peer);
  // Takes a message that concerns control state.
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
  // @param asked_at  when the list was asked for
  void SetServerList(const PlatformList& list, TimePoint asked_at);
  void OnDocument(const ConfigurationDocument& document, TimePoint now);
  void OnPeerRevision(const HostIncarnation& peer, Revision revision);
  void NotePeerContact(TimePoint asked_at);
  void NotePlatformContact(TimePoint asked_at);
  bool MayServe(TimePoint now);
  void ApplyLimits();
  void UpdateRing(TimePoint now);
  void PublishSnapshot(TimePoint now);
  void ReportMetrics(TimePoint now);
  void HandOverKeys(TimePoint now);
  void SendKeys(const HostIncarnation& heir);

  void WatchConfiguration();
  void ReadLists();
  // @return whether this host is one of those that read for its zone
  bool IsReader() const;
  void SleepUnlessStopping(Duration duration);

  const HostSettings settings_;
  const HostDescription self_;
  const ControlParts parts_;

  // Owned by the control thread.
  Membership membership_;
  ConfigurationKeeper keeper_;
  std::set<BackendServerName> leaving_servers_;
  std::set<HostIncarnation> linked_;
  std::deque<SentHeartbeat> sent_heartbeats_;
  std::uint64_t next_sequence_ = 1;
  TimePoint next_heartbeat_;
  TimePoint next_hand_over_;
  TimePoint last_tick_;
  TimePoint last_contact_;
  TimePoint last_platform_read_;
  TimePoint
      paused_until_;  // Contact after this time ends the doubt of a pause.
  bool in_doubt_ = false;
  bool changed_ = true;
  std::set<std::string> reported_groups_;

  // Shared.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::function<void()>> tasks_;
  std::atomic<bool> stopping_{false};
  // Newest revision that was read, accepted or not, so that a rejected one is
  // not read again and again.
  std::atomic<Revision> revision_seen_{0};
  PlatformClient platform_;
  std::thread control_thread_;
  std::thread watch_thread_;
  std::thread list_thread_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_CONTROL_LOOP_H_
