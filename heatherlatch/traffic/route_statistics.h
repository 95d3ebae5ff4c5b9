// Estimates how long requests of a route take and how large their responses
// are, from exponentially weighted means of past responses.
//
// Example:
//   statistics.RecordResponse(route.name, service_time, slowdown, occupancy,
//                             body_bytes, now);
//   ExpectedWork work = statistics.Expect(route, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_TRAFFIC_ROUTE_STATISTICS_H_
#define HEATHERLATCH_TRAFFIC_ROUTE_STATISTICS_H_

#include <cstddef>
#include <map>
#include <optional>

#include "heatherlatch/base/time.h"
#include "heatherlatch/routing/route_table.h"
#include "heatherlatch/steering/steering.h"

namespace heatherlatch {

// How long a response took, as far as a host that stood still can know: it read
// the response up to `doubt` after its arrival.
// @param measured  from the send of the request to the reading of the response,
//                  without the round trip
// @param expected  the time that such responses usually take
// @return the time to record: `measured` where the doubt is no longer than the
//     expected time; where it is longer, the time that is certain, if that is
//     longer than expected; nothing otherwise
std::optional<Duration> CertainServiceTime(Duration measured, Duration doubt,
                                           Duration expected);

class RouteStatistics {
 public:
  // Records a successful response.
  // @param service_time  time at the server, without the round trip
  // @param slowdown      the server's slowdown factor when it was chosen
  // @param occupancy     the server's occupancy when it was chosen; the time of
  //                      a request that waited for a slot is not recorded
  // @param bytes         size of the response body
  void RecordResponse(const RouteName& route, Duration service_time,
                      double slowdown, Occupancy occupancy, std::size_t bytes,
                      TimePoint now);
  // @return the expected work of a request; before the first response, the
  //     service time is a share of the route's latency target. It is no more
  //     than that either if no response was recorded lately: a longer time may
  //     be why no request was sent
  ExpectedWork Expect(const TrafficRoute& route, TimePoint now) const;

 private:
  // An exponentially weighted mean.
  struct MovingMean {
    void Add(double added);
    double value = 0;
    int count = 0;
  };
  struct RouteMeans {
    MovingMean milliseconds;              // On servers with free slots.
    MovingMean nearly_full_milliseconds;  // On servers that are nearly full.
    MovingMean bytes;
    TimePoint recorded_at;
  };
  std::map<RouteName, RouteMeans> means_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_ROUTE_STATISTICS_H_
