// Matches the objects of two sets by name.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_PAIRS_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_PAIRS_H_

#include <map>
#include <vector>

namespace heatherlatch::internal {

// The two versions of an object. One is nullptr if the object was added or
// removed.
template <typename Object>
struct Pair {
  const Object* before = nullptr;
  const Object* after = nullptr;
};

// @return the objects of both lists by name, as pointers into the lists, which
//     must outlive the result
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
