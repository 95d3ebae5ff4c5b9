// The rates at which requests of one service arrive at a host and are sent by
// it. They tell when the turn of a waiting request comes.
//
// Handles hosts that each serve few requests of a service: a rate that needs
// many sends to be known is learned only after most of the wait is over, so the
// rate is also taken from how few sends there were since requests began to
// wait. A quiet time tells nothing of the servers and is left out of the rate.
//
// Example:
//   pace.OnArrival(rank, now);
//   pace.OnSent(now);
//   if (const auto rate = pace.SendsPerSecond(now)) ...
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_QUEUEING_SERVICE_PACE_H_
#define HEATHERLATCH_QUEUEING_SERVICE_PACE_H_

#include <cstddef>
#include <deque>
#include <optional>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

class ServicePace {
 public:
  // Records that a request was sent to a server, whether it waited or not.
  void OnSent(TimePoint now);
  // Records a request that came without a place that it was promised.
  // @param rank  the lower, the more urgent
  void OnArrival(int rank, TimePoint now);
  // Records that requests wait.
  void OnWaiting(TimePoint now);
  // Records that no request waits any more.
  void OnNoneWaiting() { none_waits_ = true; }

  // @return the expected sends per second while requests wait; nothing while
  //     there is too little to tell
  std::optional<double> SendsPerSecond(TimePoint now) const;
  // @param rank        of the requests that count as arriving, only those that
  //                    are more urgent than this; absent: all
  // @param deviations  standard deviations of the counts to add, since few
  //                    requests tell little: above 0 the most that is
  //                    plausible, below 0 the least
  // @return the sends per second that the arriving requests leave, at least 0
  std::optional<double> SendsLeft(std::optional<int> rank, double deviations,
                                  TimePoint now) const;

 private:
  // @return the arrivals that were counted, of those more urgent than `rank`
  double ArrivalsCounted(std::optional<int> rank, TimePoint now) const;

  // Records that there is a request to send.
  void EndQuietTime(TimePoint now);

  struct Arrival {
    TimePoint at;
    int rank;
  };

  // The last sends and arrivals, oldest first.
  std::deque<TimePoint> sent_at_;
  std::deque<Arrival> arrivals_;
  // Since when there are requests, apart from short breaks.
  TimePoint busy_since_ = TimePoint::min();
  // Since when requests wait, apart from short breaks.
  std::optional<TimePoint> waiting_since_;
  TimePoint last_waiting_at_;
  bool none_waits_ = true;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_QUEUEING_SERVICE_PACE_H_
