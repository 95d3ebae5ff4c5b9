// Says in plain words what a new set of objects changes, and warns of changes
// that an operator may not have meant.
//
// Objects are compared by name; the order of the objects in a document does not
// matter. Both sets must have passed `ReadObjectSet`.
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

// A change that leaves a service with a smaller share of its slots in service
// is warned of.
inline constexpr double kMinCapacityShare = 0.5;

// @return one entry for each object that is added, removed, taken out of or
//     brought into service, and for each field that is changed; empty where
//     the sets are equal but for their revision
std::vector<Change> DescribeChange(const ObjectSet& before,
                                   const ObjectSet& after);

// @return what the change makes worse; a state that `before` already has is not
//     warned of again
std::vector<ChangeWarning> WarnAboutChange(const ObjectSet& before,
                                           const ObjectSet& after);

// @return the kind in lower case with hyphens, such as "too-little-capacity"
std::string_view ToString(ChangeKind kind);
std::string_view ToString(WarningKind kind);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_OBJECTS_DIFF_H_
