#include "benchmarks/experiment/owner_policy.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

#include "heatherlatch/placement/group_owner.h"

namespace heatherlatch::experiment {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr int kMaxShedRetries = 3;

// The cost formula of the paper on packet-in redirection: network delay plus
// queue length divided by service rate.
Duration QueueCost(const GroupCandidate& candidate) {
  constexpr Duration kRemoteDelay = std::chrono::milliseconds(4);
  const bool same_zone = candidate.distance == Distance::kSameZone;
  const Duration delay = same_zone ? Duration::zero() : kRemoteDelay;
  if (!candidate.load) return delay;
  const int slots = std::max(candidate.load->usable_slots, 1);
  return delay +
         candidate.load->mean_slot_time * (candidate.load->waiting + 1) / slots;
}

// The cost for groups of one server: network delay plus the running and
// waiting work of the server divided by its service rate.
Duration WorkCost(const GroupCandidate& candidate) {
  const Duration cost = QueueCost(candidate);
  if (!candidate.load) return cost;
  const int slots = std::max(candidate.load->usable_slots, 1);
  return cost +
         candidate.load->mean_slot_time * candidate.load->granted / slots;
}

template <typename Cost>
std::vector<std::size_t> RankByCost(
    const std::vector<GroupCandidate>& candidates, Cost cost) {
  std::vector<std::size_t> ranking(candidates.size());
  std::iota(ranking.begin(), ranking.end(), 0);
  std::stable_sort(ranking.begin(), ranking.end(),
                   [&](std::size_t a, std::size_t b) {
                     return cost(candidates[a]) < cost(candidates[b]);
                   });
  return ranking;
}

}  // namespace

OwnerPolicy::OwnerPolicy(EventLoop* loop, Fleet* fleet,
                         const OwnerPolicyOptions& options)
    : loop_(loop),
      fleet_(fleet),
      options_(options),
      zone_in_service_(kZones, true) {
  MakeGroups();
  views_.assign(fleet->service.hosts,
                std::vector<GroupLoadView>(groups_.size()));
  loop_->After(kHeartbeatInterval, [this] { SendHeartbeats(); });
}

void OwnerPolicy::MakeGroups() {
  const bool by_server =
      options_.grouping == OwnerPolicyOptions::Grouping::kServer;
  const std::size_t count = by_server ? fleet_->servers.size() : kZones;
  groups_.resize(count);
  for (std::size_t i = 0; i < fleet_->servers.size(); ++i) {
    FakeServer* server = fleet_->servers[i].get();
    Group& group = groups_[by_server ? i : server->zone()];
    group.zone = server->zone();
    group.servers.push_back(server);
  }
  for (std::size_t i = 0; i < count; ++i) {
    Group& group = groups_[i];
    group.id = {ServiceName(fleet_->service.name + std::to_string(i)),
                ZoneName("zone-" + std::to_string(group.zone))};
    group.owners.push_back(MakeOwner(group));
    group.owner_hosts.push_back(
        ChooseOwnerHost(group, HostsOfZone(group.zone)));
    group.owner_by_host.assign(fleet_->service.hosts, 0);
  }
}

std::shared_ptr<OwnerProcess> OwnerPolicy::MakeOwner(const Group& group) {
  GroupOptions options;
  options.slots_per_server = fleet_->service.slots_per_server;
  options.cold_start_slots = fleet_->service.cold_slots_per_server;
  if (options_.unbounded) options.max_waiting = 1 << 30;
  return std::make_shared<OwnerProcess>(loop_, options, ServersOf(group));
}

std::vector<GroupServer> OwnerPolicy::ServersOf(const Group& group) const {
  std::vector<GroupServer> described;
  for (const FakeServer* server : group.servers) {
    described.push_back(
        server->ToGroupServer(zone_in_service_[server->zone()]));
  }
  return described;
}

std::vector<HostIncarnation> OwnerPolicy::HostsOfZone(int zone) const {
  std::vector<HostIncarnation> hosts;
  for (int host = 0; host < fleet_->service.hosts; ++host) {
    if (fleet_->ZoneOfHost(host) != zone) continue;
    hosts.push_back(
        {HostName(std::to_string(host)), static_cast<std::uint64_t>(host)});
  }
  return hosts;
}

int OwnerPolicy::ChooseOwnerHost(
    const Group& group, const std::vector<HostIncarnation>& hosts) const {
  return static_cast<int>(GroupOwner(group.id, hosts, {})->nonce);
}

void OwnerPolicy::SetZoneInService(int zone, bool in_service) {
  zone_in_service_[zone] = in_service;
  for (Group& group : groups_) {
    if (group.zone != zone) continue;
    for (const auto& owner : group.owners) owner->SetServers(ServersOf(group));
  }
}

std::size_t OwnerPolicy::AddOwner() {
  Group& group = groups_.front();
  std::vector<HostIncarnation> hosts = HostsOfZone(group.zone);
  hosts.erase(std::remove_if(hosts.begin(), hosts.end(),
                             [&group](const HostIncarnation& host) {
                               return static_cast<int>(host.nonce) ==
                                      group.owner_hosts.back();
                             }),
              hosts.end());
  group.owners.push_back(MakeOwner(group));
  group.owner_hosts.push_back(ChooseOwnerHost(group, hosts));
  return group.owners.size() - 1;
}

void OwnerPolicy::SetOwnerAfter(Duration delay, int host, std::size_t owner) {
  loop_->After(delay, [this, host, owner] {
    groups_.front().owner_by_host[host] = owner;
  });
}

void OwnerPolicy::MoveFirstGroup(Duration spread) {
  const std::size_t new_owner = AddOwner();
  for (int host = 0; host < fleet_->service.hosts; ++host) {
    SetOwnerAfter(spread * host / fleet_->service.hosts, host, new_owner);
  }
}

void OwnerPolicy::SplitFirstGroup(Duration length) {
  const std::size_t new_owner = AddOwner();
  for (int host = 0; host < fleet_->service.hosts; ++host) {
    const bool immediate = host / kZones % 2 == 0;
    SetOwnerAfter(immediate ? Duration::zero() : length, host, new_owner);
  }
}

std::vector<std::size_t> OwnerPolicy::RankForHost(int host) {
  std::vector<GroupCandidate> candidates;
  const int zone = fleet_->ZoneOfHost(host);
  std::vector<std::size_t> order(groups_.size());
  std::iota(order.begin(), order.end(), 0);
  std::shuffle(order.begin(), order.end(), random_);
  for (const std::size_t i : order) {
    GroupCandidate candidate;
    candidate.group = groups_[i].id;
    candidate.distance =
        groups_[i].zone == zone ? Distance::kSameZone : Distance::kSameRegion;
    const GroupLoadView& view = views_[host][i];
    if (view.received &&
        options_.choice != OwnerPolicyOptions::Choice::kLocalFirst) {
      candidate.load = view.load;
      candidate.load->granted += view.requested_since;
      candidate.load_age = loop_->Now() - view.received_at;
    }
    candidates.push_back(std::move(candidate));
  }
  std::vector<std::size_t> ranking = RankCandidates(candidates);
  for (std::size_t& index : ranking) index = order[index];
  return ranking;
}

std::vector<std::size_t> OwnerPolicy::RankCandidates(
    const std::vector<GroupCandidate>& candidates) const {
  if (options_.grouping == OwnerPolicyOptions::Grouping::kServer) {
    return RankByCost(candidates, WorkCost);
  }
  if (options_.choice == OwnerPolicyOptions::Choice::kQueueCostOnly) {
    return RankByCost(candidates, QueueCost);
  }
  return RankGroups(candidates);
}

void OwnerPolicy::Start(const Work& work, const DoneCallback& done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->work = work;
  attempt->done = done;
  attempt->ranking = RankForHost(work.host);
  AcquireFromNextGroup(attempt);
}

void OwnerPolicy::AcquireFromNextGroup(const AttemptPointer& attempt) {
  if (attempt->next >= attempt->ranking.size()) {
    attempt->done(WorkResult::kRefused);
    return;
  }
  const std::size_t index = attempt->ranking[attempt->next++];
  const Group& group = groups_[index];
  ++views_[attempt->work.host][index].requested_since;
  const std::size_t owner = group.owner_by_host[attempt->work.host];
  const Duration one_way_delay =
      Fleet::OneWayDelay(fleet_->ZoneOfHost(attempt->work.host), group.zone);
  SlotRequest request;
  request.organisation = OrganisationName("organisation");
  request.deadline = attempt->work.deadline;
  if (options_.unbounded) request.deadline += std::chrono::hours(1);
  request.excluded = attempt->excluded;
  loop_->After(one_way_delay, [=] {
    groups_[index].owners[owner]->Acquire(
        request, [=](const SlotDecision& decision) {
          const GroupLoad load = groups_[index].owners[owner]->Load();
          loop_->After(one_way_delay, [=] {
            views_[attempt->work.host][index] = {load, loop_->Now(), true, 0};
            OnDecision(attempt, index, owner, decision);
          });
        });
  });
}

void OwnerPolicy::OnDecision(const AttemptPointer& attempt, std::size_t group,
                             std::size_t owner, const SlotDecision& decision) {
  if (const auto* granted = std::get_if<SlotGranted>(&decision)) {
    CallServer(attempt, group, owner, granted->grant);
  } else {
    AcquireFromNextGroup(attempt);
  }
}

void OwnerPolicy::CallServer(const AttemptPointer& attempt, std::size_t group,
                             std::size_t owner, const Grant& grant) {
  FakeServer* server = nullptr;
  for (FakeServer* candidate : groups_[group].servers) {
    if (candidate->name() == grant.server) server = candidate;
  }
  const int zone = fleet_->ZoneOfHost(attempt->work.host);
  const Duration one_way_delay = Fleet::OneWayDelay(zone, server->zone());
  const auto on_response = [=](const CallReport& report) {
    loop_->After(one_way_delay, [=] {
      loop_->After(one_way_delay, [=] {
        groups_[group].owners[owner]->Release(grant.id, report);
      });
      OnReport(attempt, grant, report);
    });
  };
  loop_->After(one_way_delay,
               [=] { server->Call(attempt->work.service_time, on_response); });
}

void OwnerPolicy::OnReport(const AttemptPointer& attempt, const Grant& grant,
                           const CallReport& report) {
  if (report.end != CallOutcome::kShed) {
    attempt->done(ResultOf(report));
    return;
  }
  attempt->excluded.push_back(grant.server);
  if (++attempt->shed_count > kMaxShedRetries) {
    attempt->done(WorkResult::kRefused);
    return;
  }
  attempt->ranking = RankForHost(attempt->work.host);
  attempt->next = 0;
  AcquireFromNextGroup(attempt);
}

void OwnerPolicy::SendHeartbeats() {
  for (std::size_t index = 0; index < groups_.size(); ++index) {
    const GroupLoad load = groups_[index].owners.back()->Load();
    for (int host = 0; host < fleet_->service.hosts; ++host) {
      const Duration one_way_delay =
          Fleet::OneWayDelay(fleet_->ZoneOfHost(host), groups_[index].zone);
      loop_->After(one_way_delay, [=] {
        views_[host][index] = {load, loop_->Now(), true, 0};
      });
    }
  }
  loop_->After(kHeartbeatInterval, [this] { SendHeartbeats(); });
}

}  // namespace heatherlatch::experiment
