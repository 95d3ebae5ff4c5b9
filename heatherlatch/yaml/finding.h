// One problem in a document that an operator wrote.
//
// Example:
//   for (const Finding& finding : findings) out << ToString(finding) << "\n";
//
// Thread safety: value types and pure functions.
#ifndef HEATHERLATCH_YAML_FINDING_H_
#define HEATHERLATCH_YAML_FINDING_H_

#include <string>
#include <string_view>

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

// @return the kind in lower case with hyphens, such as "broken-reference"
std::string_view ToString(FindingKind kind);

// @return "line 12: route "tally", field service: ... (remedy)"
std::string ToString(const Finding& finding);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_FINDING_H_
