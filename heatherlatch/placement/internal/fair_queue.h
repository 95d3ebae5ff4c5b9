// Weighted fair queueing of requests over organisations.
//
// Each organisation has a queue, first come first served, and a virtual time
// that advances by cost / weight for each request taken. The organisation with
// the least virtual time is served next (start-time fair queueing, Goyal, Vin
// and Cheng 1996). An organisation that was idle starts at the virtual time of
// the last one served, so it cannot save up service. A request that is
// withdrawn costs nothing.
//
// Between two organisations that both wait, what each was served, divided by
// its weight, differs by at most one largest request of each, divided by its
// weight.
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
  // Where a queued request is, to withdraw it.
  struct Position {
    OrganisationName organisation;
    std::list<WaiterId>::iterator place;
  };

  // @param weight  share of the organisation; applies to all its requests
  Position Push(const OrganisationName& organisation, int weight,
                WaiterId waiter);

  // @return the request to serve next, if any
  std::optional<WaiterId> Front() const;

  // Takes out the request that `Front` returns.
  // @param cost  slots that the request takes
  void Pop(int cost);

  // Withdraws a request.
  void Remove(const Position& position);

  // @return requests that would be served before a new one of this
  //     organisation, its own included
  std::size_t AheadOf(const OrganisationName& organisation, int weight) const;

  // @return requests of this organisation
  std::size_t SizeOf(const OrganisationName& organisation) const;

  std::size_t size() const { return size_; }

 private:
  using VirtualTime = std::uint64_t;

  struct Flow {
    std::list<WaiterId> waiters;
    int weight = 1;
    VirtualTime start = 0;
  };
  using Flows = std::map<OrganisationName, Flow>;

  void Activate(const OrganisationName& organisation, Flow* flow);
  void Deactivate(Flows::iterator flow);
  void ForgetIdle();

  using FlowOrder = std::set<std::pair<VirtualTime, OrganisationName>>;

  Flows flows_;
  FlowOrder active_;  // Organisations with waiting requests.
  FlowOrder idle_;    // Organisations that were served ahead of the others.
  VirtualTime now_ = 0;
  std::size_t size_ = 0;
  std::int64_t active_weight_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_FAIR_QUEUE_H_
