// Checks the objects of a set against one another.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_CROSS_CHECK_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_CROSS_CHECK_H_

#include "heatherlatch/objects/object_set.h"
#include "heatherlatch/yaml/mapping_reader.h"

namespace heatherlatch::internal {

// Reports names that stand twice, broken references and contradictions.
// @param set      the objects as read; fields that could not be read have their
//                 defaults and give no further findings
// @param context  gives the lines and receives the findings
void CheckAcrossObjects(const ObjectSet& set, ReadContext* context);

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_OBJECTS_INTERNAL_CROSS_CHECK_H_
