// Describes as text how a new object set differs from the current one, and
// warns of changes that an operator may not have intended.
//
// Objects are compared by name; their order in the document does not matter.
// Both sets must have been accepted by `ReadObjectSet`.
//
// Example:
//   for (const Change& change : DescribeChange(in_force, next)) {
//     out << change.text << "\n";
//   }
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_DIFF_H_
#define HEATHERLATCH_OBJECTS_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

#include "heatherlatch/objects/object_set.h"

namespace heatherlatch {

enum class ChangeKind {
  kAdded,
  kRemoved,
  kChanged,
  kTakenOutOfService,
  kBroughtIntoService,
};

struct Change {
  ChangeKind kind = ChangeKind::kChanged;
  std::string object;  // Such as `route "tally"`.
  std::string text;    // Such as `changes deadline of route "tally" from ...`.
};

enum class WarningKind {
  kTooLittleCapacity,
  kHomeRegionsWithoutServer,
  kLastZoneOfRegionOut,
  kHomeRegionsChanged,
  kBecomesIdempotent,
  kResendWindowShortened,
};

struct ChangeWarning {
  WarningKind kind = WarningKind::kTooLittleCapacity;
  std::string object;
  std::string text;
};

// A change that reduces the share of a service's slots that are in service, and
// leaves it below this value, produces a warning.
inline constexpr double kMinCapacityShare = 0.5;

// @return one entry for each object that is added or removed, for each zone
//     that is taken out of or brought into service, and for each field that
//     changes; empty if the sets are equal apart from their revision
std::vector<Change> DescribeChange(const ObjectSet& before,
                                   const ObjectSet& after);

// @return one warning for each way in which the change makes the state worse; a
//     condition that already holds in `before` produces none
std::vector<ChangeWarning> WarnAboutChange(const ObjectSet& before,
                                           const ObjectSet& after);

// @return the kind in lower case with hyphens, such as "too-little-capacity"
std::string_view ToString(ChangeKind kind);
std::string_view ToString(WarningKind kind);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_OBJECTS_DIFF_H_
