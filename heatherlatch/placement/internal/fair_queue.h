// Weighted fair queueing of requests over organisations.
//
// Each organisation has a FIFO queue and a virtual time that advances by
// cost / weight for each request taken. The organisation with the least virtual
// time is served next (start-time fair queueing, Goyal, Vin and Cheng 1996). An
// organisation that was idle starts at the virtual time of the last one served,
// so it cannot accumulate unused service. A request that is cancelled does not
// advance the virtual time.
//
// Fairness bound: while two organisations both have waiting requests, the slots
// that they received, each divided by the organisation's weight, differ by at
// most the sum of their largest request costs, each divided by the weight.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_FAIR_QUEUE_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_FAIR_QUEUE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "heatherlatch/base/name.h"
#include "heatherlatch/placement/group_scheduler.h"

namespace heatherlatch {

class FairQueue {
 public:
  // Position of a queued request, for `Remove`.
  struct Position {
    OrganisationName organisation;
    std::list<WaiterId>::iterator element;
  };

  // @param weight  weight of the organisation; replaces its earlier weight
  Position Push(const OrganisationName& organisation, int weight,
                WaiterId waiter);

  // @return the request to serve next, if any
  std::optional<WaiterId> Front() const;

  // Removes the request that `Front` returns; there must be one.
  // @param cost  number of slots that the organisation is charged
  void Pop(int cost);

  // Removes a queued request without charging its organisation.
  void Remove(const Position& position);

  // @return estimated number of requests that would be served before a new one
  //     of this organisation, its own included
  std::size_t CountAhead(const OrganisationName& organisation,
                         int weight) const;

  // @return number of queued requests of this organisation
  std::size_t SizeOf(const OrganisationName& organisation) const;

  std::size_t size() const { return size_; }

 private:
  using VirtualTime = std::uint64_t;

  // State of one organisation; `start` is its virtual time.
  struct Flow {
    std::list<WaiterId> waiters;
    int weight = 1;
    VirtualTime start = 0;
  };
  using Flows = std::map<OrganisationName, Flow>;

  void Activate(const OrganisationName& organisation, Flow* flow);
  void Deactivate(Flows::iterator flow);
  void DiscardIdle();

  using FlowOrder = std::set<std::pair<VirtualTime, OrganisationName>>;

  Flows flows_;
  FlowOrder active_;  // Organisations with waiting requests.
  // Organisations without waiting requests whose virtual time is ahead of
  // `virtual_time_`.
  FlowOrder idle_;
  VirtualTime virtual_time_ = 0;  // Of the organisation served last.
  std::size_t size_ = 0;
  std::int64_t active_weight_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_FAIR_QUEUE_H_
