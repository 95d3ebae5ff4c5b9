// Parses and formats quantities with a unit, such as "250ms" and "64KB".
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_YAML_UNITS_H_
#define HEATHERLATCH_YAML_UNITS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "heatherlatch/base/time.h"

namespace heatherlatch {

// @param text  a whole number and one of the units ms, s, m, h
// @return the duration; none if the text is malformed or the value overflows
std::optional<Duration> ParseDuration(std::string_view text);

// @param text  a whole number and one of the units B, KB (1024 B), MB (1024 KB)
// @return the size in bytes; none if the text is malformed or the value
//     overflows
std::optional<std::uint64_t> ParseSize(std::string_view text);

// @return the shortest decimal text without an exponent that parses to exactly
//     this number
std::string FormatNumber(double value);

// @return the duration, truncated to milliseconds, in the largest unit that
//     gives a whole number
std::string FormatDuration(Duration duration);

// @return the size in the largest unit that gives a whole number
std::string FormatSize(std::uint64_t bytes);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_UNITS_H_
