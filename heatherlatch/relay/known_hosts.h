// The hosts of a deployment that a host has heard of lately.
//
// Hosts are configured with the readers of the store only. A reader hears of
// the others by their requests, and tells each of them some, so that hosts can
// reach each other while no reader can be reached.
//
// Example:
//   known.Note(requester, now);                         // At a reader.
//   response.hosts = known.Sample(kMaxHostsInResponse, &rng, now);
//   for (const Endpoint& host : response.hosts) known.Note(host, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_KNOWN_HOSTS_H_
#define HEATHERLATCH_RELAY_KNOWN_HOSTS_H_

#include <cstddef>
#include <map>
#include <random>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// The most hosts that are kept; the one heard of longest ago is dropped.
inline constexpr std::size_t kMaxKnownHosts = 64;
// How long a host is kept after it was heard of.
inline constexpr Duration kKnownHostLifetime = std::chrono::minutes(1);

class KnownHosts {
 public:
  // @param self  the endpoint of this host, which is never kept
  explicit KnownHosts(Endpoint self) : self_(std::move(self)) {}

  // Records that the host was heard of.
  void Note(const Endpoint& host, TimePoint now);

  // @return up to `count` different hosts, drawn at random
  std::vector<Endpoint> Sample(std::size_t count, std::mt19937_64* rng,
                               TimePoint now) const;

  std::size_t size() const { return noted_at_.size(); }

 private:
  Endpoint self_;
  std::map<Endpoint, TimePoint> noted_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_KNOWN_HOSTS_H_
