// Decides which share of a host's requests leaves its availability zone, and
// how far they go.
//
// Handles a zone whose servers are too few, slow or lost while others have
// room. A share of the requests is sent elsewhere if callers gain by it: the
// chance that a response meets its latency target rises by more than the bytes
// that cross are worth, at the prices of the settings. The share is at most
// what fills the free slots there and the slots at home alike, less a reserve
// that the callers there keep.
//
// Hundreds of hosts may decide on the same readings. Each moves its share by a
// part of the way and by a random step, so that they neither leave nor return
// together. The share falls faster than it rises: within a second of the
// recovery of the zone it is negligible.
//
// Example:
//   ZoneOverflow overflow;
//   overflow.Update({home, region, other_regions, demand}, prices, sample,
//   now); if (overflow.Draw(sample) == OverflowScope::kRegion) ...
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_ZONE_ROOM_ZONE_OVERFLOW_H_
#define HEATHERLATCH_ZONE_ROOM_ZONE_OVERFLOW_H_

#include <optional>
#include <string_view>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// Prices, all in the same currency.
struct OverflowPrices {
  double byte_between_zones = 0;
  double byte_between_regions = 0;
  double missed_target = 0;  // Of a response later than its latency target.
};

// The servers of one service at one distance, as far as the host knows.
struct OverflowPlace {
  int slots = 0;          // Of all usable servers, by the platform's list.
  double free_share = 0;  // As in ZoneRoom.
  double speed = 1;       // As in ZoneRoom.
  double trust = 0;       // As in ZoneRoom.
  Duration round_trip{};  // Between host and server.
};

// The requests of one route.
struct OverflowDemand {
  Duration service_time{};    // On an idle server at its usual speed.
  Duration latency_target{};  // Less the round trip between caller and host.
  Duration wait_at_home{};    // Expected until a server at home has room.
  double bytes = 0;           // Of a request and its response.
};

struct OverflowInput {
  OverflowPlace home;    // The host's zone.
  OverflowPlace region;  // Other zones of its region.
  OverflowPlace other_regions;
  OverflowDemand demand;
};

// Where the servers for a request are searched first.
enum class OverflowScope { kHome, kRegion, kOtherRegions };

// Why a share is what it is.
enum class OverflowReason {
  kRoomAtHome,       // The zone has room, or meets the latency targets.
  kNoServersAtHome,  // The nearest servers are used in any case.
  kNoRoomElsewhere,
  kDoesNotPay,  // Bytes or delay are worth more than the gain.
  kExplores,    // Too little is known of the room elsewhere.
  kLeaves,
};

// @return the name of the reason in logs and metrics
std::string_view ToString(OverflowReason reason);

// Shares of the requests that go elsewhere; the rest stays at home.
struct OverflowShares {
  double region = 0;
  double other_regions = 0;
};

struct OverflowTarget {
  OverflowShares shares;
  OverflowReason reason = OverflowReason::kRoomAtHome;
};

// How often a host changes its shares.
inline constexpr Duration kOverflowInterval = std::chrono::milliseconds(100);

// Time in which the longest wait at home falls to a half. The queue of a host
// is empty at times while its zone is short of servers.
inline constexpr Duration kWaitHalfLife = std::chrono::milliseconds(500);

// Part of the slots of a zone that is left to its own callers. Servers slow
// down above four fifths of their slots.
inline constexpr double kOverflowReserve = 0.25;

// @param delay         what passes before and after the service, which varies
//                      little
// @param service_time  the mean time at the server
// @return the probability that a response is later than `target`
double MissProbability(Duration delay, Duration service_time, Duration target);

// @return the shares that pay, without regard to the present ones
OverflowTarget DecideOverflow(const OverflowInput& input,
                              const OverflowPrices& prices);

class ZoneOverflow {
 public:
  // @return whether the last update is longer ago than the interval
  bool IsDue(TimePoint now) const;

  // Moves the shares towards those that pay.
  // @param sample  uniformly distributed in [0, 1)
  // @return the reason of this decision
  OverflowReason Update(const OverflowInput& input,
                        const OverflowPrices& prices, double sample,
                        TimePoint now);

  // @param sample  uniformly distributed in [0, 1)
  // @return where to search servers for the next request first
  OverflowScope Draw(double sample) const;

  const OverflowShares& shares() const { return shares_; }

 private:
  OverflowShares shares_;
  Duration wait_at_home_{};  // The longest lately.
  std::optional<TimePoint> updated_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ZONE_ROOM_ZONE_OVERFLOW_H_
