// Reads the platform: the published configuration and the list of hosts.
//
// Both are only read. The configuration is watched with a waiting call that the
// service answers when a newer revision exists or its wait is over; each call
// counts against the service's read rate, which the caller has to respect.
// docs/INTERFACES.md gives the requests and answers.
//
// Thread safety: every method may be called from any thread; each blocks.
#ifndef HEATHERLATCH_PLATFORM_PLATFORM_CLIENT_H_
#define HEATHERLATCH_PLATFORM_PLATFORM_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "heatherlatch/base/endpoint.h"
#include "heatherlatch/base/name.h"
#include "heatherlatch/base/result.h"
#include "heatherlatch/base/time.h"
#include "heatherlatch/configuration/configuration_keeper.h"
#include "heatherlatch/membership/membership.h"

namespace heatherlatch {

enum class PlatformProblem { kUnreachable, kTimedOut, kRefused, kMalformed };
struct PlatformError {
  PlatformProblem problem = PlatformProblem::kUnreachable;
  std::string call;  // Such as "GET /v1/hosts".
  std::string detail;
};

// One backend server in the platform's list.
struct ListedServer {
  BackendServerName name;
  bool leaving = false;
};

struct PlatformList {
  std::vector<ListedHost> hosts;
  std::vector<ListedServer> servers;
};

class PlatformClient {
 public:
  // @param endpoint  address of the platform
  // @param stopping  polled during a waiting call; true ends it
  PlatformClient(Endpoint endpoint, std::function<bool()> stopping);

  // Waits for a configuration that is newer than `after`.
  // @param wait  how long the service may hold the call
  // @return the document; none where nothing newer came; or PlatformError
  Result<std::optional<ConfigurationDocument>> WatchConfiguration(
      Revision after, Duration wait);

  // Reads the list of entry hosts and backend servers.
  Result<PlatformList> ReadList(Duration timeout);

 private:
  Endpoint endpoint_;
  std::function<bool()> stopping_;
};

// @return one sentence that names the call and what went wrong
std::string ToString(const PlatformError& error);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLATFORM_PLATFORM_CLIENT_H_
