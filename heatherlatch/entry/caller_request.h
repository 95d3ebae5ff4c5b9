// A caller's request and the response to it, independent of the HTTP library.
//
// Thread safety: value types and pure functions.
#ifndef HEATHERLATCH_ENTRY_CALLER_REQUEST_H_
#define HEATHERLATCH_ENTRY_CALLER_REQUEST_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "heatherlatch/backend/backend_client.h"
#include "heatherlatch/base/time.h"

namespace heatherlatch {

struct CallerRequest {
  std::string method;
  std::string target;  // Path and query, as sent.
  HeaderList headers;
  std::string body;
  TimePoint arrived;
  std::function<bool()> cancelled;  // True once the caller disconnects.
};

struct CallerResponse {
  int status = 0;
  HeaderList headers;
  std::string body;
};

// Names of the headers that callers send and receive.
namespace caller_header {
inline constexpr std::string_view kOrganisation = "Heatherlatch-Organisation";
inline constexpr std::string_view kTicket = "Heatherlatch-Ticket";
inline constexpr std::string_view kDeadline = "Heatherlatch-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kRequestId = "X-Request-Id";
inline constexpr std::string_view kOutcome = "Heatherlatch-Outcome";
inline constexpr std::string_view kReason = "Heatherlatch-Reason";
inline constexpr std::string_view kHost = "Heatherlatch-Host";
inline constexpr std::string_view kZone = "Heatherlatch-Zone";
inline constexpr std::string_view kServer = "Heatherlatch-Server";
inline constexpr std::string_view kReplayed = "Heatherlatch-Replayed";
inline constexpr std::string_view kRetryAfter = "Retry-After";
}  // namespace caller_header

// Looks up a header; names are compared case-insensitively.
// @return the value of the first header with that name; none if there is none
std::optional<std::string_view> FindHeader(const HeaderList& headers,
                                           std::string_view name);

// @return whether two header names are equal, ignoring case
bool SameHeaderName(std::string_view a, std::string_view b);

// @return the path of a request target: the part before the query
std::string_view PathOf(std::string_view target);

// Drops hop-by-hop headers, headers that the backend client sets itself, and
// every "Heatherlatch-" header.
// @return the headers to forward to a backend server
HeaderList ForwardedHeaders(const HeaderList& headers);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_CALLER_REQUEST_H_
