// Baselines without an owner: each host places its requests itself.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_DIRECT_POLICY_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_DIRECT_POLICY_H_

#include <cstdint>
#include <random>
#include <vector>

#include "benchmarks/experiment/fleet.h"
#include "benchmarks/experiment/work.h"
#include "heatherlatch/testing/event_loop.h"

namespace heatherlatch::experiment {

// Every host chooses servers by `Choice` and retries if a server sheds the
// call.
class DirectPolicy {
 public:
  enum class Choice { kRandom, kTwoChoicesOnReports, kLeastOwnOutstanding };

  DirectPolicy(EventLoop* loop, Fleet* fleet, Choice choice,
               std::uint64_t seed);

  void Start(const Work& work, const DoneCallback& done);
  void SetZoneInService(int zone, bool in_service);

 private:
  void TryServer(const Work& work, const DoneCallback& done, int attempt);
  std::size_t PickServer(int host);
  void UpdateReportedLoads();

  EventLoop* loop_;
  Fleet* fleet_;
  Choice choice_;
  std::mt19937_64 random_;
  std::vector<int> reported_in_flight_;        // In flight, by server.
  std::vector<std::vector<int>> outstanding_;  // By host and server.
  std::vector<bool> zone_in_service_;
};

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_DIRECT_POLICY_H_
