#include "programs/check/check_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace heatherlatch {
namespace {

using Json = nlohmann::ordered_json;

Json ToJson(const Finding& finding) {
  return {{"kind", std::string(ToString(finding.kind))},
          {"line", finding.line},
          {"object", finding.object},
          {"field", finding.field},
          {"problem", finding.problem},
          {"remedy", finding.remedy}};
}

// @param change  a Change or a ChangeWarning
template <typename T>
Json ToJson(const T& change) {
  return {{"kind", std::string(ToString(change.kind))},
          {"object", change.object},
          {"text", change.text}};
}

template <typename T>
Json ToJsonList(const std::vector<T>& values) {
  Json list = Json::array();
  for (const T& value : values) list.push_back(ToJson(value));
  return list;
}

Json ToJson(const FileFindings& file) {
  return {{"file", file.file}, {"findings", ToJsonList(file.findings)}};
}

void WriteFindings(const FileFindings& file, std::ostream& out) {
  for (const Finding& finding : file.findings) {
    out << file.file << ": " << ToString(finding) << "\n";
  }
  const std::size_t count = file.findings.size();
  out << file.file << ": ";
  if (count == 0) {
    out << "no findings\n";
  } else {
    out << count << (count == 1 ? " finding\n" : " findings\n");
  }
}

}  // namespace

bool CheckReport::HasFindings() const {
  return std::any_of(files.begin(), files.end(), [](const FileFindings& file) {
    return !file.findings.empty();
  });
}

void WriteText(const CheckReport& report, std::ostream& out) {
  for (const FileFindings& file : report.files) WriteFindings(file, out);
  if (!report.summary.empty()) out << report.summary << "\n";
  for (const Change& change : report.changes) {
    out << "change: " << change.text << "\n";
  }
  for (const ChangeWarning& warning : report.warnings) {
    out << "warning: " << warning.text << "\n";
  }
}

void WriteJson(const CheckReport& report, std::ostream& out) {
  Json files = Json::array();
  for (const FileFindings& file : report.files) files.push_back(ToJson(file));
  const Json json = {{"files", std::move(files)},
                     {"changes", ToJsonList(report.changes)},
                     {"warnings", ToJsonList(report.warnings)}};
  // Findings may quote bytes that are not UTF-8.
  out << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

}  // namespace heatherlatch
