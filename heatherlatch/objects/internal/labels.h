// Labels of objects in findings, changes and warnings, such as `route "tally"`.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_LABELS_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_LABELS_H_

#include <string>
#include <vector>

#include "heatherlatch/objects/object_set.h"

namespace heatherlatch::internal {

std::string LabelOf(const Region& region);
std::string LabelOf(const AvailabilityZone& zone);
std::string LabelOf(const Service& service);
std::string LabelOf(const BackendServer& server);
std::string LabelOf(const Route& route);
std::string LabelOf(const Organisation& organisation);

// @return the texts, separated by ", "
std::string JoinTexts(const std::vector<std::string>& texts);

// @return the names, separated by ", "
template <typename Name>
std::string JoinNames(const std::vector<Name>& names) {
  std::vector<std::string> texts;
  for (const Name& name : names) texts.push_back(name.str());
  return JoinTexts(texts);
}

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_OBJECTS_INTERNAL_LABELS_H_
