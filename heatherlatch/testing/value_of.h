// Takes the value out of a result whose failure a test does not look into.
#ifndef HEATHERLATCH_TESTING_VALUE_OF_H_
#define HEATHERLATCH_TESTING_VALUE_OF_H_

#include <optional>
#include <utility>

#include "heatherlatch/base/result.h"

namespace heatherlatch::testing {

// @return the value, or none where the result failed
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
