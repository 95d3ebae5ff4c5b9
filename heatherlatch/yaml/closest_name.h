// Suggests the name that a misspelt one was meant to be.
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_YAML_CLOSEST_NAME_H_
#define HEATHERLATCH_YAML_CLOSEST_NAME_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherlatch {

// @return the number of bytes to insert, remove or replace, or of neighbours to
//     swap, to make one text of the other (optimal string alignment distance)
std::size_t EditDistance(std::string_view a, std::string_view b);

// @return the candidate with the smallest edit distance to `text`, if it is at
//     most a third of the length of `text` (and at least 1)
std::optional<std::string> ClosestName(
    std::string_view text, const std::vector<std::string>& candidates);

// @return `did you mean "NAME"?`, or an empty text where no name is close
std::string DidYouMean(std::string_view text,
                       const std::vector<std::string>& candidates);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_CLOSEST_NAME_H_
