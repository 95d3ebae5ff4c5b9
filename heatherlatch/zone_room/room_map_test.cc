#include "heatherlatch/zone_room/room_map.h"

#include <catch2/catch.hpp>
#include <limits>

namespace heatherlatch {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("lookup");
const ZoneName kZone("north-a");
const TimePoint kStart(hours(1));

TEST_CASE("nothing is known of a zone without readings") {
  CHECK(RoomMap().Room(kService, kZone, kStart).trust == 0);
}

TEST_CASE("room is the mean of the readings, and slow servers have less") {
  RoomMap rooms;
  CHECK(rooms.OnReading(kService, kZone, {3, 0, 6, 1}, kStart));
  CHECK(rooms.OnReading(kService, kZone, {0, 0, 6, 4}, kStart));
  const ZoneRoom room = rooms.Room(kService, kZone, kStart);
  CHECK(room.free_share == Approx((0.5 + 0.25) / 2));
  CHECK(room.speed == Approx((1 + 0.25) / 2));
  CHECK(rooms.Room(kService, ZoneName("north-b"), kStart).trust == 0);
}

TEST_CASE("trust fades, and a new reading outweighs old ones") {
  RoomMap rooms;
  for (int i = 0; i < 20; ++i) {
    rooms.OnReading(kService, kZone, {0, 0, 6, 1}, kStart);
  }
  CHECK(rooms.Room(kService, kZone, kStart).trust > 0.9);
  const TimePoint later = kStart + seconds(5);
  CHECK(rooms.Room(kService, kZone, later).trust < 0.1);
  CHECK(rooms.Room(kService, kZone, later).age == seconds(5));
  rooms.OnReading(kService, kZone, {6, 2, 6, 1}, later);
  CHECK(rooms.Room(kService, kZone, later).free_share < 0.1);
}

TEST_CASE("refusals count as no room") {
  RoomMap rooms;
  rooms.OnReading(kService, kZone, {0, 0, 6, 1}, kStart);
  rooms.OnRefusal(kService, kZone, kStart);
  CHECK(rooms.Room(kService, kZone, kStart).free_share == Approx(0.5));
}

TEST_CASE("readings that no server can have are ignored and counted") {
  constexpr int kHuge = std::numeric_limits<int>::max();
  RoomMap rooms;
  rooms.OnReading(kService, kZone, {3, 0, 6, 1}, kStart);
  for (const LoadReading& odd :
       {LoadReading{-1, 0, 6, 1}, LoadReading{0, -5, 6, 1},
        LoadReading{0, 0, 0, 1}, LoadReading{0, 0, -6, 1},
        LoadReading{kHuge, kHuge, 6, 1}, LoadReading{0, 0, kHuge, 1},
        LoadReading{0, 0, 6, 0}, LoadReading{0, 0, 6, -2},
        LoadReading{0, 0, 6, std::numeric_limits<double>::infinity()},
        LoadReading{0, 0, 6, std::numeric_limits<double>::quiet_NaN()}}) {
    CHECK_FALSE(rooms.OnReading(kService, kZone, odd, kStart));
  }
  CHECK(rooms.implausible_readings() == 10);
  CHECK(rooms.Room(kService, kZone, kStart).free_share == Approx(0.5));
}

TEST_CASE("a server that reports many slots weighs as much as any other") {
  RoomMap rooms;
  for (int i = 0; i < 9; ++i) {
    rooms.OnReading(kService, kZone, {6, 0, 6, 1}, kStart);
  }
  rooms.OnReading(kService, kZone, {0, 0, 90'000, 0.001}, kStart);
  CHECK(rooms.Room(kService, kZone, kStart).free_share == Approx(0.1));
}

TEST_CASE("a reading from the future neither lasts longer nor gains weight") {
  RoomMap rooms;
  rooms.OnReading(kService, kZone, {0, 0, 6, 1}, kStart + milliseconds(50));
  rooms.OnReading(kService, kZone, {6, 0, 6, 1}, kStart);
  const ZoneRoom room = rooms.Room(kService, kZone, kStart);
  CHECK(room.age == Duration::zero());
  CHECK(room.trust <= Approx(2.0 / 3));
  CHECK(room.free_share == Approx(0.5));
}

}  // namespace
}  // namespace heatherlatch
