// Decides what a caller's request is and where it may run.
//
// The decision is a pure function of the published objects, the region of this
// host and the head of the request. It never looks at the body, so a request
// outside its home regions is refused whatever it holds.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_ENTRY_REQUEST_ROUTING_H_
#define HEATHERLATCH_ENTRY_REQUEST_ROUTING_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heatherlatch/at_most_once/request_key.h"
#include "heatherlatch/base/outcome.h"
#include "heatherlatch/entry/caller_request.h"
#include "heatherlatch/entry/host_snapshot.h"

namespace heatherlatch {

// A request that may be served by this host.
struct RoutedRequest {
  std::shared_ptr<const HostSnapshot> snapshot;  // Keeps the pointers alive.
  const Route* route = nullptr;
  const Service* service = nullptr;
  const Organisation* organisation = nullptr;
  std::vector<RegionName> homes;  // Never empty.
  std::optional<RequestKey> key;  // Set where the route is not idempotent.
  std::string request_id;
  TimePoint deadline;
};

struct RoutingRefusal {
  NotRunReason reason = NotRunReason::kNoRoute;
  std::string explanation;  // For the caller: names the object or the header.
  std::vector<RegionName> homes;  // Where the request may be sent instead.
  std::string request_id;
  // The route is not known to be idempotent, so an earlier send under the key
  // of the request may have run.
  bool may_have_run_before = true;
};

using RoutingVerdict = std::variant<RoutedRequest, RoutingRefusal>;

// @param snapshot    the newest snapshot
// @param own_region  region of this host
// @param request     the request; its body is not read
// @param request_id  used where the caller gave none
RoutingVerdict RouteRequest(std::shared_ptr<const HostSnapshot> snapshot,
                            const RegionName& own_region,
                            const CallerRequest& request,
                            std::string request_id);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_REQUEST_ROUTING_H_
