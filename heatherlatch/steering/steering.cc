#include "heatherlatch/steering/steering.h"

#include <algorithm>
#include <utility>

namespace heatherlatch {
namespace {

int Outstanding(const Candidate& candidate) {
  const int reported = candidate.reading ? candidate.reading->running +
                                               candidate.reading->waiting
                                         : 0;
  return reported + candidate.sent_since_reading;
}

int Slots(const Candidate& candidate) {
  return candidate.reading ? candidate.reading->slots : candidate.server.slots;
}

// The factor by which work and the wait for a slot are longer than on an idle
// server at its usual speed.
double Stretch(const Candidate& candidate, const ExpectedWork& work) {
  const double slots = Slots(candidate);
  const double ahead = Outstanding(candidate);
  double stretch =
      candidate.reading ? candidate.reading->slowness : kUnknownSlowness;
  if (candidate.cold) stretch *= kColdFactor;
  if (OccupancyWith(candidate) != Occupancy::kRoomy) {
    stretch *= work.nearly_full_factor;
  }
  const double rounds_to_wait = std::max(0.0, ahead + 1 - slots) / slots;
  return stretch * (1 + rounds_to_wait);
}

double CrossingFactor(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return 0;
    case Distance::kSameRegion:
      return 1;
    case Distance::kOtherRegion:
      return kRegionCrossingFactor;
  }
  return kRegionCrossingFactor;
}

bool IsColdAndBusy(const Candidate& candidate) {
  return candidate.cold && (!candidate.reading || Outstanding(candidate) > 0);
}

}  // namespace

Duration RoundTrip(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return kRoundTripInZone;
    case Distance::kSameRegion:
      return kRoundTripInRegion;
    case Distance::kOtherRegion:
      return kRoundTripBetweenRegions;
  }
  return kRoundTripBetweenRegions;
}

Occupancy OccupancyWith(const Candidate& candidate) {
  const int taken = Outstanding(candidate) + 1;
  const int slots = Slots(candidate);
  if (taken > slots) return Occupancy::kWaiting;
  return taken > kNearlyFullShare * slots ? Occupancy::kNearlyFull
                                          : Occupancy::kRoomy;
}

Duration ExpectedTime(const Candidate& candidate, const ExpectedWork& work) {
  return RoundTrip(candidate.distance) +
         Scale(work.service_time, Stretch(candidate, work));
}

Duration ExpectedCost(const Candidate& candidate, const ExpectedWork& work) {
  const double crossing = CrossingFactor(candidate.distance) *
                          work.answer_bytes / kBytesWorthTheTarget;
  return ExpectedTime(candidate, work) + Scale(work.latency_target, crossing);
}

std::vector<Candidate> DrawCandidates(std::vector<Candidate> all,
                                      std::size_t count, std::mt19937_64* rng) {
  std::shuffle(all.begin(), all.end(), *rng);
  std::stable_sort(all.begin(), all.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return std::make_pair(a.distance, a.failed_lately) <
                            std::make_pair(b.distance, b.failed_lately);
                   });
  if (all.empty()) return all;
  const bool in_region = all.front().distance != Distance::kOtherRegion;
  std::vector<Candidate> drawn;
  for (Candidate& candidate : all) {
    if (drawn.size() == count) break;
    if (in_region && candidate.distance == Distance::kOtherRegion) break;
    drawn.push_back(std::move(candidate));
  }
  return drawn;
}

std::optional<Choice> ChooseServer(const std::vector<Candidate>& candidates,
                                   const ExpectedWork& work) {
  std::optional<Choice> best;
  std::pair<bool, Duration> best_rank;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (IsColdAndBusy(candidate)) continue;
    const std::pair<bool, Duration> rank(candidate.failed_lately,
                                         ExpectedCost(candidate, work));
    if (best && best_rank <= rank) continue;
    best_rank = rank;
    best = Choice{i, ExpectedTime(candidate, work), OccupancyWith(candidate)};
  }
  return best;
}

}  // namespace heatherlatch
