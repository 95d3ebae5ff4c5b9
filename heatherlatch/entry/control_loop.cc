#include "heatherlatch/entry/control_loop.h"

#include <algorithm>
#include <future>
#include <utility>

#include "heatherlatch/objects/check.h"
#include "heatherlatch/placement/group_owner.h"

namespace heatherlatch {
namespace {

constexpr auto kTick = std::chrono::milliseconds(50);
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(500);
// A longer time between two ticks means that the process was paused.
constexpr auto kPauseThreshold = std::chrono::milliseconds(750);
// A host with peers refuses new requests when the newest response of a peer or
// the platform is older than this.
constexpr auto kMaxContactAge = std::chrono::milliseconds(2500);
constexpr auto kPlatformTimeout = std::chrono::seconds(2);
// Delay after a failed read of the platform.
constexpr auto kPlatformRetryDelay = std::chrono::milliseconds(500);
// Number of hosts in a zone that read the configuration from the platform on
// behalf of all hosts of the zone. Lists are read at the rate of this many.
constexpr std::size_t kPlatformReadersPerZone = 2;
// Most sent heartbeats that are kept to match acknowledgements with.
constexpr std::size_t kMaxRecordedHeartbeats = 64;
// Interval at which a handover is sent again until it is acknowledged.
constexpr auto kHandoverInterval = std::chrono::milliseconds(500);
// Most records of keys in one handover message.
constexpr std::size_t kMaxKeysPerMessage = 500;
// Stored response bytes at which a handover message is sent, to stay below the
// frame limit. A longer response is not handed over.
constexpr std::size_t kMaxResponseBytesPerMessage = 512 * 1024;

std::variant<std::shared_ptr<const ObjectSet>, Rejected> CheckDocument(
    const ConfigurationDocument& document) {
  auto read = ReadObjectSet(document.yaml, document.revision);
  if (auto* set = std::get_if<std::shared_ptr<const ObjectSet>>(&read)) {
    return std::move(*set);
  }
  Rejected rejected;
  rejected.revision = document.revision;
  for (const Finding& finding : std::get<std::vector<Finding>>(read)) {
    rejected.problems += ToString(finding) + "\n";
  }
  return rejected;
}

// Returns the time after which no repeat of a request under a caller's key can
// still arrive or be executing: the resend window, the longest deadline of a
// route that is not idempotent, and slack for the support lifetime of the key
// ring and for clock error (see `KeyRingOptions::grace_period`).
Duration KeyGracePeriodOf(const ObjectSet& objects) {
  constexpr auto kSlack = std::chrono::seconds(4);
  Duration longest{};
  for (const Route& route : objects.routes) {
    if (!route.idempotent) longest = std::max(longest, route.deadline);
  }
  return objects.limits.resend_window + longest + kSlack;
}

}  // namespace

// Handles the messages that concern control state. Runs on the control thread.
class ControlLoop::MessageVisitor {
 public:
  MessageVisitor(ControlLoop* loop, const HostIncarnation& peer)
      : loop_(loop), peer_(peer), now_(SteadyClock::now()) {}

  void operator()(const Heartbeat& message) {
    loop_->membership_.OnHeartbeat(message.from, message.revision, now_);
    for (const GroupLoadReport& report : message.groups) {
      loop_->deps_.directory->OnLoad(report.group, report.load, now_);
    }
    loop_->OnPeerRevision(peer_, message.revision);
    // After a change of the membership this host must stop supporting the
    // previous ring before it sends the next acknowledgement.
    loop_->UpdateKeyRing(now_);
    HeartbeatAck ack;
    ack.sequence = message.sequence;
    ack.revision = loop_->configuration_.InForce();
    ack.supported_ring = loop_->deps_.executor->SupportedRing(now_);
    loop_->deps_.transport->Send(peer_, ack);
  }

  void operator()(const HeartbeatAck& message) {
    const auto sent = std::find_if(
        loop_->sent_heartbeats_.begin(), loop_->sent_heartbeats_.end(),
        [&](const SentHeartbeat& s) { return s.sequence == message.sequence; });
    if (sent == loop_->sent_heartbeats_.end()) return;
    loop_->deps_.executor->OnSupport(peer_, message.supported_ring,
                                     sent->sent_at);
    loop_->OnPeerRevision(peer_, message.revision);
    const bool has_newer = message.revision > loop_->configuration_.InForce();
    if (!has_newer) loop_->RecordPeerContact(sent->sent_at);
  }

  void operator()(const Leaving& message) {
    loop_->membership_.OnLeaving(message.from, now_);
    loop_->reconcile_needed_ = true;
  }

  void operator()(const ConfigurationRequest& message) {
    const ConfigurationDocument& document = loop_->configuration_.Document();
    if (document.revision <= message.newer_than) return;
    loop_->deps_.transport->Send(peer_, ConfigurationOffer{document});
  }

  void operator()(const ConfigurationOffer& message) {
    loop_->OnDocument(message.document, now_);
  }

  void operator()(const KeyHandover& message) {
    if (!loop_->deps_.executor->OnHandover(message, now_)) return;
    loop_->deps_.log->Write(EventId::kKeysTakenOver,
                            {{"from", ToString(message.from)}});
    loop_->deps_.transport->Send(peer_,
                                 KeyHandoverAck{loop_->self_.incarnation});
  }

  void operator()(const KeyHandoverAck&) {
    loop_->deps_.executor->OnHandoverAcked(peer_);
  }

  void operator()(const CrashSuspectReport& message) {
    loop_->deps_.dispatcher->OnSuspectNotice(message.notice);
  }

  // `EntryHost` routes messages that concern traffic to other components.
  template <typename Other>
  void operator()(const Other&) {}

 private:
  ControlLoop* loop_;
  const HostIncarnation& peer_;
  TimePoint now_;
};

ControlLoop::ControlLoop(HostSettings settings, HostDescription self,
                         ControlDependencies deps)
    : settings_(std::move(settings)),
      self_(std::move(self)),
      deps_(deps),
      membership_(self_, MembershipOptions{}, SteadyClock::now()),
      configuration_(ConfigurationOptions{}, &CheckDocument,
                     SteadyClock::now()),
      next_heartbeat_(SteadyClock::now()),
      last_tick_(SteadyClock::now()),
      last_contact_(SteadyClock::now()),
      last_platform_read_(SteadyClock::now()),
      platform_(settings_.platform, [this] { return stopping_.load(); }) {}

ControlLoop::~ControlLoop() { Stop(); }

void ControlLoop::Start() {
  last_tick_ = SteadyClock::now();
  control_thread_ = std::thread([this] { Run(); });
  watch_thread_ = std::thread([this] { WatchConfiguration(); });
  list_thread_ = std::thread([this] { ReadPlatformLists(); });
}

void ControlLoop::Stop() {
  stopping_ = true;
  wake_.notify_all();
  for (std::thread* thread :
       {&control_thread_, &watch_thread_, &list_thread_}) {
    if (thread->joinable()) thread->join();
  }
}

void ControlLoop::Leave(TimePoint deadline) {
  std::promise<void> announced;
  Post([&] {
    membership_.LeaveSelf();
    PublishSnapshot(SteadyClock::now());
    deps_.slots->StopOwning();
    for (const HostIncarnation& peer : linked_) {
      deps_.transport->Send(peer, Leaving{self_.incarnation});
    }
    announced.set_value();
  });
  announced.get_future().wait();
  deps_.executor->StopKeyedRuns(deadline);
  while (!deps_.executor->PendingHandovers().empty() &&
         SteadyClock::now() < deadline) {
    std::this_thread::sleep_for(kTick);
  }
}

void ControlLoop::Post(std::function<void()> task) {
  {
    std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  wake_.notify_all();
}

void ControlLoop::OnLinkUp(const HostDescription& peer) {
  Post([this, peer] {
    linked_.insert(peer.incarnation);
    membership_.OnLinkUp(peer, SteadyClock::now());
    configuration_.OnPeerLink(peer.incarnation, true);
    next_heartbeat_ = SteadyClock::now();
    reconcile_needed_ = true;
    deps_.log->Write(EventId::kPeerUp, {{"peer", ToString(peer.incarnation)}});
  });
}

void ControlLoop::OnLinkDown(const HostIncarnation& peer) {
  Post([this, peer] {
    linked_.erase(peer);
    configuration_.OnPeerLink(peer, false);
    deps_.log->Write(EventId::kPeerDown, {{"peer", ToString(peer)}});
  });
}

void ControlLoop::OnMessage(const HostIncarnation& peer, PeerMessage message) {
  Post([this, peer, message = std::move(message)] {
    std::visit(MessageVisitor(this, peer), message);
  });
}

void ControlLoop::Run() {
  while (!stopping_) {
    {
      std::unique_lock lock(mutex_);
      wake_.wait_for(lock, kTick,
                     [this] { return stopping_ || !tasks_.empty(); });
    }
    // Detects a pause before processing messages that arrived during it, since
    // they may be stale.
    DetectPause(SteadyClock::now());
    RunTasks();
    Tick(SteadyClock::now());
  }
}

void ControlLoop::RunTasks() {
  std::vector<std::function<void()>> tasks;
  {
    std::lock_guard lock(mutex_);
    tasks.swap(tasks_);
  }
  for (const auto& task : tasks) task();
}

void ControlLoop::DetectPause(TimePoint now) {
  if (now - last_tick_ > kPauseThreshold) {
    awaiting_contact_ = true;
    resumed_at_ = now;
    next_heartbeat_ = now;
  }
  last_tick_ = now;
}

void ControlLoop::Tick(TimePoint now) {
  if (membership_.Advance(now)) {
    reconcile_needed_ = true;
    deps_.transport->SetTargets(membership_.LinkTargets());
    deps_.log->Write(
        EventId::kMembershipChanged,
        {{"members", std::to_string(membership_.View()->members.size())}});
  }
  UpdateKeyRing(now);
  if (now >= next_heartbeat_) SendHeartbeats(now);
  if (now >= next_handover_) HandOverKeys(now);
  PublishSnapshot(now);
}

void ControlLoop::SendHeartbeats(TimePoint now) {
  next_heartbeat_ = now + kHeartbeatInterval;
  Heartbeat heartbeat;
  heartbeat.from = self_;
  heartbeat.sequence = next_sequence_++;
  heartbeat.revision = configuration_.InForce();
  for (const OwnedGroupStatus& owned : deps_.slots->OwnedGroups()) {
    heartbeat.groups.push_back(GroupLoadReport{owned.group, owned.load});
  }
  sent_heartbeats_.push_back(SentHeartbeat{heartbeat.sequence, now});
  if (sent_heartbeats_.size() > kMaxRecordedHeartbeats) {
    sent_heartbeats_.pop_front();
  }
  for (const HostIncarnation& peer : linked_) {
    deps_.transport->Send(peer, heartbeat);
  }
  ReportMetrics(now);
}

void ControlLoop::ApplyPlatformList(const PlatformList& list,
                                    TimePoint requested_at) {
  const TimePoint now = SteadyClock::now();
  last_platform_read_ = now;
  std::set<BackendServerName> leaving;
  for (const ListedServer& server : list.servers) {
    if (server.leaving) leaving.insert(server.name);
  }
  if (leaving != leaving_servers_) reconcile_needed_ = true;
  leaving_servers_ = std::move(leaving);
  membership_.SetListed(list.hosts, now);
  std::vector<HostIncarnation> listed;
  for (const ListedHost& host : list.hosts) {
    if (host.region == self_.region) listed.push_back({host.name, 0});
  }
  deps_.executor->OnHostList(listed, requested_at);
  deps_.transport->SetTargets(membership_.LinkTargets());
}

void ControlLoop::OnDocument(const ConfigurationDocument& document,
                             TimePoint now) {
  const OfferResult result = configuration_.Offer(document, now);
  newest_read_revision_ =
      std::max(newest_read_revision_.load(), document.revision);
  if (const auto* rejected = std::get_if<Rejected>(&result)) {
    deps_.log->Write(EventId::kConfigurationRejected,
                     {{"revision", std::to_string(rejected->revision)},
                      {"problems", rejected->problems}});
    return;
  }
  if (!std::holds_alternative<Accepted>(result)) return;
  deps_.log->Write(EventId::kConfigurationAccepted,
                   {{"revision", std::to_string(configuration_.InForce())}});
  ApplyLimits();
  reconcile_needed_ = true;
  // Announces the new revision to the peers at once.
  next_heartbeat_ = now;
}

void ControlLoop::OnPeerRevision(const HostIncarnation& peer,
                                 Revision revision) {
  if (!configuration_.OnPeerRevision(peer, revision)) return;
  deps_.transport->Send(peer, ConfigurationRequest{configuration_.InForce()});
}

void ControlLoop::RecordPeerContact(TimePoint requested_at) {
  last_contact_ = std::max(last_contact_, requested_at);
  if (requested_at >= resumed_at_) awaiting_contact_ = false;
}

void ControlLoop::RecordPlatformContact(TimePoint requested_at) {
  last_contact_ = std::max(last_contact_, requested_at);
  // The platform's data may be stale, so after a pause the response of a linked
  // peer is required.
  if (linked_.empty() && requested_at >= resumed_at_) awaiting_contact_ = false;
}

bool ControlLoop::MayServe(TimePoint now) {
  if (!configuration_.MayServe(now)) return false;
  const auto view = membership_.View();
  const bool has_peers = view->members.size() > 1 || !linked_.empty();
  if (!has_peers) return true;
  if (awaiting_contact_) return false;
  return now - last_contact_ <= kMaxContactAge;
}

void ControlLoop::ApplyLimits() {
  const auto objects = configuration_.Current();
  if (objects == nullptr) return;
  const std::size_t hosts = std::max<std::size_t>(
      1, membership_.View()->LiveInRegion(self_.region).size());
  const double bits = objects->limits.cross_region_megabits_per_second * 1e6;
  constexpr double kBitsPerByte = 8;
  deps_.budgets->SetBudget(bits / kBitsPerByte / static_cast<double>(hosts));
  deps_.dispatcher->SetRetryShare(objects->limits.retry_share);
  deps_.executor->ConfigureKeyRing(KeyGracePeriodOf(*objects),
                                   SteadyClock::now());
}

void ControlLoop::UpdateKeyRing(TimePoint now) {
  const auto view = membership_.View();
  deps_.executor->SetRingMembers(view->KeyRingInRegion(self_.region), now);
}

void ControlLoop::PublishSnapshot(TimePoint now) {
  auto snapshot = std::make_shared<HostSnapshot>();
  snapshot->objects = configuration_.Current();
  snapshot->members = membership_.View();
  snapshot->leaving_servers = leaving_servers_;
  snapshot->may_serve = MayServe(now);
  snapshot->published_at = now;
  const bool could_serve = deps_.snapshots->Get()->may_serve;
  if (could_serve != snapshot->may_serve) {
    deps_.log->Write(snapshot->may_serve ? EventId::kConfigurationAvailable
                                         : EventId::kConfigurationUnavailable,
                     {{"revision", std::to_string(configuration_.InForce())}});
  }
  deps_.snapshots->Publish(snapshot);
  if (!reconcile_needed_) return;
  reconcile_needed_ = false;
  deps_.slots->Reconcile(*snapshot, now);
}

void ControlLoop::ReportMetrics(TimePoint now) {
  const auto view = membership_.View();
  deps_.metrics->SetConfiguration(configuration_.InForce(),
                                  now - last_platform_read_);
  deps_.metrics->SetPeers(static_cast<int>(linked_.size()),
                          static_cast<int>(view->members.size()) - 1);
  deps_.metrics->SetKeyRingMajority(deps_.executor->HasMajority(now));
  const TransportCounters counters = deps_.transport->Counters();
  deps_.metrics->SetPeerTraffic(counters.bytes_sent, counters.bytes_received);
  std::set<std::string> reported;
  for (const OwnedGroupStatus& owned : deps_.slots->OwnedGroups()) {
    const std::string group =
        owned.group.service.str() + "@" + owned.group.zone.str();
    deps_.metrics->SetSlots(group, owned.load.usable_slots, owned.load.granted,
                            owned.load.waiting);
    reported.insert(group);
  }
  // The new owner reports a group that this host has released.
  for (const std::string& group : reported_groups_) {
    if (reported.count(group) == 0) deps_.metrics->SetSlots(group, 0, 0, 0);
  }
  reported_groups_ = std::move(reported);
}

void ControlLoop::HandOverKeys(TimePoint now) {
  const std::vector<HostIncarnation> recipients =
      deps_.executor->PendingHandovers();
  if (recipients.empty()) return;
  next_handover_ = now + kHandoverInterval;
  for (const HostIncarnation& recipient : recipients) SendKeys(recipient);
  deps_.log->Write(EventId::kKeysHandedOver,
                   {{"heirs", std::to_string(recipients.size())}});
}

void ControlLoop::SendKeys(const HostIncarnation& recipient) {
  KeyHandover message;
  message.from = self_.incarnation;
  std::size_t bytes = 0;
  for (KeyRecord& record : deps_.executor->ExportKeys(SteadyClock::now())) {
    const std::size_t response_bytes =
        record.response == nullptr ? 0 : record.response->body.size();
    // A response over the limit is dropped from the record. A repeat of its
    // request then gets the outcome that the record has expired.
    if (response_bytes > kMaxResponseBytesPerMessage) record.response = nullptr;
    bytes += std::min(response_bytes, kMaxResponseBytesPerMessage);
    message.records.push_back(std::move(record));
    const bool full = message.records.size() >= kMaxKeysPerMessage ||
                      bytes >= kMaxResponseBytesPerMessage;
    if (!full) continue;
    deps_.transport->Send(recipient, message);
    message.records.clear();
    bytes = 0;
  }
  if (!message.records.empty()) deps_.transport->Send(recipient, message);
  KeyHandover final_message;
  final_message.from = self_.incarnation;
  final_message.last = true;
  deps_.transport->Send(recipient, final_message);
}

void ControlLoop::WatchConfiguration() {
  while (!stopping_) {
    const Revision known_revision = newest_read_revision_;
    if (known_revision > 0 && !IsConfigurationReader()) {
      SleepUnlessStopping(settings_.list_interval);
      continue;
    }
    const Result<std::optional<ConfigurationDocument>> read =
        platform_.WatchConfiguration(known_revision,
                                     settings_.configuration_wait);
    if (!read) {
      SleepUnlessStopping(kPlatformRetryDelay);
      continue;
    }
    const TimePoint now = SteadyClock::now();
    const std::optional<ConfigurationDocument>& document = read.value();
    Post([this, document = document, now] {
      last_platform_read_ = now;
      RecordPlatformContact(now);
      if (document) OnDocument(*document, SteadyClock::now());
    });
    // Lets the control thread apply the document before the next read.
    if (document) SleepUnlessStopping(kTick);
  }
}

void ControlLoop::ReadPlatformLists() {
  while (!stopping_) {
    const TimePoint started_at = SteadyClock::now();
    const Result<PlatformList> read = platform_.ReadList(kPlatformTimeout);
    if (read) {
      const PlatformList& list = read.value();
      Post([this, list, started_at] {
        RecordPlatformContact(started_at);
        ApplyPlatformList(list, started_at);
      });
    }
    // The interval grows with the number of hosts in the zone, so that their
    // combined read rate stays constant.
    const auto snapshot = deps_.snapshots->Get();
    const std::size_t hosts = snapshot->members->LiveInZone(self_.zone).size();
    const std::size_t share =
        std::max<std::size_t>(1, hosts / kPlatformReadersPerZone);
    SleepUnlessStopping(settings_.list_interval * share);
  }
}

bool ControlLoop::IsConfigurationReader() const {
  const auto snapshot = deps_.snapshots->Get();
  std::vector<HostIncarnation> hosts =
      snapshot->members->LiveInZone(self_.zone);
  for (std::size_t i = 0; i < kPlatformReadersPerZone; ++i) {
    const auto reader = RendezvousOwner("configuration-reader", hosts);
    if (!reader) return true;
    if (*reader == self_.incarnation) return true;
    hosts.erase(std::remove(hosts.begin(), hosts.end(), *reader), hosts.end());
  }
  return false;
}

void ControlLoop::SleepUnlessStopping(Duration duration) {
  const TimePoint end = SteadyClock::now() + duration;
  while (!stopping_ && SteadyClock::now() < end) {
    std::this_thread::sleep_for(std::min<Duration>(
        kTick, std::max<Duration>(end - SteadyClock::now(), Duration(1))));
  }
}

}  // namespace heatherlatch
