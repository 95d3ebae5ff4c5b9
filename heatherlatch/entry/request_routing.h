// Matches a caller's request to its route, service, organisation, home regions,
// key and deadline, or refuses it.
//
// The decision is a pure function of the published objects, the region of this
// host, the head of the request and the size of its body. The content of the
// body is never read, so it cannot affect whether a request outside its home
// regions is refused.
//
// Example:
//   RoutingVerdict verdict =
//       RouteRequest(snapshots.Get(), own_region, request, "1f3a-17");
//   if (auto* refusal = std::get_if<RoutingRefusal>(&verdict)) { ... }
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
  std::vector<RegionName> home_regions;  // Never empty.
  std::optional<RequestKey> key;         // Set if the route is not idempotent.
  std::string request_id;
  TimePoint deadline;
};

// A request that this host does not serve, and the reason.
struct RoutingRefusal {
  NotRunReason reason = NotRunReason::kNoRoute;
  std::string explanation;  // For the caller: names the object or the header.
  std::vector<RegionName> home_regions;  // Where it may be sent instead.
  std::string request_id;
  // Whether an earlier send under the request's key may have run. False only if
  // the route is known to be idempotent.
  bool may_have_run_before = true;
};

using RoutingVerdict = std::variant<RoutedRequest, RoutingRefusal>;

// Routes a request.
// @param snapshot    the newest snapshot
// @param own_region  region of this host
// @param request     only the size of its body is read
// @param request_id  used if the caller sent none
// @return the routed request, or the first refusal
RoutingVerdict RouteRequest(std::shared_ptr<const HostSnapshot> snapshot,
                            const RegionName& own_region,
                            const CallerRequest& request,
                            std::string request_id);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_REQUEST_ROUTING_H_
