// The requests that wait for a slot of a group.
//
// A waiting request is in one of three places:
//   - the fair queue;
//   - the parked requests: it reached the front of the fair queue while it
//     excluded every server with a free slot;
//   - the isolated requests: it reached the front of the fair queue and waits
//     for a server that runs nothing else.
// Parked requests are kept in one queue per set of excluded servers, so only
// the first request of each queue is examined when a slot becomes free.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_WAIT_QUEUE_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_WAIT_QUEUE_H_

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

class WaitQueue {
 public:
  // @param max_waiting    maximum number of waiting requests
  // @param isolated_cost  number of slots charged for an isolated request
  WaitQueue(std::size_t max_waiting, int isolated_cost)
      : max_waiting_(max_waiting), isolated_cost_(isolated_cost) {}

  // @return whether one more request of the organisation may wait; as the queue
  //     fills up, the remaining places go to organisations with few requests
  bool HasRoom(const OrganisationName& organisation) const;

  void Add(const SlotRequest& request);
  bool Contains(WaiterId waiter) const { return waiters_.count(waiter) > 0; }
  // @return the waiting request; it must exist
  const SlotRequest& Get(WaiterId waiter) const;
  // Removes a request that is granted. The organisation is charged for it if
  // that was not done by `Park` or `MoveToIsolated`.
  SlotRequest Take(WaiterId waiter);
  // Removes a request that is cancelled or refused, without charging for it. An
  // earlier charge by `Park` or `MoveToIsolated` remains.
  // @return the request, if it was waiting
  std::optional<SlotRequest> Remove(WaiterId waiter);

  // @return the request at the front of the fair queue, if any
  std::optional<WaiterId> FairFront() const { return fair_.Front(); }
  // Moves the request at the front of the fair queue to the parked or isolated
  // requests and charges its organisation.
  void Park(WaiterId waiter);
  void MoveToIsolated(WaiterId waiter);

  // @return the first of the isolated requests, if any
  std::optional<WaiterId> IsolatedFront() const;

  // Finds the request that was parked first among those that `can_place`
  // accepts.
  // @param can_place  bool(const ExcludedServers&)
  template <typename Predicate>
  std::optional<WaiterId> FindParked(Predicate can_place) const;

  // @return the earliest deadline and its request; none if no request waits
  std::optional<std::pair<TimePoint, WaiterId>> FirstDeadline() const;

  // @return estimated number of requests that would be served before a new one
  std::size_t CountAhead(const OrganisationName& organisation,
                         int weight) const;

  // @return every request for which `matches(const SlotRequest&)` holds
  template <typename Predicate>
  std::vector<WaiterId> Select(Predicate matches) const;

  std::size_t size() const { return waiters_.size(); }
  std::size_t fair_size() const { return fair_.size(); }

 private:
  struct ParkedLocation {
    ExcludedServers excluded;
    std::uint64_t sequence;
  };
  struct IsolatedLocation {
    std::uint64_t sequence;
  };
  using Location =
      std::variant<FairQueue::Position, ParkedLocation, IsolatedLocation>;

  struct Entry {
    SlotRequest request;
    Location location;
  };
  using Fifo = std::map<std::uint64_t, WaiterId>;  // By sequence.

  SlotRequest Erase(WaiterId waiter);
  void RemoveFrom(const FairQueue::Position& position);
  void RemoveFrom(const ParkedLocation& location);
  void RemoveFrom(const IsolatedLocation& location);

  std::size_t max_waiting_;
  int isolated_cost_;
  std::unordered_map<WaiterId, Entry> waiters_;
  FairQueue fair_;
  std::map<ExcludedServers, Fifo> parked_;
  Fifo isolated_;
  std::set<std::pair<TimePoint, WaiterId>> deadlines_;
  std::uint64_t next_sequence_ = 0;
};

template <typename Predicate>
std::optional<WaiterId> WaitQueue::FindParked(Predicate can_place) const {
  std::optional<std::pair<std::uint64_t, WaiterId>> first;
  for (const auto& [excluded, queue] : parked_) {
    if (first && first->first < queue.begin()->first) continue;
    if (can_place(excluded)) first = *queue.begin();
  }
  if (!first) return std::nullopt;
  return first->second;
}

template <typename Predicate>
std::vector<WaiterId> WaitQueue::Select(Predicate matches) const {
  std::vector<WaiterId> selected;
  for (const auto& [waiter, entry] : waiters_) {
    if (matches(entry.request)) selected.push_back(waiter);
  }
  return selected;
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_WAIT_QUEUE_H_
