#include "heatherlatch/traffic/overflow_control.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {
namespace {

// Change of a share that is logged.
constexpr double kLoggedChange = 0.1;

// Adds the servers of a zone to those of a place.
void AddZone(const ZoneRoom& room, int slots, OverflowPlace* place) {
  const int sum = place->slots + slots;
  if (sum == 0) return;
  const double part = static_cast<double>(slots) / sum;
  place->free_share += part * (room.free_share - place->free_share);
  place->speed += part * (room.speed - place->speed);
  place->trust += part * (room.trust - place->trust);
  place->slots = sum;
}

SearchScope ScopeOf(OverflowScope scope) {
  switch (scope) {
    case OverflowScope::kHome:
      return SearchScope::kNearest;
    case OverflowScope::kRegion:
      return SearchScope::kRegion;
    case OverflowScope::kOtherRegions:
      return SearchScope::kEverywhere;
  }
  return SearchScope::kNearest;
}

}  // namespace

SearchScope OverflowControl::Draw(const OverflowSubject& subject,
                                  TimePoint now) {
  const auto& prices = context_->settings.zone_overflow;
  if (!prices) {
    entries_.clear();
    return SearchScope::kNearest;
  }
  const Key key(subject.service, subject.route.name);
  Entry& entry = entries_.try_emplace(key).first->second;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (entry.overflow.IsDue(now)) {
    const OverflowInput input = Gather(subject, now);
    const OverflowReason reason =
        entry.overflow.Update(input, *prices, uniform(context_->rng), now);
    context_->metrics.Count("zone_overflow_decisions", ToString(reason));
    Log(key, input, reason, &entry);
  }
  return ScopeOf(entry.overflow.Draw(uniform(context_->rng)));
}

OverflowInput OverflowControl::Gather(const OverflowSubject& subject,
                                      TimePoint now) const {
  std::map<ZoneName, int> slots;
  for (const ServerEntry* server :
       context_->directory.Usable(subject.service, now)) {
    const ZoneName& zone = server->record.zone;
    const bool cold = now < server->cold_until ||
                      context_->observations.IsCold(server->record.name, now);
    if (cold || !context_->IsInHomeRegion(subject.route, nullptr, zone)) {
      continue;
    }
    slots[zone] += std::max(0, server->record.slots);
  }
  OverflowInput input;
  input.home.round_trip = kRoundTripInZone;
  input.region.round_trip = kRoundTripInRegion;
  input.other_regions.round_trip = kRoundTripBetweenRegions;
  for (const auto& [zone, count] : slots) {
    const Distance distance = context_->DistanceTo(zone);
    OverflowPlace* place = distance == Distance::kSameZone ? &input.home
                           : distance == Distance::kSameRegion
                               ? &input.region
                               : &input.other_regions;
    AddZone(context_->rooms.Room(subject.service, zone, now), count, place);
  }
  input.demand = {
      subject.work.service_time, subject.work.latency_target - kCallerRoundTrip,
      subject.wait_at_home,
      subject.work.response_bytes + static_cast<double>(subject.request_bytes)};
  return input;
}

OverflowShares OverflowControl::HighestShares() const {
  OverflowShares highest;
  for (const auto& [key, entry] : entries_) {
    const OverflowShares& shares = entry.overflow.shares();
    highest.region = std::max(highest.region, shares.region);
    highest.other_regions =
        std::max(highest.other_regions, shares.other_regions);
  }
  return highest;
}

void OverflowControl::Log(const Key& key, const OverflowInput& input,
                          OverflowReason reason, Entry* entry) {
  const OverflowShares& shares = entry->overflow.shares();
  const auto changed = [](double from, double to) {
    return std::abs(from - to) >= kLoggedChange || (from > 0 && to <= 0);
  };
  if (!changed(entry->logged.region, shares.region) &&
      !changed(entry->logged.other_regions, shares.other_regions)) {
    return;
  }
  entry->logged = shares;
  context_->log.Write(
      "leaves-zone", {{"service", key.first.str()},
                      {"route", key.second.str()},
                      {"reason", ToString(reason)},
                      {"region_share", shares.region},
                      {"other_regions_share", shares.other_regions},
                      {"free_at_home", input.home.free_share},
                      {"free_in_region", input.region.free_share},
                      {"free_in_other_regions", input.other_regions.free_share},
                      {"wait_ms", ToMilliseconds(input.demand.wait_at_home)},
                      {"bytes", input.demand.bytes}});
}

}  // namespace heatherlatch
