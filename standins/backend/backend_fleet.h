// A set of stand-in backend servers in one process, with one control port.
//
// docs/STAND-INS.md describes the control calls under /standin and the YAML
// format of a fleet.
//
// Example:
//   BackendFleet fleet({control_endpoint, {server_options}});
//   if (auto problem = fleet.Start()) Report(*problem);
//
// Thread safety: call `Start` once. `Find` and `runs` may be called from any
// thread.
#ifndef STANDINS_BACKEND_BACKEND_FLEET_H_
#define STANDINS_BACKEND_BACKEND_FLEET_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "standins/backend/backend_server.h"
#include "standins/backend/run_log.h"
#include "standins/common/http_server.h"

namespace heatherlatch::standins {

// A group of equal servers on consecutive ports: `name-1` listens on the port
// of `first`, `name-2` on the next port, and so on.
struct BackendGroupOptions {
  int count = 1;
  BackendServerOptions first;  // `name` is the prefix of the server names.
};

struct BackendFleetOptions {
  Endpoint control;
  std::vector<BackendServerOptions> servers;
};

// An endpoint that `Start` could not listen on.
struct ListenProblem {
  Endpoint endpoint;
};

// The error of a fleet document that is not valid.
struct FleetProblem {
  std::string text;
};

// @return the options of each server of the group; each server has the seed of
//     the one before it plus one
std::vector<BackendServerOptions> ExpandGroup(const BackendGroupOptions& group);

// Parses a fleet document.
// @return the options, or the first error in the document
std::variant<BackendFleetOptions, FleetProblem> ReadFleet(
    const std::string& yaml);

class BackendFleet {
 public:
  explicit BackendFleet(BackendFleetOptions options);
  ~BackendFleet();

  // Starts every server and the control port.
  // @return std::nullopt on success, else the first endpoint that failed
  std::optional<ListenProblem> Start();

  // @return the first server with this name, or nullptr
  BackendServer* Find(const std::string& name);

  const RunLog& runs() const { return runs_; }

 private:
  HttpResponse HandleControl(const HttpRequest& request);
  HttpResponse HandleFault(const HttpRequest& request);
  HttpResponse RunsResponse(const HttpRequest& request) const;
  HttpResponse ServersResponse() const;
  // @param pattern  a server name, or a prefix of names followed by '*'
  std::vector<BackendServer*> Matching(const std::string& pattern);
  // Stops crashed servers and restarts them when due; runs on `restarter_`.
  void RestartCrashed();

  const BackendFleetOptions options_;
  RunLog runs_;
  std::vector<std::unique_ptr<BackendServer>> servers_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<BackendServer*> crashed_;  // Not yet stopped for a restart.
  bool stopping_ = false;
  std::thread restarter_;
  HttpServer control_;
};

}  // namespace heatherlatch::standins

#endif  // STANDINS_BACKEND_BACKEND_FLEET_H_
