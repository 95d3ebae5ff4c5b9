// Looks a region up in a list of home regions.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_ENTRY_INTERNAL_REGION_LIST_H_
#define HEATHERLATCH_ENTRY_INTERNAL_REGION_LIST_H_

#include <algorithm>
#include <vector>

#include "heatherlatch/base/name.h"

namespace heatherlatch {

// @return whether `regions` contains `region`
inline bool Contains(const std::vector<RegionName>& regions,
                     const RegionName& region) {
  return std::find(regions.begin(), regions.end(), region) != regions.end();
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_ENTRY_INTERNAL_REGION_LIST_H_
