#include "heatherlatch/yaml/finding.h"

namespace heatherlatch {

std::string_view ToString(FindingKind kind) {
  switch (kind) {
    case FindingKind::kSyntax:
      return "syntax";
    case FindingKind::kUnknownKey:
      return "unknown-key";
    case FindingKind::kMissingField:
      return "missing-field";
    case FindingKind::kWrongType:
      return "wrong-type";
    case FindingKind::kOutOfRange:
      return "out-of-range";
    case FindingKind::kDuplicateName:
      return "duplicate-name";
    case FindingKind::kBrokenReference:
      return "broken-reference";
    case FindingKind::kContradiction:
      return "contradiction";
  }
  return "syntax";
}

std::string ToString(const Finding& finding) {
  std::string text;
  if (finding.line > 0) text += "line " + std::to_string(finding.line) + ": ";
  text += finding.object;
  if (!finding.field.empty()) {
    if (!finding.object.empty()) text += ", ";
    text += "field " + finding.field;
  }
  if (!finding.object.empty() || !finding.field.empty()) text += ": ";
  text += finding.problem;
  if (!finding.remedy.empty()) text += " (" + finding.remedy + ")";
  return text;
}

}  // namespace heatherlatch
