// Extracts the value of a Result in tests that do not examine the error.
//
// Example:
//   CHECK_FALSE(ValueOf(ReadRouteTable("not JSON")));
#ifndef HEATHERLATCH_TESTING_VALUE_OF_H_
#define HEATHERLATCH_TESTING_VALUE_OF_H_

#include <optional>
#include <utility>

#include "heatherlatch/base/result.h"

namespace heatherlatch::testing {

// @return the value, or std::nullopt if the result holds an error
template <typename T>
std::optional<T> ValueOf(Result<T> result) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, std::move(result));
        return std::make_optional(value);
      },
      [] { return std::optional<T>(); });
}

}  // namespace heatherlatch::testing

#endif  // HEATHERLATCH_TESTING_VALUE_OF_H_
