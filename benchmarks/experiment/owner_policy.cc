#include "benchmarks/experiment/owner_policy.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

#include "heatherlatch/placement/group_owner.h"

namespace heatherlatch::experiment {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr int kMostShedRetries = 3;

// The cost form of the paper on packet-in redirection: the delay of the way
// plus queue length over service rate.
Duration QueueCost(const GroupCandidate& candidate) {
  constexpr Duration kFarWay = std::chrono::milliseconds(4);
  const bool near = candidate.distance == Distance::kSameZone;
  const Duration way = near ? Duration::zero() : kFarWay;
  if (!candidate.load) return way;
  const int slots = std::max(candidate.load->usable_slots, 1);
  return way +
         candidate.load->mean_slot_time * (candidate.load->waiting + 1) / slots;
}

// The cost for groups of one server: the delay of the way plus the work on the
// server, running and waiting, over its service rate.
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
  known_.assign(fleet->shape.hosts, std::vector<Knowledge>(groups_.size()));
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
    group.id = {ServiceName(fleet_->shape.name + std::to_string(i)),
                ZoneName("zone-" + std::to_string(group.zone))};
    group.owners.push_back(MakeOwner(group));
    group.owner_hosts.push_back(OwnerHost(group, HostsOfZone(group.zone)));
    group.owner_seen.assign(fleet_->shape.hosts, 0);
  }
}

std::shared_ptr<OwnerProcess> OwnerPolicy::MakeOwner(const Group& group) {
  GroupOptions options;
  options.slots_per_server = fleet_->shape.slots;
  options.cold_start_slots = fleet_->shape.cold_slots;
  if (options_.unbounded) options.max_waiting = 1 << 30;
  return std::make_shared<OwnerProcess>(loop_, options, Described(group));
}

std::vector<GroupServer> OwnerPolicy::Described(const Group& group) const {
  std::vector<GroupServer> described;
  for (const FakeServer* server : group.servers) {
    described.push_back(server->Described(zone_in_service_[server->zone()]));
  }
  return described;
}

std::vector<HostIncarnation> OwnerPolicy::HostsOfZone(int zone) const {
  std::vector<HostIncarnation> hosts;
  for (int host = 0; host < fleet_->shape.hosts; ++host) {
    if (fleet_->ZoneOfHost(host) != zone) continue;
    hosts.push_back(
        {HostName(std::to_string(host)), static_cast<std::uint64_t>(host)});
  }
  return hosts;
}

int OwnerPolicy::OwnerHost(const Group& group,
                           const std::vector<HostIncarnation>& hosts) const {
  return static_cast<int>(GroupOwner(group.id, hosts, {})->nonce);
}

void OwnerPolicy::SetZoneInService(int zone, bool in_service) {
  zone_in_service_[zone] = in_service;
  for (Group& group : groups_) {
    if (group.zone != zone) continue;
    for (const auto& owner : group.owners) owner->SetServers(Described(group));
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
  group.owner_hosts.push_back(OwnerHost(group, hosts));
  return group.owners.size() - 1;
}

void OwnerPolicy::SeeOwnerAfter(Duration delay, int host, std::size_t owner) {
  loop_->After(
      delay, [this, host, owner] { groups_.front().owner_seen[host] = owner; });
}

void OwnerPolicy::MoveFirstGroup(Duration spread) {
  const std::size_t newest = AddOwner();
  for (int host = 0; host < fleet_->shape.hosts; ++host) {
    SeeOwnerAfter(spread * host / fleet_->shape.hosts, host, newest);
  }
}

void OwnerPolicy::SplitFirstGroup(Duration length) {
  const std::size_t newest = AddOwner();
  for (int host = 0; host < fleet_->shape.hosts; ++host) {
    const bool at_once = host / kZones % 2 == 0;
    SeeOwnerAfter(at_once ? Duration::zero() : length, host, newest);
  }
}

std::vector<std::size_t> OwnerPolicy::Rank(int host) {
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
    const Knowledge& knowledge = known_[host][i];
    if (knowledge.known &&
        options_.choice != OwnerPolicyOptions::Choice::kLocalFirst) {
      candidate.load = knowledge.load;
      candidate.load->granted += knowledge.asked_since;
      candidate.load_age = loop_->Now() - knowledge.at;
    }
    candidates.push_back(std::move(candidate));
  }
  std::vector<std::size_t> ranking = RankAs(candidates);
  for (std::size_t& index : ranking) index = order[index];
  return ranking;
}

std::vector<std::size_t> OwnerPolicy::RankAs(
    const std::vector<GroupCandidate>& candidates) const {
  if (options_.grouping == OwnerPolicyOptions::Grouping::kServer) {
    return RankByCost(candidates, WorkCost);
  }
  if (options_.choice == OwnerPolicyOptions::Choice::kQueueCostOnly) {
    return RankByCost(candidates, QueueCost);
  }
  return RankGroups(candidates);
}

void OwnerPolicy::Start(const Work& work, const Done& done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->work = work;
  attempt->done = done;
  attempt->ranking = Rank(work.host);
  AskNext(attempt);
}

void OwnerPolicy::AskNext(const AttemptPointer& attempt) {
  if (attempt->next >= attempt->ranking.size()) {
    attempt->done(WorkEnd::kRefused);
    return;
  }
  const std::size_t index = attempt->ranking[attempt->next++];
  const Group& group = groups_[index];
  ++known_[attempt->work.host][index].asked_since;
  const std::size_t seen = group.owner_seen[attempt->work.host];
  const Duration hop =
      Fleet::Hop(fleet_->ZoneOfHost(attempt->work.host), group.zone);
  SlotRequest request;
  request.organisation = OrganisationName("organisation");
  request.deadline = attempt->work.deadline;
  if (options_.unbounded) request.deadline += std::chrono::hours(1);
  request.excluded = attempt->excluded;
  loop_->After(hop, [=] {
    groups_[index].owners[seen]->Acquire(
        request, [=](const SlotDecision& decision) {
          const GroupLoad load = groups_[index].owners[seen]->Load();
          loop_->After(hop, [=] {
            known_[attempt->work.host][index] = {load, loop_->Now(), true, 0};
            OnDecision(attempt, index, seen, decision);
          });
        });
  });
}

void OwnerPolicy::OnDecision(const AttemptPointer& attempt, std::size_t group,
                             std::size_t owner, const SlotDecision& decision) {
  if (const auto* granted = std::get_if<SlotGranted>(&decision)) {
    CallServer(attempt, group, owner, granted->grant);
  } else {
    AskNext(attempt);
  }
}

void OwnerPolicy::CallServer(const AttemptPointer& attempt, std::size_t group,
                             std::size_t owner, const Grant& grant) {
  FakeServer* server = nullptr;
  for (FakeServer* candidate : groups_[group].servers) {
    if (candidate->name() == grant.server) server = candidate;
  }
  const int zone = fleet_->ZoneOfHost(attempt->work.host);
  const Duration hop = Fleet::Hop(zone, server->zone());
  const auto on_answer = [=](const CallReport& report) {
    loop_->After(hop, [=] {
      loop_->After(hop, [=] {
        groups_[group].owners[owner]->Release(grant.id, report);
      });
      OnReport(attempt, grant, report);
    });
  };
  loop_->After(hop,
               [=] { server->Call(attempt->work.service_time, on_answer); });
}

void OwnerPolicy::OnReport(const AttemptPointer& attempt, const Grant& grant,
                           const CallReport& report) {
  if (report.end != CallOutcome::kShed) {
    attempt->done(EndOf(report));
    return;
  }
  attempt->excluded.push_back(grant.server);
  if (++attempt->sheds > kMostShedRetries) {
    attempt->done(WorkEnd::kRefused);
    return;
  }
  attempt->ranking = Rank(attempt->work.host);
  attempt->next = 0;
  AskNext(attempt);
}

void OwnerPolicy::SendHeartbeats() {
  for (std::size_t index = 0; index < groups_.size(); ++index) {
    const GroupLoad load = groups_[index].owners.back()->Load();
    for (int host = 0; host < fleet_->shape.hosts; ++host) {
      const Duration hop =
          Fleet::Hop(fleet_->ZoneOfHost(host), groups_[index].zone);
      loop_->After(hop, [=] {
        known_[host][index] = {load, loop_->Now(), true, 0};
      });
    }
  }
  loop_->After(kHeartbeatInterval, [this] { SendHeartbeats(); });
}

}  // namespace heatherlatch::experiment
