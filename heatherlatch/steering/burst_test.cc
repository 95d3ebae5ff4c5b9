// Simulates bursts and slowed servers of a region in virtual time.
//
// Guards against requests that miss their latency target in a server's queue:
// while servers are slow or a burst fills their slots, a request that is sent
// at once cannot move to a server that becomes free earlier.
#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <queue>

#include "heatherlatch/steering/placement_decision.h"
#include "heatherlatch/testing/event_loop.h"
#include "heatherlatch/testing/random_load.h"

namespace heatherlatch {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kFirstSeed = 20261204;
constexpr std::uint64_t kSeeds = 5;
const TimePoint kStart = EventLoop().Now();

// A region with the servers of one service, as specified for the users' kiosks.
constexpr int kServers = 7;
constexpr int kSlots = 2;
constexpr int kServerQueue = 4;
constexpr double kMeanServiceMs = 220;
constexpr double kServiceTimeSpread = 0.3;
constexpr milliseconds kLatencyTarget{600};
constexpr milliseconds kTimeBudget{5000};
constexpr double kSlowServerShare = 0.33;
constexpr double kSlowdownFactor = 7;
constexpr milliseconds kSlowdownInterval{500};
constexpr milliseconds kDuration{30'000};

struct Outcomes {
  int requests = 0;
  int in_target = 0;
  int served = 0;
  int refused = 0;
  double ShareInTarget() const {
    return in_target / static_cast<double>(requests);
  }
  double ShareServed() const { return served / static_cast<double>(requests); }
};

struct Load {
  double per_second = 20;
  double burst_factor = 1;  // In the middle third of the run.
};

using Policy = PlacementDecision (*)(const std::optional<Choice>&,
                                     const PlacementState&);

PlacementDecision SendAtOnce(const std::optional<Choice>& choice,
                             const PlacementState&) {
  if (!choice) return Refuse{NotRunReason::kNoServer, kRetryAfter};
  return SendNow{};
}

class SimulatedRegion {
 public:
  SimulatedRegion(Policy policy, std::uint64_t seed)
      : policy_(policy), rng_(seed) {}

  Outcomes Simulate(const Load& load) {
    ScheduleArrival(kStart, load);
    ScheduleSlowdowns(kStart);
    loop_.RunUntil(kStart + kDuration + kTimeBudget);
    return outcomes_;
  }

 private:
  struct Server {
    int running = 0;
    std::queue<TimePoint> waiting;  // Arrival times of the requests.
    double slowdown = 1;
  };

  void ScheduleArrival(TimePoint at, const Load& load) {
    if (at >= kStart + kDuration) return;
    loop_.At(at, [this, load] {
      ++outcomes_.requests;
      Place(loop_.Now());
      const Duration since = loop_.Now() - kStart;
      const bool burst = since > kDuration / 3 && since < kDuration * 2 / 3;
      const double rate = load.per_second * (burst ? load.burst_factor : 1);
      ScheduleArrival(loop_.Now() + DrawInterarrivalTime(rate, &rng_), load);
    });
  }

  void ScheduleSlowdowns(TimePoint at) {
    if (at >= kStart + kDuration) return;
    loop_.At(at, [this] {
      for (Server& server : servers_) {
        const bool slow = std::bernoulli_distribution(kSlowServerShare)(rng_);
        server.slowdown = slow ? kSlowdownFactor : 1;
      }
      ScheduleSlowdowns(loop_.Now() + kSlowdownInterval);
    });
  }

  void Place(TimePoint arrival) {
    std::vector<Candidate> candidates;
    for (const Server& server : servers_) {
      Candidate candidate;
      candidate.distance = Distance::kSameRegion;
      candidate.reading =
          LoadReading{server.running, static_cast<int>(server.waiting.size()),
                      kSlots, server.slowdown};
      candidates.push_back(candidate);
    }
    const ExpectedWork work{milliseconds(220), 400, kLatencyTarget, 1};
    const auto choice = ChooseServer(candidates, work);
    const PlacementState state{loop_.Now() - arrival, kLatencyTarget,
                               kTimeBudget - (loop_.Now() - arrival),
                               milliseconds(220)};
    const PlacementDecision decision = policy_(choice, state);
    if (const auto* again = std::get_if<ProbeAgain>(&decision)) {
      loop_.After(again->after, [this, arrival] { Place(arrival); });
    } else if (std::holds_alternative<SendNow>(decision)) {
      Arrive(&servers_[choice->index], arrival);
    } else {
      ++outcomes_.refused;
    }
  }

  void Arrive(Server* server, TimePoint arrival) {
    if (server->running < kSlots) {
      Run(server, arrival);
    } else if (static_cast<int>(server->waiting.size()) < kServerQueue) {
      server->waiting.push(arrival);
    } else {
      ++outcomes_.refused;
    }
  }

  void Run(Server* server, TimePoint arrival) {
    ++server->running;
    const Duration time =
        Scale(DrawServiceTime(kMeanServiceMs, kServiceTimeSpread, &rng_),
              server->slowdown);
    loop_.After(time, [this, server, arrival] { End(server, arrival); });
  }

  void End(Server* server, TimePoint arrival) {
    --server->running;
    const Duration total = loop_.Now() - arrival + milliseconds(16);
    if (total <= kLatencyTarget) ++outcomes_.in_target;
    if (total <= kTimeBudget) ++outcomes_.served;
    if (server->waiting.empty()) return;
    const TimePoint next = server->waiting.front();
    server->waiting.pop();
    Run(server, next);
  }

  Policy policy_;
  std::mt19937_64 rng_;
  std::vector<Server> servers_{kServers};
  EventLoop loop_;
  Outcomes outcomes_;
};

void Print(const char* name, const Outcomes& outcomes) {
  std::cout << name << ": requests " << outcomes.requests << ", in target "
            << outcomes.ShareInTarget() << ", served " << outcomes.ShareServed()
            << "\n";
}

// Value of a late response, relative to one within the target, as the users'
// deployments specify it.
constexpr double kLateResponseValue = 0.1;

double CallerValue(const Outcomes& outcomes) {
  return outcomes.ShareInTarget() +
         kLateResponseValue *
             (outcomes.ShareServed() - outcomes.ShareInTarget());
}

Outcomes SimulateSeeds(Policy policy, const Load& load) {
  Outcomes total;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    const Outcomes one = SimulatedRegion(policy, seed).Simulate(load);
    total.requests += one.requests;
    total.in_target += one.in_target;
    total.served += one.served;
    total.refused += one.refused;
  }
  return total;
}

// The bounds are the minimums that the users specify for a calm day.
TEST_CASE(
    "a region with slowed servers and no burst serves within the target") {
  std::cout << "seeds from " << kFirstSeed << "\n";
  const Outcomes calm = SimulateSeeds(&DecidePlacement, {20, 1});
  Print("calm", calm);
  CHECK(calm.ShareInTarget() >= 0.95);
  CHECK(calm.ShareServed() >= 0.99);
}

// The wait policy must serve callers better than sending at once does.
TEST_CASE("in a burst waiting at the host serves more callers in time") {
  for (const double factor : {2.0, 3.0}) {
    const Load burst{25, factor};
    const Outcomes waits = SimulateSeeds(&DecidePlacement, burst);
    const Outcomes sends = SimulateSeeds(&SendAtOnce, burst);
    Print("waits at the host", waits);
    Print("sends at once", sends);
    CHECK(waits.ShareInTarget() > sends.ShareInTarget());
    CHECK(CallerValue(waits) > CallerValue(sends));
  }
}

}  // namespace
}  // namespace heatherlatch
