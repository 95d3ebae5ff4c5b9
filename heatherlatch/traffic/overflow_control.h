// Applies the decision about leaving the zone (zone_room/zone_overflow.h) to
// the requests of a host: gathers what is known of the room, draws where each
// request searches a server first, logs and counts.
//
// Without prices in the settings, every search begins at the nearest servers.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_OVERFLOW_CONTROL_H_
#define HEATHERLATCH_TRAFFIC_OVERFLOW_CONTROL_H_

#include <cstddef>
#include <map>
#include <utility>

#include "heatherlatch/routing/route_table.h"
#include "heatherlatch/steering/placement_decision.h"
#include "heatherlatch/zone_room/zone_overflow.h"

namespace heatherlatch {

class TrafficContext;

// The request for which a scope is drawn.
struct OverflowSubject {
  const ServiceName& service;
  const TrafficRoute& route;
  ExpectedWork work;
  std::size_t request_bytes = 0;
  Duration wait_at_home{};  // Of the requests that wait for the service.
};

class OverflowControl {
 public:
  explicit OverflowControl(TrafficContext* context) : context_(context) {}

  // @return where the search for a server of the request begins
  SearchScope Draw(const OverflowSubject& subject, TimePoint now);

  // @return the highest present share of any route, for each distance
  OverflowShares HighestShares() const;

 private:
  using Key = std::pair<ServiceName, RouteName>;
  struct Entry {
    ZoneOverflow overflow;
    OverflowShares logged;
  };

  OverflowInput Gather(const OverflowSubject& subject, TimePoint now) const;
  void Log(const Key& key, const OverflowInput& input, OverflowReason reason,
           Entry* entry);

  TrafficContext* context_;
  std::map<Key, Entry> entries_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_OVERFLOW_CONTROL_H_
