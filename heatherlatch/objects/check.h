// Reads a set of objects from YAML and checks it as a whole.
//
// Every problem is reported at once, with line, object, field, what is wrong
// and what would be right. Unknown keys are problems. Contradictions across
// objects are problems too: a route whose home regions hold no server of its
// service, a route and an organisation whose home regions exclude each other,
// two servers at one endpoint, a set in which no zone is in service.
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

// The longest time for which a request that is not idempotent may be repeated
// or still be running: its resend window plus its deadline. An entry host keeps
// the record of a key longer than this.
inline constexpr Duration kMaxKeyLifetime = std::chrono::seconds(40);

// @param yaml      the document
// @param revision  the revision to store in the set
// @return the set, or every finding
std::variant<std::shared_ptr<const ObjectSet>, std::vector<Finding>>
ReadObjectSet(std::string_view yaml, Revision revision);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_OBJECTS_CHECK_H_
