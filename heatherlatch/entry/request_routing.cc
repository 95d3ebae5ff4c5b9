#include "heatherlatch/entry/request_routing.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "heatherlatch/entry/internal/region_list.h"

namespace heatherlatch {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

// @return whether a backend server could resolve the path to another path
bool IsAmbiguousPath(std::string_view path) {
  if (path.empty() || path.front() != '/') return true;
  const std::string lower = LowerCase(path);
  for (const std::string_view part :
       {"/../", "/./", "//", "%2e", "%2f", "%00"}) {
    if (lower.find(part) != std::string::npos) return true;
  }
  const auto ends_with = [&](std::string_view tail) {
    return lower.size() >= tail.size() &&
           lower.compare(lower.size() - tail.size(), tail.size(), tail) == 0;
  };
  return ends_with("/..") || ends_with("/.");
}

bool IsValidRequestId(std::string_view id) {
  if (id.empty() || id.size() > kMaxRequestIdBytes) return false;
  return std::all_of(id.begin(), id.end(),
                     [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

// Parses header Heatherlatch-Deadline-Ms.
// @return the time budget; none unless it is an integer from one millisecond to
//         one day
std::optional<Duration> ParseDeadline(std::string_view text) {
  std::int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, milliseconds);
  constexpr std::int64_t kMaxMilliseconds = 24LL * 3600 * 1000;
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  if (milliseconds <= 0 || milliseconds > kMaxMilliseconds) return std::nullopt;
  return std::chrono::milliseconds(milliseconds);
}

// Applies the routing rules in order; the first that fails refuses the request.
class Router {
 public:
  Router(std::shared_ptr<const HostSnapshot> snapshot,
         const RegionName& own_region, const CallerRequest& request,
         std::string request_id)
      : own_region_(own_region), request_(request) {
    routed_.snapshot = std::move(snapshot);
    routed_.request_id = std::move(request_id);
  }

  RoutingVerdict Decide() && {
    const bool accepted = ReadRequestId() && HasConfiguration() &&
                          FindRouteOfRequest() && FindCallersOrganisation() &&
                          FindHomes() && ReadKey() && ReadDeadline();
    if (accepted) return std::move(routed_);
    refusal_.request_id = routed_.request_id;
    return std::move(refusal_);
  }

 private:
  bool Refuse(NotRunReason reason, std::string explanation) {
    refusal_.reason = reason;
    refusal_.explanation = std::move(explanation);
    return false;
  }

  const ObjectSet& objects() const { return *routed_.snapshot->objects; }

  bool ReadRequestId() {
    const auto id = FindHeader(request_.headers, caller_header::kRequestId);
    if (!id) return true;
    if (!IsValidRequestId(*id)) {
      return Refuse(NotRunReason::kMalformedRequest,
                    "header X-Request-Id is not 1 to 128 printable characters");
    }
    routed_.request_id = std::string(*id);
    return true;
  }

  bool HasConfiguration() {
    const Duration age = request_.arrived - routed_.snapshot->published_at;
    const bool is_current = age <= kMaxSnapshotAge;
    if (routed_.snapshot->objects && routed_.snapshot->may_serve &&
        is_current) {
      return true;
    }
    return Refuse(NotRunReason::kConfigurationUnavailable,
                  "this host has no configuration that it may serve under");
  }

  bool FindRouteOfRequest() {
    const std::string_view path = PathOf(request_.target);
    if (IsAmbiguousPath(path)) {
      return Refuse(NotRunReason::kMalformedRequest,
                    "the path has an empty, dot or encoded segment");
    }
    routed_.route = objects().FindRoute(request_.method, path);
    if (routed_.route == nullptr) {
      return Refuse(
          NotRunReason::kNoRoute,
          "no route matches " + request_.method + " " + std::string(path));
    }
    refusal_.may_have_run_before = !routed_.route->idempotent;
    routed_.service = objects().FindService(routed_.route->service);
    return true;
  }

  bool FindCallersOrganisation() {
    const auto name =
        FindHeader(request_.headers, caller_header::kOrganisation);
    if (!name) {
      return Refuse(NotRunReason::kUnknownOrganisation,
                    "header Heatherlatch-Organisation is missing");
    }
    routed_.organisation =
        objects().FindOrganisation(OrganisationName(std::string(*name)));
    if (routed_.organisation != nullptr) return true;
    return Refuse(NotRunReason::kUnknownOrganisation,
                  "organisation \"" + std::string(*name) + "\" does not exist");
  }

  bool FindHomes() {
    routed_.home_regions =
        objects().HomeRegions(*routed_.route, *routed_.organisation);
    if (Contains(routed_.home_regions, own_region_)) return true;
    refusal_.home_regions = routed_.home_regions;
    return Refuse(NotRunReason::kOutsideHomeRegions,
                  "route \"" + routed_.route->name.str() +
                      "\" is not served in region \"" + own_region_.str() +
                      "\"");
  }

  bool ReadKey() {
    if (routed_.route->idempotent) return true;
    const auto ticket = FindHeader(request_.headers, caller_header::kTicket);
    if (ticket) return SetKey(ParseTicket(*ticket));
    const auto key =
        FindHeader(request_.headers, caller_header::kIdempotencyKey);
    if (key) return SetKey(MakeCallerKey(routed_.organisation->name, *key));
    return Refuse(NotRunReason::kKeyRequired,
                  "route \"" + routed_.route->name.str() +
                      "\" needs header Idempotency-Key or Heatherlatch-Ticket");
  }

  template <typename Key>
  bool SetKey(Result<Key> parsed) {
    if (parsed) {
      routed_.key = RequestKey(std::move(parsed.value()));
      return true;
    }
    return Refuse(NotRunReason::kMalformedRequest,
                  "the key or ticket is empty, too long or malformed");
  }

  bool ReadDeadline() {
    Duration time_budget = routed_.route->deadline;
    const auto text = FindHeader(request_.headers, caller_header::kDeadline);
    if (text) {
      const auto requested = ParseDeadline(*text);
      if (!requested) {
        return Refuse(NotRunReason::kMalformedRequest,
                      "header Heatherlatch-Deadline-Ms is not a positive "
                      "number of milliseconds");
      }
      time_budget = std::min(time_budget, *requested);
    }
    routed_.deadline = request_.arrived + time_budget;
    if (request_.body.size() > routed_.route->max_request_bytes) {
      return Refuse(NotRunReason::kTooLarge,
                    "the body is larger than the " +
                        std::to_string(routed_.route->max_request_bytes) +
                        " bytes of route \"" + routed_.route->name.str() +
                        "\"");
    }
    return true;
  }

  const RegionName& own_region_;
  const CallerRequest& request_;
  RoutedRequest routed_;
  RoutingRefusal refusal_;
};

}  // namespace

RoutingVerdict RouteRequest(std::shared_ptr<const HostSnapshot> snapshot,
                            const RegionName& own_region,
                            const CallerRequest& request,
                            std::string request_id) {
  return Router(std::move(snapshot), own_region, request, std::move(request_id))
      .Decide();
}

}  // namespace heatherlatch
