// The subset of a service's servers that one host uses.
//
// Handles many hosts with few requests each: a host that draws from all servers
// opens a connection for most of its probes and learns little of any server. A
// subset keeps its connections in use.
//
// Hosts share no list of hosts. At each distance the servers are ordered by a
// hash of their names and cut into slices of equal slots, a power of two of
// them, and a host uses one slice. Which one follows from its own name: the
// binary digits of the number at its end, reversed, so that hosts with
// consecutive numbers fill the slices evenly, whatever their count. A name
// without a number gives a slice by its hash, which is less even. A server that
// comes or goes moves a slice by about one member, and where the count of
// slices doubles, each new slice is half of the old one.
//
// The subset contains servers at each distance, so that a lost zone leaves a
// choice. It is a preference and no limit: while requests wait, a host uses all
// servers (`SubsetWidening`).
//
// Example:
//   if (!widening.IsWide(now)) KeepSubset(host, min_size, &candidates);
//   drawn = DrawCandidates(std::move(candidates), count, &rng);
//
// Thread safety: `KeepSubset` is a pure function; the caller serialises access
// to a `SubsetWidening`. Reads no clock.
#ifndef HEATHERLATCH_STEERING_SERVER_SUBSET_H_
#define HEATHERLATCH_STEERING_SERVER_SUBSET_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/steering/steering.h"

namespace heatherlatch {

// Removes the candidates that are not in the subset of a host, and marks its
// members with `in_subset`. The order of the rest is not specified.
//
// For a member that failed recently the next server is used beside it. A server
// in cold start is kept also if it is no member, since the host holds a permit
// for one request to it.
// @param host        the host's name
// @param min_size    servers that a slice has on average at least, 1 or more;
//                    it has less than twice as many, and fewer only where there
//                    are no more at that distance
// @param candidates  the servers of one service that may receive a request
void KeepSubset(const HostName& host, std::size_t min_size,
                std::vector<Candidate>* candidates);

// How long a host uses all servers after a request last waited. Longer than a
// noisy neighbour slows a server.
inline constexpr Duration kWideningHold = std::chrono::seconds(1);

// Whether a host uses all servers of a service for the time being, because its
// subset had too few free slots.
class SubsetWidening {
 public:
  // Records that a request of the service waits at the host.
  // @return whether the host used the subset alone until now
  bool OnPressure(TimePoint now);
  // @return whether all servers are used: until `kWideningHold` has passed
  //     without pressure
  bool IsWide(TimePoint now) const;

 private:
  std::optional<TimePoint> pressed_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_STEERING_SERVER_SUBSET_H_
