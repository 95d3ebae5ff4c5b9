// Places the requests of one service that wait at this host.
//
// One search at a time serves all waiting requests: what it finds is offered to
// them in the order of the queue, and so is a slot that becomes free when a
// server responds to a request of this host. The number of probes does not grow
// with the number of requests that wait.
//
// Example:
//   queue.Join(request, waiter);
//   queue.OnReading(server, now);  // A server reported its load.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_SERVICE_QUEUE_H_
#define HEATHERLATCH_TRAFFIC_SERVICE_QUEUE_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "heatherlatch/queueing/return_schedule.h"
#include "heatherlatch/queueing/waiting_queue.h"
#include "heatherlatch/steering/steering.h"
#include "heatherlatch/traffic/server_search.h"

namespace heatherlatch {

class ServiceQueue {
 public:
  // What the queue calls on a waiting request.
  struct Waiter {
    // Sends the request to one of the servers, if that is better than to wait
    // on. It leaves the queue if it is sent or ends.
    // @param own_search  whether the request itself searched for them
    // @return whether it was sent
    std::function<bool(const FoundServers&, bool own_search)> place;
    std::function<void(ServerSearch::Done)> search;
    // Ends the request, which is no longer in the queue.
    // @param at_arrival  whether it did not wait
    std::function<void(bool at_arrival)> refuse;
  };

  ServiceQueue(TrafficContext* context, ServiceName service);

  // @return an ID for a request that may wait here
  std::uint64_t NextId() { return next_id_++; }

  // Notes a request of the service that arrives.
  // @param priority    its rank, the lowest first
  // @param may_return  whether its caller may have been refused before
  ArrivalKind OnArrival(int priority, bool may_return, TimePoint now);

  // Adds a request, or updates one that waits already. Refuses it at once if
  // its turn would come too late, whatever it waits for.
  void Join(const WaitingRequest& request, Waiter waiter);
  // Removes a request, if it waits here.
  void Leave(std::uint64_t id);

  // Records that a request of the service was sent.
  void OnSent(TimePoint now, const OrganisationName& organisation) {
    waiting_.OnSent(now, organisation);
  }
  // Has a waiting request search servers beyond the zone, beside the search of
  // the queue. The first request in the order that accepts one is sent.
  void SearchBeyondZone(std::uint64_t id);
  // @return the time until the requests that wait now have been sent; nothing
  //     if it is not known
  std::optional<Duration> DrainTime(TimePoint now) const {
    return waiting_.DrainTime(now);
  }
  // Offers a server that just reported its load to the waiting requests.
  void OnReading(const BackendServerName& server, TimePoint now);

  bool empty() const { return waiting_.empty(); }
  bool Contains(std::uint64_t id) const { return waiting_.Contains(id); }
  std::size_t size() const { return waiting_.size(); }
  // @return when the caller of a refused request may send it again
  Duration RetryAfter(Duration time_left, TimePoint now);

 private:
  // Offers candidates to the waiting requests in their order.
  // @param searcher  the request that searched for them; 0: none
  // @param most      how many of them may be sent
  void Offer(const FoundServers& found, std::uint64_t searcher,
             std::size_t most = std::numeric_limits<std::size_t>::max());
  // @param arriving  the request that was just added; 0: none
  void Refuse(const std::vector<std::uint64_t>& ids, std::uint64_t arriving);
  void CountReturns();
  void ArmTimer();
  void OnTimer();
  void Search();
  void OnFound(std::uint64_t searcher, const FoundServers& found);

  TrafficContext* context_;
  ServiceName service_;
  WaitingQueue waiting_;
  ReturnSchedule returns_;
  ReturnCounts counted_returns_;  // That the metrics contain.
  std::map<std::uint64_t, Waiter> waiters_;
  std::uint64_t next_id_ = 1;
  std::uint64_t searcher_ = 0;           // The request that searches; 0: none.
  std::set<std::uint64_t> searched_;     // That found no slot for any request.
  std::set<std::uint64_t> beyond_zone_;  // That search beyond the zone.
  boost::asio::steady_timer timer_;
  bool timer_armed_ = false;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_SERVICE_QUEUE_H_
