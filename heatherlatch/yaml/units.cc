#include "heatherlatch/yaml/units.h"

#include <array>
#include <charconv>
#include <limits>

namespace heatherlatch {
namespace {

struct Unit {
  std::string_view suffix;
  std::uint64_t factor;
};

// Both lists are ordered from the largest unit to the smallest: FormatQuantity
// uses the first one that divides the value.
constexpr std::array<Unit, 4> kMillisecondUnits = {
    {{"h", 3600000}, {"m", 60000}, {"s", 1000}, {"ms", 1}}};
constexpr std::array<Unit, 3> kByteUnits = {
    {{"MB", 1048576}, {"KB", 1024}, {"B", 1}}};

constexpr std::uint64_t kMaxMilliseconds = static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max())
        .count());

// Enough for any double in fixed notation, that is, without an exponent.
constexpr std::size_t kMaxNumberBytes = 1100;

template <std::size_t kUnits>
std::optional<std::uint64_t> ParseQuantity(
    std::string_view text, const std::array<Unit, kUnits>& units,
    std::uint64_t max) {
  std::uint64_t count = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, count);
  if (parsed.ec != std::errc()) return std::nullopt;
  const std::string_view suffix = text.substr(parsed.ptr - text.data());
  for (const Unit& unit : units) {
    if (unit.suffix != suffix) continue;
    if (count > max / unit.factor) return std::nullopt;
    return count * unit.factor;
  }
  return std::nullopt;
}

template <std::size_t kUnits>
std::string FormatQuantity(std::uint64_t count,
                           const std::array<Unit, kUnits>& units) {
  for (const Unit& unit : units) {
    if (count == 0 || count % unit.factor != 0) continue;
    return std::to_string(count / unit.factor) + std::string(unit.suffix);
  }
  return "0" + std::string(units.back().suffix);
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto count = ParseQuantity(text, kMillisecondUnits, kMaxMilliseconds);
  if (!count) return std::nullopt;
  return std::chrono::milliseconds(*count);
}

std::optional<std::uint64_t> ParseSize(std::string_view text) {
  return ParseQuantity(text, kByteUnits,
                       std::numeric_limits<std::uint64_t>::max());
}

std::string FormatNumber(double value) {
  char text[kMaxNumberBytes];
  const auto result =
      std::to_chars(text, text + sizeof(text), value, std::chars_format::fixed);
  return std::string(text, result.ptr);
}

std::string FormatDuration(Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return FormatQuantity(static_cast<std::uint64_t>(count), kMillisecondUnits);
}

std::string FormatSize(std::uint64_t bytes) {
  return FormatQuantity(bytes, kByteUnits);
}

}  // namespace heatherlatch
