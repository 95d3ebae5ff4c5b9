#include "heatherlatch/yaml/document.h"

#include <yaml-cpp/eventhandler.h>

#include <sstream>
#include <string>

namespace heatherlatch {
namespace {

// Reports each anchor and alias of a text, and the start of a second document.
class UnsupportedSyntaxScanner : public YAML::EventHandler {
 public:
  explicit UnsupportedSyntaxScanner(std::vector<Finding>* findings)
      : findings_(findings) {}

  void OnDocumentStart(const YAML::Mark& mark) override {
    ++documents_;
    if (documents_ == 2) {
      Reject(mark, "a second document starts here", "remove the line \"---\"");
    }
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    RejectAnchor(mark, anchor);
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    Reject(mark, "an alias (*) is not accepted", "write the value out");
  }
  void OnScalar(const YAML::Mark& mark, const std::string& /*tag*/,
                YAML::anchor_t anchor, const std::string& /*value*/) override {
    RejectAnchor(mark, anchor);
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    RejectAnchor(mark, anchor);
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    RejectAnchor(mark, anchor);
  }
  void OnMapEnd() override {}

 private:
  void RejectAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor == YAML::NullAnchor) return;
    Reject(mark, "an anchor (&) is not accepted", "write the value out");
  }

  void Reject(const YAML::Mark& mark, std::string problem, std::string remedy) {
    findings_->push_back({FindingKind::kSyntax, mark.line + 1, "", "",
                          std::move(problem), std::move(remedy)});
  }

  std::vector<Finding>* findings_;
  int documents_ = 0;
};

// @return whether the text may contain an anchor, an alias or a second
//     document; most texts do not, and are therefore parsed only once
bool NeedsScan(std::string_view text) {
  return text.find_first_of("&*") != std::string_view::npos ||
         text.find("---") != std::string_view::npos ||
         text.find("...") != std::string_view::npos;
}

// Parses every document of the text for its syntax only, without building
// nodes.
void ReportUnsupportedSyntax(const std::string& text,
                             std::vector<Finding>* findings) {
  std::istringstream input(text);
  YAML::Parser parser(input);
  UnsupportedSyntaxScanner scanner(findings);
  while (parser.HandleNextDocument(scanner)) {
  }
}

}  // namespace

std::optional<YAML::Node> LoadDocument(std::string_view yaml,
                                       std::vector<Finding>* findings) {
  if (yaml.size() > kMaxDocumentBytes) {
    findings->push_back({FindingKind::kOutOfRange, 0, "", "",
                         "the document has " + std::to_string(yaml.size()) +
                             " bytes; at most " +
                             std::to_string(kMaxDocumentBytes) +
                             " are accepted",
                         ""});
    return std::nullopt;
  }
  const std::size_t findings_before = findings->size();
  const std::string text(yaml);
  YAML::Node root;
  try {
    if (NeedsScan(text)) ReportUnsupportedSyntax(text, findings);
    if (findings->size() > findings_before) return std::nullopt;
    root = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    findings->push_back({FindingKind::kSyntax, error.mark.line + 1, "", "",
                         "not valid YAML: " + error.msg, ""});
    return std::nullopt;
  }
  if (!root.IsMap()) {
    findings->push_back({FindingKind::kWrongType, LineOf(root), "", "",
                         "the document is not a mapping",
                         "write lines such as \"key: value\""});
    return std::nullopt;
  }
  return root;
}

int LineOf(const YAML::Node& node) {
  const YAML::Mark mark = node.Mark();
  return mark.is_null() ? 0 : mark.line + 1;
}

}  // namespace heatherlatch
