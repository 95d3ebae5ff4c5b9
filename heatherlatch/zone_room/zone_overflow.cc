#include "heatherlatch/zone_room/zone_overflow.h"

#include <algorithm>
#include <cmath>

namespace heatherlatch {
namespace {

// Servers take between these multiples of the mean time. The spread is that
// of the service times of the users' requests on nearly full servers.
constexpr double kLeastFactor = 0.4;
constexpr double kMostFactor = 1.6;

// Parts of the way to the share that pays which an update takes, on average.
constexpr double kRise = 0.25;
constexpr double kFall = 0.5;
// The step is that part times a random factor between 1/2 and 3/2.
constexpr double kLeastStep = 0.5;
// A host with few requests decides less often. The step stands for no more
// intervals than these.
constexpr double kMostIntervals = 10;
// Smaller shares are not worth a crossing.
constexpr double kLeastShare = 0.005;

// The share that explores a place of which too little is known. It costs
// probes; a request is sent only if their replies show room.
constexpr double kExploringShare = 0.25;
// Below this trust, room is unknown.
constexpr double kTrustToUse = 0.4;

// Users' servers are slowed by a factor of seven at most, but for errors.
constexpr double kLeastSpeed = 0.1;

// A request that goes elsewhere needs a probe first, and both cross.
constexpr int kRoundTripsElsewhere = 2;

struct Offer {
  double share = 0;
  OverflowReason reason = OverflowReason::kNoRoomElsewhere;
};

double UsableSlots(const OverflowPlace& place) {
  return place.slots * std::max(0.0, place.free_share - kOverflowReserve);
}

// @return the expected time at a server of the place, as far as its speed is
//     known
Duration ServiceTime(const OverflowPlace& place, const OverflowDemand& demand) {
  if (place.trust < kTrustToUse) return demand.service_time;
  return Scale(demand.service_time, 1 / std::max(kLeastSpeed, place.speed));
}

// @return the share with which as much of the slots elsewhere is taken as of
//     those at home
double MostShare(double usable_slots, const OverflowPlace& home) {
  return usable_slots / (usable_slots + std::max(1.0, home.slots * home.speed));
}

// @param miss_at_home  probability that a request that stays misses its target
// @param shortage      1: no room at home, 0: enough
Offer OfferOf(const OverflowPlace& place, const OverflowInput& input,
              double miss_at_home, double shortage, double price_of_crossing,
              double missed_target) {
  if (place.slots <= 0) return {};
  const double miss_elsewhere = MissProbability(
      kRoundTripsElsewhere * place.round_trip, ServiceTime(place, input.demand),
      input.demand.latency_target);
  const double gain = (miss_at_home - miss_elsewhere) * missed_target;
  if (gain <= price_of_crossing) return {0, OverflowReason::kDoesNotPay};
  const double worth = 1 - price_of_crossing / gain;
  if (place.trust < kTrustToUse) {
    return {kExploringShare * shortage * worth, OverflowReason::kExplores};
  }
  const double most = MostShare(UsableSlots(place), input.home);
  if (most <= 0) return {};
  return {most * shortage * worth, OverflowReason::kLeaves};
}

// @param intervals  since the last step
double Step(double from, double to, double sample, double intervals) {
  const double part = (to > from ? kRise : kFall) * (kLeastStep + sample);
  const double next = to + std::pow(1 - part, intervals) * (from - to);
  return to <= 0 && next < kLeastShare ? 0 : next;
}

}  // namespace

std::string_view ToString(OverflowReason reason) {
  switch (reason) {
    case OverflowReason::kRoomAtHome:
      return "room-at-home";
    case OverflowReason::kNoServersAtHome:
      return "no-servers-at-home";
    case OverflowReason::kNoRoomElsewhere:
      return "no-room-elsewhere";
    case OverflowReason::kDoesNotPay:
      return "does-not-pay";
    case OverflowReason::kExplores:
      return "explores";
    case OverflowReason::kLeaves:
      return "leaves";
  }
  return "room-at-home";
}

double MissProbability(Duration delay, Duration service_time, Duration target) {
  const double mean = ToMilliseconds(service_time);
  const double limit = ToMilliseconds(target - delay);
  if (mean <= 0) return limit > 0 ? 0 : 1;
  return std::clamp(
      (kMostFactor * mean - limit) / ((kMostFactor - kLeastFactor) * mean), 0.0,
      1.0);
}

OverflowTarget DecideOverflow(const OverflowInput& input,
                              const OverflowPrices& prices) {
  const OverflowPlace& home = input.home;
  if (home.slots <= 0) return {{}, OverflowReason::kNoServersAtHome};
  // Without fresh readings the zone counts as free.
  const double known = std::min(1.0, std::max(0.0, home.trust) / kTrustToUse);
  const double free_at_home =
      1 - known * (1 - std::clamp(home.free_share, 0.0, 1.0));
  const double shortage = std::max(0.0, 1 - free_at_home / kOverflowReserve);
  if (shortage <= 0) return {{}, OverflowReason::kRoomAtHome};
  const OverflowDemand& demand = input.demand;
  const double miss_at_home =
      MissProbability(demand.wait_at_home + home.round_trip,
                      ServiceTime(home, demand), demand.latency_target);
  const Offer region =
      OfferOf(input.region, input, miss_at_home, shortage,
              demand.bytes * prices.byte_between_zones, prices.missed_target);
  Offer other =
      OfferOf(input.other_regions, input, miss_at_home, shortage,
              demand.bytes * prices.byte_between_regions, prices.missed_target);
  // The nearer zones take what they can first.
  const double both = MostShare(
      UsableSlots(input.region) + UsableSlots(input.other_regions), home);
  if (other.reason == OverflowReason::kLeaves) {
    other.share = std::clamp(both - region.share, 0.0, other.share);
  }
  OverflowTarget target{{region.share, other.share}, region.reason};
  if (other.share > region.share) target.reason = other.reason;
  return target;
}

bool ZoneOverflow::IsDue(TimePoint now) const {
  return !updated_at_ || now - *updated_at_ >= kOverflowInterval;
}

OverflowReason ZoneOverflow::Update(const OverflowInput& input,
                                    const OverflowPrices& prices, double sample,
                                    TimePoint now) {
  const double intervals = updated_at_ ? ToMilliseconds(now - *updated_at_) /
                                             ToMilliseconds(kOverflowInterval)
                                       : 1;
  const double steps = std::clamp(intervals, 0.0, kMostIntervals);
  updated_at_ = now;
  const double fading =
      std::exp2(-intervals * ToMilliseconds(kOverflowInterval) /
                ToMilliseconds(kWaitHalfLife));
  OverflowInput with_wait = input;
  Duration& wait = with_wait.demand.wait_at_home;
  wait = std::max(wait, Scale(wait_at_home_, std::min(fading, 1.0)));
  wait_at_home_ = wait;
  const OverflowTarget target = DecideOverflow(with_wait, prices);
  shares_.region = Step(shares_.region, target.shares.region, sample, steps);
  shares_.other_regions =
      Step(shares_.other_regions, target.shares.other_regions, sample, steps);
  return target.reason;
}

OverflowScope ZoneOverflow::Draw(double sample) const {
  if (sample < shares_.region) return OverflowScope::kRegion;
  return sample < shares_.region + shares_.other_regions
             ? OverflowScope::kOtherRegions
             : OverflowScope::kHome;
}

}  // namespace heatherlatch
