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
// A tick that comes this late means that the process was paused.
constexpr auto kPauseThreshold = std::chrono::milliseconds(750);
constexpr auto kIsolationLimit = std::chrono::milliseconds(2500);
constexpr auto kPlatformTimeout = std::chrono::seconds(2);
// Delay after a failed read of the platform.
constexpr auto kPlatformRetryDelay = std::chrono::milliseconds(500);
// Hosts of a zone that read the platform for all of them.
constexpr std::size_t kReadersOfZone = 2;
constexpr std::size_t kHeartbeatsRemembered = 64;
// A hand-over that was not acknowledged is sent again after this time.
constexpr auto kHandOverInterval = std::chrono::milliseconds(500);
// Records of keys that one message hands over.
constexpr std::size_t kKeysInMessage = 500;
// Bytes of answers that one hand-over message holds, below the frame limit.
constexpr std::size_t kAnswerBytesInMessage = 512 * 1024;

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

// Time after which no repeat of a request can still arrive or run: the resend
// window, the longest deadline, and slack for support and clocks.
Duration QuietPeriodOf(const ObjectSet& objects) {
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
    for (const GroupReport& report : message.groups) {
      loop_->parts_.directory->OnLoad(report.group, report.load, now_);
    }
    loop_->OnPeerRevision(peer_, message.revision);
    // A change of the membership has to end the support of the former ring
    // before the next answer goes out.
    loop_->UpdateRing(now_);
    HeartbeatAck ack;
    ack.sequence = message.sequence;
    ack.revision = loop_->keeper_.InForce();
    ack.supported_ring = loop_->parts_.executor->SupportedRing(now_);
    loop_->parts_.transport->Send(peer_, ack);
  }

  void operator()(const HeartbeatAck& message) {
    const auto sent = std::find_if(
        loop_->sent_heartbeats_.begin(), loop_->sent_heartbeats_.end(),
        [&](const SentHeartbeat& s) { return s.sequence == message.sequence; });
    if (sent == loop_->sent_heartbeats_.end()) return;
    loop_->parts_.executor->OnSupport(peer_, message.supported_ring,
                                      sent->sent_at);
    loop_->OnPeerRevision(peer_, message.revision);
    const bool has_newer = message.revision > loop_->keeper_.InForce();
    if (!has_newer) loop_->NotePeerContact(sent->sent_at);
  }

  void operator()(const Leaving& message) {
    loop_->membership_.OnLeaving(message.from, now_);
    loop_->changed_ = true;
  }

  void operator()(const ConfigurationRequest& message) {
    const ConfigurationDocument& document = loop_->keeper_.Document();
    if (document.revision <= message.newer_than) return;
    loop_->parts_.transport->Send(peer_, ConfigurationOffer{document});
  }

  void operator()(const ConfigurationOffer& message) {
    loop_->OnDocument(message.document, now_);
  }

  void operator()(const KeyHandOver& message) {
    if (!loop_->parts_.executor->OnHandOver(message, now_)) return;
    loop_->parts_.log->Write(EventId::kKeysTakenOver,
                             {{"from", ToString(message.from)}});
    loop_->parts_.transport->Send(peer_,
                                  KeyHandOverAck{loop_->self_.incarnation});
  }

  void operator()(const KeyHandOverAck&) {
    loop_->parts_.executor->OnHandOverAcked(peer_);
  }

  void operator()(const SuspectShared& message) {
    loop_->parts_.dispatcher->OnSuspect(message.notice);
  }

  // Messages that concern traffic never get here.
  template <typename Other>
  void operator()(const Other&) {}

 private:
  ControlLoop* loop_;
  const HostIncarnation& peer_;
  TimePoint now_;
};

ControlLoop::ControlLoop(HostSettings settings, HostDescription self,
                         ControlParts parts)
    : settings_(std::move(settings)),
      self_(std::move(self)),
      parts_(parts),
      membership_(self_, MembershipOptions{}, SteadyClock::now()),
      keeper_(ConfigurationOptions{}, &CheckDocument, SteadyClock::now()),
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
  list_thread_ = std::thread([this] { ReadLists(); });
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
    parts_.slots->StopOwning();
    for (const HostIncarnation& peer : linked_) {
      parts_.transport->Send(peer, Leaving{self_.incarnation});
    }
    announced.set_value();
  });
  announced.get_future().wait();
  parts_.executor->StopKeys(deadline);
  while (!parts_.executor->HandOverDue().empty() &&
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
    keeper_.OnPeerLink(peer.incarnation, true);
    next_heartbeat_ = SteadyClock::now();
    changed_ = true;
    parts_.log->Write(EventId::kPeerUp, {{"peer", ToString(peer.incarnation)}});
  });
}

void ControlLoop::OnLinkDown(const HostIncarnation& peer) {
  Post([this, peer] {
    linked_.erase(peer);
    keeper_.OnPeerLink(peer, false);
    parts_.log->Write(EventId::kPeerDown, {{"peer", ToString(peer)}});
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
    // A pause is noticed before anything that arrived meanwhile is believed.
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
    in_doubt_ = true;
    paused_until_ = now;
    next_heartbeat_ = now;
  }
  last_tick_ = now;
}

void ControlLoop::Tick(TimePoint now) {
  if (membership_.Advance(now)) {
    changed_ = true;
    parts_.transport->SetTargets(membership_.LinkTargets());
    parts_.log->Write(
        EventId::kMembershipChanged,
        {{"members", std::to_string(membership_.View()->members.size())}});
  }
  UpdateRing(now);
  if (now >= next_heartbeat_) SendHeartbeats(now);
  if (now >= next_hand_over_) HandOverKeys(now);
  PublishSnapshot(now);
}

void ControlLoop::SendHeartbeats(TimePoint now) {
  next_heartbeat_ = now + kHeartbeatInterval;
  Heartbeat heartbeat;
  heartbeat.from = self_;
  heartbeat.sequence = next_sequence_++;
  heartbeat.revision = keeper_.InForce();
  for (const OwnedGroupStatus& owned : parts_.slots->OwnedGroups()) {
    heartbeat.groups.push_back(GroupReport{owned.group, owned.load});
  }
  sent_heartbeats_.push_back(SentHeartbeat{heartbeat.sequence, now});
  if (sent_heartbeats_.size() > kHeartbeatsRemembered) {
    sent_heartbeats_.pop_front();
  }
  for (const HostIncarnation& peer : linked_) {
    parts_.transport->Send(peer, heartbeat);
  }
  ReportMetrics(now);
}

void ControlLoop::SetServerList(const PlatformList& list, TimePoint asked_at) {
  const TimePoint now = SteadyClock::now();
  last_platform_read_ = now;
  std::set<BackendServerName> leaving;
  for (const ListedServer& server : list.servers) {
    if (server.leaving) leaving.insert(server.name);
  }
  if (leaving != leaving_servers_) changed_ = true;
  leaving_servers_ = std::move(leaving);
  membership_.SetListed(list.hosts, now);
  std::vector<HostIncarnation> listed;
  for (const ListedHost& host : list.hosts) {
    if (host.region == self_.region) listed.push_back({host.name, 0});
  }
  parts_.executor->NoteListed(listed, asked_at);
  parts_.transport->SetTargets(membership_.LinkTargets());
}

void ControlLoop::OnDocument(const ConfigurationDocument& document,
                             TimePoint now) {
  const OfferResult result = keeper_.Offer(document, now);
  revision_seen_ = std::max(revision_seen_.load(), document.revision);
  if (const auto* rejected = std::get_if<Rejected>(&result)) {
    parts_.log->Write(EventId::kConfigurationRejected,
                      {{"revision", std::to_string(rejected->revision)},
                       {"problems", rejected->problems}});
    return;
  }
  if (!std::holds_alternative<Accepted>(result)) return;
  parts_.log->Write(EventId::kConfigurationAccepted,
                    {{"revision", std::to_string(keeper_.InForce())}});
  ApplyLimits();
  changed_ = true;
  // Peers learn of the new revision at once.
  next_heartbeat_ = now;
}

void ControlLoop::OnPeerRevision(const HostIncarnation& peer,
                                 Revision revision) {
  if (!keeper_.OnPeerRevision(peer, revision)) return;
  parts_.transport->Send(peer, ConfigurationRequest{keeper_.InForce()});
}

void ControlLoop::NotePeerContact(TimePoint asked_at) {
  last_contact_ = std::max(last_contact_, asked_at);
  if (asked_at >= paused_until_) in_doubt_ = false;
}

void ControlLoop::NotePlatformContact(TimePoint asked_at) {
  last_contact_ = std::max(last_contact_, asked_at);
  // The platform may be stale, so linked peers have to be heard after a pause.
  if (linked_.empty() && asked_at >= paused_until_) in_doubt_ = false;
}

bool ControlLoop::MayServe(TimePoint now) {
  if (!keeper_.MayServe(now)) return false;
  const auto view = membership_.View();
  const bool knows_peers = view->members.size() > 1 || !linked_.empty();
  if (!knows_peers) return true;
  if (in_doubt_) return false;
  return now - last_contact_ <= kIsolationLimit;
}

void ControlLoop::ApplyLimits() {
  const auto objects = keeper_.Current();
  if (objects == nullptr) return;
  const std::size_t hosts = std::max<std::size_t>(
      1, membership_.View()->LiveInRegion(self_.region).size());
  const double bits = objects->limits.cross_region_megabits_per_second * 1e6;
  constexpr double kBitsPerByte = 8;
  parts_.accounts->SetBudget(bits / kBitsPerByte / static_cast<double>(hosts));
  parts_.dispatcher->SetRetryShare(objects->limits.retry_share);
  parts_.executor->ConfigureKeys(QuietPeriodOf(*objects), SteadyClock::now());
}

void ControlLoop::UpdateRing(TimePoint now) {
  const auto view = membership_.View();
  parts_.executor->SetRing(view->RingOf(self_.region), now);
}

void ControlLoop::PublishSnapshot(TimePoint now) {
  auto snapshot = std::make_shared<HostSnapshot>();
  snapshot->objects = keeper_.Current();
  snapshot->members = membership_.View();
  snapshot->leaving_servers = leaving_servers_;
  snapshot->may_serve = MayServe(now);
  snapshot->published_at = now;
  const bool could_serve = parts_.snapshots->Get()->may_serve;
  if (could_serve != snapshot->may_serve) {
    parts_.log->Write(snapshot->may_serve ? EventId::kConfigurationAvailable
                                          : EventId::kConfigurationUnavailable,
                      {{"revision", std::to_string(keeper_.InForce())}});
  }
  parts_.snapshots->Publish(snapshot);
  if (!changed_) return;
  changed_ = false;
  parts_.slots->Reconcile(*snapshot, now);
}

void ControlLoop::ReportMetrics(TimePoint now) {
  const auto view = membership_.View();
  parts_.metrics->SetConfiguration(keeper_.InForce(),
                                   now - last_platform_read_);
  parts_.metrics->SetPeers(static_cast<int>(linked_.size()),
                           static_cast<int>(view->members.size()) - 1);
  parts_.metrics->SetKeyRingMajority(parts_.executor->HasMajority(now));
  const TransportCounters counters = parts_.transport->Counters();
  parts_.metrics->SetPeerTraffic(counters.bytes_sent, counters.bytes_received);
  std::set<std::string> reported;
  for (const OwnedGroupStatus& owned : parts_.slots->OwnedGroups()) {
    const std::string group =
        owned.group.service.str() + "@" + owned.group.zone.str();
    parts_.metrics->SetSlots(group, owned.load.usable_slots, owned.load.granted,
                             owned.load.waiting);
    reported.insert(group);
  }
  // A group that was given up is another host's to report.
  for (const std::string& group : reported_groups_) {
    if (reported.count(group) == 0) parts_.metrics->SetSlots(group, 0, 0, 0);
  }
  reported_groups_ = std::move(reported);
}

void ControlLoop::HandOverKeys(TimePoint now) {
  const std::vector<HostIncarnation> due = parts_.executor->HandOverDue();
  if (due.empty()) return;
  next_hand_over_ = now + kHandOverInterval;
  for (const HostIncarnation& heir : due) SendKeys(heir);
  parts_.log->Write(EventId::kKeysHandedOver,
                    {{"heirs", std::to_string(due.size())}});
}

void ControlLoop::SendKeys(const HostIncarnation& heir) {
  KeyHandOver message;
  message.from = self_.incarnation;
  std::size_t bytes = 0;
  for (KeyRecord& record : parts_.executor->ExportKeys(SteadyClock::now())) {
    const std::size_t answer =
        record.answer == nullptr ? 0 : record.answer->body.size();
    // A long answer is left out; a repeat is then told that it has expired.
    if (answer > kAnswerBytesInMessage) record.answer = nullptr;
    bytes += std::min(answer, kAnswerBytesInMessage);
    message.records.push_back(std::move(record));
    const bool full = message.records.size() >= kKeysInMessage ||
                      bytes >= kAnswerBytesInMessage;
    if (!full) continue;
    parts_.transport->Send(heir, message);
    message.records.clear();
    bytes = 0;
  }
  if (!message.records.empty()) parts_.transport->Send(heir, message);
  KeyHandOver last;
  last.from = self_.incarnation;
  last.last = true;
  parts_.transport->Send(heir, last);
}

void ControlLoop::WatchConfiguration() {
  while (!stopping_) {
    const Revision known = revision_seen_;
    if (known > 0 && !IsReader()) {
      SleepUnlessStopping(settings_.list_interval);
      continue;
    }
    const Result<std::optional<ConfigurationDocument>> read =
        platform_.WatchConfiguration(known, settings_.configuration_wait);
    if (!read) {
      SleepUnlessStopping(kPlatformRetryDelay);
      continue;
    }
    const TimePoint now = SteadyClock::now();
    const std::optional<ConfigurationDocument>& document = read.value();
    Post([this, document = document, now] {
      last_platform_read_ = now;
      NotePlatformContact(now);
      if (document) OnDocument(*document, SteadyClock::now());
    });
    // Lets the control thread apply what was read before the next call.
    if (document) SleepUnlessStopping(kTick);
  }
}

void ControlLoop::ReadLists() {
  while (!stopping_) {
    const TimePoint asked = SteadyClock::now();
    const Result<PlatformList> read = platform_.ReadList(kPlatformTimeout);
    if (read) {
      const PlatformList& list = read.value();
      Post([this, list, asked] {
        NotePlatformContact(asked);
        SetServerList(list, asked);
      });
    }
    // The reads of a zone together stay at a fixed rate.
    const auto snapshot = parts_.snapshots->Get();
    const std::size_t hosts = snapshot->members->LiveInZone(self_.zone).size();
    const std::size_t share = std::max<std::size_t>(1, hosts / kReadersOfZone);
    SleepUnlessStopping(settings_.list_interval * share);
  }
}

bool ControlLoop::IsReader() const {
  const auto snapshot = parts_.snapshots->Get();
  std::vector<HostIncarnation> hosts =
      snapshot->members->LiveInZone(self_.zone);
  for (std::size_t i = 0; i < kReadersOfZone; ++i) {
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
