// The backend servers of a group, with an index of those that have a free slot.
//
// Every change of a `ServerState` must be followed by `Update`, which keeps the
// index and the sums consistent with it. Picking a server and reading the load
// therefore need no scan over all servers.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_POOL_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_POOL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/placement/internal/server_state.h"
#include "heatherlatch/placement/internal/slow_server_detection.h"

namespace heatherlatch {

using ExcludedServers = std::vector<BackendServerName>;

class ServerPool {
 public:
  explicit ServerPool(const GroupOptions& options) : options_(options) {}

  // Replaces the servers of the group.
  void SetServers(const std::vector<GroupServer>& servers, TimePoint now);

  // @return the state of a server, or null
  ServerState* Find(const BackendServerName& name);

  // Applies a change of a state to the index and the sums. Deletes the state if
  // its server has been removed from the group and has no grant.
  void Update(ServerState* state);

  // Allows the trials that are due.
  void Advance(TimePoint now);
  // @return when the next trial is due, if any
  std::optional<TimePoint> NextTrial() const;

  // Picks the server with the fewest grants among those with a free slot; among
  // equals, the least recently updated one. A server with a high slow-server
  // score is picked only if no better one is found. Servers whose score reaches
  // `kPauseScore` are paused or ejected on the way, within the bound of
  // `MayEjectSlowServer`.
  // @return the server, or null
  ServerState* PickFree(const ExcludedServers& excluded, TimePoint now);

  // Picks the server with the fewest grants, for an isolated request; it need
  // not have a free slot.
  // @return the server, or null
  ServerState* PickForIsolation(const ExcludedServers& excluded);

  // @return whether a server outside `excluded` can serve a request, at once or
  //     when it has a free slot
  bool CanServe(const ExcludedServers& excluded) const;

  // @return whether a server became unable to serve requests since the last
  //     call, so that `CanServe` may have become false
  bool TakeAnyUnavailable();

  // @return whether one more server may be paused or ejected as slow. At most a
  //     third of the accepting servers may be, or one if there are only two.
  bool MayEjectSlowServer() const;

  bool has_free_slot() const { return !free_.empty(); }
  int usable_slots() const { return usable_slots_; }
  int accepting() const { return accepting_; }
  BaselineTimes& baseline() { return baseline_; }
  const BaselineTimes& baseline() const { return baseline_; }

  std::vector<std::pair<BackendServerName, int>> Limits() const;

 private:
  // Sort key in `free_`: grants, then order of the last update.
  struct FreeKey {
    int granted;
    std::uint64_t sequence;
    ServerState* state;

    friend bool operator<(const FreeKey& a, const FreeKey& b) {
      return a.granted != b.granted ? a.granted < b.granted
                                    : a.sequence < b.sequence;
    }
  };

  // What a state adds to the sums and the indexes.
  struct Contribution {
    int usable_slots = 0;
    bool accepting = false;
    bool can_serve = false;
    bool slow = false;  // Paused or ejected as slow.
    std::optional<FreeKey> free_key;
    std::optional<TimePoint> trial_at;
  };

  struct Entry {
    std::unique_ptr<ServerState> state;
    Contribution contribution;
  };

  struct Candidate {
    ServerState* state = nullptr;
    double slow_score = 0;
  };

  Candidate FindLeastSlow(const ExcludedServers& excluded, TimePoint now) const;
  Contribution ContributionOf(ServerState* state);
  void Remove(const Contribution& contribution, ServerState* state);
  void Add(const Contribution& contribution, ServerState* state);

  GroupOptions options_;
  std::unordered_map<BackendServerName, Entry> entries_;
  std::set<FreeKey> free_;
  std::set<std::pair<TimePoint, ServerState*>> trials_;
  BaselineTimes baseline_;
  std::uint64_t next_sequence_ = 0;
  int usable_slots_ = 0;
  int accepting_ = 0;
  int can_serve_ = 0;
  int slow_ = 0;  // Servers that are paused or ejected as slow.
  // Whether a server became unable to serve since `TakeAnyUnavailable`.
  bool any_unavailable_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_POOL_H_
