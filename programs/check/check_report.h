// What heatherlatch-check found, and its forms as text and JSON.
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

// The findings of one file.
struct FileFindings {
  std::string file;
  std::vector<Finding> findings;
};

struct CheckReport {
  std::vector<FileFindings> files;  // In the order in which they were checked.
  std::string summary;              // Of an accepted set; empty otherwise.
  std::vector<Change> changes;
  std::vector<ChangeWarning> warnings;

  bool HasFindings() const;
};

// Writes one line for each finding, change and warning.
void WriteText(const CheckReport& report, std::ostream& out);

// Writes one JSON object with the members files, changes and warnings.
void WriteJson(const CheckReport& report, std::ostream& out);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PROGRAMS_CHECK_CHECK_REPORT_H_
