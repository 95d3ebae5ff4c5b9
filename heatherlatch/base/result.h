// The result type of every operation that can fail.
//
// `Result<T>` is a Boost.LEAF result. A library defines one struct or enum for
// its failures and returns it with `Fail(...)`; the calling code handles it by
// type with `boost::leaf::try_handle_all`.
//
// Example:
//   Result<Endpoint> ParseEndpoint(std::string_view text) {
//     if (text.empty()) return Fail(EndpointError{...});
//     ...
//   }
#ifndef HEATHERLATCH_BASE_RESULT_H_
#define HEATHERLATCH_BASE_RESULT_H_

#include <boost/leaf.hpp>
#include <utility>

namespace heatherlatch {

template <typename T>
using Result = boost::leaf::result<T>;

// Returns a failed result that carries `errors`.
template <typename... Errors>
boost::leaf::error_id Fail(Errors&&... errors) {
  return boost::leaf::new_error(std::forward<Errors>(errors)...);
}

}  // namespace heatherlatch

#endif  // HEATHERLATCH_BASE_RESULT_H_
