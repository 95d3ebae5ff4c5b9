// How long requests of a route take and how large their answers are.
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_TRAFFIC_ROUTE_STATISTICS_H_
#define HEATHERLATCH_TRAFFIC_ROUTE_STATISTICS_H_

#include <cstddef>
#include <map>

#include "heatherlatch/routing/route_table.h"
#include "heatherlatch/steering/steering.h"

namespace heatherlatch {

class RouteStatistics {
 public:  // Records an answer.
  // @param service_time  at the server, without the way
  // @param slowness      of the server as it was chosen
  // @param occupancy     of the server as it was chosen; a time that holds a
  //                      wait for a slot tells nothing of the work
  void RecordResponse(const RouteName& route, Duration service_time,
                      double slowdown, Occupancy occupancy, std::size_t bytes);
  // @return what a request of the route is expected to take; before the first
  //     answer a share of its latency target
  ExpectedWork Expect(const TrafficRoute& route) const;

 private:  // A mean in which later values count more.
  struct MovingMean {
    void Add(double added);
    double value = 0;
    int count = 0;
  };
  struct RouteMeans {
    MovingMean milliseconds;              // On servers with room.
    MovingMean nearly_full_milliseconds;  // On servers that are nearly full.
    MovingMean bytes;
  };
  std::map<RouteName, RouteMeans> means_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_ROUTE_STATISTICS_H_
