#include "heatherlatch/entry/slot_service.h"

#include <utility>

#include "heatherlatch/placement/group_owner.h"

namespace heatherlatch {
namespace {

// The group's identity for event lines.
std::string TextOf(const GroupId& id) {
  return id.service.str() + "@" + id.zone.str();
}

// Splits the servers of a service by zone.
std::map<ZoneName, std::vector<GroupServer>> ServersByZone(
    const Service& service, const HostSnapshot& snapshot) {
  std::map<ZoneName, std::vector<GroupServer>> by_zone;
  for (const BackendServer& server : service.servers) {
    const AvailabilityZone* zone = snapshot.objects->FindZone(server.zone);
    const bool leaving = snapshot.leaving_servers.count(server.name) > 0;
    const bool accepts_work = zone != nullptr && zone->in_service && !leaving;
    by_zone[server.zone].push_back(
        GroupServer{server.name, server.endpoint, accepts_work});
  }
  return by_zone;
}

bool SameServers(const std::vector<GroupServer>& a,
                 const std::vector<GroupServer>& b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (a[i].name != b[i].name || a[i].endpoint != b[i].endpoint ||
        a[i].accepts_work != b[i].accepts_work) {
      return false;
    }
  }
  return true;
}

// Drops the grants whose holder has not reported by the end of its lease.
template <typename Grants>
void DropExpired(Grants* grants, TimePoint now) {
  for (auto grant = grants->begin(); grant != grants->end();) {
    const bool expired = grant->second.lease_end <= now;
    grant = expired ? grants->erase(grant) : std::next(grant);
  }
}

SlotAnswer NotOwner() {
  SlotAnswer answer;
  answer.decision = NotRunReason::kNoServer;
  answer.not_owner = true;
  return answer;
}

}  // namespace

SlotService::SlotService(HostIncarnation self, EventLog* log)
    : self_(std::move(self)), log_(log) {}

void SlotService::Reconcile(const HostSnapshot& snapshot, TimePoint now) {
  if (snapshot.objects == nullptr) return;
  std::set<GroupId> owned_now;
  for (const Service& service : snapshot.objects->services) {
    for (auto& [zone, servers] : ServersByZone(service, snapshot)) {
      const GroupId id{service.name, zone};
      const AvailabilityZone* found = snapshot.objects->FindZone(zone);
      if (found == nullptr) continue;
      const auto owner =
          GroupOwner(id, snapshot.members->LiveInZone(zone),
                     snapshot.members->LiveInRegion(found->region));
      if (!owner || *owner != self_) continue;
      owned_now.insert(id);
      if (Find(id) == nullptr) TakeOver(id, service, now);
      UpdateServers(id, std::move(servers), now);
    }
  }
  std::vector<GroupId> lost;
  {
    std::shared_lock lock(groups_mutex_);
    for (const auto& [id, group] : groups_) {
      if (owned_now.count(id) == 0) lost.push_back(id);
    }
  }
  for (const GroupId& id : lost) GiveUp(id);
}

void SlotService::StopOwning() {
  std::vector<GroupId> ids;
  {
    std::unique_lock lock(groups_mutex_);
    stopped_ = true;
    for (const auto& [id, group] : groups_) ids.push_back(id);
  }
  for (const GroupId& id : ids) GiveUp(id);
}

WaiterId SlotService::Acquire(const GroupId& group, SlotRequest request,
                              Answer answer) {
  const GroupPointer owned = Find(group);
  if (owned == nullptr) {
    answer(NotOwner());
    return 0;
  }
  request.waiter = next_waiter_.fetch_add(1);
  SlotAnswer given;
  {
    std::lock_guard lock(owned->mutex);
    if (owned->given_up) {
      given = NotOwner();
    } else {
      const AcquireResult result =
          owned->scheduler.Acquire(request, SteadyClock::now());
      if (std::holds_alternative<SlotQueued>(result)) {
        owned->waiting.emplace(request.waiter, std::move(answer));
        return request.waiter;
      }
      if (const auto* granted = std::get_if<SlotGranted>(&result)) {
        NoteGrant(owned.get(), granted->grant);
        given.decision = granted->grant;
      } else {
        given.decision = std::get<SlotRefused>(result).reason;
      }
      given.load = owned->scheduler.Load();
    }
  }
  answer(given);
  AdvanceIfDue(owned.get());
  return 0;
}

void SlotService::Cancel(const GroupId& group, WaiterId waiter) {
  const GroupPointer owned = Find(group);
  if (owned == nullptr) return;
  {
    std::lock_guard lock(owned->mutex);
    if (owned->waiting.erase(waiter) > 0) owned->scheduler.Cancel(waiter);
  }
  AdvanceIfDue(owned.get());
}

void SlotService::Release(const GroupId& group, GrantId grant,
                          const CallReport& report) {
  const GroupPointer owned = Find(group);
  if (owned == nullptr) return;
  std::vector<DueAnswer> due;
  {
    std::lock_guard lock(owned->mutex);
    const TimePoint now = SteadyClock::now();
    NoteEnd(owned.get(), grant, report, now);
    due = Collect(owned.get(), owned->scheduler.Release(grant, report, now));
  }
  Give(due);
}

void SlotService::ReportServer(const GroupId& group,
                               const BackendServerName& server,
                               bool accepts_work, bool cold,
                               std::optional<std::uint64_t> boot_id) {
  const GroupPointer owned = Find(group);
  if (owned == nullptr) return;
  std::vector<DueAnswer> due;
  {
    std::lock_guard lock(owned->mutex);
    due = Collect(owned.get(),
                  owned->scheduler.ReportServer(server, accepts_work, cold,
                                                boot_id, SteadyClock::now()));
  }
  Give(due);
}

void SlotService::Advance(TimePoint now) {
  for (const GroupPointer& group : AllGroups()) {
    std::vector<DueAnswer> due;
    {
      std::lock_guard lock(group->mutex);
      due = Collect(group.get(), group->scheduler.Advance(now));
      DropExpired(&group->grants, now);
    }
    Give(due);
  }
}

void SlotService::AdvanceIfDue(OwnedGroup* group) {
  const TimePoint now = SteadyClock::now();
  std::vector<DueAnswer> due;
  {
    std::lock_guard lock(group->mutex);
    const auto deadline = group->scheduler.NextDeadline();
    if (!deadline || *deadline > now) return;
    due = Collect(group, group->scheduler.Advance(now));
  }
  Give(due);
}

std::vector<OwnedGroupStatus> SlotService::Owned() const {
  std::vector<OwnedGroupStatus> owned;
  std::shared_lock lock(groups_mutex_);
  for (const auto& [id, group] : groups_) {
    std::lock_guard group_lock(group->mutex);
    owned.push_back(OwnedGroupStatus{id, group->scheduler.Load(),
                                     group->scheduler.Limits()});
  }
  return owned;
}

std::vector<GroupId> SlotService::OwnedIds() const {
  std::vector<GroupId> ids;
  std::shared_lock lock(groups_mutex_);
  for (const auto& [id, group] : groups_) ids.push_back(id);
  return ids;
}

std::optional<TimePoint> SlotService::LastAnswer(
    const GroupId& group, const BackendServerName& server) const {
  const GroupPointer owned = Find(group);
  if (owned == nullptr) return std::nullopt;
  std::lock_guard lock(owned->mutex);
  const auto found = owned->last_answers.find(server);
  if (found == owned->last_answers.end()) return std::nullopt;
  return found->second;
}

SlotService::GroupPointer SlotService::Find(const GroupId& group) const {
  std::shared_lock lock(groups_mutex_);
  const auto found = groups_.find(group);
  return found == groups_.end() ? nullptr : found->second;
}

std::vector<SlotService::GroupPointer> SlotService::AllGroups() const {
  std::vector<GroupPointer> groups;
  std::shared_lock lock(groups_mutex_);
  groups.reserve(groups_.size());
  for (const auto& [id, group] : groups_) groups.push_back(group);
  return groups;
}

void SlotService::TakeOver(const GroupId& id, const Service& service,
                           TimePoint now) {
  GroupOptions options;
  options.slots_per_server = service.slots_per_server;
  options.cold_start_slots = service.cold_start_slots;
  {
    std::unique_lock lock(groups_mutex_);
    if (stopped_) return;
    groups_.emplace(id,
                    std::make_shared<OwnedGroup>(GroupScheduler(options, now)));
  }
  log_->Write(EventId::kGroupOwned, {{"group", TextOf(id)}});
}

void SlotService::GiveUp(const GroupId& id) {
  GroupPointer group;
  {
    std::unique_lock lock(groups_mutex_);
    const auto found = groups_.find(id);
    if (found == groups_.end()) return;
    group = found->second;
    groups_.erase(found);
  }
  std::vector<DueAnswer> due;
  {
    std::lock_guard lock(group->mutex);
    group->given_up = true;
    for (auto& [waiter, answer] : group->waiting) {
      due.push_back(DueAnswer{std::move(answer), NotOwner()});
    }
    group->waiting.clear();
  }
  Give(due);
  log_->Write(EventId::kGroupReleased, {{"group", TextOf(id)}});
}

void SlotService::UpdateServers(const GroupId& id,
                                std::vector<GroupServer> servers,
                                TimePoint now) {
  const GroupPointer group = Find(id);
  if (group == nullptr) return;
  std::vector<DueAnswer> due;
  {
    std::lock_guard lock(group->mutex);
    if (SameServers(group->servers, servers)) return;
    due = Collect(group.get(), group->scheduler.SetServers(servers, now));
    group->servers = std::move(servers);
  }
  Give(due);
}

void SlotService::NoteGrant(OwnedGroup* group, const Grant& grant) {
  group->grants[grant.id] = OpenGrant{grant.server, grant.lease_end};
}

void SlotService::NoteEnd(OwnedGroup* group, GrantId grant,
                          const CallReport& report, TimePoint now) {
  const auto found = group->grants.find(grant);
  if (found == group->grants.end()) return;
  if (report.end == CallEnd::kAnswered) {
    group->last_answers[found->second.server] = now;
  }
  group->grants.erase(found);
}

std::vector<SlotService::DueAnswer> SlotService::Collect(
    OwnedGroup* group, const std::vector<SlotDecision>& decisions) {
  std::vector<DueAnswer> due;
  for (const SlotDecision& decision : decisions) {
    const WaiterId waiter =
        std::visit([](const auto& d) { return d.waiter; }, decision);
    const auto found = group->waiting.find(waiter);
    if (found == group->waiting.end()) continue;
    SlotAnswer value;
    if (const auto* granted = std::get_if<SlotGranted>(&decision)) {
      NoteGrant(group, granted->grant);
      value.decision = granted->grant;
    } else {
      value.decision = std::get<SlotRefused>(decision).reason;
    }
    value.load = group->scheduler.Load();
    due.push_back(DueAnswer{std::move(found->second), std::move(value)});
    group->waiting.erase(found);
  }
  return due;
}

void SlotService::Give(const std::vector<DueAnswer>& due) {
  for (const DueAnswer& answer : due) answer.answer(answer.value);
}

}  // namespace heatherlatch
