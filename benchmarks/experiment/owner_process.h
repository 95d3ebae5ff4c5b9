// An owner of a server group, in virtual time.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_OWNER_PROCESS_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_OWNER_PROCESS_H_

#include <functional>
#include <map>
#include <vector>

#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/testing/event_loop.h"

namespace heatherlatch::experiment {

// Runs a GroupScheduler in virtual time, as an owner process would.
class OwnerProcess {
 public:
  using DecisionCallback = std::function<void(const SlotDecision&)>;

  OwnerProcess(EventLoop* loop, const GroupOptions& options,
               const std::vector<GroupServer>& servers);

  void SetServers(const std::vector<GroupServer>& servers);
  void Acquire(SlotRequest request, const DecisionCallback& on_decision);
  void Release(GrantId grant, const CallReport& report);
  GroupLoad Load() const { return scheduler_.Load(); }

 private:
  void Deliver(const std::vector<SlotDecision>& decisions);
  void SetTimer();

  EventLoop* loop_;
  GroupScheduler scheduler_;
  WaiterId next_waiter_ = 1;
  std::map<WaiterId, DecisionCallback> waiting_;
  TimePoint timer_at_ = TimePoint::max();
};

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_OWNER_PROCESS_H_
