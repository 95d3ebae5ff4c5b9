// Asks backend servers for their health and load.
//
// Example:
//   asker.Ask(record, [](const LoadReply& reply) { ... });
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
  kUnhealthy,      // It answered that it is ill, or not at all.
  kAddressReused,  // Another server has the address now.
  kNotListening,   // Nothing listens at its address.
};

struct LoadReply {
  Health health = Health::kUnhealthy;
  std::optional<LoadReading> reading;
  bool cold = false;
};

class LoadProber {
 public:
  explicit LoadProber(TrafficContext* context) : context_(context) {}

  // @param done  called once, with kIll where no answer comes
  void Probe(const ServerRecord& server, std::function<void(LoadReply)> done);
  // As `Ask`, over a new connection, so that a server that has ended is told
  // from one that only closed its connections.
  void ProbeOverNewConnection(const ServerRecord& server,
                              std::function<void(LoadReply)> done);

  // Gives up the questions that have been open for too long.
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

  TrafficContext* context_;
  ProbeList pending_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_LOAD_PROBER_H_
