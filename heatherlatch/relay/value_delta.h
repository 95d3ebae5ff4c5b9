// Encodes a value by its difference from an earlier one, so that a change of a
// large value costs the bytes of the change, compressed.
//
// The difference is made of the parts of the earlier value that come again and
// of the bytes between them. Against an empty value it is the whole value,
// compressed. It carries a checksum, so that it is never applied to another
// value than the one that it was made from.
//
// Example:
//   const std::string delta = MakeDelta(earlier, value);
//   const std::optional<std::string> same = ApplyDelta(earlier, delta, 1 <<
//   20);
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_RELAY_VALUE_DELTA_H_
#define HEATHERLATCH_RELAY_VALUE_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace heatherlatch {

// @param base   the earlier value; empty: none
// @param value  the value to encode
// @return the difference, in about as many bytes as the compressed part of
//     `value` that `base` lacks
std::string MakeDelta(std::string_view base, std::string_view value);

// @param base            the value that the difference was made from
// @param delta           as `MakeDelta` returned it; any other bytes are
//                        refused
// @param max_value_size  bytes beyond which the value is not restored
// @return the value; nothing if `delta` is malformed, was made from another
//     value, or exceeds the size
std::optional<std::string> ApplyDelta(std::string_view base,
                                      std::string_view delta,
                                      std::size_t max_value_size);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_RELAY_VALUE_DELTA_H_
