#include "heatherlatch/placement/internal/server_pool.h"

#include <algorithm>
#include <unordered_set>

namespace heatherlatch {
namespace {

// At most one of this many servers may be paused or ejected as slow; in a group
// of two, one may be.
constexpr int kServersPerSlowServer = 3;

// Free servers that are compared while their scores are high.
constexpr int kMaxCandidates = 8;

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
    if (entry.state == nullptr) {
      entry.state = std::make_unique<ServerState>(server, options_, now);
    } else {
      entry.state->SetListed(server, now);
    }
    Update(entry.state.get());
  }
  std::vector<ServerState*> removed;
  for (const auto& [name, entry] : entries_) {
    if (present.count(name) == 0) removed.push_back(entry.state.get());
  }
  for (ServerState* state : removed) {
    state->Unlist();
    Update(state);
  }
}

ServerState* ServerPool::Find(const BackendServerName& name) {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : found->second.state.get();
}

ServerPool::Contribution ServerPool::ContributionOf(ServerState* state) {
  Contribution contribution;
  contribution.accepting = state->AcceptsWork();
  contribution.can_serve = contribution.accepting && !state->Unreachable();
  contribution.slow =
      contribution.accepting && (state->EjectedAsSlow() || state->paused());
  contribution.usable_slots = state->paused()
                                  ? std::min(state->granted(), state->Limit())
                                  : state->Limit();
  if (state->HasFreeSlot()) {
    contribution.free_key = FreeKey{state->granted(), next_sequence_++, state};
  }
  if (contribution.accepting) contribution.trial_at = state->BackoffEnd();
  return contribution;
}

void ServerPool::Remove(const Contribution& contribution, ServerState* state) {
  usable_slots_ -= contribution.usable_slots;
  accepting_ -= contribution.accepting ? 1 : 0;
  can_serve_ -= contribution.can_serve ? 1 : 0;
  slow_ -= contribution.slow ? 1 : 0;
  if (contribution.free_key) free_.erase(*contribution.free_key);
  if (contribution.trial_at) trials_.erase({*contribution.trial_at, state});
}

void ServerPool::Add(const Contribution& contribution, ServerState* state) {
  usable_slots_ += contribution.usable_slots;
  accepting_ += contribution.accepting ? 1 : 0;
  can_serve_ += contribution.can_serve ? 1 : 0;
  slow_ += contribution.slow ? 1 : 0;
  if (contribution.free_key) free_.insert(*contribution.free_key);
  if (contribution.trial_at) trials_.insert({*contribution.trial_at, state});
}

void ServerPool::Update(ServerState* state) {
  Entry& entry = entries_.at(state->name());
  const Contribution next = ContributionOf(state);
  if (entry.contribution.can_serve && !next.can_serve) any_unavailable_ = true;
  Remove(entry.contribution, state);
  entry.contribution = next;
  Add(next, state);
  if (!state->listed() && state->granted() == 0) {
    Remove(next, state);
    entries_.erase(entries_.find(state->name()));
  }
}

void ServerPool::Advance(TimePoint now) {
  while (!trials_.empty() && trials_.begin()->first <= now) {
    ServerState* state = trials_.begin()->second;
    state->Advance(now);
    Update(state);
  }
}

std::optional<TimePoint> ServerPool::NextTrial() const {
  if (trials_.empty()) return std::nullopt;
  return trials_.begin()->first;
}

ServerPool::Candidate ServerPool::FindLeastSlow(const ExcludedServers& excluded,
                                                TimePoint now) const {
  Candidate best;
  int compared = 0;
  for (const FreeKey& key : free_) {
    if (Contains(excluded, key.state->name())) continue;
    const double score = key.state->SlowScore(baseline_, now);
    if (best.state == nullptr || score < best.slow_score) {
      best = {key.state, score};
    }
    if (score < kAvoidScore || ++compared == kMaxCandidates) break;
  }
  return best;
}

ServerState* ServerPool::PickFree(const ExcludedServers& excluded,
                                  TimePoint now) {
  while (true) {
    const Candidate best = FindLeastSlow(excluded, now);
    if (best.state == nullptr || best.slow_score < kPauseScore ||
        !MayEjectSlowServer()) {
      return best.state;
    }
    if (best.state->granted() == 0) {
      best.state->EjectAsSlow(now);
    } else {
      best.state->Pause();
    }
    Update(best.state);
  }
}

ServerState* ServerPool::PickForIsolation(const ExcludedServers& excluded) {
  ServerState* best = nullptr;
  for (const auto& [name, entry] : entries_) {
    ServerState* state = entry.state.get();
    if (state->Limit() == 0 || Contains(excluded, name)) continue;
    if (best == nullptr || state->granted() < best->granted() ||
        (state->granted() == best->granted() && name < best->name())) {
      best = state;
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

bool ServerPool::TakeAnyUnavailable() {
  return std::exchange(any_unavailable_, false);
}

bool ServerPool::MayEjectSlowServer() const {
  return (slow_ + 1) * kServersPerSlowServer <= accepting_ ||
         (slow_ == 0 && accepting_ > 1);
}

std::vector<std::pair<BackendServerName, int>> ServerPool::Limits() const {
  std::vector<std::pair<BackendServerName, int>> limits;
  for (const auto& [name, entry] : entries_) {
    if (!entry.state->listed()) continue;
    limits.emplace_back(name, entry.state->Limit());
  }
  std::sort(limits.begin(), limits.end());
  return limits;
}

}  // namespace heatherlatch
