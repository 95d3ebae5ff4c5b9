// The JSON type that frames are built from, and its limits.
//
// Thread safety: value types and pure functions.
#ifndef HEATHERLATCH_PEER_INTERNAL_JSON_H_
#define HEATHERLATCH_PEER_INTERNAL_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherlatch::peer_internal {

// Objects keep the order of their fields in one vector, which saves an
// allocation for each field.
using Json = nlohmann::ordered_json;

// The parser calls itself for each level, so nesting must be bounded.
inline constexpr int kMaxNesting = 16;
// A value takes more memory than its one or two bytes in a frame.
inline constexpr std::size_t kMaxValues = 1000000;

// @return the value that the CBOR bytes hold; none where they are not CBOR, are
//     nested too deep or hold too many values
std::optional<Json> ParseCbor(std::string_view bytes);

// @return the CBOR bytes of a value
std::string WriteCbor(const Json& value);

}  // namespace heatherlatch::peer_internal

#endif  // HEATHERLATCH_PEER_INTERNAL_JSON_H_
