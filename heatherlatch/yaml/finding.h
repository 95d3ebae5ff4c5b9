// A problem found in a document that an operator wrote: where it is, what is
// wrong and how to correct it.
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
  int line = 0;         // From 1; 0 if no single line is concerned.
  std::string object;   // Such as `route "tally"`; empty: the document itself.
  std::string field;    // Such as `service`; empty: the object itself.
  std::string problem;  // Such as `service "x" does not exist`.
  std::string remedy;   // Such as `did you mean "tally-reads"?`; may be empty.
};

// @return the kind in lower case with hyphens, such as "broken-reference"
std::string_view ToString(FindingKind kind);

// @return the finding as one line of text, in the form
//     `line 12: route "tally", field service: PROBLEM (REMEDY)`; parts that are
//     empty are omitted
std::string ToString(const Finding& finding);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_FINDING_H_
