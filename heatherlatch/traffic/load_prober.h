// Probes backend servers for their health and load.
//
// Example:
//   prober.Probe(record, [](const LoadReply& reply) { ... });
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_LOAD_PROBER_H_
#define HEATHERLATCH_TRAFFIC_LOAD_PROBER_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>

#include "heatherlatch/fleet/load_reading.h"
#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {

enum class Health {
  kHealthy,
  kUnhealthy,      // Reported by the server, or no response was received.
  kAddressReused,  // Another server responded at the address.
  kNotListening,   // The address refused the connection.
};

struct LoadReply {
  Health health = Health::kUnhealthy;
  std::optional<LoadReading> reading;
  bool cold = false;
};

class LoadProber {
 public:
  explicit LoadProber(TrafficContext* context) : context_(context) {}

  // @param done  called once, with kUnhealthy and no reading if no response is
  //              received, or one whose status HTTP does not define
  void Probe(const ServerRecord& server, std::function<void(LoadReply)> done);
  // As `Probe`, over a new connection, to distinguish a server that has ended
  // from one that only closed its connections.
  void ProbeOverNewConnection(const ServerRecord& server,
                              std::function<void(LoadReply)> done);

  // Ends the probes that exceeded their timeout.
  void CancelOverdueProbes(TimePoint now);

 private:
  struct PendingProbe {
    ServerRecord server;
    std::shared_ptr<ClientConnection> connection;
    std::function<void(LoadReply)> done;
    TimePoint sent_at;
  };
  using ProbeList = std::list<PendingProbe>;

  void ProbeOver(std::shared_ptr<ClientConnection> connection,
                 const ServerRecord& server,
                 std::function<void(LoadReply)> done);
  void OnResult(ProbeList::iterator probe, const CallResult& result);
  LoadReply ReadReply(const PendingProbe& probe, const CallResult& result);
  // Counts as no response: its fields tell nothing of the server.
  void OnUndefinedStatus(const PendingProbe& probe, unsigned status);

  TrafficContext* context_;
  ProbeList pending_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_LOAD_PROBER_H_
