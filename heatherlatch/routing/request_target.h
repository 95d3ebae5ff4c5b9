// Reads a request target in absolute form (RFC 9112, section 3.2.2).
//
// Example:
//   if (const auto absolute = ParseAbsoluteTarget("http://a.example/p/x?y")) {
//     Forward(absolute->authority, absolute->origin_form);  // "/p/x?y"
//   }
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_ROUTING_REQUEST_TARGET_H_
#define HEATHERLATCH_ROUTING_REQUEST_TARGET_H_

#include <optional>
#include <string>
#include <string_view>

namespace heatherlatch {

struct AbsoluteTarget {
  std::string authority;    // Host name and, where given, port.
  std::string origin_form;  // Path and query, letter for letter.
};

// @param target  the request target as the caller sent it
// @return its authority, which takes the place of the Host field, and its path
//     and query in origin form, "/" for an empty path; absent unless the target
//     begins with the scheme "http" or "https" in any letter case and "://"
std::optional<AbsoluteTarget> ParseAbsoluteTarget(std::string_view target);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ROUTING_REQUEST_TARGET_H_
