// Lists the fields of an object with their values as text, so that two versions
// of the object can be compared field by field.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_FIELDS_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_FIELDS_H_

#include <string>
#include <vector>

#include "heatherlatch/objects/object_set.h"

namespace heatherlatch::internal {

struct Field {
  std::string name;   // The key in the document.
  std::string value;  // Written as in the document, such as `250ms`.
};

// Each returns the fields in a fixed order. Not included are the name of the
// object, the servers of a service and the `in_service` field of a zone, which
// are compared separately.
std::vector<Field> FieldsOf(const Region& region);
std::vector<Field> FieldsOf(const AvailabilityZone& zone);
std::vector<Field> FieldsOf(const Service& service);
std::vector<Field> FieldsOf(const BackendServer& server);
std::vector<Field> FieldsOf(const Route& route);
std::vector<Field> FieldsOf(const Organisation& organisation);
std::vector<Field> FieldsOf(const Limits& limits);

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_OBJECTS_INTERNAL_FIELDS_H_
