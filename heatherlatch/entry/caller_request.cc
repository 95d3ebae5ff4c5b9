#include "heatherlatch/entry/caller_request.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace heatherlatch {
namespace {

constexpr std::string_view kOwnPrefix = "Heatherlatch-";

// Hop-by-hop headers, and headers that the backend client sets itself.
constexpr std::array<std::string_view, 13> kNotForwarded = {
    "Connection",        "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Connection",  "TE",         "Trailer",
    "Transfer-Encoding", "Upgrade",    "Host",
    "Content-Length",    "Expect",     "Idempotency-Key",
    "X-Request-Id",
};

bool IsForwarded(std::string_view name) {
  const bool is_own =
      name.size() >= kOwnPrefix.size() &&
      SameHeaderName(name.substr(0, kOwnPrefix.size()), kOwnPrefix);
  if (is_own) return false;
  return std::none_of(
      kNotForwarded.begin(), kNotForwarded.end(),
      [&](std::string_view other) { return SameHeaderName(name, other); });
}

}  // namespace

bool SameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string_view> FindHeader(const HeaderList& headers,
                                           std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (SameHeaderName(key, name)) return value;
  }
  return std::nullopt;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

HeaderList ForwardedHeaders(const HeaderList& headers) {
  HeaderList forwarded;
  for (const auto& header : headers) {
    if (IsForwarded(header.first)) forwarded.push_back(header);
  }
  return forwarded;
}

}  // namespace heatherlatch
