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
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "heatherlatch/objects/object_set.h"

namespace heatherlatch {

enum class FindingKind {
  kSyntax,
  kUnknownKey,
  kMissingField,
  kWrongType,
  kOutOfRange,
  kDuplicateName,
  kBrokenReference,
  kContradiction,
};

struct Finding {
  FindingKind kind = FindingKind::kSyntax;
  int line = 0;         // From 1; 0 where none applies.
  std::string object;   // Such as `route "tally"`; empty for the whole set.
  std::string field;    // Such as `service`; empty for the whole object.
  std::string problem;  // Such as `service "x" does not exist`.
  std::string remedy;   // Such as `did you mean "tally-reads"?`; may be empty.
};

// @return "line 12: route "tally", field service: ... (remedy)"
std::string ToString(const Finding& finding);

// @param yaml      the document
// @param revision  the revision to store in the set
// @return the set, or every finding
std::variant<std::shared_ptr<const ObjectSet>, std::vector<Finding>>
ReadObjectSet(std::string_view yaml, Revision revision);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_OBJECTS_CHECK_H_
