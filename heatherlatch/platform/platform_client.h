// Client of the platform's service for the published configuration and the list
// of entry hosts and backend servers.
//
// The client only reads. `WatchConfiguration` is a long poll: the service
// responds when a newer revision exists or when `wait` is over. Each call
// counts against the service's read rate, which the user of the client has to
// respect. docs/INTERFACES.md specifies the requests and responses.
//
// Example:
//   PlatformClient client(endpoint, [&] { return stopping.load(); });
//   BOOST_LEAF_AUTO(document, client.WatchConfiguration(revision, wait));
//   if (document) Apply(*document);
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
#include "heatherlatch/configuration/configuration_state.h"
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
  // @param stopping  polled during a call; true ends the call with an error
  PlatformClient(Endpoint endpoint, std::function<bool()> stopping);

  // Waits for a configuration that is newer than `after`.
  // @param wait  how long the service may delay the response
  // @return the document; std::nullopt if none is newer; or PlatformError
  Result<std::optional<ConfigurationDocument>> WatchConfiguration(
      Revision after, Duration wait);

  // Reads the list of entry hosts and backend servers.
  // @param timeout  for the complete call
  // @return the list, or PlatformError
  Result<PlatformList> ReadList(Duration timeout);

 private:
  Endpoint endpoint_;
  std::function<bool()> stopping_;
};

// @return one sentence with the call, the problem and its detail
std::string ToString(const PlatformError& error);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLATFORM_PLATFORM_CLIENT_H_
