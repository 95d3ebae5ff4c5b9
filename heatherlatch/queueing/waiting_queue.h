// The requests of one service that wait at a host until a backend server has a
// free slot for them.
//
// Handles overload: bursts, lost zones and slow servers, when more requests
// arrive than slots become free. All requests of the service wait in one order,
// so that a free slot goes to the most urgent one, whichever request found it.
// Requests that can still meet their latency target come first, by priority and
// then by the time by which they must be sent. Late ones follow, by priority
// and then by the time at which they are given up: a request that a caller
// sends again has less time left, and so comes before newer ones. A request is
// refused as soon as the rate of the last sends shows that its turn would come
// too late.
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
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "heatherlatch/base/time.h"

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
};

class WaitingQueue {
 public:
  // Every so many sends, the next one goes to the request that has waited for
  // the longest time, so that requests of a low priority do not starve.
  static constexpr int kSendsBetweenLongestWaiting = 8;

  explicit WaitingQueue(WaitingQueueLimits limits = {}) : limits_(limits) {}

  // Adds a request, which keeps its place in the order of arrival if it waits
  // already.
  // @return the requests that must be refused so that the queue stays within
  //     its bounds: the last ones in its order, which may include the added one
  std::vector<std::uint64_t> Add(const WaitingRequest& request, TimePoint now);
  void Remove(std::uint64_t id);

  // Records that a request of the service was sent to a server, whether it
  // waited or not. The rate of these sends is the rate at which the queue is
  // expected to drain.
  void OnSent(TimePoint now);

  // @return the waiting requests, in the order in which they are to be sent
  std::vector<std::uint64_t> Order(TimePoint now) const;

  // Removes the requests that cannot be sent in time: those whose time is over,
  // and those of which the rate of the last sends shows that their turn comes
  // after it.
  // @return their IDs, which the caller refuses
  std::vector<std::uint64_t> TakeOverdue(TimePoint now);

  // @return the time until the requests that wait now have been sent, at the
  //     rate of the last sends; nothing while that rate is not known
  std::optional<Duration> DrainTime(TimePoint now) const;

  bool Contains(std::uint64_t id) const { return entries_.count(id) > 0; }
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    WaitingRequest request;
    std::uint64_t arrival = 0;  // Its place in the order of arrival.
  };

  // @return sends per second; nothing while there were too few to tell
  std::optional<double> SendRate(TimePoint now) const;

  WaitingQueueLimits limits_;
  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t bytes_ = 0;
  std::uint64_t next_arrival_ = 0;
  std::deque<TimePoint> sent_at_;  // The last sends.
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
