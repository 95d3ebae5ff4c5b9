// Pairs the objects of two sets by name.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_PAIRS_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_PAIRS_H_

#include <map>
#include <vector>

namespace heatherlatch::internal {

// An object as it was before and is after; one of the two may be absent.
template <typename Object>
struct Pair {
  const Object* before = nullptr;
  const Object* after = nullptr;
};

// @return the objects of both lists by name; they point into the lists
template <typename Object>
auto PairByName(const std::vector<Object>& before,
                const std::vector<Object>& after) {
  std::map<decltype(Object::name), Pair<Object>> pairs;
  for (const Object& object : before) pairs[object.name].before = &object;
  for (const Object& object : after) pairs[object.name].after = &object;
  return pairs;
}

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_OBJECTS_INTERNAL_PAIRS_H_
