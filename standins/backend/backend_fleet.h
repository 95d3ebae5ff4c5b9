// Many stand-in backend servers in one process, with one control port.
//
// docs/STAND-INS.md describes the control calls below /standin and the YAML
// form of a fleet.
//
// Example:
//   BackendFleet fleet({control_endpoint, {server_options}});
//   if (auto problem = fleet.Start()) Report(*problem);
//
// Thread safety: `Start` once from one thread, `Find` and `runs` from any.
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

// Servers of one kind: `name-1` at `first_port`, `name-2` one port above, ...
struct BackendGroupOptions {
  int count = 1;
  BackendServerOptions first;  // Name is the prefix of the names.
};

struct BackendFleetOptions {
  Endpoint control;
  std::vector<BackendServerOptions> servers;
};

// An endpoint that could not be used.
struct ListenProblem {
  Endpoint endpoint;
};

// A fleet document that is not valid.
struct FleetProblem {
  std::string text;
};

// @return the options of each server of the group
std::vector<BackendServerOptions> ExpandGroup(const BackendGroupOptions& group);

// Reads a fleet from its YAML form.
std::variant<BackendFleetOptions, FleetProblem> ReadFleet(
    const std::string& yaml);

class BackendFleet {
 public:
  explicit BackendFleet(BackendFleetOptions options);
  ~BackendFleet();

  // @return nothing where every server and the control port listen
  std::optional<ListenProblem> Start();

  // @return the server of that name, or nullptr
  BackendServer* Find(const std::string& name);

  const RunLog& runs() const { return runs_; }

 private:
  HttpResponse HandleControl(const HttpRequest& request);
  HttpResponse HandleFault(const HttpRequest& request);
  HttpResponse RunsResponse(const HttpRequest& request) const;
  HttpResponse ServersResponse() const;
  std::vector<BackendServer*> Matching(const std::string& pattern);
  void RestartCrashed();

  const BackendFleetOptions options_;
  RunLog runs_;
  std::vector<std::unique_ptr<BackendServer>> servers_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<BackendServer*> crashed_;  // To stop and to start again.
  bool stopping_ = false;
  std::thread restarter_;
  HttpServer control_;
};

}  // namespace heatherlatch::standins

#endif  // STANDINS_BACKEND_BACKEND_FLEET_H_
