// The requests that wait for a slot of a group.
//
// A request is in one of three places: the fair queue; parked, because its turn
// came while every free server was one that it excludes; or waiting for a
// server of its own, because it must run isolated. Parked requests are kept in
// one queue for each set of excluded servers, so a freed slot looks at the
// first of each queue only.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_WAITING_LINE_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_WAITING_LINE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/placement/internal/fair_queue.h"
#include "heatherlatch/placement/internal/server_pool.h"

namespace heatherlatch {

class WaitingLine {
 public:
  // @param isolated_cost  slots that an isolated request takes
  WaitingLine(std::size_t max_waiting, int isolated_cost)
      : max_waiting_(max_waiting), isolated_cost_(isolated_cost) {}

  // @return whether one more request of the organisation may wait; the last
  //     places are kept for organisations that have few
  bool HasRoom(const OrganisationName& organisation) const;

  void Add(const SlotRequest& request);
  bool Contains(WaiterId waiter) const { return waiters_.count(waiter) > 0; }
  // @return the waiting request; it must be there
  const SlotRequest& Get(WaiterId waiter) const;
  // Takes out a request that is granted; its organisation is charged.
  SlotRequest Take(WaiterId waiter);
  // Takes out a request that is withdrawn or refused; it costs nothing.
  // @return the request, if it was there
  std::optional<SlotRequest> Remove(WaiterId waiter);

  // @return the request whose turn it is, if any
  std::optional<WaiterId> FairFront() const { return fair_.Front(); }
  // Moves the request whose turn it is out of the fair queue.
  void Park(WaiterId waiter);
  void AwaitIsolation(WaiterId waiter);

  // @return the first request that waits for a server of its own, if any
  std::optional<WaiterId> IsolatedFront() const;

  // Finds the request that was parked first among those that `can_place`
  // accepts.
  // @param can_place  bool(const ExcludedServers&)
  template <typename Predicate>
  std::optional<WaiterId> FindParked(Predicate can_place) const;

  // @return the first deadline, if any request waits
  std::optional<std::pair<TimePoint, WaiterId>> FirstDeadline() const;

  // @return requests that would be served before a new one
  std::size_t AheadOf(const OrganisationName& organisation, int weight) const;

  // @return every request for which `matches(const SlotRequest&)` holds
  template <typename Predicate>
  std::vector<WaiterId> Select(Predicate matches) const;

  std::size_t size() const { return waiters_.size(); }
  std::size_t fair_size() const { return fair_.size(); }

 private:
  struct ParkedAt {
    ExcludedServers excluded;
    std::uint64_t sequence;
  };
  struct IsolatedAt {
    std::uint64_t sequence;
  };
  using Place = std::variant<FairQueue::Position, ParkedAt, IsolatedAt>;

  struct Entry {
    SlotRequest request;
    Place place;
  };
  using Queue = std::map<std::uint64_t, WaiterId>;  // By sequence.

  SlotRequest Erase(WaiterId waiter);
  void Leave(const FairQueue::Position& position);
  void Leave(const ParkedAt& place);
  void Leave(const IsolatedAt& place);

  std::size_t max_waiting_;
  int isolated_cost_;
  std::unordered_map<WaiterId, Entry> waiters_;
  FairQueue fair_;
  std::map<ExcludedServers, Queue> parked_;
  Queue isolated_;
  std::set<std::pair<TimePoint, WaiterId>> deadlines_;
  std::uint64_t next_sequence_ = 0;
};

template <typename Predicate>
std::optional<WaiterId> WaitingLine::FindParked(Predicate can_place) const {
  std::optional<std::pair<std::uint64_t, WaiterId>> first;
  for (const auto& [excluded, queue] : parked_) {
    if (first && first->first < queue.begin()->first) continue;
    if (can_place(excluded)) first = *queue.begin();
  }
  if (!first) return std::nullopt;
  return first->second;
}

template <typename Predicate>
std::vector<WaiterId> WaitingLine::Select(Predicate matches) const {
  std::vector<WaiterId> selected;
  for (const auto& [waiter, entry] : waiters_) {
    if (matches(entry.request)) selected.push_back(waiter);
  }
  return selected;
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_WAITING_LINE_H_
