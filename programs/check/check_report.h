// The report of heatherlatch-check, and its output as text and as JSON.
//
// Thread safety: value types and pure functions.
#ifndef HEATHERLATCH_PROGRAMS_CHECK_CHECK_REPORT_H_
#define HEATHERLATCH_PROGRAMS_CHECK_CHECK_REPORT_H_

#include <ostream>
#include <string>
#include <vector>

#include "heatherlatch/objects/diff.h"
#include "heatherlatch/yaml/finding.h"

namespace heatherlatch {

struct FileFindings {
  std::string file;
  std::vector<Finding> findings;
};

struct CheckReport {
  std::vector<FileFindings> files;  // In the order in which they were checked.
  std::string summary;  // Counts of an accepted set; empty otherwise.
  std::vector<Change> changes;
  std::vector<ChangeWarning> warnings;

  bool HasFindings() const;
};

// Writes one line for each finding, change and warning, and a summary.
void WriteText(const CheckReport& report, std::ostream& out);

// Writes one JSON object with the members files, changes and warnings.
void WriteJson(const CheckReport& report, std::ostream& out);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PROGRAMS_CHECK_CHECK_REPORT_H_
