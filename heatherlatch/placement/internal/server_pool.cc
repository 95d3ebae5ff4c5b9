#include "heatherlatch/placement/internal/server_pool.h"

#include <algorithm>
#include <unordered_set>

namespace heatherlatch {
namespace {

// A group leaves at most one of this many servers because they are slow.
constexpr int kServersForEachSlowOne = 3;

// Free servers that are compared when the first ones seem slow.
constexpr int kMostCandidates = 8;

bool Contains(const ExcludedServers& excluded, const BackendServerName& name) {
  return std::find(excluded.begin(), excluded.end(), name) != excluded.end();
}

}  // namespace

void ServerPool::SetServers(const std::vector<GroupServer>& servers,
                            TimePoint now) {
  std::unordered_set<BackendServerName> present;
  for (const GroupServer& server : servers) {
    present.insert(server.name);
    Entry& entry = entries_[server.name];
    if (entry.record == nullptr) {
      entry.record = std::make_unique<ServerRecord>(server, options_, now);
    } else {
      entry.record->SetListed(server, now);
    }
    Update(entry.record.get());
  }
  std::vector<ServerRecord*> gone;
  for (const auto& [name, entry] : entries_) {
    if (present.count(name) == 0) gone.push_back(entry.record.get());
  }
  for (ServerRecord* record : gone) {
    record->Unlist();
    Update(record);
  }
}

ServerRecord* ServerPool::Find(const BackendServerName& name) {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : found->second.record.get();
}

ServerPool::Contribution ServerPool::ContributionOf(ServerRecord* record) {
  Contribution contribution;
  contribution.accepting = record->AcceptsWork();
  contribution.can_serve = contribution.accepting && !record->Unreachable();
  contribution.slow =
      contribution.accepting && (record->LeftAsSlow() || record->held());
  contribution.usable_slots = record->held()
                                  ? std::min(record->granted(), record->Limit())
                                  : record->Limit();
  if (record->HasFreeSlot()) {
    contribution.free_key =
        FreeKey{record->granted(), next_sequence_++, record};
  }
  if (contribution.accepting) contribution.trial_at = record->BackOffEnd();
  return contribution;
}

void ServerPool::Remove(const Contribution& contribution,
                        ServerRecord* record) {
  usable_slots_ -= contribution.usable_slots;
  accepting_ -= contribution.accepting ? 1 : 0;
  can_serve_ -= contribution.can_serve ? 1 : 0;
  slow_ -= contribution.slow ? 1 : 0;
  if (contribution.free_key) free_.erase(*contribution.free_key);
  if (contribution.trial_at) trials_.erase({*contribution.trial_at, record});
}

void ServerPool::Add(const Contribution& contribution, ServerRecord* record) {
  usable_slots_ += contribution.usable_slots;
  accepting_ += contribution.accepting ? 1 : 0;
  can_serve_ += contribution.can_serve ? 1 : 0;
  slow_ += contribution.slow ? 1 : 0;
  if (contribution.free_key) free_.insert(*contribution.free_key);
  if (contribution.trial_at) trials_.insert({*contribution.trial_at, record});
}

void ServerPool::Update(ServerRecord* record) {
  Entry& entry = entries_.at(record->name());
  const Contribution next = ContributionOf(record);
  if (entry.contribution.can_serve && !next.can_serve) lost_server_ = true;
  Remove(entry.contribution, record);
  entry.contribution = next;
  Add(next, record);
  if (!record->listed() && record->granted() == 0) {
    Remove(next, record);
    entries_.erase(entries_.find(record->name()));
  }
}

void ServerPool::Advance(TimePoint now) {
  while (!trials_.empty() && trials_.begin()->first <= now) {
    ServerRecord* record = trials_.begin()->second;
    record->Advance(now);
    Update(record);
  }
}

std::optional<TimePoint> ServerPool::NextTrial() const {
  if (trials_.empty()) return std::nullopt;
  return trials_.begin()->first;
}

ServerPool::Candidate ServerPool::LeastSuspicious(
    const ExcludedServers& excluded, TimePoint now) const {
  Candidate best;
  int looked_at = 0;
  for (const FreeKey& key : free_) {
    if (Contains(excluded, key.record->name())) continue;
    const double score = key.record->SlowScore(usual_, now);
    if (best.record == nullptr || score < best.slow_score) {
      best = {key.record, score};
    }
    if (score < kAvoidScore || ++looked_at == kMostCandidates) break;
  }
  return best;
}

ServerRecord* ServerPool::PickFree(const ExcludedServers& excluded,
                                   TimePoint now) {
  while (true) {
    const Candidate best = LeastSuspicious(excluded, now);
    if (best.record == nullptr || best.slow_score < kHoldScore ||
        !MayLeaveSlowServer()) {
      return best.record;
    }
    if (best.record->granted() == 0) {
      best.record->LeaveAsSlow(now);
    } else {
      best.record->Hold();
    }
    Update(best.record);
  }
}

ServerRecord* ServerPool::PickForIsolation(const ExcludedServers& excluded) {
  ServerRecord* best = nullptr;
  for (const auto& [name, entry] : entries_) {
    ServerRecord* record = entry.record.get();
    if (record->Limit() == 0 || Contains(excluded, name)) continue;
    if (best == nullptr || record->granted() < best->granted() ||
        (record->granted() == best->granted() && name < best->name())) {
      best = record;
    }
  }
  return best;
}

bool ServerPool::CanServe(const ExcludedServers& excluded) const {
  int left = can_serve_;
  for (auto name = excluded.begin(); name != excluded.end(); ++name) {
    if (std::find(excluded.begin(), name, *name) != name) continue;
    const auto found = entries_.find(*name);
    if (found != entries_.end() && found->second.contribution.can_serve) --left;
  }
  return left > 0;
}

bool ServerPool::TakeLostServer() { return std::exchange(lost_server_, false); }

bool ServerPool::MayLeaveSlowServer() const {
  return (slow_ + 1) * kServersForEachSlowOne <= accepting_ ||
         (slow_ == 0 && accepting_ > 1);
}

std::vector<std::pair<BackendServerName, int>> ServerPool::Limits() const {
  std::vector<std::pair<BackendServerName, int>> limits;
  for (const auto& [name, entry] : entries_) {
    if (!entry.record->listed()) continue;
    limits.emplace_back(name, entry.record->Limit());
  }
  std::sort(limits.begin(), limits.end());
  return limits;
}

}  // namespace heatherlatch
