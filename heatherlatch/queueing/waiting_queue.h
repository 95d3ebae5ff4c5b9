// The requests of one service that wait at a host until a backend server has a
// free slot for them.
//
// Handles overload: bursts, lost zones and slow servers, when more requests
// arrive than slots become free. All requests of the service wait in one order,
// so that a free slot goes to the most urgent one, whichever request found it.
// Requests that can still meet their latency target come first, by priority and
// then by the time by which they must be sent. Late ones follow, by priority
// and then by the time at which they are given up: a request that a caller
// sends again has less time left, and so comes before newer ones. Of requests
// of one rank, those of an organisation that has much more waiting or sent
// lately than the others come after those with less.
//
// A request is refused as soon as the rates of arrivals and sends show that its
// turn would come too late: the more urgent ones that are going to arrive are
// sent before it, and once it is late, so are all that can still be in time.
//
// Example:
//   WaitingQueue queue;
//   queue.Add({id, priority, send_by, give_up_at, bytes}, now);
//   for (std::uint64_t overdue : queue.TakeOverdue(now)) Refuse(overdue);
//   for (std::uint64_t next : queue.Order(now)) ... send it, and Remove it
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_QUEUEING_WAITING_QUEUE_H_
#define HEATHERLATCH_QUEUEING_WAITING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/queueing/fair_share.h"
#include "heatherlatch/queueing/return_schedule.h"
#include "heatherlatch/queueing/service_pace.h"

namespace heatherlatch {

// Bounds of one queue.
struct WaitingQueueLimits {
  std::size_t max_requests = 1000;
  std::uint64_t max_bytes = 16u << 20;
};

struct WaitingRequest {
  std::uint64_t id = 0;   // Unique in the queue.
  int priority = 0;       // 0 is the highest priority.
  TimePoint send_by;      // Sent later, it misses its latency target.
  TimePoint give_up_at;   // It is not sent later than this.
  std::uint64_t bytes{};  // That it holds while it waits.
  OrganisationName organisation = {};  // Empty: none.
  // Whether it is not refused because others arrive: its caller was told to
  // come back now.
  bool has_place = false;
};

class WaitingQueue {
 public:
  // Every so many sends, the next one goes to the request that has waited for
  // the longest time, so that requests of a low priority do not starve. Late
  // ones are left out while others can still be in time.
  static constexpr int kSendsBetweenLongestWaiting = 8;

  explicit WaitingQueue(WaitingQueueLimits limits = {}) : limits_(limits) {}

  // Adds a request, which keeps its place in the order of arrival if it waits
  // already.
  // @return the requests that must be refused so that the queue stays within
  //     its bounds: the last ones in its order, which may include the added
  //     one; if only bytes are over, the last ones that hold any
  std::vector<std::uint64_t> Add(const WaitingRequest& request, TimePoint now);
  void Remove(std::uint64_t id);

  // Records a request of the service, whether it is going to wait or not, that
  // came without a place that its caller was promised.
  void OnArrival(int priority, TimePoint now) {
    pace_.OnArrival(priority, now);
  }

  // Records that a request of the service was sent to a server, whether it
  // waited or not. The rate of these sends is the rate at which the queue is
  // expected to drain.
  void OnSent(TimePoint now, const OrganisationName& organisation = {});

  // @return the waiting requests, in the order in which they are to be sent
  std::vector<std::uint64_t> Order(TimePoint now) const;

  // Removes the requests that cannot be sent in time: those whose time is over,
  // and those of which the rates show that their turn comes after it.
  // @return their IDs, which the caller refuses
  std::vector<std::uint64_t> TakeOverdue(TimePoint now);

  // @return the time until the requests that wait now have been sent, at the
  //     rate of the last sends; nothing while that rate is not known
  std::optional<Duration> DrainTime(TimePoint now) const;

  // @return when there is room for callers that come back, at the rates of the
  //     last sends and arrivals; nothing while they are not known
  std::optional<ExpectedRoom> Room(TimePoint now) const;

  bool Contains(std::uint64_t id) const { return entries_.count(id) > 0; }
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    WaitingRequest request;
    std::uint64_t arrival = 0;  // Its place in the order of arrival.
  };

  // @return the requests that come after those of the same rank, because their
  //     organisation uses much more than the others
  std::set<std::uint64_t> BeyondFairShare(TimePoint now) const;
  // @return when a request is expected to be sent that has `ahead` others
  //     before it, in the most favourable case
  TimePoint ExpectedTurn(const WaitingRequest& request, double ahead,
                         TimePoint now) const;

  WaitingQueueLimits limits_;
  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t bytes_ = 0;
  std::uint64_t next_arrival_ = 0;
  ServicePace pace_;
  OrganisationUsage usage_;
  int sends_since_longest_waiting_ = 0;
};

// Decides when the caller of a refused request may send it again.
//
// Spreads the callers over half of the time until there is room, so that they
// do not return together. Callers do not wait for longer than a third of the
// time that they have left.
// @param until_room  the expected time until there is room
// @param time_left   until the caller's deadline
// @param sample      uniformly distributed in [0, 1)
Duration RetryAfterRoom(Duration until_room, Duration time_left, double sample);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_QUEUEING_WAITING_QUEUE_H_
