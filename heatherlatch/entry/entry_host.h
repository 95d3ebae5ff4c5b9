// One entry host: everything that runs in the process, put together.
//
// Example:
//   EntryHost host(settings);
//   BOOST_LEAF_CHECK(host.Start());
//   ... wait for a signal ...
//   host.Stop();   // graceful: cuts no request
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

  // Starts every server and thread.
  // @return ServerError or TransportError where a port cannot be listened on
  Result<void> Start();

  // Stops gracefully: announces the departure, gives groups and keys up, serves
  // what still arrives for a while, ends every request in progress, and stops.
  // Returns after at most the `stop_wait` of the settings and a few seconds.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_ENTRY_HOST_H_
