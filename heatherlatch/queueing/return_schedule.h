// Decides when the callers of refused requests may come back.
//
// Handles callers that are refused, come back while there is still no room, and
// are refused again: each is told a time at which the host expects room for it,
// and that room is kept. A caller may come back to any host of its zone and
// under another request ID, so what is kept is a number of places in a slot of
// time and not a place for one request; the callers of the hosts of a zone make
// up for each other. A place that nobody uses in its slot is given to others.
//
// Example:
//   const Return back = schedule.Grant(room, time_left, sample, now);
//   ... later: if (schedule.OnArrival(short_time, now) ==
//                  ArrivalKind::kWithPlace) ... keep it
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_QUEUEING_RETURN_SCHEDULE_H_
#define HEATHERLATCH_QUEUEING_RETURN_SCHEDULE_H_

#include <cstdint>
#include <map>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// When a service has room for callers that come back.
struct ExpectedRoom {
  Duration from{};        // From now; the requests that wait are sent by then.
  double per_second = 0;  // Sends that newly arriving requests do not need.
};

struct Return {
  Duration after{};
  bool has_place = false;  // Whether room is kept for it.
};

// What an arriving request is taken for.
enum class ArrivalKind {
  kNew,
  kReturning,  // Told to come back now, without a place; it cannot be in time.
  kWithPlace,
};

struct ReturnCounts {
  std::uint64_t granted = 0;  // Places that were promised.
  std::uint64_t used = 0;
  std::uint64_t expired = 0;
};

class ReturnSchedule {
 public:
  // Length of a slot of time.
  static constexpr Duration kSlot = std::chrono::milliseconds(100);
  // Callers are told at most so many slots.
  static constexpr std::int64_t kMaxSlots = 100;
  // How long after its slot a place may be used: callers open a connection.
  static constexpr std::int64_t kSlotsOfGrace = 2;

  // Tells a refused caller when to come back: in the first slot that has room,
  // or, if there is none within the time for which callers wait, in the least
  // used one of the later half of it. Callers that wait for a short time only
  // come back without a place once the requests that wait now have been sent.
  // @param time_left  until the caller's deadline; a caller waits for a third
  // @param sample     uniformly distributed in [0, 1)
  Return Grant(const ExpectedRoom& room, Duration time_left, double sample,
               TimePoint now);

  // Takes an arriving request for one of the callers that were told to come
  // back now, if any is still missing. Those with a place come first.
  // @param may_return  whether so little of its time is left that it may have
  //                    been refused before
  ArrivalKind OnArrival(bool may_return, TimePoint now);

  const ReturnCounts& counts() const { return counts_; }

 private:
  struct Slot {
    int told = 0;     // Callers that were told this slot.
    int missing = 0;  // Those of them that have not come yet.
    int kept = 0;     // Places that are kept for them.
  };
  using Slots = std::map<std::int64_t, Slot>;

  void Expire(TimePoint now);

  Slots slots_;  // By the number of the slot since the epoch of the clock.
  ReturnCounts counts_;
};

// @return whether a request has so little time left that its caller may have
//     been refused before, and could only come back soon, to the same queue
// @param time_left       until the caller's deadline, when its request was read
// @param latency_target  of its route
bool MayReturn(Duration time_left, Duration latency_target);

// How long a caller follows a Retry-After.
// @param time_left  until its deadline
Duration LongestRetryAfter(Duration time_left);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_QUEUEING_RETURN_SCHEDULE_H_
