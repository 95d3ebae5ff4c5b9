#include "heatherlatch/zone_room/room_map.h"

#include <algorithm>
#include <cmath>

namespace heatherlatch {
namespace {

// Readings beyond these are errors: no server of the users' sheets has more
// than a few dozen slots, or is slowed by more than a factor of ten.
constexpr int kMaxPlausibleRequests = 100'000;
constexpr double kMaxPlausibleSlowdown = 1000;

// Readings that count at most, so that many old ones do not outweigh a change.
constexpr double kMaxWeight = 10;

bool IsPlausible(const LoadReading& reading) {
  const auto is_count = [](int number) {
    return number >= 0 && number <= kMaxPlausibleRequests;
  };
  return is_count(reading.running) && is_count(reading.waiting) &&
         reading.slots > 0 && is_count(reading.slots) &&
         std::isfinite(reading.slowdown) && reading.slowdown > 0 &&
         reading.slowdown <= kMaxPlausibleSlowdown;
}

double Fading(Duration elapsed) {
  return std::exp2(-ToMilliseconds(std::max(elapsed, Duration::zero())) /
                   ToMilliseconds(kRoomHalfLife));
}

}  // namespace

bool RoomMap::OnReading(const ServiceName& service, const ZoneName& zone,
                        const LoadReading& reading, TimePoint now) {
  if (!IsPlausible(reading)) {
    ++implausible_readings_;
    return false;
  }
  const double slots = reading.slots;
  const double free =
      std::max(0.0, slots - reading.running - reading.waiting) / slots;
  const double speed = 1 / std::max(1.0, reading.slowdown);
  Add(service, zone, free * speed, speed, now);
  return true;
}

void RoomMap::OnRefusal(const ServiceName& service, const ZoneName& zone,
                        TimePoint now) {
  Add(service, zone, 0, Room(service, zone, now).speed, now);
}

ZoneRoom RoomMap::Room(const ServiceName& service, const ZoneName& zone,
                       TimePoint now) const {
  const auto found = means_.find({service, zone});
  if (found == means_.end()) return {};
  const Means& means = found->second;
  const Duration age = std::max(now - means.updated_at, Duration::zero());
  const double weight = means.weight * Fading(age);
  return {means.free_share, means.speed, weight / (weight + 1), age};
}

void RoomMap::Add(const ServiceName& service, const ZoneName& zone,
                  double free_share, double speed, TimePoint now) {
  Means& means = means_[{service, zone}];
  const double old_weight = means.weight * Fading(now - means.updated_at);
  means.weight = std::min(old_weight + 1, kMaxWeight);
  means.free_share += (free_share - means.free_share) / means.weight;
  means.speed += (speed - means.speed) / means.weight;
  means.updated_at = std::max(means.updated_at, now);
}

}  // namespace heatherlatch
