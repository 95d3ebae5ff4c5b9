// Gathers what hosts logged of one request, and says why it ended as it did.
//
// Example:
//   std::vector<LogLine> lines = ReadLines(text, "host-1.log");
//   std::cout << ToString(Explain("9c41d07be2a35f68", lines));
//
// Thread safety: value types and pure functions.
#ifndef PROGRAMS_EXPLAIN_EXPLANATION_H_
#define PROGRAMS_EXPLAIN_EXPLANATION_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace heatherlatch {

// One line of a host's log.
struct LogLine {
  std::string source;  // The log that it stands in.
  std::int64_t at_ms = 0;
  nlohmann::json fields;
};

struct Explanation {
  std::vector<LogLine> lines;  // Of the request, in the order of their times.
  // Of its servers' leaving and of configurations, around the request.
  std::vector<LogLine> context;
  std::string cause;  // One sentence.
};

// Reads a log. Text before the first brace of a line is taken as the name of
// the source; lines that hold no JSON object are left out.
std::vector<LogLine> ReadLines(const std::string& text,
                               const std::string& source);

Explanation Explain(const std::string& request,
                    const std::vector<LogLine>& lines);

// @return the lines in order, and the cause
std::string ToString(const Explanation& explanation);

}  // namespace heatherlatch

#endif  // PROGRAMS_EXPLAIN_EXPLANATION_H_
