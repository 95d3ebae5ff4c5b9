// One entry host: owns and connects all components of the process.
//
// Example:
//   EntryHost host(settings);
//   BOOST_LEAF_CHECK(host.Start());
//   ... wait for a signal ...
//   host.Stop();   // graceful: waits for requests in progress
//
// Thread safety: `Start` and `Stop` are called from one thread.
#ifndef HEATHERLATCH_ENTRY_ENTRY_HOST_H_
#define HEATHERLATCH_ENTRY_ENTRY_HOST_H_

#include <memory>

#include "heatherlatch/base/result.h"
#include "heatherlatch/settings/host_settings.h"

namespace heatherlatch {

class EntryHost {
 public:
  explicit EntryHost(HostSettings settings);
  ~EntryHost();
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;

  // Starts all servers and threads.
  // @return ServerError or TransportError if an endpoint cannot be listened on
  Result<void> Start();

  // Stops gracefully: announces to the peers that this host is leaving,
  // releases its groups, hands its key records over, accepts requests for a few
  // more seconds, waits for the requests in progress to end, and stops all
  // threads. Returns after at most the `stop_wait` of the settings plus a few
  // seconds.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_ENTRY_HOST_H_
