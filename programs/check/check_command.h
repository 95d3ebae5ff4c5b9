// The program heatherlatch-check as a function.
//
// Example:
//   int code = RunCheckCommand({"heatherlatch-check", "--against", "old.yaml",
//                               "new.yaml"}, "0.1.0", std::cout, std::cerr);
//
// Thread safety: no shared state. Reads the named files and writes to the given
// streams only.
#ifndef HEATHERLATCH_PROGRAMS_CHECK_CHECK_COMMAND_H_
#define HEATHERLATCH_PROGRAMS_CHECK_CHECK_COMMAND_H_

#include <ostream>
#include <string>
#include <vector>

namespace heatherlatch {

enum class CheckExit : int {
  kSuccess = 0,
  kFindings = 1,
  kWarnings = 2,  // Only with --strict.
  kUsage = 3,     // A wrong option, or a file that cannot be read.
};

// @param arguments  the name of the program and its arguments
// @param version    the version to show
// @param out        receives the report, the help and the version
// @param err        receives usage errors and errors in reading files
// @return the exit code, a CheckExit
int RunCheckCommand(const std::vector<std::string>& arguments,
                    const std::string& version, std::ostream& out,
                    std::ostream& err);

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PROGRAMS_CHECK_CHECK_COMMAND_H_
