// Reads an object set from YAML and validates it.
//
// All problems are reported in one call, each with its line, object and field,
// what is wrong and how to correct it. Unknown keys are problems, and so are
// contradictions between objects, such as a route whose home regions contain no
// server of its service, a route and an organisation without a common home
// region, two servers with the same endpoint, or a set without a zone in
// service.
//
// Example:
//   auto result = ReadObjectSet(yaml, revision);
//   if (const auto* findings = std::get_if<std::vector<Finding>>(&result)) {
//     for (const Finding& finding : *findings) Print(ToString(finding));
//   }
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_CHECK_H_
#define HEATHERLATCH_OBJECTS_CHECK_H_

#include <memory>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherlatch/objects/object_set.h"
#include "heatherlatch/yaml/finding.h"

namespace heatherlatch {

// Upper bound for the resend window plus the deadline of a route that is not
// idempotent, that is, for the time in which a request with one idempotency key
// may be resent or still be running. An entry host keeps the record of a key
// longer than this.
inline constexpr Duration kMaxKeyLifetime = std::chrono::seconds(40);

// @param yaml      the text of the document
// @param revision  the revision to store in the set
// @return the set if the document has no problem; otherwise all findings, in
//     the order of their lines
std::variant<std::shared_ptr<const ObjectSet>, std::vector<Finding>>
ReadObjectSet(std::string_view yaml, Revision revision);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_OBJECTS_CHECK_H_
