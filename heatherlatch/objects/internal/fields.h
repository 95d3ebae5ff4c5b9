// The fields of an object as names and texts, to compare two objects.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_FIELDS_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_FIELDS_H_

#include <string>
#include <vector>

#include "heatherlatch/objects/object_set.h"

namespace heatherlatch::internal {

struct Field {
  std::string name;   // As in the document.
  std::string value;  // In the form that the document takes.
};

// Each returns the fields in one fixed order, without the name of the object,
// the servers of a service and whether a zone is in service.
std::vector<Field> FieldsOf(const Region& region);
std::vector<Field> FieldsOf(const AvailabilityZone& zone);
std::vector<Field> FieldsOf(const Service& service);
std::vector<Field> FieldsOf(const BackendServer& server);
std::vector<Field> FieldsOf(const Route& route);
std::vector<Field> FieldsOf(const Organisation& organisation);
std::vector<Field> FieldsOf(const Limits& limits);

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_OBJECTS_INTERNAL_FIELDS_H_
