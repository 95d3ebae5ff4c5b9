// The metrics of an entry host, serialized in the Prometheus text format.
//
// docs/METRICS.md lists each metric with its unit and meaning.
//
// Example:
//   metrics.RequestEnded(service, Ran{}, total, added);
//   std::string body = metrics.Serialize();
//
// Thread safety: every method may be called from any thread.
#ifndef HEATHERLATCH_TELEMETRY_METRICS_H_
#define HEATHERLATCH_TELEMETRY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "heatherlatch/base/name.h"
#include "heatherlatch/base/outcome.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Counts a caller's request that ended and records its times.
  // @param total  the time from its arrival to the end of the response
  // @param added  the part of `total` that was not spent waiting for the
  //     backend server
  void RequestEnded(const ServiceName& service, const Outcome& outcome,
                    Duration total, Duration added);
  void RequestRefused(NotRunReason reason);
  void RequestForwarded();
  void RequestRetried();
  // Counts a health probe and the load that it causes.
  // @param server_time  the time for which the probe occupied the backend
  //     server
  void ProbeSent(Duration server_time);
  void SetSlots(std::string_view group, int usable, int granted, int waiting);
  // @param revision         the revision of the set of objects in force; 0 if
  //     none
  // @param since_last_read  the time since the configuration service was read
  void SetConfiguration(std::uint64_t revision, Duration since_last_read);
  // @param linked  entry hosts to which a link is up
  // @param live    other entry hosts whose heartbeats arrive
  void SetPeers(int linked, int live);
  void SetKeyRingMajority(bool held);
  // Raises the byte counters of the peer links to the given totals. A total
  // below the last one is ignored.
  void SetPeerTraffic(std::uint64_t bytes_sent, std::uint64_t bytes_received);
  void AddCrossRegionBytes(std::string_view from, std::string_view to,
                           std::uint64_t bytes);

  // @return every metric in the Prometheus text format
  std::string Serialize() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TELEMETRY_METRICS_H_
