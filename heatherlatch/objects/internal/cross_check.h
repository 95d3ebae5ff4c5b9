// Checks that the objects of a set are consistent with one another.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_CROSS_CHECK_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_CROSS_CHECK_H_

#include "heatherlatch/objects/object_set.h"
#include "heatherlatch/yaml/mapping_reader.h"

namespace heatherlatch::internal {

// Reports duplicate names, broken references and contradictions.
// @param set      the objects as read; a field that could not be read has its
//                 default value and produces no further finding
// @param context  provides the lines and receives the findings
void CheckAcrossObjects(const ObjectSet& set, ReadContext* context);

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_OBJECTS_INTERNAL_CROSS_CHECK_H_
