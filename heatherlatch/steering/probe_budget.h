// The share of a host in the probes that the servers of one service may
// receive from all hosts together.
//
// Handles overload and growth: without a bound, each waiting request probes
// again and again, and each further host adds its probes to those of the
// others. Hosts share no list of hosts. A host knows its share from what the
// servers report: it is the part that its own requests have in all requests
// that the servers hold. These parts add up to one over all hosts, whatever
// their number, as long as the readings are unbiased. Readings that are too
// high leave a host with fewer probes than it may send; too low ones, with as
// many more.
//
// Example:
//   ProbeBudget budget(40, now);
//   budget.SetServers(servers, mean_outstanding);
//   const std::size_t count = budget.Take(6, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_STEERING_PROBE_BUDGET_H_
#define HEATHERLATCH_STEERING_PROBE_BUDGET_H_

#include <cstddef>
#include <optional>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

class ProbeBudget {
 public:
  // @param per_server_second  probes that one server may receive a second from
  //                           all hosts together
  ProbeBudget(double per_server_second, TimePoint now);

  // Sets what the host knows of the usable servers of the service.
  // @param servers           how many there are
  // @param mean_outstanding  the requests that a server holds on average, of
  //                          all hosts; nothing if no server has reported
  void SetServers(std::size_t servers, std::optional<double> mean_outstanding);
  // Records that a request of this host was sent to a server, and its end.
  void OnSent(TimePoint now);
  void OnEnded(TimePoint now);

  // Takes probes from the budget. The fewer are left, the fewer a request gets,
  // so that the next ones get some too.
  // @param wanted      the most probes that the request can use
  // @param is_pressed  whether the servers that it probed before would miss its
  //                    latency target; it may then take a larger part
  // @return how many servers it may probe
  std::size_t Take(std::size_t wanted, bool is_pressed, TimePoint now);

  // @return probes that this host may send a second
  double RatePerSecond() const;

 private:
  void Advance(TimePoint now);

  double per_server_second_;
  double available_;
  TimePoint advanced_at_;
  std::size_t servers_ = 1;
  double observed_seconds_ = 0;
  int own_outstanding_ = 0;
  double mean_own_outstanding_ = 0;  // Over the last second or so.
  double mean_server_outstanding_ = 0;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_STEERING_PROBE_BUDGET_H_
