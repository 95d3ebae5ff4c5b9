// The hosts of a deployment that a host has heard of lately.
//
// Hosts are configured with the readers of the store only. A reader hears from
// the others by their requests, and tells each of them some, so that hosts can
// reach each other while no reader can be reached. Only hosts that made a
// request here are told to others, so that hosts do not keep one that is gone
// by telling each other of it. While no reader can be reached a host hears of
// no others, so that those it knows do not age.
//
// Example:
//   known.NoteRequest(requester, now);                  // At a reader.
//   response.hosts = known.SampleRequesters(kMaxHostsInResponse, &rng, now);
//   for (const Endpoint& host : response.hosts) known.NoteListed(host, now);
//
// Thread safety: none; the caller serialises access. Reads no clock.
#ifndef HEATHERLATCH_RELAY_KNOWN_HOSTS_H_
#define HEATHERLATCH_RELAY_KNOWN_HOSTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

// The most hosts that are kept; the one heard of longest ago is dropped.
inline constexpr std::size_t kMaxKnownHosts = 64;
// How long a host is kept after it was heard from or of.
inline constexpr Duration kKnownHostLifetime = std::chrono::minutes(1);

class KnownHosts {
 public:
  // @param self  the endpoint of this host, which is never kept
  explicit KnownHosts(Endpoint self) : self_(std::move(self)) {}

  // Records that the host made a request.
  void NoteRequest(const Endpoint& host, TimePoint now);
  // Records that another host listed the host.
  void NoteListed(const Endpoint& host, TimePoint now);

  // Records that a reader listed hosts. From the first time on, the ages of
  // hosts count until the last time, and not until now; those of requests count
  // until now in any case.
  void NoteReaderResponse(TimePoint now) { reader_responded_at_ = now; }

  // @return up to `count` different hosts, drawn at random
  std::vector<Endpoint> Sample(std::size_t count, std::mt19937_64* rng,
                               TimePoint now) const;
  // @return up to `count` different hosts that made a request lately, drawn at
  //     random
  std::vector<Endpoint> SampleRequesters(std::size_t count,
                                         std::mt19937_64* rng,
                                         TimePoint now) const;

  // @return the number of hosts that were heard from or of lately
  std::size_t Count(TimePoint now) const;

 private:
  struct Known {
    TimePoint noted_at;  // By its last request, or when it was last listed.
    std::optional<TimePoint> requested_at;
  };

  // Bounds the number of hosts.
  void DropOldest();
  // @return whether what was noted at `at` still counts
  bool IsRecent(TimePoint at, TimePoint now) const;

  Endpoint self_;
  std::map<Endpoint, Known> hosts_;
  std::optional<TimePoint> reader_responded_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_KNOWN_HOSTS_H_
