#include "heatherlatch/steering/steering.h"

#include <algorithm>
#include <tuple>
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

// The time to wait for a slot and run the request, relative to the service time
// on an idle server at its usual speed.
double ServiceTimeFactor(const Candidate& candidate, const ExpectedWork& work) {
  const double slots = Slots(candidate);
  const double outstanding = Outstanding(candidate);
  double factor =
      candidate.reading ? candidate.reading->slowdown : kUnknownServerSlowdown;
  if (candidate.cold) factor *= kColdStartSlowdown;
  if (OccupancyAfterSend(candidate) != Occupancy::kAvailable) {
    factor *= work.nearly_full_factor;
  }
  const double service_times_to_wait =
      std::max(0.0, outstanding + 1 - slots) / slots;
  return factor * (1 + service_times_to_wait);
}

double CrossingPrice(Distance distance, const CrossingPrices& prices) {
  switch (distance) {
    case Distance::kSameZone:
      return 0;
    case Distance::kSameRegion:
      return prices.between_zones;
    case Distance::kOtherRegion:
      return prices.between_regions;
  }
  return prices.between_regions;
}

Duration CrossZoneCost(Distance distance, const ExpectedWork& work) {
  return Scale(work.latency_target,
               CrossingPrice(distance, work.crossing) * work.response_bytes);
}

// The cost of a candidate if it is idle and runs at its usual speed.
Duration LowestCost(const Candidate& candidate, const ExpectedWork& work) {
  return RoundTrip(candidate.distance) + work.service_time +
         CrossZoneCost(candidate.distance, work);
}

auto LocalityRank(const Candidate& candidate) {
  return std::make_tuple(IsInOtherRegion(candidate), candidate.failed_recently,
                         candidate.distance);
}

void SortByLocality(std::vector<Candidate>::iterator begin,
                    std::vector<Candidate>::iterator end) {
  std::stable_sort(begin, end, [](const Candidate& a, const Candidate& b) {
    return LocalityRank(a) < LocalityRank(b);
  });
}

bool IsPreferredForProbe(const Candidate& a, const Candidate& b) {
  return std::make_pair(LocalityRank(a), !a.connected) <
         std::make_pair(LocalityRank(b), !b.connected);
}

bool IsColdAndBusy(const Candidate& candidate) {
  return candidate.cold && (!candidate.reading || Outstanding(candidate) > 0);
}

}  // namespace

std::string_view ToString(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return "zone";
    case Distance::kSameRegion:
      return "region";
    case Distance::kOtherRegion:
      return "other-region";
  }
  return "other-region";
}

bool IsInOtherRegion(const Candidate& candidate) {
  return candidate.distance == Distance::kOtherRegion;
}

bool IsIdle(const Candidate& candidate) {
  return candidate.reading && Outstanding(candidate) == 0;
}

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

Occupancy OccupancyAfterSend(const Candidate& candidate) {
  const int slots_needed = Outstanding(candidate) + 1;
  const int slots = Slots(candidate);
  if (slots_needed > slots) return Occupancy::kQueued;
  return slots_needed > kNearlyFullShare * slots ? Occupancy::kNearlyFull
                                                 : Occupancy::kAvailable;
}

Duration ExpectedTime(const Candidate& candidate, const ExpectedWork& work) {
  return RoundTrip(candidate.distance) +
         Scale(work.service_time, ServiceTimeFactor(candidate, work));
}

Duration ExpectedCost(const Candidate& candidate, const ExpectedWork& work) {
  return ExpectedTime(candidate, work) +
         CrossZoneCost(candidate.distance, work);
}

std::vector<Candidate> DrawCandidates(std::vector<Candidate> all,
                                      std::size_t count, std::mt19937_64* rng) {
  std::shuffle(all.begin(), all.end(), *rng);
  SortByLocality(all.begin(), all.end());
  if (all.empty()) return all;
  const bool in_region = !IsInOtherRegion(all.front());
  if (in_region) {
    all.erase(std::find_if(all.begin(), all.end(), IsInOtherRegion), all.end());
  }
  if (all.size() <= count) return all;
  const auto preferred_end =
      all.begin() + static_cast<std::ptrdiff_t>(
                        count - (in_region ? kCandidatesDrawnAtRandom : 0));
  std::stable_sort(all.begin(), all.end(), IsPreferredForProbe);
  std::shuffle(preferred_end, all.end(), *rng);
  SortByLocality(preferred_end, all.end());
  all.resize(count);
  return all;
}

std::optional<Choice> ChooseServer(const std::vector<Candidate>& candidates,
                                   const ExpectedWork& work) {
  std::optional<Choice> best;
  std::pair<bool, Duration> best_rank;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[i];
    if (candidate.not_listening || IsColdAndBusy(candidate)) continue;
    const bool ranks_last = candidate.failed_recently || !candidate.reading;
    const std::pair<bool, Duration> rank(ranks_last,
                                         ExpectedCost(candidate, work));
    if (best && best_rank <= rank) continue;
    best_rank = rank;
    best = Choice{i, ExpectedTime(candidate, work),
                  OccupancyAfterSend(candidate), candidate.reading.has_value()};
  }
  return best;
}

bool IsSettled(const std::vector<Candidate>& candidates,
               const ExpectedWork& work) {
  const std::optional<Choice> choice = ChooseServer(candidates, work);
  if (!choice || choice->occupancy != Occupancy::kAvailable) return false;
  const Candidate& best = candidates[choice->index];
  if (!best.reading || best.failed_recently) return false;
  const Duration cost_to_beat =
      ExpectedCost(best, work) - kMinSavingFromWaiting;
  return std::all_of(candidates.begin(), candidates.end(),
                     [&](const Candidate& candidate) {
                       return !candidate.probe_pending ||
                              cost_to_beat <= LowestCost(candidate, work);
                     });
}

}  // namespace heatherlatch
