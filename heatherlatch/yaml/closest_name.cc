#include "heatherlatch/yaml/closest_name.h"

#include <algorithm>
#include <numeric>

namespace heatherlatch {
namespace {

// Longer texts are not compared: they are not names, and the cost of a
// comparison grows with the product of both lengths.
constexpr std::size_t kMaxComparedBytes = 128;

}  // namespace

std::size_t EditDistance(std::string_view a, std::string_view b) {
  // Three rows of the table of distances between prefixes: the two rows before
  // the current one, and the current one.
  std::vector<std::size_t> two_rows_above(b.size() + 1);
  std::vector<std::size_t> row_above(b.size() + 1);
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    two_rows_above.swap(row_above);
    row_above.swap(row);
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t cost = a[i - 1] == b[j - 1] ? 0 : 1;
      row[j] =
          std::min({row_above[j] + 1, row[j - 1] + 1, row_above[j - 1] + cost});
      const bool swapped =
          i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
      if (swapped) row[j] = std::min(row[j], two_rows_above[j - 2] + 1);
    }
  }
  return row[b.size()];
}

std::optional<std::string> ClosestName(
    std::string_view text, const std::vector<std::string>& candidates) {
  if (text.empty() || text.size() > kMaxComparedBytes) return std::nullopt;
  std::size_t best_distance = std::max<std::size_t>(1, text.size() / 3) + 1;
  std::optional<std::string> best;
  for (const std::string& candidate : candidates) {
    if (candidate.size() > kMaxComparedBytes) continue;
    const std::size_t distance = EditDistance(text, candidate);
    if (distance >= best_distance) continue;
    best_distance = distance;
    best = candidate;
  }
  return best;
}

std::string DidYouMean(std::string_view text,
                       const std::vector<std::string>& candidates) {
  const auto closest = ClosestName(text, candidates);
  if (!closest) return "";
  return "did you mean \"" + *closest + "\"?";
}

}  // namespace heatherlatch
