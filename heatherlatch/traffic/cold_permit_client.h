// Asks the readers of the store for permits to send requests to servers in cold
// start (admission/cold_start_permits.h).
//
// One question at a time names all servers for which requests were looking. It
// goes to one reader, and the next one to the next reader if nothing came of
// it. The more questions bring no permit, the longer the host waits before it
// asks again. A reader issues permits to itself first.
//
// Example:
//   client.Want(server);  // A request could use this server.
//
// Thread safety: none; everything runs on the thread of the io_context.
#ifndef HEATHERLATCH_TRAFFIC_COLD_PERMIT_CLIENT_H_
#define HEATHERLATCH_TRAFFIC_COLD_PERMIT_CLIENT_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <set>
#include <vector>

#include "heatherlatch/traffic/client_connection.h"
#include "heatherlatch/traffic/traffic_context.h"

namespace heatherlatch {

class ColdPermitClient {
 public:
  explicit ColdPermitClient(TrafficContext* context);
  ~ColdPermitClient();

  // Notes that a request could use a server in cold start, and asks for a
  // permit if it is time to.
  void Want(const BackendServerName& server);

 private:
  void Ask(TimePoint now);
  void OnResult(TimePoint asked_at, const CallResult& result);
  // Sets when to ask again.
  void Finish(bool received);
  // @return the readers other than this host
  std::vector<Endpoint> OtherReaders() const;

  TrafficContext* context_;
  std::set<BackendServerName> wanted_;
  std::size_t next_reader_ = 0;
  std::shared_ptr<ClientConnection> connection_;  // Of the question.
  boost::asio::steady_timer timeout_;
  bool asking_ = false;
  Duration delay_;
  TimePoint ask_again_at_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_TRAFFIC_COLD_PERMIT_CLIENT_H_
