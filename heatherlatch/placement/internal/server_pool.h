// The backend servers of a group, with an index of those that have a free slot.
//
// Every change of a record is followed by `Update`, which keeps the index and
// the sums right; so picking a server and reading the load do not scan.
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
#include "heatherlatch/placement/internal/server_record.h"
#include "heatherlatch/placement/internal/slowness.h"

namespace heatherlatch {

using ExcludedServers = std::vector<BackendServerName>;

class ServerPool {
 public:
  explicit ServerPool(const GroupOptions& options) : options_(options) {}

  // Replaces the servers of the group.
  void SetServers(const std::vector<GroupServer>& servers, TimePoint now);

  // @return the record of a server, or null
  ServerRecord* Find(const BackendServerName& name);

  // Takes over a change of a record. The record may be gone afterwards if its
  // server has left the group and has no grant.
  void Update(ServerRecord* record);

  // Opens the trials that are due.
  void Advance(TimePoint now);
  // @return when the next trial is due, if any
  std::optional<TimePoint> NextTrial() const;

  // Picks the server with the fewest grants that has a free slot, the one
  // unused for longest among equals. A server that seems slow is taken only
  // where no other is free.
  // @return the server, or null
  ServerRecord* PickFree(const ExcludedServers& excluded, TimePoint now);

  // Picks the server that will be idle soonest, for an isolated request.
  ServerRecord* PickForIsolation(const ExcludedServers& excluded);

  // @return whether some server outside `excluded` may come to serve a request
  bool CanServe(const ExcludedServers& excluded) const;

  // @return whether `CanServe` may have become false since the last call
  bool TakeLostServer();

  // @return whether one more server may be left because it is slow; a group
  //     never leaves more than a third of its servers for that reason
  bool MayLeaveSlowServer() const;

  bool has_free_slot() const { return !free_.empty(); }
  int usable_slots() const { return usable_slots_; }
  int accepting() const { return accepting_; }
  UsualTimes& usual() { return usual_; }
  const UsualTimes& usual() const { return usual_; }

  std::vector<std::pair<BackendServerName, int>> Limits() const;

 private:
  // Place in `free_`: grants, then when the server last entered the index.
  struct FreeKey {
    int granted;
    std::uint64_t sequence;
    ServerRecord* record;

    friend bool operator<(const FreeKey& a, const FreeKey& b) {
      return a.granted != b.granted ? a.granted < b.granted
                                    : a.sequence < b.sequence;
    }
  };

  // What a record adds to the sums and the indexes.
  struct Contribution {
    int usable_slots = 0;
    bool accepting = false;
    bool can_serve = false;
    bool slow = false;
    std::optional<FreeKey> free_key;
    std::optional<TimePoint> trial_at;
  };

  struct Entry {
    std::unique_ptr<ServerRecord> record;
    Contribution contribution;
  };

  struct Candidate {
    ServerRecord* record = nullptr;
    double slow_score = 0;
  };

  Candidate LeastSuspicious(const ExcludedServers& excluded,
                            TimePoint now) const;
  Contribution ContributionOf(ServerRecord* record);
  void Remove(const Contribution& contribution, ServerRecord* record);
  void Add(const Contribution& contribution, ServerRecord* record);

  GroupOptions options_;
  std::unordered_map<BackendServerName, Entry> entries_;
  std::set<FreeKey> free_;
  std::set<std::pair<TimePoint, ServerRecord*>> trials_;
  UsualTimes usual_;
  std::uint64_t next_sequence_ = 0;
  int usable_slots_ = 0;
  int accepting_ = 0;
  int can_serve_ = 0;
  int slow_ = 0;
  bool lost_server_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_POOL_H_
