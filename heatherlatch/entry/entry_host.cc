#include "heatherlatch/entry/entry_host.h"

#include <atomic>
#include <random>
#include <thread>
#include <utility>

#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/entry/admin_server.h"
#include "heatherlatch/entry/caller_server.h"
#include "heatherlatch/entry/control_loop.h"
#include "heatherlatch/entry/cross_region_budgets.h"
#include "heatherlatch/entry/dispatcher.h"
#include "heatherlatch/entry/executor.h"
#include "heatherlatch/entry/forward_workers.h"
#include "heatherlatch/entry/group_directory.h"
#include "heatherlatch/entry/host_status.h"
#include "heatherlatch/entry/peer_slot_server.h"
#include "heatherlatch/entry/probe_runner.h"
#include "heatherlatch/entry/request_pipeline.h"
#include "heatherlatch/entry/slot_client.h"
#include "heatherlatch/entry/slot_service.h"

namespace heatherlatch {
namespace {

// How long a stopping host continues to accept the requests that the platform's
// load balancer and peers still send to it.
constexpr auto kStopDrainTime = std::chrono::seconds(3);
constexpr auto kTrafficTick = std::chrono::milliseconds(5);
constexpr auto kExpiryInterval = std::chrono::seconds(1);
constexpr int kForwardWorkerCount = 64;

HostDescription DescriptionOf(const HostSettings& settings) {
  std::random_device random;
  std::uniform_int_distribution<std::uint64_t> nonces(1);
  HostDescription self;
  self.incarnation = HostIncarnation{settings.name, nonces(random)};
  self.region = settings.region;
  self.zone = settings.zone;
  self.caller_endpoint = settings.caller_listen;
  self.peer_endpoint = settings.peer_listen;
  return self;
}

EventLevel LevelOf(const std::string& name) {
  if (name == "debug") return EventLevel::kDebug;
  if (name == "warning") return EventLevel::kWarning;
  if (name == "error") return EventLevel::kError;
  return EventLevel::kInfo;
}

EventLogOptions LogOptionsOf(const HostSettings& settings) {
  EventLogOptions options;
  options.path = settings.log_path;
  options.level = LevelOf(settings.log_level);
  options.routine_lines_per_second = settings.log_routine_lines_per_second;
  return options;
}

TransportOptions TransportOptionsOf(const HostSettings& settings) {
  TransportOptions options;
  options.listen = settings.peer_listen;
  options.keys = settings.peer_keys;
  return options;
}

CallerServerOptions CallerOptionsOf(const HostSettings& settings) {
  CallerServerOptions options;
  options.listen = settings.caller_listen;
  options.max_connections = 2 * settings.max_requests_in_progress;
  return options;
}

std::shared_ptr<const HostSnapshot> InitialSnapshot(
    const HostDescription& self) {
  auto view = std::make_shared<MemberView>();
  view->self = self;
  auto snapshot = std::make_shared<HostSnapshot>();
  snapshot->members = view;
  return snapshot;
}

}  // namespace

class EntryHost::Impl {
 public:
  explicit Impl(HostSettings settings)
      : settings_(std::move(settings)),
        self_(DescriptionOf(settings_)),
        log_(LogOptionsOf(settings_)),
        snapshots_(InitialSnapshot(self_)),
        budgets_(self_.region, &metrics_),
        directory_(self_, &budgets_),
        slots_(self_.incarnation, &log_),
        transport_(self_, TransportOptionsOf(settings_), Handlers()),
        peer_slot_server_(&slots_, &transport_),
        slot_client_(self_.incarnation, &snapshots_, &directory_, &slots_,
                     &transport_),
        backend_(BackendClientOptions{}),
        dispatcher_(&snapshots_, &slot_client_, &backend_, &budgets_, &log_,
                    &metrics_,
                    [this](const SuspectNotice& notice,
                           const std::vector<RegionName>& home_regions) {
                      ShareSuspect(notice, home_regions);
                    }),
        executor_(self_, &snapshots_, &directory_, &dispatcher_, &transport_,
                  &log_, &metrics_),
        pipeline_(self_, &snapshots_, &dispatcher_, &executor_, &log_,
                  &metrics_, settings_.max_requests_in_progress),
        forward_workers_(&pipeline_, &transport_, kForwardWorkerCount),
        control_loop_(settings_, self_, Dependencies()),
        probe_runner_(&snapshots_, &slots_, &backend_, &metrics_, &log_),
        caller_server_(CallerOptionsOf(settings_), &pipeline_, &executor_,
                       [this] { return IsReady(); }),
        admin_server_(
            settings_.admin_listen, [this] { return Status(); }, &metrics_) {}

  ~Impl() { Stop(); }

  Result<void> Start() {
    started_ = true;
    log_.Write(EventId::kProcessStarted, {{"host", ToString(self_.incarnation)},
                                          {"zone", self_.zone.str()}});
    BOOST_LEAF_CHECK(transport_.Start());
    BOOST_LEAF_CHECK(admin_server_.Start());
    control_loop_.Start();
    forward_workers_.Start();
    probe_runner_.Start();
    timer_ = std::thread([this] { RunTimer(); });
    BOOST_LEAF_CHECK(caller_server_.Start());
    return {};
  }

  void Stop() {
    if (!started_) return;
    started_ = false;
    log_.Write(EventId::kProcessStopping,
               {{"in_progress", std::to_string(pipeline_.InProgress())}});
    stopping_ = true;
    const TimePoint deadline = SteadyClock::now() + settings_.stop_wait;
    const TimePoint drain_end = SteadyClock::now() + kStopDrainTime;
    control_loop_.Leave(deadline);
    std::this_thread::sleep_until(std::min(drain_end, deadline));
    caller_server_.StopListening();
    WaitForRequests(deadline);
    caller_server_.Stop();
    WaitForRequests(deadline);
    forward_workers_.Stop();
    probe_runner_.Stop();
    timer_stopping_ = true;
    if (timer_.joinable()) timer_.join();
    control_loop_.Stop();
    admin_server_.Stop();
    transport_.Stop();
    log_.Write(EventId::kProcessStopped,
               {{"in_progress", std::to_string(pipeline_.InProgress())}});
  }

 private:
  ControlDependencies Dependencies() {
    ControlDependencies deps;
    deps.snapshots = &snapshots_;
    deps.directory = &directory_;
    deps.slots = &slots_;
    deps.executor = &executor_;
    deps.dispatcher = &dispatcher_;
    deps.budgets = &budgets_;
    deps.transport = &transport_;
    deps.log = &log_;
    deps.metrics = &metrics_;
    return deps;
  }

  TransportHandlers Handlers() {
    TransportHandlers handlers;
    handlers.on_link_up = [this](const HostDescription& peer) {
      directory_.OnLinkUp(peer.incarnation);
      control_loop_.OnLinkUp(peer);
    };
    handlers.on_link_down = [this](const HostIncarnation& peer,
                                   LinkLossReason) {
      directory_.OnLinkDown(peer);
      slot_client_.OnLinkDown(peer);
      peer_slot_server_.OnLinkDown(peer);
      executor_.OnLinkDown(peer);
      control_loop_.OnLinkDown(peer);
    };
    handlers.on_message = [this](const HostIncarnation& peer,
                                 PeerMessage message) {
      OnMessage(peer, std::move(message));
    };
    handlers.on_link_refused = [this](const Endpoint& remote, LinkLossReason,
                                      const FrameError* error) {
      log_.Write(EventId::kPeerRefused,
                 {{"remote", ToString(remote)},
                  {"problem", error == nullptr ? "" : ToString(*error)}});
    };
    return handlers;
  }

  // Dispatches each kind of message to the component that handles it.
  struct MessageVisitor {
    Impl* impl;
    const HostIncarnation& peer;

    void operator()(AcquireSlot& message) const {
      impl->peer_slot_server_.OnAcquire(peer, message);
    }
    void operator()(CancelAcquire& message) const {
      impl->peer_slot_server_.OnCancel(peer, message);
    }
    void operator()(ReleaseSlot& message) const {
      impl->peer_slot_server_.OnRelease(peer, message);
    }
    void operator()(AcquireGranted& message) const {
      impl->slot_client_.OnGranted(peer, message);
    }
    void operator()(AcquireRefused& message) const {
      impl->slot_client_.OnRefused(peer, message);
    }
    void operator()(ForwardRequest& message) const {
      impl->forward_workers_.Add(peer, std::move(message));
    }
    void operator()(ForwardResponse& message) const {
      impl->executor_.OnForwardResponse(peer, std::move(message));
    }
    // Every other kind concerns control state. The overloads above must take
    // the same kind of reference, otherwise this template is the better match.
    template <typename Other>
    void operator()(Other& message) const {
      impl->control_loop_.OnMessage(peer, std::move(message));
    }
  };

  // Runs on the I/O thread of the transport; must not block.
  void OnMessage(const HostIncarnation& peer, PeerMessage message) {
    std::visit(MessageVisitor{this, peer}, message);
  }

  void ShareSuspect(const SuspectNotice& notice,
                    const std::vector<RegionName>& home_regions) {
    const auto snapshot = snapshots_.Get();
    for (const RegionName& home_region : home_regions) {
      for (const HostIncarnation& host :
           snapshot->members->LiveInRegion(home_region)) {
        if (host == self_.incarnation) continue;
        transport_.Send(host, CrashSuspectReport{notice});
      }
    }
  }

  // Applies timeouts of traffic state: slot leases and queues at every tick,
  // expired records every `kExpiryInterval`.
  void RunTimer() {
    TimePoint next_expiry = SteadyClock::now();
    while (!timer_stopping_) {
      std::this_thread::sleep_for(kTrafficTick);
      const TimePoint now = SteadyClock::now();
      slots_.Advance(now);
      if (now < next_expiry) continue;
      next_expiry = now + kExpiryInterval;
      executor_.Expire(now);
      dispatcher_.Expire(now);
    }
  }

  void WaitForRequests(TimePoint deadline) const {
    while (pipeline_.InProgress() > 0 && SteadyClock::now() < deadline) {
      std::this_thread::sleep_for(kTrafficTick);
    }
  }

  bool IsReady() const { return !stopping_ && snapshots_.Get()->may_serve; }

  std::string Status() {
    HostStatusInputs inputs;
    inputs.self = self_;
    inputs.snapshot = snapshots_.Get();
    inputs.groups = slots_.OwnedGroups();
    inputs.requests_in_progress = pipeline_.InProgress();
    inputs.key_ring_majority = executor_.HasMajority(SteadyClock::now());
    inputs.stopping = stopping_;
    return StatusJson(inputs);
  }

  const HostSettings settings_;
  const HostDescription self_;
  EventLog log_;
  Metrics metrics_;
  SnapshotCell snapshots_;
  CrossRegionBudgets budgets_;
  GroupDirectory directory_;
  SlotService slots_;
  PeerTransport transport_;
  PeerSlotServer peer_slot_server_;
  SlotClient slot_client_;
  BackendClient backend_;
  Dispatcher dispatcher_;
  Executor executor_;
  RequestPipeline pipeline_;
  ForwardWorkers forward_workers_;
  ControlLoop control_loop_;
  ProbeRunner probe_runner_;
  CallerServer caller_server_;
  AdminServer admin_server_;
  std::thread timer_;
  std::atomic<bool> timer_stopping_{false};
  std::atomic<bool> stopping_{false};
  bool started_ = false;
};

EntryHost::EntryHost(HostSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

EntryHost::~EntryHost() = default;

Result<void> EntryHost::Start() { return impl_->Start(); }

void EntryHost::Stop() { impl_->Stop(); }

}  // namespace heatherlatch
