// Suggests the known name that a misspelt name most likely stands for.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_YAML_CLOSEST_NAME_H_
#define HEATHERLATCH_YAML_CLOSEST_NAME_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherlatch {

// @return the smallest number of edits that turn one text into the other, where
//     an edit inserts, removes or replaces one byte or swaps two adjacent bytes
//     (optimal string alignment distance)
std::size_t EditDistance(std::string_view a, std::string_view b);

// @return the candidate with the smallest edit distance to `text`, the first of
//     them if several are equally close; none if that distance is more than a
//     third of the length of `text` (more than 1 for short texts), or if `text`
//     is empty or too long to be a name
std::optional<std::string> ClosestName(
    std::string_view text, const std::vector<std::string>& candidates);

// @return `did you mean "NAME"?` with the closest name; empty if `ClosestName`
//     finds none
std::string DidYouMean(std::string_view text,
                       const std::vector<std::string>& candidates);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_CLOSEST_NAME_H_
