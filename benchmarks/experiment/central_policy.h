// Ideal baseline, with a global view that no real system has.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_CENTRAL_POLICY_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_CENTRAL_POLICY_H_

#include <deque>
#include <map>
#include <vector>

#include "benchmarks/experiment/fleet.h"
#include "benchmarks/experiment/work.h"
#include "heatherlatch/testing/event_loop.h"

namespace heatherlatch::experiment {

// One queue that has the state of every server without delay, and reaches every
// server with the delay within a zone.
class CentralPolicy {
 public:
  CentralPolicy(EventLoop* loop, Fleet* fleet);

  void Start(const Work& work, const DoneCallback& done);
  void SetZoneInService(int zone, bool in_service);

 private:
  struct WaitingWork {
    Work work;
    DoneCallback done;
  };
  void Dispatch();
  FakeServer* PickFreeServer();

  EventLoop* loop_;
  Fleet* fleet_;
  std::map<FakeServer*, int> granted_;
  std::deque<WaitingWork> waiting_;
  std::vector<bool> zone_in_service_;
};

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_CENTRAL_POLICY_H_
