// Loads a YAML document that has a mapping at the top.
//
// Anchors and aliases are rejected, because a short document that uses them can
// expand to a very large one. A second document in the same text is rejected as
// well.
//
// Example:
//   std::vector<Finding> findings;
//   const std::optional<YAML::Node> root = LoadDocument(text, &findings);
//   if (!root) return findings;
//
// Thread safety: pure functions.
#ifndef HEATHERLATCH_YAML_DOCUMENT_H_
#define HEATHERLATCH_YAML_DOCUMENT_H_

#include <yaml-cpp/yaml.h>

#include <optional>
#include <string_view>
#include <vector>

#include "heatherlatch/yaml/finding.h"

namespace heatherlatch {

// The configuration service stores values of up to one megabyte.
inline constexpr std::size_t kMaxDocumentBytes = 1000000;

// @param yaml      the text of the document
// @param findings  receives each problem; existing entries are kept
// @return the mapping at the top of the document; none if a problem was found
std::optional<YAML::Node> LoadDocument(std::string_view yaml,
                                       std::vector<Finding>* findings);

// @return the line of the node in its document, from 1; 0 if it has none
int LineOf(const YAML::Node& node);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_DOCUMENT_H_
