#include "heatherlatch/objects/test_documents.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace heatherlatch {

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  if (at == std::string::npos) throw std::logic_error("missing text: " + from);
  return text.replace(at, from.size(), to);
}

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(HEATHERLATCH_EXAMPLES) + "/" + name);
  if (!file) throw std::logic_error("cannot open example file " + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::vector<std::string> FindingsOf(const std::string& yaml) {
  const auto result = ReadObjectSet(yaml, 1);
  std::vector<std::string> texts;
  if (const auto* findings = std::get_if<std::vector<Finding>>(&result)) {
    for (const Finding& finding : *findings) {
      texts.push_back(std::string(ToString(finding.kind)) + " " +
                      ToString(finding));
    }
  }
  return texts;
}

std::shared_ptr<const ObjectSet> MustRead(const std::string& yaml) {
  const auto findings = FindingsOf(yaml);
  if (!findings.empty()) throw std::logic_error(findings.front());
  return std::get<std::shared_ptr<const ObjectSet>>(ReadObjectSet(yaml, 1));
}

}  // namespace heatherlatch
