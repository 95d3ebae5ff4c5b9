#include "heatherlatch/entry/group_directory.h"

#include <algorithm>
#include <utility>

#include "heatherlatch/entry/internal/region_list.h"
#include "heatherlatch/placement/group_owner.h"

namespace heatherlatch {
namespace {

// How long the groups of a peer that did not respond are skipped.
constexpr auto kUnresponsivePeerBackoff = std::chrono::seconds(1);

std::set<ZoneName> ZonesOf(const Service& service) {
  std::set<ZoneName> zones;
  for (const BackendServer& server : service.servers) {
    zones.insert(server.zone);
  }
  return zones;
}

}  // namespace

GroupDirectory::GroupDirectory(HostDescription self,
                               CrossRegionBudgets* budgets)
    : self_(std::move(self)), budgets_(budgets) {}

void GroupDirectory::OnLinkUp(const HostIncarnation& peer) {
  std::unique_lock lock(mutex_);
  linked_.insert(peer);
  unresponsive_until_.erase(peer);
}

void GroupDirectory::OnLinkDown(const HostIncarnation& peer) {
  std::unique_lock lock(mutex_);
  linked_.erase(peer);
  unresponsive_until_.erase(peer);
}

void GroupDirectory::OnUnresponsive(const HostIncarnation& peer,
                                    TimePoint now) {
  std::unique_lock lock(mutex_);
  unresponsive_until_[peer] = now + kUnresponsivePeerBackoff;
}

void GroupDirectory::OnSlotRequested(const GroupId& group) {
  std::unique_lock lock(mutex_);
  const auto reported = loads_.find(group);
  if (reported != loads_.end()) ++reported->second.requests_since_report;
}

void GroupDirectory::OnLoad(const GroupId& group, const GroupLoad& load,
                            TimePoint now) {
  std::unique_lock lock(mutex_);
  loads_[group] = ReportedLoad{load, now, 0};
}

bool GroupDirectory::IsLinked(const HostIncarnation& peer) const {
  std::shared_lock lock(mutex_);
  return linked_.count(peer) > 0;
}

std::vector<GroupTarget> GroupDirectory::FindGroups(
    const HostSnapshot& snapshot, const Service& service,
    const std::vector<RegionName>& home_regions, TimePoint now) const {
  std::vector<GroupTarget> targets;
  std::vector<GroupCandidate> candidates;
  for (const ZoneName& zone : ZonesOf(service)) {
    auto target = TargetFor(snapshot, GroupId{service.name, zone}, now);
    if (!target || !Contains(home_regions, target->region)) continue;
    candidates.push_back(target->candidate);
    targets.push_back(std::move(*target));
  }
  std::vector<GroupTarget> ranked;
  for (const std::size_t index : RankGroups(candidates)) {
    ranked.push_back(std::move(targets[index]));
  }
  return ranked;
}

Distance GroupDirectory::DistanceTo(const AvailabilityZone& zone) const {
  if (zone.name == self_.zone) return Distance::kSameZone;
  if (zone.region == self_.region) return Distance::kSameRegion;
  return Distance::kOtherRegion;
}

bool GroupDirectory::IsReachable(const HostIncarnation& owner,
                                 TimePoint now) const {
  if (owner == self_.incarnation) return true;
  std::shared_lock lock(mutex_);
  if (linked_.count(owner) == 0) return false;
  const auto found = unresponsive_until_.find(owner);
  return found == unresponsive_until_.end() || found->second <= now;
}

std::optional<GroupTarget> GroupDirectory::TargetFor(
    const HostSnapshot& snapshot, const GroupId& group, TimePoint now) const {
  const AvailabilityZone* zone = snapshot.objects->FindZone(group.zone);
  if (zone == nullptr || !zone->in_service) return std::nullopt;
  const auto owner = GroupOwner(group, snapshot.members->LiveInZone(group.zone),
                                snapshot.members->LiveInRegion(zone->region));
  if (!owner) return std::nullopt;
  GroupTarget target;
  target.owner = *owner;
  target.region = zone->region;
  target.candidate.group = group;
  target.candidate.distance = DistanceTo(*zone);
  target.candidate.reachable = IsReachable(*owner, now);
  target.candidate.bytes_allowed = budgets_->Allows(zone->region);
  std::shared_lock lock(mutex_);
  const auto reported = loads_.find(group);
  if (reported != loads_.end()) {
    target.candidate.load = reported->second.load;
    target.candidate.load->granted += reported->second.requests_since_report;
    target.candidate.load_age = now - reported->second.reported_at;
  }
  return target;
}

}  // namespace heatherlatch
