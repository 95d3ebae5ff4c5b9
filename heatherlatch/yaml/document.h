// Loads one YAML document and refuses what operators do not need.
//
// Anchors and aliases are refused, because they let a short document stand for
// a very long one. So is a second document in the same text.
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

// The configuration service holds values up to a megabyte.
inline constexpr std::size_t kMaxDocumentBytes = 1000000;

// @param yaml      the text
// @param findings  receives what is wrong
// @return the mapping at the top of the document, or none where it has findings
std::optional<YAML::Node> LoadDocument(std::string_view yaml,
                                       std::vector<Finding>* findings);

// @return the line of a node, from 1; 0 where it has none
int LineOf(const YAML::Node& node);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_YAML_DOCUMENT_H_
