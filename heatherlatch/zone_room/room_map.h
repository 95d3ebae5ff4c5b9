// What a host knows of the room that the servers of each service have in each
// availability zone.
//
// Every load reading that the host receives anyway, with a response or a probe,
// adds to a weighted mean of its service and zone. The weight of a reading
// fades, so that a zone of which nothing was heard lately is known to be
// unknown. The size of the map is the number of services times that of zones;
// it grows neither with hosts nor with servers, and no message is sent for it.
//
// A reading counts for the share of its server's slots, never for a number of
// them, so that a server that reports a huge number of slots has no more weight
// than any other. Readings that no server can have are ignored and counted.
//
// Example:
//   rooms.OnReading(service, zone, reading, now);
//   const ZoneRoom room = rooms.Room(service, zone, now);
//   if (room.trust > 0.5 && room.free_share > 0.2) ...
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ZONE_ROOM_ROOM_MAP_H_
#define HEATHERLATCH_ZONE_ROOM_ROOM_MAP_H_

#include <cstdint>
#include <map>
#include <utility>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/fleet/load_reading.h"

namespace heatherlatch {

// Time in which the weight of a reading falls to a half: that for which the
// users' servers are slow at a time.
inline constexpr Duration kRoomHalfLife = std::chrono::milliseconds(500);

// The room of one service in one zone.
struct ZoneRoom {
  // Mean over the servers of the share of free slots, each divided by the
  // server's slowdown. 0 to 1.
  double free_share = 0;
  // Mean of the servers' speed relative to their usual one. 0 to 1.
  double speed = 1;
  // How far the two means can be relied on: 0, nothing is known, to 1. A single
  // fresh reading gives 0.5.
  double trust = 0;
  Duration age = Duration::max();  // Since the last reading; max: none.
};

class RoomMap {
 public:
  // Adds the reading of a server.
  // @return whether it was plausible; otherwise it is ignored
  bool OnReading(const ServiceName& service, const ZoneName& zone,
                 const LoadReading& reading, TimePoint now);

  // Records that a server had no room for a request, or did not respond.
  void OnRefusal(const ServiceName& service, const ZoneName& zone,
                 TimePoint now);

  // @return what is known now; a time before the last reading counts as that of
  //     the reading
  ZoneRoom Room(const ServiceName& service, const ZoneName& zone,
                TimePoint now) const;

  // @return readings that were ignored since the start
  std::uint64_t implausible_readings() const { return implausible_readings_; }

 private:
  struct Means {
    double weight = 0;  // Of all readings, at `updated_at`.
    double free_share = 0;
    double speed = 1;
    TimePoint updated_at;
  };

  void Add(const ServiceName& service, const ZoneName& zone, double free_share,
           double speed, TimePoint now);

  std::map<std::pair<ServiceName, ZoneName>, Means> means_;
  std::uint64_t implausible_readings_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ZONE_ROOM_ROOM_MAP_H_
