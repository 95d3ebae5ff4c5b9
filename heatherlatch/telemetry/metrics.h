// The metrics of an entry host, in the Prometheus text format.
//
// docs/METRICS.md lists each name with its unit and meaning.
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

  // Records the end of a caller's request.
  // @param total  from its arrival to the end of the answer
  // @param added  the part that was not spent waiting for the backend server
  void RequestEnded(const ServiceName& service, const Outcome& outcome,
                    Duration total, Duration added);
  void RequestRefused(NotRunReason reason);
  void RequestForwarded();
  void Retried();
  // Records the cost of measuring load.
  // @param server_time  time of the backend server that a probe took
  void ProbeSent(Duration server_time);
  void SetSlots(std::string_view group, int usable, int granted, int waiting);
  void SetConfiguration(std::uint64_t revision, Duration since_last_read);
  void SetPeers(int linked, int live);
  void SetKeyRingMajority(bool held);
  void SetPeerTraffic(std::uint64_t bytes_sent, std::uint64_t bytes_received);
  void CrossRegionBytes(std::string_view from, std::string_view to,
                        std::uint64_t bytes);

  // @return every metric in the text format
  std::string Serialize() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TELEMETRY_METRICS_H_
