#include "heatherlatch/entry/slot_service.h"

#include <utility>

#include "heatherlatch/placement/group_owner.h"

namespace heatherlatch {
namespace {

// Formats the group's ID for the event log.
std::string TextOf(const GroupId& id) {
  return id.service.str() + "@" + id.zone.str();
}

// Returns the servers of a service by zone.
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

// Removes the grants that were not released by the end of their lease.
template <typename Grants>
void RemoveExpiredGrants(Grants* grants, TimePoint now) {
  for (auto grant = grants->begin(); grant != grants->end();) {
    const bool expired = grant->second.lease_end <= now;
    grant = expired ? grants->erase(grant) : std::next(grant);
  }
}

SlotResponse NotOwnerResponse() {
  SlotResponse refusal;
  refusal.decision = NotRunReason::kNoServer;
  refusal.not_owner = true;
  return refusal;
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
      if (Find(id) == nullptr) TakeOverGroup(id, service, now);
      UpdateServers(id, std::move(servers), now);
    }
  }
  std::vector<GroupId> no_longer_owned;
  {
    std::shared_lock lock(groups_mutex_);
    for (const auto& [id, group] : groups_) {
      if (owned_now.count(id) == 0) no_longer_owned.push_back(id);
    }
  }
  for (const GroupId& id : no_longer_owned) ReleaseGroup(id);
}

void SlotService::StopOwning() {
  std::vector<GroupId> ids;
  {
    std::unique_lock lock(groups_mutex_);
    stopped_ = true;
    for (const auto& [id, group] : groups_) ids.push_back(id);
  }
  for (const GroupId& id : ids) ReleaseGroup(id);
}

WaiterId SlotService::Acquire(const GroupId& group, SlotRequest request,
                              ResponseCallback callback) {
  const GroupPointer owned = Find(group);
  if (owned == nullptr) {
    callback(NotOwnerResponse());
    return 0;
  }
  request.waiter = next_waiter_.fetch_add(1);
  SlotResponse immediate_response;
  {
    std::lock_guard lock(owned->mutex);
    if (owned->released) {
      immediate_response = NotOwnerResponse();
    } else {
      const AcquireResult result =
          owned->scheduler.Acquire(request, SteadyClock::now());
      if (std::holds_alternative<SlotQueued>(result)) {
        owned->waiting.emplace(request.waiter, std::move(callback));
        return request.waiter;
      }
      if (const auto* granted = std::get_if<SlotGranted>(&result)) {
        RecordGrant(owned.get(), granted->grant);
        immediate_response.decision = granted->grant;
      } else {
        immediate_response.decision = std::get<SlotRefused>(result).reason;
      }
      immediate_response.load = owned->scheduler.Load();
    }
  }
  callback(immediate_response);
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
  std::vector<PendingResponse> responses;
  {
    std::lock_guard lock(owned->mutex);
    const TimePoint now = SteadyClock::now();
    RecordCallEnd(owned.get(), grant, report, now);
    responses = CollectResponses(owned.get(),
                                 owned->scheduler.Release(grant, report, now));
  }
  InvokeCallbacks(responses);
}

void SlotService::ReportServer(const GroupId& group,
                               const BackendServerName& server,
                               bool accepts_work, bool cold,
                               std::optional<std::uint64_t> boot_id) {
  const GroupPointer owned = Find(group);
  if (owned == nullptr) return;
  std::vector<PendingResponse> responses;
  {
    std::lock_guard lock(owned->mutex);
    responses = CollectResponses(owned.get(), owned->scheduler.ReportServer(
                                                  server, accepts_work, cold,
                                                  boot_id, SteadyClock::now()));
  }
  InvokeCallbacks(responses);
}

void SlotService::Advance(TimePoint now) {
  for (const GroupPointer& group : AllGroups()) {
    std::vector<PendingResponse> responses;
    {
      std::lock_guard lock(group->mutex);
      responses = CollectResponses(group.get(), group->scheduler.Advance(now));
      RemoveExpiredGrants(&group->grants, now);
    }
    InvokeCallbacks(responses);
  }
}

void SlotService::AdvanceIfDue(OwnedGroup* group) {
  const TimePoint now = SteadyClock::now();
  std::vector<PendingResponse> responses;
  {
    std::lock_guard lock(group->mutex);
    const auto deadline = group->scheduler.NextDeadline();
    if (!deadline || *deadline > now) return;
    responses = CollectResponses(group, group->scheduler.Advance(now));
  }
  InvokeCallbacks(responses);
}

std::vector<OwnedGroupStatus> SlotService::OwnedGroups() const {
  std::vector<OwnedGroupStatus> owned;
  std::shared_lock lock(groups_mutex_);
  for (const auto& [id, group] : groups_) {
    std::lock_guard group_lock(group->mutex);
    owned.push_back(OwnedGroupStatus{id, group->scheduler.Load(),
                                     group->scheduler.Limits()});
  }
  return owned;
}

std::vector<GroupId> SlotService::OwnedGroupIds() const {
  std::vector<GroupId> ids;
  std::shared_lock lock(groups_mutex_);
  for (const auto& [id, group] : groups_) ids.push_back(id);
  return ids;
}

std::optional<TimePoint> SlotService::LastResponseTime(
    const GroupId& group, const BackendServerName& server) const {
  const GroupPointer owned = Find(group);
  if (owned == nullptr) return std::nullopt;
  std::lock_guard lock(owned->mutex);
  const auto found = owned->last_response_times.find(server);
  if (found == owned->last_response_times.end()) return std::nullopt;
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

void SlotService::TakeOverGroup(const GroupId& id, const Service& service,
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

void SlotService::ReleaseGroup(const GroupId& id) {
  GroupPointer group;
  {
    std::unique_lock lock(groups_mutex_);
    const auto found = groups_.find(id);
    if (found == groups_.end()) return;
    group = found->second;
    groups_.erase(found);
  }
  std::vector<PendingResponse> responses;
  {
    std::lock_guard lock(group->mutex);
    group->released = true;
    for (auto& [waiter, callback] : group->waiting) {
      responses.push_back(
          PendingResponse{std::move(callback), NotOwnerResponse()});
    }
    group->waiting.clear();
  }
  InvokeCallbacks(responses);
  log_->Write(EventId::kGroupReleased, {{"group", TextOf(id)}});
}

void SlotService::UpdateServers(const GroupId& id,
                                std::vector<GroupServer> servers,
                                TimePoint now) {
  const GroupPointer group = Find(id);
  if (group == nullptr) return;
  std::vector<PendingResponse> responses;
  {
    std::lock_guard lock(group->mutex);
    if (SameServers(group->servers, servers)) return;
    responses = CollectResponses(group.get(),
                                 group->scheduler.SetServers(servers, now));
    group->servers = std::move(servers);
  }
  InvokeCallbacks(responses);
}

void SlotService::RecordGrant(OwnedGroup* group, const Grant& grant) {
  group->grants[grant.id] = OpenGrant{grant.server, grant.lease_end};
}

void SlotService::RecordCallEnd(OwnedGroup* group, GrantId grant,
                                const CallReport& report, TimePoint now) {
  const auto found = group->grants.find(grant);
  if (found == group->grants.end()) return;
  if (report.end == CallOutcome::kResponseReceived) {
    group->last_response_times[found->second.server] = now;
  }
  group->grants.erase(found);
}

std::vector<SlotService::PendingResponse> SlotService::CollectResponses(
    OwnedGroup* group, const std::vector<SlotDecision>& decisions) {
  std::vector<PendingResponse> responses;
  for (const SlotDecision& decision : decisions) {
    const WaiterId waiter =
        std::visit([](const auto& d) { return d.waiter; }, decision);
    const auto found = group->waiting.find(waiter);
    if (found == group->waiting.end()) continue;
    SlotResponse response;
    if (const auto* granted = std::get_if<SlotGranted>(&decision)) {
      RecordGrant(group, granted->grant);
      response.decision = granted->grant;
    } else {
      response.decision = std::get<SlotRefused>(decision).reason;
    }
    response.load = group->scheduler.Load();
    responses.push_back(
        PendingResponse{std::move(found->second), std::move(response)});
    group->waiting.erase(found);
  }
  return responses;
}

void SlotService::InvokeCallbacks(
    const std::vector<PendingResponse>& responses) {
  for (const PendingResponse& item : responses) item.callback(item.response);
}

}  // namespace heatherlatch
